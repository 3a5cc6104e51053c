//! `control`: runs the control service, publishes versions of settings and queries the service.

use crate::CommandError;
use badgerwind_config::parts::Kind;
use badgerwind_config::waves::{RolloutPolicy, Stage};
use badgerwind_control::{folder, serve, Pin, Status};
use badgerwind_http::{Exchange, Pool, PoolLimits};
use clap::Subcommand;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Sub-commands of `control`.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Serve the versions in a folder to front ends
    Serve {
        /// Folder of versions: KIND/NUMBER.xml
        folder: PathBuf,
        /// Listen address
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Name that distinguishes this service from others
        #[arg(long, default_value = "control")]
        name: String,
        /// Share of the front ends that are offered a version first
        #[arg(long = "first", value_name = "FIRST", default_value_t = 0.1)]
        first_share: f64,
        /// How long all of them must run it before it is offered to the rest, in milliseconds
        #[arg(long = "settle-ms", value_name = "SETTLE_MS", default_value_t = 10_000)]
        soak_ms: u64,
        /// Stop a wave when more than this share of the front ends that answered rejected the version
        #[arg(long = "most-rejected", value_name = "MOST_REJECTED", default_value_t = 0.0)]
        max_rejected_share: f64,
        /// Stop a wave when the share of calls not served rises by more than this where the version runs
        #[arg(long = "most-worse", value_name = "MOST_WORSE", default_value_t = 0.1)]
        max_failure_increase: f64,
        /// File to write the listen address to, as JSON, once the service accepts connections
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// Validate a part and publish it under the next number
    Publish {
        /// Folder of versions
        folder: PathBuf,
        /// Kind of the part: fleet, classes, routes or limits
        #[arg(value_parser = parse_kind)]
        kind: Kind,
        /// The part: a settings document with only the elements of its kind
        file: PathBuf,
    },
    /// Publish an old version's content under the next number
    Rollback {
        /// Folder of versions
        folder: PathBuf,
        /// Kind of the part: fleet, classes, routes or limits
        #[arg(value_parser = parse_kind)]
        kind: Kind,
        /// Number of the old version
        version: u64,
    },
    /// Show the differences between two versions
    Diff {
        /// Folder of versions
        folder: PathBuf,
        /// Kind of the part: fleet, classes, routes or limits
        #[arg(value_parser = parse_kind)]
        kind: Kind,
        /// Number of the first version
        from: u64,
        /// Number of the second version
        to: u64,
    },
    /// Show each front end's running, offered and rejected versions, and the stage of each wave
    Status {
        /// Address of the control service
        #[arg(long = "at", value_name = "AT")]
        address: SocketAddr,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Keep a front end at the versions that it runs
    Pin {
        /// Address of the control service
        #[arg(long = "at", value_name = "AT")]
        address: SocketAddr,
        /// Name of the front end
        id: String,
    },
    /// Offer new versions to a pinned front end again
    Unpin {
        /// Address of the control service
        #[arg(long = "at", value_name = "AT")]
        address: SocketAddr,
        /// Name of the front end
        id: String,
    },
}

fn parse_kind(text: &str) -> Result<Kind, String> {
    Kind::from_name(text).ok_or_else(|| {
        let names: Vec<_> = Kind::ALL.iter().map(|k| k.name()).collect();
        format!("give one of {}", names.join(", "))
    })
}

fn folder_error(e: folder::FolderError) -> CommandError {
    match e {
        folder::FolderError::Io(..) => CommandError::failed(e.to_string()),
        _ => CommandError::usage(e.to_string()),
    }
}

/// Sends one request to the control service and returns the body of its answer.
fn request(
    address: SocketAddr,
    method: &'static str,
    target: &str,
    body: Vec<u8>,
) -> Result<Vec<u8>, CommandError> {
    let timeout = Duration::from_secs(10);
    let limits = PoolLimits {
        max_connections: 1,
        connect_timeout: timeout,
        idle_timeout: timeout,
        max_body_bytes: 64 << 20,
    };
    let request = Exchange { method, target: target.into(), headers: vec![], body: Arc::from(body) };
    let (head, body) = smol::block_on(Pool::new(address, limits).exchange(&request))
        .map_err(|e| CommandError::failed(format!("the control service at {address}: {e}")))?;
    match head.status {
        200 => Ok(body),
        404 => Err(CommandError::usage("no front end of that name is known")),
        status => Err(CommandError::failed(format!("status {status}: {}", String::from_utf8_lossy(&body)))),
    }
}

fn set_pinned(address: SocketAddr, id: &str, pinned: bool) -> Result<(), CommandError> {
    let body = serde_json::to_vec(&Pin { id: id.to_owned(), pinned });
    request(address, "POST", "/pin", body.map_err(|e| CommandError::failed(e.to_string()))?).map(|_| ())
}

/// Runs a sub-command.
pub fn run(command: &Command) -> Result<(), CommandError> {
    match command {
        Command::Serve {
            folder,
            listen,
            name,
            first_share,
            soak_ms,
            max_rejected_share,
            max_failure_increase,
            ready_file,
        } => {
            badgerwind_gateway::logging::start(true, "info");
            let policy = RolloutPolicy {
                first_share: first_share.clamp(0.0, 1.0),
                soak_time: soak_ms * 1000,
                max_rejected_share: *max_rejected_share,
                max_failure_increase: *max_failure_increase,
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
                serve(listener, folder, name, policy).await;
                Ok(())
            })
        }
        Command::Publish { folder, kind, file } => {
            let text = std::fs::read_to_string(file)
                .map_err(|e| CommandError::usage(format!("cannot read {}: {e}", file.display())))?;
            let number = folder::publish(folder, *kind, &text).map_err(folder_error)?;
            println!("{} {number}", kind.name());
            Ok(())
        }
        Command::Rollback { folder, kind, version } => {
            let number = folder::roll_back(folder, *kind, *version).map_err(folder_error)?;
            println!("{} {number} has the content of {version}", kind.name());
            Ok(())
        }
        Command::Diff { folder, kind, from, to } => {
            print!("{}", folder::diff(folder, *kind, *from, *to).map_err(folder_error)?);
            Ok(())
        }
        Command::Status { address, json } => {
            let body = request(*address, "GET", "/status", Vec::new())?;
            if *json {
                println!("{}", String::from_utf8_lossy(&body));
                return Ok(());
            }
            let status: Status = serde_json::from_slice(&body)
                .map_err(|e| CommandError::failed(format!("the answer is not a status report: {e}")))?;
            print!("{}", table(&status));
            Ok(())
        }
        Command::Pin { address, id } => set_pinned(*address, id, true),
        Command::Unpin { address, id } => set_pinned(*address, id, false),
    }
}

/// Formats the status as a table.
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
        lines.extend(k.unpublished.iter().map(|(file, why)| format!("  not offered: {file}: {why}")));
    }
    lines.push(format!(
        "{:<24} {:>9} {:<8} {:>9} {:<18} rejected",
        "front end", "heard", "kind", "running", "offered"
    ));
    for f in &status.front_ends {
        let pinned = if f.pinned { " (pinned)" } else { "" };
        for (n, r) in f.report.iter().enumerate() {
            let name = if n == 0 { format!("{}{pinned}", f.id) } else { String::new() };
            let heard = if n == 0 {
                format!("{:.1}s ago", f.since_last_request_ms as f64 / 1e3)
            } else {
                String::new()
            };
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
