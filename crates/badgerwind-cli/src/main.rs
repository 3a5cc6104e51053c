//! `badgerwind`: a gateway that hands calls to workers which load functions or models on demand.

use badgerwind_cli::{
    budgets, control, day, demo, fleet, keys, platform, send, serve, standin, trace, CommandError,
};
use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "badgerwind", version, about, max_term_width = 110)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as a front end until SIGTERM
    Serve(serve::Args),
    /// Serve as a platform front end: accept FastCGI calls and drive executors over their line protocol
    Platform(platform::Args),
    /// Check a settings file and the key files that it refers to
    Check(serve::CheckArgs),
    /// Create, rotate, remove and list keys
    #[command(subcommand)]
    Keys(keys::Command),
    /// Post a signed webhook; print the answer and the time it took
    Send(send::Args),
    /// Serve, publish, roll back and inspect versions of settings
    #[command(subcommand)]
    Control(control::Command),
    /// Show the fleet's members, budgets and zones
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Print the timeline of one call from the logs of front ends
    Trace(trace::Args),
    /// Run a stand-in for a runner, list service, handler store or sender, for tests
    #[command(subcommand)]
    Standin(standin::Command),
    /// Run a scripted sequence of faults on loopback sockets and check the five rules
    BadDay(day::Args),
    /// Run one member of a fleet that spends its share of the budgets; bad-day starts several
    #[command(hide = true)]
    FleetMember(budgets::MemberArgs),
    /// Start a gateway with stand-ins on free ports, send a few signed calls, and print each result
    Demo(demo::Args),
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Serve(args) => serve::serve(&args),
        Command::Platform(args) => platform::run(&args),
        Command::Check(args) => serve::check(&args),
        Command::Keys(command) => keys::run(&command),
        Command::Send(args) => send::run(&args),
        Command::Control(command) => control::run(&command),
        Command::Fleet(command) => fleet::run(&command),
        Command::Trace(args) => trace::run(&args),
        Command::Standin(command) => standin::run(command),
        Command::BadDay(args) => day::run(&args),
        Command::FleetMember(args) => budgets::member(&args),
        Command::Demo(args) => demo::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError { message, exit_code }) => {
            if !message.is_empty() {
                eprintln!("badgerwind: {message}");
            }
            ExitCode::from(exit_code)
        }
    }
}
