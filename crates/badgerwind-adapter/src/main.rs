//! Runs the decision module on the JSON wire protocol: batches on standard input, replies on standard output.

use badgerwind_adapter::wire::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => return fail(&format!("cannot read standard input: {e}")),
        }
        let reply = match std::str::from_utf8(&line) {
            Ok(text) => host.answer(text),
            Err(_) => Err("the line is not UTF-8".into()),
        };
        match reply {
            Ok(reply) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return fail("cannot write standard output");
                }
            }
            Err(text) => return fail(&text),
        }
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("badgerwind-adapter: {text}");
    ExitCode::from(2)
}
