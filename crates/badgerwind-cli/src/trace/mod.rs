//! `trace`: prints the timeline of one call from the JSON logs of front ends and the records of runners.

pub mod draw;
pub mod read;

use crate::CommandError;
use read::{Event, Kind};
use std::path::PathBuf;

/// Arguments of `trace`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Webhook id, request id or trace id
    pub id: String,
    /// JSON log of a front end, written at level debug; repeat for several
    #[arg(long = "log", required = true)]
    pub logs: Vec<PathBuf>,
    /// Record of a runner (`badgerwind standin runner --record`); repeat for several
    #[arg(long = "record")]
    pub records: Vec<PathBuf>,
    /// Also draw the timeline to this SVG file
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

fn millis(us: u64) -> f64 {
    us as f64 / 1e3
}

/// Describes an event in one line; `before` holds the events that precede it.
fn describe(e: &Event, before: &[Event]) -> String {
    let since_last = |kind: &dyn Fn(&Kind) -> bool| {
        before.iter().rev().find(|b| b.request == e.request && kind(&b.kind)).map(|b| e.at - b.at)
    };
    match &e.kind {
        Kind::Accepted { sender, key, function, trace } => {
            format!("taken as {} from {sender} (key {key}), for {function}, trace {trace}", e.request)
        }
        Kind::Attempt { attempt, worker, evidence } => {
            let held = since_last(&|k| matches!(k, Kind::Accepted { .. } | Kind::Ended { .. }));
            let held = held.map_or(String::new(), |t| format!(", held {:.1} ms before", millis(t)));
            let evidence = evidence.as_ref().map_or(String::new(), |k| format!("; known of it there: {k}"));
            format!("attempt {attempt} to runner {worker}{held}{evidence}")
        }
        Kind::Ended { attempt, outcome, mark } => {
            let out = since_last(&|k| matches!(k, Kind::Attempt { attempt: a, .. } if a == attempt));
            let out = out.map_or(String::new(), |t| format!(", after {:.1} ms", millis(t)));
            format!("attempt {attempt} ended: {outcome}, copy {mark}{out}")
        }
        Kind::Answered { answer, attempts, latency_us } => {
            format!("{answer} after {attempts} attempts, {:.1} ms since it was taken", latency_us / 1e3)
        }
        Kind::Callback(text) => text.clone(),
        Kind::Runner { runner, attempt, action } => {
            format!("runner {runner}: {}/{attempt} {action}", e.request)
        }
    }
}

fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    let one = |path: &PathBuf| {
        let name = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        std::fs::read_to_string(path)
            .map(|text| (name, text))
            .map_err(|e| CommandError::usage(format!("cannot read {}: {e}", path.display())))
    };
    paths.iter().map(one).collect()
}

/// Prints the timeline and draws it if an SVG file is given.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let events = read::events(&args.id, &read_all(&args.logs)?, &read_all(&args.records)?);
    if events.is_empty() {
        return Err(CommandError::failed(format!(
            "no log has a line about {}; attempts are logged at level debug",
            args.id
        )));
    }
    for (n, e) in events.iter().enumerate() {
        println!("{}  {:<12} {}", e.timestamp, e.source, describe(e, &events[..n]));
    }
    if let Some(path) = &args.svg {
        let svg = draw::Chart::from_events(&events).svg(&args.id);
        let svg = svg.map_err(|e| CommandError::failed(format!("cannot draw the timeline: {e}")))?;
        crate::write_atomically(path, &svg)?;
    }
    Ok(())
}
