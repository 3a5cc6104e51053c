//! `control`.

use crate::CommandError;
use badgerwind_config::parts::Kind;
use badgerwind_config::waves::{RolloutPolicy, Stage};
use badgerwind_control::{folder, serve, Pin, Status};
use badgerwind_http::{Exchange, Pool, PoolBounds};
use clap::Subcommand;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What can be done with versions of settings.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Serve the versions in a folder to front ends
    Serve {
        /// The folder: KIND/NUMBER.xml
        folder: PathBuf,
        /// Where to listen
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Its name, which tells one service from another
        #[arg(long, default_value = "control")]
        name: String,
        /// Share of the front ends that are offered a version first
        #[arg(long, default_value_t = 0.1)]
        first: f64,
        /// How long all of those must run it before the rest are offered it, in milliseconds
        #[arg(long, default_value_t = 10_000)]
        settle_ms: u64,
        /// A wave stops when more than this share of those that answered turned it down
        #[arg(long, default_value_t = 0.0)]
        most_rejected: f64,
        /// Or when the share of calls not served rose by more than this where it runs
        #[arg(long, default_value_t = 0.1)]
        most_worse: f64,
        /// Write the address to this file once it serves
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// Check a part's form and publish it under the next number
    Publish {
        /// The folder
        folder: PathBuf,
        /// fleet, classes, routes or limits
        #[arg(value_parser = kind)]
        kind: Kind,
        /// The part: a settings document with its elements alone
        file: PathBuf,
    },
    /// Publish an old version's content under the next number
    Rollback {
        /// The folder
        folder: PathBuf,
        /// fleet, classes, routes or limits
        #[arg(value_parser = kind)]
        kind: Kind,
        /// The old number
        version: u64,
    },
    /// What differs between two versions
    Diff {
        /// The folder
        folder: PathBuf,
        /// fleet, classes, routes or limits
        #[arg(value_parser = kind)]
        kind: Kind,
        /// One number
        from: u64,
        /// The other
        to: u64,
    },
    /// Each front end's running, offered and rejected versions, and where the waves stand
    Status {
        /// The service's address
        #[arg(long)]
        at: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Hold a front end at what it runs
    Pin {
        /// The service's address
        #[arg(long)]
        at: SocketAddr,
        /// The front end's name
        id: String,
    },
    /// Let a front end go on
    Unpin {
        /// The service's address
        #[arg(long)]
        at: SocketAddr,
        /// The front end's name
        id: String,
    },
}

fn kind(text: &str) -> Result<Kind, String> {
    Kind::from_name(text).ok_or_else(|| {
        let names: Vec<_> = Kind::ALL.iter().map(|k| k.name()).collect();
        format!("give one of {}", names.join(", "))
    })
}

fn unfit(e: folder::FolderError) -> CommandError {
    match e {
        folder::FolderError::Io(..) => CommandError::failed(e.to_string()),
        _ => CommandError::usage(e.to_string()),
    }
}

/// Asks the service something.
fn ask(at: SocketAddr, method: &'static str, target: &str, body: Vec<u8>) -> Result<Vec<u8>, CommandError> {
    let time = Duration::from_secs(10);
    let bounds = PoolBounds { most: 1, connect_time: time, idle_time: time, body_bytes: 64 << 20 };
    let request = Exchange { method, target: target.into(), headers: vec![], body: Arc::from(body) };
    let (head, body) = smol::block_on(Pool::new(at, bounds).exchange(&request))
        .map_err(|e| CommandError::failed(format!("the control service at {at}: {e}")))?;
    match head.status {
        200 => Ok(body),
        404 => Err(CommandError::usage("no front end of that name has been heard of")),
        status => Err(CommandError::failed(format!("status {status}: {}", String::from_utf8_lossy(&body)))),
    }
}

fn pin(at: SocketAddr, id: &str, pinned: bool) -> Result<(), CommandError> {
    let body = serde_json::to_vec(&Pin { id: id.to_owned(), pinned });
    ask(at, "POST", "/pin", body.map_err(|e| CommandError::failed(e.to_string()))?).map(|_| ())
}

/// Runs a sub-command.
pub fn run(command: &Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { folder, listen, name, first, settle_ms, most_rejected, most_worse, ready_file } => {
            badgerwind_gateway::logging::start(true, "info");
            let rules = RolloutPolicy {
                first_share: first.clamp(0.0, 1.0),
                soak_time: settle_ms * 1000,
                max_rejected_share: *most_rejected,
                max_failure_increase: *most_worse,
                front_end_timeout: 60_000_000,
            };
            smol::block_on(async {
                let failed =
                    |e: std::io::Error| CommandError::failed(format!("cannot listen on {listen}: {e}"));
                let listener = TcpListener::bind(listen).await.map_err(failed)?;
                let address = listener.local_addr().map_err(failed)?;
                match ready_file {
                    Some(path) => {
                        crate::write_atomically(
                            path,
                            &serde_json::json!({ "address": address }).to_string(),
                        )?;
                    }
                    None => println!("listening on {address}"),
                }
                serve(listener, folder, name, rules).await;
                Ok(())
            })
        }
        Command::Publish { folder, kind, file } => {
            let text = std::fs::read_to_string(file)
                .map_err(|e| CommandError::usage(format!("cannot read {}: {e}", file.display())))?;
            let number = folder::publish(folder, *kind, &text).map_err(unfit)?;
            println!("{} {number}", kind.name());
            Ok(())
        }
        Command::Rollback { folder, kind, version } => {
            let number = folder::roll_back(folder, *kind, *version).map_err(unfit)?;
            println!("{} {number} has the content of {version}", kind.name());
            Ok(())
        }
        Command::Diff { folder, kind, from, to } => {
            print!("{}", folder::diff(folder, *kind, *from, *to).map_err(unfit)?);
            Ok(())
        }
        Command::Status { at, json } => {
            let body = ask(*at, "GET", "/status", Vec::new())?;
            if *json {
                println!("{}", String::from_utf8_lossy(&body));
                return Ok(());
            }
            let status: Status = serde_json::from_slice(&body)
                .map_err(|e| CommandError::failed(format!("not a status: {e}")))?;
            print!("{}", table(&status));
            Ok(())
        }
        Command::Pin { at, id } => pin(*at, id, true),
        Command::Unpin { at, id } => pin(*at, id, false),
    }
}

/// The status as a table for people.
pub fn table(status: &Status) -> String {
    let mut lines = Vec::new();
    for k in &status.kinds {
        let newest = k.newest.map_or("none".to_owned(), |n| n.to_string());
        let wave = match &k.wave {
            None => String::new(),
            Some((v, Stage::First)) => format!(", {v} offered to the first"),
            Some((v, Stage::All)) => format!(", {v} offered to all"),
            Some((v, Stage::Stopped(why))) => format!(", {v} STOPPED: {why}"),
        };
        lines.push(format!("{}: newest {newest}{wave}", k.kind.name()));
        lines.extend(k.unfit.iter().map(|(file, why)| format!("  not offered: {file}: {why}")));
    }
    lines.push(format!(
        "{:<24} {:>9} {:<8} {:>9} {:<18} rejected",
        "front end", "heard", "kind", "running", "offered"
    ));
    for f in &status.fronts {
        let pinned = if f.pinned { " (pinned)" } else { "" };
        for (n, r) in f.report.iter().enumerate() {
            let name = if n == 0 { format!("{}{pinned}", f.id) } else { String::new() };
            let heard =
                if n == 0 { format!("{:.1}s ago", f.heard_ms_ago as f64 / 1e3) } else { String::new() };
            let running = r.running.map_or("file".to_owned(), |v| v.to_string());
            let offered = r.offered.map_or(String::new(), |(v, p)| format!("{v} {p:?}").to_lowercase());
            let first_line = |s: &str| s.lines().next().unwrap_or("").to_owned();
            let rejected =
                r.rejected.as_ref().map_or(String::new(), |(v, why)| format!("{v}: {}", first_line(why)));
            lines.push(
                format!("{name:<24} {heard:>9} {:<8} {running:>9} {offered:<18} {rejected}", r.kind.name())
                    .trim_end()
                    .to_owned(),
            );
        }
    }
    lines.join("\n") + "\n"
}
