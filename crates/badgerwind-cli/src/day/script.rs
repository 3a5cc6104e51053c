//! Scripts of faults: what is done to the fleet and when. Kinds have the names that the operators' bench uses, where it
//! has the same kind.

use super::world::{Severity, World};
use badgerwind_standins::model::Fault;
use badgerwind_standins::senders::Phase;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// An action on the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "kebab-case")]
pub enum Act {
    /// Kills a front end with SIGKILL.
    KillFront {
        /// Number of the front end.
        front: u32,
    },
    /// Starts a killed front end again, with only its cached list.
    StartFront {
        /// Number of the front end.
        front: u32,
    },
    /// Kills a runner with SIGKILL; the list announces its removal later.
    KillRunner {
        /// Id of the runner.
        runner: u32,
        /// Delay of the announcement, in milliseconds.
        notice_ms: u64,
    },
    /// Starts a killed runner again, cold and without copies, and announces it in the list.
    StartRunner {
        /// Id of the runner.
        runner: u32,
    },
    /// Announces in the list that a runner drains. [`Act::TurnAway`] makes the runner itself reject calls.
    Drain {
        /// Id of the runner.
        runner: u32,
    },
    /// Makes a runner reject new work from now on.
    TurnAway {
        /// Id of the runner.
        runner: u32,
    },
    /// Starts or ends a fault in a runner.
    Fault {
        /// Id of the runner.
        runner: u32,
        /// True to start the fault, false to end it.
        on: bool,
        /// The fault.
        #[serde(flatten)]
        fault: Fault,
    },
    /// Slows the handler store down.
    Store {
        /// Factor on the duration of a fetch.
        times: f64,
    },
    /// Delays the updates that the list sends to front ends.
    Lag {
        /// Delay, in milliseconds.
        ms: u64,
    },
    /// Publishes the next version of the classes. Every third version is invalid.
    Publish,
    /// Kills the control service with SIGKILL.
    KillControl,
    /// Starts the control service again.
    StartControl,
    /// Releases new versions of all handlers, which invalidates the idle copies of all runners.
    Release,
}

/// An action at some time after the start of the traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the traffic, in milliseconds.
    pub at_ms: u64,
    /// The action.
    #[serde(flatten)]
    pub act: Act,
}

/// All faults of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Script {
    /// The kinds of faults in it, for the report.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Actions on the fleet, ordered by time.
    pub events: Vec<Event>,
    /// Periods in which the traffic differs.
    #[serde(default)]
    pub phases: Vec<Phase>,
}

/// All kinds of faults that affect single processes or the traffic.
pub const KINDS: [&str; 17] = [
    "balancer_roll",
    "burst",
    "class_fail",
    "control_flap",
    "discovery_stale",
    "drain",
    "fast_errors",
    "flush",
    "front_kill",
    "hang",
    "hot_key",
    "mass_restart",
    "neighbour",
    "origin_slow",
    "retry_abuse",
    "throttle",
    "vanish",
];

/// Kinds that affect the whole fleet, drawn only at [`Severity::Brutal`].
pub const WORST: [&str; 4] = ["drain_all", "fronts_roll", "grey", "list_far_behind"];

impl Script {
    /// Draws the script of a day: some kinds at random, and always the kill of a front end and drains.
    pub fn draw(world: &World) -> Script {
        let mut rng = StdRng::seed_from_u64(world.seed ^ 0x6261_6464_6179);
        if world.severity >= Severity::Hard {
            return Script::draw_hard(world, &mut rng);
        }
        let mut kinds: Vec<&str> =
            KINDS.into_iter().filter(|k| *k != "drain" && *k != "front_kill").collect();
        kinds.shuffle(&mut rng);
        kinds.truncate(rng.random_range(3..6));
        kinds.extend(["drain", "front_kill"]);
        Script::with_kinds(world, &kinds)
    }

    /// Draws the script of a day at or beyond capacity: overlapping and consecutive kinds, a third of the runners with
    /// faults at once, a burst of three times the traffic and, if brutal, the kinds that affect the whole fleet.
    fn draw_hard(world: &World, rng: &mut StdRng) -> Script {
        let brutal = world.severity == Severity::Brutal;
        let mut kinds: Vec<&str> = KINDS
            .into_iter()
            .filter(|k| !["drain", "front_kill", "burst", "control_flap"].contains(k))
            .collect();
        kinds.shuffle(rng);
        kinds.truncate(rng.random_range(5..8));
        kinds.extend(["drain", "front_kill"]);
        if brutal {
            kinds.extend(["grey", "drain_all", "fronts_roll", "list_far_behind"]);
        }
        let mut script = Script::with_kinds(world, &kinds);
        let length = world.seconds * 1_000_000;
        let from = rng.random_range(length / 5..length / 2);
        script.kinds.push("burst".to_owned());
        let burst = Phase { from, to: from + length / 8, rate: 3.0, hot: 0.0, abuse: false };
        script.phases.insert(0, burst);
        script
    }

    /// Draws a script of the given kinds.
    pub fn with_kinds(world: &World, kinds: &[&str]) -> Script {
        let mut script =
            Script { kinds: kinds.iter().map(|k| (*k).to_owned()).collect(), ..Script::default() };
        let mut rng = StdRng::seed_from_u64(world.seed ^ 0x7363_7269_7074);
        // Each runner is subject to one kind only. From `Hard` on, a third of the runners takes all faults, up to four
        // each.
        let mut available: Vec<u32> = world.ids().collect();
        available.shuffle(&mut rng);
        if world.severity >= Severity::Hard {
            let third = available.len().div_ceil(3);
            let affected: Vec<u32> = available[..third].to_vec();
            available = affected.iter().copied().cycle().take(4 * third).collect();
        }
        for kind in kinds {
            script.add_kind(kind, world, &mut available, &mut rng);
        }
        script.events.sort_by_key(|e| e.at_ms);
        script
    }

    fn add_event(&mut self, at_ms: u64, act: Act) {
        self.events.push(Event { at_ms, act });
    }

    fn add_kind(&mut self, kind: &str, world: &World, available: &mut Vec<u32>, rng: &mut StdRng) {
        let length = world.seconds * 1000;
        let span = (length / 4).clamp(2_000, 10_000);
        let from = rng.random_range(length / 10..(length - span).max(length / 10 + 1));
        let to = from + span;
        let mut next_runner = |spared: usize| if available.len() > spared { available.pop() } else { None };
        let fault = |script: &mut Script, runner: Option<u32>, fault: Fault| {
            let Some(runner) = runner else { return };
            script.add_event(from, Act::Fault { runner, on: true, fault: fault.clone() });
            script.add_event(to, Act::Fault { runner, on: false, fault });
        };
        let phase = Phase { from: from * 1000, to: to * 1000, rate: 1.0, hot: 0.0, abuse: false };
        match kind {
            "hang" => fault(self, next_runner(2), Fault::Hang),
            "fast_errors" => {
                fault(self, next_runner(2), Fault::FastErrors { share: rng.random_range(0.4..1.0) })
            }
            "neighbour" => {
                for _ in 0..2 {
                    fault(self, next_runner(2), Fault::Neighbour { share: rng.random_range(0.3..0.75) });
                }
            }
            "throttle" => {
                let tenant = world.tenants[0].0.to_owned();
                let class = world.classes[0].name.to_owned();
                let by_tenant = rng.random::<bool>();
                let limit =
                    if by_tenant { Fault::Throttle { tenant } } else { Fault::ThrottleClass { class } };
                fault(self, next_runner(2), limit);
            }
            "class_fail" => {
                let class = world.classes[rng.random_range(0..world.classes.len())].name.to_owned();
                fault(self, next_runner(2), Fault::ClassFail { class });
            }
            "vanish" | "mass_restart" => {
                let (count, notice) = if kind == "vanish" { (1, 1_500) } else { (3, 300) };
                for _ in 0..count {
                    let Some(runner) = next_runner(1) else { continue };
                    let notice_ms = notice + rng.random_range(0..500);
                    self.add_event(from, Act::KillRunner { runner, notice_ms });
                    self.add_event(from + span / 2, Act::StartRunner { runner });
                }
            }
            "drain" => {
                // Twice, a third of the day apart, a runner drains, is killed and starts again cold.
                for n in 0..2 {
                    let Some(runner) = next_runner(1) else { continue };
                    let at_ms = length / 6 + n * length / 3;
                    self.add_event(at_ms, Act::Drain { runner });
                    self.add_event(at_ms + 1_200, Act::TurnAway { runner });
                    self.add_event(at_ms + 3_500, Act::KillRunner { runner, notice_ms: 0 });
                    self.add_event(at_ms + 4_000, Act::StartRunner { runner });
                }
            }
            "front_kill" => {
                let front = rng.random_range(0..world.fronts);
                self.add_event(from, Act::KillFront { front });
                self.add_event(from + 700, Act::StartFront { front });
            }
            "balancer_roll" => {
                for front in 0..world.fronts {
                    let at_ms = from + u64::from(front) * span / u64::from(world.fronts);
                    self.add_event(at_ms, Act::KillFront { front });
                    self.add_event(at_ms + rng.random_range(300..900), Act::StartFront { front });
                }
            }
            "discovery_stale" => {
                self.add_event(from, Act::Lag { ms: rng.random_range(1_500..4_000) });
                self.add_event(to, Act::Lag { ms: 100 });
            }
            "origin_slow" => {
                self.add_event(from, Act::Store { times: rng.random_range(2.0..8.0) });
                self.add_event(to, Act::Store { times: 1.0 });
            }
            "control_flap" => {
                // New versions throughout the day, while the service is killed and started again repeatedly.
                for n in 0..length / 700 {
                    self.add_event(300 + n * 700, Act::Publish);
                }
                for n in 0..length / 3_000 {
                    self.add_event(1_000 + n * 3_000, Act::KillControl);
                    self.add_event(2_000 + n * 3_000, Act::StartControl);
                }
            }
            "grey" => {
                // A runner at a tenth of its speed and one that resets connections, without any announcement.
                fault(self, next_runner(1), Fault::Neighbour { share: 0.9 });
                fault(self, next_runner(1), Fault::Reset { share: 0.3 });
            }
            "drain_all" => {
                // Drains every runner in turn within the day. The next one drains when the previous one is back but
                // still cold.
                let each = (length * 7 / 10) / world.runners.len().max(1) as u64;
                for (n, runner) in world.ids().enumerate() {
                    let at_ms = length / 10 + n as u64 * each;
                    self.add_event(at_ms, Act::Drain { runner });
                    self.add_event(at_ms + 700, Act::TurnAway { runner });
                    self.add_event(at_ms + 1_500, Act::KillRunner { runner, notice_ms: 0 });
                    self.add_event(at_ms + 1_800, Act::StartRunner { runner });
                }
            }
            "fronts_roll" => {
                // Restarts all front ends but one within two seconds.
                for front in 1..world.fronts {
                    let at_ms = from + rng.random_range(0..2_000);
                    self.add_event(at_ms, Act::KillFront { front });
                    self.add_event(at_ms + rng.random_range(300..900), Act::StartFront { front });
                }
            }
            "list_far_behind" => {
                self.add_event(from, Act::Lag { ms: length });
                self.add_event(to, Act::Lag { ms: 100 });
            }
            "flush" => self.add_event(from, Act::Release),
            "burst" => self.phases.push(Phase { rate: rng.random_range(1.4..2.5), ..phase }),
            "hot_key" => self.phases.push(Phase { hot: rng.random_range(0.1..0.3), ..phase }),
            "retry_abuse" => self.phases.push(Phase { abuse: true, ..phase }),
            _ => {}
        }
    }
}
