//! The rig's program: one member for a day's processes, or a whole day.

use badgerwind_rig::{day, member, steady, RigError};
use clap::Parser;
use std::process::ExitCode;

/// Members of the register as processes, and bad days between them.
#[derive(Parser)]
#[command(name = "badgerwind-rig", version, max_term_width = 110)]
enum Command {
    /// One member that acts as often as it may, and writes down what it did and was told
    Member(member::Args),
    /// A drawn day of the register between many of them; the last line says what it came to
    Register(day::Args),
    /// What quiet members cost as real processes, by role
    Steady(steady::Args),
}

fn main() -> ExitCode {
    let done: Result<bool, RigError> = match Command::parse() {
        Command::Member(args) => member::run(&args).map(|()| true),
        Command::Register(args) => day::run(&args),
        Command::Steady(args) => steady::run(&args),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("badgerwind-rig: {e}");
            ExitCode::from(2)
        }
    }
}
