//! Checks the records of the register's members: no member acts in an incarnation after its end was delivered
//! to any member, all members receive the same events in the same order, and each announcement is delivered
//! once. The module does not depend on the register.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A line of a member's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time in microseconds of one clock of the machine.
    pub at: u64,
    /// The member that wrote the line.
    pub member: u16,
    /// The member's process: a new number at each start.
    pub run: u64,
    /// What the member did or received.
    #[serde(flatten)]
    pub observation: Observation,
}

/// What a member did or received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observation {
    /// The member had an effect in its incarnation at the line's time.
    Acted {
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// The log delivered an event to the member.
    #[serde(rename = "told")]
    Received {
        /// Index of the log entry.
        entry: u64,
        /// The event.
        #[serde(flatten)]
        event: Event,
    },
}

/// An event that a log entry caused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An incarnation began.
    Began {
        /// The member.
        #[serde(rename = "of")]
        member: u16,
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// An incarnation ended.
    #[serde(rename = "over")]
    Ended {
        /// The member.
        #[serde(rename = "of")]
        member: u16,
        /// The incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// An announcement was accepted.
    #[serde(rename = "said")]
    Announced {
        /// The member.
        #[serde(rename = "of")]
        member: u16,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Serial number of the announcement within the incarnation, from 1.
        serial: u64,
    },
}

/// Result of [`judge`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RegisterReport {
    /// Incarnations that began.
    #[serde(rename = "lives")]
    pub incarnations: usize,
    /// Incarnations that ended.
    pub ends: usize,
    /// Accepted announcements.
    #[serde(rename = "words")]
    pub announcements: usize,
    /// Number of effects.
    pub acts: usize,
    /// Effects shortly before the delivered end of their incarnation, which show that the limit was tested.
    #[serde(rename = "near")]
    pub near_end: usize,
    /// Descriptions of the violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Checks records. The clocks of two processes' lines may differ by `tolerance` microseconds. An effect
/// within `near_end` microseconds before the end of its incarnation counts into [`RegisterReport::near_end`].
pub fn judge(lines: &[Line], tolerance: u64, near_end: u64) -> RegisterReport {
    let mut report = RegisterReport::default();
    let mut entries: BTreeMap<u64, (u16, Vec<&Event>)> = BTreeMap::new();
    let mut runs: BTreeMap<(u16, u64), Vec<(u64, &Event)>> = BTreeMap::new();
    let mut ended: BTreeMap<u64, (u64, u16)> = BTreeMap::new();
    for line in lines {
        if let Observation::Received { entry, event } = &line.observation {
            runs.entry((line.member, line.run)).or_default().push((*entry, event));
            if let Event::Ended { incarnation, .. } = event {
                let first = ended.entry(*incarnation).or_insert((line.at, line.member));
                *first = (*first).min((line.at, line.member));
            }
        }
    }
    for ((member, _), received) in &runs {
        if received.windows(2).any(|w| w[0].0 > w[1].0) {
            report.violations.push(format!("member {member} received entries out of order"));
        }
        // A killed process may have recorded only some events of its last entry.
        let last = received.last().map_or(0, |t| t.0);
        let mut own: BTreeMap<u64, Vec<&Event>> = BTreeMap::new();
        received.iter().for_each(|(entry, event)| own.entry(*entry).or_default().push(event));
        for (entry, events) in own {
            let (first_member, all) = entries.entry(entry).or_insert_with(|| (*member, events.clone()));
            let short = events.len().min(all.len());
            if events[..short] != all[..short] || entry != last && events.len() < all.len() {
                report.violations.push(format!(
                    "entry {entry}: members {first_member} and {member} received different events"
                ));
            }
            if events.len() > all.len() {
                *all = events;
            }
        }
    }
    let mut incarnations: BTreeMap<u64, (u16, u64, bool)> = BTreeMap::new();
    for (entry, (_, events)) in &entries {
        for event in events {
            match **event {
                Event::Began { member, incarnation } => {
                    report.incarnations += 1;
                    let open = incarnations.iter().find(|(_, (m, _, ended))| *m == member && !ended);
                    if let Some((before, _)) = open {
                        report.violations.push(format!(
                            "entry {entry}: incarnation {incarnation} of member {member} began while its incarnation {before} was live"
                        ));
                    }
                    incarnations.insert(incarnation, (member, 0, false));
                }
                Event::Ended { incarnation, .. } => {
                    report.ends += 1;
                    if incarnations.get_mut(&incarnation).is_none_or(|l| std::mem::replace(&mut l.2, true)) {
                        report.violations.push(format!(
                            "entry {entry}: incarnation {incarnation} ended though it was not live"
                        ));
                    }
                }
                Event::Announced { incarnation, serial, .. } => {
                    report.announcements += 1;
                    match incarnations.get_mut(&incarnation) {
                        Some((_, last, false)) if serial == *last + 1 => *last = serial,
                        other => report
                            .violations
                            .push(format!("entry {entry}: announcement {serial} of incarnation {incarnation} after {other:?}")),
                    }
                }
            }
        }
    }
    for line in lines {
        let Observation::Acted { incarnation } = line.observation else { continue };
        report.acts += 1;
        let Some(&(end, receiver)) = ended.get(&incarnation) else { continue };
        if line.at > end + tolerance {
            let late = line.at - end;
            let who = line.member;
            report.violations.push(format!(
                "member {who} acted in incarnation {incarnation} {late} us after member {receiver} received its end"
            ));
        } else if line.at + near_end > end {
            report.near_end += 1;
        }
    }
    report
}
