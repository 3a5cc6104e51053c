//! Rows of the list of workers: costs of a changed worker, a lost zone and a whole list at a front end, and
//! the calls that go to other workers as a result.

use super::bounds::{MAX_CONTROL_TRAFFIC, MAX_HEAP, MAX_PROCESSOR_TIME};
use super::front_end::{worker_entry, HollowFrontEnd, Workload, CALLS_PER_SECOND, ZONES};
use super::list_frames::{encode_frame, frame_bytes};
use super::network::SECOND;
use crate::cost::ProcessorMeter;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Availability, ListKind, Micros, WorkerEntry, WorkerId};
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::EventFollower;
use std::collections::BTreeMap;

const FUNCTIONS: u64 = 1_000;
const WARM_UP: Micros = 10 * SECOND;
/// Number of workers that change one after the other; two seconds of calls pass for each.
const CHANGED_WORKERS: u32 = 10;
/// Time from the draining of a worker to its removal.
const DRAIN_TIME: Micros = SECOND / 2;
/// Time within which the workers of a lost zone are removed.
const ZONE_LOSS_DURATION: Micros = 2 * SECOND;
/// Number of list events by which they are removed.
const ZONE_LOSS_EVENTS: usize = 20;
const LOST_ZONE: u32 = 1;
/// One in this many workers of a zone is restarted.
const RESTART_DIVISOR: usize = 10;
/// Time within which these workers are restarted.
const RESTART_DURATION: Micros = 10 * SECOND;

const CHANGE_TIME: Metric = Metric { name: "change of one worker, taken in", unit: "us" };
const CALL_TIME_UNCHANGED: Metric = Metric { name: "time of a call with a quiet list", unit: "us" };
const CALL_TIME_AFTER_CHANGE: Metric =
    Metric { name: "time of a call in the second after a change", unit: "us" };
const CHANGE_TOTAL_TIME: Metric =
    Metric { name: "change of one worker with what it adds to calls", unit: "us" };
const ZONE_LOSS_EVENT_TIME: Metric = Metric { name: "lost zone in one list event, taken in", unit: "us" };
const ZONE_LOSS_PROCESSOR_TIME: Metric =
    Metric { name: "processor time a second while a zone goes in 20 list events", unit: "us/s" };
const RESTART_PROCESSOR_TIME: Metric =
    Metric { name: "processor time a second while a tenth of a zone restarts within 10 s", unit: "us/s" };
const WHOLE_LIST_TIME: Metric = Metric { name: "whole list after a cut, taken in", unit: "us" };
const WHOLE_LIST_READ_TIME: Metric =
    Metric { name: "whole list after a cut, read from its frame", unit: "us" };
const TIME_AFTER_WHOLE_LIST: Metric =
    Metric { name: "processor time in the second after a whole list", unit: "us/s" };
const CHANGE_BYTES: Metric = Metric { name: "bytes of a change of one worker", unit: "B" };
const ZONE_LOSS_BYTES: Metric = Metric { name: "bytes of a lost zone, one frame a worker", unit: "B" };
const WHOLE_LIST_BYTES: Metric = Metric { name: "bytes of a whole list", unit: "B" };
const HEAP: Metric = Metric { name: "heap after all changes", unit: "B" };

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(ListChanges), Box::new(MovedCalls), Box::new(ListPropagation)]
}

fn single_entry(worker: WorkerId, availability: Availability) -> Vec<WorkerEntry> {
    vec![worker_entry(worker, availability)]
}

/// The entries of the workers in the lost zone, as removed.
fn lost_zone_entries(workload: &Workload) -> Vec<WorkerEntry> {
    let entries = workload.worker_entries().into_iter().filter(|e| e.zone == LOST_ZONE);
    entries.map(|e| WorkerEntry { availability: Availability::Removed, ..e }).collect()
}

/// Costs of list changes for the call path.
struct ListChanges;

impl Row for ListChanges {
    fn name(&self) -> &'static str {
        "router-lists"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router with 1,000 functions at 127 calls per second: workers drain, are removed and return; \
         one of 21 zones is lost; the whole list is received after a disconnection (platform frames of 27 \
         bytes per entry)"
    }

    fn variable(&self) -> &'static str {
        "listed workers"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[120, 1_000, 4_000, 16_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        let processor_source = "1% of a core";
        vec![
            Bound { metric: ZONE_LOSS_PROCESSOR_TIME, max: MAX_PROCESSOR_TIME, source: processor_source },
            Bound { metric: RESTART_PROCESSOR_TIME, max: MAX_PROCESSOR_TIME, source: processor_source },
            Bound { metric: TIME_AFTER_WHOLE_LIST, max: MAX_PROCESSOR_TIME, source: processor_source },
            Bound {
                metric: WHOLE_LIST_BYTES,
                max: MAX_CONTROL_TRAFFIC,
                source: "6 KB a second, were it sent each second",
            },
            Bound { metric: HEAP, max: MAX_HEAP, source: "128 MB a front end" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size.saturating_mul(2_000 + 4 * FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let workload = Workload::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let mut front_end = HollowFrontEnd::new(workload, seed);
        front_end.run(WARM_UP);
        let mut measurements = measure_single_changes(&mut front_end);
        measurements.extend(measure_zone_loss(&mut front_end));
        measurements.push(measure_rolling_restart(&mut front_end));
        measurements.extend(measure_whole_list(&mut front_end));
        let measurement = |metric, bytes: usize| Measurement { metric, value: bytes as f64 };
        measurements.push(measurement(CHANGE_BYTES, frame_bytes(1)));
        let zone_loss_bytes = lost_zone_entries(&workload).len() * frame_bytes(1);
        measurements.push(measurement(ZONE_LOSS_BYTES, zone_loss_bytes));
        measurements.push(measurement(WHOLE_LIST_BYTES, frame_bytes(size as usize)));
        measurements.push(measurement(HEAP, front_end.into_heap_bytes() as usize));
        Ok(measurements)
    }
}

/// Workers drain, are removed and become ready again, one at a time.
fn measure_single_changes(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    front_end.take_costs();
    front_end.run(2 * SECOND);
    let unchanged = front_end.take_costs();
    let workers = front_end.workload().workers;
    let mut list_us = 0.0;
    for change in 0..CHANGED_WORKERS {
        let worker = 1 + change * (workers / CHANGED_WORKERS).max(1) % workers;
        list_us += front_end.apply_list(ListKind::Changes, single_entry(worker, Availability::Draining));
        front_end.run(DRAIN_TIME);
        list_us += front_end.apply_list(ListKind::Changes, single_entry(worker, Availability::Removed));
        front_end.run(DRAIN_TIME);
        list_us += front_end.apply_list(ListKind::Changes, single_entry(worker, Availability::Ready));
        front_end.run(SECOND);
    }
    let changed = front_end.take_costs();
    let events = f64::from(3 * CHANGED_WORKERS);
    let unchanged_call_us = unchanged.per_call(unchanged.processor_us);
    let calls_us = changed.processor_us - list_us;
    let added_us = (calls_us - unchanged_call_us * changed.calls as f64) / events;
    vec![
        Measurement { metric: CHANGE_TIME, value: list_us / events },
        Measurement { metric: CALL_TIME_UNCHANGED, value: unchanged_call_us },
        Measurement { metric: CALL_TIME_AFTER_CHANGE, value: changed.per_call(calls_us) },
        Measurement { metric: CHANGE_TOTAL_TIME, value: list_us / events + added_us },
    ]
}

/// A zone is lost in one list event and, after its return, in several.
fn measure_zone_loss(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    let removed = lost_zone_entries(front_end.workload());
    let ready = |e: &WorkerEntry| WorkerEntry { availability: Availability::Ready, ..e.clone() };
    let single_event_us = front_end.apply_list(ListKind::Changes, removed.clone());
    front_end.run(2 * SECOND);
    front_end.apply_list(ListKind::Changes, removed.iter().map(ready).collect());
    front_end.run(2 * SECOND);
    front_end.take_costs();
    let chunk_size = removed.len().div_ceil(ZONE_LOSS_EVENTS).max(1);
    for chunk in removed.chunks(chunk_size) {
        front_end.apply_list(ListKind::Changes, chunk.to_vec());
        front_end.run(ZONE_LOSS_DURATION / ZONE_LOSS_EVENTS as Micros);
    }
    let seconds = ZONE_LOSS_DURATION as f64 / SECOND as f64 * removed.chunks(chunk_size).count() as f64
        / ZONE_LOSS_EVENTS as f64;
    let costs = front_end.take_costs();
    front_end.apply_list(ListKind::Changes, removed.iter().map(ready).collect());
    front_end.run(2 * SECOND);
    vec![
        Measurement { metric: ZONE_LOSS_EVENT_TIME, value: single_event_us },
        Measurement { metric: ZONE_LOSS_PROCESSOR_TIME, value: costs.processor_us / seconds.max(1e-9) },
    ]
}

/// A part of a zone restarts: one after the other, workers drain, are removed and return with a new
/// process, which is cold.
fn measure_rolling_restart(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Measurement {
    let zone = lost_zone_entries(front_end.workload());
    let restarted = &zone[..zone.len().div_ceil(RESTART_DIVISOR)];
    let interval = RESTART_DURATION / (3 * restarted.len().max(1)) as Micros;
    front_end.take_costs();
    for worker in restarted {
        for availability in [Availability::Draining, Availability::Removed, Availability::Ready] {
            let born = (availability == Availability::Ready).then(|| front_end.now());
            let change = WorkerEntry { availability, born, ..worker.clone() };
            front_end.apply_list(ListKind::Changes, vec![change]);
            front_end.run(interval);
        }
    }
    let costs = front_end.take_costs();
    let seconds = RESTART_DURATION as f64 / SECOND as f64;
    Measurement { metric: RESTART_PROCESSOR_TIME, value: costs.processor_us / seconds }
}

/// The whole list is received, as after a disconnection.
fn measure_whole_list(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    let entries = front_end.workload().worker_entries();
    let bytes = encode_frame(1, ListKind::Whole, &entries);
    front_end.take_costs();
    let list_us = front_end.apply_list(ListKind::Whole, entries);
    front_end.take_costs();
    front_end.run(SECOND);
    let after = front_end.take_costs();
    let after_us = after.per_call(after.processor_us) * CALLS_PER_SECOND;
    let mut measurements = vec![
        Measurement { metric: WHOLE_LIST_TIME, value: list_us },
        Measurement { metric: TIME_AFTER_WHOLE_LIST, value: after_us },
    ];
    measurements
        .extend(frame_read_time(&bytes).map(|value| Measurement { metric: WHOLE_LIST_READ_TIME, value }));
    measurements
}

/// Processor time to read a frame, in microseconds; `None` if the reader rejects it as too long.
fn frame_read_time(bytes: &[u8]) -> Option<f64> {
    let counts = NameCounts { zones: ZONES as usize, kinds: 1 };
    let (mut follower, mut changes) = (EventFollower::new(0), Vec::new());
    let meter = ProcessorMeter::start();
    let read = follower.on_bytes(&counts, bytes, &mut changes);
    read.ok().map(|()| meter.microseconds())
}

const MOVED_BY_WORKER: Metric = Metric { name: "calls moved when one worker goes", unit: "of 1,000" };
const HAD_TO_MOVE_BY_WORKER: Metric = Metric { name: "calls that had to move: one worker", unit: "of 1,000" };
const MOVED_BY_ZONE: Metric = Metric { name: "calls moved when a zone goes", unit: "of 1,000" };
const HAD_TO_MOVE_BY_ZONE: Metric = Metric { name: "calls that had to move: a zone", unit: "of 1,000" };
const MOVED_WITHOUT_CHANGE: Metric = Metric { name: "calls moved when nothing changes", unit: "of 1,000" };
/// Simulated time over which moved calls are counted.
const COMPARED_TIME: Micros = 30 * SECOND;

/// Share of calls that go to another worker when the list changes.
struct MovedCalls;

impl Row for MovedCalls {
    fn name(&self) -> &'static str {
        "router-moves"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "first worker of each call in the 30 s after a change of the list, compared with the same front \
         end without the change; calls had to move if their worker was removed"
    }

    fn variable(&self) -> &'static str {
        "listed workers"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[120, 1_000, 4_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size.saturating_mul(2 * (2_000 + 4 * FUNCTIONS))
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let workload = Workload::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let after = |change: &[WorkerEntry]| first_workers(workload, seed, WARM_UP, COMPARED_TIME, change);
        let (unchanged, repeated) = (after(&[]), after(&[]));
        let worker = median_worker(&unchanged);
        let removed_worker = single_entry(worker, Availability::Removed);
        let removed_zone = lost_zone_entries(&workload);
        let (without_worker, without_zone) = (after(&removed_worker), after(&removed_zone));
        let measurement = |metric, share| Measurement { metric, value: per_thousand(share) };
        Ok(vec![
            measurement(MOVED_BY_WORKER, differing_share(&unchanged, &without_worker)),
            measurement(HAD_TO_MOVE_BY_WORKER, share_sent_to(&unchanged, &removed_worker)),
            measurement(MOVED_BY_ZONE, differing_share(&unchanged, &without_zone)),
            measurement(HAD_TO_MOVE_BY_ZONE, share_sent_to(&unchanged, &removed_zone)),
            measurement(MOVED_WITHOUT_CHANGE, differing_share(&unchanged, &repeated)),
        ])
    }
}

/// The first worker of each call that arrives within `compared_time` after a change of the list. The front
/// end runs for `warm_up` before the change; without entries, the list stays unchanged.
pub fn first_workers(
    workload: Workload,
    seed: u64,
    warm_up: Micros,
    compared_time: Micros,
    change: &[WorkerEntry],
) -> Vec<Option<WorkerId>> {
    let mut front_end = HollowFrontEnd::new(workload, seed);
    front_end.run(warm_up);
    let first_call = front_end.arrived_calls() as usize;
    if !change.is_empty() {
        front_end.apply_list(ListKind::Changes, change.to_vec());
    }
    front_end.run(compared_time);
    front_end.first_workers()[first_call..].to_vec()
}

/// Converts a share to the unit "of 1,000".
fn per_thousand(share: f64) -> f64 {
    share * 1e3
}

/// Share of calls whose first workers differ.
pub fn differing_share(first: &[Option<WorkerId>], second: &[Option<WorkerId>]) -> f64 {
    let differing = first.iter().zip(second).filter(|(a, b)| a != b).count();
    differing as f64 / first.len().max(1) as f64
}

/// Share of calls whose first worker is one of `workers`.
pub fn share_sent_to(calls: &[Option<WorkerId>], workers: &[WorkerEntry]) -> f64 {
    let is_listed = |worker: &Option<WorkerId>| worker.is_some_and(|w| workers.iter().any(|e| e.worker == w));
    calls.iter().filter(|worker| is_listed(worker)).count() as f64 / calls.len().max(1) as f64
}

/// The worker with the median number of calls among those with any calls.
fn median_worker(calls: &[Option<WorkerId>]) -> WorkerId {
    let mut counts = BTreeMap::<WorkerId, u32>::new();
    calls.iter().flatten().for_each(|worker| *counts.entry(*worker).or_default() += 1);
    let mut by_count: Vec<(u32, WorkerId)> =
        counts.into_iter().map(|(worker, count)| (count, worker)).collect();
    by_count.sort_unstable();
    by_count.get(by_count.len() / 2).map_or(1, |(_, worker)| *worker)
}

const PEERS_EQUAL_LISTS: Metric =
    Metric { name: "calls that go elsewhere at a peer: lists alike", unit: "of 1,000" };
const PEERS_WORKER_REMOVED: Metric =
    Metric { name: "calls that go elsewhere at a peer: one worker gone, told 3 s later", unit: "of 1,000" };
const PEERS_ZONE_REMOVED: Metric =
    Metric { name: "calls that go elsewhere at a peer: a zone gone, told 3 s later", unit: "of 1,000" };
const PEERS_FIRST_10_S: Metric =
    Metric { name: "the same in the 10 s after both lists are alike", unit: "of 1,000" };
const PEERS_20_TO_30_S: Metric =
    Metric { name: "the same from 20 to 30 s after both lists are alike", unit: "of 1,000" };
/// Time within which a change reaches all front ends.
const PROPAGATION_DELAY: Micros = 3 * SECOND;

/// Agreement of two front ends that receive list changes at different times.
struct ListPropagation;

impl Row for ListPropagation {
    fn name(&self) -> &'static str {
        "router-list-ages"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "two front ends with the same calls; one receives a change 3 s after the other: share of calls \
         whose first worker differs, while the lists differ and afterwards"
    }

    fn variable(&self) -> &'static str {
        "listed workers"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[120, 1_000, 4_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        Vec::new()
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size.saturating_mul(2 * (2_000 + 4 * FUNCTIONS))
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let workload = Workload::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let mut peers = Peers::new(workload, seed);
        peers.run(WARM_UP);
        let equal_lists = peers.run(20 * SECOND);
        let worker = median_worker(peers.first.first_workers());
        let worker_removed = peers.apply_change(single_entry(worker, Availability::Removed));
        peers.run(10 * SECOND);
        let zone_removed = peers.apply_change(lost_zone_entries(&workload));
        let after_10 = peers.run(10 * SECOND);
        peers.run(10 * SECOND);
        let after_30 = peers.run(10 * SECOND);
        let measurement = |metric, share| Measurement { metric, value: per_thousand(share) };
        Ok(vec![
            measurement(PEERS_EQUAL_LISTS, equal_lists),
            measurement(PEERS_WORKER_REMOVED, worker_removed),
            measurement(PEERS_ZONE_REMOVED, zone_removed),
            measurement(PEERS_FIRST_10_S, after_10),
            measurement(PEERS_20_TO_30_S, after_30),
        ])
    }
}

/// Two front ends that receive the same calls at the same times.
struct Peers {
    first: HollowFrontEnd<badgerwind::Router>,
    second: HollowFrontEnd<badgerwind::Router>,
}

impl Peers {
    fn new(workload: Workload, seed: u64) -> Self {
        let settings = badgerwind::interface::Settings { my_number: 1, ..workload.settings() };
        let router = badgerwind::Router::new(seed + 1, settings);
        Peers {
            first: HollowFrontEnd::new(workload, seed),
            second: HollowFrontEnd::with_path(router, workload, seed),
        }
    }

    /// Advances simulated time and returns the share of calls in this time whose first workers differ.
    fn run(&mut self, duration: Micros) -> f64 {
        let first_call = self.first.arrived_calls() as usize;
        self.first.run(duration);
        self.second.run(duration);
        differing_share(&self.first.first_workers()[first_call..], &self.second.first_workers()[first_call..])
    }

    /// Applies a change to the first front end and, after the propagation delay, to the second one. Returns
    /// the share of calls in between whose first workers differ.
    fn apply_change(&mut self, entries: Vec<WorkerEntry>) -> f64 {
        self.first.apply_list(ListKind::Changes, entries.clone());
        let differing = self.run(PROPAGATION_DELAY);
        self.second.apply_list(ListKind::Changes, entries);
        differing
    }
}
