//! `serve` and `check`.

use crate::Stop;
use async_signal::{Signal, Signals};
use badgerwind_config::parts::compose;
use badgerwind_gateway::control::{read_kept, Following};
use badgerwind_gateway::secrets::{self, Secrets};
use badgerwind_gateway::{Options, Reread, Stopped};
use badgerwind_settings::document::{parse, Node};
use badgerwind_settings::{read_tree, Problem, Settings};
use futures_lite::StreamExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Arguments of `serve`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The settings file
    #[arg(long)]
    pub settings: PathBuf,
    /// Write the addresses listened on to this file, as JSON, once it serves
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
}

/// Arguments of `check`.
#[derive(clap::Args, Debug)]
pub struct CheckArgs {
    /// The settings file
    #[arg(long, required_unless_present = "print_schema")]
    pub settings: Option<PathBuf>,
    /// Print the XSD of settings files
    #[arg(long)]
    pub print_schema: bool,
}

fn told_problems(problems: &[Problem]) -> Stop {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    Stop::usage(format!("the settings cannot be used\n{}", lines.join("\n")))
}

/// Reads settings and the keys that they name.
pub fn load(path: &Path) -> Result<(Settings, Secrets, PathBuf), Stop> {
    let (_, settings, folder) = load_file(path)?;
    let file = path.display().to_string();
    let secrets = secrets::load(&file, &folder, &settings).map_err(|p| told_problems(&p))?;
    Ok((settings, secrets, folder))
}

/// Reads a settings file alone, as a document and as settings, and its folder.
fn load_file(path: &Path) -> Result<(Node, Settings, PathBuf), Stop> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Stop::usage(format!("cannot read {file}: {e}")))?;
    let node = parse(&file, &text).map_err(|p| told_problems(&[p]))?;
    let settings = read_tree(&node).map_err(|p| told_problems(&p))?;
    let folder = path.parent().map_or_else(PathBuf::new, Path::to_owned);
    Ok((node, settings, folder))
}

/// Checks settings; prints what they come to.
pub fn check(args: &CheckArgs) -> Result<(), Stop> {
    if args.print_schema {
        print!("{}", badgerwind_settings::schema::xsd());
        return Ok(());
    }
    let Some(path) = &args.settings else { return Err(Stop::usage("name a settings file")) };
    let (s, ..) = load(path)?;
    println!(
        "{}: good. Front end {} of {}, {} classes, {} tenants, {} functions, {} routes.",
        path.display(),
        s.router.my_number,
        s.router.front_ends,
        s.classes.len(),
        s.tenants.len(),
        s.functions.len(),
        s.webhook.routes.len()
    );
    Ok(())
}

/// Serves until SIGTERM or SIGINT; a second one ends it at once.
pub fn serve(args: &Args) -> Result<(), Stop> {
    let (file, own, folder) = load_file(&args.settings)?;
    // Where a control service is followed, the set that ran last comes before the file's own.
    let (kept, told) = match &own.control {
        Some(c) => read_kept(&folder.join(&c.storage_file)),
        None => (Vec::new(), Vec::new()),
    };
    let (settings, unfit) = match read_tree(&compose(&file, &kept)) {
        Ok(settings) => (settings, Vec::new()),
        Err(problems) => (own, problems),
    };
    let shown = args.settings.display().to_string();
    let secrets = secrets::load(&shown, &folder, &settings).map_err(|p| told_problems(&p))?;
    badgerwind_gateway::logging::start(settings.log.json, &settings.log.level);
    told.iter().for_each(|text| tracing::warn!("{text}"));
    unfit.iter().for_each(|p| tracing::warn!("the set that ran last does not fit the file any more: {p}"));
    // A control service's routes come before the file's: then only the files that they name are read again.
    let reread = settings.control.is_none().then(|| reread(args.settings.clone(), file.clone()));
    let following = settings.control.is_some().then_some(Following { file, kept });
    let mut options = Options::new(Arc::new(settings), secrets, folder);
    options.following = following;
    serve_with(options, args.ready_file.as_deref(), reread)
}

/// Reads the settings file anew, and says where it holds more than keys that are not what runs.
fn reread(path: PathBuf, begun: Node) -> Reread {
    Box::new(move || {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|e| {
            let (what, right) = (format!("cannot be read: {e}"), "put it back".to_owned());
            vec![Problem {
                file: file.clone(),
                line: 1,
                element: "badgerwind".into(),
                message: what,
                remedy: right,
            }]
        })?;
        let node = parse(&file, &text).map_err(|p| vec![p])?;
        if !badgerwind_settings::edit::equal_except_reloadable(&begun, &node) {
            tracing::warn!("{file} differs from what runs in more than keys: the rest waits for a restart");
        }
        read_tree(&node)
    })
}

/// Serves with options put together elsewhere.
pub fn serve_with(options: Options, ready_file: Option<&Path>, reread: Option<Reread>) -> Result<(), Stop> {
    smol::block_on(async {
        let signals = Signals::new([Signal::Term, Signal::Int]);
        let signals = signals.map_err(|e| Stop::failed(format!("signals cannot be heard: {e}")))?;
        let running = badgerwind_gateway::serve(options).await.map_err(|e| Stop::failed(e.to_string()))?;
        if let Some(path) = ready_file {
            let ready = serde_json::json!({ "webhook": running.webhook, "metrics": running.metrics });
            crate::write_whole(path, &ready.to_string())?;
        }
        // SIGHUP: keys and certificates are read again.
        let reload = running.reloader(reread);
        let hangups = Signals::new([Signal::Hup]);
        let mut hangups = hangups.map_err(|e| Stop::failed(format!("signals cannot be heard: {e}")))?;
        let _reloading = smol::spawn(async move {
            while hangups.next().await.is_some() {
                match reload() {
                    Ok(()) => tracing::info!("keys read again"),
                    Err(problems) => {
                        problems.iter().for_each(|p| tracing::error!("the keys stay as they are: {p}"));
                    }
                }
            }
        });
        let (mut first, mut second) = (signals, Signals::new([Signal::Term, Signal::Int]).ok());
        // Both hear every signal, so the second counts from the second on.
        let stop = async {
            first.next().await;
        };
        let now = async {
            match &mut second {
                Some(s) => {
                    s.next().await;
                    s.next().await;
                }
                None => futures_lite::future::pending().await,
            }
        };
        match running.until(stop, now).await {
            Stopped::Orderly => Ok(()),
            Stopped::ModuleFailed(text) => {
                Err(Stop { text: format!("the decision module failed: {text}"), code: 70 })
            }
        }
    })
}
