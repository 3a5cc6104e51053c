//! A front end that sees draining runners as ready. It shows that `badgerwind bad-day` detects a gateway that
//! ignores drains: run `badgerwind bad-day --like drain --gateway` with this program.

use badgerwind_cli::serve::{load, serve_with};
use badgerwind_gateway::Options;
use badgerwind_protocol::list::{Availability, List};
use clap::Parser;
use std::process::ExitCode;
use std::sync::Arc;

#[derive(Parser)]
enum Args {
    Serve(badgerwind_cli::serve::Args),
}

/// Marks draining runners as ready.
fn hide_drains(list: &mut List) {
    list.runners
        .iter_mut()
        .filter(|r| r.availability == Availability::Draining)
        .for_each(|r| r.availability = Availability::Ready);
}

fn main() -> ExitCode {
    let Args::Serve(args) = Args::parse();
    let result = load(&args.settings).and_then(|(settings, secrets, folder)| {
        let mut options = Options::new(Arc::new(settings), secrets, folder);
        options.list_filter = Some(hide_drains);
        serve_with(options, args.ready_file.as_deref(), None)
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.message);
            ExitCode::from(error.exit_code)
        }
    }
}
