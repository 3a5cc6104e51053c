//! What befalls a fleet: a file that can be kept and played again.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Something that befalls members or the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum Act {
    /// These are killed outright.
    Kill {
        /// Which.
        who: Vec<u16>,
    },
    /// These start again from nothing, under their names.
    Start {
        /// Which.
        who: Vec<u16>,
    },
    /// These are stopped in the middle of whatever they do.
    Stop {
        /// Which.
        who: Vec<u16>,
    },
    /// And go on.
    Go {
        /// Which.
        who: Vec<u16>,
    },
    /// Nothing passes from the first to the second; the other way is open.
    Cut {
        /// From.
        from: Vec<u16>,
        /// To.
        to: Vec<u16>,
    },
    /// All ways are open again.
    Heal,
    /// The whole becomes this.
    Whole {
        /// Units.
        units: u16,
    },
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Draws what the network does to each datagram.
    pub seed: u64,
    /// Members.
    pub members: u16,
    /// The first so many vote.
    pub voters: u16,
    /// Units in all.
    pub units: u16,
    /// Each member's for good.
    pub floor: u16,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Longest usual delay, in milliseconds.
    pub delay_ms: u64,
    /// Millionths by which clocks may be off, each way; members' are drawn between.
    pub drift: u32,
    /// How long it lasts, in milliseconds.
    pub ms: u64,
    /// What befalls whom, and when, in milliseconds.
    pub acts: Vec<(u64, Act)>,
}

impl Schedule {
    /// Whether it can be played.
    pub fn check(&self) -> Result<(), String> {
        let named = |act: &Act| -> Vec<u16> {
            match act {
                Act::Kill { who } | Act::Start { who } | Act::Stop { who } | Act::Go { who } => who.clone(),
                Act::Cut { from, to } => [&from[..], to].concat(),
                Act::Heal | Act::Whole { .. } => vec![],
            }
        };
        let strange = self.acts.iter().flat_map(|(_, a)| named(a)).find(|m| *m >= self.members);
        let last = self.acts.last().map_or(0, |a| a.0);
        if !(1..=64).contains(&self.members) || self.voters == 0 || self.voters > self.members {
            Err("give 1 to 64 members, and voters among them".into())
        } else if let Some(m) = strange {
            Err(format!("an act names member {m} of {}; they count from 0", self.members))
        } else if self.acts.windows(2).any(|w| w[0].0 > w[1].0) {
            Err("acts are not in the order of their times".into())
        } else if last > self.ms || self.ms > 600_000 {
            Err("acts come after the day's end, or it is longer than ten minutes".into())
        } else if u32::from(self.floor) * u32::from(self.members) > u32::from(self.units) {
            Err("floors exceed the whole; make units more or floor less".into())
        } else {
            Ok(())
        }
    }

    /// Draws one.
    pub fn draw(seed: u64, members: u16, ms: u64) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x00b0_d9e7);
        let voters = [1, 3, 5][rng.random_range(0..3)].min(members);
        let floor = rng.random_range(0..=1);
        let units = members * floor + rng.random_range(members..=members * 2);
        let mut acts = Vec::new();
        let pick = |rng: &mut StdRng| -> Vec<u16> {
            let mut all: Vec<u16> = (0..members).collect();
            all.shuffle(rng);
            let n = [1, members / 2, members * 7 / 10][rng.random_range(0..3)].max(1);
            all.truncate(usize::from(n));
            all
        };
        // The first part is for the fleet to begin, the last for it to come back.
        for _ in 0..rng.random_range(2..=4) {
            let from = rng.random_range(ms * 3 / 10..ms * 7 / 10);
            let to = (from + [60, 700, 1800][rng.random_range(0..3)]).min(ms * 85 / 100);
            let who = pick(&mut rng);
            let others: Vec<u16> = (0..members).filter(|m| !who.contains(m)).collect();
            match rng.random_range(0..5) {
                0 => acts.extend([(from, Act::Kill { who: who.clone() }), (to, Act::Start { who })]),
                1 => acts.extend([(from, Act::Stop { who: who.clone() }), (to, Act::Go { who })]),
                2 => {
                    acts.push((from, Act::Cut { from: who.clone(), to: others.clone() }));
                    acts.push((from, Act::Cut { from: others, to: who }));
                    acts.push((to, Act::Heal));
                }
                3 => acts.extend([(from, Act::Cut { from: who, to: others }), (to, Act::Heal)]),
                _ => {
                    let half = (units / 2).max(members * floor);
                    acts.extend([(from, Act::Whole { units: half }), (to, Act::Whole { units })]);
                }
            }
        }
        acts.sort_by_key(|a| a.0);
        Schedule {
            seed,
            members,
            voters,
            units,
            floor,
            loss: [0.0, 0.1, 0.3][rng.random_range(0..3)],
            twice: [0.0, 0.3][rng.random_range(0..2)],
            delay_ms: [0, 5, 30][rng.random_range(0..3)],
            drift: [0, 10_000][rng.random_range(0..2)],
            ms,
            acts,
        }
    }
}
