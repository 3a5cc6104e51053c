//! Rows of the list of workers: what a change, a lost zone and a whole list cost a front end, and what moves.

use super::front_end::{worker_entry, HollowFrontEnd, Surroundings, CALLS_PER_SECOND, SECOND, ZONES};
use super::list_frames::{frame, frame_bytes};
use super::router::{CORE_SHARE_BOUND, MEMORY_BOUND};
use crate::cost::ProcessorMeter;
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{Availability, ListKind, Micros, WorkerEntry, WorkerId};
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::Follower;

const FUNCTIONS: u64 = 1_000;
const WARM_UP: Micros = 10 * SECOND;
/// Changes of single workers, each followed by a second of calls.
const CHANGES: u32 = 10;
/// A worker drains; that it is gone follows after this.
const DRAIN: Micros = SECOND / 2;
/// A lost zone's workers go one by one within this time.
const ZONE_LOSS: Micros = 2 * SECOND;
const ZONE_STEPS: usize = 20;
const LOST_ZONE: u32 = 1;
/// The part of a zone that restarts at once, and the time within which its workers do.
const RESTARTED_PART: usize = 10;
const RESTART_WAVE: Micros = 10 * SECOND;

const CHANGE: Metric = Metric { name: "change of one worker, taken in", unit: "us" };
const CALL_BEFORE: Metric = Metric { name: "time of a call with a quiet list", unit: "us" };
const CALL_AFTER: Metric = Metric { name: "time of a call in the second after a change", unit: "us" };
const CHANGE_WHOLE_COST: Metric =
    Metric { name: "change of one worker with what it adds to calls", unit: "us" };
const ZONE_AT_ONCE: Metric = Metric { name: "lost zone in one list event, taken in", unit: "us" };
const ZONE_SECONDS: Metric =
    Metric { name: "processor time a second while a zone goes in 20 list events", unit: "us/s" };
const RESTART_SECONDS: Metric =
    Metric { name: "processor time a second while a tenth of a zone restarts within 10 s", unit: "us/s" };
const WHOLE: Metric = Metric { name: "whole list after a cut, taken in", unit: "us" };
const WHOLE_READ: Metric = Metric { name: "whole list after a cut, read from its frame", unit: "us" };
const AFTER_WHOLE: Metric = Metric { name: "processor time in the second after a whole list", unit: "us/s" };
const CHANGE_BYTES: Metric = Metric { name: "bytes of a change of one worker", unit: "B" };
const ZONE_BYTES: Metric = Metric { name: "bytes of a lost zone, one frame a worker", unit: "B" };
const WHOLE_BYTES: Metric = Metric { name: "bytes of a whole list", unit: "B" };
const HEAP: Metric = Metric { name: "heap after all changes", unit: "B" };

/// All rows of this part.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(Lists), Box::new(Moves), Box::new(ListAges)]
}

fn listed(worker: WorkerId, availability: Availability) -> Vec<WorkerEntry> {
    vec![worker_entry(worker, availability)]
}

/// Workers of the lost zone, as gone.
fn lost_zone(surroundings: &Surroundings) -> Vec<WorkerEntry> {
    let entries = surroundings.worker_entries().into_iter().filter(|e| e.zone == LOST_ZONE);
    entries.map(|e| WorkerEntry { availability: Availability::Removed, ..e }).collect()
}

/// What changes of the list cost the call path.
struct Lists;

impl Row for Lists {
    fn name(&self) -> &'static str {
        "router-lists"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Router with 1,000 functions at 127 calls a second: workers drain, go and come; a zone of 21 is lost; \
         the list comes whole after a cut (platform frames of 27 bytes an entry)"
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
        let core = "1% of a core";
        vec![
            Bound { metric: ZONE_SECONDS, max: CORE_SHARE_BOUND, source: core },
            Bound { metric: RESTART_SECONDS, max: CORE_SHARE_BOUND, source: core },
            Bound { metric: AFTER_WHOLE, max: CORE_SHARE_BOUND, source: core },
            Bound { metric: WHOLE_BYTES, max: 6_144.0, source: "6 KB a second, were it sent each second" },
            Bound { metric: HEAP, max: MEMORY_BOUND, source: "128 MB a front end" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size.saturating_mul(2_000 + 4 * FUNCTIONS)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let surroundings = Surroundings::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let mut front_end = HollowFrontEnd::new(surroundings, seed);
        front_end.run(WARM_UP);
        let mut all = single_changes(&mut front_end);
        all.extend(zone_loss(&mut front_end));
        all.push(restart_wave(&mut front_end));
        all.extend(whole_list(&mut front_end));
        let figure = |metric, bytes: usize| Measurement { metric, value: bytes as f64 };
        all.push(figure(CHANGE_BYTES, frame_bytes(1)));
        all.push(figure(ZONE_BYTES, lost_zone(&surroundings).len() * frame_bytes(1)));
        all.push(figure(WHOLE_BYTES, frame_bytes(size as usize)));
        all.push(figure(HEAP, front_end.into_heap_bytes() as usize));
        Ok(all)
    }
}

/// Workers drain, go and come back, one at a time.
fn single_changes(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    front_end.take_costs();
    front_end.run(2 * SECOND);
    let quiet = front_end.take_costs();
    let workers = front_end.surroundings().workers;
    let mut taken_in = 0.0;
    for change in 0..CHANGES {
        let worker = 1 + change * (workers / CHANGES).max(1) % workers;
        taken_in += front_end.apply_list(ListKind::Changes, listed(worker, Availability::Draining));
        front_end.run(DRAIN);
        taken_in += front_end.apply_list(ListKind::Changes, listed(worker, Availability::Removed));
        front_end.run(DRAIN);
        taken_in += front_end.apply_list(ListKind::Changes, listed(worker, Availability::Ready));
        front_end.run(SECOND);
    }
    let changed = front_end.take_costs();
    let events = f64::from(3 * CHANGES);
    let before = quiet.per_call(quiet.processor_us);
    let calls = changed.processor_us - taken_in;
    let added = (calls - before * changed.calls as f64) / events;
    vec![
        Measurement { metric: CHANGE, value: taken_in / events },
        Measurement { metric: CALL_BEFORE, value: before },
        Measurement { metric: CALL_AFTER, value: changed.per_call(calls) },
        Measurement { metric: CHANGE_WHOLE_COST, value: taken_in / events + added },
    ]
}

/// A zone is lost: in one list event, and, after it came back, in several.
fn zone_loss(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    let gone = lost_zone(front_end.surroundings());
    let back = |e: &WorkerEntry| WorkerEntry { availability: Availability::Ready, ..e.clone() };
    let at_once = front_end.apply_list(ListKind::Changes, gone.clone());
    front_end.run(2 * SECOND);
    front_end.apply_list(ListKind::Changes, gone.iter().map(back).collect());
    front_end.run(2 * SECOND);
    front_end.take_costs();
    let step = gone.len().div_ceil(ZONE_STEPS).max(1);
    for part in gone.chunks(step) {
        front_end.apply_list(ListKind::Changes, part.to_vec());
        front_end.run(ZONE_LOSS / ZONE_STEPS as Micros);
    }
    let seconds = ZONE_LOSS as f64 / SECOND as f64 * gone.chunks(step).count() as f64 / ZONE_STEPS as f64;
    let costs = front_end.take_costs();
    front_end.apply_list(ListKind::Changes, gone.iter().map(back).collect());
    front_end.run(2 * SECOND);
    vec![
        Measurement { metric: ZONE_AT_ONCE, value: at_once },
        Measurement { metric: ZONE_SECONDS, value: costs.processor_us / seconds.max(1e-9) },
    ]
}

/// Workers drain, go and come back with a new process, which is cold, one after the other.
fn restart_wave(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Measurement {
    let zone = lost_zone(front_end.surroundings());
    let restarted = &zone[..zone.len().div_ceil(RESTARTED_PART)];
    let pause = RESTART_WAVE / (3 * restarted.len().max(1)) as Micros;
    front_end.take_costs();
    for worker in restarted {
        for availability in [Availability::Draining, Availability::Removed, Availability::Ready] {
            let born = (availability == Availability::Ready).then(|| front_end.now());
            let change = WorkerEntry { availability, born, ..worker.clone() };
            front_end.apply_list(ListKind::Changes, vec![change]);
            front_end.run(pause);
        }
    }
    let costs = front_end.take_costs();
    let seconds = RESTART_WAVE as f64 / SECOND as f64;
    Measurement { metric: RESTART_SECONDS, value: costs.processor_us / seconds }
}

/// The list comes whole, as after a cut.
fn whole_list(front_end: &mut HollowFrontEnd<badgerwind::Router>) -> Vec<Measurement> {
    let entries = front_end.surroundings().worker_entries();
    let bytes = frame(1, ListKind::Whole, &entries);
    front_end.take_costs();
    let taken_in = front_end.apply_list(ListKind::Whole, entries);
    front_end.take_costs();
    front_end.run(SECOND);
    let after = front_end.take_costs();
    let mut all = vec![
        Measurement { metric: WHOLE, value: taken_in },
        Measurement { metric: AFTER_WHOLE, value: after.per_call(after.processor_us) * CALLS_PER_SECOND },
    ];
    all.extend(read_time(&bytes).map(|value| Measurement { metric: WHOLE_READ, value }));
    all
}

/// Processor time to read a whole list; none where the reader refuses it as too long.
fn read_time(bytes: &[u8]) -> Option<f64> {
    let places = NameCounts { zones: ZONES as usize, kinds: 1 };
    let (mut follower, mut news) = (Follower::new(0), Vec::new());
    let meter = ProcessorMeter::start();
    let read = follower.on_bytes(&places, bytes, &mut news);
    read.ok().map(|()| meter.microseconds())
}

const MOVED_BY_WORKER: Metric = Metric { name: "calls moved when one worker goes", unit: "of 1,000" };
const MUST_BY_WORKER: Metric = Metric { name: "calls that had to move: one worker", unit: "of 1,000" };
const MOVED_BY_ZONE: Metric = Metric { name: "calls moved when a zone goes", unit: "of 1,000" };
const MUST_BY_ZONE: Metric = Metric { name: "calls that had to move: a zone", unit: "of 1,000" };
const MOVED_BY_NONE: Metric = Metric { name: "calls moved when nothing changes", unit: "of 1,000" };
/// Time over which moved calls are counted.
const COMPARED: Micros = 30 * SECOND;

/// Which calls go to another worker when the list changes.
struct Moves;

impl Row for Moves {
    fn name(&self) -> &'static str {
        "router-moves"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "first worker of each call over 30 s after a change of the list, against the same front end with the list \
         unchanged; those whose worker went had to move"
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
        let surroundings = Surroundings::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let after = |change: &[WorkerEntry]| first_workers(surroundings, seed, WARM_UP, COMPARED, change);
        let (unchanged, same) = (after(&[]), after(&[]));
        let worker = most_used(&unchanged);
        let one = listed(worker, Availability::Removed);
        let zone = lost_zone(&surroundings);
        let (by_worker, by_zone) = (after(&one), after(&zone));
        let figure = |metric, share| Measurement { metric, value: of_thousand(share) };
        Ok(vec![
            figure(MOVED_BY_WORKER, differing(&unchanged, &by_worker)),
            figure(MUST_BY_WORKER, sent_to(&unchanged, &one)),
            figure(MOVED_BY_ZONE, differing(&unchanged, &by_zone)),
            figure(MUST_BY_ZONE, sent_to(&unchanged, &zone)),
            figure(MOVED_BY_NONE, differing(&unchanged, &same)),
        ])
    }
}

/// First workers of the calls that arrive within a span after this change of the list.
pub fn first_workers(
    surroundings: Surroundings,
    seed: u64,
    warm_up: Micros,
    compared: Micros,
    change: &[WorkerEntry],
) -> Vec<Option<WorkerId>> {
    let mut front_end = HollowFrontEnd::new(surroundings, seed);
    front_end.run(warm_up);
    let from = front_end.arrived_calls() as usize;
    if !change.is_empty() {
        front_end.apply_list(ListKind::Changes, change.to_vec());
    }
    front_end.run(compared);
    front_end.first_workers()[from..].to_vec()
}

/// A share, as so many of a thousand.
fn of_thousand(share: f64) -> f64 {
    share * 1e3
}

/// Share of calls whose workers differ.
pub fn differing(one: &[Option<WorkerId>], other: &[Option<WorkerId>]) -> f64 {
    let differ = one.iter().zip(other).filter(|(a, b)| a != b).count();
    differ as f64 / one.len().max(1) as f64
}

/// Share of calls that went to one of these workers.
pub fn sent_to(calls: &[Option<WorkerId>], workers: &[WorkerEntry]) -> f64 {
    let among = |worker: &Option<WorkerId>| worker.is_some_and(|w| workers.iter().any(|e| e.worker == w));
    calls.iter().filter(|worker| among(worker)).count() as f64 / calls.len().max(1) as f64
}

/// The worker with the median number of calls among those that had any.
fn most_used(calls: &[Option<WorkerId>]) -> WorkerId {
    let mut counts = std::collections::BTreeMap::<WorkerId, u32>::new();
    calls.iter().flatten().for_each(|worker| *counts.entry(*worker).or_default() += 1);
    let mut order: Vec<(u32, WorkerId)> = counts.into_iter().map(|(worker, n)| (n, worker)).collect();
    order.sort_unstable();
    order.get(order.len() / 2).map_or(1, |(_, worker)| *worker)
}

const PEERS_BEFORE: Metric =
    Metric { name: "calls that go elsewhere at a peer: lists alike", unit: "of 1,000" };
const PEERS_WORKER: Metric =
    Metric { name: "calls that go elsewhere at a peer: one worker gone, told 3 s later", unit: "of 1,000" };
const PEERS_ZONE: Metric =
    Metric { name: "calls that go elsewhere at a peer: a zone gone, told 3 s later", unit: "of 1,000" };
const PEERS_ZONE_10: Metric =
    Metric { name: "the same in the 10 s after both lists are alike", unit: "of 1,000" };
const PEERS_ZONE_30: Metric =
    Metric { name: "the same from 20 to 30 s after both lists are alike", unit: "of 1,000" };
/// A change reaches all front ends within this.
const PROPAGATION: Micros = 3 * SECOND;

/// Two front ends with lists of different age.
struct ListAges;

impl Row for ListAges {
    fn name(&self) -> &'static str {
        "router-list-ages"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "two front ends with the same calls; one is told of a change 3 s after the other: share of calls whose \
         first worker differs, while the lists differ and after"
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
        let surroundings = Surroundings::new(size.min(u64::from(u32::MAX)) as u32, FUNCTIONS);
        let mut peers = Peers::new(surroundings, seed);
        peers.run(WARM_UP);
        let alike = peers.run(20 * SECOND);
        let worker = most_used(peers.one.first_workers());
        let by_worker = peers.change(listed(worker, Availability::Removed));
        peers.run(10 * SECOND);
        let by_zone = peers.change(lost_zone(&surroundings));
        let after_10 = peers.run(10 * SECOND);
        peers.run(10 * SECOND);
        let after_30 = peers.run(10 * SECOND);
        let figure = |metric, share| Measurement { metric, value: of_thousand(share) };
        Ok(vec![
            figure(PEERS_BEFORE, alike),
            figure(PEERS_WORKER, by_worker),
            figure(PEERS_ZONE, by_zone),
            figure(PEERS_ZONE_10, after_10),
            figure(PEERS_ZONE_30, after_30),
        ])
    }
}

/// Two front ends to which the same calls come at the same time.
struct Peers {
    one: HollowFrontEnd<badgerwind::Router>,
    other: HollowFrontEnd<badgerwind::Router>,
}

impl Peers {
    fn new(surroundings: Surroundings, seed: u64) -> Self {
        let own = badgerwind::interface::Settings { my_number: 1, ..surroundings.settings() };
        let router = badgerwind::Router::new(seed + 1, own);
        Peers {
            one: HollowFrontEnd::new(surroundings, seed),
            other: HollowFrontEnd::with_path(router, surroundings, seed),
        }
    }

    /// Lets time pass; the share of calls that arrived in it whose first workers differ.
    fn run(&mut self, span: Micros) -> f64 {
        let from = self.one.arrived_calls() as usize;
        self.one.run(span);
        self.other.run(span);
        differing(&self.one.first_workers()[from..], &self.other.first_workers()[from..])
    }

    /// Tells one of a change and the other later; the share of calls that differ in between.
    fn change(&mut self, entries: Vec<WorkerEntry>) -> f64 {
        self.one.apply_list(ListKind::Changes, entries.clone());
        let differ = self.run(PROPAGATION);
        self.other.apply_list(ListKind::Changes, entries);
        differ
    }
}
