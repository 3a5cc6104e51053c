//! `standin`: runs a stand-in for one of the gateway's peers as a separate process.

use crate::CommandError;
use badgerwind_gateway::secrets::read_key;
use badgerwind_protocol::list::Runner;
use badgerwind_standins::fenced::Fenced;
use badgerwind_standins::record::Recorder;
use badgerwind_standins::{list, model, runner, senders, store};
use badgerwind_webhook::{KeyRing, RingKey};
use clap::Subcommand;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Arguments shared by the stand-ins that listen.
#[derive(clap::Args, Debug)]
pub struct ServerArgs {
    /// Specification, a JSON file
    #[arg(long)]
    pub spec: PathBuf,
    /// Listen address
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// File to write the listen address to, as JSON, once the stand-in accepts connections
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
    /// Append records of observed events to this file
    #[arg(long)]
    pub record: Option<PathBuf>,
}

/// Stand-ins that can be run.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Run a runner
    Runner {
        /// Arguments of a server
        #[command(flatten)]
        args: ServerArgs,
        /// Start without any loaded functions
        #[arg(long)]
        cold: bool,
    },
    /// Run the list service; its spec is the list of runners
    List(ServerArgs),
    /// Run the handler store
    Store(ServerArgs),
    /// Run senders until all their calls have ended
    Senders {
        /// Plan of the calls, a JSON file
        #[arg(long)]
        spec: PathBuf,
        /// File with the signing key
        #[arg(long)]
        key_file: PathBuf,
        /// Append records of observed events to this file
        #[arg(long)]
        record: Option<PathBuf>,
    },
}

/// Specification file of a runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerFile {
    /// The runner's id in the list.
    pub id: u32,
    /// The model of the runner.
    pub spec: model::Spec,
    /// Classes whose attempts its group fences with the ledger in the handler store.
    #[serde(default)]
    pub fenced: Vec<String>,
    /// Address of the handler store.
    pub store: Option<SocketAddr>,
    /// File with the key with which gateways sign; `None` accepts unsigned calls.
    pub key_file: Option<PathBuf>,
}

fn read_spec<T: DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let file = path.display();
    let bytes = std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {file}: {e}")))?;
    serde_json::from_slice(&bytes).map_err(|e| CommandError::usage(format!("{file}: {e}")))
}

fn open_recorder(path: Option<&Path>) -> Result<Recorder, CommandError> {
    let Some(path) = path else { return Ok(Recorder::none()) };
    Recorder::file(path).map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))
}

async fn listen(args: &ServerArgs) -> Result<TcpListener, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot listen on {}: {e}", args.listen));
    let listener = TcpListener::bind(args.listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    match &args.ready_file {
        Some(path) => crate::write_atomically(path, &serde_json::json!({ "address": address }).to_string())?,
        None => println!("listening on {address}"),
    }
    Ok(listener)
}

/// Runs a stand-in until it is killed.
pub fn run(command: Command) -> Result<(), CommandError> {
    smol::block_on(async {
        match command {
            Command::Runner { args, cold } => {
                let file: RunnerFile = read_spec(&args.spec)?;
                let keys = match &file.key_file {
                    None => None,
                    Some(path) => {
                        let key = read_key(path).map_err(|(message, remedy)| {
                            CommandError::usage(format!("{message}; {remedy}"))
                        })?;
                        let ring = RingKey { name: "gateway".into(), key, not_before: None, not_after: None };
                        Some(KeyRing { keys: vec![ring], tolerance: 300 })
                    }
                };
                let recorder = open_recorder(args.record.as_deref())?;
                let RunnerFile { id, spec, store, fenced, .. } = file;
                let fenced = store.filter(|_| !fenced.is_empty()).map(|at| Fenced::remote(fenced, at));
                let options =
                    runner::Options { id, spec, cold, store, keys, group: None, fenced, recorder, tls: None };
                runner::serve(listen(&args).await?, options).await;
            }
            Command::List(args) => {
                let runners: Vec<Runner> = read_spec(&args.spec)?;
                let recorder = open_recorder(args.record.as_deref())?;
                list::serve(listen(&args).await?, runners, recorder).await;
            }
            Command::Store(args) => {
                let spec: store::Spec = read_spec(&args.spec)?;
                store::server::serve(listen(&args).await?, spec).await;
            }
            Command::Senders { spec: path, key_file, record } => {
                let plan: senders::Plan = read_spec(&path)?;
                let key = read_key(&key_file)
                    .map_err(|(message, remedy)| CommandError::usage(format!("{message}; {remedy}")))?;
                senders::run(plan, key, open_recorder(record.as_deref())?).await;
            }
        }
        Ok(())
    })
}
