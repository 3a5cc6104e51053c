//! What members of the register did and were told, judged from their records alone: nobody acts in a life whose end was told
//! anywhere, all were told the same in the same order, and each word once. Nothing here knows the register.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A line of a member's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When, in microseconds of one clock of the machine.
    pub at: u64,
    /// Who writes.
    pub member: u16,
    /// Its process: another at each start.
    pub run: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What a member did or was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// It had an effect in this life, looked at at that moment.
    Acted {
        /// The life.
        life: u64,
    },
    /// The log told it this, by an entry.
    Told {
        /// The entry.
        entry: u64,
        /// What.
        #[serde(flatten)]
        event: Event,
    },
}

/// What an entry brought about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A life began.
    Began {
        /// Whose.
        of: u16,
        /// Which.
        life: u64,
    },
    /// A life ended.
    Over {
        /// Whose.
        of: u16,
        /// Which.
        life: u64,
    },
    /// A word stands.
    Said {
        /// Whose.
        of: u16,
        /// In which life.
        life: u64,
        /// The how manieth of that life.
        serial: u64,
    },
}

/// The figures of a day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Found {
    /// Lives that began.
    pub lives: usize,
    /// Lives that ended.
    pub ends: usize,
    /// Words that stand.
    pub words: usize,
    /// Effects.
    pub acts: usize,
    /// Effects in the last tenth of a lease before a told end, so that the promise was near its limit.
    pub near: usize,
    /// What was broken, in words.
    pub broken: Vec<String>,
}

/// Judges records. Two processes' lines may be `fair` microseconds apart in time; an effect within `close` of its life's end was
/// near it.
pub fn judge(lines: &[Line], fair: u64, close: u64) -> Found {
    let mut found = Found::default();
    let mut entries: BTreeMap<u64, (u16, Vec<&Event>)> = BTreeMap::new();
    let mut runs: BTreeMap<(u16, u64), Vec<(u64, &Event)>> = BTreeMap::new();
    let mut over: BTreeMap<u64, (u64, u16)> = BTreeMap::new();
    for line in lines {
        if let What::Told { entry, event } = &line.what {
            runs.entry((line.member, line.run)).or_default().push((*entry, event));
            if let Event::Over { life, .. } = event {
                let first = over.entry(*life).or_insert((line.at, line.member));
                *first = (*first).min((line.at, line.member));
            }
        }
    }
    for ((member, _), told) in &runs {
        if told.windows(2).any(|w| w[0].0 > w[1].0) {
            found.broken.push(format!("member {member} was told entries out of order"));
        }
        // What a process that was killed wrote of its last entry may be a part of it.
        let last = told.last().map_or(0, |t| t.0);
        let mut own: BTreeMap<u64, Vec<&Event>> = BTreeMap::new();
        told.iter().for_each(|(entry, event)| own.entry(*entry).or_default().push(event));
        for (entry, events) in own {
            let (teller, all) = entries.entry(entry).or_insert_with(|| (*member, events.clone()));
            let short = events.len().min(all.len());
            if events[..short] != all[..short] || entry != last && events.len() < all.len() {
                found
                    .broken
                    .push(format!("entry {entry}: members {teller} and {member} were told different things"));
            }
            if events.len() > all.len() {
                *all = events;
            }
        }
    }
    let mut lives: BTreeMap<u64, (u16, u64, bool)> = BTreeMap::new();
    for (entry, (_, events)) in &entries {
        for event in events {
            match **event {
                Event::Began { of, life } => {
                    found.lives += 1;
                    let open = lives.iter().find(|(_, (m, _, over))| *m == of && !over);
                    if let Some((before, _)) = open {
                        found.broken.push(format!(
                            "entry {entry}: life {life} of member {of} began beside its life {before}"
                        ));
                    }
                    lives.insert(life, (of, 0, false));
                }
                Event::Over { life, .. } => {
                    found.ends += 1;
                    if lives.get_mut(&life).is_none_or(|l| std::mem::replace(&mut l.2, true)) {
                        found.broken.push(format!("entry {entry}: life {life} ended that did not go on"));
                    }
                }
                Event::Said { life, serial, .. } => {
                    found.words += 1;
                    match lives.get_mut(&life) {
                        Some((_, last, false)) if serial == *last + 1 => *last = serial,
                        other => found
                            .broken
                            .push(format!("entry {entry}: word {serial} of life {life} after {other:?}")),
                    }
                }
            }
        }
    }
    for line in lines {
        let What::Acted { life } = line.what else { continue };
        found.acts += 1;
        let Some(&(end, teller)) = over.get(&life) else { continue };
        if line.at > end + fair {
            let late = line.at - end;
            let who = line.member;
            found.broken.push(format!(
                "member {who} acted in life {life} {late} us after member {teller} was told its end"
            ));
        } else if line.at + close > end {
            found.near += 1;
        }
    }
    found
}
