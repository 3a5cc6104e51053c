//! A front end's process with its configuration, and what stands around it.

use badgerwind_standins::platform::discovery::DiscoveryServer;
use badgerwind_standins::platform::executor::{succeed, Executor, ReceivedLine, ScriptStep};
use badgerwind_standins::platform::web::{Answer, WebConnection, WebRequest};
use badgerwind_standins::platform::{configuration, list_member, wait_until};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

/// What an executor does with a line.
pub type Script = Box<dyn Fn(&ReceivedLine) -> Vec<ScriptStep> + Send + Sync>;

/// A front end's process.
pub struct Front {
    pub address: SocketAddr,
    pub config: Value,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
    _folder: tempfile::TempDir,
}

pub struct Rig {
    pub board: DiscoveryServer,
    pub executors: Vec<Executor>,
    front: Front,
}

impl std::ops::Deref for Rig {
    type Target = Front;
    fn deref(&self) -> &Front {
        &self.front
    }
}

impl std::ops::DerefMut for Rig {
    fn deref_mut(&mut self) -> &mut Front {
        &mut self.front
    }
}

/// Has the front end wait longer for an executor's word than a starved machine takes: what is silent for six fifths of its class's
/// aim is given up by the front end's own decision, and tried elsewhere.
pub fn patient(config: &mut Value) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["aim"] = 5_000_000.into();
    }
}

/// The id under which an executor of the rig is listed.
pub fn id(n: usize) -> u32 {
    0xa000_0000 + n as u32
}

impl Rig {
    /// A front end with executors that do what these scripts say.
    pub fn start(scripts: Vec<Script>) -> Rig {
        Rig::with(scripts, |_| {})
    }

    /// The same, with a configuration changed before it starts.
    pub fn with(scripts: Vec<Script>, change: impl FnOnce(&mut Value)) -> Rig {
        let board = DiscoveryServer::start(2).unwrap();
        let executors: Vec<_> = scripts.into_iter().map(|s| Executor::start(s).unwrap()).collect();
        let listed = executors.iter().enumerate().map(|(n, e)| list_member(id(n), e.address, "in_service"));
        let mut config =
            configuration("127.0.0.1:0".parse().unwrap(), board.address, &listed.collect::<Vec<_>>());
        change(&mut config);
        Rig { board, executors, front: Front::start(config) }
    }

    /// One executor that does well.
    pub fn well() -> Rig {
        Rig::start(vec![Box::new(succeed)])
    }
}

impl Front {
    /// Starts one.
    pub fn start(config: Value) -> Front {
        let level = std::env::var("BADGERWIND_TEST_LOG").unwrap_or_else(|_| "info".into());
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        Front::start_by(command.args(["platform", "--log", &level]), config)
    }

    /// One on a machine that gives it so many descriptors, whatever its configuration says.
    pub fn start_with_descriptors(most: usize, config: Value) -> Front {
        let line = format!("ulimit -n {most}; exec \"$0\" platform");
        Front::start_by(Command::new("sh").args(["-c", &line, env!("CARGO_BIN_EXE_badgerwind")]), config)
    }

    fn start_by(command: &mut Command, config: Value) -> Front {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = command.env("BALANCER_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
        let (tell, told) = mpsc::channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let lines_kept = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                lines_kept.lock().unwrap().push(line.clone());
                if let Some((_, rest)) = line.split_once("address=") {
                    let _ = tell.send(rest.split(' ').next().unwrap().parse().unwrap());
                }
            }
        });
        let address = match told.recv_timeout(Duration::from_secs(20)) {
            Ok(address) => address,
            // At once where it has ended: nothing more can come of its log then.
            Err(e) => {
                let _ = (child.kill(), child.wait()); // it may have ended
                panic!("the front end does not serve, {e}:\n{}", log.lock().unwrap().join("\n"));
            }
        };
        Front { address, config, child, log, path, _folder: folder }
    }

    /// Waits until its log has a line with all of these words.
    pub fn logs(&self, words: &[&str]) -> bool {
        let has = |line: &String| words.iter().all(|w| line.contains(w));
        wait_until(|| self.log.lock().unwrap().iter().any(has))
    }

    /// Lines of its log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Takes its core away, from now on.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        assert!(wait_until(|| std::fs::read_to_string(&path).unwrap().contains(") T ")));
    }

    /// Gives it back.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends it as a machine's failure would.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn web(&self) -> WebConnection {
        WebConnection::connect(self.address).unwrap()
    }

    /// One call on a connection of its own.
    pub fn call(&self, ask: &WebRequest) -> Answer {
        let mut web = self.web();
        web.send(1, ask).unwrap();
        web.answer().unwrap()
    }

    /// Whether a front end's health says that it serves.
    pub fn health(&self) -> u16 {
        let mut web = self.web();
        web.send_health_check(1).unwrap();
        web.answer().unwrap().status
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Puts another configuration in place of the file.
    pub fn replace(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Descriptors that the process holds with numbers below this.
    pub fn descriptors_below(&self, most: usize) -> usize {
        let numbers = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        let numbers = numbers.filter_map(|e| e.ok()?.file_name().to_str()?.parse::<usize>().ok());
        numbers.filter(|n| *n < most).count()
    }

    /// Its resident memory in KiB.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits for its end: the exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until(|| {
            code = self.child.try_wait().unwrap();
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait()); // it may have ended
        if std::thread::panicking() {
            keep(&format!("front-end-{}.log", self.child.id()), &self.lines().join("\n"));
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for (n, executor) in self.executors.iter().enumerate() {
            let lines: Vec<String> = executor.received().iter().map(|s| format!("{s:?}")).collect();
            keep(&format!("front-end-{}-executor-{n}.log", self.pid()), &lines.join("\n"));
        }
    }
}

/// Leaves what a test that fails has seen in a file, and names it.
fn keep(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    match std::fs::write(&path, text) {
        Ok(()) => eprintln!("kept: {}", path.display()),
        Err(e) => eprintln!("{} cannot be kept: {e}", path.display()),
    }
}
