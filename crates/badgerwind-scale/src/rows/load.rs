//! What the hollow groups of the register and of the budgets share beside the network: the busiest second of each
//! member, processor time and heap of a few, and the figures of one role.

use crate::cost::ProcessorMeter;
use crate::row::{Bound, Measurement, Metric};
use crate::rows::network::{Area, Conditions, Micros, Network, TrafficCount, MILLISECOND, REGIONS, SECOND};
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

/// Ways of one group whose members are all in one region: a quarter of a millisecond to 4 ms, nothing lost.
pub fn single_region() -> Conditions {
    Conditions { region_hop_delay: MILLISECOND, loss: 0.0, ..Conditions::wide_area() }
}

/// Ways of a group over all regions, nothing lost.
pub fn all_regions() -> Conditions {
    Conditions { loss: 0.0, ..Conditions::wide_area() }
}

/// Cuts one region off from all others; within it messages pass.
pub fn isolate_region(network: &mut Network, region: usize) {
    for other in (0..REGIONS).filter(|other| *other != region) {
        network.block(Area::Region(region), Area::Region(other));
        network.block(Area::Region(other), Area::Region(region));
    }
}

/// Length of the pieces of time in which traffic is looked at.
pub const SAMPLE_INTERVAL: Micros = 100 * MILLISECOND;
/// Slices in a second.
const SAMPLES_PER_SECOND: usize = (SECOND / SAMPLE_INTERVAL) as usize;

/// The most messages, and the most bytes, of each member in any second, slice by slice.
#[derive(Debug)]
pub struct PeakTraffic {
    /// Totals of each member at the ends of the last slices.
    totals: Vec<Vec<TrafficCount>>,
    most: Vec<TrafficCount>,
}

impl PeakTraffic {
    /// From these totals on.
    pub fn new(network: &Network) -> Self {
        let members = network.member_count();
        let totals = (0..members).map(|member| vec![network.traffic(member)]).collect();
        PeakTraffic { totals, most: vec![TrafficCount::default(); members] }
    }

    /// A slice has passed.
    pub fn sample(&mut self, network: &Network) {
        for (member, (totals, most)) in self.totals.iter_mut().zip(&mut self.most).enumerate() {
            let now = network.traffic(member);
            let then = totals[totals.len().saturating_sub(SAMPLES_PER_SECOND)];
            most.messages = most.messages.max(now.messages - then.messages);
            most.bytes = most.bytes.max(now.bytes - then.bytes);
            totals.push(now);
            if totals.len() > SAMPLES_PER_SECOND {
                totals.remove(0);
            }
        }
    }

    /// The most in any second among these members: messages and bytes each for itself.
    pub fn max_among(&self, members: &[usize]) -> TrafficCount {
        members.iter().fold(TrafficCount::default(), |most, member| TrafficCount {
            messages: most.messages.max(self.most[*member].messages),
            bytes: most.bytes.max(self.most[*member].bytes),
        })
    }
}

/// Processor time of members that are watched; reading the clock itself is subtracted.
#[derive(Debug)]
pub struct ProcessorTimes {
    watched: Vec<bool>,
    used: Vec<f64>,
    reading: f64,
}

const CALIBRATION: u32 = 2_000;

impl ProcessorTimes {
    /// Nobody is watched yet.
    pub fn new(members: usize) -> Self {
        ProcessorTimes { watched: vec![false; members], used: vec![0.0; members], reading: 0.0 }
    }

    /// Watches these from now on, and nobody else.
    pub fn track(&mut self, members: &[usize]) {
        self.watched.fill(false);
        self.used.fill(0.0);
        members.iter().for_each(|member| self.watched[*member] = true);
        let readings = (0..CALIBRATION).map(|_| ProcessorMeter::start().microseconds());
        self.reading = readings.sum::<f64>() / f64::from(CALIBRATION);
    }

    /// Begins to count for a member, where it is watched.
    pub fn start(&self, member: usize) -> Option<ProcessorMeter> {
        self.watched[member].then(ProcessorMeter::start)
    }

    /// Ends what was begun.
    pub fn stop(&mut self, member: usize, meter: Option<ProcessorMeter>) {
        if let Some(meter) = meter {
            self.used[member] += (meter.microseconds() - self.reading).max(0.0);
        }
    }

    /// Microseconds of a member since it is watched.
    pub fn microseconds(&self, member: usize) -> f64 {
        self.used[member]
    }
}

/// Bytes of heap that a value holds, by dropping it.
pub fn heap_bytes<T>(value: T) -> f64 {
    let allocator: &'static StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;
    let region = Region::new(allocator);
    drop(value);
    region.change().bytes_deallocated as f64
}

/// What one member of a role costs in a second, in a steady group.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberCost {
    /// Messages in and out.
    pub messages: f64,
    /// Bytes in and out, as encoded.
    pub bytes: f64,
    /// Microseconds of processor time.
    pub processor: f64,
    /// Bytes of heap.
    pub heap: f64,
}

/// Names of the figures of one role.
#[derive(Debug, Clone, Copy)]
pub struct CostMetrics {
    /// Messages in and out.
    pub messages: Metric,
    /// Bytes in and out, as encoded.
    pub bytes: Metric,
    /// The same with what the link adds to each message.
    pub framed_bytes: Metric,
    /// Processor time.
    pub processor: Metric,
    /// Heap.
    pub heap: Metric,
}

/// The metrics of a role, by its name.
macro_rules! cost_metrics {
    ($role:literal) => {
        CostMetrics {
            messages: Metric { name: concat!($role, " messages in and out"), unit: "messages/s" },
            bytes: Metric { name: concat!($role, " bytes in and out"), unit: "B/s" },
            framed_bytes: Metric {
                name: concat!($role, " bytes in and out with the link's frame"),
                unit: "B/s",
            },
            processor: Metric { name: concat!($role, " processor time"), unit: "us/s" },
            heap: Metric { name: concat!($role, " heap"), unit: "B" },
        }
    };
}
pub(crate) use cost_metrics;

impl CostMetrics {
    /// The figures of a load; `frame` is what the link adds to each message.
    pub fn measurements(&self, load: &MemberCost, frame: f64) -> Vec<Measurement> {
        let figure = |metric, value| Measurement { metric, value };
        vec![
            figure(self.messages, load.messages),
            figure(self.bytes, load.bytes),
            figure(self.framed_bytes, load.bytes + frame * load.messages),
            figure(self.processor, load.processor),
            figure(self.heap, load.heap),
        ]
    }

    /// The bounds of a front end's control.
    pub fn front_end_bounds(&self) -> Vec<Bound> {
        vec![
            Bound { metric: self.bytes, max: 6_144.0, source: "6 KB a second for control, in and out" },
            Bound {
                metric: self.framed_bytes,
                max: 6_144.0,
                source: "6 KB a second for control, in and out",
            },
            Bound { metric: self.processor, max: 10_000.0, source: "1% of a core for control" },
            Bound { metric: self.heap, max: 134_217_728.0, source: "128 MB for control" },
        ]
    }

    /// The bounds of a control machine: one core for it, and a link of 1 Gbit/s.
    pub fn control_machine_bounds(&self) -> Vec<Bound> {
        vec![
            Bound { metric: self.framed_bytes, max: 125_000_000.0, source: "a link of 1 Gbit/s (assumed)" },
            Bound { metric: self.processor, max: 1_000_000.0, source: "one core of a control machine" },
        ]
    }
}

/// The mean of loads.
pub fn mean_cost(loads: &[MemberCost]) -> MemberCost {
    let over = loads.len().max(1) as f64;
    let of = |part: fn(&MemberCost) -> f64| loads.iter().map(part).sum::<f64>() / over;
    MemberCost {
        messages: of(|l| l.messages),
        bytes: of(|l| l.bytes),
        processor: of(|l| l.processor),
        heap: of(|l| l.heap),
    }
}
