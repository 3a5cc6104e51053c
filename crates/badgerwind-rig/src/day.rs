//! A run of the register with random faults: members as processes, a relay for each direction between two of
//! them, and the check of their records.

use crate::member::{wall, Trial};
use crate::RigError;
use badgerwind_check::register::{judge, Line, RegisterReport};
use badgerwind_standins::relay::{Flow, Link, Relay};
use badgerwind_webhook::{Key, KeyKind};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Tolerated difference of the times of two processes' lines, in microseconds; they read the same clock.
const CLOCK_TOLERANCE: u64 = 2_000;

/// Arguments of a run.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Seed of the members, voters, clocks and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of the run
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=120))]
    seconds: u64,
    /// Keep records and logs in this folder, which must be new
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// A fault or its end.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kills these members.
    Kill(Vec<usize>),
    /// Starts these members again, with their disks.
    Start(Vec<usize>),
    /// Stops these members by `SIGSTOP`.
    Stop(Vec<usize>),
    /// Continues these members.
    Continue(Vec<usize>),
    /// Silences the links from the first to the second.
    Cut(Vec<usize>, Vec<usize>),
    /// Opens all links, and ends existing connections so that no old bytes arrive late.
    Heal,
}

/// Returns a loopback address that is unique to each fleet of each process, so that nobody else is assigned
/// its ports while a member is down.
fn own_address() -> Ipv4Addr {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id().to_be_bytes(), FLEETS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 16 + (pid[2] & 0x7f), pid[3], 1 + (n % 250) as u8)
}

struct Process(Child);

impl Process {
    fn signal(&self, name: &str) -> Result<(), RigError> {
        // The standard library has only SIGKILL.
        Command::new("kill").args([name, &self.0.id().to_string()]).status().map_err(RigError::Process)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait()); // it may have ended already
    }
}

/// Members that run as processes.
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    listen: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
    members: Vec<Option<Process>>,
    clock_skews: Vec<i64>,
    voters: usize,
    starts: usize,
    /// Further arguments of each member.
    arguments: Vec<String>,
    /// Descriptions of members that exited without being killed.
    pub unexpected_exits: Vec<String>,
    /// Log file of each member's present process.
    logs: Vec<PathBuf>,
}

impl Fleet {
    /// Starts members, the first of which are the voters, with a relay for each direction between two of
    /// them. `program` is the rig's own.
    pub fn start(
        program: &Path,
        folder: &Path,
        members: usize,
        trial: &Trial,
        clock_skews: Vec<i64>,
    ) -> Result<Fleet, RigError> {
        let mut fleet = Fleet::prepare(program, folder, members, trial, clock_skews, true)?;
        fleet.apply(&Fault::Start((0..members).collect()))?;
        Ok(fleet)
    }

    /// Like [`Fleet::start`], without relays, so that links cannot be cut, and with further arguments for
    /// each member.
    pub fn start_direct(
        program: &Path,
        folder: &Path,
        members: usize,
        trial: &Trial,
        arguments: &[&str],
    ) -> Result<Fleet, RigError> {
        let mut fleet = Fleet::prepare(program, folder, members, trial, vec![0; members], false)?;
        fleet.arguments = arguments.iter().map(|a| (*a).to_owned()).collect();
        fleet.apply(&Fault::Start((0..members).collect()))?;
        Ok(fleet)
    }

    /// Indices and process ids of the running members.
    pub fn processes(&self) -> Vec<(usize, u32)> {
        let running = self.members.iter().enumerate();
        running.filter_map(|(n, p)| p.as_ref().map(|p| (n, p.0.id()))).collect()
    }

    fn prepare(
        program: &Path,
        folder: &Path,
        members: usize,
        trial: &Trial,
        clock_skews: Vec<i64>,
        with_relays: bool,
    ) -> Result<Fleet, RigError> {
        let file = |name: &str| folder.join(name);
        let write = |name: &str, text: Vec<u8>| {
            let path = file(name);
            let new = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
            new.and_then(|mut f| f.write_all(&text))
                .map_err(|e| RigError::File(path.display().to_string(), e))
        };
        let json = |text: serde_json::Result<Vec<u8>>| text.map_err(|e| RigError::Text("a trial".into(), e));
        write("trial.json", json(serde_json::to_vec(trial))?)?;
        let key = Key::generate(KeyKind::Shared).map_err(|e| RigError::Member(e.to_string()))?;
        write("key", key.to_text().as_bytes().to_vec())?;
        let own = own_address();
        // Kept open until all ports are assigned, so that they differ; the members bind them next.
        let free: Vec<_> = (0..members)
            .map(|_| TcpListener::bind((own, 0)))
            .collect::<Result<_, _>>()
            .map_err(RigError::Network)?;
        let listen: Vec<_> =
            free.iter().map(TcpListener::local_addr).collect::<Result<_, _>>().map_err(RigError::Network)?;
        drop(free);
        let mut relays = BTreeMap::new();
        for from in 0..members {
            let mut peers = BTreeMap::new();
            for to in (0..members).filter(|to| *to != from) {
                if !with_relays {
                    peers.insert(to as u16, listen[to]);
                    continue;
                }
                let relay = smol::block_on(Relay::start(listen[to])).map_err(RigError::Network)?;
                peers.insert(to as u16, relay.address);
                relays.insert((from, to), relay);
            }
            write(&format!("peers-{from}.json"), json(serde_json::to_vec(&peers))?)?;
        }
        let voters = trial.voters.len();
        for v in 0..voters {
            let made = badgerwind_fleet::member::create_disk(&file(&format!("disk-{v}")), &trial.settings());
            made.map_err(|e| RigError::Member(e.to_string()))?;
        }
        let none = (0..members).map(|_| None).collect();
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Ok(Fleet {
            program,
            folder,
            listen,
            relays,
            members: none,
            clock_skews,
            voters,
            starts: 0,
            arguments: Vec::new(),
            logs: vec![PathBuf::new(); members],
            unexpected_exits: Vec::new(),
        })
    }

    fn start_member(&mut self, n: usize) -> Result<(), RigError> {
        if self.members[n].is_some() {
            return Ok(());
        }
        self.starts += 1;
        let file = |name: String| self.folder.join(name);
        self.logs[n] = file(format!("member-{n}-{}.log", self.starts));
        let log = &self.logs[n];
        let log = File::create(log).map_err(|e| RigError::File(log.display().to_string(), e))?;
        let mut command = Command::new(&self.program);
        command.arg("member").args(["--number", &n.to_string(), "--listen", &self.listen[n].to_string()]);
        command.arg("--trial").arg(file("trial.json".into())).arg("--key").arg(file("key".into()));
        command.arg("--peers").arg(file(format!("peers-{n}.json")));
        command.arg("--record").arg(file(format!("member-{n}-{}.jsonl", self.starts)));
        command.args(["--clock-fast", &self.clock_skews[n].to_string()]);
        if n < self.voters {
            command.arg("--disk").arg(file(format!("disk-{n}")));
        }
        command.args(&self.arguments);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.members[n] = Some(Process(child.map_err(RigError::Process)?));
        Ok(())
    }

    /// Applies a fault or its end.
    pub fn apply(&mut self, fault: &Fault) -> Result<(), RigError> {
        self.check_exits();
        let signal = |members: &[usize], name: &str| -> Result<(), RigError> {
            members.iter().filter_map(|n| self.members[*n].as_ref()).try_for_each(|p| p.signal(name))
        };
        match fault {
            Fault::Kill(who) => who.iter().for_each(|n| self.members[*n] = None),
            Fault::Start(who) => who.iter().try_for_each(|n| self.start_member(*n))?,
            Fault::Stop(who) => signal(who, "-STOP")?,
            Fault::Continue(who) => signal(who, "-CONT")?,
            Fault::Cut(from, to) => {
                let cut = Link { forward: Flow::Silent, backward: Flow::Silent, broken: false };
                let both = |a: &usize, b: &usize| self.relays.get(&(*a, *b));
                from.iter().flat_map(|f| to.iter().filter_map(move |t| both(f, t))).for_each(|r| r.set(cut));
            }
            Fault::Heal => {
                let all = |link: Link| self.relays.values().for_each(|r| r.set(link));
                all(Link { broken: true, ..Link::default() });
                // Gives each connection's task time to notice; one that does not would keep its connection.
                std::thread::sleep(Duration::from_millis(20));
                all(Link::default());
            }
        }
        Ok(())
    }

    fn check_exits(&mut self) {
        for (n, p) in self.members.iter_mut().enumerate() {
            if let Some(status) = p.as_mut().and_then(|p| p.0.try_wait().ok().flatten()) {
                let logged = std::fs::read_to_string(&self.logs[n]).unwrap_or_default();
                let last = logged.lines().last().unwrap_or("it logged nothing");
                self.unexpected_exits.push(format!("member {n} ended by itself: {status}: {last}"));
                *p = None;
            }
        }
    }

    /// All lines that members have recorded so far.
    pub fn lines(&self) -> Result<Vec<Line>, RigError> {
        let shown = self.folder.display().to_string();
        let failed = |e| RigError::File(shown.clone(), e);
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_none_or(|e| e != "jsonl") {
                continue;
            }
            let mut text = std::fs::read_to_string(&path).map_err(failed)?;
            // A killed writer may have left a truncated line.
            text.truncate(text.rfind('\n').map_or(0, |at| at + 1));
            for line in text.lines() {
                let line = serde_json::from_str(line);
                all.push(line.map_err(|e| RigError::Text(path.display().to_string(), e))?);
            }
        }
        Ok(all)
    }

    /// Waits until a condition on the recorded lines holds; returns false on a timeout or an unexpected exit.
    pub fn until(&mut self, timeout: Duration, holds: impl Fn(&[Line]) -> bool) -> Result<bool, RigError> {
        let end = Instant::now() + timeout;
        loop {
            if holds(&self.lines()?) {
                return Ok(true);
            }
            self.check_exits();
            if Instant::now() > end || !self.unexpected_exits.is_empty() {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Checks the records.
    pub fn judge(&mut self, lease: u64) -> Result<RegisterReport, RigError> {
        self.check_exits();
        Ok(judge(&self.lines()?, CLOCK_TOLERANCE, lease / 10))
    }
}

/// The members that have acted since a time, in microseconds.
pub fn acting_since(lines: &[Line], since: u64) -> Vec<u16> {
    use badgerwind_check::register::Observation;
    let acts = lines.iter().filter(|l| l.at > since && matches!(l.observation, Observation::Acted { .. }));
    let mut who: Vec<u16> = acts.map(|l| l.member).collect();
    who.sort_unstable();
    who.dedup();
    who
}

/// Draws members, voters, clocks and faults from a seed.
fn draw(seed: u64, ms: u64) -> (usize, Trial, Vec<i64>, Vec<(u64, Fault)>) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x4e61);
    let voters: usize = [3, 3, 5][rng.random_range(0..3)];
    let members = voters + rng.random_range(1..5);
    let drift = [0, 10_000][rng.random_range(0..2)];
    let trial = Trial {
        voters: (0..voters as u16).collect(),
        lease: 900_000,
        heartbeat_interval: 200_000,
        drift_ppm: drift,
    };
    let clock_skews = (0..members).map(|_| rng.random_range(-i64::from(drift)..=i64::from(drift))).collect();
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=4) {
        let from = rng.random_range(ms * 25 / 100..ms * 50 / 100);
        let to = from + [100, 700, 1600][rng.random_range(0..3)];
        let mut who: Vec<usize> = (0..members).collect();
        who.shuffle(&mut rng);
        let others = who.split_off([1, 1, members / 2, members * 7 / 10][rng.random_range(0..4)].max(1));
        match rng.random_range(0..5) {
            0 => faults.extend([(from, Fault::Kill(who.clone())), (to, Fault::Start(who))]),
            1 => faults.extend([(from, Fault::Stop(who.clone())), (to, Fault::Continue(who))]),
            2 => faults.extend([
                (from, Fault::Cut(who.clone(), others.clone())),
                (from, Fault::Cut(others, who)),
                (to, Fault::Heal),
            ]),
            3 => faults.extend([(from, Fault::Cut(who, others)), (to, Fault::Heal)]),
            _ => faults.extend([(from, Fault::Cut(others, who)), (to, Fault::Heal)]),
        }
    }
    faults.sort_by_key(|f| f.0);
    (members, trial, clock_skews, faults)
}

/// Runs members with random faults and prints the result; false if a violation was found.
pub fn run(args: &Args) -> Result<bool, RigError> {
    let ms = args.seconds * 1000;
    let (members, trial, clock_skews, faults) = draw(args.seed, ms);
    let temporary;
    let folder = match &args.keep {
        Some(folder) => {
            std::fs::create_dir(folder).map_err(|e| RigError::File(folder.display().to_string(), e))?;
            folder.as_path()
        }
        None => {
            temporary = tempfile::tempdir().map_err(|e| RigError::File("a temporary folder".into(), e))?;
            temporary.path()
        }
    };
    let program = std::env::current_exe().map_err(RigError::Process)?;
    let mut fleet = Fleet::start(&program, folder, members, &trial, clock_skews)?;
    let started = Instant::now();
    for (at, fault) in &faults {
        std::thread::sleep(Duration::from_millis(*at).saturating_sub(started.elapsed()));
        fleet.apply(fault)?;
    }
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(started.elapsed()));
    let report = fleet.judge(trial.lease)?;
    let active = acting_since(&fleet.lines()?, wall() - trial.lease).len();
    println!(
        "seed {}, {} s, {members} members ({} vote), clocks within {} ppm, {} faults",
        args.seed,
        args.seconds,
        trial.voters.len(),
        trial.drift_ppm,
        faults.len()
    );
    println!(
        "{} effects, {} of them shortly before the delivered end of their incarnation; {active} of {members} act at the end",
        report.acts, report.near_end
    );
    fleet.unexpected_exits.iter().chain(report.violations.iter().take(10)).for_each(|w| println!("{w}"));
    let violations = report.violations.len() + fleet.unexpected_exits.len();
    if violations > 0 {
        println!("register: BROKEN, {violations} times");
    } else if report.ends == 0 {
        println!("register: not exercised, {} lives and none ended", report.incarnations);
    } else {
        println!(
            "register: kept, {} lives, {} ends, {} words",
            report.incarnations, report.ends, report.announcements
        );
    }
    Ok(violations == 0)
}
