//! Measurements that the hollow groups of the register and of the budgets share: the peak traffic of each
//! member, processor time and heap of selected members, and the metrics of one role.

use crate::cost::ProcessorMeter;
use crate::row::{Bound, Measurement, Metric};
use crate::rows::bounds::{
    MAX_CONTROL_MACHINE_TIME, MAX_CONTROL_TRAFFIC, MAX_HEAP, MAX_LINK_TRAFFIC, MAX_PROCESSOR_TIME,
};
use crate::rows::network::{Area, Conditions, Micros, Network, TrafficCount, MILLISECOND, REGIONS, SECOND};
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

/// Network of a group in one region: delays from 0.25 ms to 3.6 ms, no loss. The members keep their locations
/// in the simulated regions, but a hop between these takes only 1 ms.
pub fn single_region() -> Conditions {
    Conditions { region_hop_delay: MILLISECOND, loss: 0.0, ..Conditions::wide_area() }
}

/// Network of a group over all regions, no loss.
pub fn all_regions() -> Conditions {
    Conditions { loss: 0.0, ..Conditions::wide_area() }
}

/// Blocks all datagrams between one region and the others; datagrams within it are still delivered.
pub fn isolate_region(network: &mut Network, region: usize) {
    for other in (0..REGIONS).filter(|other| *other != region) {
        network.block(Area::Region(region), Area::Region(other));
        network.block(Area::Region(other), Area::Region(region));
    }
}

/// Interval at which the traffic counts are sampled.
pub const SAMPLE_INTERVAL: Micros = 100 * MILLISECOND;
/// Number of samples in a second.
const SAMPLES_PER_SECOND: usize = (SECOND / SAMPLE_INTERVAL) as usize;

/// Peak traffic of each member: the maximum numbers of messages and of bytes in any second that starts at a
/// sample.
#[derive(Debug)]
pub struct PeakTraffic {
    /// Totals of each member at the samples of the last second.
    totals: Vec<Vec<TrafficCount>>,
    max: Vec<TrafficCount>,
}

impl PeakTraffic {
    /// Starts at the current totals of the network.
    pub fn new(network: &Network) -> Self {
        let members = network.member_count();
        let totals = (0..members).map(|member| vec![network.traffic(member)]).collect();
        PeakTraffic { totals, max: vec![TrafficCount::default(); members] }
    }

    /// Takes a sample; to be called every [`SAMPLE_INTERVAL`].
    pub fn sample(&mut self, network: &Network) {
        for (member, (totals, max)) in self.totals.iter_mut().zip(&mut self.max).enumerate() {
            let now = network.traffic(member);
            let then = totals[totals.len().saturating_sub(SAMPLES_PER_SECOND)];
            max.messages = max.messages.max(now.messages - then.messages);
            max.bytes = max.bytes.max(now.bytes - then.bytes);
            totals.push(now);
            if totals.len() > SAMPLES_PER_SECOND {
                totals.remove(0);
            }
        }
    }

    /// Maximum over the given members, of messages and of bytes independently.
    pub fn max_among(&self, members: &[usize]) -> TrafficCount {
        members.iter().fold(TrafficCount::default(), |max, member| TrafficCount {
            messages: max.messages.max(self.max[*member].messages),
            bytes: max.bytes.max(self.max[*member].bytes),
        })
    }
}

/// Processor time of tracked members. The time that reading the clock takes is subtracted.
#[derive(Debug)]
pub struct ProcessorTimes {
    tracked: Vec<bool>,
    microseconds: Vec<f64>,
    /// Mean overhead of one measurement in microseconds.
    overhead: f64,
}

/// Number of readings from which the overhead is averaged.
const CALIBRATION_READINGS: u32 = 2_000;

impl ProcessorTimes {
    /// Starts without tracked members.
    pub fn new(members: usize) -> Self {
        ProcessorTimes { tracked: vec![false; members], microseconds: vec![0.0; members], overhead: 0.0 }
    }

    /// Replaces the tracked members, resets all times and calibrates the overhead.
    pub fn track(&mut self, members: &[usize]) {
        self.tracked.fill(false);
        self.microseconds.fill(0.0);
        members.iter().for_each(|member| self.tracked[*member] = true);
        let readings = (0..CALIBRATION_READINGS).map(|_| ProcessorMeter::start().microseconds());
        self.overhead = readings.sum::<f64>() / f64::from(CALIBRATION_READINGS);
    }

    /// Starts a measurement for a member if it is tracked.
    pub fn start(&self, member: usize) -> Option<ProcessorMeter> {
        self.tracked[member].then(ProcessorMeter::start)
    }

    /// Ends a measurement and adds it to the member's time.
    pub fn stop(&mut self, member: usize, meter: Option<ProcessorMeter>) {
        if let Some(meter) = meter {
            self.microseconds[member] += (meter.microseconds() - self.overhead).max(0.0);
        }
    }

    /// Processor time of a member since tracking started, in microseconds.
    pub fn microseconds(&self, member: usize) -> f64 {
        self.microseconds[member]
    }
}

/// Heap bytes owned by a value, measured by dropping it.
pub fn heap_bytes<T>(value: T) -> f64 {
    let allocator: &'static StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;
    let region = Region::new(allocator);
    drop(value);
    region.change().bytes_deallocated as f64
}

/// Cost of one member of a role in a second, in a steady group.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberCost {
    /// Messages sent and received.
    pub messages: f64,
    /// Encoded bytes sent and received.
    pub bytes: f64,
    /// Processor time in microseconds.
    pub processor_us: f64,
    /// Heap in bytes.
    pub heap: f64,
}

/// Metrics of one role.
#[derive(Debug, Clone, Copy)]
pub struct CostMetrics {
    /// Messages sent and received.
    pub messages: Metric,
    /// Encoded bytes sent and received.
    pub bytes: Metric,
    /// Bytes sent and received, with the link's overhead for each message.
    pub framed_bytes: Metric,
    /// Processor time.
    pub processor: Metric,
    /// Heap.
    pub heap: Metric,
}

/// The metrics of a role, which its name prefixes.
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
    /// The measurements of a cost; `frame` is the link's overhead for each message in bytes.
    pub fn measurements(&self, cost: &MemberCost, frame: f64) -> Vec<Measurement> {
        let measurement = |metric, value| Measurement { metric, value };
        vec![
            measurement(self.messages, cost.messages),
            measurement(self.bytes, cost.bytes),
            measurement(self.framed_bytes, cost.bytes + frame * cost.messages),
            measurement(self.processor, cost.processor_us),
            measurement(self.heap, cost.heap),
        ]
    }

    /// Bounds on the control work of a front end.
    pub fn front_end_bounds(&self) -> Vec<Bound> {
        vec![
            Bound {
                metric: self.bytes,
                max: MAX_CONTROL_TRAFFIC,
                source: "6 KB a second for control, in and out",
            },
            Bound {
                metric: self.framed_bytes,
                max: MAX_CONTROL_TRAFFIC,
                source: "6 KB a second for control, in and out",
            },
            Bound { metric: self.processor, max: MAX_PROCESSOR_TIME, source: "1% of a core for control" },
            Bound { metric: self.heap, max: MAX_HEAP, source: "128 MB for control" },
        ]
    }

    /// Bounds on a control machine: one core, and a link of 1 Gbit/s.
    pub fn control_machine_bounds(&self) -> Vec<Bound> {
        vec![
            Bound {
                metric: self.framed_bytes,
                max: MAX_LINK_TRAFFIC,
                source: "a link of 1 Gbit/s (assumed)",
            },
            Bound {
                metric: self.processor,
                max: MAX_CONTROL_MACHINE_TIME,
                source: "one core of a control machine",
            },
        ]
    }
}

/// Mean of the costs of several members.
pub fn mean_cost(costs: &[MemberCost]) -> MemberCost {
    let count = costs.len().max(1) as f64;
    let mean = |part: fn(&MemberCost) -> f64| costs.iter().map(part).sum::<f64>() / count;
    MemberCost {
        messages: mean(|c| c.messages),
        bytes: mean(|c| c.bytes),
        processor_us: mean(|c| c.processor_us),
        heap: mean(|c| c.heap),
    }
}
