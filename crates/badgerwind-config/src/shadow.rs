//! Tries a change without effects: recorded calls are replayed through a new driver with the new settings.
//! Simulated runners answer a served call after its recorded latency, and everything else after the average
//! one. This detects a decision module that panics under the new settings, and settings under which no call
//! is served although calls were served before.

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_driver::{AttemptEnd, Call, Driver, FinalAnswer, Input, Limits, OrderId, Output};
use badgerwind_settings::{Function, Settings};
use std::collections::BTreeMap;

/// A recorded call. It refers to class, tenant and function by name, since indices differ between settings.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// The time of arrival.
    pub arrived_at: Time,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// The name of its function.
    pub function: String,
    /// How long its sender waits for the answer.
    pub sender_timeout: Micros,
    /// Whether it was served.
    pub served: bool,
    /// The time from arrival to the answer.
    pub latency: Micros,
}

/// The result of a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayResult {
    /// Replayed calls: those whose class, tenant and function the new settings declare.
    pub calls: usize,
    /// Replayed calls that were served when recorded.
    pub served_before: usize,
    /// Replayed calls that were served in the replay.
    pub served: usize,
}

/// Number of calls served before, from which on a replay without any served call rejects the change.
const MIN_SERVED_CALLS: usize = 5;

/// A recorded call with the indices and the function of the new settings.
#[derive(Clone, Copy)]
struct ReplayedCall<'a> {
    call: &'a RecordedCall,
    class: usize,
    tenant: usize,
    function: &'a Function,
}

/// A scheduled event of the replay.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    /// A recorded call arrives: its index among the replayed calls.
    Call(usize),
    /// A runner answers an attempt.
    Attempt(RequestId, u32),
    /// A runner completes a load order and holds this number of copies.
    Order(OrderId, u32),
}

/// The limits of a driver according to the settings, for the daemon and for replays.
pub fn driver_limits(settings: &Settings) -> Limits {
    Limits {
        max_calls: settings.max_calls,
        max_attempts: settings.router.max_attempts,
        order_timeout: settings.router.order_timeout,
        probe_timeout: settings.runners.probe_timeout,
        cancel_timeout: settings.runners.cancel_timeout,
        answer_slack: settings.router.answer_slack,
    }
}

/// Replays recorded calls under new settings. `entries` are the listed runners. The error is the reason to
/// reject the change.
pub fn replay(
    settings: &Settings,
    entries: &[WorkerEntry],
    calls: &[RecordedCall],
) -> Result<ReplayResult, String> {
    let limits = driver_limits(settings);
    let mut driver = Driver::new(Router::new(1, settings.router.clone()), limits);
    let start = calls.first().map_or(1, |c| c.arrived_at.max(1));
    let (mut out, mut result) = (Vec::new(), ReplayResult::default());
    let list = Input::List { kind: ListKind::Whole, entries: entries.to_vec() };
    driver.on_batch(start, [list], &mut out);
    let mut events: BTreeMap<(Time, u64), Scheduled> = BTreeMap::new();
    let mut seq = 0;
    let mut schedule = |events: &mut BTreeMap<_, _>, at: Time, event: Scheduled| {
        seq += 1;
        events.insert((at, seq), event);
    };
    let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let mut replayed = Vec::new();
    for call in calls {
        let class = index_of(&settings.classes, &call.class);
        let tenant = index_of(&settings.tenants, &call.tenant);
        let function = settings.functions.iter().find(|f| f.name == call.function);
        if let (Some(class), Some(tenant), Some(function)) = (class, tenant, function) {
            schedule(&mut events, call.arrived_at, Scheduled::Call(replayed.len()));
            replayed.push(ReplayedCall { call, class, tenant, function });
            result.calls += 1;
            result.served_before += usize::from(call.served);
        }
    }
    let served = replayed.iter().filter(|r| r.call.served);
    let (sum, count) = served.fold((0u64, 0u64), |(sum, count), r| (sum + r.call.latency, count + 1));
    let mean_latency = (sum / count.max(1)).max(1);
    // Every call ends by its due time; timers after that do not affect the result.
    let end = replayed.iter().map(|r| r.call.arrived_at + r.call.sender_timeout).max().unwrap_or(start)
        + limits.answer_slack
        + 1;
    loop {
        let next = events.first_key_value().map(|(&(at, _), _)| at);
        let Some(at) = next.into_iter().chain(driver.next_wake()).min().filter(|&at| at <= end) else {
            break;
        };
        let mut inputs: Vec<Input<(), u64, ()>> = Vec::new();
        while let Some(entry) = events.first_entry().filter(|e| e.key().0 <= at) {
            inputs.push(match entry.remove() {
                Scheduled::Call(n) => {
                    let ReplayedCall { call, class, tenant, function } = replayed[n];
                    let deadline = settings.router.classes[class].deadline;
                    let request = Request {
                        id: format!("shadow-{n}").into(),
                        retry: false,
                        tenant,
                        hint: None,
                        function: function.name.as_str().into(),
                        memory_mb: function.memory_mb,
                        lanes: function.lanes,
                        class,
                        due: call.arrived_at + call.sender_timeout.min(deadline),
                        load_time: function.load_time,
                    };
                    let latency = if call.served { call.latency } else { mean_latency };
                    Input::Call(Call { request, origin: (), content: latency })
                }
                Scheduled::Attempt(id, attempt) => {
                    let end = AttemptEnd {
                        reply: Some(()),
                        mark: CopyMark::Warm,
                        ..AttemptEnd::from_outcome(Outcome::Ok)
                    };
                    Input::AttemptEnded { id, attempt, end }
                }
                Scheduled::Order(order, copies) => Input::OrderEnded { order, outcome: Outcome::Ok, copies },
            });
        }
        driver.on_batch(at, inputs, &mut out);
        for output in out.drain(..) {
            match output {
                Output::Attempt { id, attempt, content, .. } => {
                    schedule(&mut events, at + content.max(1), Scheduled::Attempt(id, attempt));
                }
                Output::Order { order, copies, .. } => {
                    schedule(&mut events, at + mean_latency, Scheduled::Order(order, copies))
                }
                Output::Answer { answer: FinalAnswer::Served(()), .. } => result.served += 1,
                Output::ModuleFailed { text } => {
                    return Err(format!("the decision module failed in the shadow: {text}"))
                }
                _ => {}
            }
        }
    }
    if result.served_before >= MIN_SERVED_CALLS && result.served == 0 {
        return Err(format!(
            "in the shadow none of {} calls was served; {} of them were when they came",
            result.calls, result.served_before
        ));
    }
    if result.calls == 0 && calls.iter().filter(|c| c.served).count() >= MIN_SERVED_CALLS {
        return Err(format!("none of the {} calls of the last while would be known any more", calls.len()));
    }
    Ok(result)
}
