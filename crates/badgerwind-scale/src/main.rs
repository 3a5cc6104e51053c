//! `badgerwind-scale`: measures the rows of `docs/CAPACITY.md` and prints their growth, one row per command.

use badgerwind_scale::error::ScaleError;
use badgerwind_scale::run::RunOptions;
use badgerwind_scale::{report, rows, run};
use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures what parts of badgerwind cost as the fleet grows.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the names of all rows.
    List,
    /// Measures one row.
    Row(RowArguments),
}

#[derive(clap::Args)]
struct RowArguments {
    /// Name of the row.
    row: String,
    /// Sizes to measure, such as 10,30,100; default: the sizes of the row.
    #[arg(long, value_delimiter = ',')]
    sizes: Option<Vec<u64>>,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Repetitions at each size, with consecutive seeds.
    #[arg(long = "plays", value_name = "PLAYS")]
    #[arg(default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    repetitions: u32,
    /// Memory limit, in MiB.
    #[arg(long, default_value_t = 12_288)]
    memory_mib: u64,
    /// Time limit in seconds, after which no further repetition is started.
    #[arg(long, default_value_t = 600, value_parser = clap::value_parser!(u64).range(1..=7_200))]
    seconds: u64,
    /// Output file for the results as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Output file for an SVG chart.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::List => {
            list();
            Ok(())
        }
        Command::Row(arguments) => measure(arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerwind-scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn list() {
    for row in rows::all() {
        println!("{:<28} {}", row.name(), row.about());
    }
}

fn measure(arguments: RowArguments) -> Result<(), ScaleError> {
    let row = rows::find(&arguments.row)?;
    let options = RunOptions {
        sizes: arguments.sizes,
        seed: arguments.seed,
        repetitions: arguments.repetitions,
        max_memory_mib: arguments.memory_mib,
        time_limit: Duration::from_secs(arguments.seconds),
    };
    let result = run::measure_row(row.as_ref(), &options)?;
    print!("{}", report::table(&result));
    if let Some(path) = &arguments.json {
        write_json(path, &report::json(&result))?;
    }
    if let Some(path) = &arguments.svg {
        report::draw(&result, path)?;
    }
    Ok(())
}

fn write_json(path: &Path, text: &str) -> Result<(), ScaleError> {
    let output_error = |error: std::io::Error| ScaleError::Output {
        option: "--json",
        path: path.display().to_string(),
        reason: error.to_string(),
    };
    std::fs::write(path, text).map_err(output_error)
}
