//! What the stand-ins of the cases share: the platform's protocol (FastCGI, executor lines, notice board), processes
//! and the record. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of the system's Unix clock.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The value of a field of a JSON line, as text; strings without escapes and numbers.
pub fn field(line: &str, name: &str) -> Option<String> {
    let at = line.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = line[at..].trim_start().strip_prefix(':')?.trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text[..text.find('"')?].to_owned());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

/// A record file of one process: a line for each occurrence, with the time in microseconds.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = OpenOptions::new().create(true).append(true).open(path).expect("record file");
        Record(Arc::new(Mutex::new(file)))
    }
    pub fn line(&self, who: &str, what: &str) {
        self.line_at(now(), who, what);
    }
    pub fn line_at(&self, at: u64, who: &str, what: &str) {
        if let Ok(mut file) = self.0.lock() {
            let _ = file.write_all(format!("{at} {who} {what}\n").as_bytes());
        }
    }
}

// ---- Processes ----

/// A free port of the loopback address. The listener that found it is closed again.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    // Ports below the range that outgoing connections take theirs from, so that none is taken meanwhile.
    let start = 12_000 + u64::from(std::process::id()) * 37 % 15_000;
    loop {
        let port = 12_000 + (start + NEXT.fetch_add(1, Ordering::Relaxed) * 3) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("address");
        }
    }
}

/// Started processes; all are ended when the value is dropped. Their ids are kept in a file for the script.
pub struct Processes {
    pub folder: PathBuf,
    pub record: Record,
    children: Vec<(String, Child)>,
}

impl Processes {
    pub fn new(folder: &Path) -> Processes {
        Processes { folder: folder.to_owned(), record: Record::open(&folder.join("driver.rec")), children: Vec::new() }
    }
    fn add(&mut self, name: &str, child: Child) -> u32 {
        let pid = child.id();
        let mut pids = OpenOptions::new().create(true).append(true).open(self.folder.join("pids")).expect("pids");
        let _ = writeln!(pids, "{pid}");
        self.record.line("driver", &format!("started {name} pid={pid}"));
        self.children.push((name.to_owned(), child));
        pid
    }
    /// Starts this program again under another role.
    pub fn start_role(&mut self, name: &str, args: &[String]) -> u32 {
        let own = std::env::current_exe().expect("own path");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new(own);
        command.args(args).stdin(Stdio::piped()).stdout(log.try_clone().expect("log")).stderr(log);
        let child = end_with_this(&mut command).spawn().expect("role");
        self.add(name, child)
    }
    /// Starts a front end by the run line of the deploy file.
    pub fn start_front_end(&mut self, name: &str, config: &Path) -> u32 {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_line()])
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_NAME", name)
            .env_remove("BALANCER_LISTEN")
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        let child = end_with_this(&mut command).spawn().expect("front end");
        self.add(name, child)
    }
    /// Gives an order to a process of this program.
    pub fn order(&mut self, name: &str, order: &str) {
        self.record.line("driver", &format!("{name}: {order}"));
        let child = self.children.iter_mut().find(|(other, _)| other == name);
        if let Some(input) = child.and_then(|(_, child)| child.stdin.as_mut()) {
            let _ = input.write_all(format!("{order}\n").as_bytes()).and_then(|()| input.flush());
        }
    }
    /// Kills a process, as the platform does with one over its limit of memory.
    pub fn kill(&mut self, pid: u32) {
        if let Some((_, child)) = self.children.iter_mut().find(|(_, child)| child.id() == pid) {
            let _ = child.kill();
        }
    }
    /// Whether a process has ended, and how.
    pub fn ended(&mut self, pid: u32) -> Option<String> {
        let child = self.children.iter_mut().find(|(_, child)| child.id() == pid)?;
        child.1.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The run line of deploy/balancer.toml.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.unwrap_or("exec target/release/badgerwind platform").to_owned()
}

// ---- Configuration ----

/// An executor of the configuration's list.
pub struct Member {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: &'static str,
}

/// A configuration of a front end of a small deployment like wattlebank-main: the settings are those of the example on
/// the WIRE page, for a single front end.
pub fn configuration(
    name: &str,
    listen: SocketAddr,
    board: SocketAddr,
    members: &[Member],
    (memory_mb, sockets): (u64, u64),
) -> String {
    let listed: Vec<String> = members
        .iter()
        .map(|m| {
            format!(
                r#"{{"id":"s-{:08x}","host_port":"{}","locality":"{}","flavor":"type-a","cell":0,"phase":"in_service","size":4,"up_since_ms":0}}"#,
                m.id, m.address, m.zone
            )
        })
        .collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"board":"{board}",
"known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{
 "allowed":{{"connectTimeout":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":50000,"idleClose":30000000,"maxAttempts":4,"maxRetryAfter":2000000,"mayCancel":true,"mayDuplicate":false,"mayProbe":true,"mostHeld":20000,"peers":false,"retryAfter":true,"streamsPerConn":100}},
 "charges":{{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.1,"peer":0.01,"probe":0.01,"waste":0.03}},
 "classes":[
  {{"aim":1200000,"effect":"repeatable","group":"all","hardLimit":3000000,"lateWorth":0.2,"name":"check-answers","streaming":false,"window":5000000,"worth":3.0}},
  {{"aim":1500000,"effect":"repeatable","group":"all","hardLimit":3000000,"lateWorth":0.2,"name":"save-draft","streaming":false,"window":5000000,"worth":3.0}},
  {{"aim":1200000,"effect":"once","group":"all","hardLimit":3000000,"lateWorth":0.3,"name":"lodge-return","streaming":false,"window":5000000,"worth":2.0}}],
 "clients":{{"marksRetry":true}},"discovery":"push","failureDomains":["hall-a","hall-b","hall-c"],"kindOfService":"warm",
 "kinds":["type-a","type-b"],"myNumber":0,"myZone":0,
 "orgs":[{{"name":"brolga-shire","portion":0.67,"quotaPerS":101.0}},{{"name":"tallow-creek","portion":0.33,"quotaPerS":50.0}}],
 "overShareWorth":0.05,"peersTotal":1,"report":{{"fields":[],"how":"none"}},
 "resultMix":{{"whole":0.5,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.2}},"round":2000,
 "rules":{{"answerSlack":8000,"askWithin":10000000,"coldFrom":0.16,"fall":1500000,"stopSendingWithin":500000,"tipMultiple":2.5,"warmAfter":18000000}},
 "specifics":{{"freeLoads":0.0,"idlePrice":0.05,"loadsPerRequest":0.0,"loadsWithin":0,"marksCold":true,"memoryMbByKind":[12864.0,14592.0],"orderLimit":10000000,"placementCalls":true,"reportX0":"share of memory that is at work or loading","reportX1":"loads under way or waiting","staysLoaded":8400000,"tellsCrowd":true,"whenAbsent":"load"}},
 "tier":0,"tiers":["handler-fleet"],"weights":"nominal","worthBy":"request"}}}}
"#,
        seed = now(),
        members = listed.join(",")
    )
}

// ---- Notice board ----

/// A notice board that has one event, the list in the configurations, and sends an empty frame each second.
pub fn run_board(listen: SocketAddr) {
    let listener = TcpListener::bind(listen).expect("board");
    for mut stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut asked = [0u8; 8];
            if stream.read_exact(&mut asked).is_err() {
                return;
            }
            let mut frame = Vec::new();
            frame.extend_from_slice(&9u32.to_be_bytes());
            frame.extend_from_slice(&1u64.to_be_bytes());
            frame.push(0);
            while stream.write_all(&frame).is_ok() {
                sleep_ms(1000);
            }
        });
    }
}

/// Follows the orders of the process that started this one ("hang", "resume"), and ends when that has ended.
pub fn end_with_parent() {
    thread::spawn(|| {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.as_str() {
                "hang" => HUNG.store(true, Ordering::Relaxed),
                "resume" => HUNG.store(false, Ordering::Relaxed),
                _ => {}
            }
        }
        std::process::exit(0);
    });
}

// ---- Executor ----

/// How an executor works. The default is a sound one whose functions' keys begin with "aaaa".
#[derive(Clone)]
pub struct ExecutorOptions {
    pub name: String,
    pub listen: SocketAddr,
    /// Time of a request's work, and of a load, in milliseconds.
    pub work_ms: u64,
    pub load_ms: u64,
    /// The functions that exist begin with this text; other requests are answered FAULT.
    pub functions: String,
    /// Size of the sockets' receive buffer; 0: as the system has it.
    pub receive_buffer: i32,
    /// Segment size that it announces; 0: as the system has it.
    pub segment: i32,
}

impl Default for ExecutorOptions {
    fn default() -> ExecutorOptions {
        ExecutorOptions {
            name: String::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 150,
            load_ms: 600,
            functions: "aaaa".into(),
            receive_buffer: 0,
            segment: 0,
        }
    }
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(operation: i32, ...) -> i32;
}

/// Lets a process end with the one that starts it, however that ends.
fn end_with_this(command: &mut Command) -> &mut Command {
    use std::os::unix::process::CommandExt;
    // SAFETY: between fork and exec it makes one system call, PR_SET_PDEATHSIG with SIGKILL.
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9usize);
            Ok(())
        })
    }
}

fn set_option(listener: &TcpListener, level: i32, name: i32, value: i32) {
    use std::os::fd::AsRawFd;
    if value > 0 {
        // SAFETY: the descriptor is open, and the value is an int of the length given.
        unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
    }
}

/// How long an executor looks for a function that does not exist, in milliseconds.
const UNKNOWN_MS: u64 = 400;

struct Work {
    /// The connection on which it came.
    connection: u64,
    given_up: AtomicBool,
}

#[derive(Default)]
struct ExecutorState {
    /// When each function's copy stands loaded, by this process's clock.
    loaded_at: HashMap<String, Instant>,
    open: HashMap<String, Vec<Arc<Work>>>,
}

/// An executor: loads an absent function while its request waits, works on requests side by side, stops the work of
/// one that is given up, by KILL or by the end of its connection, and answers LATE where its time is over.
pub fn run_executor(options: ExecutorOptions, record: Record) {
    let listener = TcpListener::bind(options.listen).expect("executor");
    set_option(&listener, 1, 8, options.receive_buffer); // SOL_SOCKET, SO_RCVBUF
    set_option(&listener, 6, 2, options.segment); // IPPROTO_TCP, TCP_MAXSEG
    let state = Arc::new(Mutex::new(ExecutorState::default()));
    for (n, stream) in listener.incoming().flatten().enumerate() {
        let (options, record, state) = (options.clone(), record.clone(), state.clone());
        thread::spawn(move || serve_connection(n as u64, stream, &options, &record, &state));
    }
}

fn serve_connection(n: u64, stream: TcpStream, options: &ExecutorOptions, record: &Record, state: &Arc<Mutex<ExecutorState>>) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(stream));
    let who = options.name.clone();
    record.line(&who, &format!("conn={n} accepted"));
    let mut input = Input { stream: read, taken: Vec::new(), position: 0, seen: 0 };
    while let Some(bytes) = input.next_line(|line| {
        if field(line, "type").as_deref() == Some("FN") || field(line, "type").as_deref() == Some("KILL") {
            let (kind, req) = (field(line, "type").unwrap_or_default(), field(line, "req").unwrap_or_default());
            record.line(&who, &format!("conn={n} arrived {kind} {req}"));
        }
    }) {
        let line = String::from_utf8_lossy(&bytes).into_owned();
        let (kind, req) = (field(&line, "type").unwrap_or_default(), field(&line, "req").unwrap_or_default());
        let answer = |text: String| {
            if let Ok(mut stream) = writer.lock() {
                let _ = stream.write_all(text.as_bytes());
            }
        };
        match kind.as_str() {
            "FN" => {
                let function = field(&line, "obj").unwrap_or_default();
                let class = field(&line, "kind").unwrap_or_default();
                let wait: u64 = field(&line, "ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                record.line(&who, &format!("conn={n} FN {req} class={class} obj={function} ms={wait}"));
                if !function.starts_with(&options.functions) {
                    // It has looked for the function in the store, and found none.
                    let (record, who, writer) = (record.clone(), who.clone(), writer.clone());
                    thread::spawn(move || {
                        sleep_ms(UNKNOWN_MS);
                        wait_while_hung();
                        record.line(&who, &format!("conn={n} answer {req} FAULT"));
                        if let Ok(mut stream) = writer.lock() {
                            let text = format!("{{\"type\":\"FAULT\",\"req\":\"{req}\",\"meta\":{{}}}}\n");
                            let _ = stream.write_all(text.as_bytes());
                        }
                    });
                    continue;
                }
                let data = field(&line, "data").unwrap_or_default();
                let work = Arc::new(Work { connection: n, given_up: AtomicBool::new(false) });
                if let Ok(mut state) = state.lock() {
                    state.open.entry(req.clone()).or_default().push(work.clone());
                }
                let (options, record, state, writer) =
                    (options.clone(), record.clone(), state.clone(), writer.clone());
                thread::spawn(move || {
                    let (loaded_at, mark) = {
                        let mut state = state.lock().expect("state");
                        let at = Instant::now();
                        let known = state.loaded_at.get(&function).copied();
                        let loaded_at =
                            *state.loaded_at.entry(function).or_insert(at + Duration::from_millis(options.load_ms));
                        (loaded_at, if known.is_none() { "c" } else if loaded_at > at { "j" } else { "w" })
                    };
                    thread::sleep(loaded_at.saturating_duration_since(Instant::now()));
                    wait_while_hung();
                    let who = &options.name;
                    if work.given_up.load(Ordering::Relaxed) {
                        return record.line(who, &format!("conn={n} not run {req}: given up before"));
                    }
                    record.line(who, &format!("conn={n} run {req}"));
                    thread::sleep(Duration::from_millis(options.work_ms));
                    wait_while_hung();
                    if let Ok(mut state) = state.lock() {
                        if let Some(open) = state.open.get_mut(&req) {
                            open.retain(|other| !Arc::ptr_eq(other, &work));
                        }
                    }
                    if work.given_up.load(Ordering::Relaxed) {
                        return record.line(who, &format!("conn={n} stopped {req}"));
                    }
                    record.line(who, &format!("conn={n} answer {req} HIT"));
                    if let Ok(mut stream) = writer.lock() {
                        let text = format!(
                            "{{\"type\":\"HIT\",\"req\":\"{req}\",\"meta\":{{\"res\":\"{mark}\"}},\"data\":\"{data}\"}}\n"
                        );
                        let _ = stream.write_all(text.as_bytes());
                    }
                });
            }
            "KILL" => {
                record.line(&who, &format!("conn={n} KILL {req}"));
                give_up(state, &who, record, |id, work| id == req && work.connection == n);
            }
            "SPAWN" => {
                let function = field(&line, "obj").unwrap_or_default();
                let copies: u32 = field(&line, "slots_up").and_then(|n| n.parse().ok()).unwrap_or(0);
                record.line(&who, &format!("conn={n} SPAWN {req} obj={function} copies={copies}"));
                if !function.starts_with(&options.functions) {
                    answer(format!("{{\"type\":\"FAULT\",\"req\":\"{req}\",\"meta\":{{\"slots_up\":0}}}}\n"));
                    continue;
                }
                let wait = {
                    let mut state = state.lock().expect("state");
                    let at = Instant::now();
                    if copies == 0 {
                        Duration::ZERO
                    } else {
                        let ready = at + Duration::from_millis(options.load_ms);
                        state.loaded_at.entry(function.clone()).or_insert(ready).saturating_duration_since(at)
                    }
                };
                let loaded = state.lock().is_ok_and(|state| state.loaded_at.contains_key(&function));
                let stand = if copies > 0 { copies } else { u32::from(loaded) };
                let writer = writer.clone();
                thread::spawn(move || {
                    thread::sleep(wait);
                    wait_while_hung();
                    if let Ok(mut stream) = writer.lock() {
                        let text = format!(
                            "{{\"type\":\"HIT\",\"req\":\"{req}\",\"meta\":{{\"slots_up\":{stand}}}}}\n"
                        );
                        let _ = stream.write_all(text.as_bytes());
                    }
                });
            }
            "HELO" | "TOP" => answer(format!("{{\"type\":\"PONG\",\"req\":\"{req}\",\"meta\":{{}}}}\n")),
            "REAP" => {}
            _ => break,
        }
    }
    record.line(&who, &format!("conn={n} ended"));
    give_up(state, &who, record, |_, work| work.connection == n);
}

/// Whether this executor hangs: nothing is read, worked on or answered, and its machine still receives.
static HUNG: AtomicBool = AtomicBool::new(false);

fn wait_while_hung() {
    while HUNG.load(Ordering::Relaxed) {
        sleep_ms(2);
    }
}

/// The lines of a connection. What has arrived at the machine is looked at without being read, also during a hang.
struct Input {
    stream: TcpStream,
    taken: Vec<u8>,
    /// Bytes taken from the socket so far, and bytes in which whole lines were looked for.
    position: usize,
    seen: usize,
}

impl Input {
    fn next_line(&mut self, mut arrived: impl FnMut(&str)) -> Option<Vec<u8>> {
        let mut buf = vec![0u8; 512 * 1024];
        let mut partial: Vec<u8> = Vec::new();
        loop {
            if !HUNG.load(Ordering::Relaxed) {
                if let Some(end) = self.taken.iter().position(|b| *b == b'\n') {
                    return Some(self.taken.drain(..=end).collect());
                }
            }
            let n = match self.stream.peek(&mut buf) {
                Ok(0) | Err(_) => {
                    wait_while_hung();
                    if !self.taken.contains(&b'\n') {
                        return None; // the rest of a line that did not come whole counts for nothing
                    }
                    continue;
                }
                Ok(n) => n,
            };
            // Lines that end in what has arrived since the last look.
            let start = self.taken.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
            partial.clear();
            partial.extend_from_slice(&self.taken[start..]);
            let mut offset = self.position;
            for byte in &buf[..n] {
                offset += 1;
                partial.push(*byte);
                if *byte == b'\n' {
                    if offset > self.seen {
                        arrived(&String::from_utf8_lossy(&partial));
                    }
                    partial.clear();
                }
            }
            self.seen = self.seen.max(self.position + n);
            if HUNG.load(Ordering::Relaxed) {
                sleep_ms(5);
                continue;
            }
            let n = self.stream.read(&mut buf[..n]).ok()?;
            self.taken.extend_from_slice(&buf[..n]);
            self.position += n;
        }
    }
}

fn give_up(state: &Mutex<ExecutorState>, who: &str, record: &Record, which: impl Fn(&str, &Work) -> bool) {
    let Ok(mut state) = state.lock() else { return };
    for (id, open) in &mut state.open {
        open.retain(|work| {
            let ends = which(id, work);
            if ends {
                work.given_up.store(true, Ordering::Relaxed);
                record.line(who, &format!("conn={} given up {id}", work.connection));
            }
            !ends
        });
    }
}

// ---- Web server ----

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for length in [name.len(), value.len()] {
        if length < 128 {
            out.push(length as u8);
        } else {
            out.extend_from_slice(&(length as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

pub fn write_record(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    out.extend_from_slice(&[1, kind]);
    out.extend_from_slice(&number.to_be_bytes());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct WebRequest {
    pub id: String,
    pub class: String,
    pub key: String,
    pub tenant: String,
    pub wait_ms: u64,
    pub attributes: String,
    pub body: Vec<u8>,
}

impl WebRequest {
    pub fn records(&self, number: u16) -> Vec<u8> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        pair(&mut params, "SCRIPT_NAME", &format!("/api/v2/{}", self.class));
        pair(&mut params, "HTTP_REQ_ID", &self.id);
        pair(&mut params, "HTTP_REQ_KEY", &self.key);
        pair(&mut params, "HTTP_REQ_OWNER", &self.tenant);
        pair(&mut params, "HTTP_REQ_WAIT_MS", &self.wait_ms.to_string());
        pair(&mut params, "HTTP_X_ATTRS", &self.attributes);
        write_record(&mut out, 1, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        write_record(&mut out, 4, number, &params);
        write_record(&mut out, 4, number, b"");
        if !self.body.is_empty() {
            write_record(&mut out, 5, number, &self.body);
        }
        write_record(&mut out, 5, number, b"");
        out
    }
}

/// An answer: its request's number, its status (0: the protocol status was not "complete"), and its body.
#[derive(Clone, Debug)]
pub struct WebAnswer {
    pub number: u16,
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads answers until the connection ends, and passes them on.
pub fn read_answers(mut stream: TcpStream, mut on_answer: impl FnMut(WebAnswer)) {
    let mut texts: HashMap<u16, Vec<u8>> = HashMap::new();
    let mut header = [0u8; 8];
    while stream.read_exact(&mut header).is_ok() {
        let number = u16::from_be_bytes([header[2], header[3]]);
        let length = usize::from(u16::from_be_bytes([header[4], header[5]])) + usize::from(header[6]);
        let mut content = vec![0u8; length];
        if stream.read_exact(&mut content).is_err() {
            return;
        }
        content.truncate(length - usize::from(header[6]));
        match header[1] {
            6 => texts.entry(number).or_default().extend_from_slice(&content),
            3 => {
                let text = texts.remove(&number).unwrap_or_default();
                let split = text.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(text.len());
                let head = String::from_utf8_lossy(&text[..split]).into_owned();
                let status = head.lines().find_map(|line| line.strip_prefix("Status: ")?.get(..3)?.parse().ok());
                let status = if content.get(4) == Some(&0) { status.unwrap_or(0) } else { 0 };
                let body = text.get(split + 4..).unwrap_or_default().to_vec();
                on_answer(WebAnswer { number, status, body });
            }
            _ => {}
        }
    }
}

/// Whether a front end answers its health check with status 200 within the time given.
pub fn wait_healthy(address: SocketAddr, ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let (mut out, mut params) = (Vec::new(), Vec::new());
            pair(&mut params, "SCRIPT_NAME", "/-/healthy");
            write_record(&mut out, 1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
            write_record(&mut out, 4, 1, &params);
            write_record(&mut out, 4, 1, b"");
            write_record(&mut out, 5, 1, b"");
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            if stream.write_all(&out).is_ok() {
                let mut healthy = false;
                let reading = stream.try_clone().expect("stream");
                let close = stream;
                read_answers(reading, |answer| {
                    healthy = answer.status == 200;
                    let _ = close.shutdown(std::net::Shutdown::Both);
                });
                if healthy {
                    return true;
                }
            }
        }
        sleep_ms(50);
    }
    false
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: u64,
    pub wait_ms: u64,
    /// Time and status of each answer.
    pub answers: Vec<(u64, u16)>,
    /// The connection ended without an answer.
    pub cut_at: Option<u64>,
}

/// The usual clients: one web server that sends requests at a steady rate, one at a time on each connection, and
/// keeps connections for up to 3 s of idleness.
pub struct Usual {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    pool: Arc<Mutex<Vec<(TcpStream, Instant)>>>,
    record: Record,
}

impl Usual {
    pub fn new(record: Record) -> Usual {
        Usual { sent: Arc::default(), pool: Arc::default(), record }
    }

    /// Sends one request on a connection of its own; its client gives up after this time and closes.
    pub fn send_withdrawn(&self, to: SocketAddr, request: WebRequest, after_ms: u64) {
        let record = self.record.clone();
        thread::spawn(move || {
            let Ok(stream) = TcpStream::connect(to) else { return };
            let _ = stream.set_nodelay(true);
            if (&stream).write_all(&request.records(1)).is_err() {
                return;
            }
            record.line("client", &format!("sent {} class={} wait={}", request.id, request.class, request.wait_ms));
            sleep_ms(after_ms);
            let mut abort = Vec::new();
            write_record(&mut abort, 2, 1, b"");
            let _ = (&stream).write_all(&abort);
            record.line("client", &format!("withdrawn {}", request.id));
        });
    }

    /// Sends one request on a connection of its own thread; returns at once.
    pub fn send(&self, to: SocketAddr, request: WebRequest) {
        let (sent, pool, record) = (self.sent.clone(), self.pool.clone(), self.record.clone());
        thread::spawn(move || {
            let idle = pool.lock().ok().and_then(|mut pool| pool.pop());
            let idle = idle.filter(|(_, since)| since.elapsed() < Duration::from_secs(3)).map(|(stream, _)| stream);
            let stream = match idle.map_or_else(|| TcpStream::connect(to), Ok) {
                Ok(stream) => stream,
                Err(e) => return record.line("client", &format!("not connected for {}: {e}", request.id)),
            };
            let _ = stream.set_nodelay(true);
            if (&stream).write_all(&request.records(1)).is_err() {
                return record.line("client", &format!("not sent {}", request.id));
            }
            let (sent_at, id) = (now(), request.id.clone());
            record.line_at(sent_at, "client", &format!("sent {id} class={} wait={}", request.class, request.wait_ms));
            let index = {
                let mut sent = sent.lock().expect("sent");
                sent.push(Sent { id: id.clone(), sent_at, wait_ms: request.wait_ms, answers: Vec::new(), cut_at: None });
                sent.len() - 1
            };
            let mut answered = false;
            let reading = stream.try_clone().expect("stream");
            let mut one = OneAnswer { stream: reading };
            if let Some(answer) = one.read() {
                let at = now();
                answered = true;
                record.line_at(at, "client", &format!("answer {id} status={}", answer.status));
                sent.lock().expect("sent")[index].answers.push((at, answer.status));
            }
            if answered {
                pool.lock().expect("pool").push((stream, Instant::now()));
            } else {
                let at = now();
                record.line_at(at, "client", &format!("closed without an answer {id}"));
                sent.lock().expect("sent")[index].cut_at = Some(at);
            }
        });
    }
}

/// Reads one answer from a connection.
struct OneAnswer {
    stream: TcpStream,
}

impl OneAnswer {
    fn read(&mut self) -> Option<WebAnswer> {
        let mut text = Vec::new();
        let mut header = [0u8; 8];
        loop {
            self.stream.read_exact(&mut header).ok()?;
            let padding = usize::from(header[6]);
            let mut content = vec![0u8; usize::from(u16::from_be_bytes([header[4], header[5]])) + padding];
            self.stream.read_exact(&mut content).ok()?;
            content.truncate(content.len() - padding);
            match header[1] {
                6 => text.extend_from_slice(&content),
                3 => {
                    let split = text.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(text.len());
                    let head = String::from_utf8_lossy(&text[..split]).into_owned();
                    let status = head.lines().find_map(|line| line.strip_prefix("Status: ")?.get(..3)?.parse().ok());
                    let number = u16::from_be_bytes([header[2], header[3]]);
                    let body = text.get(split + 4..).unwrap_or_default().to_vec();
                    return Some(WebAnswer { number, status: status.unwrap_or(0), body });
                }
                _ => {}
            }
        }
    }
}

/// A started deployment: a board, executors and one front end that is ready.
pub struct Deployment {
    pub processes: Processes,
    pub front: SocketAddr,
    pub front_pid: u32,
}

/// Starts a board, 12 executors of three zones and a front end; none if the front end is not ready in time.
pub fn start_deployment(folder: &Path, executor: &ExecutorOptions, limits: (u64, u64)) -> Option<Deployment> {
    let mut processes = Processes::new(folder);
    let board = free_address();
    processes.start_role("board", &["board".into(), board.to_string()]);
    let mut members = Vec::new();
    for n in 0..EXECUTORS {
        let (name, listen) = (format!("executor{n}"), free_address());
        let options = ExecutorOptions { name: name.clone(), listen, ..executor.clone() };
        processes.start_role(&name, &executor_arguments(&options, &folder.join(format!("{name}.rec"))));
        let zone = ["hall-a", "hall-b", "hall-c"][n as usize % 3];
        members.push(Member { id: 0x1000 + n * 0x1357, address: listen, zone });
    }
    let front = free_address();
    let config = folder.join("n0.json");
    std::fs::write(&config, configuration("n0", front, board, &members, limits)).ok()?;
    sleep_ms(300);
    let front_pid = processes.start_front_end("n0", &config);
    if !wait_healthy(front, 10_000) {
        processes.record.line("driver", "the front end is not ready");
        return None;
    }
    // By then the board has confirmed the list.
    sleep_ms(1500);
    Some(Deployment { processes, front, front_pid })
}

/// Number of executors of a deployment.
pub const EXECUTORS: u32 = 12;

/// The arguments of an executor's role, and back.
pub fn executor_arguments(options: &ExecutorOptions, record: &Path) -> Vec<String> {
    vec![
        "executor".into(),
        options.name.clone(),
        options.listen.to_string(),
        options.work_ms.to_string(),
        options.load_ms.to_string(),
        options.functions.clone(),
        options.receive_buffer.to_string(),
        options.segment.to_string(),
        record.display().to_string(),
    ]
}

/// Lets the program of a case end with the script that started it, and after 110 s at the latest. What it started itself
/// ends with it.
fn end_with_script() {
    // SAFETY: one system call, PR_SET_PDEATHSIG with SIGKILL.
    unsafe { prctl(1, 9usize) };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        std::process::exit(2);
    });
}

/// Plays a role if the arguments name one; does not return then.
pub fn play_role() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let text: Vec<&str> = args.iter().map(String::as_str).collect();
    match text.as_slice() {
        ["board", listen] => {
            end_with_parent();
            run_board(listen.parse().expect("address"));
        }
        ["executor", name, listen, work, load, functions, buffer, segment, record] => {
            end_with_parent();
            let options = ExecutorOptions {
                name: (*name).to_owned(),
                listen: listen.parse().expect("address"),
                work_ms: work.parse().expect("work"),
                load_ms: load.parse().expect("load"),
                functions: (*functions).to_owned(),
                receive_buffer: buffer.parse().expect("buffer"),
                segment: segment.parse().expect("segment"),
            };
            run_executor(options, Record::open(Path::new(record)));
        }
        _ => return end_with_script(),
    }
    std::process::exit(0);
}

/// Merges the records of all processes into one, sorted by time.
pub fn merge_records(folder: &Path, into: &Path) {
    let mut lines: Vec<(u64, String)> = Vec::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        if entry.path().extension().is_some_and(|e| e == "rec") {
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            for line in text.lines() {
                let at = line.split(' ').next().and_then(|at| at.parse().ok()).unwrap_or(0);
                lines.push((at, line.to_owned()));
            }
        }
    }
    lines.sort();
    let text: String = lines.into_iter().map(|(_, line)| line + "\n").collect();
    let _ = std::fs::write(into, text);
}

/// Whether the disruption of the case is played: TROUBLE is not 0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
