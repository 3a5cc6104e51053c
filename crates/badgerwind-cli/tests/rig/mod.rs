//! Test harness: a front end, in this process or in its own, with stand-in runners and a stand-in list
//! service, or with runners scripted by the test.
#![allow(dead_code)] // no test program uses all of it

pub mod process;

use badgerwind_check::{Event, Line};
use badgerwind_cli::send::{post, Message};
use badgerwind_config::parts::compose;
use badgerwind_config::Report;
use badgerwind_driver::Decider;
use badgerwind_gateway::control::{read_stored, FollowOptions};
use badgerwind_gateway::{secrets, serve, Options, Running};
use badgerwind_protocol::list::{Availability, List, Runner};
use badgerwind_settings::document::parse;
use badgerwind_settings::read_tree;
use badgerwind_standins::fenced::Fenced;
use badgerwind_standins::keys::Keys;
use badgerwind_standins::model::Spec;
use badgerwind_standins::record::Recorder;
use badgerwind_standins::reserved::unused_address;
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

/// What a test changes of the default set-up.
pub struct Plan {
    /// Number of stand-in runners to start.
    pub runners: usize,
    /// How each stand-in runner behaves.
    pub spec: Spec,
    /// Replacements in the text of the settings: (old, new). Each old text must occur.
    pub edits: Vec<(&'static str, String)>,
    /// Addresses of runners that the test itself implements. They come first in the list.
    pub scripted_runners: Vec<SocketAddr>,
    /// Replaces the decision module.
    pub decider: Option<Box<dyn Decider + Send>>,
    /// Starts with this list in the cache file and without a list service.
    pub cached_list: Option<Vec<Runner>>,
    /// Shares the runners, the list service, the keys and the recorder of another rig; see [`Rig::shared`].
    pub shared: Option<SharedStandIns>,
    /// Runs the front end as a separate process.
    pub process: bool,
    /// The runners' shared ledger fences lodgements.
    pub fenced: bool,
    /// Name under which the front end follows control services, and their addresses.
    pub control: Option<(String, Vec<SocketAddr>)>,
    /// For how long a control service may hold a poll open.
    pub control_wait: &'static str,
    /// Reuses the folder of an earlier rig.
    pub folder: Option<tempfile::TempDir>,
    /// The stand-in runners serve TLS with this configuration.
    pub runner_tls: Option<badgerwind_http::ServerTls>,
    /// Number of zones; runners are assigned to them in rotation.
    pub zones: u32,
    /// Store from which the stand-in runners fetch functions. Without one, fetching takes no time.
    pub store: Option<SocketAddr>,
    /// Further files in the folder, readable by their owner only.
    pub files: Vec<(&'static str, String)>,
    /// Starts with this text in the cache file of the list.
    pub corrupt_list: Option<&'static str>,
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
            scripted_runners: vec![],
            decider: None,
            cached_list: None,
            corrupt_list: None,
            process: false,
            runner_tls: None,
            store: None,
            zones: 1,
            files: vec![],
            fenced: false,
            control: None,
            control_wait: "1s",
            folder: None,
            shared: None,
        }
    }
}

/// What front ends of one test share: the runners, the address of the list service, the keys (both of the
/// sender, then that of the runners) and the recorder of the stand-ins.
pub type SharedStandIns = (Vec<Runner>, SocketAddr, [Key; 3], Recorder);

/// A running front end and the stand-ins around it.
pub struct Rig {
    /// Where the front end listens for webhooks.
    pub webhook: SocketAddr,
    /// Where it serves metrics, health and configuration reports.
    pub metrics: SocketAddr,
    /// Address of the list service.
    pub list: SocketAddr,
    pub runners: Vec<Runner>,
    /// The front end, unless it is a separate process.
    pub running: Option<Running>,
    pub recorder: Recorder,
    /// The sender's keys.
    pub sender_key: Key,
    pub second_key: Key,
    /// The key between the front end and the runners.
    pub runner_key: Key,
    pub folder: tempfile::TempDir,
    process: Option<FrontEndProcess>,
    tasks: Vec<smol::Task<()>>,
}

/// A front end that runs as a separate process.
struct FrontEndProcess(Process);

impl FrontEndProcess {
    /// Starts the process and returns it with its webhook and its metrics address.
    async fn start(folder: &Path, text: &str) -> (FrontEndProcess, SocketAddr, SocketAddr) {
        let (file, ready) = (folder.join("rig.xml"), folder.join("ready.json"));
        std::fs::write(&file, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        command.arg("serve").arg("--settings").arg(&file).arg("--ready-file").arg(&ready);
        let mut process = Process::start("front-end", &mut command);
        for _ in 0..2_000 {
            if let Ok(text) = std::fs::read_to_string(&ready) {
                let value: serde_json::Value = serde_json::from_str(&text).unwrap();
                let at = |name: &str| value[name].as_str().unwrap().parse().unwrap();
                return (FrontEndProcess(process), at("webhook"), at("metrics"));
            }
            process.assert_runs();
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        panic!("the front end has not written its ready file:\n{}", process.logged());
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

/// An entry of the list of runners.
pub fn list_entry(id: u32, address: SocketAddr, availability: Availability) -> Runner {
    Runner { id, address, zone: 0, cell: 0, kind: 0, size: 1.0, availability, started: None }
}

/// A listener on a free port of the loopback interface, and its address.
pub async fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn write_keys(folder: &Path, keys: &[(&str, &Key)]) {
    for (name, key) in keys {
        badgerwind_cli::keys::write_key(&folder.join(name), key).unwrap();
    }
}

/// Writes a file that only its owner can read.
pub fn write_private(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(path, mode).unwrap();
}

impl Rig {
    pub async fn start(plan: Plan) -> Rig {
        let (reused, folder) = match plan.folder {
            Some(folder) => (true, folder),
            None => (false, tempfile::tempdir().unwrap()),
        };
        let key = || Key::generate(KeyKind::Shared).unwrap();
        let (sender_key, second_key, runner_key) = match &plan.shared {
            Some((_, _, [sender, second, runner], _)) => (sender.clone(), second.clone(), runner.clone()),
            None => (key(), key(), key()),
        };
        let keys = [("portal.key", &sender_key), ("second.key", &second_key), ("runners.key", &runner_key)];
        if !reused {
            write_keys(folder.path(), &keys);
        }
        let recorder = plan.shared.as_ref().map_or_else(Recorder::memory, |shared| shared.3.clone());
        let ring =
            RingKey { name: "gateway".into(), key: runner_key.clone(), not_before: None, not_after: None };
        let keys = Arc::new(std::sync::Mutex::new(Keys::new(60_000_000, 60_000_000)));
        let group = runner::Group { classes: vec!["amend".into()], keys };
        let ledger = Fenced::local(vec!["lodge".into()]);
        let (mut tasks, mut runners) = (Vec::new(), Vec::new());
        for address in plan.scripted_runners {
            runners.push(list_entry(runners.len() as u32 + 1, address, Availability::Ready));
        }
        for _ in 0..plan.runners {
            let (listener, address) = bind_loopback().await;
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
            runners
                .push(Runner { zone: (id - 1) % plan.zones, ..list_entry(id, address, Availability::Ready) });
        }
        let list_address = match &plan.cached_list {
            None => {
                let (listener, address) = bind_loopback().await;
                tasks.push(smol::spawn(list::serve(listener, runners.clone(), recorder.clone())));
                address
            }
            Some(cached) => {
                let list = List { version: 3, whole: true, runners: cached.clone() };
                std::fs::write(folder.path().join("list.json"), serde_json::to_vec(&list).unwrap()).unwrap();
                unused_address()
            }
        };
        for (name, text) in &plan.files {
            write_private(&folder.path().join(name), text);
        }
        if let Some(text) = plan.corrupt_list {
            std::fs::write(folder.path().join("list.json"), text).unwrap();
        }
        let list_address = plan.shared.as_ref().map_or(list_address, |shared| shared.1);
        if let Some((shared_runners, ..)) = plan.shared {
            runners = shared_runners;
        }
        let mut text = SETTINGS.replace("LIST", &list_address.to_string());
        for (from, to) in &plan.edits {
            assert!(text.contains(from), "{from}");
            text = text.replacen(from, to, 1);
        }
        if let Some((name, services)) = &plan.control {
            let service_elements: String =
                services.iter().map(|a| format!("<service address=\"{a}\"/>")).collect();
            let control_wait = plan.control_wait;
            let control = format!(
                "<control name=\"{name}\" keep=\"kept/config.bwc\" wait=\"{control_wait}\" retry=\"20ms\" most-retry=\"200ms\" \
                 stage=\"500ms\">{service_elements}</control><stop"
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
        let (running, process, webhook, metrics) = if plan.process {
            let (process, webhook, metrics) = FrontEndProcess::start(folder.path(), &text).await;
            (None, Some(process), webhook, metrics)
        } else {
            let running = serve(options).await.unwrap();
            let (webhook, metrics) = (running.webhook, running.metrics.unwrap());
            (Some(running), None, webhook, metrics)
        };
        let rig = Rig {
            webhook,
            metrics,
            list,
            runners,
            running,
            recorder,
            sender_key,
            second_key,
            runner_key,
            folder,
            process,
            tasks,
        };
        rig.until("a runner is ready", async || rig.get("/health").await.0 == 200).await;
        rig
    }

    /// What the front end reports on the versions of each part of its settings.
    pub async fn config(&self) -> Vec<Report> {
        serde_json::from_str(&self.get("/config").await.1).unwrap()
    }

    /// The version of a part that the front end reports as running.
    pub async fn running(&self, kind: badgerwind_config::Kind) -> Option<u64> {
        self.config().await.into_iter().find(|r| r.kind == kind).and_then(|r| r.running)
    }

    /// What another front end needs to use the same stand-ins: the value of [`Plan::shared`].
    pub fn shared(&self) -> Option<SharedStandIns> {
        let keys = [self.sender_key.clone(), self.second_key.clone(), self.runner_key.clone()];
        Some((self.runners.clone(), self.list, keys, self.recorder.clone()))
    }

    /// Starts another front end with the same stand-ins.
    pub async fn start_another(&self, edits: Vec<(&'static str, String)>) -> Rig {
        Rig::start(Plan { runners: 0, edits, shared: self.shared(), ..Plan::default() }).await
    }

    /// Waits until a condition holds and panics if it does not within the bound of [`Rig::eventually`].
    pub async fn until(&self, what: &str, holds: impl AsyncFnMut() -> bool) {
        assert!(self.eventually(holds).await, "timed out waiting until {what}");
    }

    /// Whether a condition comes to hold within 2000 polls of 5 ms. The bound is so long that only a hang
    /// reaches it.
    pub async fn eventually(&self, mut holds: impl AsyncFnMut() -> bool) -> bool {
        for _ in 0..2_000 {
            if holds().await {
                return true;
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        false
    }

    /// GET on the metrics address: status and body.
    pub async fn get(&self, path: &str) -> (u16, String) {
        let limits = badgerwind_http::PoolLimits {
            max_connections: 1,
            connect_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            max_body_bytes: 1 << 20,
        };
        let pool = badgerwind_http::Pool::new(self.metrics, limits);
        let request = badgerwind_http::Exchange {
            method: "GET",
            target: path.into(),
            headers: vec![],
            body: Arc::from(&b""[..]),
        };
        let (head, body) = pool.exchange(&request).await.unwrap();
        (head.status, String::from_utf8(body).unwrap())
    }

    /// Posts a message that makes its function work for `work_ms`, signed with the sender's key.
    pub async fn send(&self, id: &str, path: &str, work_ms: u64) -> SenderResponse {
        self.send_as(&self.sender_key, id, path, work_ms).await
    }

    /// The same, signed with another key.
    pub async fn send_as(&self, key: &Key, id: &str, path: &str, work_ms: u64) -> SenderResponse {
        let body = format!(r#"{{"work_us": {}, "mean_us": 1000}}"#, work_ms * 1000).into_bytes();
        let message =
            Message { id, path, deadline: Duration::from_secs(10), retry: false, callback: None, body };
        let (head, body) = post(self.webhook, key, message).await.unwrap();
        SenderResponse {
            status: head.status,
            body: String::from_utf8(body).unwrap(),
            replayed: head.headers.get("badgerwind-replayed").is_some(),
            request: head.headers.get("badgerwind-request").map(str::to_owned),
        }
    }

    /// Everything that the stand-ins have recorded so far.
    pub fn lines(&self) -> Vec<Line> {
        let lines = self.recorder.take();
        lines.iter().for_each(|l| self.recorder.add_at(l.at, l.event.clone()));
        lines
    }

    /// Number of attempts that have arrived at stand-in runners.
    pub fn arrived(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.event, Event::Arrived { .. })).count()
    }

    /// Number of attempts that stand-in runners have finished.
    pub fn finished(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.event, Event::Finished { .. })).count()
    }

    /// Changes the entry of a runner at the list service.
    pub async fn update_list(&self, runner: &Runner) {
        badgerwind_standins::command(self.list, "/standin/runner", runner).await.unwrap();
    }

    /// Id of the front end's process, if it is a separate process.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(|p| p.0.id())
    }

    /// Stops the front end at once, as on SIGTERM, and waits for its end.
    pub async fn stop(mut self) -> badgerwind_gateway::Stopped {
        let running = self.running.take().unwrap();
        running.serve_until(std::future::ready(()), std::future::pending()).await
    }
}

/// What the sender got for a message.
#[derive(Debug, PartialEq)]
pub struct SenderResponse {
    pub status: u16,
    pub body: String,
    pub replayed: bool,
    pub request: Option<String>,
}

impl SenderResponse {
    /// From the problem document: its type, and whether the sender may try again without harm.
    pub fn problem(&self) -> (String, String) {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let member = |name: &str| value[name].as_str().unwrap_or("").to_owned();
        (member("type").replace("urn:badgerwind:problem:", ""), member("retry"))
    }
}
