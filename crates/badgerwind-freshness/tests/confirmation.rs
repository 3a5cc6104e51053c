//! Which executors may get new work while discovery is unreachable, with scripted answers and connections.

use badgerwind::interface::Outcome;
use badgerwind_freshness::source::{ConnectionEnd, Received, Transition};
use badgerwind_freshness::{Change, Evidence, Freshness, FreshnessSettings, Permit};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
const GRACE: u64 = 500_000;
const ANSWER_TIMEOUT: u64 = 250_000;
const WORKER: u32 = 7;
/// The list is stale from this time on, if discovery confirmed it at second 1 only.
const STALE: u64 = 5 * SECOND;

fn settings() -> FreshnessSettings {
    FreshnessSettings {
        drain_grace: GRACE,
        answer_timeout: ANSWER_TIMEOUT,
        may_probe: true,
        may_order: true,
        front_ends: 8,
        jitter: 0.0,
    }
}

/// A front end after its start. The list that it was given contains the executor.
fn started(settings: FreshnessSettings) -> Freshness {
    let mut freshness = Freshness::new(0, settings);
    freshness.on_listed(WORKER, false);
    freshness
}

/// A front end whose list is stale since [`STALE`], which was reported. The executor has answered before.
fn stale() -> Freshness {
    let mut freshness = started(settings());
    freshness.on_discovery_received(SECOND, Received::UpToDate);
    freshness.transition(SECOND);
    freshness.on_evidence(SECOND, WORKER, Evidence::Served, true);
    let (transition, changes) = freshness.transition(STALE);
    assert_eq!((transition, changes), (Some(Transition::Stale { age: Some(4 * SECOND) }), vec![]));
    freshness
}

/// Gives positive answers to both questions, which were sent at `since`; `copies` are loaded.
fn confirm(freshness: &mut Freshness, now: u64, worker: u32, (since, copies): (u64, u32)) -> Vec<Change> {
    let order = Evidence::Confirmed { since, copies: Some(copies) };
    assert_eq!(freshness.on_evidence(now, worker, order, true), [], "one answer alone does not confirm");
    freshness.on_evidence(now, worker, Evidence::Confirmed { since, copies: None }, true)
}

fn ask(freshness: &mut Freshness, now: u64) {
    assert_eq!(freshness.permit(now, WORKER), Permit::Ask);
    freshness.on_questions_queued(now, WORKER, "f".into());
    assert_eq!(freshness.permit(now, WORKER), Permit::Wait);
}

#[test]
fn no_questions_are_asked_while_the_list_is_fresh() {
    let mut freshness = started(settings());
    freshness.on_discovery_received(SECOND, Received::UpToDate);
    assert_eq!(freshness.permit(SECOND, WORKER), Permit::Granted);
    freshness.on_evidence(SECOND, WORKER, Evidence::WorkRejected, true);
    freshness.on_evidence(SECOND, WORKER, Evidence::Denied, true);
    assert_eq!(freshness.permit(STALE - 1, WORKER), Permit::Granted);
    assert_eq!(freshness.counters().questions, 0);
}

#[test]
fn a_confirmation_is_valid_for_the_grace_period_from_the_first_byte_of_the_question() {
    let mut freshness = stale();
    ask(&mut freshness, STALE);
    // A late answer proves nothing later than the question.
    confirm(&mut freshness, STALE + 200_000, WORKER, (STALE, 1));
    assert_eq!(freshness.permit(STALE + 200_000, WORKER), Permit::Granted);
    assert_eq!(freshness.permit(STALE + GRACE - 20_000, WORKER), Permit::Granted);
    assert_eq!(freshness.permit(STALE + GRACE, WORKER), Permit::Ask);
    // An answer that arrives after the validity has ended confirms nothing.
    ask(&mut freshness, STALE + SECOND);
    confirm(&mut freshness, STALE + SECOND + GRACE, WORKER, (STALE + SECOND, 1));
    assert_eq!(freshness.permit(STALE + SECOND + GRACE, WORKER), Permit::Ask);
}

#[test]
fn a_served_call_confirms_nothing_and_a_rejected_one_ends_a_confirmation() {
    let mut freshness = stale();
    freshness.on_evidence(STALE, WORKER, Evidence::Served, true);
    ask(&mut freshness, STALE);
    confirm(&mut freshness, STALE, WORKER, (STALE, 1));
    freshness.on_evidence(STALE + 4, WORKER, Evidence::WorkRejected, true);
    assert_eq!(freshness.permit(STALE + 5, WORKER), Permit::Ask);
    // A rejection due to a full connection table proves nothing.
    ask(&mut freshness, STALE + 6);
    confirm(&mut freshness, STALE + 6, WORKER, (STALE + 6, 1));
    freshness.on_evidence(STALE + 7, WORKER, Evidence::WorkRejected, false);
    assert_eq!(freshness.permit(STALE + 8, WORKER), Permit::Granted);
}

#[test]
fn consecutive_rejections_pause_an_executor_for_longer_each_time() {
    let mut freshness = stale();
    freshness.on_evidence(STALE, WORKER, Evidence::WorkRejected, true);
    freshness.on_evidence(STALE, WORKER, Evidence::WorkRejected, true);
    assert_eq!(
        freshness.permit(STALE + 249_000, WORKER),
        Permit::Denied(Outcome::Full),
        "treated as a full queue"
    );
    assert_eq!(freshness.permit(STALE + 250_000, WORKER), Permit::Ask);
    freshness.on_evidence(STALE + SECOND, WORKER, Evidence::WorkRejected, true);
    assert_eq!(freshness.permit(STALE + SECOND + 499_000, WORKER), Permit::Denied(Outcome::Full));
}

#[test]
fn one_positive_answer_alone_confirms_nothing() {
    for alone in [
        Evidence::Confirmed { since: STALE, copies: Some(1) },
        Evidence::Confirmed { since: STALE, copies: None },
    ] {
        let mut freshness = stale();
        ask(&mut freshness, STALE);
        freshness.on_evidence(STALE, WORKER, alone, true);
        assert_eq!(freshness.permit(STALE + 1, WORKER), Permit::Wait);
        freshness.expire_questions(STALE + ANSWER_TIMEOUT);
        // The other answer arrives after both questions were given up and asked again.
        ask(&mut freshness, STALE + ANSWER_TIMEOUT);
        freshness.on_evidence(STALE + ANSWER_TIMEOUT, WORKER, alone, true);
        assert_eq!(freshness.permit(STALE + ANSWER_TIMEOUT, WORKER), Permit::Wait);
    }
}

#[test]
fn an_executor_that_denies_accepting_work_is_out_of_service_until_it_confirms_again() {
    for denial in [Evidence::Denied, Evidence::QuestionRejected] {
        let mut freshness = stale();
        ask(&mut freshness, STALE);
        // The other question got a positive answer.
        freshness.on_evidence(STALE, WORKER, Evidence::Confirmed { since: STALE, copies: Some(1) }, true);
        assert_eq!(freshness.on_evidence(STALE, WORKER, denial, true), [Change::OutOfService(WORKER)]);
        assert_eq!(freshness.permit(STALE + 1, WORKER), Permit::Denied(Outcome::Moot));
        // Serving a call that was accepted earlier proves nothing about new work.
        assert_eq!(freshness.on_evidence(STALE + 2, WORKER, Evidence::Served, true), []);
        assert_eq!(freshness.permit(STALE + 3, WORKER), Permit::Denied(Outcome::Moot));
        assert!(freshness.due_repeats(STALE + SECOND - 1).is_empty());
        assert_eq!(freshness.due_repeats(STALE + SECOND), [(WORKER, "f".into())]);
        freshness.on_questions_queued(STALE + SECOND, WORKER, "f".into());
        let changes = confirm(&mut freshness, STALE + SECOND, WORKER, (STALE + SECOND, 1));
        assert_eq!(changes, [Change::AsListed(WORKER)]);
        assert_eq!(freshness.permit(STALE + SECOND, WORKER), Permit::Granted);
    }
}

/// Guards against overloading a draining executor with the questions of many front ends.
#[test]
fn a_draining_executor_is_asked_less_often_each_time_up_to_a_shared_interval() {
    let mut freshness = started(FreshnessSettings { front_ends: 80, jitter: 0.0, ..settings() });
    let (mut now, mut pauses) = (1, Vec::new());
    for _ in 0..6 {
        freshness.on_questions_queued(now, WORKER, "f".into());
        freshness.on_evidence(now, WORKER, Evidence::Denied, true);
        let next =
            (now..).step_by(SECOND as usize).find(|at| !freshness.due_repeats(*at).is_empty()).unwrap();
        pauses.push((next - now) / SECOND);
        now = next;
    }
    assert_eq!(pauses, [1, 2, 4, 8, 10, 10]);
}

#[test]
fn a_question_rejected_on_a_new_connection_may_be_due_to_a_full_connection_table() {
    let mut freshness = stale();
    ask(&mut freshness, STALE);
    let reroute = Change::Reroute { worker: WORKER, outcome: Outcome::Full };
    assert_eq!(freshness.on_evidence(STALE, WORKER, Evidence::QuestionRejected, false), [reroute]);
    assert_eq!(freshness.permit(STALE + 1, WORKER), Permit::Denied(Outcome::Full));
    assert_eq!(freshness.permit(STALE + 100_000, WORKER), Permit::Ask);
}

#[test]
fn an_unanswered_question_expires_and_waiting_work_is_rerouted() {
    let mut freshness = stale();
    ask(&mut freshness, STALE);
    assert!(freshness.expire_questions(STALE + ANSWER_TIMEOUT - 1).is_empty());
    let reroute = Change::Reroute { worker: WORKER, outcome: Outcome::ConnectFailed };
    assert_eq!(freshness.expire_questions(STALE + ANSWER_TIMEOUT), [reroute]);
    assert!(freshness.expire_questions(STALE + ANSWER_TIMEOUT).is_empty());
    assert_eq!(freshness.counters().unanswered, 1);
}

#[test]
fn no_work_goes_to_an_address_that_refused_a_connection_until_discovery_confirms_the_list() {
    let mut freshness = stale();
    freshness.on_disconnected(STALE, WORKER, 0.5);
    assert_eq!(freshness.on_connection_refused(STALE + 1, WORKER), [Change::OutOfService(WORKER)]);
    freshness.on_connected(STALE + SECOND, WORKER);
    assert!(freshness.on_evidence(STALE + SECOND, WORKER, Evidence::Served, true).is_empty());
    assert_eq!(freshness.permit(STALE + SECOND, WORKER), Permit::Denied(Outcome::Moot));
    freshness.on_discovery_received(STALE + 2 * SECOND, Received::UpToDate);
    let (_, changes) = freshness.transition(STALE + 2 * SECOND);
    assert_eq!(changes, [Change::AsListed(WORKER)]);
    assert_eq!(freshness.permit(STALE + 2 * SECOND, WORKER), Permit::Granted);
}

/// The connection was refused before the list became stale, but discovery had no time to announce why.
#[test]
fn an_address_that_refused_shortly_before_the_list_became_stale_is_out_of_service() {
    let mut freshness = started(settings());
    freshness.on_discovery_received(SECOND, Received::UpToDate);
    freshness.transition(SECOND);
    assert!(
        freshness.on_connection_refused(2 * SECOND, WORKER).is_empty(),
        "the list is fresh: the module handles refused connections"
    );
    assert_eq!(freshness.permit(2 * SECOND, WORKER), Permit::Granted);
    assert_eq!(freshness.transition(STALE).1, [Change::OutOfService(WORKER)]);
}

#[test]
fn discovery_overrides_a_refusal_of_long_ago() {
    let mut freshness = started(settings());
    freshness.on_discovery_received(SECOND, Received::UpToDate);
    freshness.transition(SECOND);
    freshness.on_connection_refused(2 * SECOND, WORKER);
    for second in 3..20 {
        freshness.on_discovery_received(second * SECOND, Received::UpToDate);
    }
    assert_eq!(freshness.transition(30 * SECOND).1, []);
    assert_eq!(freshness.permit(30 * SECOND, WORKER), Permit::Ask);
}

#[test]
fn a_connection_established_at_once_leads_to_the_same_process() {
    let mut freshness = stale();
    freshness.on_disconnected(STALE, WORKER, 0.5);
    freshness.on_connected(STALE + 200_000, WORKER);
    ask(&mut freshness, STALE + 200_000);
    assert!(confirm(&mut freshness, STALE + 200_000, WORKER, (STALE + 200_000, 1)).is_empty());
    assert_eq!(freshness.permit(STALE + 200_000, WORKER), Permit::Granted);
}

/// Guards against endless reconnects to an executor that closes each connection.
#[test]
fn a_front_end_reconnects_once_until_the_executor_confirms_again() {
    let mut freshness = stale();
    assert_eq!(freshness.on_disconnected(STALE, WORKER, 0.5), None, "not confirmed in this outage");
    for _ in 0..2 {
        ask(&mut freshness, STALE);
        confirm(&mut freshness, STALE, WORKER, (STALE, 1));
        assert_eq!(freshness.on_disconnected(STALE, WORKER, 0.5), Some(100_000));
        freshness.on_connected(STALE, WORKER);
        assert_eq!(freshness.on_disconnected(STALE, WORKER, 0.5), None);
        freshness.on_connected(STALE, WORKER);
    }
}

/// Guards against memory growth: late answers of removed executors must not be stored.
#[test]
fn nothing_is_stored_about_removed_executors() {
    let mut freshness = stale();
    freshness.on_listed(WORKER, true);
    freshness.on_evidence(STALE, WORKER, Evidence::Served, true);
    freshness.on_evidence(STALE, WORKER, Evidence::WorkRejected, true);
    freshness.on_questions_queued(STALE, WORKER, "f".into());
    for evidence in [Evidence::Denied, Evidence::QuestionRejected, Evidence::Inconclusive] {
        assert_eq!(freshness.on_evidence(STALE, WORKER, evidence, true), []);
    }
    assert_eq!(freshness.on_connection_refused(STALE, WORKER), []);
    freshness.on_disconnected(STALE, WORKER, 0.5);
    assert_eq!(freshness.tracked(), 0);
    freshness.on_listed(WORKER, false);
    freshness.on_evidence(STALE, WORKER, Evidence::Served, true);
    freshness.on_full_list(&Default::default());
    assert_eq!(freshness.tracked(), 0);
}

#[test]
fn a_late_reconnect_or_one_after_an_unanswered_question_may_lead_to_a_cold_process() {
    for (unresponsive, gap) in [(false, 600_000), (true, 1_000)] {
        let mut freshness = stale();
        if unresponsive {
            ask(&mut freshness, STALE);
            freshness.expire_questions(STALE + ANSWER_TIMEOUT);
        }
        let disconnected = STALE + SECOND;
        freshness.on_disconnected(disconnected, WORKER, 0.5);
        freshness.on_connected(disconnected + gap, WORKER);
        ask(&mut freshness, disconnected + gap);
        let changes = confirm(&mut freshness, disconnected + gap, WORKER, (disconnected + gap, 1));
        let reroute = Change::Reroute { worker: WORKER, outcome: Outcome::Moot };
        assert_eq!(changes, [Change::PresumedRestarted(WORKER), reroute], "unresponsive: {unresponsive}");
        // Once discovery is back, the presumed restart is withdrawn.
        freshness.on_discovery_received(disconnected + 2 * SECOND, Received::UpToDate);
        assert_eq!(freshness.transition(disconnected + 2 * SECOND).1, [Change::AsListed(WORKER)]);
    }
}

#[test]
fn an_executor_whose_first_answer_reports_no_copies_is_presumed_restarted() {
    let mut freshness = started(settings());
    [8, 9].into_iter().for_each(|worker| freshness.on_listed(worker, false));
    let mut first_answer = |now, worker, copies| {
        freshness.on_questions_queued(now, worker, "f".into());
        confirm(&mut freshness, now, worker, (now, copies))
    };
    assert_eq!(first_answer(SECOND, 9, 0), [], "discovery's first frame has yet to arrive");
    assert_eq!(first_answer(2 * SECOND, WORKER, 0), [Change::PresumedRestarted(WORKER)]);
    assert_eq!(first_answer(2 * SECOND, WORKER, 0), [], "only once");
    assert_eq!(first_answer(2 * SECOND, 8, 1), [], "it has copies, so it has not just started");
    let mut confirmed_before = stale();
    confirmed_before.on_listed(8, false);
    confirmed_before.on_questions_queued(STALE, 8, "f".into());
    assert_eq!(confirm(&mut confirmed_before, STALE, 8, (STALE, 0)), [], "discovery has announced it");
}

/// Discovery may be back before it knows of a drain that the executor itself has reported. The executor is
/// asked again then.
#[test]
fn a_reported_drain_outlasts_the_return_of_discovery() {
    let mut freshness = stale();
    freshness.on_questions_queued(STALE, WORKER, "f".into());
    freshness.on_evidence(STALE, WORKER, Evidence::Denied, true);
    let back = STALE + SECOND;
    freshness.on_discovery_received(back, Received::UpToDate);
    assert_eq!(freshness.transition(back).1, [Change::AsListed(WORKER)]);
    ask(&mut freshness, back);
    assert_eq!(freshness.on_evidence(back, WORKER, Evidence::Denied, true), [Change::OutOfService(WORKER)]);
    // An event about the executor supersedes its own report.
    freshness.on_listed(WORKER, false);
    assert_eq!(freshness.permit(back, WORKER), Permit::Granted);
}

#[test]
fn without_probes_nothing_confirms_an_executor() {
    let mut freshness = started(FreshnessSettings { may_probe: false, ..settings() });
    assert_eq!(freshness.permit(SECOND, WORKER), Permit::Wait, "discovery's first frame may still arrive");
    freshness.on_evidence(2 * SECOND, WORKER, Evidence::Served, true);
    assert_eq!(freshness.permit(2 * SECOND, WORKER), Permit::Denied(Outcome::Moot));
}

#[test]
fn without_orders_the_probe_alone_confirms() {
    let mut freshness = started(FreshnessSettings { may_order: false, ..settings() });
    ask(&mut freshness, SECOND);
    freshness.on_evidence(SECOND, WORKER, Evidence::Confirmed { since: SECOND, copies: None }, true);
    assert_eq!(freshness.permit(SECOND, WORKER), Permit::Granted);
}

#[test]
fn outage_counters_start_at_zero_in_each_outage() {
    let mut freshness = stale();
    ask(&mut freshness, STALE);
    confirm(&mut freshness, STALE, WORKER, (STALE, 1));
    freshness.on_work_sent(STALE);
    assert_eq!((freshness.outage_counters().questions, freshness.outage_counters().sent_while_stale), (2, 1));
    freshness.on_discovery_received(STALE + SECOND, Received::UpToDate);
    freshness.transition(STALE + SECOND);
    freshness.on_discovery_end(STALE + SECOND, ConnectionEnd::Broken);
    freshness.transition(STALE + 4 * SECOND);
    assert_eq!(freshness.outage_counters(), Default::default());
    assert_eq!(freshness.counters().outages, 2);
}

/// A step of a front end and one executor, which starts to drain at some time and answers with delays.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    Work,
    Answer { after: u64, connection_table_full: bool },
    Disconnect,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..200_000).prop_map(Step::Wait),
        4 => Just(Step::Work),
        3 => (0u64..600_000, proptest::bool::weighted(0.2))
            .prop_map(|(after, connection_table_full)| Step::Answer { after, connection_table_full }),
        1 => Just(Step::Disconnect),
    ]
}

proptest! {
    /// For any order of events, no work is sent later than the grace period after a drain has started, since
    /// each confirmation is true for the time at which it was made.
    #[test]
    fn no_work_is_sent_past_the_grace_period_after_a_drain(
        drains_after in 0u64..8 * SECOND,
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut freshness = stale();
        let drains = STALE + drains_after;
        let mut now = STALE;
        let mut question: Option<u64> = None;
        let mut call: Option<u64> = None;
        for step in steps {
            match step {
                Step::Wait(span) => {
                    now += span;
                    freshness.expire_questions(now);
                }
                Step::Work => match freshness.permit(now, WORKER) {
                    Permit::Granted => {
                        prop_assert!(now < drains + GRACE, "sent at {now}, drains at {drains}");
                        call.get_or_insert(now);
                    }
                    Permit::Ask => {
                        freshness.on_questions_queued(now, WORKER, "f".into());
                        question = Some(now);
                    }
                    Permit::Wait | Permit::Denied(_) => {}
                },
                Step::Answer { after, connection_table_full } => {
                    // The executor handles the question at some time after it was sent, and answers later.
                    if let Some(sent) = question.take() {
                        now = now.max(sent + after);
                        // A draining executor gives a positive answer to the order as well.
                        let order = Evidence::Confirmed { since: sent, copies: Some(1) };
                        freshness.on_evidence(now, WORKER, order, true);
                        let probe = if sent + after < drains {
                            Evidence::Confirmed { since: sent, copies: None }
                        } else {
                            Evidence::Denied
                        };
                        freshness.on_evidence(now, WORKER, probe, !connection_table_full);
                    }
                    // A draining executor may still serve calls.
                    if let Some(sent) = call.take() {
                        now = now.max(sent + after);
                        let evidence = if connection_table_full { Evidence::WorkRejected } else { Evidence::Served };
                        freshness.on_evidence(now, WORKER, evidence, true);
                    }
                }
                Step::Disconnect => {
                    freshness.on_disconnected(now, WORKER, 0.5);
                    freshness.on_connected(now + 1, WORKER);
                    (question, call) = (None, None);
                }
            }
        }
    }
}
