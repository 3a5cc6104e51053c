//! A bad day of a fleet's budgets: members as processes, a network of relays, a schedule, and the sums from the records.

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

/// Times of a trial, in microseconds: short, so that a day of seconds sees many leases.
const VOTE: u64 = 300_000;
const LEASE: u64 = 1_000_000;
const BEAT: u64 = 100_000;
const REST: u64 = 150_000;
/// How far lines of two processes may be apart in time: they read one clock of one machine.
const FAIR: u64 = 1_000;

/// What a day came to.
#[derive(Debug)]
pub struct Played {
    /// From the records.
    pub sums: BudgetReport,
    /// Members that ended by themselves, or did not start.
    pub wrong: Vec<String>,
    /// Datagrams and bytes a second between all members.
    pub carried: (f64, f64),
}

struct Process(Child);

impl Process {
    fn signal(&self, name: &str) -> Result<(), CommandError> {
        // The standard library has only SIGKILL.
        let done = Command::new("kill").args([name, &self.0.id().to_string()]).status();
        match done {
            Ok(status) if status.success() => Ok(()),
            other => Err(CommandError::failed(format!("cannot send {name}: {other:?}"))),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait()); // already gone is as good
    }
}

struct Fleet<'a> {
    program: &'a Path,
    folder: &'a Path,
    net: &'a Net,
    fast: Vec<i64>,
    processes: Vec<Option<Process>>,
    /// Where each writes what it has to say.
    logs: Vec<PathBuf>,
    starts: u32,
    wrong: Vec<String>,
}

impl Fleet<'_> {
    fn start(&mut self, n: u16) -> Result<(), CommandError> {
        let at = usize::from(n);
        if self.processes[at].is_some() {
            return Ok(());
        }
        self.starts += 1;
        let file = |name: String| self.folder.join(name);
        self.logs[at] = file(format!("member-{n}-{}.log", self.starts));
        let log = File::create(&self.logs[at]);
        let log = log.map_err(|e| CommandError::failed(format!("cannot write a log: {e}")))?;
        let child = Command::new(self.program)
            .arg("fleet-member")
            .args(["--number", &n.to_string(), "--listen", &self.net.listen[at].to_string()])
            .arg("--trial")
            .arg(file("trial.json".into()))
            .arg("--key")
            .arg(file("key".into()))
            .arg("--record")
            .arg(file(format!("member-{n}-{}.jsonl", self.starts)))
            .args(["--clock-fast", &self.fast[at].to_string()])
            .stdin(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| CommandError::failed(format!("cannot start a member: {e}")))?;
        self.processes[at] = Some(Process(child));
        Ok(())
    }

    /// Those that ended though nobody killed them.
    fn look(&mut self) {
        for (n, p) in self.processes.iter_mut().enumerate() {
            if let Some(status) = p.as_mut().and_then(|p| p.0.try_wait().ok().flatten()) {
                let said = std::fs::read_to_string(&self.logs[n]).unwrap_or_default();
                let last = said.lines().last().unwrap_or("it said nothing");
                self.wrong.push(format!("member {n} ended by itself: {status}: {last}"));
                *p = None;
            }
        }
    }
}

fn lines(folder: &Path) -> Result<Vec<Line>, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot read the records: {e}"));
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let path: PathBuf = entry.map_err(failed)?.path();
        if path.extension().is_none_or(|e| e != "jsonl") {
            continue;
        }
        let mut text = std::fs::read_to_string(&path).map_err(failed)?;
        // A writer that was killed may have left half a line.
        text.truncate(text.rfind('\n').map_or(0, |at| at + 1));
        for line in text.lines() {
            let line = serde_json::from_str(line);
            all.push(line.map_err(|e| CommandError::failed(format!("{}: {e}", path.display())))?);
        }
    }
    Ok(all)
}

/// Plays a schedule with members of this program, and judges it. The folder keeps what they wrote.
pub fn play(schedule: &Schedule, program: &Path, folder: &Path) -> Result<Played, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("no network: {e}"));
    let net = Net::start(usize::from(schedule.members), schedule.seed).map_err(failed)?;
    net.change(|w| {
        (w.loss, w.twice) = (schedule.loss, schedule.twice);
        w.delay = Duration::from_millis(schedule.delay_ms);
    });
    let key = Key::generate(KeyKind::Shared).map_err(|e| CommandError::failed(format!("no key: {e}")))?;
    let path = folder.join("key");
    let file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
    file.and_then(|mut f| f.write_all(key.to_text().as_bytes()))
        .map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))?;
    let mut trial = Trial {
        version: 1,
        units: schedule.units,
        floor: schedule.floor,
        rest: REST,
        vote: VOTE,
        lease: LEASE,
        beat: BEAT,
        drift: schedule.drift,
        voters: (0..schedule.voters).collect(),
        peers: (0..).zip(net.known.iter().copied()).collect(),
        wants: (0..schedule.members).map(|n| (n, schedule.units)).collect(),
    };
    let tell = |trial: &Trial| -> Result<(), CommandError> {
        let text = serde_json::to_string(trial).map_err(|e| CommandError::failed(e.to_string()))?;
        write_atomically(&folder.join("trial.json"), &text)
    };
    tell(&trial)?;
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    let bound = i64::from(schedule.drift);
    let fast = (0..schedule.members).map(|_| rng.random_range(-bound..=bound)).collect();
    let processes = (0..schedule.members).map(|_| None).collect();
    let logs = vec![PathBuf::new(); usize::from(schedule.members)];
    let mut fleet = Fleet { program, folder, net: &net, fast, processes, logs, starts: 0, wrong: Vec::new() };
    (0..schedule.members).try_for_each(|n| fleet.start(n))?;
    let began = Instant::now();
    for (at, act) in &schedule.acts {
        std::thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
        fleet.look();
        let each = |who: &[u16], signal: &str| -> Result<(), CommandError> {
            let mut all = who.iter().filter_map(|n| fleet.processes[usize::from(*n)].as_ref());
            all.try_for_each(|p| p.signal(signal))
        };
        match act {
            Act::Kill { who } => who.iter().for_each(|n| fleet.processes[usize::from(*n)] = None),
            Act::Start { who } => who.iter().try_for_each(|n| fleet.start(*n))?,
            Act::Stop { who } => each(who, "-STOP")?,
            Act::Go { who } => each(who, "-CONT")?,
            Act::Cut { from, to } => net.change(|w| {
                w.cuts.extend(from.iter().flat_map(|f| to.iter().map(|t| (*f, *t))));
            }),
            Act::Heal => net.change(|w| w.cuts.clear()),
            Act::Whole { units } => {
                (trial.version, trial.units) = (trial.version + 1, *units);
                tell(&trial)?;
            }
        }
    }
    std::thread::sleep(Duration::from_millis(schedule.ms).saturating_sub(began.elapsed()));
    fleet.look();
    let (wrong, seconds) = (std::mem::take(&mut fleet.wrong), began.elapsed().as_secs_f64());
    drop(fleet);
    let sums = judge(&lines(folder)?, schedule.units, REST, FAIR);
    let per_second = |n: u64| n as f64 / seconds;
    let (count, bytes) = (net.carried.0.load(Ordering::Relaxed), net.carried.1.load(Ordering::Relaxed));
    Ok(Played { sums, wrong, carried: (per_second(count), per_second(bytes)) })
}

/// A day to play.
pub struct Day<'a> {
    /// Draws the schedule.
    pub seed: u64,
    /// How long it lasts.
    pub seconds: u64,
    /// Members; drawn where it is left out.
    pub fronts: Option<u32>,
    /// Plays this schedule instead.
    pub schedule: Option<&'a Path>,
    /// Keeps schedule, records, logs and a picture there.
    pub keep: Option<&'a Path>,
    /// Where it is broken: finds a smaller schedule that breaks as well, with so many plays at the most.
    pub shrink: usize,
}

fn read(path: &Path) -> Result<Schedule, CommandError> {
    let shown = path.display();
    let text = std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
    let schedule: Schedule = serde_json::from_slice(&text)
        .map_err(|e| CommandError::usage(format!("{shown}: not a schedule: {e}")))?;
    schedule.check().map_err(|what| CommandError::usage(format!("{shown}: {what}")))?;
    Ok(schedule)
}

/// `bad-day --budgets`: draws or reads a schedule, plays it, tells what it came to.
pub fn run(day: &Day<'_>) -> Result<(), CommandError> {
    let drawn = || {
        let members = day
            .fronts
            .map_or_else(|| StdRng::seed_from_u64(day.seed).random_range(3..=16), |n| n.max(2) as u16);
        Schedule::draw(day.seed, members, day.seconds * 1000)
    };
    let schedule = day.schedule.map_or_else(|| Ok(drawn()), read)?;
    let made;
    let folder = match day.keep {
        Some(folder) => {
            std::fs::create_dir(folder)
                .map_err(|e| CommandError::usage(format!("{}: {e}", folder.display())))?;
            folder
        }
        None => {
            made =
                tempfile::tempdir().map_err(|e| CommandError::failed(format!("no temporary folder: {e}")))?;
            made.path()
        }
    };
    let text =
        |s: &Schedule| serde_json::to_string_pretty(s).map_err(|e| CommandError::failed(e.to_string()));
    write_atomically(&folder.join("schedule.json"), &text(&schedule)?)?;
    let program = std::env::current_exe()
        .map_err(|e| CommandError::failed(format!("cannot find this program: {e}")))?;
    let Played { sums, wrong, carried } = play(&schedule, &program, folder)?;
    if day.keep.is_some() {
        let picture = super::draw::svg(&schedule, &lines(folder)?);
        write_atomically(&folder.join("ownership.svg"), &picture.map_err(CommandError::failed)?)?;
    }
    println!(
        "seed {}, {} s, {} members ({} vote), {} units, floors of {}, {} troubles",
        schedule.seed,
        schedule.ms / 1000,
        schedule.members,
        schedule.voters,
        schedule.units,
        schedule.floor,
        schedule.acts.len()
    );
    println!(
        "{} units spent; {:.0} datagrams, {:.0} bytes a second in all",
        sums.spends, carried.0, carried.1
    );
    println!("most spent in a window: {:.2} of the whole", sums.spent);
    wrong.iter().chain(sums.violations.iter().take(10)).for_each(|w| println!("{w}"));
    println!("no calls are played on these days, so that the five rules are not judged");
    if sums.violations.is_empty() && wrong.is_empty() {
        println!("budgets: kept, at most {:.2} of the whole", sums.owned);
        return Ok(());
    }
    if day.shrink > 0 {
        let least = super::shrink(&schedule, day.shrink, |s| {
            let again = tempfile::tempdir().ok().and_then(|f| play(s, &program, f.path()).ok());
            again.is_some_and(|p| !p.sums.violations.is_empty() || !p.wrong.is_empty())
        });
        println!("the smallest that still breaks, by {} plays at the most:\n{}", day.shrink, text(&least)?);
    }
    println!("budgets: broken, {} times", sums.violations.len() + wrong.len());
    Err(CommandError::failed(String::new()))
}
