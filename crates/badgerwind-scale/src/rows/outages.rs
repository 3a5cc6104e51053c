//! Row of the costs of a front end's own evidence while service discovery is unreachable. The real state
//! machine decides on each call; simulated executors answer after a fixed time.

use super::bounds::{MAX_CONTROL_TRAFFIC, MAX_HEAP, MAX_PROCESSOR_TIME};
use super::front_end::CALLS_PER_SECOND;
use super::network::SECOND;
use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{FunctionId, Micros, Time, WorkerId};
use badgerwind_freshness::{Evidence, Freshness, FreshnessSettings, Permit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Duration of the outage.
const OUTAGE_DURATION: Micros = 60 * SECOND;
/// Grace period of a drain, for which a confirmation is valid.
const DRAIN_GRACE: Micros = SECOND / 2;
/// Time from the first byte of a question to its answer.
const QUESTION_TIME: Micros = 1_000;
/// Time from the first byte of a call to its answer.
const CALL_TIME: Micros = 100_000;
/// Number of bytes of a question and its answer, with a function name of 16 characters and a request id of
/// 10.
const QUESTION_BYTES: usize =
    r#"{"type":"SPAWN","req":"ask-123456","meta":{"obj":"7f3a9c21e0b4d655","slots_up":0}}"#.len()
        + r#"{"type":"HIT","req":"ask-123456","meta":{"slots_up":1}}"#.len()
        + 2;

const QUESTIONS: Metric = Metric { name: "questions", unit: "questions/s" };
const BYTES_PER_SECOND: Metric = Metric { name: "bytes of questions and answers", unit: "B/s" };
const QUESTIONS_PER_EXECUTOR: Metric =
    Metric { name: "questions at one executor, from 1,570 front ends", unit: "questions/s" };
const PROCESSOR_TIME: Metric = Metric { name: "processor time a second", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

/// Number of front ends in a region.
const FRONT_ENDS_PER_REGION: f64 = 1_570.0;

/// All rows of this module.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(OutageQuestions)]
}

/// Costs of the questions to executors by the number of executors in use.
struct OutageQuestions;

impl Row for OutageQuestions {
    fn name(&self) -> &'static str {
        "outage-questions"
    }

    fn role(&self) -> Role {
        Role::FrontEndControl
    }

    fn about(&self) -> &'static str {
        "one front end's evidence about executors during a 60 s outage of service discovery: 127 calls \
         per second to uniformly drawn executors, the worst case for questions; answers after 1 ms, calls \
         of 100 ms, a grace period of 0.5 s"
    }

    fn variable(&self) -> &'static str {
        "executors in use"
    }

    fn default_sizes(&self) -> &'static [u64] {
        &[12, 120, 1_000, 16_000]
    }

    fn planned_size(&self) -> u64 {
        16_000
    }

    fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound { metric: PROCESSOR_TIME, max: MAX_PROCESSOR_TIME, source: "1% of a core" },
            Bound { metric: HEAP, max: MAX_HEAP, source: "128 MB a front end" },
            Bound { metric: BYTES_PER_SECOND, max: MAX_CONTROL_TRAFFIC, source: "6 KB a second a front end" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 1_000 + (1 << 20)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let heap = HeapMeter::start();
        let mut outage = SimulatedOutage::new(size as u32, seed);
        let meter = ProcessorMeter::start();
        outage.run();
        let seconds = OUTAGE_DURATION as f64 / SECOND as f64;
        let processor_time = meter.microseconds() / seconds;
        let heap_bytes = (heap.net_bytes() as f64 - outage.answer_queue_bytes()).max(0.0);
        let questions = outage.freshness.counters().questions as f64 / seconds;
        let measurement = |metric, value| Measurement { metric, value };
        Ok(vec![
            measurement(QUESTIONS, questions),
            measurement(BYTES_PER_SECOND, questions * QUESTION_BYTES as f64),
            measurement(QUESTIONS_PER_EXECUTOR, questions * FRONT_ENDS_PER_REGION / size as f64),
            measurement(PROCESSOR_TIME, processor_time),
            measurement(HEAP, heap_bytes),
        ])
    }
}

/// An answer that has not been received yet. Answers are ordered by their fields from first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingAnswer {
    received_at: Time,
    worker: WorkerId,
    sent_at: Time,
    /// Whether it answers a question, and not a call.
    is_question: bool,
}

/// A front end's evidence about executors during an outage of service discovery.
struct SimulatedOutage {
    freshness: Freshness,
    workers: u32,
    rng: StdRng,
    /// Pending answers, earliest first.
    answers: BinaryHeap<Reverse<PendingAnswer>>,
    function: FunctionId,
}

impl SimulatedOutage {
    /// Creates a front end whose list discovery has never confirmed.
    fn new(workers: u32, seed: u64) -> Self {
        let settings = FreshnessSettings {
            drain_grace: DRAIN_GRACE,
            answer_timeout: SECOND / 4,
            may_probe: true,
            may_order: true,
            front_ends: 1,
            jitter: 0.0,
        };
        let mut freshness = Freshness::new(0, settings);
        (0..workers).for_each(|worker| freshness.on_listed(worker, false));
        SimulatedOutage {
            freshness,
            workers,
            rng: StdRng::seed_from_u64(seed),
            answers: BinaryHeap::new(),
            function: "7f3a9c21e0b4d655".into(),
        }
    }

    /// Sends calls at regular intervals for the duration of the outage.
    fn run(&mut self) {
        let interval = (SECOND as f64 / CALLS_PER_SECOND) as Micros;
        for call in 0..OUTAGE_DURATION / interval {
            let now = call * interval;
            self.process_answers(now);
            let worker = self.rng.random_range(0..self.workers);
            match self.freshness.permit(now, worker) {
                Permit::Granted => self.schedule_answer(worker, now, CALL_TIME, false),
                Permit::Ask => {
                    self.freshness.on_questions_queued(now, worker, self.function.clone());
                    self.schedule_answer(worker, now, QUESTION_TIME, true);
                }
                Permit::Wait | Permit::Denied(_) => {}
            }
        }
    }

    fn schedule_answer(&mut self, worker: WorkerId, sent_at: Time, delay: Micros, is_question: bool) {
        let received_at = sent_at + delay;
        self.answers.push(Reverse(PendingAnswer { received_at, worker, sent_at, is_question }));
    }

    /// Processes the answers received until now. After the answer to a question, the call that waited for
    /// it is sent.
    fn process_answers(&mut self, now: Time) {
        while let Some(Reverse(answer)) =
            self.answers.peek().copied().filter(|answer| answer.0.received_at <= now)
        {
            self.answers.pop();
            let PendingAnswer { received_at, worker, sent_at, is_question } = answer;
            if !is_question {
                self.freshness.on_evidence(received_at, worker, Evidence::Served, true);
            } else {
                for copies in [Some(1), None] {
                    let evidence = Evidence::Confirmed { since: sent_at, copies };
                    self.freshness.on_evidence(received_at, worker, evidence, true);
                }
                self.schedule_answer(worker, received_at, CALL_TIME, false);
            }
        }
    }

    /// Heap bytes of the queue of answers, which belongs to the simulation and not to the front end.
    fn answer_queue_bytes(&self) -> f64 {
        (self.answers.capacity() * std::mem::size_of::<Reverse<PendingAnswer>>()) as f64
    }
}
