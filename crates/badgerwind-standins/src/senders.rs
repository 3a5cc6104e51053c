//! Senders: an open-loop load of signed webhooks at drawn times, with timeouts and the retries that each
//! class allows.

use crate::record::{now, Recorder};
use crate::runner::Work;
use badgerwind_check::{Answer, Event};
use badgerwind_http::{Exchange, ExchangeError, Pool};
use badgerwind_webhook::{sign, Key, ID, SIGNATURE, TIMESTAMP};
use futures_lite::FutureExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A class of calls, as configured at its senders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// URL path; the function's name is appended.
    pub path: String,
    /// Prefix of its functions' names; a number is appended.
    pub functions: String,
    /// Number of functions.
    pub count: u32,
    /// Its share of the calls.
    pub share: f64,
    /// Mean work, in microseconds.
    pub mean_us: f64,
    /// Timeout of one try, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// Whether senders retry after any failure; otherwise only after a refusal or a failed connection.
    pub repeatable: bool,
}

/// A time span with different traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Phase {
    /// Start of the span, in microseconds after the start of the plan.
    pub from: u64,
    /// End of the span, in microseconds.
    pub to: u64,
    /// Factor on the rate of calls.
    pub rate: f64,
    /// Share of the calls that go to one rarely used function of their class.
    #[serde(default)]
    pub hot: f64,
    /// Senders retry without a wait, and more often.
    #[serde(default)]
    pub abuse: bool,
}

/// The load of a sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Addresses of the front ends.
    pub fronts: Vec<SocketAddr>,
    /// The sender's name in the settings.
    pub sender: String,
    /// The sender's tenant.
    pub tenant: String,
    /// Seed of the random draws.
    pub seed: u64,
    /// Calls per second.
    pub rate: f64,
    /// Time in which new calls are made, in microseconds.
    pub length: u64,
    /// The classes.
    pub classes: Vec<Class>,
    /// Zipf exponent of the functions' popularity.
    pub zipf: f64,
    /// Number of retries after the first try.
    pub retries: u32,
    /// Mean wait before a retry, in milliseconds; 0.5 to 1.5 times this is drawn.
    pub wait_ms: u64,
    /// Whether retries carry the `badgerwind-retry` header.
    pub marks: bool,
    /// Time spans with different traffic.
    pub phases: Vec<Phase>,
}

/// A planned call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Time of the call, in microseconds after the start.
    pub at: u64,
    /// Index of the class in the plan.
    pub class: usize,
    /// Name of the function.
    pub function: String,
    /// Work of the call, in microseconds.
    pub work: f64,
    /// Index of the front end that receives the first try.
    pub front: usize,
}

/// Draws all calls of a plan; the result depends on the plan alone.
pub fn draw(plan: &Plan) -> Vec<PlannedCall> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let (mut at, mut calls) = (0.0, Vec::new());
    // A lognormal distribution of mean 1; a σ of 0.8 matches the spread of the operators' classes.
    let spread = LogNormal::new(-0.32, 0.8).ok();
    while let Ok(gap) = Exp::new(plan.rate / 1e6) {
        let phase = |at: f64| plan.phases.iter().find(|p| (p.from..p.to).contains(&(at as u64)));
        let times = phase(at).map_or(1.0, |p| p.rate.max(0.01));
        at += gap.sample(&mut rng) / times;
        if at >= plan.length as f64 {
            break;
        }
        let mut pick = rng.random::<f64>() * plan.classes.iter().map(|c| c.share).sum::<f64>();
        let class = plan.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        let c = &plan.classes[class];
        let rank = Zipf::new(f64::from(c.count.max(1)), plan.zipf).map_or(1.0, |z| z.sample(&mut rng)) as u32;
        let hot = phase(at).is_some_and(|p| rng.random::<f64>() < p.hot);
        let number = if hot { c.count.saturating_sub(1) } else { rank.saturating_sub(1) };
        let work = c.mean_us * spread.map_or(1.0, |s| s.sample(&mut rng));
        let front = rng.random_range(0..plan.fronts.len().max(1));
        calls.push(PlannedCall {
            at: at as u64,
            class,
            function: format!("{}{number}", c.functions),
            work,
            front,
        });
    }
    calls
}

/// Part of the timeout that a sender reserves for the return of the answer on a busy machine, in
/// milliseconds.
const RETURN_RESERVE_MS: u64 = 150;

struct SenderTask {
    plan: Plan,
    key: Key,
    pools: Vec<Pool>,
    recorder: Recorder,
}

/// Sends all calls of a plan, and returns when all have ended.
pub async fn run(plan: Plan, key: Key, recorder: Recorder) {
    let pools = plan.fronts.iter().map(|a| crate::pool(*a, 4096)).collect();
    let calls = draw(&plan);
    let sending = Arc::new(SenderTask { plan, key, pools, recorder });
    let start = now();
    let mut tasks = Vec::new();
    for (n, call) in calls.into_iter().enumerate() {
        let wait = (start + call.at).saturating_sub(now());
        if wait > 0 {
            smol::Timer::after(Duration::from_micros(wait)).await;
        }
        let sending = sending.clone();
        tasks.push(smol::spawn(async move { sending.call(n, call).await }));
    }
    for task in tasks {
        task.await;
    }
}

impl SenderTask {
    async fn call(&self, n: usize, call: PlannedCall) {
        let plan = &self.plan;
        let class = &plan.classes[call.class];
        let mut rng = StdRng::seed_from_u64(plan.seed ^ (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let id = format!("msg_{:x}_{n}", plan.seed);
        let abuse = plan.phases.iter().any(|p| p.abuse && (p.from..p.to).contains(&call.at));
        let tries = if abuse { plan.retries + 3 } else { plan.retries };
        let mut front = call.front;
        for attempt in 0..=tries {
            let (answer, advice) = self.send_try(&id, attempt, front, class, &call).await;
            let again = match answer {
                Answer::Served | Answer::Rejected => false,
                Answer::Refused | Answer::Unreached => true,
                Answer::Failed | Answer::Broke | Answer::GaveUp => class.repeatable,
            };
            if !again {
                return;
            }
            if answer == Answer::Unreached {
                front = (front + 1) % self.pools.len().max(1);
            }
            let wait = plan.wait_ms as f64 * 1000.0 * (0.5 + rng.random::<f64>());
            let wait = if abuse { 0.0 } else { wait.max(advice as f64 * 1000.0) };
            smol::Timer::after(Duration::from_micros(wait as u64)).await;
        }
    }

    async fn send_try(
        &self,
        id: &str,
        attempt: u32,
        front: usize,
        class: &Class,
        call: &PlannedCall,
    ) -> (Answer, u64) {
        let plan = &self.plan;
        let work = Work { work_us: call.work, mean_us: class.mean_us };
        let body = serde_json::to_vec(&work).unwrap_or_default();
        let signed = sign(std::slice::from_ref(&self.key), id, (now() / 1_000_000) as i64, &body);
        let mut headers = vec![
            (ID, signed.id),
            (TIMESTAMP, signed.timestamp.to_string()),
            (SIGNATURE, signed.signature),
            ("content-type", "application/json".to_owned()),
            // The requested deadline leaves time for the return of the answer.
            ("badgerwind-deadline-ms", class.timeout_ms.saturating_sub(RETURN_RESERVE_MS).to_string()),
        ];
        if plan.marks && attempt > 0 {
            headers.push(("badgerwind-retry", "1".to_owned()));
        }
        let target = format!("{}{}", class.path, call.function);
        let request = Exchange { method: "POST", target, headers, body: body.into() };
        let (sent, name) = (now(), format!("{}_{id}", plan.sender));
        let due = sent + class.timeout_ms * 1000;
        self.recorder.add_at(
            sent,
            Event::Sent {
                call: name.clone(),
                attempt,
                front: front as u32,
                class: class.name.clone(),
                tenant: plan.tenant.clone(),
                due,
                work: call.work,
            },
        );
        // The sender waits a little beyond the due time, so that a late answer is recorded as late.
        let timeout = Duration::from_micros(class.timeout_ms * 1000 + 500_000);
        let late = async {
            smol::Timer::after(timeout).await;
            None
        };
        let done = async { Some(self.pools[front].exchange(&request).await) }.or(late).await;
        let (mut replayed, mut advice) = (false, 0);
        let answer = match done {
            None => Answer::GaveUp,
            Some(Err(ExchangeError::Connect(_))) => Answer::Unreached,
            Some(Err(_)) => Answer::Broke,
            Some(Ok((head, _))) => {
                replayed = head.headers.get("badgerwind-replayed").is_some();
                let ms = head.headers.get("badgerwind-retry-after-ms").and_then(|v| v.parse().ok());
                advice = ms.unwrap_or(0);
                match head.status {
                    200 => Answer::Served,
                    429 | 503 => Answer::Refused,
                    500..=599 => Answer::Failed,
                    _ => Answer::Rejected,
                }
            }
        };
        self.recorder.add(Event::TryEnded { call: name, attempt, answer, replayed });
        (answer, advice)
    }
}
