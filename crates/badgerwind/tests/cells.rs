//! Long lists of workers: a function's candidates come from cells of bounded size that all front ends agree
//! on.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_cells::CellIndex;
use badgerwind_placement::{cells, preferred_workers};
use common::*;
use std::collections::BTreeSet;

/// Most workers in a cell, as in the module.
const CELL: usize = 128;
const WEIGHT: u64 = 1_000;

/// Settings of a front end in a very large fleet, without a limit on load orders.
fn planned() -> Settings {
    let mut set = settings(Effect::Repeatable);
    (set.front_ends, set.load_window, set.when_absent) = (11_000, 0, WhenAbsent::Load);
    (set.max_attempts, set.keep_alive) = (6, 30_000 * MS);
    set
}

fn index(workers: impl IntoIterator<Item = WorkerId>) -> CellIndex {
    let mut index = CellIndex::new(CELL);
    workers.into_iter().for_each(|id| index.set(id, WEIGHT));
    index
}

/// The worker that each function's first call goes to.
fn first_sends(checked: &mut CheckedRouter, functions: u32) -> Vec<WorkerId> {
    let mut sent = Vec::new();
    for n in 0..functions {
        let (id, name) = (format!("{:08x}-{n}", checked.now), format!("function-{n}"));
        checked.request(&id, &name, 3000 * MS);
        sent.push(checked.sends(&id)[0]);
        checked.answer(&id, 0, Outcome::Ok, CopyMark::Warm);
        checked.now += MS;
    }
    sent
}

fn change(checked: &mut CheckedRouter, workers: impl IntoIterator<Item = WorkerId>, to: Availability) {
    let entries = workers.into_iter().map(|id| entry(id, to, None)).collect();
    checked.event(Event::List { kind: ListKind::Changes, entries });
}

/// The share of these that differ.
fn moved(before: &[WorkerId], after: &[WorkerId]) -> f64 {
    before.iter().zip(after).filter(|(a, b)| a != b).count() as f64 / before.len() as f64
}

#[test]
fn the_first_call_goes_to_the_first_worker_of_the_functions_cell() {
    let mut checked = CheckedRouter::new(planned(), 4_000);
    let index = index(1..=4_000);
    for (n, sent) in first_sends(&mut checked, 200).into_iter().enumerate() {
        let name = format!("function-{n}");
        assert_eq!(sent, preferred_workers(&name, &cells(&name, &index, 16))[0]);
    }
}

#[test]
fn the_number_of_candidates_does_not_grow_with_the_list_and_the_check_detects_growth() {
    let candidates = |most: usize, workers: u32| {
        let mut index = CellIndex::new(most);
        (0..workers).for_each(|id| index.set(id, WEIGHT));
        (0..50)
            .map(|n| preferred_workers(&format!("f{n}"), &cells(&format!("f{n}"), &index, 16)).len())
            .max()
            .unwrap_or(0)
    };
    let growth = |most: usize| candidates(most, 16_000) as f64 / candidates(most, 120) as f64;
    assert!(growth(CELL) <= 1.5, "{} times as many candidates", growth(CELL));
    // The same list in a single cell must fail the check.
    assert!(growth(usize::MAX) > 100.0);
}

#[test]
fn a_function_whose_cell_is_lost_goes_to_another_at_once() {
    let mut checked = CheckedRouter::new(planned(), 2_000);
    let before = first_sends(&mut checked, 50);
    let whole = index(1..=2_000);
    let name = "function-7";
    let lost: BTreeSet<WorkerId> = cells(name, &whole, 16)[0].members.iter().map(|m| m.id).collect();
    assert!(lost.len() <= CELL && lost.contains(&before[7]));
    change(&mut checked, lost.iter().copied(), Availability::Removed);
    let after = first_sends(&mut checked, 50);
    assert!(!lost.contains(&after[7]), "sent to a removed worker");
    for (n, (old, new)) in before.iter().zip(&after).enumerate().filter(|(_, (old, _))| !lost.contains(old)) {
        let cell = |index: &CellIndex| cells(&format!("function-{n}"), index, 16)[0].path;
        let left = index((1..=2_000).filter(|id| !lost.contains(id)));
        assert!(
            old == new || cell(&whole) != cell(&left),
            "function-{n} moved within a cell that lost nothing"
        );
    }
}

/// One of three zones is lost and returns: the functions of the others hardly move.
#[test]
fn functions_of_a_lost_zone_move_and_come_back() {
    let mut checked = CheckedRouter::new(planned(), 3_000);
    let zone: Vec<WorkerId> = (1..=3_000).filter(|id| id % 3 == 0).collect();
    let before = first_sends(&mut checked, 300);
    change(&mut checked, zone.iter().copied(), Availability::Draining);
    let without = first_sends(&mut checked, 300);
    assert!(without.iter().all(|id| id % 3 != 0));
    change(&mut checked, zone.iter().copied(), Availability::Ready);
    checked.advance(20_000 * MS);
    let lost = before.iter().filter(|id| *id % 3 == 0).count() as f64 / 300.0;
    let moved_by_loss = moved(&before, &without);
    assert!(moved_by_loss < 2.0 * lost, "{moved_by_loss} moved where {lost} had to");
}

/// After an interruption the list arrives complete: removed workers get no calls, and other functions hardly
/// move.
#[test]
fn a_complete_list_after_an_interruption_moves_only_what_changed() {
    let mut checked = CheckedRouter::new(planned(), 3_000);
    let before = first_sends(&mut checked, 300);
    let entries =
        (1..=3_030).filter(|id| id % 50 != 0).map(|id| entry(id, Availability::Ready, None)).collect();
    checked.event(Event::List { kind: ListKind::Whole, entries });
    let after = first_sends(&mut checked, 300);
    assert!(after.iter().all(|id| id % 50 != 0));
    let share = moved(&before, &after);
    assert!(share < 0.15, "{share} of the functions moved for 3% of the workers");
}

/// A front end that has not received the last 1% of changes sends few calls to other workers than its peers.
#[test]
fn front_ends_with_lists_of_different_age_mostly_agree() {
    let mut fresh = CheckedRouter::new(planned(), 4_000);
    let mut late = CheckedRouter::new(planned(), 4_000);
    change(&mut fresh, (1..=4_000).filter(|id| id % 100 == 0), Availability::Removed);
    let share = moved(&first_sends(&mut fresh, 500), &first_sends(&mut late, 500));
    assert!(share < 0.08, "{share} of the functions went to another worker for 1% of the list");
}

/// A restarted front end prefers the same workers as those that have run for long.
#[test]
fn a_restarted_front_end_places_as_its_peers_do() {
    let mut old = CheckedRouter::new(planned(), 4_000);
    change(&mut old, 1..=400, Availability::Removed);
    change(&mut old, 1..=400, Availability::Ready);
    change(&mut old, 4_001..=4_400, Availability::Ready);
    change(&mut old, 4_001..=4_400, Availability::Removed);
    let mut restarted = CheckedRouter::new(planned(), 4_000);
    assert_eq!(first_sends(&mut old, 300), first_sends(&mut restarted, 300));
}

/// The workers of six of seven regions are unreachable for an hour: afterwards calls go where they went
/// before.
#[test]
fn regions_apart_for_an_hour_and_rejoined_are_placed_as_before() {
    let mut checked = CheckedRouter::new(planned(), 2_100);
    let far: Vec<WorkerId> = (1..=2_100).filter(|id| id % 7 != 0).collect();
    let before = first_sends(&mut checked, 200);
    change(&mut checked, far.iter().copied(), Availability::Removed);
    let apart = first_sends(&mut checked, 200);
    assert!(apart.iter().all(|id| id % 7 == 0));
    checked.advance(3_600_000 * MS);
    change(&mut checked, far, Availability::Ready);
    checked.advance(1_000 * MS);
    assert_eq!(first_sends(&mut checked, 200), before);
}

/// A function whose calls increase a thousandfold within a second is spread over more than one cell.
#[test]
fn a_function_a_thousand_times_as_hot_spreads_beyond_its_cell() {
    let mut checked = CheckedRouter::new(planned(), 2_000);
    let mut used = BTreeSet::new();
    for n in 0..1_000 {
        let id = format!("{n}");
        checked.request(&id, "hot", 3000 * MS);
        checked.now += MS;
        let Some(worker) = checked.sends(&id).last().copied() else { continue };
        used.insert(worker);
        let (id, report): (RequestId, _) = (id.into(), None);
        let (outcome, last, lag, mark, crowd) = (Outcome::Ok, true, MS, CopyMark::Warm, Some(40));
        checked.event(Event::Answer { id, attempt: 0, worker, outcome, last, lag, mark, crowd, report });
    }
    assert!(used.len() > CELL, "only {} workers took it", used.len());
}

/// Very many functions, each called once: the state is bounded by the functions called recently.
#[test]
fn functions_called_once_are_forgotten() {
    let mut set = planned();
    (set.keep_alive, set.may_order) = (1_000 * MS, false);
    let mut checked = CheckedRouter::new(set, 50);
    let mut most = 0;
    for n in 0..6_000 {
        let id = format!("{n}");
        checked.request(&id, &format!("once-{n}"), 3000 * MS);
        if !checked.sends(&id).is_empty() {
            checked.answer(&id, 0, Outcome::Ok, CopyMark::BeganLoad);
        }
        checked.attempts.clear();
        checked.actions.clear();
        checked.due.clear();
        checked.answered.clear();
        checked.advance(8 * MS);
        most = most.max(checked.router.stats().functions);
    }
    // A function is kept for eight keep-alives (1,000 calls), and until the next maintenance pass over all
    // functions.
    assert!(most < 3_000, "{most} functions in the state");
}

/// Periodic maintenance handles all workers in turn, and forgets the removed ones.
#[test]
fn removed_workers_are_forgotten_in_turn() {
    let mut checked = CheckedRouter::new(planned(), 1_000);
    first_sends(&mut checked, 10);
    change(&mut checked, 1..=900, Availability::Removed);
    assert_eq!(checked.router.stats().workers, 1_000);
    checked.advance(20_000 * MS);
    let stats = checked.router.stats();
    assert_eq!((stats.workers, stats.ready, stats.cells), (100, 100, 1));
}

/// A new router has no workers, functions or held requests.
#[test]
fn a_new_router_is_empty() {
    let stats = Router::new(1, planned()).stats();
    assert_eq!((stats.workers, stats.functions, stats.waiting, stats.cells), (0, 0, 0, 1));
}
