//! A change tried without effects: recorded calls run through a new driver with the new settings, against runners
//! that answer as the recorded ones did on average. It finds a module that panics under the new settings, and
//! settings under which nothing is served that was served before.

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_driver::{AttemptEnd, Call, Driver, FinalAnswer, Input, Limits, OrderId, Output};
use badgerwind_settings::Settings;
use std::collections::BTreeMap;

/// A call as it was recorded: names, since places differ between settings.
#[derive(Clone, Debug)]
pub struct Recorded {
    /// When it came.
    pub at: Time,
    /// Its class's name.
    pub class: String,
    /// Its tenant's name.
    pub tenant: String,
    /// Its function's name.
    pub function: String,
    /// How long its sender would wait.
    pub waits: Span,
    /// It was served.
    pub served: bool,
    /// How long that took.
    pub lag: Span,
}

/// What the shadow showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Calls replayed: those that the new settings know.
    pub calls: usize,
    /// Served when recorded.
    pub served_before: usize,
    /// Served in the shadow.
    pub served: usize,
}

/// Calls that were served before, from which on none served is a verdict.
const FEW: usize = 5;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Call(usize),
    Attempt(RequestId, u32),
    Order(OrderId, u32),
}

/// The bounds of a driver, from the settings: the daemon's and the shadow's alike.
pub fn limits(settings: &Settings) -> Limits {
    Limits {
        max_calls: settings.most_held,
        max_attempts: settings.router.max_attempts,
        order_timeout: settings.router.order_timeout,
        probe_timeout: settings.runners.probe_time,
        cancel_timeout: settings.runners.call_off_time,
        answer_slack: settings.router.answer_slack,
    }
}

/// Replays recorded calls through new settings. `entries`: the runners, as listed. The error is why the change
/// should be turned down.
pub fn shadow(settings: &Settings, entries: &[WorkerEntry], calls: &[Recorded]) -> Result<Shown, String> {
    let limits = limits(settings);
    let mut driver = Driver::new(Router::new(1, settings.router.clone()), limits);
    let start = calls.first().map_or(1, |c| c.at.max(1));
    let (mut out, mut shown) = (Vec::new(), Shown::default());
    let list = Input::List { kind: ListKind::Whole, entries: entries.to_vec() };
    driver.on_batch(start, [list], &mut out);
    let mut due: BTreeMap<(Time, u64), Due> = BTreeMap::new();
    let mut seq = 0;
    let mut set = |due: &mut BTreeMap<_, _>, at: Time, what: Due| {
        seq += 1;
        due.insert((at, seq), what);
    };
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let mut known = Vec::new();
    for call in calls {
        let class = place(&settings.classes, &call.class);
        let tenant = place(&settings.tenants, &call.tenant);
        let function = settings.functions.iter().find(|f| f.name == call.function);
        if let (Some(class), Some(tenant), Some(function)) = (class, tenant, function) {
            set(&mut due, call.at, Due::Call(known.len()));
            known.push((call, class, tenant, function));
            shown.calls += 1;
            shown.served_before += usize::from(call.served);
        }
    }
    let served = known.iter().filter(|k| k.0.served);
    let (sum, n) = served.fold((0u64, 0u64), |(s, n), k| (s + k.0.lag, n + 1));
    let mean = (sum / n.max(1)).max(1);
    // Every call ends by its due time, every alarm beyond that changes nothing that counts.
    let end = known.iter().map(|k| k.0.at + k.0.waits).max().unwrap_or(start) + limits.answer_slack + 1;
    loop {
        let next = due.first_key_value().map(|(&(at, _), _)| at);
        let Some(at) = next.into_iter().chain(driver.next_wake()).min().filter(|&at| at <= end) else {
            break;
        };
        let mut inputs: Vec<Input<(), u64, ()>> = Vec::new();
        while let Some(entry) = due.first_entry().filter(|e| e.key().0 <= at) {
            inputs.push(match entry.remove() {
                Due::Call(n) => {
                    let (call, class, tenant, f) = known[n];
                    let deadline = settings.router.classes[class].deadline;
                    let request = Request {
                        id: format!("shadow-{n}").into(),
                        retry: false,
                        tenant,
                        hint: None,
                        function: f.name.as_str().into(),
                        memory_mb: f.memory_mb,
                        lanes: f.lanes,
                        class,
                        due: call.at + call.waits.min(deadline),
                        load_time: f.load_time,
                    };
                    let lag = if call.served { call.lag } else { mean };
                    Input::Call(Call { request, origin: (), content: lag })
                }
                Due::Attempt(id, attempt) => {
                    let end = AttemptEnd {
                        reply: Some(()),
                        mark: CopyMark::Warm,
                        ..AttemptEnd::from_outcome(Outcome::Ok)
                    };
                    Input::AttemptEnded { id, attempt, end }
                }
                Due::Order(order, copies) => Input::OrderEnded { order, outcome: Outcome::Ok, copies },
            });
        }
        driver.on_batch(at, inputs, &mut out);
        for o in out.drain(..) {
            match o {
                Output::Attempt { id, attempt, content, .. } => {
                    set(&mut due, at + content.max(1), Due::Attempt(id, attempt));
                }
                Output::Order { order, copies, .. } => set(&mut due, at + mean, Due::Order(order, copies)),
                Output::Answer { answer: FinalAnswer::Served(()), .. } => shown.served += 1,
                Output::ModuleFailed { text } => {
                    return Err(format!("the decision module failed in the shadow: {text}"))
                }
                _ => {}
            }
        }
    }
    if shown.served_before >= FEW && shown.served == 0 {
        return Err(format!(
            "in the shadow none of {} calls was served; {} of them were when they came",
            shown.calls, shown.served_before
        ));
    }
    if shown.calls == 0 && calls.iter().filter(|c| c.served).count() >= FEW {
        return Err(format!("none of the {} calls of the last while would be known any more", calls.len()));
    }
    Ok(shown)
}
