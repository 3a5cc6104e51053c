//! One member as a process: acts as often as it may, makes announcements, and records what it did and
//! received.

use crate::RigError;
use badgerwind_check::register::{Event as RecordedEvent, Line, Observation};
use badgerwind_fleet::member::{EmptyStateMachine, EventListener, MemberOptions, RegisterMember};
use badgerwind_register::{Event, Index, Member, Settings, Time};
use badgerwind_webhook::Key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Arguments of a member.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Number of the member
    #[arg(long)]
    number: Member,
    /// File of the settings that all members share
    #[arg(long)]
    trial: PathBuf,
    /// Address on which it listens for the others
    #[arg(long)]
    listen: SocketAddr,
    /// File of the addresses of the others, as JSON
    #[arg(long)]
    peers: PathBuf,
    /// File of the key by which members authenticate each other
    #[arg(long)]
    key: PathBuf,
    /// File to which it writes its record
    #[arg(long)]
    record: PathBuf,
    /// Folder of a voter's disk
    #[arg(long)]
    disk: Option<PathBuf>,
    /// Parts per million by which its clock runs fast
    #[arg(long = "clock-fast", value_name = "CLOCK_FAST", default_value_t = 0, allow_hyphen_values = true)]
    clock_skew_ppm: i64,
    /// Milliseconds between two checks of whether it may act
    #[arg(long = "look-every", value_name = "LOOK_EVERY", default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    check_interval_ms: u64,
    /// Checks between two records that it writes to the register; 0 for none
    #[arg(long, default_value_t = 8)]
    record_every: u32,
    /// Bytes of such a record
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(4..=1024))]
    record_bytes: u32,
    /// Does not record the events of the log, so that only the member itself is measured
    #[arg(long)]
    without_events: bool,
}

/// Settings that all members of a run share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    /// The voters.
    pub voters: Vec<Member>,
    /// Length of the lease, in microseconds.
    pub lease: u64,
    /// Heartbeat interval, in microseconds.
    #[serde(rename = "beat")]
    pub heartbeat_interval: u64,
    /// Largest drift of the clocks, in parts per million.
    #[serde(rename = "drift")]
    pub drift_ppm: u32,
}

impl Trial {
    /// Returns them as settings of the register.
    pub fn settings(&self) -> Settings {
        let Trial { voters, lease, heartbeat_interval, drift_ppm } = self.clone();
        Settings {
            lease,
            heartbeat_interval,
            drift_ppm,
            retained_entries: 256,
            ..Settings::for_voters(voters)
        }
    }
}

/// Wall-clock time in microseconds: the clock that all processes of a machine share; used in records only.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

pub(crate) fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, RigError> {
    let shown = || path.display().to_string();
    let text = std::fs::read(path).map_err(|e| RigError::File(shown(), e))?;
    serde_json::from_slice(&text).map_err(|e| RigError::Text(shown(), e))
}

/// Writes complete lines, so that a killed writer leaves at most one truncated line.
struct Record {
    file: Mutex<File>,
    member: Member,
    run: u64,
    /// Wall-clock time at the member's own time 0.
    start: Mutex<u64>,
    clock_skew_ppm: i64,
}

impl Record {
    fn write(&self, at: Time, observation: Observation) {
        let rate = 1_000_000 + i128::from(self.clock_skew_ppm);
        let start = *self.start.lock().unwrap_or_else(PoisonError::into_inner);
        let at = start + (i128::from(at) * 1_000_000 / rate.max(1)) as u64;
        let Ok(mut text) = serde_json::to_vec(&Line { at, member: self.member, run: self.run, observation })
        else {
            return;
        };
        text.push(b'\n');
        // Without a complete record the run is worthless, so the process exits.
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if file.write_all(&text).is_err() {
            std::process::exit(3);
        }
    }
}

struct RecordWriter {
    record: Arc<Record>,
    events: bool,
}

impl EventListener<EmptyStateMachine> for RecordWriter {
    fn on_event(&mut self, at: Time, entry: Index, event: &Event) {
        if !self.events {
            return;
        }
        let event = match *event {
            Event::Began(member, incarnation) => RecordedEvent::Began { member, incarnation },
            Event::Ended(member, incarnation) => RecordedEvent::Ended { member, incarnation },
            Event::Announced(member, incarnation, serial) => {
                RecordedEvent::Announced { member, incarnation, serial }
            }
        };
        self.record.write(at, Observation::Received { entry, event });
    }
}

/// Runs until it is killed.
pub fn run(args: &Args) -> Result<(), RigError> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter("warn").init();
    let trial: Trial = read(&args.trial)?;
    let peers: BTreeMap<Member, SocketAddr> = read(&args.peers)?;
    let text = std::fs::read_to_string(&args.key);
    let text = text.map_err(|e| RigError::File(args.key.display().to_string(), e))?;
    let key = Key::parse(text.trim()).map_err(|e| RigError::Member(e.to_string()))?;
    let shown = || args.record.display().to_string();
    let file = File::create(&args.record).map_err(|e| RigError::File(shown(), e))?;
    let record = Record {
        file: Mutex::new(file),
        member: args.number,
        run: wall(),
        start: Mutex::new(0),
        clock_skew_ppm: args.clock_skew_ppm,
    };
    let record = Arc::new(record);
    let options = MemberOptions {
        me: args.number,
        zone: (args.number % 3) as u8,
        settings: trial.settings(),
        listen: args.listen,
        peers,
        key,
        disk: args.disk.clone(),
        clock_skew_ppm: args.clock_skew_ppm,
    };
    let writer = RecordWriter { record: record.clone(), events: !args.without_events };
    // Held until the start is known: events that the member's thread receives meanwhile wait for it.
    let mut start = record.start.lock().unwrap_or_else(PoisonError::into_inner);
    let started = RegisterMember::start(options, EmptyStateMachine, writer);
    let (member, ended) = started.map_err(|e| RigError::Member(e.to_string()))?;
    let own_time =
        i128::from(member.now()) * 1_000_000 / (1_000_000 + i128::from(args.clock_skew_ppm)).max(1);
    *start = wall() - own_time as u64;
    drop(start);
    for turn in 0u32.. {
        if let Ok(why) = ended.try_recv() {
            return Err(RigError::Member(why.to_string()));
        }
        // The recorded line is the effect; the incarnation was checked at its time.
        if let (Some(incarnation), at) = member.live_incarnation_at() {
            record.write(at, Observation::Acted { incarnation });
            if args.record_every > 0 && turn % args.record_every == 0 {
                // Fails if the lease has just expired or too many are pending; the next one is tried anyway.
                let mut bytes = turn.to_be_bytes().to_vec();
                bytes.resize(args.record_bytes as usize, 0);
                let _ = smol::block_on(member.announce(bytes));
            }
        }
        std::thread::sleep(Duration::from_millis(args.check_interval_ms));
    }
    Ok(())
}
