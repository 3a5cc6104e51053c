//! A gateway in this process with stand-ins around it, or with peers played by hand.
#![allow(dead_code)] // each test file uses its part

pub mod process;

use badgerwind_check::{Event, Line};
use badgerwind_cli::send::{post, Message};
use badgerwind_config::parts::compose;
use badgerwind_config::Report;
use badgerwind_driver::Decider;
use badgerwind_gateway::control::{read_stored, FollowOptions};
use badgerwind_gateway::{secrets, serve, Options, Running};
use badgerwind_protocol::list::{List, Runner, State};
use badgerwind_settings::document::parse;
use badgerwind_settings::read_tree;
use badgerwind_standins::fenced::Fenced;
use badgerwind_standins::keys::Keys;
use badgerwind_standins::model::Spec;
use badgerwind_standins::record::Recorder;
use badgerwind_standins::{list, runner};
use badgerwind_webhook::{Key, KeyKind, KeyRing, RingKey};
use process::Process;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

pub const CHECK: &str = "/check";
pub const LODGE: &str = "/lodge";

/// What a test changes.
pub struct Plan {
    pub runners: usize,
    pub spec: Spec,
    /// Replaces text of the settings.
    pub edits: Vec<(&'static str, String)>,
    /// Runners played by the test, listed first.
    pub played: Vec<SocketAddr>,
    pub decider: Option<Box<dyn Decider + Send>>,
    /// Begins with this list on disk, and no list service.
    pub cached: Option<Vec<Runner>>,
    /// Stands beside this front end: the same runners, keys and list.
    pub beside: Option<(Vec<Runner>, SocketAddr, [Key; 3], Recorder)>,
    /// The front end is a process of its own.
    pub process: bool,
    /// Lodgements are fenced by the runners' ledger.
    pub fenced: bool,
    /// Follows control services there, under this name.
    pub control: Option<(String, Vec<SocketAddr>)>,
    /// How long a control service may hold its questions.
    pub control_wait: &'static str,
    /// Has this folder, which another had before.
    pub folder: Option<tempfile::TempDir>,
    /// The stand-in runners are met under TLS.
    pub runner_tls: Option<badgerwind_http::ServerTls>,
    /// Runners are of so many zones in turn.
    pub zones: u32,
    /// Where the stand-in runners fetch functions; without one that takes no time.
    pub store: Option<SocketAddr>,
    /// Further files in its folder, for its owner's eyes.
    pub files: Vec<(&'static str, String)>,
    /// Begins with this text where the last list should be.
    pub garbled: Option<&'static str>,
}

impl Default for Plan {
    fn default() -> Self {
        let spec = Spec {
            cores: 4.0,
            speed: 1.0,
            queue: 64,
            memory_mb: 8000.0,
            loads: 4,
            keep_alive: 60_000_000,
            loads_when_absent: true,
            eager: false,
            cold_from: 0.2,
            cold_span: 5_000_000,
            fall_multiple: 100.0,
            fall_window: 1_500_000,
            start: 1_000,
        };
        Plan {
            runners: 2,
            spec,
            edits: vec![],
            played: vec![],
            decider: None,
            cached: None,
            garbled: None,
            process: false,
            runner_tls: None,
            store: None,
            zones: 1,
            files: vec![],
            fenced: false,
            control: None,
            control_wait: "1s",
            folder: None,
            beside: None,
        }
    }
}

pub struct Rig {
    pub to: SocketAddr,
    pub metrics: SocketAddr,
    pub list: SocketAddr,
    pub runners: Vec<Runner>,
    pub running: Option<Running>,
    pub recorder: Recorder,
    pub key: Key,
    pub second: Key,
    pub inner: Key,
    pub folder: tempfile::TempDir,
    process: Option<Front>,
    tasks: Vec<smol::Task<()>>,
}

/// A front end's process.
struct Front(Process);

impl Front {
    /// Starts it; where it listens for webhooks and for its figures.
    async fn start(folder: &Path, text: &str) -> (Front, SocketAddr, SocketAddr) {
        let (file, ready) = (folder.join("rig.xml"), folder.join("ready.json"));
        std::fs::write(&file, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        command.arg("serve").arg("--settings").arg(&file).arg("--ready-file").arg(&ready);
        let mut process = Process::start("front-end", &mut command);
        for _ in 0..2_000 {
            if let Ok(text) = std::fs::read_to_string(&ready) {
                let value: serde_json::Value = serde_json::from_str(&text).unwrap();
                let at = |name: &str| value[name].as_str().unwrap().parse().unwrap();
                return (Front(process), at("webhook"), at("metrics"));
            }
            process.assert_runs();
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        panic!("the front end's process does not serve:\n{}", process.logged());
    }
}

const SETTINGS: &str = r#"<badgerwind version="1">
  <fleet front-ends="1" number="0" zone="here" when-absent="load" keep-alive="10s" seed="7">
    <zone name="here"/>
    <kind name="small" memory-mb="8000"/>
  </fleet>
  <rules answer-slack="30ms" drain-grace="500ms" cold-from="0.2" warm-after="5s" fall-multiple="100" fall-window="1.5s"/>
  <allow max-attempts="3" retry-after="2s"/>
  <class name="check" aim="500ms" deadline="2s" effect="repeatable"/>
  <class name="lodge" aim="500ms" deadline="2s" effect="once"/>
  <class name="amend" aim="500ms" deadline="2s" effect="by-key" group="all" window="5s"/>
  <class name="watch" aim="500ms" deadline="2s" effect="repeatable" streaming="true"/>
  <tenant name="brolga"/>
  <function name="check-0" memory-mb="100" lanes="8" load-time="5ms"/>
  <function name="lodge-0" memory-mb="100" lanes="8" load-time="5ms"/>
  <webhook listen="127.0.0.1:0">
    <sender name="portal" tenant="brolga">
      <secret name="first" file="portal.key"/>
      <secret name="second" file="second.key"/>
    </sender>
    <route path="/check" sender="portal" class="check" function="check-0"/>
    <route path="/lodge" sender="portal" class="lodge" function="lodge-0"/>
    <route path="/amend" sender="portal" class="amend" function="lodge-0"/>
    <route path="/watch" sender="portal" class="watch" function="check-0"/>
  </webhook>
  <runners key-file="runners.key"/>
  <list address="LIST" cache="list.json" retry="20ms"/>
  <metrics listen="127.0.0.1:0"/>
  <stop within="5s"/>
</badgerwind>"#;

pub fn listed(id: u32, address: SocketAddr, state: State) -> Runner {
    Runner { id, address, zone: 0, cell: 0, kind: 0, size: 1.0, state, started: None }
}

pub async fn socket() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn write_keys(folder: &Path, keys: &[(&str, &Key)]) {
    for (name, key) in keys {
        badgerwind_cli::keys::write_key(&folder.join(name), key).unwrap();
    }
}

pub fn write_private(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(path, mode).unwrap();
}

impl Rig {
    pub async fn start(plan: Plan) -> Rig {
        let (old, folder) = match plan.folder {
            Some(folder) => (true, folder),
            None => (false, tempfile::tempdir().unwrap()),
        };
        let key = || Key::generate(KeyKind::Shared).unwrap();
        let (portal, second, runners_key) = match &plan.beside {
            Some((_, _, [a, b, c], _)) => (a.clone(), b.clone(), c.clone()),
            None => (key(), key(), key()),
        };
        let keys = [("portal.key", &portal), ("second.key", &second), ("runners.key", &runners_key)];
        if !old {
            write_keys(folder.path(), &keys);
        }
        let recorder = plan.beside.as_ref().map_or_else(Recorder::memory, |b| b.3.clone());
        let runners_copy = runners_key.clone();
        let ring = RingKey { name: "gateway".into(), key: runners_key, not_before: None, not_after: None };
        let keys = Arc::new(std::sync::Mutex::new(Keys::new(60_000_000, 60_000_000)));
        let group = runner::Group { classes: vec!["amend".into()], keys };
        let ledger = Fenced::local(vec!["lodge".into()]);
        let (mut tasks, mut runners) = (Vec::new(), Vec::new());
        for address in plan.played {
            runners.push(listed(runners.len() as u32 + 1, address, State::Ready));
        }
        for _ in 0..plan.runners {
            let (listener, address) = socket().await;
            let id = runners.len() as u32 + 1;
            let keys = Some(KeyRing { keys: vec![ring.clone()], tolerance: 300 });
            let (spec, recorder) = (plan.spec.clone(), recorder.clone());
            let options = runner::Options {
                id,
                spec,
                cold: false,
                store: plan.store,
                keys,
                group: Some(group.clone()),
                fenced: plan.fenced.then(|| ledger.clone()),
                recorder,
                tls: plan.runner_tls.clone(),
            };
            tasks.push(smol::spawn(runner::serve(listener, options)));
            runners.push(Runner { zone: (id - 1) % plan.zones, ..listed(id, address, State::Ready) });
        }
        let (listener, list_address) = socket().await;
        match &plan.cached {
            None => tasks.push(smol::spawn(list::serve(listener, runners.clone(), recorder.clone()))),
            Some(cached) => {
                drop(listener);
                let list = List { version: 3, whole: true, runners: cached.clone() };
                std::fs::write(folder.path().join("list.json"), serde_json::to_vec(&list).unwrap()).unwrap();
            }
        }
        for (name, text) in &plan.files {
            write_private(&folder.path().join(name), text);
        }
        if let Some(text) = plan.garbled {
            std::fs::write(folder.path().join("list.json"), text).unwrap();
        }
        let list_address = plan.beside.as_ref().map_or(list_address, |b| b.1);
        if let Some((shared, ..)) = plan.beside {
            runners = shared;
        }
        let mut text = SETTINGS.replace("LIST", &list_address.to_string());
        for (from, to) in &plan.edits {
            assert!(text.contains(from), "{from}");
            text = text.replacen(from, to, 1);
        }
        if let Some((name, services)) = &plan.control {
            let service: String = services.iter().map(|a| format!("<service address=\"{a}\"/>")).collect();
            let control_wait = plan.control_wait;
            let control = format!(
                "<control name=\"{name}\" keep=\"kept/config.bwc\" wait=\"{control_wait}\" retry=\"20ms\" most-retry=\"200ms\" \
                 stage=\"500ms\">{service}</control><stop"
            );
            text = text.replacen("<stop", &control, 1);
            std::fs::create_dir_all(folder.path().join("kept")).unwrap();
        }
        let file = parse("rig.xml", &text).unwrap();
        let (kept, _) = read_stored(&folder.path().join("kept/config.bwc"));
        let settings = read_tree(&compose(&file, &kept)).unwrap_or_else(|p| panic!("{p:?}"));
        let keys = secrets::load("rig.xml", folder.path(), &settings).unwrap();
        let mut options = Options::new(Arc::new(settings), keys, folder.path().to_owned());
        options.decider = plan.decider;
        options.follow = plan.control.as_ref().map(|_| FollowOptions { file, stored: kept });
        let list = list_address;
        let (running, process, to, metrics) = if plan.process {
            let (process, to, metrics) = Front::start(folder.path(), &text).await;
            (None, Some(process), to, metrics)
        } else {
            let running = serve(options).await.unwrap();
            let (to, metrics) = (running.webhook, running.metrics.unwrap());
            (Some(running), None, to, metrics)
        };
        let (key, inner) = (portal, runners_copy);
        let rig =
            Rig { to, metrics, list, runners, running, recorder, key, second, inner, folder, process, tasks };
        rig.until("a runner is ready", async || rig.get("/health").await.0 == 200).await;
        rig
    }

    /// Where the parts of the settings stand, by the front end's word.
    pub async fn config(&self) -> Vec<Report> {
        serde_json::from_str(&self.get("/config").await.1).unwrap()
    }

    /// The version of a part that runs, by the front end's word.
    pub async fn running(&self, kind: badgerwind_config::Kind) -> Option<u64> {
        self.config().await.into_iter().find(|r| r.kind == kind).and_then(|r| r.running)
    }

    /// What else a front end beside this one is started with.
    pub fn beside(&self) -> Option<(Vec<Runner>, SocketAddr, [Key; 3], Recorder)> {
        let keys = [self.key.clone(), self.second.clone(), self.inner.clone()];
        Some((self.runners.clone(), self.list, keys, self.recorder.clone()))
    }

    /// Another front end for the same runners.
    pub async fn another(&self, edits: Vec<(&'static str, String)>) -> Rig {
        Rig::start(Plan { runners: 0, edits, beside: self.beside(), ..Plan::default() }).await
    }

    /// Waits until something holds; a bound that only a hang reaches.
    pub async fn until(&self, what: &str, holds: impl AsyncFnMut() -> bool) {
        assert!(self.comes(holds).await, "it never came that {what}");
    }

    /// Whether something comes to hold within that bound.
    pub async fn comes(&self, mut holds: impl AsyncFnMut() -> bool) -> bool {
        for _ in 0..2_000 {
            if holds().await {
                return true;
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        false
    }

    pub async fn get(&self, path: &str) -> (u16, String) {
        let bounds = badgerwind_http::PoolBounds {
            most: 1,
            connect_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(5),
            body_bytes: 1 << 20,
        };
        let pool = badgerwind_http::Pool::new(self.metrics, bounds);
        let request = badgerwind_http::Exchange {
            method: "GET",
            target: path.into(),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let (head, body) = pool.exchange(&request).await.unwrap();
        (head.status, String::from_utf8(body).unwrap())
    }

    /// Posts a message with so much work in it.
    pub async fn send(&self, id: &str, path: &str, work_ms: u64) -> Got {
        self.send_as(&self.key, id, path, work_ms).await
    }

    pub async fn send_as(&self, key: &Key, id: &str, path: &str, work_ms: u64) -> Got {
        let body = format!(r#"{{"work_us": {}, "mean_us": 1000}}"#, work_ms * 1000).into_bytes();
        let message =
            Message { id, path, deadline: Duration::from_secs(10), retry: false, callback: None, body };
        let (head, body) = post(self.to, key, message).await.unwrap();
        Got {
            status: head.status,
            body: String::from_utf8(body).unwrap(),
            replayed: head.headers.get("badgerwind-replayed").is_some(),
            request: head.headers.get("badgerwind-request").map(str::to_owned),
        }
    }

    /// What the stand-ins have seen of calls so far: `Arrived`, and whether each finished.
    pub fn lines(&self) -> Vec<Line> {
        let lines = self.recorder.take();
        lines.iter().for_each(|l| self.recorder.add_at(l.at, l.event.clone()));
        lines
    }

    pub fn arrived(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.event, Event::Arrived { .. })).count()
    }

    pub fn finished(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.event, Event::Finished { .. })).count()
    }

    pub async fn tell_list(&self, runner: &Runner) {
        badgerwind_standins::command(self.list, "/standin/runner", runner).await.unwrap();
    }

    /// The front end's process, where it is one.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(|p| p.0.id())
    }

    pub async fn stop(mut self) -> badgerwind_gateway::Stopped {
        let running = self.running.take().unwrap();
        running.serve_until(std::future::ready(()), std::future::pending()).await
    }
}

#[derive(Debug, PartialEq)]
pub struct Got {
    pub status: u16,
    pub body: String,
    pub replayed: bool,
    pub request: Option<String>,
}

impl Got {
    /// The problem document's own words: type and whether trying again is harmless.
    pub fn problem(&self) -> (String, String) {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let word = |name: &str| value[name].as_str().unwrap_or("").to_owned();
        (word("type").replace("urn:badgerwind:problem:", ""), word("retry"))
    }
}
