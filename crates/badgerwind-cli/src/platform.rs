//! `platform`: runs a front end on the platform.

use crate::CommandError;
use badgerwind_gateway::{logging, serve_platform, PlatformError, PlatformOptions};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of `platform`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Configuration file
    #[arg(long, env = "BALANCER_CONFIG")]
    pub config: PathBuf,
    /// Listen address; overrides the one in the configuration
    #[arg(long, env = "BALANCER_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// Lowest level of log lines that are written
    #[arg(long, default_value = "info")]
    pub log: String,
}

/// Serves until SIGTERM.
pub fn run(args: &Args) -> Result<(), CommandError> {
    logging::start(false, &args.log);
    let options = PlatformOptions { config: args.config.clone(), listen: args.listen };
    serve_platform(&options).map_err(|e| match e {
        PlatformError::Config { .. } | PlatformError::Read { .. } => CommandError::usage(e.to_string()),
        e => CommandError::failed(e.to_string()),
    })
}
