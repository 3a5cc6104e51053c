//! `serve` runs a front end; `check` validates its settings.

use crate::CommandError;
use async_signal::{Signal, Signals};
use badgerwind_config::parts::compose;
use badgerwind_gateway::control::{read_stored, FollowOptions};
use badgerwind_gateway::secrets::{self, Secrets};
use badgerwind_gateway::{Options, SettingsReader, Stopped};
use badgerwind_settings::document::{parse, Node};
use badgerwind_settings::{read_tree, Problem, Settings};
use futures_lite::StreamExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Arguments of `serve`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Settings file
    #[arg(long)]
    pub settings: PathBuf,
    /// File to write the listen addresses to, as JSON, once the front end accepts connections
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
}

/// Arguments of `check`.
#[derive(clap::Args, Debug)]
pub struct CheckArgs {
    /// Settings file
    #[arg(long, required_unless_present = "print_schema")]
    pub settings: Option<PathBuf>,
    /// Print the XML schema of settings files
    #[arg(long)]
    pub print_schema: bool,
}

fn settings_error(problems: &[Problem]) -> CommandError {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    CommandError::usage(format!("the settings cannot be used\n{}", lines.join("\n")))
}

/// Reads a settings file and the keys that it refers to; also returns the file's folder.
pub fn load(path: &Path) -> Result<(Settings, Secrets, PathBuf), CommandError> {
    let (_, settings, folder) = load_file(path)?;
    let file = path.display().to_string();
    let secrets = secrets::load(&file, &folder, &settings).map_err(|p| settings_error(&p))?;
    Ok((settings, secrets, folder))
}

/// Reads a settings file without its keys: the document, the settings and the file's folder.
fn load_file(path: &Path) -> Result<(Node, Settings, PathBuf), CommandError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| CommandError::usage(format!("cannot read {file}: {e}")))?;
    let node = parse(&file, &text).map_err(|p| settings_error(&[p]))?;
    let settings = read_tree(&node).map_err(|p| settings_error(&p))?;
    let folder = path.parent().map_or_else(PathBuf::new, Path::to_owned);
    Ok((node, settings, folder))
}

/// Validates a settings file and prints a summary, or prints the schema.
pub fn check(args: &CheckArgs) -> Result<(), CommandError> {
    if args.print_schema {
        print!("{}", badgerwind_settings::schema::xsd());
        return Ok(());
    }
    let Some(path) = &args.settings else { return Err(CommandError::usage("name a settings file")) };
    let (settings, ..) = load(path)?;
    println!(
        "{}: good. Front end {} of {}, {} classes, {} tenants, {} functions, {} routes.",
        path.display(),
        settings.router.my_number,
        settings.router.front_ends,
        settings.classes.len(),
        settings.tenants.len(),
        settings.functions.len(),
        settings.webhook.routes.len()
    );
    Ok(())
}

/// Serves until SIGTERM or SIGINT; a second signal stops the front end without waiting for calls in progress.
pub fn serve(args: &Args) -> Result<(), CommandError> {
    let (document, file_settings, folder) = load_file(&args.settings)?;
    // With a control service, the last applied versions take precedence over the file's own settings.
    let (stored, warnings) = match &file_settings.control {
        Some(c) => read_stored(&folder.join(&c.storage_file)),
        None => (Vec::new(), Vec::new()),
    };
    let (settings, problems) = match read_tree(&compose(&document, &stored)) {
        Ok(settings) => (settings, Vec::new()),
        Err(problems) => (file_settings, problems),
    };
    let file = args.settings.display().to_string();
    let secrets = secrets::load(&file, &folder, &settings).map_err(|p| settings_error(&p))?;
    badgerwind_gateway::logging::start(settings.log.json, &settings.log.level);
    warnings.iter().for_each(|text| tracing::warn!("{text}"));
    problems
        .iter()
        .for_each(|p| tracing::warn!("the stored versions are incompatible with the settings file: {p}"));
    // A control service's routes take precedence over the file's: then a reload reads only the key and
    // certificate files, not the settings file.
    let reread = settings.control.is_none().then(|| settings_reader(args.settings.clone(), document.clone()));
    let following = settings.control.is_some().then_some(FollowOptions { file: document, stored });
    let mut options = Options::new(Arc::new(settings), secrets, folder);
    options.follow = following;
    serve_with(options, args.ready_file.as_deref(), reread)
}

/// Returns a function that reads the settings file again. It warns if the file differs from the running
/// settings in more than what a reload applies.
fn settings_reader(path: PathBuf, running: Node) -> SettingsReader {
    Box::new(move || {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|e| {
            let (message, remedy) = (format!("cannot be read: {e}"), "restore the file".to_owned());
            vec![Problem { file: file.clone(), line: 1, element: "badgerwind".into(), message, remedy }]
        })?;
        let node = parse(&file, &text).map_err(|p| vec![p])?;
        if !badgerwind_settings::edit::equal_except_reloadable(&running, &node) {
            tracing::warn!(
                "{file} differs from the running settings in more than keys; other changes need a restart"
            );
        }
        read_tree(&node)
    })
}

/// Serves with the given options until a signal arrives.
pub fn serve_with(
    options: Options,
    ready_file: Option<&Path>,
    reread: Option<SettingsReader>,
) -> Result<(), CommandError> {
    smol::block_on(async {
        let signals = Signals::new([Signal::Term, Signal::Int]);
        let signals =
            signals.map_err(|e| CommandError::failed(format!("cannot install signal handlers: {e}")))?;
        let running =
            badgerwind_gateway::serve(options).await.map_err(|e| CommandError::failed(e.to_string()))?;
        if let Some(path) = ready_file {
            let ready = serde_json::json!({ "webhook": running.webhook, "metrics": running.metrics });
            crate::write_atomically(path, &ready.to_string())?;
        }
        // SIGHUP reloads keys and certificates.
        let reload = running.reloader(reread);
        let hangups = Signals::new([Signal::Hup]);
        let mut hangups =
            hangups.map_err(|e| CommandError::failed(format!("cannot install signal handlers: {e}")))?;
        let _reloading = smol::spawn(async move {
            while hangups.next().await.is_some() {
                match reload() {
                    Ok(()) => tracing::info!("keys reloaded"),
                    Err(problems) => {
                        problems.iter().for_each(|p| tracing::error!("keys not reloaded: {p}"));
                    }
                }
            }
        });
        let (mut first, mut second) = (signals, Signals::new([Signal::Term, Signal::Int]).ok());
        // Both streams receive every signal, so the second stream waits for two.
        let stop = async {
            first.next().await;
        };
        let stop_now = async {
            match &mut second {
                Some(s) => {
                    s.next().await;
                    s.next().await;
                }
                None => futures_lite::future::pending().await,
            }
        };
        match running.serve_until(stop, stop_now).await {
            Stopped::Orderly => Ok(()),
            Stopped::ModuleFailed(reason) => {
                Err(CommandError { message: format!("the decision module failed: {reason}"), exit_code: 70 })
            }
        }
    })
}
