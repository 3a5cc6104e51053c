//! `trace`: one call's whole path, read from the structured logs of front ends and the records of runners.

pub mod draw;
pub mod read;

use crate::CommandError;
use read::{Event, Kind};
use std::path::PathBuf;

/// Arguments of `trace`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// A webhook id, a request id or a trace id
    pub id: String,
    /// Logs in JSON, of as many front ends as you like, written at level debug
    #[arg(long = "log", required = true)]
    pub logs: Vec<PathBuf>,
    /// Records of runners, where they keep any (`badgerwind standin runner --record`)
    #[arg(long = "record")]
    pub records: Vec<PathBuf>,
    /// Also draw it, to this file
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}

/// An event in words; `before` is what came before it.
fn words(e: &Event, before: &[Event]) -> String {
    let last = |kind: &dyn Fn(&Kind) -> bool| {
        before.iter().rev().find(|b| b.request == e.request && kind(&b.kind)).map(|b| e.at - b.at)
    };
    match &e.kind {
        Kind::Taken { sender, key, function, trace } => {
            format!("taken as {} from {sender} (key {key}), for {function}, trace {trace}", e.request)
        }
        Kind::Attempt { attempt, worker, known } => {
            let held = last(&|k| matches!(k, Kind::Taken { .. } | Kind::Ended { .. }));
            let held = held.map_or(String::new(), |t| format!(", held {:.1} ms before", ms(t)));
            let known = known.as_ref().map_or(String::new(), |k| format!("; known of it there: {k}"));
            format!("attempt {attempt} to runner {worker}{held}{known}")
        }
        Kind::Ended { attempt, outcome, mark } => {
            let out = last(&|k| matches!(k, Kind::Attempt { attempt: a, .. } if a == attempt));
            let out = out.map_or(String::new(), |t| format!(", after {:.1} ms", ms(t)));
            format!("attempt {attempt} ended: {outcome}, copy {mark}{out}")
        }
        Kind::Answered { answer, attempts, lag_us } => {
            format!("{answer} after {attempts} attempts, {:.1} ms since it was taken", lag_us / 1e3)
        }
        Kind::Callback(text) => text.clone(),
        Kind::Runner { runner, attempt, did } => {
            format!("runner {runner}: {}/{attempt} {did}", e.request)
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

/// Prints the timeline, and draws it where asked to.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let events = read::events(&args.id, &read_all(&args.logs)?, &read_all(&args.records)?);
    if events.is_empty() {
        return Err(CommandError::failed(format!(
            "no log has a line of {}; attempts are logged at level debug",
            args.id
        )));
    }
    for (n, e) in events.iter().enumerate() {
        println!("{}  {:<12} {}", e.written, e.place, words(e, &events[..n]));
    }
    if let Some(path) = &args.svg {
        let svg = draw::Chart::of(&events).svg(&args.id);
        let svg = svg.map_err(|e| CommandError::failed(format!("it cannot be drawn: {e}")))?;
        crate::write_atomically(path, &svg)?;
    }
    Ok(())
}
