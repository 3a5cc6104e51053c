//! Budgets of a fleet as processes: a member that spends what it may, and bad days between many of them.

mod day;
mod draw;
mod net;
mod schedule;
mod shrink;

pub use day::{play, run, Day, Played};
pub use net::{Net, Weather};
pub use schedule::{Act, Schedule};
pub use shrink::shrink;

use crate::CommandError;
use badgerwind_budgets::{LeaseSettings, Limit, LimitSet, Member, Unit};
use badgerwind_check::budgets::{Event, Line};
use badgerwind_gateway::fleet::{wall_micros, FleetMember, MemberOptions};
use badgerwind_webhook::Key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// Arguments of `fleet-member`.
#[derive(clap::Args, Debug)]
pub struct MemberArgs {
    /// Its number
    #[arg(long)]
    number: Member,
    /// Where it hears the others
    #[arg(long)]
    listen: SocketAddr,
    /// What all members go by; read again whenever it changes
    #[arg(long)]
    trial: PathBuf,
    /// The file of the key that seals what they say to each other
    #[arg(long)]
    key: PathBuf,
    /// Where it writes what it owns and spends
    #[arg(long)]
    record: PathBuf,
    /// Millionths by which its clock runs fast
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    clock_fast: i64,
}

/// What all members of a trial go by.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    /// Counted up with each change.
    pub version: u32,
    /// Units in all.
    pub units: Unit,
    /// Of these, each member's for good.
    pub floor: Unit,
    /// How long a spent unit rests, in microseconds.
    pub rest: u64,
    /// How long a vote counts, in microseconds.
    pub vote: u64,
    /// How long a grant counts, in microseconds.
    pub lease: u64,
    /// How often a member asks, in microseconds.
    pub beat: u64,
    /// The bound on clocks, in millionths.
    pub drift: u32,
    /// Members whose votes make a lease coordinator.
    pub voters: Vec<Member>,
    /// Where each member is heard.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// Units that each would spend in a window.
    pub wants: BTreeMap<Member, Unit>,
}

impl Trial {
    fn read(path: &Path) -> Result<Trial, CommandError> {
        let shown = path.display();
        let text =
            std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
        serde_json::from_slice(&text).map_err(|e| CommandError::usage(format!("{shown}: {e}")))
    }

    fn book(&self) -> LimitSet {
        let (units, floor, rest) = (self.units, self.floor, self.rest);
        let members = self.peers.len() as Member;
        LimitSet { version: self.version, limits: vec![Limit { units, floor, members, cooldown: rest }] }
    }

    fn terms(&self) -> LeaseSettings {
        let Trial { voters, vote, lease, beat, drift, .. } = self.clone();
        LeaseSettings { voters, vote, lease, request_interval: beat, drift_ppm: drift, max_moves: 64 }
    }
}

/// Writes whole lines, so that a writer that is killed leaves no more than one half.
struct Record(File);

impl Record {
    fn write(&mut self, line: &Line) -> Result<(), CommandError> {
        let mut text = serde_json::to_vec(line).map_err(|e| CommandError::failed(e.to_string()))?;
        text.push(b'\n');
        self.0.write_all(&text).map_err(|e| CommandError::failed(format!("cannot write the record: {e}")))
    }
}

/// A member that would spend more than it may, until it is killed.
pub fn member(args: &MemberArgs) -> Result<(), CommandError> {
    let trial = Trial::read(&args.trial)?;
    let text = std::fs::read_to_string(&args.key);
    let text = text.map_err(|e| CommandError::usage(format!("cannot read {}: {e}", args.key.display())))?;
    let key =
        Key::parse(text.trim()).map_err(|e| CommandError::usage(format!("{}: {e}", args.key.display())))?;
    let options = MemberOptions {
        number: args.number,
        listen: args.listen,
        peers: trial.peers.clone(),
        key,
        limit_set: trial.book(),
        lease_settings: trial.terms(),
        clock_skew_ppm: args.clock_fast,
    };
    let member = FleetMember::start(options).map_err(|e| CommandError::usage(e.to_string()))?;
    let member = Arc::new(member);
    let file = File::create(&args.record);
    let file =
        file.map_err(|e| CommandError::usage(format!("cannot write {}: {e}", args.record.display())))?;
    let mut record = Record(file);
    let speaks = member.clone();
    std::thread::spawn(move || speaks.run(&AtomicBool::new(false)));
    let life = wall_micros();
    let number = args.number;
    let line = |at, event| Line { at, member: number, incarnation: life, event };
    let mut told = None;
    let mut turn = 0u32;
    loop {
        if turn % 16 == 0 {
            if let Ok(next) = Trial::read(&args.trial) {
                let wants = next.wants.get(&number).copied().unwrap_or(0);
                let set = member.with_node(|node, now| {
                    node.set_wanted(0, wants);
                    node.apply_limits(now, &next.book())
                });
                set.map_err(|e| CommandError::usage(format!("{}: {e}", args.trial.display())))?;
            }
        }
        turn += 1;
        // A line bears the moment at which its matter was looked at: a stop before it is written changes nothing.
        let (floor, granted, left, now) = member.with_node(|node, now| {
            let limit = &node.limit_set().limits[0];
            let (floor, all) = (limit.floor_of(number), node.owned(now, 0));
            let granted = all.filter_units(|u| !floor.contains(u));
            (floor.ranges().to_vec(), granted.ranges().to_vec(), node.lease_end(0).saturating_sub(now), now)
        });
        let at = member.wall_at(now);
        let until = if granted.is_empty() { at } else { at + left };
        let news = (floor.clone(), granted.clone(), until / 20_000);
        if told.as_ref() != Some(&news) {
            record.write(&line(at, Event::Owns { floor, granted, until }))?;
            told = Some(news);
        }
        for _ in 0..4 {
            let Some((unit, now)) = member.spend(0) else { break };
            record.write(&line(member.wall_at(now), Event::Spent { unit }))?;
        }
        std::thread::sleep(Duration::from_millis(3));
    }
}
