//! Every history of a small world, with the real state machines: three front ends that all vote, two zones of two executors,
//! losses of words and changes of zones at any beat, and a liar or a front end that is cut off from a zone.

use badgerwind_zones::{Message, Node, Observation, Stage, Terms, Time};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const MEMBERS: u16 = 3;
const MAX_ZONES: usize = 2;
const EACH: u32 = 2;
const BEAT: Time = 100;
/// Quiet and good beats after all that may happen.
const QUIET: u8 = 120;

#[derive(Clone, Debug)]
struct World {
    now: Time,
    beat: u8,
    nodes: Vec<Node>,
    good: [bool; MAX_ZONES],
    turns: u8,
    losses: u8,
}

// Nodes hold figures that have no order of their own; their written form tells states apart.
impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
impl Eq for World {}
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happens {
    Nothing,
    /// What this one says in this beat is lost.
    Loses(u16),
    /// A zone is lost, or back.
    Turns(usize),
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// The last one says that this is so of every zone: lost, or well.
    Liar(bool),
    /// The last one hears nothing of the second zone.
    Cut,
}

/// Beats in which something may happen, words lost and turns of zones in them at the most.
struct Zones {
    trouble: Trouble,
    beats: u8,
    losses: u8,
    turns: u8,
}

fn terms() -> Terms {
    let paced = Terms::paced(vec![0, 1, 2], BEAT, 4 * BEAT);
    Terms { span: 4 * BEAT, quiet: 2 * BEAT, most_quiet: 16 * BEAT, step: BEAT, ..paced }
}

impl World {
    /// One beat: each sees every executor that it uses or probes, then all tell each other.
    fn beat(&mut self, trouble: Trouble, loses: Option<u16>) {
        self.now += BEAT;
        let last = usize::from(MEMBERS) - 1;
        for m in 0..self.nodes.len() {
            let probes = self.nodes[m].probes();
            for e in 0..EACH * MAX_ZONES as u32 {
                let zone = (e / EACH) as usize;
                if !self.nodes[m].open(e, zone) && !probes.contains(&e) {
                    continue;
                }
                let cut = matches!(trouble, Trouble::Cut) && m == last && zone == 1;
                let sign = if self.good[zone] && !cut { Observation::Heard } else { Observation::Lost };
                self.nodes[m].record(self.now, e, sign, self.now);
            }
        }
        let mut said = Vec::new();
        for m in 0..MEMBERS {
            for (to, message) in self.nodes[usize::from(m)].tick(self.now) {
                said.push((m, to, message));
            }
        }
        while let Some((from, to, mut message)) = said.pop() {
            if loses == Some(from) {
                continue;
            }
            if let (Trouble::Liar(ill), Message::Report { zones, .. }, true) =
                (trouble, &mut message, usize::from(from) == last)
            {
                for z in zones {
                    (z.lost, z.heard, z.late) = if ill { (9, 0, 0) } else { (0, 9, 0) };
                }
            }
            let node = &mut self.nodes[usize::from(to)];
            if let Some(answer) = node.receive(self.now, from, &message) {
                said.push((to, from, answer));
            }
        }
    }

    fn used(&self, m: usize) -> f64 {
        (0..MAX_ZONES).map(|z| self.nodes[m].share(z)).sum()
    }
}

impl Zones {
    fn honest(&self) -> usize {
        usize::from(MEMBERS) - usize::from(matches!(self.trouble, Trouble::Liar(_)))
    }
}

impl Model for Zones {
    type State = World;
    type Action = Happens;

    fn init_states(&self) -> Vec<World> {
        let node = |m| {
            let mut node = Node::new(0, m, MAX_ZONES, terms(), 0.0);
            node.evidence.listed((0..EACH * MAX_ZONES as u32).map(|e| (e, (e / EACH) as usize, 1.0)));
            node
        };
        let nodes = (0..MEMBERS).map(node).collect();
        let mut world = World { now: 0, beat: 0, nodes, good: [true; MAX_ZONES], turns: 0, losses: 0 };
        // They have met.
        (0..3).for_each(|_| world.beat(Trouble::None, None));
        vec![world]
    }

    fn actions(&self, w: &World, out: &mut Vec<Happens>) {
        if w.beat >= self.beats {
            return;
        }
        out.push(Happens::Nothing);
        if w.losses < self.losses {
            out.extend((0..MEMBERS).map(Happens::Loses));
        }
        if w.turns < self.turns {
            out.extend((0..MAX_ZONES).map(Happens::Turns));
        }
    }

    fn next_state(&self, w: &World, happens: Happens) -> Option<World> {
        let mut next = w.clone();
        next.beat += 1;
        let mut loses = None;
        match happens {
            Happens::Nothing => {}
            Happens::Loses(m) => (loses, next.losses) = (Some(m), w.losses + 1),
            Happens::Turns(z) => (next.good[z], next.turns) = (!w.good[z], w.turns + 1),
        }
        next.beat(self.trouble, loses);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::always("never all zones left", |model: &Zones, w: &World| {
                (0..model.honest()).all(|m| w.used(m) >= 2.0 * terms().least_left_lost)
            }),
            Property::always("never stuck away from a good zone", |model: &Zones, w: &World| {
                if w.beat < model.beats {
                    return true;
                }
                let mut after = w.clone();
                after.good = [true; MAX_ZONES];
                (0..QUIET).for_each(|_| after.beat(Trouble::None, None));
                (0..model.honest()).all(|m| after.used(m) == MAX_ZONES as f64)
            }),
            Property::sometimes("a lost zone is left", |model: &Zones, w: &World| {
                let left = |m: usize| (0..MAX_ZONES).any(|z| w.nodes[m].share(z) == 0.0);
                (0..model.honest()).all(left)
            }),
        ];
        // Of three, one that says that all is well keeps the others from agreeing: each leaves alone then.
        if !matches!(self.trouble, Trouble::Liar(false)) {
            all.push(Property::sometimes("and comes back", |_: &Zones, w: &World| {
                let stage = |n: &Node, z| n.standing(z).map(|s| s.0.stage);
                let back = |n: &Node| (0..MAX_ZONES).any(|z| matches!(stage(n, z), Some(Stage::Back(_))));
                w.nodes.iter().any(back)
            }));
        }
        all
    }
}

fn explored(model: Zones) {
    let trouble = model.trouble;
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done(), "explored to the end of its bounds");
    println!("{trouble:?}: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000);
}

const TROUBLES: [Trouble; 4] = [Trouble::None, Trouble::Liar(true), Trouble::Liar(false), Trouble::Cut];

#[test]
fn all_histories_of_three_front_ends_and_two_zones() {
    TROUBLES.into_iter().for_each(|trouble| explored(Zones { trouble, beats: 8, losses: 1, turns: 2 }));
}

#[test]
#[ignore = "minutes"]
fn all_histories_with_more_losses_and_turns() {
    TROUBLES.into_iter().for_each(|trouble| explored(Zones { trouble, beats: 9, losses: 2, turns: 3 }));
}
