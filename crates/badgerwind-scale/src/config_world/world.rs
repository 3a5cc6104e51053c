//! Front ends, control machines and the messages between them, in simulated time.

use super::front_end::{Applied, Durations, Effect, FrontEnd, FrontEndFault};
use super::network::{request_bytes, Network, WAIT};
use super::service::{Answer, Load, Service, ServiceFault, LOOK_EVERY, SLOT};
use super::settings;
use super::SECOND;
use badgerwind_config::client::{Input, Time};
use badgerwind_config::waves::RolloutPolicy;
use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse};
use badgerwind_config::Kind;
use badgerwind_settings::document::Node;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Regions of the planned size.
const REGIONS: usize = 7;

/// How much longer than the service may hold a question an answer may take, in microseconds.
const GRACE: Time = 2 * SECOND;

/// How long a connection to a machine that does not answer is tried, in microseconds.
const CONNECT: Time = 2 * SECOND;

/// Control machines that a front end knows.
const MOST_SERVICES: usize = 3;

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Front ends.
    pub front_ends: usize,
    /// Control machines. Front ends and machines of one region belong together.
    pub services: usize,
    /// Functions in the settings.
    pub functions: u64,
    /// How waves go.
    pub rules: RolloutPolicy,
    /// What takes time at a front end.
    pub durations: Durations,
    /// Delays.
    pub network: Network,
    /// Whether held questions are evaluated as often as at the service, to count that, or only after what can alter
    /// an answer.
    pub every_change: bool,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Defect of the front ends.
    pub front_end_fault: FrontEndFault,
    /// Defect of the control machines.
    pub service_fault: ServiceFault,
}

impl Plan {
    /// The rules of `badgerwind control serve` by default.
    pub const DEFAULT_RULES: RolloutPolicy = RolloutPolicy {
        first_share: 0.1,
        soak_time: 10 * SECOND,
        max_rejected_share: 0.0,
        max_failure_increase: 0.1,
        front_end_timeout: 60 * SECOND,
    };

    /// Rules under which all front ends are offered a version at once.
    pub const AT_ONCE: RolloutPolicy = RolloutPolicy {
        first_share: 1.0,
        soak_time: 0,
        max_rejected_share: 1.0,
        max_failure_increase: 1.0,
        front_end_timeout: 60 * SECOND,
    };

    /// A world without defects.
    pub fn new(front_ends: usize, services: usize, seed: u64) -> Plan {
        Plan {
            front_ends,
            services: services.max(1),
            functions: 10,
            rules: Plan::DEFAULT_RULES,
            durations: Durations::default(),
            network: Network::default(),
            every_change: false,
            seed,
            front_end_fault: FrontEndFault::None,
            service_fault: ServiceFault::None,
        }
    }
}

enum Event {
    Begin { front_end: usize },
    Publish { service: usize, kind: Kind, version: u64, text: Arc<str> },
    Look { service: usize },
    Poll { service: usize },
    Request { service: usize, asked: Asked, body: Vec<u8>, bytes: u64 },
    Expire { service: usize, asked: Asked },
    Response { asked: Asked, body: Vec<u8>, bytes: u64 },
    Failed { asked: Asked, turn: usize },
    Later { front_end: usize, incarnation: u32, input: Input },
    Wake { front_end: usize, incarnation: u32 },
}

/// Names a question.
#[derive(Clone, Copy)]
struct Asked {
    front_end: usize,
    incarnation: u32,
    kind: Kind,
    ask: u64,
}

struct Scheduled {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulated fleet that follows its control machines.
pub struct World {
    now: Time,
    number: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    random: StdRng,
    file: Node,
    plan: Plan,
    front_ends: Vec<FrontEnd>,
    services: Vec<Service>,
    published: BTreeMap<Kind, Vec<(u64, Time)>>,
}

impl World {
    /// Front ends that have just started, each within a second of the others.
    pub fn new(plan: Plan) -> Result<World, String> {
        let file = settings::file(plan.functions)?;
        let service = |n: usize| {
            Service::new(format!("control-{n}"), plan.rules, plan.every_change, plan.service_fault)
        };
        let services = (0..plan.services).map(service).collect();
        let front_end = |n: usize| {
            let home = n % plan.services;
            let known = (0..MOST_SERVICES.min(plan.services)).map(|k| (home + k) % plan.services).collect();
            let place = (home % REGIONS, known);
            FrontEnd::new(format!("front-{n:05}"), place, &file, (plan.durations, plan.front_end_fault))
        };
        let front_ends = (0..plan.front_ends).map(front_end).collect::<Result<_, _>>()?;
        let mut world = World {
            now: 0,
            number: 0,
            queue: BinaryHeap::new(),
            random: StdRng::seed_from_u64(plan.seed),
            file,
            plan,
            front_ends,
            services,
            published: BTreeMap::new(),
        };
        for front_end in 0..world.front_ends.len() {
            let at = world.random.random_range(0..SECOND);
            world.schedule(at, Event::Begin { front_end });
        }
        for service in 0..world.services.len() {
            let at = world.random.random_range(0..LOOK_EVERY);
            world.schedule(at, Event::Look { service });
            world.schedule(0, Event::Poll { service });
        }
        Ok(world)
    }

    /// The present moment.
    pub fn now(&self) -> Time {
        self.now
    }

    /// A new version of a kind is published at a moment: it reaches the folder of every machine one delay later.
    pub fn publish(&mut self, at: Time, kind: Kind) {
        let versions = self.published.entry(kind).or_default();
        let version = versions.len() as u64 + 1;
        versions.push((version, at));
        let text: Arc<str> = settings::part(kind, self.plan.functions, version).into();
        for service in 0..self.services.len() {
            // The machine where it is published is in the first region.
            let delay = self.plan.network.delay(service % REGIONS == 0, &mut self.random);
            self.schedule(at + delay, Event::Publish { service, kind, version, text: text.clone() });
        }
    }

    /// Plays until a moment.
    pub fn run_until(&mut self, until: Time) {
        while self.queue.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.take(next.event);
        }
        self.now = until;
    }

    /// A control machine is lost: its connections break.
    pub fn lose_service(&mut self, service: usize) {
        for (front_end, kind, ask) in self.services[service].lose() {
            let incarnation = self.front_ends[front_end].incarnation;
            self.fail(Asked { front_end, incarnation, kind, ask }, 0);
        }
    }

    /// A front end is cut off from every control machine, in silence, or reaches them again.
    pub fn cut(&mut self, front_end: usize, cut: bool) {
        self.front_ends[front_end].cut = cut;
    }

    /// A front end restarts, with its disk or with a new one.
    pub fn restart(&mut self, front_end: usize, disk: bool) -> Result<(), String> {
        let open: Vec<Kind> = self.front_ends[front_end].open.keys().copied().collect();
        let service = self.front_ends[front_end].service();
        for kind in open {
            self.services[service].gone(front_end, kind);
        }
        self.front_ends[front_end].restart(&self.file, disk)?;
        let at = self.now;
        self.schedule(at, Event::Begin { front_end });
        Ok(())
    }

    /// Versions of each kind with the moment of their publishing.
    pub fn published(&self) -> &BTreeMap<Kind, Vec<(u64, Time)>> {
        &self.published
    }

    /// What began to run at a front end.
    pub fn applied(&self, front_end: usize) -> &[Applied] {
        &self.front_ends[front_end].applied
    }

    /// The version that runs at a front end.
    pub fn running(&self, front_end: usize, kind: Kind) -> Option<u64> {
        self.front_ends[front_end].running(kind)
    }

    /// What a control machine has had to do.
    pub fn load(&self, service: usize) -> &Load {
        &self.services[service].load
    }

    /// Questions held open at a control machine.
    pub fn held(&self, service: usize) -> usize {
        self.services[service].held()
    }

    /// The control machine that a front end asks first.
    pub fn home(&self, front_end: usize) -> usize {
        self.front_ends[front_end].services[0]
    }

    /// Bytes in and out of all front ends.
    pub fn front_end_bytes(&self) -> (u64, u64) {
        let add = |sum: (u64, u64), f: &FrontEnd| (sum.0 + f.bytes_in, sum.1 + f.bytes_out);
        self.front_ends.iter().fold((0, 0), add)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Scheduled { at, number: self.number, event }));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Begin { front_end } => {
                let effects = self.front_ends[front_end].begin(self.now);
                self.carry(front_end, effects);
            }
            Event::Publish { service, kind, version, text } => {
                self.services[service].put(kind, version, text)
            }
            Event::Look { service } => {
                if !self.services[service].lost {
                    self.services[service].look(self.now);
                    self.schedule(self.now + LOOK_EVERY, Event::Look { service });
                }
            }
            Event::Poll { service } => {
                if !self.services[service].lost {
                    let answers = self.services[service].poll(self.now);
                    answers.into_iter().for_each(|answer| self.answer(service, answer));
                    self.schedule(self.now + SLOT, Event::Poll { service });
                }
            }
            Event::Request { service, asked, body, bytes } => self.request(service, asked, &body, bytes),
            Event::Expire { service, asked } => {
                let Asked { front_end, kind, ask, .. } = asked;
                if let Some(answer) = self.services[service].expire(self.now, front_end, kind, ask) {
                    self.answer(service, answer);
                }
            }
            Event::Response { asked, body, bytes } => self.response(asked, &body, bytes),
            Event::Failed { asked, turn } => self.failed(asked, turn),
            Event::Later { front_end, incarnation, input } => self.input(front_end, incarnation, input),
            Event::Wake { front_end, incarnation } => {
                if self.front_ends[front_end].next_wake().is_some_and(|at| at <= self.now) {
                    self.input(front_end, incarnation, Input::Tick);
                }
            }
        }
    }

    fn input(&mut self, front_end: usize, incarnation: u32, input: Input) {
        if self.front_ends[front_end].incarnation == incarnation {
            let effects = self.front_ends[front_end].on(self.now, input);
            self.carry(front_end, effects);
        }
    }

    fn carry(&mut self, front_end: usize, effects: Vec<Effect>) {
        let incarnation = self.front_ends[front_end].incarnation;
        for effect in effects {
            match effect {
                Effect::Ask { kind, ask, request } => {
                    self.send_question(Asked { front_end, incarnation, kind, ask }, &request);
                }
                Effect::Later { at, input } => {
                    self.schedule(at, Event::Later { front_end, incarnation, input });
                }
            }
        }
        if let Some(at) = self.front_ends[front_end].next_wake() {
            self.schedule(at.max(self.now), Event::Wake { front_end, incarnation });
        }
    }

    fn send_question(&mut self, asked: Asked, request: &DiscoveryRequest) {
        let front_end = &mut self.front_ends[asked.front_end];
        let (service, turn) = (front_end.service(), front_end.turn);
        front_end.open.insert(asked.kind, asked.ask);
        let (bytes, body) = request_bytes(address(service), asked.kind, request);
        if front_end.cut {
            return self.schedule(self.now + CONNECT, Event::Failed { asked, turn });
        }
        let same_region = service % REGIONS == front_end.region;
        let delay = self.plan.network.delay(same_region, &mut self.random);
        if self.services[service].lost {
            return self.schedule(self.now + 2 * delay, Event::Failed { asked, turn });
        }
        self.front_ends[asked.front_end].bytes_out += bytes;
        self.schedule(self.now + delay, Event::Request { service, asked, body, bytes });
        let late = self.now + WAIT.as_micros() as Time + GRACE;
        self.schedule(late, Event::Failed { asked, turn });
    }

    fn request(&mut self, service: usize, asked: Asked, body: &[u8], bytes: u64) {
        let Asked { front_end, kind, ask, incarnation } = asked;
        let sender = &self.front_ends[front_end];
        // The connection of a question that was given up, or of a process that has ended, is closed.
        let closed = sender.incarnation != incarnation || sender.open.get(&kind) != Some(&ask);
        if self.services[service].lost || closed {
            return;
        }
        match self.services[service].ask(self.now, (front_end, kind, ask), body, bytes) {
            Some(answer) => self.answer(service, answer),
            None => {
                let at = self.now + WAIT.as_micros() as Time;
                self.schedule(at, Event::Expire { service, asked });
            }
        }
    }

    fn answer(&mut self, service: usize, answer: Answer) {
        let Answer { front_end, kind, ask, bytes, body } = answer;
        let to = &self.front_ends[front_end];
        let incarnation = to.incarnation;
        let delay = self.plan.network.delay(service % REGIONS == to.region, &mut self.random);
        let asked = Asked { front_end, incarnation, kind, ask };
        self.schedule(self.now + delay, Event::Response { asked, body, bytes });
    }

    fn response(&mut self, asked: Asked, body: &[u8], bytes: u64) {
        let front_end = &mut self.front_ends[asked.front_end];
        let open = front_end.open.get(&asked.kind) == Some(&asked.ask);
        if front_end.cut || front_end.incarnation != asked.incarnation || !open {
            return;
        }
        front_end.open.remove(&asked.kind);
        front_end.messages_in += 1;
        front_end.bytes_in += bytes;
        let response: Option<DiscoveryResponse> = serde_json::from_slice(body).ok();
        let input = Input::Response { kind: asked.kind, request_id: asked.ask, response };
        self.input(asked.front_end, asked.incarnation, input);
    }

    fn fail(&mut self, asked: Asked, delay: Time) {
        let turn = self.front_ends[asked.front_end].turn;
        self.schedule(self.now + delay, Event::Failed { asked, turn });
    }

    fn failed(&mut self, asked: Asked, turn: usize) {
        let front_end = &mut self.front_ends[asked.front_end];
        let open = front_end.open.get(&asked.kind) == Some(&asked.ask);
        if front_end.incarnation != asked.incarnation || !open {
            return;
        }
        front_end.open.remove(&asked.kind);
        // The next question goes to the next machine; questions that failed together go on once.
        if front_end.turn == turn {
            front_end.turn += 1;
        }
        let draw = self.random.random();
        self.input(
            asked.front_end,
            asked.incarnation,
            Input::RequestFailed { kind: asked.kind, request_id: asked.ask, random: draw },
        );
    }
}

fn address(service: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, service as u8)), 7_000)
}
