//! The rig's program: runs a single member, a run of the register with random faults, or a measurement.

use badgerwind_rig::{day, member, steady, RigError};
use clap::Parser;
use std::process::ExitCode;

/// Runs members of the register as processes and injects faults
#[derive(Parser)]
#[command(name = "badgerwind-rig", version, max_term_width = 110)]
enum Command {
    /// One member that acts as often as it may, and records what it did and received
    Member(member::Args),
    /// A run of many members with random faults; the last line of the output is the result
    Register(day::Args),
    /// Resource use of idle members as real processes, by role
    Steady(steady::Args),
}

fn main() -> ExitCode {
    let result: Result<bool, RigError> = match Command::parse() {
        Command::Member(args) => member::run(&args).map(|()| true),
        Command::Register(args) => day::run(&args),
        Command::Steady(args) => steady::run(&args),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("badgerwind-rig: {e}");
            ExitCode::from(2)
        }
    }
}
