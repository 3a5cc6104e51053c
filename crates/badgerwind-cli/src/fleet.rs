//! `fleet`: what front ends say of who is there and of the budgets that they divide, put side by side.

use crate::CommandError;
use badgerwind_http::{Exchange, Pool, PoolBounds};
use clap::Subcommand;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Where to ask.
#[derive(clap::Args, Debug)]
pub struct At {
    /// Addresses of front ends' figures (<metrics listen>); give it again for each
    #[arg(long = "at", required = true)]
    at: Vec<SocketAddr>,
    /// As JSON
    #[arg(long)]
    json: bool,
}

/// The sub-commands.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Who is there by each front end's view, and whom each takes for keeper
    Status(At),
    /// Each budget: who owns how much of it, until when, and what is in nobody's hands
    Budgets(At),
    /// Each zone: its stage and share at each front end, and the evidence for it
    Zones(At),
    /// An operator's word of a zone, written into a settings file or a part of kind fleet
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// One budget unit by unit: who owns which, until when, what rests and when it may be had
    Explain {
        /// Its name in the settings
        budget: String,
        /// Where to ask
        #[command(flatten)]
        at: At,
    },
}

/// Words of a zone.
#[derive(Subcommand, Debug)]
pub enum ZoneCommand {
    /// Nothing goes there until the word is taken back
    Leave(ZoneArgs),
    /// It stays as it is, whatever front ends find
    Hold(ZoneArgs),
    /// If it was left, its return begins now, step by step
    Return(ZoneArgs),
    /// The word is taken back: front ends go by what they find
    Free(ZoneArgs),
}

/// What a word is of.
#[derive(clap::Args, Debug)]
pub struct ZoneArgs {
    /// The zone's name
    zone: String,
    /// Why, for the log of each front end
    #[arg(long)]
    why: String,
    /// The file that names the zones: a front end's settings, or a part to publish
    #[arg(long)]
    settings: PathBuf,
    /// Change nothing; tell what would be in use
    #[arg(long, requires = "at")]
    dry_run: bool,
    /// Addresses of front ends' figures, for --dry-run; give it again for each
    #[arg(long = "at")]
    at: Vec<SocketAddr>,
}

/// What is known of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SeenMember {
    /// Its number.
    pub member: u16,
    /// What it is taken for.
    pub state: String,
    /// Its life.
    pub life: u64,
    /// Its incarnation.
    pub round: u32,
}

/// Units that stand alike, by the keeper's ledger.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Stretch {
    /// `owned`, `rests` or `free`.
    pub state: String,
    /// The owner.
    pub member: Option<u16>,
    /// Until then it is so, in milliseconds from now.
    pub ms: u64,
    /// The first unit.
    pub from: u16,
    /// The last.
    pub to: u16,
}

/// A budget by one front end's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetHere {
    /// Its name.
    pub name: String,
    /// `orders` or `tenant`.
    pub of: String,
    /// Units in all.
    pub units: u16,
    /// Of these, each front end's own for good.
    pub floor: u16,
    /// How long a spent unit rests, in milliseconds.
    pub window_ms: u64,
    /// Units that it owns.
    pub owned: usize,
    /// Of these, its own for good.
    pub owned_floor: usize,
    /// Which, each range without its end.
    pub ranges: Vec<(u16, u16)>,
    /// What was granted counts so much longer, in milliseconds.
    pub until_ms: u64,
    /// What it asked for.
    pub wants: u16,
    /// Units that it was asked for in the last window.
    pub asked_lately: f64,
    /// Until a unit may be spent, in milliseconds; nothing where it owns none.
    pub wait_ms: Option<u64>,
    /// Load orders held back.
    pub refused: u64,
    /// The ledger, where it is keeper.
    pub standings: Option<Vec<Stretch>>,
}

/// One front end's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Word {
    /// Its number.
    pub number: u16,
    /// The version of the wholes that it goes by.
    pub version: u32,
    /// Whose votes count.
    pub voters: Vec<u16>,
    /// Whom it takes for keeper.
    pub keeper: Option<u16>,
    /// It is keeper.
    pub reigns: bool,
    /// How long a grant counts, in milliseconds.
    pub lease_ms: u64,
    /// How unsure of itself it is.
    pub health: u32,
    /// The others.
    pub members: Vec<SeenMember>,
    /// The budgets.
    pub budgets: Vec<BudgetHere>,
}

/// What one front end saw of a zone's runners of late.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OwnSight {
    /// They answered in time.
    pub heard: u16,
    /// Late.
    pub late: u16,
    /// Not at all.
    pub lost: u16,
}

/// What all that told came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JointSight {
    /// Front ends that told.
    pub fronts: usize,
    /// Of these, that hear it.
    pub hearing: u16,
    /// Evidence that it is lost, in nats.
    pub lost: f64,
    /// That it is late.
    pub late: f64,
}

/// A zone by one front end's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneHere {
    /// Its name.
    pub name: String,
    /// Its stage by the fleet's word.
    pub stage: String,
    /// The part of its runners that this front end sends to.
    pub share: f64,
    /// Changes of stage so far.
    pub generation: u16,
    /// Since when, in milliseconds.
    pub since_ms: u64,
    /// Returns that failed lately.
    pub failed_returns: u8,
    /// This front end leaves it by its own word alone.
    pub alone: bool,
    /// An operator's word: leave, hold or return.
    pub word: Option<String>,
    /// Its runners' sizes together.
    pub size: f64,
    /// Its runners.
    pub runners: usize,
    /// Its own evidence.
    pub own: OwnSight,
    /// The joint one, where voters answer.
    pub fleet: Option<JointSight>,
}

/// Zones by one front end's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZonesWord {
    /// Its number.
    pub number: u32,
    /// By place.
    pub zones: Vec<ZoneHere>,
}

/// All that a front end says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Whole {
    /// Of budgets and members.
    pub shares: Option<Word>,
    /// Of zones.
    pub zones: Option<ZonesWord>,
}

/// An address and what came from there.
pub type Asked = (SocketAddr, Result<Word, String>);

/// How long a front end may take to say it.
const WITHIN: Duration = Duration::from_secs(3);

/// Asks one front end for its word of budgets and members.
pub async fn ask(at: SocketAddr) -> Result<Word, String> {
    ask_whole(at).await?.shares.ok_or_else(|| "its settings name no <budgets>".into())
}

/// Asks one front end for all that it says.
pub async fn ask_whole(at: SocketAddr) -> Result<Whole, String> {
    let bounds = PoolBounds { most: 1, connect_time: WITHIN, idle_time: WITHIN, body_bytes: 16 << 20 };
    let request =
        Exchange { method: "GET", target: "/fleet".into(), headers: vec![], body: Arc::from(&b""[..]) };
    let late = async {
        smol::Timer::after(WITHIN).await;
        Err("no answer in time".to_owned())
    };
    let asked = async { Pool::new(at, bounds).exchange(&request).await.map_err(|e| e.to_string()) };
    let (head, body) = asked.or(late).await?;
    match head.status {
        200 => serde_json::from_slice(&body).map_err(|e| format!("not a fleet's word: {e}")),
        404 => Err("its settings name neither <budgets> nor <leaving>".into()),
        status => Err(format!("status {status}")),
    }
}

fn ask_all(at: &[SocketAddr]) -> Vec<(SocketAddr, Result<Whole, String>)> {
    smol::block_on(async {
        let tasks: Vec<_> = at.iter().map(|a| (*a, smol::spawn(ask_whole(*a)))).collect();
        let mut all = Vec::new();
        for (a, task) in tasks {
            all.push((a, task.await));
        }
        all
    })
}

/// What is in use of all runners by size at each front end, now and with a zone at another share.
pub fn dry_run(words: &[ZonesWord], zone: &str, share: f64) -> String {
    let mut out = String::new();
    for w in words {
        let all: f64 = w.zones.iter().map(|z| z.size).sum();
        let used = |of: &dyn Fn(&ZoneHere) -> f64| -> f64 {
            let sum: f64 = w.zones.iter().map(|z| of(z) * z.size).sum();
            if all > 0.0 {
                sum / all
            } else {
                0.0
            }
        };
        let now = used(&|z| z.share);
        let then = used(&|z| if z.name == zone { share } else { z.share });
        let _ = writeln!(
            out,
            "front end {}: {now:.2} of all runners by size in use now, {then:.2} then; what the rest can't bear is refused",
            w.number
        );
    }
    out
}

fn zone_word(command: &ZoneCommand) -> Result<(), CommandError> {
    let (word, share, args) = match command {
        ZoneCommand::Leave(a) => (Some("leave"), 0.0, a),
        ZoneCommand::Hold(a) => (Some("hold"), 1.0, a),
        ZoneCommand::Return(a) => (Some("return"), 1.0, a),
        ZoneCommand::Free(a) => (None, 1.0, a),
    };
    let shown = args.settings.display();
    let text = std::fs::read_to_string(&args.settings);
    let text = text.map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
    let why = args.why.as_str();
    if why.is_empty() || why.len() > 200 || why.contains(char::is_control) {
        return Err(CommandError::usage("give --why 1 to 200 bytes of words on one line"));
    }
    let changed = badgerwind_settings::edit::set_zone_directive(&text, &args.zone, word.map(|w| (w, why)))
        .map_err(|e| CommandError::usage(format!("{shown}: {e}")))?;
    if args.dry_run {
        let whole = ask_all(&args.at);
        let words: Vec<ZonesWord> =
            whole.iter().filter_map(|(_, w)| w.as_ref().ok()?.zones.clone()).collect();
        if words.is_empty() {
            return Err(CommandError::failed("no front end that was asked has <leaving> in its settings"));
        }
        // A word that holds changes no share; one that frees or returns leads to all of it, step by step.
        let hold = matches!(command, ZoneCommand::Hold(_));
        let stays = words[0].zones.iter().find(|z| z.name == args.zone).map_or(1.0, |z| z.share);
        print!("{}", dry_run(&words, &args.zone, if hold { stays } else { share }));
        return Ok(());
    }
    crate::write_atomically(&args.settings, &changed)?;
    println!(
        "{shown}: zone {}, {}. Send SIGHUP to each front end that has this file, or publish it if it is a part of kind fleet",
        args.zone,
        word.unwrap_or("free")
    );
    Ok(())
}

/// Runs a sub-command.
pub fn run(command: &Command) -> Result<(), CommandError> {
    let at = match command {
        Command::Zone(command) => return zone_word(command),
        Command::Status(at) | Command::Budgets(at) | Command::Zones(at) | Command::Explain { at, .. } => at,
    };
    let whole = ask_all(&at.at);
    if at.json && whole.iter().any(|a| a.1.is_ok()) {
        let entry = |(at, word): &(SocketAddr, Result<Whole, String>)| match word {
            Ok(word) => serde_json::json!({ "at": at, "word": word }),
            Err(e) => serde_json::json!({ "at": at, "error": e }),
        };
        let all: Vec<_> = whole.iter().map(entry).collect();
        println!("{}", serde_json::Value::from(all));
        return Ok(());
    }
    if let Command::Zones(_) = command {
        let zones: Vec<ZonesWord> =
            whole.iter().filter_map(|(_, w)| w.as_ref().ok()?.zones.clone()).collect();
        if zones.is_empty() {
            return Err(CommandError::failed("no front end that was asked has <leaving> in its settings"));
        }
        print!("{}", zone_table(&zones));
        return Ok(());
    }
    let no = || "its settings name no <budgets>".to_owned();
    let all: Vec<Asked> =
        whole.into_iter().map(|(at, w)| (at, w.and_then(|w| w.shares.ok_or_else(no)))).collect();
    let words: Vec<&Word> = all.iter().filter_map(|a| a.1.as_ref().ok()).collect();
    if words.is_empty() {
        let why: Vec<String> =
            all.iter().filter_map(|a| Some(format!("{}: {}", a.0, a.1.as_ref().err()?))).collect();
        return Err(CommandError::failed(format!("no front end tells of budgets\n{}", why.join("\n"))));
    }
    let text = match command {
        Command::Status(_) => status(&all),
        Command::Explain { budget, .. } => explain(&words, budget)?,
        Command::Budgets(_) | Command::Zones(_) | Command::Zone(_) => budgets(&words),
    };
    print!("{text}");
    Ok(())
}

/// Zones, as a table.
pub fn zone_table(words: &[ZonesWord]) -> String {
    let mut out = String::new();
    let names: Vec<&str> =
        words.first().map_or(vec![], |w| w.zones.iter().map(|z| z.name.as_str()).collect());
    for name in names {
        let _ = writeln!(out, "{name}");
        let _ = writeln!(
            out,
            "  {:>6} {:<9} {:>6} {:>5} {:>10} {:>6}  {:<24} joint word",
            "number", "stage", "share", "moves", "since", "failed", "own: heard late lost"
        );
        for (number, z) in
            words.iter().filter_map(|w| Some((w.number, w.zones.iter().find(|z| z.name == name)?)))
        {
            let stage = match (&z.word, z.alone) {
                (Some(word), _) => format!("{}!", word),
                (None, true) => "alone".into(),
                (None, false) => z.stage.clone(),
            };
            let since = format!("{:.1} s", z.since_ms as f64 / 1e3);
            let own = format!("{} {} {}", z.own.heard, z.own.late, z.own.lost);
            let joint = z.fleet.as_ref().map_or("no word from voters".to_owned(), |f| {
                format!("lost {:.1} nats, late {:.1}; {} of {} hear it", f.lost, f.late, f.hearing, f.fronts)
            });
            let (share, moves, failed) = (z.share, z.generation, z.failed_returns);
            let _ = writeln!(
                out,
                "  {number:>6} {stage:<9} {share:>6.3} {moves:>5} {since:>10} {failed:>6}  {own:<24} {joint}"
            );
        }
    }
    out
}

/// Who is there, as a table.
pub fn status(all: &[Asked]) -> String {
    let mut out =
        format!("{:<22} {:>6} {:>8} {:>7} {:>7}  others\n", "at", "number", "settings", "keeper", "unsure");
    for (at, word) in all {
        // Writing to a `String` cannot fail.
        let _ = match word {
            Err(e) => writeln!(out, "{:<22} {e}", at.to_string()),
            Ok(w) => {
                let keeper = match (w.reigns, w.keeper) {
                    (true, _) => "itself".to_owned(),
                    (false, Some(k)) => k.to_string(),
                    (false, None) => "none".to_owned(),
                };
                let of = |state: &str| -> Vec<String> {
                    w.members.iter().filter(|m| m.state == state).map(|m| m.member.to_string()).collect()
                };
                let states = ["alive", "suspect", "dead", "left", "unknown"];
                let told = states.iter().map(|s| (s, of(s))).filter(|(_, m)| !m.is_empty());
                let others: Vec<String> = told.map(|(s, m)| format!("{s} {}", m.join(" "))).collect();
                let (number, version) = (w.number, w.version);
                let at = at.to_string();
                let unsure = w.health;
                writeln!(
                    out,
                    "{at:<22} {number:>6} {version:>8} {keeper:>7} {unsure:>7}  {}",
                    others.join(", ")
                )
            }
        };
    }
    out
}

/// The keeper's ledger of a budget: nobody else knows what is in nobody's hands.
fn ledger<'a>(words: &[&'a Word], name: &str) -> Option<(&'a Word, &'a [Stretch])> {
    words.iter().find_map(|w| {
        let b = w.budgets.iter().find(|b| b.name == name)?;
        Some((*w, b.standings.as_deref()?))
    })
}

fn count<'a>(stretches: impl Iterator<Item = &'a Stretch>) -> usize {
    stretches.map(|s| usize::from(s.to - s.from) + 1).sum()
}

/// Each budget, as a table.
pub fn budgets(words: &[&Word]) -> String {
    let mut out = String::new();
    let mut names: Vec<&str> = Vec::new();
    for b in words.iter().flat_map(|w| &w.budgets) {
        if !names.contains(&b.name.as_str()) {
            names.push(&b.name);
        }
    }
    for name in names {
        let here: Vec<(u16, &BudgetHere)> = words
            .iter()
            .filter_map(|w| Some((w.number, w.budgets.iter().find(|b| b.name == name)?)))
            .collect();
        let Some((_, first)) = here.first() else { continue };
        let owned: usize = here.iter().map(|(_, b)| b.owned).sum();
        let _ = writeln!(
            out,
            "{name} (of {}): {} units, floor {}, window {} ms; those asked own {owned}",
            first.of, first.units, first.floor, first.window_ms
        );
        let _ = writeln!(
            out,
            "  {:>6} {:>6} {:>6} {:>10} {:>6} {:>12} {:>8}",
            "number", "owns", "floor", "until", "wants", "asked lately", "refused"
        );
        for (number, b) in &here {
            let until = if b.owned > b.owned_floor { format!("{} ms", b.until_ms) } else { "-".into() };
            let _ = writeln!(
                out,
                "  {number:>6} {:>6} {:>6} {until:>10} {:>6} {:>12.1} {:>8}",
                b.owned, b.owned_floor, b.wants, b.asked_lately, b.refused
            );
        }
        let _ = match ledger(words, name) {
            None => writeln!(out, "  no keeper among those asked: what is in nobody's hands is not known"),
            Some((_, all)) => {
                let of = |state: &'static str| all.iter().filter(move |s| s.state == state);
                let back = of("rests").map(|s| s.ms).max().unwrap_or(0);
                writeln!(
                    out,
                    "  in nobody's hands: {} free, {} at rest, the last of them for {back} ms",
                    count(of("free")),
                    count(of("rests"))
                )
            }
        };
    }
    out
}

/// One budget, unit by unit.
pub fn explain(words: &[&Word], name: &str) -> Result<String, CommandError> {
    let mut here = words.iter().flat_map(|w| &w.budgets).filter(|b| b.name == name);
    let Some(b) = here.next() else {
        let names: Vec<&str> = words[0].budgets.iter().map(|b| b.name.as_str()).collect();
        return Err(CommandError::usage(format!(
            "no budget is named {name}; there are {}",
            names.join(", ")
        )));
    };
    let members = words.iter().map(|w| w.members.len() + 1).max().unwrap_or(1);
    let floors = (usize::from(b.floor) * members).min(usize::from(b.units));
    let mut out = format!("{name}: {} units, a spent one rests for {} ms\n", b.units, b.window_ms);
    if floors > 0 {
        let _ = writeln!(
            out,
            "{:>11}  floors: {} for each of {members} front ends, for good",
            format!("0-{}", floors - 1),
            b.floor
        );
    }
    match ledger(words, name) {
        Some((keeper, all)) => {
            for s in all {
                let units = if s.from == s.to { s.from.to_string() } else { format!("{}-{}", s.from, s.to) };
                let what = match (s.state.as_str(), s.member) {
                    ("owned", Some(m)) => {
                        let its = words.iter().find(|w| w.number == m).map(|w| {
                            let state = w.budgets.iter().find(|b| b.name == name);
                            state.map_or(String::new(), |b| format!("; it wants {}", b.wants))
                        });
                        format!("front end {m}, for {} ms unless renewed{}", s.ms, its.unwrap_or_default())
                    }
                    ("rests", _) => format!(
                        "nobody's: it changes hands, or its owner died or was not heard of; to be had in {} ms",
                        s.ms
                    ),
                    _ => "nobody's: nobody wants it".to_owned(),
                };
                let _ = writeln!(out, "{units:>11}  {what}");
            }
            let _ = writeln!(out, "by the ledger of front end {}, the keeper", keeper.number);
        }
        None => {
            for (number, b) in
                words.iter().filter_map(|w| Some((w.number, w.budgets.iter().find(|b| b.name == name)?)))
            {
                let ranges: Vec<String> =
                    b.ranges.iter().map(|(from, to)| format!("{from}-{}", to - 1)).collect();
                let _ = writeln!(
                    out,
                    "front end {number} owns {}; what was granted for {} ms more",
                    ranges.join(" "),
                    b.until_ms
                );
            }
            let voters: Vec<String> = words[0].voters.iter().map(u16::to_string).collect();
            let _ = writeln!(
                out,
                "no keeper among those asked: ask {}. Without a keeper what was granted ends with its lease ({} ms) and \
                 floors stay; more than half of these voters must be there",
                voters.join(", "),
                words[0].lease_ms
            );
        }
    }
    Ok(out)
}
