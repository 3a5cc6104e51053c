//! Counts per call of the real router and of substitute call paths. All checks are in one test, because the
//! counting allocator counts for the whole process and nothing else may run during a measurement.

use badgerwind::interface::{Action, Event, RequestId, Settings, Time, WorkerId};
use badgerwind::Router;
use badgerwind_scale::rows::call_counts::{call_counts, check_growth, CallCounts};
use badgerwind_scale::rows::front_end::{CallPath, Workload};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const FEW_WORKERS: u32 = 120;
const MANY_WORKERS: u32 = 4_000;
const FUNCTIONS: u64 = 200;
const SEED: u64 = 1;
/// Maximum growth of a call path whose costs do not depend on the size of the list.
const MAX_GROWTH: f64 = 1.5;

/// A call path that sends each call to a worker derived from its id, with or without a scan of all workers.
struct SubstitutePath {
    workers: u32,
    scans: bool,
}

impl CallPath for SubstitutePath {
    fn handle(&mut self, _now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Request(request) = event else { return };
        let worker = if self.scans { self.scan_for_worker(&request.id) } else { self.worker_of(&request.id) };
        out.push(Action::Send { id: request.id, worker, timeout: None });
    }
}

impl SubstitutePath {
    fn worker_of(&self, id: &RequestId) -> WorkerId {
        1 + id.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)))
            % self.workers
    }

    /// The deliberately linear variant, which collects all workers to find one.
    fn scan_for_worker(&self, id: &RequestId) -> WorkerId {
        let wanted = self.worker_of(id);
        let candidates: Vec<WorkerId> = (1..=self.workers).collect();
        let nearest = candidates.into_iter().min_by_key(|worker| worker.abs_diff(wanted));
        nearest.unwrap_or(wanted)
    }
}

fn substitute_counts(workers: u32, scans: bool) -> CallCounts {
    call_counts(SubstitutePath { workers, scans }, Workload::new(workers, FUNCTIONS), SEED)
}

fn router_counts(workers: u32) -> CallCounts {
    let workload = Workload::new(workers, FUNCTIONS);
    let settings: Settings = workload.settings();
    call_counts(Router::new(SEED, settings), workload, SEED)
}

#[test]
fn counts_per_call_do_not_grow_with_the_list() {
    path_without_growth_passes_the_check();
    path_that_scans_all_workers_fails_the_check();
    router_counts_are_equal_for_equal_seeds();
    router_counts_do_not_grow_with_the_list();
}

fn path_without_growth_passes_the_check() {
    let (few, many) = (substitute_counts(FEW_WORKERS, false), substitute_counts(MANY_WORKERS, false));
    let (allocations, bytes) = check_growth(&few, &many, MAX_GROWTH).unwrap();
    assert!(allocations <= MAX_GROWTH && bytes <= MAX_GROWTH, "{allocations} {bytes}");
}

fn path_that_scans_all_workers_fails_the_check() {
    let (few, many) = (substitute_counts(FEW_WORKERS, true), substitute_counts(MANY_WORKERS, true));
    let error = check_growth(&few, &many, MAX_GROWTH).unwrap_err();
    assert_eq!(error.count, "bytes allocated a call");
    let linear = f64::from(MANY_WORKERS / FEW_WORKERS);
    assert!(error.factor > linear / 2.0 && error.factor < linear * 2.0, "{error}");
}

fn router_counts_are_equal_for_equal_seeds() {
    let (first, second) = (router_counts(FEW_WORKERS), router_counts(FEW_WORKERS));
    assert_eq!(first, second);
    assert!(first.sends >= 1.0 && first.allocations > 0.0 && first.allocated_bytes > 0.0, "{first:?}");
}

/// Fails if all workers are in one cell: the allocated bytes then grow sixfold from 120 to 4,000 workers.
fn router_counts_do_not_grow_with_the_list() {
    let (few, many) = (router_counts(FEW_WORKERS), router_counts(MANY_WORKERS));
    check_growth(&few, &many, MAX_GROWTH).unwrap();
    assert!(many.sends <= few.sends * MAX_GROWTH, "{} and {} attempts per call", few.sends, many.sends);
    assert!(many.events <= few.events * MAX_GROWTH, "{} and {} events per call", few.events, many.events);
}
