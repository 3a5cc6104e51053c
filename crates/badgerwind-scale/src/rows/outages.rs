//! What a front end's own evidence costs while service discovery is out of reach: the real state machine, asked before
//! each call, and hollow executors that answer after a fixed time.

use super::front_end::{CALLS_PER_SECOND, SECOND};
use super::router::{CORE_SHARE_BOUND, MEMORY_BOUND};
use crate::cost::{HeapMeter, ProcessorMeter};
use crate::error::ScaleError;
use crate::row::{Bound, Measurement, Metric, Role, Row};
use badgerwind::interface::{FunctionId, Micros, Time, WorkerId};
use badgerwind_freshness::{Evidence, Freshness, FreshnessSettings, Permit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time of the outage.
const MEASURED: Micros = 60 * SECOND;
const GRACE: Micros = SECOND / 2;
/// From a question's first byte to its answer, and the same of a call.
const QUESTION_TIME: Micros = 1_000;
const CALL_TIME: Micros = 100_000;
/// A question and its answer, with a function's name of 16 digits and a tag of 10.
const QUESTION_BYTES: usize =
    r#"{"type":"SPAWN","req":"ask-123456","meta":{"obj":"7f3a9c21e0b4d655","slots_up":0}}"#.len()
        + r#"{"type":"HIT","req":"ask-123456","meta":{"slots_up":1}}"#.len()
        + 2;

const QUESTIONS: Metric = Metric { name: "questions", unit: "questions/s" };
const BYTES: Metric = Metric { name: "bytes of questions and answers", unit: "B/s" };
const ASKED: Metric =
    Metric { name: "questions at one executor, from 1,570 front ends", unit: "questions/s" };
const TIME: Metric = Metric { name: "processor time a second", unit: "us/s" };
const HEAP: Metric = Metric { name: "heap", unit: "B" };

/// Front ends of a region.
const REGION: f64 = 1_570.0;
/// What a front end may send and receive for control.
const BYTES_BOUND: f64 = 6_144.0;

/// All rows of this part.
pub fn rows() -> Vec<Box<dyn Row>> {
    vec![Box::new(Outage)]
}

struct Outage;

impl Row for Outage {
    fn name(&self) -> &'static str {
        "outage-questions"
    }

    fn role(&self) -> Role {
        Role::FrontEndControl
    }

    fn about(&self) -> &'static str {
        "one front end's evidence of executors through an outage of service discovery of 60 s: 127 calls a second to \
         executors drawn evenly, which is the worst for questions; answers after 1 ms, calls of 100 ms, a grace of 0.5 s"
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
            Bound { metric: TIME, max: CORE_SHARE_BOUND, source: "1% of a core" },
            Bound { metric: HEAP, max: MEMORY_BOUND, source: "128 MB a front end" },
            Bound { metric: BYTES, max: BYTES_BOUND, source: "6 KB a second a front end" },
        ]
    }

    fn estimated_heap_bytes(&self, size: u64) -> u64 {
        size * 1_000 + (1 << 20)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ScaleError> {
        let heap = HeapMeter::start();
        let mut outage = HollowOutage::new(size as u32, seed);
        let meter = ProcessorMeter::start();
        outage.play();
        let seconds = MEASURED as f64 / SECOND as f64;
        let time = meter.microseconds() / seconds;
        let kept = (heap.net_bytes() as f64 - outage.pending_bytes()).max(0.0);
        let questions = outage.freshness.counters().questions as f64 / seconds;
        let of = |metric, value| Measurement { metric, value };
        Ok(vec![
            of(QUESTIONS, questions),
            of(BYTES, questions * QUESTION_BYTES as f64),
            of(ASKED, questions * REGION / size as f64),
            of(TIME, time),
            of(HEAP, kept),
        ])
    }
}

/// An answer on its way: when it comes, whose, what was sent when, and whether it answers a question.
type Answer = Reverse<(Time, WorkerId, Time, bool)>;

struct HollowOutage {
    freshness: Freshness,
    workers: u32,
    rng: StdRng,
    answers: BinaryHeap<Answer>,
    function: FunctionId,
}

impl HollowOutage {
    /// A front end that has never heard of discovery.
    fn new(workers: u32, seed: u64) -> Self {
        let terms = FreshnessSettings {
            drain_grace: GRACE,
            answer_timeout: SECOND / 4,
            may_probe: true,
            may_order: true,
            front_ends: 1,
            jitter: 0.0,
        };
        let mut freshness = Freshness::new(0, terms);
        (0..workers).for_each(|worker| freshness.on_listed(worker, false));
        HollowOutage {
            freshness,
            workers,
            rng: StdRng::seed_from_u64(seed),
            answers: BinaryHeap::new(),
            function: "7f3a9c21e0b4d655".into(),
        }
    }

    fn play(&mut self) {
        let apart = (SECOND as f64 / CALLS_PER_SECOND) as Micros;
        for call in 0..MEASURED / apart {
            let now = call * apart;
            self.take_answers(now);
            let worker = self.rng.random_range(0..self.workers);
            match self.freshness.permit(now, worker) {
                Permit::Granted => self.answers.push(Reverse((now + CALL_TIME, worker, now, false))),
                Permit::Ask => {
                    self.freshness.on_questions_queued(now, worker, self.function.clone());
                    self.answers.push(Reverse((now + QUESTION_TIME, worker, now, true)));
                }
                Permit::Wait | Permit::Denied(_) => {}
            }
        }
    }

    /// Takes what has come by now. A question's answer lets its call go.
    fn take_answers(&mut self, now: Time) {
        while let Some(Reverse((at, worker, since, question))) =
            self.answers.peek().copied().filter(|answer| answer.0 .0 <= now)
        {
            self.answers.pop();
            if !question {
                self.freshness.on_evidence(at, worker, Evidence::Served, true);
            } else {
                for copies in [Some(1), None] {
                    self.freshness.on_evidence(at, worker, Evidence::Confirmed { since, copies }, true);
                }
                self.answers.push(Reverse((at + CALL_TIME, worker, at, false)));
            }
        }
    }

    /// Heap of what is only the measurement's.
    fn pending_bytes(&self) -> f64 {
        (self.answers.capacity() * std::mem::size_of::<Answer>()) as f64
    }
}
