//! Sequences of events that random schedules hardly ever produce.

use badgerwind_budgets::*;

fn fixture() -> (LeaseSettings, LimitSet) {
    let settings = LeaseSettings {
        voters: vec![0],
        vote: 10,
        lease: 6,
        request_interval: 2,
        drift_ppm: 0,
        max_moves: 256,
    };
    let limit = Limit { units: 1, floor: 0, members: 0, cooldown: 0 };
    (settings, LimitSet { version: 1, limits: vec![limit] })
}

/// Gives the candidate the vote of the only voter.
fn elect(coordinator: &mut Coordinator, now: Time, limit_set: &LimitSet, settings: &LeaseSettings) {
    let Message::RequestVote { incarnation, round, .. } = coordinator.request_votes(now, limit_set, settings)
    else {
        unreachable!()
    };
    coordinator.on_vote(now, 0, &Message::Vote { incarnation, round }, limit_set, settings);
    assert!(coordinator.is_coordinator(now, limit_set, settings));
}

/// A new coordinator receives a delayed request of a lessee that held the unit when it sent it. That this
/// lessee no longer holds the unit does not make it free: the old coordinator may have granted it to another
/// one, which has not sent the new coordinator a request yet. Returns whether the unit has two owners at the
/// end.
fn a_delayed_request_reaches_a_new_coordinator(mutant: Option<Mutant>) -> bool {
    let (settings, limit_set) = fixture();
    let mut old = Coordinator::new(0, 1).with_mutant(mutant);
    let mut new = Coordinator::new(1, 1).with_mutant(mutant);
    let mut a = Lessee::new(0, (2, 1), 0, &limit_set, &settings);
    let mut b = Lessee::new(0, (3, 1), 0, &limit_set, &settings);
    elect(&mut old, 0, &limit_set, &settings);
    elect(&mut old, 8, &limit_set, &settings);
    let request = b.request_lease(9, 1);
    let grant = old.on_lease_request(9, 3, &request, &limit_set, &settings).expect("it is coordinator");
    assert!(b.on_grant(9, &grant) && b.owned(9).contains(0));
    let delayed = b.request_lease(10, 1);
    // The lease of `b` expires, its next request says so, and the unit is granted to `a`.
    let request = b.request_lease(16, 0);
    old.on_lease_request(16, 3, &request, &limit_set, &settings);
    let request = a.request_lease(17, 1);
    let grant = old.on_lease_request(17, 2, &request, &limit_set, &settings).expect("it is coordinator");
    assert!(a.on_grant(17, &grant) && a.owned(18).contains(0));
    // The old coordinator's votes have expired.
    assert!(!old.is_coordinator(18, &limit_set, &settings));
    elect(&mut new, 18, &limit_set, &settings);
    new.on_lease_request(18, 3, &delayed, &limit_set, &settings);
    let request = b.request_lease(18, 0);
    new.on_lease_request(18, 3, &request, &limit_set, &settings);
    let request = b.request_lease(20, 1);
    if let Some(grant) = new.on_lease_request(20, 3, &request, &limit_set, &settings) {
        b.on_grant(20, &grant);
    }
    a.owned(20).contains(0) && b.owned(20).contains(0)
}

#[test]
fn units_of_an_old_coordinator_are_not_granted_before_its_leases_must_have_ended() {
    assert!(!a_delayed_request_reaches_a_new_coordinator(None));
    assert!(
        a_delayed_request_reaches_a_new_coordinator(Some(Mutant::ForgetsUnknownOwners)),
        "the defect is detected"
    );
}

/// A voter does not store its promises, so after a restart it must give no vote before the last one must have
/// expired.
#[test]
fn a_restarted_voter_gives_no_vote_before_its_promises_must_have_expired() {
    let (settings, _) = fixture();
    let mut voter = Voter::new(0, &settings);
    assert!(!voter.on_vote_request(10, (0, 1), (1, 1), &settings), "no vote right after the start");
    assert!(voter.on_vote_request(11, (0, 1), (1, 1), &settings));
    assert!(!voter.on_vote_request(12, (1, 1), (1, 1), &settings), "one promise at a time");
    assert!(voter.on_vote_request(12, (0, 1), (1, 1), &settings), "the same candidate again");
    assert!(!voter.on_vote_request(22, (1, 1), (1, 1), &settings));
    let mut again = Voter::new(13, &settings);
    assert!(
        !again.on_vote_request(22, (1, 1), (1, 1), &settings),
        "the promise before the restart is still valid"
    );
    let mut forgets = Voter::new(0, &settings); // a voter past its quiet time that has lost its promise
    assert!(
        forgets.on_vote_request(22, (1, 1), (1, 1), &settings),
        "without the quiet time it would elect a second coordinator"
    );
    assert!(again.on_vote_request(24, (1, 1), (1, 1), &settings));
    assert!(
        !Voter::new(0, &settings).on_vote_request(50, (1, 1), (1, 2), &settings),
        "no vote for a candidate with older settings"
    );
}

#[test]
fn inconsistent_settings_are_rejected() {
    let (settings, limit_set) = fixture();
    assert_eq!(settings.validate(&limit_set.limits), Ok(()));
    let limit = Limit { units: 5, floor: 2, members: 3, cooldown: 0 };
    assert_eq!(
        settings.validate(&[limit]),
        Err(SettingsError::FloorsExceedLimit { units: 5, floor: 2, members: 3 })
    );
    let none = LeaseSettings { voters: vec![], ..settings.clone() };
    assert_eq!(none.validate(&limit_set.limits), Err(SettingsError::NoVoter));
    let slow = LeaseSettings { request_interval: 3, ..settings.clone() };
    assert_eq!(
        slow.validate(&limit_set.limits),
        Err(SettingsError::IntervalTooLong { request_interval: 3, lease: 6 })
    );
    let wild = LeaseSettings { drift_ppm: 200_000, ..settings.clone() };
    assert_eq!(wild.validate(&limit_set.limits), Err(SettingsError::DriftTooLarge(200_000)));
    let mut next = limit_set.clone();
    (next.version, next.limits[0].units) = (2, 9);
    assert_eq!(limit_set.check_successor(&next), Ok(()));
    next.limits[0].floor = 1;
    assert_eq!(limit_set.check_successor(&next), Err(SettingsError::IncompatibleChange(2)));
    let mut node = Node::new(0, (0, 1), limit_set.clone(), settings.clone(), 0.5);
    assert_eq!(node.apply_limits(1, &next), Err(SettingsError::IncompatibleChange(2)));
    assert_eq!(node.limit_set(), &limit_set, "the node keeps its limits");
}
