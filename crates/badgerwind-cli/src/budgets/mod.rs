//! Fleet budgets between processes: a member that spends all it may, and runs of many members under faults.

mod day;
mod draw;
mod net;
mod schedule;
mod shrink;

pub use day::{run, run_schedule, RunOptions, RunResult};
pub use net::{Net, NetworkFaults};
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
    /// Number of the member
    #[arg(long)]
    number: Member,
    /// UDP address on which it receives messages of other members
    #[arg(long)]
    listen: SocketAddr,
    /// File of the settings common to all members; read again at intervals
    #[arg(long)]
    trial: PathBuf,
    /// File of the key that authenticates the messages between members
    #[arg(long)]
    key: PathBuf,
    /// File for the record of the units that it owns and spends
    #[arg(long)]
    record: PathBuf,
    /// Millionths by which its clock runs fast
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    clock_fast: i64,
}

/// Settings common to all members of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    /// Version, incremented with each change.
    pub version: u32,
    /// Total number of units.
    pub units: Unit,
    /// Units that belong to each member permanently.
    pub floor: Unit,
    /// Cooldown of a spent unit, in microseconds.
    pub rest: u64,
    /// Validity of a vote, in microseconds.
    pub vote: u64,
    /// Validity of a lease, in microseconds.
    pub lease: u64,
    /// Interval of a member's requests, in microseconds.
    pub beat: u64,
    /// Bound on the drift of clocks, in millionths.
    pub drift: u32,
    /// Members that elect the lease coordinator.
    pub voters: Vec<Member>,
    /// Address of each member.
    pub peers: BTreeMap<Member, SocketAddr>,
    /// Units that each member wants to spend in a window.
    pub wants: BTreeMap<Member, Unit>,
}

impl Trial {
    fn read(path: &Path) -> Result<Trial, CommandError> {
        let shown = path.display();
        let text =
            std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
        serde_json::from_slice(&text).map_err(|e| CommandError::usage(format!("{shown}: {e}")))
    }

    fn limit_set(&self) -> LimitSet {
        let (units, floor, rest) = (self.units, self.floor, self.rest);
        let members = self.peers.len() as Member;
        LimitSet { version: self.version, limits: vec![Limit { units, floor, members, cooldown: rest }] }
    }

    fn lease_settings(&self) -> LeaseSettings {
        let Trial { voters, vote, lease, beat, drift, .. } = self.clone();
        LeaseSettings { voters, vote, lease, request_interval: beat, drift_ppm: drift, max_moves: 64 }
    }
}

/// Writes complete lines, so that a killed writer leaves at most one incomplete line.
struct Record(File);

impl Record {
    fn write(&mut self, line: &Line) -> Result<(), CommandError> {
        let mut text = serde_json::to_vec(line).map_err(|e| CommandError::failed(e.to_string()))?;
        text.push(b'\n');
        self.0.write_all(&text).map_err(|e| CommandError::failed(format!("cannot write the record: {e}")))
    }
}

/// Runs a member that tries to spend more than it owns, until it is killed.
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
        limit_set: trial.limit_set(),
        lease_settings: trial.lease_settings(),
        clock_skew_ppm: args.clock_fast,
    };
    let member = FleetMember::start(options).map_err(|e| CommandError::usage(e.to_string()))?;
    let member = Arc::new(member);
    let file = File::create(&args.record);
    let file =
        file.map_err(|e| CommandError::usage(format!("cannot write {}: {e}", args.record.display())))?;
    let mut record = Record(file);
    let network_member = member.clone();
    std::thread::spawn(move || network_member.run(&AtomicBool::new(false)));
    let incarnation = wall_micros();
    let number = args.number;
    let line = |at, event| Line { at, member: number, incarnation, event };
    let mut last_recorded = None;
    let mut iteration = 0u32;
    loop {
        if iteration % 16 == 0 {
            if let Ok(next) = Trial::read(&args.trial) {
                let wants = next.wants.get(&number).copied().unwrap_or(0);
                let set = member.with_node(|node, now| {
                    node.set_wanted(0, wants);
                    node.apply_limits(now, &next.limit_set())
                });
                set.map_err(|e| CommandError::usage(format!("{}: {e}", args.trial.display())))?;
            }
        }
        iteration += 1;
        // A line has the time at which its values were read, so that a pause of the process before the write does not
        // falsify it.
        let (floor, granted, remaining, now) = member.with_node(|node, now| {
            let limit = &node.limit_set().limits[0];
            let (floor, all) = (limit.floor_of(number), node.owned(now, 0));
            let granted = all.filter_units(|u| !floor.contains(u));
            (floor.ranges().to_vec(), granted.ranges().to_vec(), node.lease_end(0).saturating_sub(now), now)
        });
        let at = member.wall_at(now);
        let until = if granted.is_empty() { at } else { at + remaining };
        let state = (floor.clone(), granted.clone(), until / 20_000);
        if last_recorded.as_ref() != Some(&state) {
            record.write(&line(at, Event::Owns { floor, granted, until }))?;
            last_recorded = Some(state);
        }
        for _ in 0..4 {
            let Some((unit, now)) = member.spend(0) else { break };
            record.write(&line(member.wall_at(now), Event::Spent { unit }))?;
        }
        std::thread::sleep(Duration::from_millis(3));
    }
}
