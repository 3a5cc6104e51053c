//! `platform`: a front end as the platform starts it.

use crate::Stop;
use badgerwind_gateway::{logging, serve_platform, PlatformError, PlatformOptions};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of `platform`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The configuration file
    #[arg(long, env = "BALANCER_CONFIG")]
    pub config: PathBuf,
    /// Where to listen, in place of the configuration's word
    #[arg(long, env = "BALANCER_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// The least level of log lines
    #[arg(long, default_value = "info")]
    pub log: String,
}

/// Serves until SIGTERM.
pub fn run(args: &Args) -> Result<(), Stop> {
    logging::start(false, &args.log);
    let options = PlatformOptions { config: args.config.clone(), listen: args.listen };
    serve_platform(&options).map_err(|e| match e {
        PlatformError::Config { .. } | PlatformError::Read { .. } => Stop::usage(e.to_string()),
        e => Stop::failed(e.to_string()),
    })
}
