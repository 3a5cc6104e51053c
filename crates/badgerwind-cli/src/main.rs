//! `badgerwind`: a gateway that hands calls to workers which load functions or models when asked.

use badgerwind_cli::{budgets, control, day, demo, fleet, keys, platform, send, serve, standin, trace, Stop};
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
    /// Serve as a front end on the platform: FastCGI in, executor lines out, by its configuration
    Platform(platform::Args),
    /// Check a settings file and the key files that it names
    Check(serve::CheckArgs),
    /// Make keys
    #[command(subcommand)]
    Keys(keys::Command),
    /// Post a signed webhook; print its answer and how long it took
    Send(send::Args),
    /// Versions of settings: serve, publish, roll back, watch
    #[command(subcommand)]
    Control(control::Command),
    /// Who of the fleet is there, and who owns which part of its budgets
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Print one call's whole path from the logs of front ends
    Trace(trace::Args),
    /// Run a stand-in of a peer, for tests and trials
    #[command(subcommand)]
    Standin(standin::Command),
    /// Run a scripted bad day on loopback sockets and judge the five rules
    BadDay(day::Args),
    /// A member of a fleet's budgets that spends what it may; bad days start many
    #[command(hide = true)]
    FleetMember(budgets::MemberArgs),
    /// Start a gateway with stand-ins on free ports, send a few signed calls, and tell what happened to each
    Demo(demo::Args),
}

fn main() -> ExitCode {
    let done = match Args::parse().command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop { text, code }) => {
            if !text.is_empty() {
                eprintln!("badgerwind: {text}");
            }
            ExitCode::from(code)
        }
    }
}
