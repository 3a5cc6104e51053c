//! Long lists of workers: a function's candidates come from cells of bounded size, the same at all front ends.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_cells::CellIndex;
use badgerwind_placement::{cells, homes};
use common::*;
use std::collections::BTreeSet;

/// As many workers in a cell as the module allows.
const CELL: usize = 128;
const WEIGHT: u64 = 1_000;

/// A front end of the planned fleet, where orders have no limit of their own.
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
fn first_sends(bench: &mut Bench, functions: u32) -> Vec<WorkerId> {
    let mut sent = Vec::new();
    for n in 0..functions {
        let (id, name) = (format!("{:08x}-{n}", bench.now), format!("function-{n}"));
        bench.ask(&id, &name, 3000 * MS);
        sent.push(bench.sends(&id)[0]);
        bench.answer(&id, 0, Outcome::Ok, CopyMark::Warm);
        bench.now += MS;
    }
    sent
}

fn change(bench: &mut Bench, workers: impl IntoIterator<Item = WorkerId>, to: Availability) {
    let entries = workers.into_iter().map(|id| entry(id, to, None)).collect();
    bench.event(Event::List { kind: ListKind::Changes, entries });
}

/// How many of these differ, as a share.
fn moved(before: &[WorkerId], after: &[WorkerId]) -> f64 {
    before.iter().zip(after).filter(|(a, b)| a != b).count() as f64 / before.len() as f64
}

#[test]
fn the_first_call_goes_to_the_first_worker_of_the_functions_cell() {
    let mut bench = Bench::new(planned(), 4_000);
    let index = index(1..=4_000);
    for (n, sent) in first_sends(&mut bench, 200).into_iter().enumerate() {
        let name = format!("function-{n}");
        assert_eq!(sent, homes(&name, &cells(&name, &index, 16))[0]);
    }
}

#[test]
fn candidates_stay_few_however_long_the_list_and_the_check_sees_one_that_grows() {
    let candidates = |most: usize, workers: u32| {
        let mut index = CellIndex::new(most);
        (0..workers).for_each(|id| index.set(id, WEIGHT));
        (0..50)
            .map(|n| homes(&format!("f{n}"), &cells(&format!("f{n}"), &index, 16)).len())
            .max()
            .unwrap_or(0)
    };
    let growth = |most: usize| candidates(most, 16_000) as f64 / candidates(most, 120) as f64;
    assert!(growth(CELL) <= 1.5, "{} times as many candidates", growth(CELL));
    // The same list in one cell, as before: the check must fail on it.
    assert!(growth(usize::MAX) > 100.0);
}

#[test]
fn a_function_whose_cell_is_lost_goes_to_another_at_once() {
    let mut bench = Bench::new(planned(), 2_000);
    let before = first_sends(&mut bench, 50);
    let whole = index(1..=2_000);
    let name = "function-7";
    let lost: BTreeSet<WorkerId> = cells(name, &whole, 16)[0].members.iter().map(|m| m.id).collect();
    assert!(lost.len() <= CELL && lost.contains(&before[7]));
    change(&mut bench, lost.iter().copied(), Availability::Gone);
    let after = first_sends(&mut bench, 50);
    assert!(!lost.contains(&after[7]), "sent to a worker that is gone");
    for (n, (old, new)) in before.iter().zip(&after).enumerate().filter(|(_, (old, _))| !lost.contains(old)) {
        let cell = |index: &CellIndex| cells(&format!("function-{n}"), index, 16)[0].path;
        let left = index((1..=2_000).filter(|id| !lost.contains(id)));
        assert!(
            old == new || cell(&whole) != cell(&left),
            "function-{n} moved within a cell that lost nothing"
        );
    }
}

/// A zone of three is lost and comes back: what stayed goes on where it was, and all is as before in the end.
#[test]
fn functions_of_a_lost_zone_move_and_come_back() {
    let mut bench = Bench::new(planned(), 3_000);
    let zone: Vec<WorkerId> = (1..=3_000).filter(|id| id % 3 == 0).collect();
    let before = first_sends(&mut bench, 300);
    change(&mut bench, zone.iter().copied(), Availability::Draining);
    let without = first_sends(&mut bench, 300);
    assert!(without.iter().all(|id| id % 3 != 0));
    change(&mut bench, zone.iter().copied(), Availability::Ready);
    bench.pass(20_000 * MS);
    let lost = before.iter().filter(|id| *id % 3 == 0).count() as f64 / 300.0;
    let moved_by_loss = moved(&before, &without);
    assert!(moved_by_loss < 2.0 * lost, "{moved_by_loss} moved where {lost} had to");
}

/// After a cut the list comes whole: what is not in it any more gets nothing, what is the same stays in place.
#[test]
fn a_whole_list_after_a_cut_moves_only_what_changed() {
    let mut bench = Bench::new(planned(), 3_000);
    let before = first_sends(&mut bench, 300);
    let entries =
        (1..=3_030).filter(|id| id % 50 != 0).map(|id| entry(id, Availability::Ready, None)).collect();
    bench.event(Event::List { kind: ListKind::Whole, entries });
    let after = first_sends(&mut bench, 300);
    assert!(after.iter().all(|id| id % 50 != 0));
    let share = moved(&before, &after);
    assert!(share < 0.15, "{share} of the functions moved for 3% of the workers");
}

/// One front end has not heard of the last 1% of changes yet: few calls go elsewhere than its peers'.
#[test]
fn front_ends_with_lists_of_different_age_mostly_agree() {
    let mut fresh = Bench::new(planned(), 4_000);
    let mut late = Bench::new(planned(), 4_000);
    change(&mut fresh, (1..=4_000).filter(|id| id % 100 == 0), Availability::Gone);
    let share = moved(&first_sends(&mut fresh, 500), &first_sends(&mut late, 500));
    assert!(share < 0.08, "{share} of the functions went to another worker for 1% of the list");
}

/// A front end that has just started places as those that have run for long do.
#[test]
fn a_restarted_front_end_places_as_its_peers_do() {
    let mut old = Bench::new(planned(), 4_000);
    change(&mut old, 1..=400, Availability::Gone);
    change(&mut old, 1..=400, Availability::Ready);
    change(&mut old, 4_001..=4_400, Availability::Ready);
    change(&mut old, 4_001..=4_400, Availability::Gone);
    let mut restarted = Bench::new(planned(), 4_000);
    assert_eq!(first_sends(&mut old, 300), first_sends(&mut restarted, 300));
}

/// Six of seven regions' workers are out of reach for an hour: afterwards all is placed as before.
#[test]
fn regions_apart_for_an_hour_and_rejoined_are_placed_as_before() {
    let mut bench = Bench::new(planned(), 2_100);
    let far: Vec<WorkerId> = (1..=2_100).filter(|id| id % 7 != 0).collect();
    let before = first_sends(&mut bench, 200);
    change(&mut bench, far.iter().copied(), Availability::Gone);
    let apart = first_sends(&mut bench, 200);
    assert!(apart.iter().all(|id| id % 7 == 0));
    bench.pass(3_600_000 * MS);
    change(&mut bench, far, Availability::Ready);
    bench.pass(1_000 * MS);
    assert_eq!(first_sends(&mut bench, 200), before);
}

/// A function that turns a thousand times as hot within a second is taken over by more than one cell.
#[test]
fn a_function_a_thousand_times_as_hot_spreads_beyond_its_cell() {
    let mut bench = Bench::new(planned(), 2_000);
    let mut used = BTreeSet::new();
    for n in 0..1_000 {
        let id = format!("{n}");
        bench.ask(&id, "hot", 3000 * MS);
        bench.now += MS;
        let Some(worker) = bench.sends(&id).last().copied() else { continue };
        used.insert(worker);
        let (id, report): (RequestId, _) = (id.into(), None);
        let (outcome, last, lag, mark, crowd) = (Outcome::Ok, true, MS, CopyMark::Warm, Some(40));
        bench.event(Event::Answer { id, attempt: 0, worker, outcome, last, lag, mark, crowd, report });
    }
    assert!(used.len() > CELL, "only {} workers took it", used.len());
}

/// Very many functions, each called once: what is kept of them is bounded by what was called lately.
#[test]
fn functions_called_once_are_forgotten() {
    let mut set = planned();
    (set.keep_alive, set.may_order) = (1_000 * MS, false);
    let mut bench = Bench::new(set, 50);
    let mut most = 0;
    for n in 0..6_000 {
        let id = format!("{n}");
        bench.ask(&id, &format!("once-{n}"), 3000 * MS);
        if !bench.sends(&id).is_empty() {
            bench.answer(&id, 0, Outcome::Ok, CopyMark::BeganLoad);
        }
        bench.tried.clear();
        bench.acts.clear();
        bench.due.clear();
        bench.over.clear();
        bench.pass(8 * MS);
        most = most.max(bench.router.figures().functions);
    }
    // A function is kept for eight keep-alives, 1,000 calls, and until maintenance comes by: one pass over all.
    assert!(most < 3_000, "{most} functions remembered");
}

/// Periodic maintenance comes by all workers in turn, and forgets those that are gone.
#[test]
fn workers_that_are_gone_are_forgotten_in_turn() {
    let mut bench = Bench::new(planned(), 1_000);
    first_sends(&mut bench, 10);
    change(&mut bench, 1..=900, Availability::Gone);
    assert_eq!(bench.router.figures().workers, 1_000);
    bench.pass(20_000 * MS);
    let figures = bench.router.figures();
    assert_eq!((figures.workers, figures.ready, figures.cells), (100, 100, 1));
}

/// What the figures say of a new router.
#[test]
fn a_new_router_knows_nothing() {
    let figures = Router::new(1, planned()).figures();
    assert_eq!((figures.workers, figures.functions, figures.waiting, figures.cells), (0, 0, 0, 1));
}
