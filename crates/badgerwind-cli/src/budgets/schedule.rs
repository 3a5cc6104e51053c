//! Schedules of faults of a budgets run, which can be stored as a file and run again.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// An action on members or on the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum Act {
    /// Kills members with SIGKILL.
    Kill {
        /// The members.
        who: Vec<u16>,
    },
    /// Starts members again without state, under the same numbers.
    Start {
        /// The members.
        who: Vec<u16>,
    },
    /// Pauses members with SIGSTOP.
    #[serde(rename = "stop")]
    Pause {
        /// The members.
        who: Vec<u16>,
    },
    /// Resumes paused members with SIGCONT.
    #[serde(rename = "go")]
    Resume {
        /// The members.
        who: Vec<u16>,
    },
    /// Drops datagrams from some members to others; the opposite direction stays open.
    Cut {
        /// Members whose datagrams are dropped.
        from: Vec<u16>,
        /// Receivers of those datagrams.
        to: Vec<u16>,
    },
    /// Ends all cuts.
    Heal,
    /// Changes the total number of units.
    #[serde(rename = "whole")]
    SetUnits {
        /// New total.
        units: u16,
    },
}

/// A schedule with the settings of its run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed of the faults that the network applies to datagrams and of the clocks' drift.
    pub seed: u64,
    /// Number of members.
    pub members: u16,
    /// Number of voters, which are the first members.
    pub voters: u16,
    /// Total number of units.
    pub units: u16,
    /// Units that belong to each member permanently.
    pub floor: u16,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams duplicated.
    pub twice: f64,
    /// Upper bound of the usual delay of a datagram, in milliseconds.
    pub delay_ms: u64,
    /// Bound on the drift of clocks in either direction, in millionths; each member's drift is drawn within it.
    pub drift: u32,
    /// Duration, in milliseconds.
    pub ms: u64,
    /// Actions with their times since the start, in milliseconds.
    pub acts: Vec<(u64, Act)>,
}

impl Schedule {
    /// Checks that the schedule can be run.
    pub fn validate(&self) -> Result<(), String> {
        let members_of = |act: &Act| -> Vec<u16> {
            match act {
                Act::Kill { who } | Act::Start { who } | Act::Pause { who } | Act::Resume { who } => {
                    who.clone()
                }
                Act::Cut { from, to } => [&from[..], to].concat(),
                Act::Heal | Act::SetUnits { .. } => vec![],
            }
        };
        let unknown = self.acts.iter().flat_map(|(_, a)| members_of(a)).find(|m| *m >= self.members);
        let last = self.acts.last().map_or(0, |a| a.0);
        if !(1..=64).contains(&self.members) || self.voters == 0 || self.voters > self.members {
            Err("give 1 to 64 members, and voters among them".into())
        } else if let Some(m) = unknown {
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

    /// Draws a schedule.
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
        // No faults in the first 30 % of the time, in which the fleet starts, and the last 15 %, in which it recovers.
        for _ in 0..rng.random_range(2..=4) {
            let from = rng.random_range(ms * 3 / 10..ms * 7 / 10);
            let to = (from + [60, 700, 1800][rng.random_range(0..3)]).min(ms * 85 / 100);
            let who = pick(&mut rng);
            let others: Vec<u16> = (0..members).filter(|m| !who.contains(m)).collect();
            match rng.random_range(0..5) {
                0 => acts.extend([(from, Act::Kill { who: who.clone() }), (to, Act::Start { who })]),
                1 => acts.extend([(from, Act::Pause { who: who.clone() }), (to, Act::Resume { who })]),
                2 => {
                    acts.push((from, Act::Cut { from: who.clone(), to: others.clone() }));
                    acts.push((from, Act::Cut { from: others, to: who }));
                    acts.push((to, Act::Heal));
                }
                3 => acts.extend([(from, Act::Cut { from: who, to: others }), (to, Act::Heal)]),
                _ => {
                    let half = (units / 2).max(members * floor);
                    acts.extend([(from, Act::SetUnits { units: half }), (to, Act::SetUnits { units })]);
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
