//! Shutdown of the engine: every call that was queued before it is answered, even if no batch has included
//! the call yet. A call that never ran, or that may run again, is refused, so that its client can try another
//! front end.

use badgerwind::interface::*;
use badgerwind::Router;
use badgerwind_driver::{Call, FinalAnswer, Limits, Output};
use badgerwind_gateway::clock::Clock;
use badgerwind_gateway::engine::{Backend, Control, Engine, EngineEnd, InputOf, ModuleSettings, OutputOf};
use badgerwind_platform::config;
use badgerwind_standins::platform::configuration;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Records the origin of each answered call and whether the call was refused.
struct Answers(Arc<Mutex<Vec<(u32, bool)>>>);

impl Backend for Answers {
    type Origin = u32;
    type Content = ();
    type Reply = ();

    fn module_number(_: &()) -> u64 {
        0
    }
    fn accepted_at(_: &()) -> Time {
        0
    }
    fn observe(&mut self, _: Time, _: &InputOf<Self>) {}
    fn execute(&mut self, _: Time, output: OutputOf<Self>) {
        if let Output::Answer { origin, answer, .. } = output {
            self.0.lock().unwrap().push((origin, matches!(answer, FinalAnswer::Refused { .. })));
        }
    }
    fn on_batch_done(&mut self, _: usize, _: Duration) {}
}

#[test]
fn calls_still_queued_at_shutdown_are_answered() {
    let address = "127.0.0.1:1".parse().unwrap();
    let config = config::parse(configuration(address, address, &[]).to_string().as_bytes()).unwrap();
    let limits = Limits {
        max_calls: 100,
        max_attempts: 3,
        order_timeout: 1_000_000,
        probe_timeout: 1_000_000,
        cancel_timeout: 1_000_000,
        answer_slack: 8_000,
    };
    let (clock, answers) = (Clock::start(), Arc::<Mutex<Vec<(u32, bool)>>>::default());
    let (inputs, input_receiver) = async_channel::unbounded();
    let (control, control_receiver) = async_channel::bounded(1);
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
    control.try_send(Control::Stop).unwrap();
    let engine = Engine {
        clock,
        inputs: input_receiver,
        control: control_receiver,
        unanswered: Arc::default(),
        lag: Arc::default(),
        backend: Answers(answers.clone()),
    };
    let settings = ModuleSettings::new(limits, &config.router);
    let end = smol::block_on(engine.run(Box::new(Router::new(1, config.router)), settings));
    assert_eq!(end, EngineEnd::Stopped);
    assert_eq!(*answers.lock().unwrap(), [(0, true), (1, true), (2, true)]);
}
