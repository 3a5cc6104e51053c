//! Counts of a call on the real router and on hollow call paths. One test only: the counting allocator counts for the
//! whole process, so nothing may run beside what is measured.

use badgerwind::interface::{Action, Event, RequestId, Settings, Time, WorkerId};
use badgerwind::Router;
use badgerwind_scale::rows::call_counts::{call_counts, check_growth, CallCounts};
use badgerwind_scale::rows::front_end::{CallPath, Surroundings};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const FEW: u32 = 120;
const MANY: u32 = 4_000;
const FUNCTIONS: u64 = 200;
const SEED: u64 = 1;
/// Growth that a call path may have whose cost does not depend on the list.
const FLAT: f64 = 1.5;

/// A call path that sends each call to a worker drawn from its id, with or without a look at all workers.
struct HollowPath {
    workers: u32,
    scans: bool,
}

impl CallPath for HollowPath {
    fn handle(&mut self, _now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Request(request) = event else { return };
        let worker = if self.scans { self.first_by_scan(&request.id) } else { self.drawn(&request.id) };
        out.push(Action::Send { id: request.id, worker, timeout: None });
    }
}

impl HollowPath {
    fn drawn(&self, id: &RequestId) -> WorkerId {
        1 + id.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)))
            % self.workers
    }

    /// The deliberately linear variant: all workers are gathered to find one.
    fn first_by_scan(&self, id: &RequestId) -> WorkerId {
        let wanted = self.drawn(id);
        let candidates: Vec<WorkerId> = (1..=self.workers).collect();
        let nearest = candidates.into_iter().min_by_key(|worker| worker.abs_diff(wanted));
        nearest.unwrap_or(wanted)
    }
}

fn hollow(workers: u32, scans: bool) -> CallCounts {
    call_counts(HollowPath { workers, scans }, Surroundings::new(workers, FUNCTIONS), SEED)
}

fn real(workers: u32) -> CallCounts {
    let surroundings = Surroundings::new(workers, FUNCTIONS);
    let settings: Settings = surroundings.settings();
    call_counts(Router::new(SEED, settings), surroundings, SEED)
}

#[test]
fn counts_of_a_call() {
    a_path_that_does_not_grow_passes_the_check();
    a_path_that_scans_all_workers_fails_the_check();
    the_router_s_counts_are_the_same_for_the_same_seed();
    the_router_s_counts_do_not_grow_with_the_list();
}

fn a_path_that_does_not_grow_passes_the_check() {
    let (few, many) = (hollow(FEW, false), hollow(MANY, false));
    let (allocations, bytes) = check_growth(&few, &many, FLAT).unwrap();
    assert!(allocations <= FLAT && bytes <= FLAT, "{allocations} {bytes}");
}

fn a_path_that_scans_all_workers_fails_the_check() {
    let (few, many) = (hollow(FEW, true), hollow(MANY, true));
    let failed = check_growth(&few, &many, FLAT).unwrap_err();
    assert_eq!(failed.count, "bytes allocated a call");
    let linear = f64::from(MANY / FEW);
    assert!(failed.factor > linear / 2.0 && failed.factor < linear * 2.0, "{failed}");
}

fn the_router_s_counts_are_the_same_for_the_same_seed() {
    let (one, again) = (real(FEW), real(FEW));
    assert_eq!(one, again);
    assert!(one.sends >= 1.0 && one.allocations > 0.0 && one.allocated_bytes > 0.0, "{one:?}");
}

/// With one cell for all workers, as before, bytes grow sixfold from 120 to 4,000, and this fails.
fn the_router_s_counts_do_not_grow_with_the_list() {
    let (few, many) = (real(FEW), real(MANY));
    check_growth(&few, &many, FLAT).unwrap();
    assert!(many.sends <= few.sends * FLAT, "{} and {} attempts a call", few.sends, many.sends);
    assert!(many.events <= few.events * FLAT, "{} and {} events a call", few.events, many.events);
}
