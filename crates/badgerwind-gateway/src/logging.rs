//! Structured logs on standard error.

use tracing_subscriber::filter::LevelFilter;

/// Starts logging for this process; a second call has no effect. An unknown level means `info`.
pub fn start(json: bool, level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let builder =
        tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    let _ = if json {
        builder.json().flatten_event(true).try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
}
