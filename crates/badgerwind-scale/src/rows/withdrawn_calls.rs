//! Row of calls that a client withdraws at once, each for a function that no worker knows: what driver and module
//! remember of them.

use super::bounds::MAX_HEAP;
use super::front_end::Workload;
use super::network::SECOND;
use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_driver::{AttemptEnd, Call, Driver, Input, Limits, Output};

/// Listed workers: those of one cell.
const WORKERS: u32 = 100;
/// Calls, and as many withdrawals, in one batch.
const CALLS_PER_BATCH: u64 = 100;
/// Time between two batches.
const BATCH_INTERVAL: Micros = 2_000;
/// How long the client announces to wait: the most that the platform front accepts.
const WAIT: Micros = 600 * SECOND;

const HEAP: Metric = Metric { name: "heap after the calls", unit: "B" };
const TIME_PER_CALL: Metric = Metric { name: "processor time of a call", unit: "us" };

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(WithdrawnCalls)]
}

/// Costs by the number of withdrawn calls.
struct WithdrawnCalls;

impl Row for WithdrawnCalls {
    fn name(&self) -> &'static str {
        "withdrawn-calls"
    }

    fn role(&self) -> Role {
        Role::FrontEndCall
    }

    fn about(&self) -> &'static str {
        "one Driver and its Router: calls withdrawn in the batch of their arrival, each for another function that no \
         worker knows, whose client announces to wait for ten minutes"
    }

    fn variable(&self) -> &'static str {
        "withdrawn calls"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[1_000, 10_000, 100_000, 1_000_000]
    }

    fn planned_size(&self) -> u64 {
        1_000_000
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![Bound { metric: HEAP, max: MAX_HEAP, source: "128 MB a front end" }]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size.saturating_mul(2_000)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let heap = HeapMeter::start();
        let mut front_end = WithdrawingFrontEnd::new(seed);
        let listed = heap.net_bytes();
        let meter = ProcessorMeter::start();
        let mut sent = 0;
        while sent < size {
            let calls = CALLS_PER_BATCH.min(size - sent);
            front_end.run_batch(sent..sent + calls);
            sent += calls;
        }
        let time_per_call = meter.microseconds() / size.max(1) as f64;
        let remembered = heap.net_bytes().saturating_sub(listed);
        Ok(vec![
            Measurement { metric: HEAP, value: remembered as f64 },
            Measurement { metric: TIME_PER_CALL, value: time_per_call },
        ])
    }
}

/// A front end whose calls are all withdrawn.
struct WithdrawingFrontEnd {
    driver: Driver<Router, (), (), ()>,
    now: Time,
    /// Ends of the attempts that were cancelled in the last batch.
    ends: Vec<Input<(), (), ()>>,
}

impl WithdrawingFrontEnd {
    fn new(seed: u64) -> Self {
        let settings = Workload::new(WORKERS, 1).settings();
        let limits = Limits {
            max_calls: usize::MAX,
            max_attempts: settings.max_attempts,
            order_timeout: settings.order_timeout,
            probe_timeout: SECOND,
            cancel_timeout: SECOND,
            answer_slack: settings.answer_slack,
        };
        let driver = Driver::new(Router::new(seed, settings), limits);
        let mut front_end = WithdrawingFrontEnd { driver, now: SECOND, ends: Vec::new() };
        let entries = (1..=WORKERS).map(worker_entry).collect();
        front_end.process(vec![Input::List { kind: ListKind::Whole, entries }]);
        front_end
    }

    /// Calls with these numbers arrive and are withdrawn.
    fn run_batch(&mut self, numbers: std::ops::Range<u64>) {
        self.now += BATCH_INTERVAL;
        let mut inputs = std::mem::take(&mut self.ends);
        for number in numbers {
            let request = request(number, self.now + WAIT);
            let id = request.id.clone();
            inputs.push(Input::Call(Call { request, origin: (), content: () }));
            inputs.push(Input::CallerDisconnected { id, finish_started: false });
        }
        self.process(inputs);
    }

    fn process(&mut self, inputs: Vec<Input<(), (), ()>>) {
        let mut outputs = Vec::new();
        self.driver.on_batch(self.now, inputs, &mut outputs);
        for output in outputs {
            if let Output::Cancel { id, attempt, .. } = output {
                let end = AttemptEnd::from_outcome(Outcome::Cancelled);
                self.ends.push(Input::AttemptEnded { id, attempt, end });
            }
        }
    }
}

fn worker_entry(worker: WorkerId) -> WorkerEntry {
    WorkerEntry {
        worker,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        availability: Availability::Ready,
        born: None,
    }
}

fn request(number: u64, due: Time) -> Request {
    Request {
        id: format!("{number:016x}").into(),
        retry: false,
        tenant: 0,
        hint: None,
        function: format!("{:016x}", !number).into(),
        memory_mb: 512.0,
        lanes: 4,
        class: 0,
        due,
        load_time: Some(SECOND / 10),
    }
}
