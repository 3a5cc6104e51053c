//! What one executor itself has shown.

use badgerwind::interface::{FunctionId, Span, Time};

/// Whether an executor takes part in service, beyond what discovery told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Service {
    /// As discovery told.
    #[default]
    Listed,
    /// It said that it drains.
    Draining,
    /// Nobody listened at its address: who does so next is not known.
    Unidentified,
}

/// Questions under way. An executor confirms by all of their answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inquiry {
    /// When it was put in line.
    pub asked: Time,
    /// Answers that have not come.
    pub pending: u32,
    /// The first byte of the first question went out then at the earliest, as far as answers came.
    pub since: Option<Time>,
    /// Copies of the function asked about, where an answer told.
    pub copies: Option<u32>,
}

/// What one executor itself has shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub service: Service,
    /// The latest moment at which it is known to have taken work.
    pub confirmed: Option<Time>,
    /// The questions under way.
    pub inquiry: Option<Inquiry>,
    /// The function that it was last asked about; one that clients have called.
    pub function: Option<FunctionId>,
    /// No question, and no work, before this.
    pub paused_until: Time,
    /// Times in a row that it denied to take work.
    pub denials: u32,
    /// Calls turned away since it last served one.
    pub turned_away: u32,
    /// Discovery's word alone does not do: its own was another.
    pub suspect: bool,
    /// Something was answered by the process that listens there.
    pub met: bool,
    /// When the last connection to the process that was known there ended, or was refused.
    pub lost: Option<Time>,
    /// It left a question without an answer: the machine may be gone, and come back empty.
    pub silent: bool,
    /// Connections lead to a process that need not be the one of before.
    pub replaced: bool,
    /// The module was told that it has restarted.
    pub presumed_restarted: bool,
    /// The module was told that it takes no work.
    pub withdrawn: bool,
}

impl Record {
    /// Whether it took work less than `validity` ago.
    pub fn confirmed_within(&self, now: Time, validity: Span) -> bool {
        self.confirmed.is_some_and(|at| now < at + validity)
    }

    /// Whether an answer is awaited.
    pub fn awaits(&self, now: Time, answer_within: Span) -> bool {
        self.inquiry.is_some_and(|inquiry| now < inquiry.asked + answer_within)
    }

    /// Whether the module has been told other than discovery told.
    pub fn differs(&self) -> bool {
        self.withdrawn || self.presumed_restarted
    }

    /// Whether there is anything here that discovery's word would undo.
    pub fn deviates(&self) -> bool {
        self.differs() || self.service != Service::Listed || self.replaced || self.lost.is_some()
    }

    /// What is left once discovery's word holds again. One that is not connected has to be met anew.
    pub fn as_listed(&mut self, suspect: bool) -> Record {
        let connected = self.lost.is_none() && self.service != Service::Unidentified;
        Record {
            suspect,
            met: self.met && connected,
            inquiry: self.inquiry,
            function: self.function.take(),
            confirmed: self.confirmed,
            ..Record::default()
        }
    }
}
