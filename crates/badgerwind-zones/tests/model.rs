//! Checks every history of a small fleet with the real state machines: three front ends, all of them voters,
//! and two zones of two executors. Messages can be lost and zones can fail or recover at any heartbeat; one
//! front end may report false evidence or not reach a zone.

use badgerwind_zones::{Message, Node, Observation, Settings, Stage, Time};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const MEMBERS: u16 = 3;
const MAX_ZONES: usize = 2;
const EXECUTORS_PER_ZONE: u32 = 2;
const HEARTBEAT: Time = 100;
/// Heartbeats without faults after the last step of a history.
const RECOVERY_HEARTBEATS: u8 = 120;

#[derive(Clone, Debug)]
struct World {
    now: Time,
    heartbeat: u8,
    nodes: Vec<Node>,
    good: [bool; MAX_ZONES],
    toggles: u8,
    losses: u8,
}

// Nodes contain floating point numbers, which are neither `Eq` nor `Hash`; states are compared by their debug
// output.
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
enum Step {
    Nothing,
    /// All messages that this member sends in this heartbeat are lost.
    LoseMessages(u16),
    /// A zone is lost, or recovers.
    ToggleZone(usize),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The last member reports that every zone is lost (`true`) or healthy (`false`).
    FalseReports(bool),
    /// The second zone does not answer the last member.
    ZoneUnreachable,
}

/// The model: a fault, the number of heartbeats, and upper bounds of the steps that lose messages and that
/// toggle a zone.
struct Zones {
    fault: Fault,
    heartbeats: u8,
    losses: u8,
    toggles: u8,
}

fn settings() -> Settings {
    let defaults = Settings::for_timing(vec![0, 1, 2], HEARTBEAT, 4 * HEARTBEAT);
    Settings {
        evidence_window: 4 * HEARTBEAT,
        retry_delay: 2 * HEARTBEAT,
        max_retry_delay: 16 * HEARTBEAT,
        return_step: HEARTBEAT,
        ..defaults
    }
}

impl World {
    /// One heartbeat: each member observes every executor that it uses or probes, then all exchange messages.
    fn run_heartbeat(&mut self, fault: Fault, lost_sender: Option<u16>) {
        self.now += HEARTBEAT;
        let last = usize::from(MEMBERS) - 1;
        for m in 0..self.nodes.len() {
            let probes = self.nodes[m].executors_to_probe();
            for e in 0..EXECUTORS_PER_ZONE * MAX_ZONES as u32 {
                let zone = (e / EXECUTORS_PER_ZONE) as usize;
                if !self.nodes[m].is_open(e, zone) && !probes.contains(&e) {
                    continue;
                }
                let unreachable = matches!(fault, Fault::ZoneUnreachable) && m == last && zone == 1;
                let observation =
                    if self.good[zone] && !unreachable { Observation::Answered } else { Observation::Lost };
                self.nodes[m].record(self.now, e, observation, self.now);
            }
        }
        let mut in_flight = Vec::new();
        for m in 0..MEMBERS {
            for (to, message) in self.nodes[usize::from(m)].tick(self.now) {
                in_flight.push((m, to, message));
            }
        }
        while let Some((from, to, mut message)) = in_flight.pop() {
            if lost_sender == Some(from) {
                continue;
            }
            if let (Fault::FalseReports(claims_lost), Message::Report { zones, .. }, true) =
                (fault, &mut message, usize::from(from) == last)
            {
                for z in zones {
                    (z.lost, z.answered, z.late) = if claims_lost { (9, 0, 0) } else { (0, 9, 0) };
                }
            }
            let node = &mut self.nodes[usize::from(to)];
            if let Some(answer) = node.receive(self.now, from, &message) {
                in_flight.push((to, from, answer));
            }
        }
    }

    fn total_share(&self, m: usize) -> f64 {
        (0..MAX_ZONES).map(|z| self.nodes[m].share(z)).sum()
    }
}

impl Zones {
    fn honest_members(&self) -> usize {
        usize::from(MEMBERS) - usize::from(matches!(self.fault, Fault::FalseReports(_)))
    }
}

impl Model for Zones {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = |m| {
            let mut node = Node::new(0, m, MAX_ZONES, settings(), 0.0);
            node.evidence.set_executors(
                (0..EXECUTORS_PER_ZONE * MAX_ZONES as u32)
                    .map(|e| (e, (e / EXECUTORS_PER_ZONE) as usize, 1.0)),
            );
            node
        };
        let nodes = (0..MEMBERS).map(node).collect();
        let mut world = World { now: 0, heartbeat: 0, nodes, good: [true; MAX_ZONES], toggles: 0, losses: 0 };
        // Three heartbeats without faults, so that all members know each other.
        (0..3).for_each(|_| world.run_heartbeat(Fault::None, None));
        vec![world]
    }

    fn actions(&self, world: &World, out: &mut Vec<Step>) {
        if world.heartbeat >= self.heartbeats {
            return;
        }
        out.push(Step::Nothing);
        if world.losses < self.losses {
            out.extend((0..MEMBERS).map(Step::LoseMessages));
        }
        if world.toggles < self.toggles {
            out.extend((0..MAX_ZONES).map(Step::ToggleZone));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        next.heartbeat += 1;
        let mut lost_sender = None;
        match step {
            Step::Nothing => {}
            Step::LoseMessages(m) => (lost_sender, next.losses) = (Some(m), world.losses + 1),
            Step::ToggleZone(z) => (next.good[z], next.toggles) = (!world.good[z], world.toggles + 1),
        }
        next.run_heartbeat(self.fault, lost_sender);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::always("never all zones left", |model: &Zones, world: &World| {
                (0..model.honest_members())
                    .all(|m| world.total_share(m) >= 2.0 * settings().min_remaining_on_loss)
            }),
            Property::always("never stuck away from a good zone", |model: &Zones, world: &World| {
                if world.heartbeat < model.heartbeats {
                    return true;
                }
                let mut after = world.clone();
                after.good = [true; MAX_ZONES];
                (0..RECOVERY_HEARTBEATS).for_each(|_| after.run_heartbeat(Fault::None, None));
                (0..model.honest_members()).all(|m| after.total_share(m) == MAX_ZONES as f64)
            }),
            Property::sometimes("a lost zone is left", |model: &Zones, world: &World| {
                let left = |m: usize| (0..MAX_ZONES).any(|z| world.nodes[m].share(z) == 0.0);
                (0..model.honest_members()).all(left)
            }),
        ];
        // If one of three reports that all is healthy, the others never agree that a zone is lost, and each
        // leaves it alone.
        if !matches!(self.fault, Fault::FalseReports(false)) {
            all.push(Property::sometimes("and comes back", |_: &Zones, world: &World| {
                let stage = |n: &Node, z| n.zone_state(z).map(|s| s.0.stage);
                let returns =
                    |n: &Node| (0..MAX_ZONES).any(|z| matches!(stage(n, z), Some(Stage::Returning(_))));
                world.nodes.iter().any(returns)
            }));
        }
        all
    }
}

fn check_all_histories(model: Zones) {
    let fault = model.fault;
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done(), "explored to the end of its bounds");
    println!("{fault:?}: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000);
}

const FAULTS: [Fault; 4] =
    [Fault::None, Fault::FalseReports(true), Fault::FalseReports(false), Fault::ZoneUnreachable];

#[test]
fn all_histories_of_three_front_ends_and_two_zones() {
    FAULTS
        .into_iter()
        .for_each(|fault| check_all_histories(Zones { fault, heartbeats: 8, losses: 1, toggles: 2 }));
}

#[test]
#[ignore = "minutes"]
fn all_histories_with_more_losses_and_toggles() {
    FAULTS
        .into_iter()
        .for_each(|fault| check_all_histories(Zones { fault, heartbeats: 9, losses: 2, toggles: 3 }));
}
