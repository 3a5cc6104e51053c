//! The fleet as processes of this machine, each started and ended by its own id.

use super::script::Act;
use super::world::World;
use crate::standin::RunnerFile;
use crate::CommandError;
use badgerwind_check::Event;
use badgerwind_protocol::list::{Runner, State};
use badgerwind_standins::list::Lag;
use badgerwind_standins::record::{now, Recorder};
use badgerwind_standins::runner::{FaultCommand, Switch};
use badgerwind_webhook::{Key, KeyKind};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a process may take to serve.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// A process that dies with its handle.
struct Process {
    name: String,
    child: Child,
}

impl Process {
    fn kill(mut self) {
        self.end();
    }
    fn end(&mut self) {
        let _ = self.child.kill(); // already gone is as good
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Programs to run: the gateway may be one put together differently.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Runs `standin`.
    pub standins: PathBuf,
    /// Runs `serve`.
    pub gateway: PathBuf,
}

/// The fleet.
pub struct Fleet {
    world: World,
    folder: PathBuf,
    programs: Programs,
    recorder: Recorder,
    list: SocketAddr,
    store: SocketAddr,
    fronts: Vec<SocketAddr>,
    runners: BTreeMap<u32, SocketAddr>,
    /// Not told of to the list yet, and when to.
    notices: Vec<(u64, Runner)>,
    processes: BTreeMap<String, Process>,
    starts: u32,
    published: u64,
    ports: Ports,
}

fn failed(what: &str, e: impl std::fmt::Display) -> CommandError {
    CommandError::failed(format!("{what}: {e}"))
}

/// Ports of one fleet alone, under the range from which outgoing connections take theirs. The first of a block is
/// held for as long as the fleet lives and keeps other fleets out of it: a runner or front end that is down finds
/// its port free when it starts again.
struct Ports {
    _held: TcpListener,
    rest: std::ops::Range<u16>,
}

/// Ports of a block.
const BLOCK: u16 = 64;

impl Ports {
    fn take(rng: &mut StdRng) -> Result<Ports, CommandError> {
        for _ in 0..1_000 {
            let first = 20_000 + BLOCK * rng.random_range(0..187);
            if let Ok(held) = TcpListener::bind(("127.0.0.1", first)) {
                return Ok(Ports { _held: held, rest: first + 1..first + BLOCK });
            }
        }
        Err(CommandError::failed("no block of free ports found"))
    }

    fn next(&mut self) -> Result<SocketAddr, CommandError> {
        let free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
        let port =
            self.rest.find(free).ok_or_else(|| CommandError::failed("no free port left in the block"))?;
        Ok(SocketAddr::from(([127, 0, 0, 1], port)))
    }
}

impl Fleet {
    /// Starts all of it; returns once every process serves.
    pub fn start(world: World, folder: &Path, programs: Programs) -> Result<Fleet, CommandError> {
        // Settings name files from their own place, so that a folder is named in full.
        let folder = &std::path::absolute(folder).map_err(|e| failed("cannot find the folder", e))?;
        // Ports differ from run to run: two days may run side by side.
        let mut rng = StdRng::seed_from_u64(now());
        let file = folder.join("record-day.jsonl");
        let recorder = Recorder::file(&file).map_err(|e| failed("cannot write the record", e))?;
        let keys = folder.join("keys");
        std::fs::create_dir_all(&keys).map_err(|e| failed("cannot make a folder", e))?;
        for name in world.tenants.iter().map(|t| t.0).chain(["runners"]) {
            let key = Key::generate(KeyKind::Shared).map_err(|e| failed("no random bytes", e))?;
            crate::keys::write_key(&keys.join(format!("{name}.key")), &key)?;
        }
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fleet = Fleet {
            folder: folder.to_owned(),
            programs,
            recorder,
            list: none,
            store: none,
            fronts: Vec::new(),
            runners: BTreeMap::new(),
            notices: Vec::new(),
            processes: BTreeMap::new(),
            starts: 0,
            published: 0,
            ports: Ports::take(&mut rng)?,
            world,
        };
        if fleet.world.control.is_some() {
            fleet.world.control = Some(fleet.ports.next()?);
            fleet.start_control()?;
        }
        let store = fleet.world.store;
        fleet.store = fleet.standin("store", "store", &store, none, &[])?;
        for id in fleet.world.ids().collect::<Vec<_>>() {
            let address = fleet.ports.next()?;
            fleet.start_runner(id, address, false)?;
        }
        let runners: Vec<Runner> =
            fleet.runners.keys().map(|id| fleet.listed(*id, State::Ready, None)).collect();
        fleet.list = fleet.standin("list", "list", &runners, none, &[])?;
        for number in 0..fleet.world.fronts {
            let address = fleet.ports.next()?;
            fleet.fronts.push(address);
            fleet.start_front(number)?;
        }
        Ok(fleet)
    }

    fn listed(&self, id: u32, state: State, started: Option<u64>) -> Runner {
        Runner { id, address: self.runners[&id], zone: 0, cell: 0, kind: 0, size: 1.0, state, started }
    }

    /// Starts a program with its output in a file of the folder.
    fn spawn(&mut self, name: &str, program: &Path, args: &[String]) -> Result<(), CommandError> {
        let log = self.folder.join(format!("{name}.log"));
        let log =
            File::options().create(true).append(true).open(&log).map_err(|e| failed("cannot log", e))?;
        let other = log.try_clone().map_err(|e| failed("cannot log", e))?;
        let child = Command::new(program).args(args).stdin(Stdio::null()).stdout(log).stderr(other).spawn();
        let child = child.map_err(|e| failed(&format!("cannot start {}", program.display()), e))?;
        self.processes.insert(name.to_owned(), Process { name: name.to_owned(), child });
        Ok(())
    }

    /// Waits for a ready file and returns the address in it.
    fn ready(&mut self, name: &str, file: &Path, field: &str) -> Result<SocketAddr, CommandError> {
        let until = Instant::now() + READY_WITHIN;
        loop {
            if let Ok(text) = std::fs::read_to_string(file) {
                let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                if let Some(address) = value[field].as_str().and_then(|a| a.parse().ok()) {
                    return Ok(address);
                }
            }
            let exited = self.processes.get_mut(name).and_then(|p| p.child.try_wait().ok().flatten());
            if exited.is_some() || Instant::now() > until {
                let log =
                    std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
                return Err(CommandError::failed(format!("{name} does not serve:\n{log}")));
            }
            sleep(Duration::from_millis(5));
        }
    }

    fn standin(
        &mut self,
        kind: &str,
        name: &str,
        spec: &impl Serialize,
        listen: SocketAddr,
        more: &[&str],
    ) -> Result<SocketAddr, CommandError> {
        self.starts += 1;
        let spec_file = self.folder.join(format!("{name}.json"));
        let ready = self.folder.join(format!("{name}-{}.ready", self.starts));
        let text = serde_json::to_string(spec).map_err(|e| failed("cannot write a spec", e))?;
        crate::write_atomically(&spec_file, &text)?;
        let record = self.folder.join(format!("record-{name}.jsonl"));
        let mut args = vec!["standin".to_owned(), kind.to_owned()];
        let paths = [("--spec", &spec_file), ("--ready-file", &ready), ("--record", &record)];
        args.extend(paths.iter().flat_map(|(n, p)| [(*n).to_owned(), p.display().to_string()]));
        args.extend(["--listen".to_owned(), listen.to_string()]);
        args.extend(more.iter().map(|m| (*m).to_owned()));
        let program = self.programs.standins.clone();
        self.spawn(name, &program, &args)?;
        self.ready(name, &ready, "address")
    }

    fn start_runner(&mut self, id: u32, address: SocketAddr, cold: bool) -> Result<(), CommandError> {
        let file = RunnerFile {
            id,
            spec: self.world.runners[id as usize - 1].clone(),
            fenced: match self.world.fenced {
                true => {
                    self.world.classes.iter().filter(|c| !c.repeatable).map(|c| c.name.to_owned()).collect()
                }
                false => vec![],
            },
            store: Some(self.store),
            key_file: Some(self.folder.join("keys/runners.key")),
        };
        let more: &[&str] = if cold { &["--cold"] } else { &[] };
        let address = self.standin("runner", &format!("runner-{id}"), &file, address, more)?;
        self.runners.insert(id, address);
        Ok(())
    }

    fn start_control(&mut self) -> Result<(), CommandError> {
        let Some(at) = self.world.control else { return Ok(()) };
        self.starts += 1;
        let ready = self.folder.join(format!("control-{}.ready", self.starts));
        let versions = self.folder.join("versions");
        std::fs::create_dir_all(versions.join("classes")).map_err(|e| failed("cannot make a folder", e))?;
        let paths = [versions.display().to_string(), ready.display().to_string()];
        let args = ["control", "serve", &paths[0], "--ready-file", &paths[1], "--listen", &at.to_string()];
        let waves =
            ["--first", "0.34", "--settle-ms", "200", "--most-rejected", "0.5", "--most-worse", "0.5"];
        let args: Vec<String> = args.iter().chain(&waves).map(|a| (*a).to_owned()).collect();
        let program = self.programs.standins.clone();
        self.spawn("control", &program, &args)?;
        self.ready("control", &ready, "address").map(|_| ())
    }

    fn start_front(&mut self, number: u32) -> Result<(), CommandError> {
        self.starts += 1;
        let name = format!("front-{number}");
        let (file, cache) =
            (self.folder.join(format!("{name}.xml")), self.folder.join(format!("{name}-list.json")));
        let keys = self.folder.join("keys");
        let text = self.world.settings(number, self.fronts[number as usize], self.list, &keys, &cache);
        crate::write_atomically(&file, &text)?;
        let ready = self.folder.join(format!("{name}-{}.ready", self.starts));
        let args = ["serve", "--settings", &file.display().to_string(), "--ready-file"].map(str::to_owned);
        let args = [&args[..], &[ready.display().to_string()]].concat();
        let program = self.programs.gateway.clone();
        self.spawn(&name, &program, &args)?;
        self.ready(&name, &ready, "webhook")?;
        self.recorder.add(Event::FrontStarted { front: number });
        Ok(())
    }

    /// Where the front ends listen.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// Where a runner listens.
    pub fn runner(&self, id: u32) -> Option<SocketAddr> {
        self.runners.get(&id).copied()
    }

    /// The process id of a front end.
    pub fn front_id(&self, number: u32) -> Option<u32> {
        self.processes.get(&format!("front-{number}")).map(|p| p.child.id())
    }

    /// Starts a process of senders with its plan.
    pub fn start_senders(
        &mut self,
        n: usize,
        plan: &impl Serialize,
        tenant: &str,
    ) -> Result<(), CommandError> {
        let name = format!("senders-{n}");
        let spec = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string(plan).map_err(|e| failed("cannot write a plan", e))?;
        crate::write_atomically(&spec, &text)?;
        let key = self.folder.join(format!("keys/{tenant}.key"));
        let record = self.folder.join(format!("record-{name}.jsonl"));
        let mut args = vec!["standin".to_owned(), "senders".to_owned()];
        let paths = [("--spec", &spec), ("--key-file", &key), ("--record", &record)];
        args.extend(paths.iter().flat_map(|(n, p)| [(*n).to_owned(), p.display().to_string()]));
        let program = self.programs.standins.clone();
        self.spawn(&name, &program, &args)
    }

    /// True once all senders have ended.
    pub fn senders_done(&mut self) -> bool {
        let senders = self.processes.iter_mut().filter(|(n, _)| n.starts_with("senders"));
        let mut done = true;
        for (_, p) in senders {
            done &= !matches!(p.child.try_wait(), Ok(None));
        }
        done
    }

    /// Processes that have ended though nobody ended them.
    pub fn fallen(&mut self) -> Vec<String> {
        let mut fallen = Vec::new();
        for p in self.processes.values_mut().filter(|p| !p.name.starts_with("senders")) {
            if let Ok(Some(status)) = p.child.try_wait() {
                fallen.push(format!("{} ended by itself: {status}", p.name));
            }
        }
        fallen
    }

    fn command(&self, to: SocketAddr, path: &str, value: &impl Serialize) {
        // A stand-in that is down or hangs takes no command; the day goes on.
        let late = async {
            smol::Timer::after(Duration::from_secs(1)).await;
            Err("no answer".to_owned())
        };
        let sent = badgerwind_standins::command(to, path, value);
        let _ = smol::block_on(futures_lite::future::or(sent, late));
    }

    fn tell_list(&self, runner: &Runner) {
        self.command(self.list, "/standin/runner", runner);
    }

    /// Tells the list what has become due.
    pub fn pass(&mut self) {
        let at = now();
        let (due, later) = std::mem::take(&mut self.notices).into_iter().partition(|(t, _)| *t <= at);
        self.notices = later;
        due.iter().for_each(|(_, runner): &(u64, Runner)| self.tell_list(runner));
    }

    /// Does something to the fleet.
    pub fn act(&mut self, act: &Act) -> Result<(), CommandError> {
        match act {
            Act::KillFront { front } => {
                if let Some(process) = self.processes.remove(&format!("front-{front}")) {
                    self.recorder.add(Event::FrontKilled { front: *front });
                    process.kill();
                    // On a busy machine some time passes between the word and the deed: it died in between.
                    self.recorder.add(Event::FrontKilled { front: *front });
                }
            }
            Act::StartFront { front } => {
                if !self.processes.contains_key(&format!("front-{front}")) {
                    self.start_front(*front)?;
                }
            }
            Act::KillRunner { runner, notice_ms } => {
                if let Some(process) = self.processes.remove(&format!("runner-{runner}")) {
                    process.kill();
                    self.recorder.add(Event::RunnerKilled { runner: *runner });
                    let gone = self.listed(*runner, State::Gone, None);
                    self.notices.push((now() + notice_ms * 1000, gone));
                }
            }
            Act::StartRunner { runner } => {
                if !self.processes.contains_key(&format!("runner-{runner}")) {
                    let (address, started) = (self.runners[runner], now());
                    self.start_runner(*runner, address, true)?;
                    self.notices.retain(|(_, r)| r.id != *runner);
                    self.tell_list(&self.listed(*runner, State::Ready, Some(started)));
                }
            }
            Act::Drain { runner } => self.tell_list(&self.listed(*runner, State::Draining, None)),
            Act::TurnAway { runner } => {
                self.command(self.runners[runner], "/standin/drain", &Switch { on: true });
            }
            Act::Fault { runner, on, fault } => {
                let command = FaultCommand { on: *on, fault: fault.clone() };
                self.command(self.runners[runner], "/standin/fault", &command);
            }
            Act::Store { times } => {
                self.command(self.store, "/standin/slow", &serde_json::json!({ "times": times }));
            }
            Act::Lag { ms } => self.command(self.list, "/standin/lag", &Lag { ms: *ms }),
            Act::Publish => {
                self.published += 1;
                let file = self.folder.join(format!("versions/classes/{}.xml", self.published));
                crate::write_atomically(&file, &self.world.classes_version(self.published))?;
            }
            Act::KillControl => {
                if let Some(process) = self.processes.remove("control") {
                    process.kill();
                }
            }
            Act::StartControl => {
                if !self.processes.contains_key("control") {
                    self.start_control()?;
                }
            }
            Act::Release => {
                for address in self.runners.values() {
                    self.command(*address, "/standin/release", &serde_json::json!({}));
                }
            }
        }
        Ok(())
    }

    /// Asks the front ends to stop in an orderly way; those that do not, or end with anything but 0.
    pub fn stop_fronts(&mut self) -> Vec<String> {
        let mut wrong = Vec::new();
        let names: Vec<String> = self.processes.keys().filter(|n| n.starts_with("front")).cloned().collect();
        for name in &names {
            let id = self.processes[name].child.id().to_string();
            // The shell's own kill sends SIGTERM; the standard library has only SIGKILL.
            let _ = Command::new("kill").args(["-TERM", &id]).status();
        }
        let until = Instant::now() + Duration::from_secs(10);
        for name in names {
            let Some(mut p) = self.processes.remove(&name) else { continue };
            loop {
                match p.child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(Some(status)) => {
                        wrong.push(format!("{name} stopped with {status}"));
                        break;
                    }
                    _ if Instant::now() > until => {
                        wrong.push(format!("{name} did not stop"));
                        break;
                    }
                    _ => sleep(Duration::from_millis(10)),
                }
            }
        }
        wrong
    }
}
