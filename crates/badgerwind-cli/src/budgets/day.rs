//! `bad-day --budgets`: runs members as processes over a network of relays, applies a schedule of faults, and checks the
//! totals in the members' records.

use super::net::Net;
use super::schedule::{Act, Schedule};
use super::Trial;
use crate::{write_atomically, CommandError};
use badgerwind_check::budgets::{judge, BudgetReport, Line};
use badgerwind_webhook::{Key, KeyKind};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Validity of a vote, in microseconds. This and the other times are short, so that a day of seconds covers many leases.
const VOTE_TIME: u64 = 300_000;
/// Validity of a lease, in microseconds.
const LEASE_TIME: u64 = 1_000_000;
/// Interval of a member's requests, in microseconds.
const REQUEST_INTERVAL: u64 = 100_000;
/// Cooldown of a spent unit, in microseconds.
const COOLDOWN: u64 = 150_000;
/// Tolerance between timestamps of two processes, in microseconds; small, as all read the clock of one machine.
const CLOCK_TOLERANCE: u64 = 1_000;

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Totals and violations found in the records.
    pub report: BudgetReport,
    /// Members that exited unexpectedly or did not start.
    pub process_failures: Vec<String>,
    /// Datagrams and bytes per second between all members.
    pub traffic: (f64, f64),
}

/// A child process that is killed when its handle is dropped.
struct Process(Child);

impl Process {
    fn signal(&self, name: &str) -> Result<(), CommandError> {
        // The standard library can only send SIGKILL.
        let result = Command::new("kill").args([name, &self.0.id().to_string()]).status();
        match result {
            Ok(status) if status.success() => Ok(()),
            other => Err(CommandError::failed(format!("cannot send {name}: {other:?}"))),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait()); // may already have exited
    }
}

/// The running members.
struct Fleet<'a> {
    program: &'a Path,
    folder: &'a Path,
    net: &'a Net,
    /// Millionths by which each member's clock runs fast.
    clock_skews: Vec<i64>,
    processes: Vec<Option<Process>>,
    /// Current log file of each member.
    logs: Vec<PathBuf>,
    starts: u32,
    process_failures: Vec<String>,
}

impl Fleet<'_> {
    fn start(&mut self, n: u16) -> Result<(), CommandError> {
        let index = usize::from(n);
        if self.processes[index].is_some() {
            return Ok(());
        }
        self.starts += 1;
        let file = |name: String| self.folder.join(name);
        self.logs[index] = file(format!("member-{n}-{}.log", self.starts));
        let log = File::create(&self.logs[index]);
        let log = log.map_err(|e| CommandError::failed(format!("cannot write a log: {e}")))?;
        let child = Command::new(self.program)
            .arg("fleet-member")
            .args(["--number", &n.to_string(), "--listen", &self.net.listen[index].to_string()])
            .arg("--trial")
            .arg(file("trial.json".into()))
            .arg("--key")
            .arg(file("key".into()))
            .arg("--record")
            .arg(file(format!("member-{n}-{}.jsonl", self.starts)))
            .args(["--clock-fast", &self.clock_skews[index].to_string()])
            .stdin(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| CommandError::failed(format!("cannot start a member: {e}")))?;
        self.processes[index] = Some(Process(child));
        Ok(())
    }

    /// Records members that have exited without being killed by the schedule.
    fn check_exits(&mut self) {
        for (n, process) in self.processes.iter_mut().enumerate() {
            if let Some(status) = process.as_mut().and_then(|p| p.0.try_wait().ok().flatten()) {
                let log = std::fs::read_to_string(&self.logs[n]).unwrap_or_default();
                let last = log.lines().last().unwrap_or("its log is empty");
                self.process_failures.push(format!("member {n} exited unexpectedly: {status}: {last}"));
                *process = None;
            }
        }
    }
}

/// Reads all records of a folder.
fn read_records(folder: &Path) -> Result<Vec<Line>, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot read the records: {e}"));
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let path: PathBuf = entry.map_err(failed)?.path();
        if path.extension().is_none_or(|e| e != "jsonl") {
            continue;
        }
        let mut text = std::fs::read_to_string(&path).map_err(failed)?;
        // A killed writer may have left an incomplete last line.
        text.truncate(text.rfind('\n').map_or(0, |at| at + 1));
        for line in text.lines() {
            let line = serde_json::from_str(line);
            all.push(line.map_err(|e| CommandError::failed(format!("{}: {e}", path.display())))?);
        }
    }
    Ok(all)
}

/// Runs a schedule with members of the given program and checks their records, which stay in the folder.
pub fn run_schedule(schedule: &Schedule, program: &Path, folder: &Path) -> Result<RunResult, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot create the network: {e}"));
    let net = Net::start(usize::from(schedule.members), schedule.seed).map_err(failed)?;
    net.change(|faults| {
        (faults.loss, faults.duplication) = (schedule.loss, schedule.twice);
        faults.max_delay = Duration::from_millis(schedule.delay_ms);
    });
    let key = Key::generate(KeyKind::Shared)
        .map_err(|e| CommandError::failed(format!("cannot generate a key: {e}")))?;
    let path = folder.join("key");
    let file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
    file.and_then(|mut f| f.write_all(key.to_text().as_bytes()))
        .map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))?;
    let mut trial = Trial {
        version: 1,
        units: schedule.units,
        floor: schedule.floor,
        rest: COOLDOWN,
        vote: VOTE_TIME,
        lease: LEASE_TIME,
        beat: REQUEST_INTERVAL,
        drift: schedule.drift,
        voters: (0..schedule.voters).collect(),
        peers: (0..).zip(net.relays.iter().copied()).collect(),
        wants: (0..schedule.members).map(|n| (n, schedule.units)).collect(),
    };
    let write_trial = |trial: &Trial| -> Result<(), CommandError> {
        let text = serde_json::to_string(trial).map_err(|e| CommandError::failed(e.to_string()))?;
        write_atomically(&folder.join("trial.json"), &text)
    };
    write_trial(&trial)?;
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    let bound = i64::from(schedule.drift);
    let clock_skews = (0..schedule.members).map(|_| rng.random_range(-bound..=bound)).collect();
    let processes = (0..schedule.members).map(|_| None).collect();
    let logs = vec![PathBuf::new(); usize::from(schedule.members)];
    let mut fleet = Fleet {
        program,
        folder,
        net: &net,
        clock_skews,
        processes,
        logs,
        starts: 0,
        process_failures: Vec::new(),
    };
    (0..schedule.members).try_for_each(|n| fleet.start(n))?;
    let began = Instant::now();
    for (at, act) in &schedule.acts {
        std::thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
        fleet.check_exits();
        let signal_members = |who: &[u16], signal: &str| -> Result<(), CommandError> {
            let mut all = who.iter().filter_map(|n| fleet.processes[usize::from(*n)].as_ref());
            all.try_for_each(|p| p.signal(signal))
        };
        match act {
            Act::Kill { who } => who.iter().for_each(|n| fleet.processes[usize::from(*n)] = None),
            Act::Start { who } => who.iter().try_for_each(|n| fleet.start(*n))?,
            Act::Pause { who } => signal_members(who, "-STOP")?,
            Act::Resume { who } => signal_members(who, "-CONT")?,
            Act::Cut { from, to } => net.change(|faults| {
                faults.cuts.extend(from.iter().flat_map(|f| to.iter().map(|t| (*f, *t))));
            }),
            Act::Heal => net.change(|faults| faults.cuts.clear()),
            Act::SetUnits { units } => {
                (trial.version, trial.units) = (trial.version + 1, *units);
                write_trial(&trial)?;
            }
        }
    }
    std::thread::sleep(Duration::from_millis(schedule.ms).saturating_sub(began.elapsed()));
    fleet.check_exits();
    let (process_failures, seconds) =
        (std::mem::take(&mut fleet.process_failures), began.elapsed().as_secs_f64());
    drop(fleet);
    let report = judge(&read_records(folder)?, schedule.units, COOLDOWN, CLOCK_TOLERANCE);
    let per_second = |n: u64| n as f64 / seconds;
    let (count, bytes) = (net.traffic.0.load(Ordering::Relaxed), net.traffic.1.load(Ordering::Relaxed));
    Ok(RunResult { report, process_failures, traffic: (per_second(count), per_second(bytes)) })
}

/// Options of a run.
pub struct RunOptions<'a> {
    /// Seed from which the schedule is drawn.
    pub seed: u64,
    /// Duration in seconds.
    pub seconds: u64,
    /// Number of members; drawn from the seed if absent.
    pub fronts: Option<u32>,
    /// File of a schedule to run instead of a drawn one.
    pub schedule: Option<&'a Path>,
    /// New folder for the schedule, the records, the logs and a chart.
    pub keep: Option<&'a Path>,
    /// After a violation: maximum number of runs to find a smaller schedule that also fails.
    pub shrink: usize,
}

fn read_schedule(path: &Path) -> Result<Schedule, CommandError> {
    let shown = path.display();
    let text = std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
    let schedule: Schedule = serde_json::from_slice(&text)
        .map_err(|e| CommandError::usage(format!("{shown}: not a schedule: {e}")))?;
    schedule.validate().map_err(|error| CommandError::usage(format!("{shown}: {error}")))?;
    Ok(schedule)
}

/// Draws or reads a schedule, runs it and prints the results.
pub fn run(options: &RunOptions<'_>) -> Result<(), CommandError> {
    let drawn = || {
        let members = options
            .fronts
            .map_or_else(|| StdRng::seed_from_u64(options.seed).random_range(3..=16), |n| n.max(2) as u16);
        Schedule::draw(options.seed, members, options.seconds * 1000)
    };
    let schedule = options.schedule.map_or_else(|| Ok(drawn()), read_schedule)?;
    let temporary;
    let folder = match options.keep {
        Some(folder) => {
            std::fs::create_dir(folder)
                .map_err(|e| CommandError::usage(format!("{}: {e}", folder.display())))?;
            folder
        }
        None => {
            temporary =
                tempfile::tempdir().map_err(|e| CommandError::failed(format!("no temporary folder: {e}")))?;
            temporary.path()
        }
    };
    let text =
        |s: &Schedule| serde_json::to_string_pretty(s).map_err(|e| CommandError::failed(e.to_string()));
    write_atomically(&folder.join("schedule.json"), &text(&schedule)?)?;
    let program = std::env::current_exe()
        .map_err(|e| CommandError::failed(format!("cannot find this program: {e}")))?;
    let RunResult { report, process_failures, traffic } = run_schedule(&schedule, &program, folder)?;
    if options.keep.is_some() {
        let chart = super::draw::svg(&schedule, &read_records(folder)?);
        write_atomically(&folder.join("ownership.svg"), &chart.map_err(CommandError::failed)?)?;
    }
    println!(
        "seed {}, {} s, {} members ({} vote), {} units, floors of {}, {} actions",
        schedule.seed,
        schedule.ms / 1000,
        schedule.members,
        schedule.voters,
        schedule.units,
        schedule.floor,
        schedule.acts.len()
    );
    println!(
        "{} units spent; {:.0} datagrams, {:.0} bytes per second in total",
        report.spends, traffic.0, traffic.1
    );
    println!("most spent in a window: {:.2} of all units", report.spent);
    process_failures.iter().chain(report.violations.iter().take(10)).for_each(|text| println!("{text}"));
    println!("these runs have no calls, so the five rules are not checked");
    if report.violations.is_empty() && process_failures.is_empty() {
        println!("budgets: kept, at most {:.2} of the whole", report.owned);
        return Ok(());
    }
    if options.shrink > 0 {
        let smallest = super::shrink(&schedule, options.shrink, |s| {
            let result = tempfile::tempdir().ok().and_then(|f| run_schedule(s, &program, f.path()).ok());
            result.is_some_and(|r| !r.report.violations.is_empty() || !r.process_failures.is_empty())
        });
        println!(
            "smallest schedule that still fails, found in at most {} runs:\n{}",
            options.shrink,
            text(&smallest)?
        );
    }
    println!("budgets: broken, {} times", report.violations.len() + process_failures.len());
    Err(CommandError::failed(String::new()))
}
