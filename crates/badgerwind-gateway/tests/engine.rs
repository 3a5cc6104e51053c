//! The engine's end: what was handed over before it is owed an answer, whether or not it has had its turn. What never ran, or may
//! run again, is refused, so that its client can try elsewhere.

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_driver::{Call, FinalAnswer, Limits, Output};
use badgerwind_gateway::clock::Clock;
use badgerwind_gateway::engine::{Backend, Control, Engine, EngineEnd, InputOf, OutputOf, Terms};
use badgerwind_platform::config;
use badgerwind_standins::platform::configuration;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Keeps whom it answered, and how.
struct Answers(Arc<Mutex<Vec<(u32, bool)>>>);

impl Backend for Answers {
    type Origin = u32;
    type Content = ();
    type Reply = ();

    fn module(_: &()) -> u64 {
        0
    }
    fn handed(_: &()) -> Time {
        0
    }
    fn observe(&mut self, _: Time, _: &InputOf<Self>) {}
    fn carry(&mut self, _: Time, output: OutputOf<Self>) {
        if let Output::Answer { origin, answer, .. } = output {
            self.0.lock().unwrap().push((origin, matches!(answer, FinalAnswer::Refused { .. })));
        }
    }
    fn settled(&mut self, _: usize, _: Duration) {}
}

#[test]
fn a_call_that_has_not_had_its_turn_when_the_end_comes_is_answered() {
    let address = "127.0.0.1:1".parse().unwrap();
    let config = config::read(configuration(address, address, &[]).to_string().as_bytes()).unwrap();
    let limits = Limits {
        max_calls: 100,
        max_attempts: 3,
        order_timeout: 1_000_000,
        probe_timeout: 1_000_000,
        cancel_timeout: 1_000_000,
        answer_slack: 8_000,
    };
    let (clock, told) = (Clock::start(), Arc::<Mutex<Vec<(u32, bool)>>>::default());
    let (inputs, from_fronts) = async_channel::unbounded();
    let (control, controls) = async_channel::bounded(1);
    for origin in 0..3u32 {
        let request = Request {
            id: format!("c{origin}").into(),
            retry: false,
            tenant: 0,
            hint: None,
            function: "f".into(),
            memory_mb: 1.0,
            lanes: 1,
            class: 0,
            due: clock.now() + 60_000_000,
            load_time: None,
        };
        inputs.try_send(badgerwind_driver::Input::Call(Call { request, origin, content: () })).unwrap();
    }
    control.try_send(Control::End).unwrap();
    let engine = Engine {
        clock,
        inputs: from_fronts,
        control: controls,
        owed: Arc::default(),
        lag: Arc::default(),
        backend: Answers(told.clone()),
    };
    let terms = Terms::new(limits, &config.router);
    let end = smol::block_on(engine.run(Box::new(Router::new(1, config.router)), terms));
    assert_eq!(end, EngineEnd::Asked);
    assert_eq!(*told.lock().unwrap(), [(0, true), (1, true), (2, true)]);
}
