//! Rule 4 over a whole fleet: what all front ends together send to an executor that has just started, drawn over fleets of 2 to
//! 300 front ends with uneven traffic, budgets from below one call to many, and front ends that start again meanwhile.

mod common;

use badgerwind::interface::*;
use badgerwind::Router;
use common::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const WORKERS: u32 = 10;
const FUNCTIONS: u64 = 150;
/// Front ends run for so long before the new executors come, and restarts may come for so long after that.
const BEFORE: Time = 6_000 * MS;

/// Who starts again while executors are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Again {
    Nobody,
    /// Seven in ten at once, so long after the executors came.
    Herd(Time),
    /// A tenth at a time, each so long after the last.
    Roll(Time),
}

#[derive(Clone, Debug)]
struct Draw {
    seed: u64,
    fronts: u32,
    /// Calls a second that a warm executor bears, and the share of that which is asked for.
    bears: f64,
    load: f64,
    /// Executors that are new, and warm ones that go as these come: the others have more to bear than they can.
    cold: u32,
    lost: u32,
    again: Again,
}

fn draw(seed: u64) -> Draw {
    let mut rng = fastrand::Rng::with_seed(seed);
    let fronts = [2, 3, 8, 30, 30, 80, 150, 300][rng.usize(0..8)];
    // A fleet's calls stay near 300 a second, so that a drawn day is short: many front ends have few calls each.
    let bears = [0.7, 2.0, 6.0, 15.0, 40.0][rng.usize(0..5)];
    let after = (1_000 + rng.u64(0..8_000)) * MS;
    Draw {
        seed,
        fronts,
        bears,
        load: 0.4 + 0.5 * rng.f64(),
        cold: [1, 1, 3, 5][rng.usize(0..4)],
        lost: [0, 2, 4][rng.usize(0..3)],
        again: [Again::Nobody, Again::Herd(after), Again::Roll(after / 6)][rng.usize(0..3)],
    }
}

struct Front {
    router: Router,
    /// Answers to an earlier life reach nobody.
    life: u64,
    share: f64,
}

enum Due {
    Event(Event),
    Restart,
}

struct Fleet {
    draw: Draw,
    set: Settings,
    rng: fastrand::Rng,
    now: Time,
    fronts: Vec<Front>,
    due: BTreeMap<(Time, u64), (usize, u64, Due)>,
    number: u64,
    born: Time,
    /// Sends to each new executor.
    sends: BTreeMap<WorkerId, Vec<Time>>,
    listed: Vec<WorkerEntry>,
}

impl Fleet {
    fn new(draw: Draw) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(draw.seed ^ 0x9e37);
        let mut set = settings(Effect::Repeatable);
        (set.front_ends, set.when_absent, set.max_attempts) = (draw.fronts, WhenAbsent::Load, 4);
        set.load_window = 0;
        // Some get several times the mean.
        let shares: Vec<f64> =
            (0..draw.fronts).map(|_| (1.2 * (rng.f64() + rng.f64() - 1.0)).exp2().powi(2)).collect();
        let all: f64 = shares.iter().sum();
        let listed = (1..=WORKERS - draw.cold)
            .map(|w| WorkerEntry { size: 4.0, ..entry(w, Availability::Ready, None) });
        let mut fleet = Fleet {
            set,
            rng,
            now: 1_000_000,
            fronts: Vec::new(),
            due: BTreeMap::new(),
            number: 0,
            born: 1_000_000 + BEFORE,
            sends: BTreeMap::new(),
            listed: listed.collect(),
            draw,
        };
        for (n, share) in shares.into_iter().enumerate() {
            let router = fleet.router(n);
            fleet.fronts.push(Front { router, life: 0, share: share / all });
            fleet.list(n);
            fleet.arrive(n);
        }
        fleet
    }

    fn router(&mut self, n: usize) -> Router {
        Router::new(self.rng.u64(..), Settings { my_number: n as u32, ..self.set.clone() })
    }

    fn at(&mut self, at: Time, front: usize, due: Due) {
        self.number += 1;
        let life = self.fronts[front].life;
        self.due.insert((at, self.number), (front, life, due));
    }

    fn list(&mut self, front: usize) {
        let list = Event::List { kind: ListKind::Whole, entries: self.listed.clone() };
        self.event(front, list);
    }

    /// The next call of a front end.
    fn arrive(&mut self, front: usize) {
        let rate = self.draw.bears * self.draw.load * f64::from(WORKERS) * self.fronts[front].share;
        let gap = -(1.0 - self.rng.f64()).ln() / rate.max(1e-3);
        let at = self.now + (gap * 1e6) as Time + 1;
        self.number += 1;
        let id = format!("{front}-{}", self.number);
        // Few functions have most of the calls.
        let function = format!("f{}", ((FUNCTIONS as f64).powf(self.rng.f64()) - 1.0) as u64);
        let request = Request { load_time: Some(300 * MS), ..request(&id, &function, at + 3_000 * MS) };
        self.at(at, front, Due::Event(Event::Request(request)));
    }

    fn event(&mut self, front: usize, event: Event) {
        let mut out = Vec::new();
        self.fronts[front].router.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, worker, .. } => {
                    if worker > WORKERS - self.draw.cold {
                        self.sends.entry(worker).or_default().push(self.now);
                    }
                    let lag = 60 * MS + self.rng.u64(0..120 * MS);
                    let event = Event::Answer {
                        id,
                        attempt: 0,
                        worker,
                        outcome: Outcome::Ok,
                        last: true,
                        lag,
                        mark: CopyMark::Warm,
                        crowd: Some(0),
                        report: None,
                    };
                    self.at(self.now + lag, front, Due::Event(event));
                }
                Action::Load { worker, function, copies } => {
                    let event =
                        Event::Loaded { worker, function, outcome: Outcome::Ok, copies, lag: 300 * MS };
                    self.at(self.now + 300 * MS, front, Due::Event(event));
                }
                Action::SetAlarm { after, name } => {
                    self.at(self.now + after, front, Due::Event(Event::Alarm { name: Arc::clone(&name) }));
                }
                _ => {}
            }
        }
    }

    /// Plays the day to the time at which the new executors are warm.
    fn play(&mut self) {
        let end = self.born + self.set.warm_after;
        let mut came = false;
        while let Some((&(at, number), _)) = self.due.first_key_value() {
            if !came && at >= self.born {
                came = true;
                self.now = self.born;
                self.executors_come();
                continue;
            }
            if at >= end {
                return;
            }
            let Some((front, life, due)) = self.due.remove(&(at, number)) else { return };
            self.now = at;
            match due {
                Due::Restart => {
                    let router = self.router(front);
                    (self.fronts[front].router, self.fronts[front].life) = (router, life + 1);
                    self.list(front);
                    self.arrive(front);
                }
                // What an earlier life was owed.
                Due::Event(_) if life != self.fronts[front].life => {}
                Due::Event(event) => {
                    let asks = matches!(event, Event::Request(_));
                    self.event(front, event);
                    if asks {
                        self.arrive(front);
                    }
                }
            }
        }
    }

    fn executors_come(&mut self) {
        let born = Some(self.born);
        for w in WORKERS - self.draw.cold + 1..=WORKERS {
            self.listed.push(WorkerEntry { size: 4.0, ..entry(w, Availability::Ready, born) });
        }
        self.listed.drain(..self.draw.lost as usize);
        (0..self.fronts.len()).for_each(|n| self.list(n));
        for n in 0..self.fronts.len() {
            let tenth = (n as u64 * 10) / self.fronts.len() as u64;
            match self.draw.again {
                Again::Herd(after) if n % 10 < 7 => self.at(self.born + after, n, Due::Restart),
                Again::Roll(each) => self.at(self.born + each * (tenth + 1), n, Due::Restart),
                _ => {}
            }
        }
    }

    /// The worst window at any new executor, as what came over what may come; and what came to one in all, over what comes to one
    /// that is warm.
    fn judge(&self) -> (f64, f64) {
        let (window, warm) = (self.set.fall_window, self.set.warm_after as f64);
        let budget = |at: Time| {
            let age = (at - self.born) as f64 / warm;
            let capacity = self.set.cold_from + (1.0 - self.set.cold_from) * age;
            self.set.fall_multiple * capacity * self.draw.bears * window as f64 / 1e6
        };
        let (mut worst, mut came) = (0.0_f64, 0.0);
        for sends in self.sends.values() {
            came += sends.len() as f64;
            for (n, &at) in sends.iter().enumerate() {
                let from = sends.partition_point(|&t| t + window <= at);
                let may = budget(at);
                worst = worst.max((n + 1 - from) as f64 / (may + 2.0 * may.sqrt() + 2.0));
            }
        }
        let usual = self.draw.bears * self.draw.load * warm / 1e6;
        (worst, came / f64::from(self.draw.cold) / usual)
    }
}

/// Days drawn; `RAMPS=200` draws more and tells each.
const DAYS: u64 = 12;

/// Beyond the budget of N calls only 2 times the root of N, and 2, are put down to chance.
#[test]
fn whole_fleets_keep_the_ramp_of_cold_executors_also_while_front_ends_start_again() {
    let more = std::env::var("RAMPS").ok().and_then(|n| n.parse().ok());
    let (mut used, mut broken, days) = (0.0, Vec::new(), more.unwrap_or(DAYS));
    for seed in 1..=days {
        let draw = draw(seed);
        let mut fleet = Fleet::new(draw.clone());
        fleet.play();
        let (worst, share) = fleet.judge();
        if more.is_some() {
            println!("{seed}: worst {worst:.2}, used {share:.2} {draw:?}");
        }
        if worst > 1.0 {
            broken.push(format!("{worst:.2} {draw:?}"));
        }
        used += share / days as f64;
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(used > 0.1, "nor are they shunned: {used} of a warm one's calls");
    println!("{used:.2} of a warm one's calls");
}
