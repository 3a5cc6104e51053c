//! `standin`: each peer of the gateway as a process of its own.

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

/// What every stand-in with a listener takes.
#[derive(clap::Args, Debug)]
pub struct Common {
    /// What it is made of: a JSON file
    #[arg(long)]
    pub spec: PathBuf,
    /// Where it listens
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Write its address to this file once it serves
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
    /// Append what it sees to this file
    #[arg(long)]
    pub record: Option<PathBuf>,
}

/// The stand-ins.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// A runner
    Runner {
        /// Common arguments
        #[command(flatten)]
        common: Common,
        /// It has just started, cold and empty
        #[arg(long)]
        cold: bool,
    },
    /// The list service; its spec is the list of runners
    List(Common),
    /// The handler store
    Store(Common),
    /// Senders; they end when all their calls have
    Senders {
        /// Their plan: a JSON file
        #[arg(long)]
        spec: PathBuf,
        /// The file with the key that signs
        #[arg(long)]
        key_file: PathBuf,
        /// Append what they see to this file
        #[arg(long)]
        record: Option<PathBuf>,
    },
}

/// A runner's spec file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerFile {
    /// Its id in the list.
    pub id: u32,
    /// What it is made of.
    pub spec: model::Spec,
    /// Classes that its group fences, by the ledger that the store keeps.
    #[serde(default)]
    pub fenced: Vec<String>,
    /// The handler store.
    pub store: Option<SocketAddr>,
    /// The key by which gateways sign; without one it takes any call.
    pub key_file: Option<PathBuf>,
}

fn spec<T: DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let shown = path.display();
    let bytes = std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {shown}: {e}")))?;
    serde_json::from_slice(&bytes).map_err(|e| CommandError::usage(format!("{shown}: {e}")))
}

fn recorder(path: Option<&Path>) -> Result<Recorder, CommandError> {
    let Some(path) = path else { return Ok(Recorder::none()) };
    Recorder::file(path).map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))
}

async fn listen(common: &Common) -> Result<TcpListener, CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot listen on {}: {e}", common.listen));
    let listener = TcpListener::bind(common.listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    match &common.ready_file {
        Some(path) => crate::write_atomically(path, &serde_json::json!({ "address": address }).to_string())?,
        None => println!("listening on {address}"),
    }
    Ok(listener)
}

/// Runs a stand-in until it is killed.
pub fn run(command: Command) -> Result<(), CommandError> {
    smol::block_on(async {
        match command {
            Command::Runner { common, cold } => {
                let file: RunnerFile = spec(&common.spec)?;
                let keys = match &file.key_file {
                    None => None,
                    Some(path) => {
                        let key =
                            read_key(path).map_err(|(w, r)| CommandError::usage(format!("{w}; {r}")))?;
                        let ring = RingKey { name: "gateway".into(), key, not_before: None, not_after: None };
                        Some(KeyRing { keys: vec![ring], tolerance: 300 })
                    }
                };
                let recorder = recorder(common.record.as_deref())?;
                let RunnerFile { id, spec, store, fenced, .. } = file;
                let fenced = store.filter(|_| !fenced.is_empty()).map(|at| Fenced::there(fenced, at));
                let options =
                    runner::Options { id, spec, cold, store, keys, group: None, fenced, recorder, tls: None };
                runner::serve(listen(&common).await?, options).await;
            }
            Command::List(common) => {
                let runners: Vec<Runner> = spec(&common.spec)?;
                let recorder = recorder(common.record.as_deref())?;
                list::serve(listen(&common).await?, runners, recorder).await;
            }
            Command::Store(common) => {
                let made: store::Spec = spec(&common.spec)?;
                store::server::serve(listen(&common).await?, made).await;
            }
            Command::Senders { spec: path, key_file, record } => {
                let plan: senders::Plan = spec(&path)?;
                let key = read_key(&key_file).map_err(|(w, r)| CommandError::usage(format!("{w}; {r}")))?;
                senders::run(plan, key, recorder(record.as_deref())?).await;
            }
        }
        Ok(())
    })
}
