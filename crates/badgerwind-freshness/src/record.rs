//! What one executor has shown by its answers and connections.

use badgerwind::interface::{FunctionId, Micros, Time};

/// Whether an executor is in service, as far as this differs from what discovery announced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Service {
    /// As announced by discovery.
    #[default]
    Listed,
    /// The executor answered that it is draining.
    Draining,
    /// Its address refused a connection, so that it is unknown which process will listen there next.
    Unidentified,
}

/// The questions to an executor that are under way. Only all of their answers together confirm that it
/// accepts work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inquiry {
    /// When the questions were queued.
    pub asked: Time,
    /// Number of answers that are missing.
    pub pending: u32,
    /// The earliest time at which the first byte of an answered question may have been sent.
    pub since: Option<Time>,
    /// Number of copies of the function asked about, if an answer contained it.
    pub copies: Option<u32>,
}

/// What one executor has shown by its answers and connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub service: Service,
    /// The latest time at which the executor is known to have accepted work.
    pub confirmed_at: Option<Time>,
    /// The questions under way.
    pub inquiry: Option<Inquiry>,
    /// The function of the last inquiry; one that clients have called.
    pub function: Option<FunctionId>,
    /// No questions and no work are sent before this time.
    pub paused_until: Time,
    /// How often in a row it denied that it accepts work.
    pub denials: u32,
    /// Calls rejected since it last served one.
    pub rejected: u32,
    /// Its own answer contradicted discovery, so that discovery's announcement alone is not enough.
    pub needs_confirmation: bool,
    /// The process that listens there has answered something.
    pub has_answered: bool,
    /// When the last connection to the known process ended, or was refused.
    pub disconnected_at: Option<Time>,
    /// A question was left unanswered: the machine may have vanished, and may return without its copies.
    pub unresponsive: bool,
    /// Its connections may lead to another process than before.
    pub maybe_replaced: bool,
    /// A presumed restart was reported to the decision module.
    pub reported_restarted: bool,
    /// It was reported to the decision module as out of service.
    pub reported_out_of_service: bool,
}

impl Record {
    /// Whether it accepted work less than `validity` ago.
    pub fn confirmed_within(&self, now: Time, validity: Micros) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + validity)
    }

    /// Whether the answer to a question is still awaited.
    pub fn awaits_answer(&self, now: Time, answer_timeout: Micros) -> bool {
        self.inquiry.is_some_and(|inquiry| now < inquiry.asked + answer_timeout)
    }

    /// Whether what was reported to the decision module differs from what discovery announced.
    pub fn module_view_differs(&self) -> bool {
        self.reported_out_of_service || self.reported_restarted
    }

    /// Whether an announcement by discovery would change anything in this record.
    pub fn deviates(&self) -> bool {
        self.module_view_differs()
            || self.service != Service::Listed
            || self.maybe_replaced
            || self.disconnected_at.is_some()
    }

    /// The record that is left once discovery's announcement is valid again. An executor without a connection
    /// counts as not having answered yet.
    pub fn as_listed(&mut self, needs_confirmation: bool) -> Record {
        let connected = self.disconnected_at.is_none() && self.service != Service::Unidentified;
        Record {
            needs_confirmation,
            has_answered: self.has_answered && connected,
            inquiry: self.inquiry,
            function: self.function.take(),
            confirmed_at: self.confirmed_at,
            ..Record::default()
        }
    }
}
