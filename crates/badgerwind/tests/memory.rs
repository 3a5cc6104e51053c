//! What requests make a router remember, for how long, and what a flood of them does not displace.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::*;

/// Names that clients make up in one flood.
const NAMES: u64 = 20_000;
/// Functions that may be remembered after a flood: a twentieth of the memory limit of 32 MB, at about 1 KiB each.
const MAX_REMEMBERED: usize = 32_000_000 / 20 / 1024;

fn repeatable(workers: u32) -> CheckedRouter {
    let mut set = settings(Effect::Repeatable);
    (set.when_absent, set.keep_alive) = (WhenAbsent::Load, 8_000 * MS);
    CheckedRouter::new(set, workers)
}

/// Passes requests for as many functions to a router, 20 within a millisecond. `end` ends each of them.
fn flood(checked: &mut CheckedRouter, prefix: &str, mut end: impl FnMut(&mut CheckedRouter, &str)) -> usize {
    let mut most = 0;
    for n in 0..NAMES {
        let id = format!("{prefix}-{n}");
        checked.request(&id, &id, 3_000 * MS);
        end(checked, &id);
        if n % 20 == 0 {
            checked.advance(MS);
            most = most.max(checked.router.stats().functions);
            forget_old_records(checked);
        }
    }
    most
}

/// Empties the records of the check that grow with each request.
fn forget_old_records(checked: &mut CheckedRouter) {
    checked.actions.clear();
    let from = checked.now.saturating_sub(checked.settings.load_window);
    checked.arrivals.retain(|at| *at >= from);
    checked.answered.clear();
}

fn withdraw(checked: &mut CheckedRouter, id: &str) {
    checked.event(Event::ClientDisconnected { id: id.into() });
    let cancelled = checked.sends(id).len();
    for attempt in 0..cancelled {
        checked.answer(id, attempt as u32, Outcome::Cancelled, CopyMark::Untold);
    }
    checked.attempts.remove(id);
}

fn fail(checked: &mut CheckedRouter, id: &str) {
    let mut attempt = 0;
    while attempt < checked.sends(id).len() {
        checked.answer(id, attempt as u32, Outcome::Error, CopyMark::Untold);
        attempt += 1;
    }
    withdraw(checked, id);
}

/// Guards against review case 10: each name of a withdrawn request was remembered for eight keep-alives.
#[test]
fn functions_named_by_withdrawn_requests_are_bounded() {
    let most = flood(&mut repeatable(4), "unknown", withdraw);
    assert!(most <= MAX_REMEMBERED, "{most} functions remembered");
}

/// Guards against the same of requests that workers answer with an error, as for a function that does not exist.
#[test]
fn functions_that_only_gave_errors_are_bounded() {
    let most = flood(&mut repeatable(4), "unknown", fail);
    assert!(most <= MAX_REMEMBERED, "{most} functions remembered");
}

/// Guards against the same where no worker is ready, so that requests wait, or are refused.
#[test]
fn functions_of_refused_requests_are_bounded() {
    let mut checked = repeatable(0);
    let most = flood(&mut checked, "refused", |checked, id| {
        if checked.router.stats().waiting > 100 {
            withdraw(checked, id);
        }
    });
    assert!(most <= MAX_REMEMBERED, "{most} functions remembered");
}

/// A flood of other names does not make the router forget where a served function is loaded.
#[test]
fn a_served_function_outlives_a_flood_of_unknown_ones() {
    for mark in [CopyMark::Warm, CopyMark::BeganLoad] {
        let mut checked = repeatable(40);
        checked.request("first", "served", 3_000 * MS);
        checked.advance(100 * MS);
        checked.answer("first", 0, Outcome::Ok, mark);
        let before = checked.router.stats().functions;
        flood(&mut checked, "unknown", withdraw);
        assert!(checked.router.stats().functions > before, "the flood has left its functions");
        checked.request("second", "served", 3_000 * MS);
        assert_eq!(checked.sends("second"), checked.sends("first"), "sent to the copy, {mark:?}");
    }
}

/// A request that waits for its first answer is served as before, whatever others ask for meanwhile.
#[test]
fn a_function_with_a_request_in_flight_outlives_a_flood() {
    let mut checked = repeatable(4);
    checked.request("waits", "new", 3_000 * MS);
    assert_eq!(checked.sends("waits").len(), 1);
    flood(&mut checked, "unknown", withdraw);
    checked.answer("waits", 0, Outcome::Ok, CopyMark::Warm);
    checked.request("second", "new", 3_000 * MS);
    assert_eq!(checked.sends("second"), checked.sends("waits"), "the answer has shown where its copy is");
}

/// A held request of a function that is still loading keeps its place and gets its answer.
#[test]
fn a_function_with_a_held_request_or_a_pending_load_outlives_a_flood() {
    let mut set = settings(Effect::Repeatable);
    set.load_free = 1.0;
    let mut checked = CheckedRouter::new(set, 1);
    checked.request("waits", "new", 3_000 * MS);
    checked.advance(50 * MS);
    checked.answer("waits", 0, Outcome::Miss, CopyMark::Untold);
    let order = checked.loads.iter().position(|load| &*load.2 == "new").expect("a miss orders a load");
    flood(&mut checked, "unknown", withdraw);
    checked.loaded(order, Outcome::Ok, 1);
    checked.advance(50 * MS);
    assert_eq!(checked.sends("waits").len(), 2, "sent once its function is loaded");
}

/// The plan of unknown functions ends with them: nothing is planned for a function that was forgotten.
#[test]
fn plans_and_held_requests_end_with_their_functions() {
    let mut checked = repeatable(4);
    flood(&mut checked, "unknown", withdraw);
    checked.advance(100_000 * MS);
    let RouterStats { functions, planned, waiting, .. } = checked.router.stats();
    assert_eq!((functions, planned, waiting), (0, 0, 0));
    assert_eq!(Router::new(1, checked.settings.clone()).stats().functions, 0);
}
