//! A front end that is never told of a drain. It shows that a bad day can find one that does not keep them: run
//! `badgerwind bad-day --like drain --gateway` with this program.

use badgerwind_cli::serve::{load, serve_with};
use badgerwind_gateway::Options;
use badgerwind_protocol::list::{List, State};
use clap::Parser;
use std::process::ExitCode;
use std::sync::Arc;

#[derive(Parser)]
enum Args {
    Serve(badgerwind_cli::serve::Args),
}

fn blind(list: &mut List) {
    list.runners.iter_mut().filter(|r| r.state == State::Draining).for_each(|r| r.state = State::Ready);
}

fn main() -> ExitCode {
    let Args::Serve(args) = Args::parse();
    let served = load(&args.settings).and_then(|(settings, secrets, folder)| {
        let mut options = Options::new(Arc::new(settings), secrets, folder);
        options.list_filter = Some(blind);
        serve_with(options, args.ready_file.as_deref(), None)
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(stop) => {
            eprintln!("{}", stop.text);
            ExitCode::from(stop.code)
        }
    }
}
