//! Measures the resource use of idle members as real processes: bytes and segments of their connections as
//! counted by the kernel (`ss` of iproute2), and processor time and resident memory from `/proc`. The figures
//! are comparable with those of simulated members.

use crate::day::{acting_since, Fleet};
use crate::member::{wall, Trial};
use crate::RigError;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Longest time until all members act.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from then until the measurement starts.
const WARM_UP: Duration = Duration::from_secs(3);

// Indices of the two fields in `/proc/PID/stat`, counted from the first after the name, and the length of a
// tick on Linux.
const UTIME: usize = 11;
const STIME: usize = 12;
const TICK_US: u64 = 10_000;

/// Arguments of a measurement.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Members, the first of them voters
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=300))]
    members: u16,
    /// Voters: 1, 3, 5 or 7, and no more than members
    #[arg(long, default_value_t = 5)]
    voters: u16,
    /// Length of the measurement
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=300))]
    seconds: u64,
    /// Each member writes one record of 32 bytes a second; without it members only renew their leases
    #[arg(long)]
    records: bool,
}

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    bytes: u64,
    segments: u64,
    connections: u64,
    processor_us: u64,
    resident: u64,
}

/// Measures and prints a table; false if a member exited by itself or not all acted.
pub fn run(args: &Args) -> Result<bool, RigError> {
    let voters = args.voters.min(args.members);
    let trial = Trial {
        voters: (0..voters).collect(),
        lease: 2_000_000,
        heartbeat_interval: 400_000,
        drift_ppm: 1_000,
    };
    trial.settings().validate().map_err(|e| RigError::Member(e.to_string()))?;
    let folder = tempfile::tempdir().map_err(|e| RigError::File("a temporary folder".into(), e))?;
    let program = std::env::current_exe().map_err(RigError::Process)?;
    let record_every = if args.records { "1" } else { "0" };
    let arguments =
        ["--look-every", "1000", "--record-every", record_every, "--record-bytes", "32", "--without-events"];
    let members = usize::from(args.members);
    let mut fleet = Fleet::start_direct(&program, folder.path(), members, &trial, &arguments)?;
    let all_act =
        fleet.until(START_TIMEOUT, |lines| acting_since(lines, wall() - 3_000_000).len() == members)?;
    if !all_act {
        println!(
            "not measured: not all of {members} members act after {} s; {:?}",
            START_TIMEOUT.as_secs(),
            fleet.unexpected_exits
        );
        return Ok(false);
    }
    std::thread::sleep(WARM_UP);
    let (began, before) = (Instant::now(), usage(&fleet)?);
    std::thread::sleep(Duration::from_secs(args.seconds));
    let (seconds, after) = (began.elapsed().as_secs_f64(), usage(&fleet)?);
    print_table(args, usize::from(voters), seconds, &before, &after);
    Ok(fleet.unexpected_exits.is_empty())
}

fn print_table(
    args: &Args,
    voters: usize,
    seconds: f64,
    before: &BTreeMap<usize, Usage>,
    after: &BTreeMap<usize, Usage>,
) {
    let bytes = |n: &usize| after[n].bytes.saturating_sub(before.get(n).map_or(0, |b| b.bytes));
    // The leader exchanges messages with all members, so it is the voter with the most traffic.
    let leader = (0..voters).filter(|n| after.contains_key(n)).max_by_key(bytes);
    let of_role = |role: &str| -> Vec<usize> {
        let all = after.keys().copied().filter(|n| before.contains_key(n));
        all.filter(|n| match role {
            "leader" => Some(*n) == leader,
            "voter" => *n < voters && Some(*n) != leader,
            _ => *n >= voters,
        })
        .collect()
    };
    let records = if args.records { "one record a second each" } else { "leases only" };
    println!("{} real processes, {voters} voters, {records}, {seconds:.1} s, one play", args.members);
    println!("| role | processes | B/s in and out | segments/s with data | connections | processor us/s | resident B |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for role in ["follower", "voter", "leader"] {
        let who = of_role(role);
        let mean = |of: &dyn Fn(&usize) -> f64| who.iter().map(of).sum::<f64>() / who.len().max(1) as f64;
        let rate = |part: fn(&Usage) -> u64| {
            mean(&|n| (part(&after[n]) - part(&before[n]).min(part(&after[n]))) as f64) / seconds
        };
        println!(
            "| {role} | {} | {:.0} | {:.1} | {:.1} | {:.0} | {:.0} |",
            who.len(),
            rate(|u| u.bytes),
            rate(|u| u.segments),
            mean(&|n| after[n].connections as f64),
            rate(|u| u.processor_us),
            mean(&|n| after[n].resident as f64),
        );
    }
}

fn usage(fleet: &Fleet) -> Result<BTreeMap<usize, Usage>, RigError> {
    let processes = fleet.processes();
    let mut all: BTreeMap<usize, Usage> = BTreeMap::new();
    let text = sockets()?;
    for (member, process) in processes {
        let mut usage =
            Usage { processor_us: processor_us(process)?, resident: resident(process)?, ..Usage::default() };
        let owner = format!("pid={process},");
        for line in text.lines().filter(|line| line.contains(&owner)) {
            usage.bytes += field(line, "bytes_sent:") + field(line, "bytes_received:");
            usage.segments += field(line, "data_segs_out:") + field(line, "data_segs_in:");
            usage.connections += 1;
        }
        all.insert(member, usage);
    }
    Ok(all)
}

/// All established TCP connections, one per line, with owners and counters.
fn sockets() -> Result<String, RigError> {
    let output = Command::new("ss")
        .args(["-tinpOH", "state", "established"])
        .output()
        .map_err(|e| RigError::Counter("ss", e))?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// A counter of a line; 0 if it is missing.
fn field(line: &str, name: &str) -> u64 {
    let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
    word.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn read(path: &Path) -> Result<String, RigError> {
    std::fs::read_to_string(path).map_err(|e| RigError::File(path.display().to_string(), e))
}

/// Processor time of all threads, including ended ones, in microseconds: `utime` and `stime` of
/// `/proc/PID/stat`, which come in ticks of a hundredth of a second.
fn processor_us(process: u32) -> Result<u64, RigError> {
    let text = read(Path::new(&format!("/proc/{process}/stat")))?;
    // The program's name is in parentheses and may contain spaces, so fields are counted after it.
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> = after_name.split_whitespace().map(|word| word.parse().unwrap_or(0)).collect();
    let ticks = fields.get(UTIME).unwrap_or(&0) + fields.get(STIME).unwrap_or(&0);
    Ok(ticks * TICK_US)
}

/// Resident memory in bytes.
fn resident(process: u32) -> Result<u64, RigError> {
    let text = read(Path::new(&format!("/proc/{process}/status")))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib =
        line.and_then(|rest| rest.split_whitespace().next()).and_then(|digits| digits.parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * 1024)
}
