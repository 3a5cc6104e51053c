//! One member as a process: acts as often as it may, says words, and writes down what it did and what it was told.

use crate::RigError;
use badgerwind_check::register::{Event as Told, Line, What};
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
    /// Its number
    #[arg(long)]
    number: Member,
    /// What all members go by
    #[arg(long)]
    trial: PathBuf,
    /// Where it hears the others
    #[arg(long)]
    listen: SocketAddr,
    /// Where it reaches the others, as JSON
    #[arg(long)]
    peers: PathBuf,
    /// The file of the key by which members prove themselves
    #[arg(long)]
    key: PathBuf,
    /// Where it writes what it did
    #[arg(long)]
    record: PathBuf,
    /// A voter's disk
    #[arg(long)]
    disk: Option<PathBuf>,
    /// Millionths by which its clock runs fast
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    clock_fast: i64,
    /// Milliseconds between two looks at whether it may act
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    look_every: u64,
    /// Looks between two records that it writes to the register; 0 for none
    #[arg(long, default_value_t = 8)]
    record_every: u32,
    /// Bytes of such a record
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(4..=1024))]
    record_bytes: u32,
    /// Does not write down what the log tells it: what is measured then is the member alone
    #[arg(long)]
    without_events: bool,
}

/// What all members of a day go by.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    /// Who votes.
    pub voters: Vec<Member>,
    /// Microseconds.
    pub lease: u64,
    /// Microseconds.
    pub beat: u64,
    /// Millionths.
    pub drift: u32,
}

impl Trial {
    /// As the register has them.
    pub fn terms(&self) -> Settings {
        let Trial { voters, lease, beat, drift } = self.clone();
        Settings {
            lease,
            heartbeat_interval: beat,
            drift_ppm: drift,
            retained_entries: 256,
            ..Settings::for_voters(voters)
        }
    }
}

/// Wall time in microseconds: one clock for all processes of a machine, for records alone.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

pub(crate) fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, RigError> {
    let shown = || path.display().to_string();
    let text = std::fs::read(path).map_err(|e| RigError::File(shown(), e))?;
    serde_json::from_slice(&text).map_err(|e| RigError::Text(shown(), e))
}

/// Writes whole lines, so that a writer that is killed leaves no more than one half.
struct Record {
    file: Mutex<File>,
    member: Member,
    run: u64,
    /// The wall's time at the member's own time 0.
    start: Mutex<u64>,
    fast: i64,
}

impl Record {
    fn write(&self, at: Time, what: What) {
        let fast = 1_000_000 + i128::from(self.fast);
        let start = *self.start.lock().unwrap_or_else(PoisonError::into_inner);
        let at = start + (i128::from(at) * 1_000_000 / fast.max(1)) as u64;
        let Ok(mut text) = serde_json::to_vec(&Line { at, member: self.member, run: self.run, what }) else {
            return;
        };
        text.push(b'\n');
        // A rig without its record has nothing to show: it ends.
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if file.write_all(&text).is_err() {
            std::process::exit(3);
        }
    }
}

struct Writes {
    record: Arc<Record>,
    events: bool,
}

impl EventListener<EmptyStateMachine> for Writes {
    fn on_event(&mut self, at: Time, entry: Index, event: &Event) {
        if !self.events {
            return;
        }
        let event = match *event {
            Event::Began(of, life) => Told::Began { of, life },
            Event::Ended(of, life) => Told::Over { of, life },
            Event::Announced(of, life, serial) => Told::Said { of, life, serial },
        };
        self.record.write(at, What::Told { entry, event });
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
        fast: args.clock_fast,
    };
    let record = Arc::new(record);
    let options = MemberOptions {
        me: args.number,
        zone: (args.number % 3) as u8,
        settings: trial.terms(),
        listen: args.listen,
        peers,
        key,
        disk: args.disk.clone(),
        clock_skew_ppm: args.clock_fast,
    };
    let writes = Writes { record: record.clone(), events: !args.without_events };
    // Held until the start is known: what the member's thread is told meanwhile waits for it.
    let mut start = record.start.lock().unwrap_or_else(PoisonError::into_inner);
    let started = RegisterMember::start(options, EmptyStateMachine, writes);
    let (member, ended) = started.map_err(|e| RigError::Member(e.to_string()))?;
    let own = i128::from(member.now()) * 1_000_000 / (1_000_000 + i128::from(args.clock_fast)).max(1);
    *start = wall() - own as u64;
    drop(start);
    for turn in 0u32.. {
        if let Ok(why) = ended.try_recv() {
            return Err(RigError::Member(why.to_string()));
        }
        // The effect is this line; what it bears was looked at at that moment.
        if let (Some(life), at) = member.live_incarnation_at() {
            record.write(at, What::Acted { life });
            if args.record_every > 0 && turn % args.record_every == 0 {
                // Refused where the lease ran out in between, or too many wait: there is a next time.
                let mut bytes = turn.to_be_bytes().to_vec();
                bytes.resize(args.record_bytes as usize, 0);
                let _ = smol::block_on(member.announce(bytes));
            }
        }
        std::thread::sleep(Duration::from_millis(args.look_every));
    }
    Ok(())
}
