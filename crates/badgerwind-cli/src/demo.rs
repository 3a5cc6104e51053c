//! `demo`: runs a gateway with stand-ins in one process and prints what a sender receives.

use crate::day::world::World;
use crate::send::{post, Message};
use crate::CommandError;
use badgerwind_gateway::{secrets, Options};
use badgerwind_protocol::list::{Availability, Runner};
use badgerwind_settings::read;
use badgerwind_standins::record::Recorder;
use badgerwind_standins::runner::FaultCommand;
use badgerwind_standins::{command, list, model::Fault, runner, store};
use badgerwind_webhook::{Key, KeyKind, KeyRing, RingKey};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Arguments of `demo`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Also print the gateway's log
    #[arg(long)]
    pub log: bool,
}

/// Binds a free port on loopback.
async fn bind_loopback() -> Result<(TcpListener, SocketAddr), CommandError> {
    let failed = |e: std::io::Error| CommandError::failed(format!("cannot listen on loopback: {e}"));
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Runs the demonstration; fails if a call ends with another status than expected.
pub fn run(args: &Args) -> Result<(), CommandError> {
    if args.log {
        badgerwind_gateway::logging::start(false, "info");
    }
    smol::block_on(run_demo())
}

async fn run_demo() -> Result<(), CommandError> {
    let mut world = World::draw(7, 5);
    world.runners.truncate(3);
    let folder = tempfile::tempdir()
        .map_err(|e| CommandError::failed(format!("cannot create a temporary folder: {e}")))?;
    let key =
        || Key::generate(KeyKind::Shared).map_err(|e| CommandError::failed(format!("no random bytes: {e}")));
    let (portal, forger, gateway_key) = (key()?, key()?, key()?);
    for (name, key) in [("brolga-shire", &portal), ("tallow-creek", &key()?), ("runners", &gateway_key)] {
        crate::keys::write_key(&folder.path().join(format!("{name}.key")), key)?;
    }
    let mut tasks = Vec::new();
    let (socket, store_address) = bind_loopback().await?;
    tasks.push(smol::spawn(store::server::serve(socket, world.store)));
    let ring = RingKey { name: "gateway".into(), key: gateway_key, not_before: None, not_after: None };
    let mut runners = Vec::new();
    for (id, spec) in world.ids().zip(world.runners.clone()) {
        let (socket, address) = bind_loopback().await?;
        let keys = Some(KeyRing { keys: vec![ring.clone()], tolerance: 300 });
        let (store, recorder) = (Some(store_address), Recorder::none());
        let options = runner::Options {
            id,
            spec,
            cold: false,
            store,
            keys,
            group: None,
            fenced: None,
            recorder,
            tls: None,
        };
        tasks.push(smol::spawn(runner::serve(socket, options)));
        let (zone, cell, kind, size, availability, started) = (0, 0, 0, 1.0, Availability::Ready, None);
        runners.push(Runner { id, address, zone, cell, kind, size, availability, started });
    }
    let addresses: Vec<SocketAddr> = runners.iter().map(|r| r.address).collect();
    let (socket, list_address) = bind_loopback().await?;
    tasks.push(smol::spawn(list::serve(socket, runners, Recorder::none())));
    world.fronts = 1;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = world.settings(0, any, list_address, folder.path(), &folder.path().join("list.json"));
    let problems = |p: Vec<badgerwind_settings::Problem>| CommandError::failed(format!("{p:?}"));
    let settings = read("demo.xml", &text).map_err(problems)?;
    let keys = secrets::load("demo.xml", folder.path(), &settings).map_err(problems)?;
    let options = Options::new(Arc::new(settings), keys, folder.path().to_owned());
    let running =
        badgerwind_gateway::serve(options).await.map_err(|e| CommandError::failed(e.to_string()))?;
    let webhook = running.webhook;
    println!("gateway on {webhook}, {} runners, list and store on loopback\n", world.runners.len());

    let mut unexpected = 0;
    let mut send = async |title: &str, key: &Key, id: &str, path: &str, body: &str, expected: u16| {
        let started = Instant::now();
        let message = Message {
            id,
            path,
            deadline: Duration::from_millis(1500),
            retry: false,
            callback: None,
            body: body.as_bytes().to_vec(),
        };
        let (result, ok) = match post(webhook, key, message).await {
            Err(e) => (e, false),
            Ok((head, body)) => {
                let request_id =
                    head.headers.get("badgerwind-request").map(|r| format!(" as {r}")).unwrap_or_default();
                let text = String::from_utf8_lossy(&body).into_owned();
                (format!("{}{request_id}: {text}", head.status), head.status == expected)
            }
        };
        unexpected += usize::from(!ok);
        println!("{title}\n  {id} to {path}\n  {result}\n  after {:.1?}\n", started.elapsed());
    };
    let work = r#"{"work_us": 20000, "mean_us": 20000}"#;
    let (check, lodge) = ("/brolga-shire/check-answers/check-0", "/brolga-shire/lodge-return/lodge-0");
    send("a check whose handler is loaded nowhere yet", &portal, "msg_1", check, work, 200).await;
    send("another check: a copy is loaded now", &portal, "msg_2", check, work, 200).await;
    send("a lodgement", &portal, "msg_3", lodge, work, 200).await;
    send(
        "the same lodgement again: answered from the replay store, not run",
        &portal,
        "msg_3",
        lodge,
        work,
        200,
    )
    .await;
    send("the same id with another body", &portal, "msg_3", lodge, "{}", 409).await;
    send("a forged signature", &forger, "msg_4", lodge, work, 401).await;
    send("a path without a route", &portal, "msg_5", "/nowhere", work, 404).await;
    for address in &addresses {
        let hang = FaultCommand { on: true, fault: Fault::Hang };
        command(*address, "/standin/fault", &hang).await.map_err(CommandError::failed)?;
    }
    send("a lodgement that every runner accepts and none answers", &portal, "msg_6", lodge, work, 504).await;
    running.serve_until(std::future::ready(()), std::future::pending()).await;
    println!("the gateway has stopped; every sender has one answer");
    drop(tasks);
    match unexpected {
        0 => Ok(()),
        n => Err(CommandError::failed(format!("{n} calls ended with an unexpected status"))),
    }
}
