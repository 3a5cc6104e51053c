//! `fleet`: queries the status endpoints of front ends and prints members, budgets and zones side by side.

use crate::CommandError;
use badgerwind_http::{Exchange, Pool, PoolLimits};
use clap::Subcommand;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Arguments that name the front ends to query.
#[derive(clap::Args, Debug)]
pub struct QueryArgs {
    /// Metrics address of a front end (<metrics listen>); repeat for several
    #[arg(long = "at", required = true, value_name = "AT")]
    addresses: Vec<SocketAddr>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Sub-commands of `fleet`.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Show the members and the lease coordinator as each front end sees them
    Status(QueryArgs),
    /// Show how many units of each budget every front end owns, until when, and how many nobody owns
    Budgets(QueryArgs),
    /// Show each zone's stage and share at every front end, and the evidence for it
    Zones(QueryArgs),
    /// Write an operator's directive for a zone into a settings file or a part of kind fleet
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Show the units of one budget: their owners, lease ends and cooldowns
    Explain {
        /// The budget's name in the settings
        budget: String,
        /// The front ends to query
        #[command(flatten)]
        query: QueryArgs,
    },
}

/// Directives for a zone.
#[derive(Subcommand, Debug)]
pub enum ZoneCommand {
    /// Send no calls to the zone until the directive is removed
    Leave(ZoneArgs),
    /// Keep the zone's stage, whatever front ends observe
    Hold(ZoneArgs),
    /// Start the stepwise return of a zone that was left
    Return(ZoneArgs),
    /// Remove the directive: front ends follow their own observations again
    Free(ZoneArgs),
}

/// Arguments of a zone directive.
#[derive(clap::Args, Debug)]
pub struct ZoneArgs {
    /// Name of the zone
    zone: String,
    /// Reason, logged by each front end
    #[arg(long)]
    why: String,
    /// File that defines the zones: a front end's settings, or a part to publish
    #[arg(long)]
    settings: PathBuf,
    /// Change nothing; print the capacity that would stay in use
    #[arg(long, requires = "addresses")]
    dry_run: bool,
    /// Metrics address of a front end, for --dry-run; repeat for several
    #[arg(long = "at", value_name = "AT")]
    addresses: Vec<SocketAddr>,
}

/// Another member as a front end sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's number.
    pub member: u16,
    /// Detected state: `alive`, `suspect`, `dead`, `left` or `unknown`.
    pub state: String,
    /// The epoch of its process.
    #[serde(rename = "life")]
    pub epoch: u64,
    /// Its incarnation, by which it refutes suspicions.
    #[serde(rename = "round")]
    pub incarnation: u32,
}

/// A range of units in the same state, from the coordinator's ledger.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct UnitRange {
    /// `owned`, `rests` or `free`.
    pub state: String,
    /// The owner.
    pub member: Option<u16>,
    /// Time until the state ends, in milliseconds.
    #[serde(rename = "ms")]
    pub remaining_ms: u64,
    /// First unit.
    #[serde(rename = "from")]
    pub first: u16,
    /// Last unit, inclusive.
    #[serde(rename = "to")]
    pub last: u16,
}

/// A budget as reported by one front end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetReport {
    /// The budget's name.
    pub name: String,
    /// What it limits: `orders` or `tenant`.
    #[serde(rename = "of")]
    pub resource: String,
    /// Total number of units.
    pub units: u16,
    /// Units that each front end owns permanently.
    pub floor: u16,
    /// Cooldown of a spent unit, in milliseconds.
    pub window_ms: u64,
    /// Units that this front end owns.
    pub owned: usize,
    /// Of these, the ones that it owns permanently.
    pub owned_floor: usize,
    /// The owned units, as half-open ranges.
    pub ranges: Vec<(u16, u16)>,
    /// Remaining time of the lease on granted units, in milliseconds.
    pub until_ms: u64,
    /// Units that it requests.
    #[serde(rename = "wants")]
    pub wanted: u16,
    /// Units that calls demanded in the last window.
    #[serde(rename = "asked_lately")]
    pub recent_demand: f64,
    /// Time until a unit may be spent, in milliseconds; `None` if it owns none.
    pub wait_ms: Option<u64>,
    /// Load orders that were refused.
    pub refused: u64,
    /// The ledger, if this front end is the coordinator.
    #[serde(rename = "standings")]
    pub ledger: Option<Vec<UnitRange>>,
}

/// Members and budgets as reported by one front end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetsReport {
    /// The front end's number.
    pub number: u16,
    /// The version of the limits that it applies.
    pub version: u32,
    /// Members that vote for the coordinator.
    pub voters: Vec<u16>,
    /// The member that it believes to be the lease coordinator.
    #[serde(rename = "keeper")]
    pub coordinator: Option<u16>,
    /// Whether it is the coordinator itself.
    #[serde(rename = "reigns")]
    pub is_coordinator: bool,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Local health score of failure detection; higher means less certain of its own timing.
    pub health: u32,
    /// The other members.
    pub members: Vec<MemberReport>,
    /// The budgets.
    pub budgets: Vec<BudgetReport>,
}

/// Recent results of one front end's calls to a zone's runners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OwnCounts {
    /// Answered in time.
    #[serde(rename = "heard")]
    pub answered: u16,
    /// Answered late.
    pub late: u16,
    /// Not answered.
    pub lost: u16,
}

/// The combined evidence of all front ends that reported.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetEvidence {
    /// Front ends that reported.
    #[serde(rename = "fronts")]
    pub front_ends: usize,
    /// Of these, front ends that the zone still answers.
    #[serde(rename = "hearing")]
    pub reached_by: u16,
    /// Evidence that the zone is lost, in nats.
    pub lost: f64,
    /// Evidence that the zone answers late, in nats.
    pub late: f64,
}

/// A zone as reported by one front end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone's name.
    pub name: String,
    /// The stage that the fleet agreed on.
    pub stage: String,
    /// Share of the zone's runners that this front end sends to.
    pub share: f64,
    /// Number of stage changes so far.
    pub generation: u16,
    /// Time since the last stage change, in milliseconds.
    pub since_ms: u64,
    /// Recent returns that failed.
    pub failed_returns: u8,
    /// Whether this front end left the zone on its own evidence, without the fleet's agreement.
    pub alone: bool,
    /// An operator's directive: leave, hold or return.
    #[serde(rename = "word")]
    pub directive: Option<String>,
    /// Sum of its runners' sizes.
    pub size: f64,
    /// Number of its runners.
    pub runners: usize,
    /// The front end's own evidence.
    pub own: OwnCounts,
    /// The fleet's evidence, if voters answer.
    pub fleet: Option<FleetEvidence>,
}

/// Zones as reported by one front end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZonesReport {
    /// The front end's number.
    pub number: u32,
    /// The zones, by index in the settings.
    pub zones: Vec<ZoneReport>,
}

/// The complete answer of a front end's `/fleet` endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetReport {
    /// Members and budgets.
    #[serde(rename = "shares")]
    pub budgets: Option<BudgetsReport>,
    /// Zones.
    pub zones: Option<ZonesReport>,
}

/// The address of a front end and its answer.
pub type QueryResult = (SocketAddr, Result<BudgetsReport, String>);

/// Timeout of a query to one front end.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Queries one front end for its members and budgets.
pub async fn query_budgets(address: SocketAddr) -> Result<BudgetsReport, String> {
    query(address).await?.budgets.ok_or_else(|| "its settings name no <budgets>".into())
}

/// Queries one front end for its complete report.
pub async fn query(address: SocketAddr) -> Result<FleetReport, String> {
    let limits = PoolLimits {
        max_connections: 1,
        connect_timeout: QUERY_TIMEOUT,
        idle_timeout: QUERY_TIMEOUT,
        max_body_bytes: 16 << 20,
    };
    let request =
        Exchange { method: "GET", target: "/fleet".into(), headers: vec![], body: Arc::from(&b""[..]) };
    let timeout = async {
        smol::Timer::after(QUERY_TIMEOUT).await;
        Err("no answer in time".to_owned())
    };
    let answer = async { Pool::new(address, limits).exchange(&request).await.map_err(|e| e.to_string()) };
    let (head, body) = answer.or(timeout).await?;
    match head.status {
        200 => serde_json::from_slice(&body).map_err(|e| format!("the answer is not a fleet report: {e}")),
        404 => Err("its settings name neither <budgets> nor <leaving>".into()),
        status => Err(format!("status {status}")),
    }
}

fn query_all(addresses: &[SocketAddr]) -> Vec<(SocketAddr, Result<FleetReport, String>)> {
    smol::block_on(async {
        let tasks: Vec<_> = addresses.iter().map(|a| (*a, smol::spawn(query(*a)))).collect();
        let mut answers = Vec::new();
        for (address, task) in tasks {
            answers.push((address, task.await));
        }
        answers
    })
}

/// Prints the share of all runners by size in use at each front end, now and with `zone` at another share.
pub fn dry_run(reports: &[ZonesReport], zone: &str, share: f64) -> String {
    let mut out = String::new();
    for report in reports {
        let total: f64 = report.zones.iter().map(|z| z.size).sum();
        let used = |share_of: &dyn Fn(&ZoneReport) -> f64| -> f64 {
            let sum: f64 = report.zones.iter().map(|z| share_of(z) * z.size).sum();
            if total > 0.0 {
                sum / total
            } else {
                0.0
            }
        };
        let before = used(&|z| z.share);
        let after = used(&|z| if z.name == zone { share } else { z.share });
        let _ = writeln!(
            out,
            "front end {}: {before:.2} of all runners by size in use now, {after:.2} then; calls beyond the remaining capacity are refused",
            report.number
        );
    }
    out
}

fn set_zone_directive(command: &ZoneCommand) -> Result<(), CommandError> {
    let (directive, share, args) = match command {
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
        return Err(CommandError::usage("--why needs 1 to 200 bytes of text on one line"));
    }
    let changed =
        badgerwind_settings::edit::set_zone_directive(&text, &args.zone, directive.map(|d| (d, why)))
            .map_err(|e| CommandError::usage(format!("{shown}: {e}")))?;
    if args.dry_run {
        let answers = query_all(&args.addresses);
        let reports: Vec<ZonesReport> =
            answers.iter().filter_map(|(_, r)| r.as_ref().ok()?.zones.clone()).collect();
        if reports.is_empty() {
            return Err(CommandError::failed("no queried front end has <leaving> in its settings"));
        }
        // `hold` changes no share; `free` and `return` lead to the full share step by step.
        let hold = matches!(command, ZoneCommand::Hold(_));
        let current = reports[0].zones.iter().find(|z| z.name == args.zone).map_or(1.0, |z| z.share);
        print!("{}", dry_run(&reports, &args.zone, if hold { current } else { share }));
        return Ok(());
    }
    crate::write_atomically(&args.settings, &changed)?;
    println!(
        "{shown}: zone {}, {}. Send SIGHUP to each front end that has this file, or publish it if it is a part of kind fleet",
        args.zone,
        directive.unwrap_or("free")
    );
    Ok(())
}

/// Runs a sub-command.
pub fn run(command: &Command) -> Result<(), CommandError> {
    let query = match command {
        Command::Zone(command) => return set_zone_directive(command),
        Command::Status(query)
        | Command::Budgets(query)
        | Command::Zones(query)
        | Command::Explain { query, .. } => query,
    };
    let answers = query_all(&query.addresses);
    if query.json && answers.iter().any(|a| a.1.is_ok()) {
        let entry = |(at, report): &(SocketAddr, Result<FleetReport, String>)| match report {
            Ok(report) => serde_json::json!({ "at": at, "word": report }),
            Err(e) => serde_json::json!({ "at": at, "error": e }),
        };
        let all: Vec<_> = answers.iter().map(entry).collect();
        println!("{}", serde_json::Value::from(all));
        return Ok(());
    }
    if let Command::Zones(_) = command {
        let zones: Vec<ZonesReport> =
            answers.iter().filter_map(|(_, r)| r.as_ref().ok()?.zones.clone()).collect();
        if zones.is_empty() {
            return Err(CommandError::failed("no queried front end has <leaving> in its settings"));
        }
        print!("{}", zone_table(&zones));
        return Ok(());
    }
    let missing = || "its settings name no <budgets>".to_owned();
    let all: Vec<QueryResult> =
        answers.into_iter().map(|(at, r)| (at, r.and_then(|r| r.budgets.ok_or_else(missing)))).collect();
    let reports: Vec<&BudgetsReport> = all.iter().filter_map(|a| a.1.as_ref().ok()).collect();
    if reports.is_empty() {
        let why: Vec<String> =
            all.iter().filter_map(|a| Some(format!("{}: {}", a.0, a.1.as_ref().err()?))).collect();
        return Err(CommandError::failed(format!("no front end reports budgets\n{}", why.join("\n"))));
    }
    let text = match command {
        Command::Status(_) => status(&all),
        Command::Explain { budget, .. } => explain(&reports, budget)?,
        Command::Budgets(_) | Command::Zones(_) | Command::Zone(_) => budgets(&reports),
    };
    print!("{text}");
    Ok(())
}

/// Formats zones as a table.
pub fn zone_table(reports: &[ZonesReport]) -> String {
    let mut out = String::new();
    let names: Vec<&str> =
        reports.first().map_or(vec![], |w| w.zones.iter().map(|z| z.name.as_str()).collect());
    for name in names {
        let _ = writeln!(out, "{name}");
        let _ = writeln!(
            out,
            "  {:>6} {:<9} {:>6} {:>5} {:>10} {:>6}  {:<24} fleet's evidence",
            "number", "stage", "share", "moves", "since", "failed", "own: in time late lost"
        );
        for (number, z) in
            reports.iter().filter_map(|w| Some((w.number, w.zones.iter().find(|z| z.name == name)?)))
        {
            let stage = match (&z.directive, z.alone) {
                (Some(directive), _) => format!("{directive}!"),
                (None, true) => "alone".into(),
                (None, false) => z.stage.clone(),
            };
            let since = format!("{:.1} s", z.since_ms as f64 / 1e3);
            let own = format!("{} {} {}", z.own.answered, z.own.late, z.own.lost);
            let joint = z.fleet.as_ref().map_or("no answer from voters".to_owned(), |f| {
                format!(
                    "lost {:.1} nats, late {:.1}; answers {} of {}",
                    f.lost, f.late, f.reached_by, f.front_ends
                )
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

/// Formats each front end's view of the members as a table.
pub fn status(all: &[QueryResult]) -> String {
    let mut out =
        format!("{:<22} {:>6} {:>8} {:>7} {:>7}  others\n", "at", "number", "settings", "keeper", "unsure");
    for (at, report) in all {
        // Writing to a `String` cannot fail.
        let _ = match report {
            Err(e) => writeln!(out, "{:<22} {e}", at.to_string()),
            Ok(w) => {
                let coordinator = match (w.is_coordinator, w.coordinator) {
                    (true, _) => "itself".to_owned(),
                    (false, Some(k)) => k.to_string(),
                    (false, None) => "none".to_owned(),
                };
                let of = |state: &str| -> Vec<String> {
                    w.members.iter().filter(|m| m.state == state).map(|m| m.member.to_string()).collect()
                };
                let states = ["alive", "suspect", "dead", "left", "unknown"];
                let present = states.iter().map(|s| (s, of(s))).filter(|(_, m)| !m.is_empty());
                let others: Vec<String> = present.map(|(s, m)| format!("{s} {}", m.join(" "))).collect();
                let (number, version) = (w.number, w.version);
                let at = at.to_string();
                let uncertainty = w.health;
                writeln!(
                    out,
                    "{at:<22} {number:>6} {version:>8} {coordinator:>7} {uncertainty:>7}  {}",
                    others.join(", ")
                )
            }
        };
    }
    out
}

/// The coordinator's ledger of a budget. Only the coordinator knows which units nobody owns.
fn ledger<'a>(reports: &[&'a BudgetsReport], name: &str) -> Option<(&'a BudgetsReport, &'a [UnitRange])> {
    reports.iter().find_map(|w| {
        let b = w.budgets.iter().find(|b| b.name == name)?;
        Some((*w, b.ledger.as_deref()?))
    })
}

fn unit_count<'a>(ranges: impl Iterator<Item = &'a UnitRange>) -> usize {
    ranges.map(|r| usize::from(r.last - r.first) + 1).sum()
}

/// Formats each budget as a table.
pub fn budgets(reports: &[&BudgetsReport]) -> String {
    let mut out = String::new();
    let mut names: Vec<&str> = Vec::new();
    for b in reports.iter().flat_map(|w| &w.budgets) {
        if !names.contains(&b.name.as_str()) {
            names.push(&b.name);
        }
    }
    for name in names {
        let entries: Vec<(u16, &BudgetReport)> = reports
            .iter()
            .filter_map(|w| Some((w.number, w.budgets.iter().find(|b| b.name == name)?)))
            .collect();
        let Some((_, first)) = entries.first() else { continue };
        let owned: usize = entries.iter().map(|(_, b)| b.owned).sum();
        let _ = writeln!(
            out,
            "{name} (of {}): {} units, floor {}, window {} ms; the queried front ends own {owned}",
            first.resource, first.units, first.floor, first.window_ms
        );
        let _ = writeln!(
            out,
            "  {:>6} {:>6} {:>6} {:>10} {:>6} {:>12} {:>8}",
            "number", "owns", "floor", "until", "wants", "demand", "refused"
        );
        for (number, b) in &entries {
            let until = if b.owned > b.owned_floor { format!("{} ms", b.until_ms) } else { "-".into() };
            let _ = writeln!(
                out,
                "  {number:>6} {:>6} {:>6} {until:>10} {:>6} {:>12.1} {:>8}",
                b.owned, b.owned_floor, b.wanted, b.recent_demand, b.refused
            );
        }
        let _ = match ledger(reports, name) {
            None => writeln!(
                out,
                "  none of the queried front ends is the coordinator: units without an owner are not known"
            ),
            Some((_, all)) => {
                let of = |state: &'static str| all.iter().filter(move |s| s.state == state);
                let longest_ms = of("rests").map(|s| s.remaining_ms).max().unwrap_or(0);
                writeln!(
                    out,
                    "  without an owner: {} free, {} cooling down, the last of them for {longest_ms} ms",
                    unit_count(of("free")),
                    unit_count(of("rests"))
                )
            }
        };
    }
    out
}

/// Formats the units of one budget.
pub fn explain(reports: &[&BudgetsReport], name: &str) -> Result<String, CommandError> {
    let mut entries = reports.iter().flat_map(|w| &w.budgets).filter(|b| b.name == name);
    let Some(b) = entries.next() else {
        let names: Vec<&str> = reports[0].budgets.iter().map(|b| b.name.as_str()).collect();
        return Err(CommandError::usage(format!(
            "no budget is named {name}; there are {}",
            names.join(", ")
        )));
    };
    let members = reports.iter().map(|w| w.members.len() + 1).max().unwrap_or(1);
    let floors = (usize::from(b.floor) * members).min(usize::from(b.units));
    let mut out = format!("{name}: {} units, a spent unit cools down for {} ms\n", b.units, b.window_ms);
    if floors > 0 {
        let _ = writeln!(
            out,
            "{:>11}  floors: {} for each of {members} front ends, permanently",
            format!("0-{}", floors - 1),
            b.floor
        );
    }
    match ledger(reports, name) {
        Some((coordinator, all)) => {
            for s in all {
                let units =
                    if s.first == s.last { s.first.to_string() } else { format!("{}-{}", s.first, s.last) };
                let what = match (s.state.as_str(), s.member) {
                    ("owned", Some(m)) => {
                        let demand = reports.iter().find(|w| w.number == m).map(|w| {
                            let state = w.budgets.iter().find(|b| b.name == name);
                            state.map_or(String::new(), |b| format!("; it wants {}", b.wanted))
                        });
                        format!(
                            "front end {m}, for {} ms unless renewed{}",
                            s.remaining_ms,
                            demand.unwrap_or_default()
                        )
                    }
                    ("rests", _) => format!(
                        "no owner: transferred, or its owner failed or did not renew; available in {} ms",
                        s.remaining_ms
                    ),
                    _ => "no owner: no front end wants it".to_owned(),
                };
                let _ = writeln!(out, "{units:>11}  {what}");
            }
            let _ = writeln!(out, "by the ledger of front end {}, the coordinator", coordinator.number);
        }
        None => {
            for (number, b) in
                reports.iter().filter_map(|w| Some((w.number, w.budgets.iter().find(|b| b.name == name)?)))
            {
                let ranges: Vec<String> =
                    b.ranges.iter().map(|(from, to)| format!("{from}-{}", to - 1)).collect();
                let _ = writeln!(
                    out,
                    "front end {number} owns {}; granted units for {} ms more",
                    ranges.join(" "),
                    b.until_ms
                );
            }
            let voters: Vec<String> = reports[0].voters.iter().map(u16::to_string).collect();
            let _ = writeln!(
                out,
                "none of the queried front ends is the coordinator: query {}. Without a coordinator granted units expire \
                 with their lease ({} ms) and floors stay; more than half of these voters must be live",
                voters.join(", "),
                reports[0].lease_ms
            );
        }
    }
    Ok(out)
}
