//! What goes wrong, and when. Kinds bear the names of the operators' bench where it has one.

use super::world::{Severity, World};
use badgerwind_standins::model::Fault;
use badgerwind_standins::senders::Phase;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Something done to the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "kebab-case")]
pub enum Act {
    /// A front end is killed outright.
    KillFront {
        /// Its number.
        front: u32,
    },
    /// It starts again, with nothing but its last list.
    StartFront {
        /// Its number.
        front: u32,
    },
    /// A runner is killed; the list is told so much later.
    KillRunner {
        /// Its id.
        runner: u32,
        /// How much later.
        notice_ms: u64,
    },
    /// It starts again, cold and empty, and the list is told.
    StartRunner {
        /// Its id.
        runner: u32,
    },
    /// The list says that a runner drains; the runner itself turns calls away a little later.
    Drain {
        /// Its id.
        runner: u32,
    },
    /// A runner turns new work away from now on.
    TurnAway {
        /// Its id.
        runner: u32,
    },
    /// A runner begins or ends a fault.
    Fault {
        /// Its id.
        runner: u32,
        /// Begins or ends.
        on: bool,
        /// Which.
        #[serde(flatten)]
        fault: Fault,
    },
    /// The handler store takes so many times as long.
    Store {
        /// How many.
        times: f64,
    },
    /// What the list is told is seen so much later.
    Lag {
        /// How much.
        ms: u64,
    },
    /// The next version of the classes is published; every third cannot be.
    Publish,
    /// The control service is killed outright.
    KillControl,
    /// It starts again.
    StartControl,
    /// All handlers are released anew: idle copies go void everywhere.
    Release,
}

/// Something done at some time after the start of the calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub act: Act,
}

/// A day's troubles.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Script {
    /// The kinds in it, for the report.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// What is done to the fleet, by time.
    pub events: Vec<Event>,
    /// Traffic that differs.
    #[serde(default)]
    pub phases: Vec<Phase>,
}

/// Every kind of trouble.
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

/// Kinds that take the whole fleet; drawn on brutal days alone.
pub const WORST: [&str; 4] = ["drain_all", "fronts_roll", "grey", "list_far_behind"];

impl Script {
    /// Draws a day: some kinds, a front end killed, and drains, whatever else.
    pub fn draw(world: &World) -> Script {
        let mut rng = StdRng::seed_from_u64(world.seed ^ 0x6261_6464_6179);
        if world.severity >= Severity::Hard {
            return Script::hard(world, &mut rng);
        }
        let mut kinds: Vec<&str> =
            KINDS.into_iter().filter(|k| *k != "drain" && *k != "front_kill").collect();
        kinds.shuffle(&mut rng);
        kinds.truncate(rng.random_range(3..6));
        kinds.extend(["drain", "front_kill"]);
        Script::of(world, &kinds)
    }

    /// A day at or past capacity: kinds that overlap and follow one another, a third of the runners in trouble at once,
    /// a burst of thrice the traffic, and, at the worst, what takes the whole fleet.
    fn hard(world: &World, rng: &mut StdRng) -> Script {
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
        let mut script = Script::of(world, &kinds);
        let length = world.seconds * 1_000_000;
        let from = rng.random_range(length / 5..length / 2);
        script.kinds.push("burst".to_owned());
        let peak = Phase { from, to: from + length / 8, rate: 3.0, hot: 0.0, abuse: false };
        script.phases.insert(0, peak);
        script
    }

    /// A day of these kinds.
    pub fn of(world: &World, kinds: &[&str]) -> Script {
        let mut script =
            Script { kinds: kinds.iter().map(|k| (*k).to_owned()).collect(), ..Script::default() };
        let mut rng = StdRng::seed_from_u64(world.seed ^ 0x7363_7269_7074);
        // A runner in one trouble is left alone by the others; on hard days a third of them bears all.
        let mut free: Vec<u32> = world.ids().collect();
        free.shuffle(&mut rng);
        if world.severity >= Severity::Hard {
            let third = free.len().div_ceil(3);
            let bear: Vec<u32> = free[..third].to_vec();
            free = bear.iter().copied().cycle().take(4 * third).collect();
        }
        for kind in kinds {
            script.add(kind, world, &mut free, &mut rng);
        }
        script.events.sort_by_key(|e| e.at_ms);
        script
    }

    fn at(&mut self, at_ms: u64, act: Act) {
        self.events.push(Event { at_ms, act });
    }

    fn add(&mut self, kind: &str, world: &World, free: &mut Vec<u32>, rng: &mut StdRng) {
        let length = world.seconds * 1000;
        let span = (length / 4).clamp(2_000, 10_000);
        let from = rng.random_range(length / 10..(length - span).max(length / 10 + 1));
        let to = from + span;
        let mut take = |least: usize| if free.len() > least { free.pop() } else { None };
        let fault = |s: &mut Script, runner: Option<u32>, fault: Fault| {
            let Some(runner) = runner else { return };
            s.at(from, Act::Fault { runner, on: true, fault: fault.clone() });
            s.at(to, Act::Fault { runner, on: false, fault });
        };
        let phase = Phase { from: from * 1000, to: to * 1000, rate: 1.0, hot: 0.0, abuse: false };
        match kind {
            "hang" => fault(self, take(2), Fault::Hang),
            "fast_errors" => fault(self, take(2), Fault::FastErrors { share: rng.random_range(0.4..1.0) }),
            "neighbour" => {
                for _ in 0..2 {
                    fault(self, take(2), Fault::Neighbour { share: rng.random_range(0.3..0.75) });
                }
            }
            "throttle" => {
                let tenant = world.tenants[0].0.to_owned();
                let class = world.classes[0].name.to_owned();
                let by_tenant = rng.random::<bool>();
                let limit =
                    if by_tenant { Fault::Throttle { tenant } } else { Fault::ThrottleClass { class } };
                fault(self, take(2), limit);
            }
            "class_fail" => {
                let class = world.classes[rng.random_range(0..world.classes.len())].name.to_owned();
                fault(self, take(2), Fault::ClassFail { class });
            }
            "vanish" | "mass_restart" => {
                let (most, notice) = if kind == "vanish" { (1, 1_500) } else { (3, 300) };
                for _ in 0..most {
                    let Some(runner) = take(1) else { continue };
                    let notice_ms = notice + rng.random_range(0..500);
                    self.at(from, Act::KillRunner { runner, notice_ms });
                    self.at(from + span / 2, Act::StartRunner { runner });
                }
            }
            "drain" => {
                // Every third of the day one runner drains, is replaced, and comes back cold.
                for n in 0..2 {
                    let Some(runner) = take(1) else { continue };
                    let at = length / 6 + n * length / 3;
                    self.at(at, Act::Drain { runner });
                    self.at(at + 1_200, Act::TurnAway { runner });
                    self.at(at + 3_500, Act::KillRunner { runner, notice_ms: 0 });
                    self.at(at + 4_000, Act::StartRunner { runner });
                }
            }
            "front_kill" => {
                let front = rng.random_range(0..world.fronts);
                self.at(from, Act::KillFront { front });
                self.at(from + 700, Act::StartFront { front });
            }
            "balancer_roll" => {
                for front in 0..world.fronts {
                    let at = from + u64::from(front) * span / u64::from(world.fronts);
                    self.at(at, Act::KillFront { front });
                    self.at(at + rng.random_range(300..900), Act::StartFront { front });
                }
            }
            "discovery_stale" => {
                self.at(from, Act::Lag { ms: rng.random_range(1_500..4_000) });
                self.at(to, Act::Lag { ms: 100 });
            }
            "origin_slow" => {
                self.at(from, Act::Store { times: rng.random_range(2.0..8.0) });
                self.at(to, Act::Store { times: 1.0 });
            }
            "control_flap" => {
                // Versions all day long, and a service that vanishes again and again.
                for n in 0..length / 700 {
                    self.at(300 + n * 700, Act::Publish);
                }
                for n in 0..length / 3_000 {
                    self.at(1_000 + n * 3_000, Act::KillControl);
                    self.at(2_000 + n * 3_000, Act::StartControl);
                }
            }
            "grey" => {
                // Ten times slower, and nothing says so.
                fault(self, take(1), Fault::Neighbour { share: 0.9 });
                fault(self, take(1), Fault::Reset { share: 0.3 });
            }
            "drain_all" => {
                // Every runner in turn, within the day; the next drains once the last is back, still cold.
                let each = (length * 7 / 10) / world.runners.len().max(1) as u64;
                for (n, runner) in world.ids().enumerate() {
                    let at = length / 10 + n as u64 * each;
                    self.at(at, Act::Drain { runner });
                    self.at(at + 700, Act::TurnAway { runner });
                    self.at(at + 1_500, Act::KillRunner { runner, notice_ms: 0 });
                    self.at(at + 1_800, Act::StartRunner { runner });
                }
            }
            "fronts_roll" => {
                // All but one of them within two seconds.
                for front in 1..world.fronts {
                    let at = from + rng.random_range(0..2_000);
                    self.at(at, Act::KillFront { front });
                    self.at(at + rng.random_range(300..900), Act::StartFront { front });
                }
            }
            "list_far_behind" => {
                self.at(from, Act::Lag { ms: length });
                self.at(to, Act::Lag { ms: 100 });
            }
            "flush" => self.at(from, Act::Release),
            "burst" => self.phases.push(Phase { rate: rng.random_range(1.4..2.5), ..phase }),
            "hot_key" => self.phases.push(Phase { hot: rng.random_range(0.1..0.3), ..phase }),
            "retry_abuse" => self.phases.push(Phase { abuse: true, ..phase }),
            _ => {}
        }
    }
}
