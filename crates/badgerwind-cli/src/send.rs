//! `send`.

use crate::CommandError;
use badgerwind_gateway::secrets::read_key;
use badgerwind_http::{ClientTls, Exchange, Identity, Pool, PoolBounds, ResponseHead};
use badgerwind_webhook::{sign, Key, ID, SIGNATURE, TIMESTAMP};
use futures_lite::FutureExt;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Arguments of `send`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Deliver the messages of this folder, one a file, again and again by the specification's schedule
    #[arg(long, conflicts_with_all = ["id", "body", "retry"])]
    pub from: Option<PathBuf>,
    /// With --from: end once nothing is due now, with what is left for the next run
    #[arg(long, requires = "from")]
    pub once: bool,
    /// With --from: the messages must not run twice and their receiver has no fence
    #[arg(long, requires = "from")]
    pub lodgements: bool,
    /// Where to, such as http://127.0.0.1:8080/lodge, or https; an IP address and port
    #[arg(long)]
    pub to: String,
    /// For https: the authorities whose certificates are trusted, in PEM
    #[arg(long)]
    pub authority: Option<PathBuf>,
    /// For https: the name that the certificate must bear; the address where it is left out
    #[arg(long, requires = "authority")]
    pub name: Option<String>,
    /// For https: the sender's own certificate, in PEM, where it is asked for
    #[arg(long, requires = "authority", requires = "certificate_key")]
    pub certificate: Option<PathBuf>,
    /// Its private key
    #[arg(long, requires = "certificate")]
    pub certificate_key: Option<PathBuf>,
    /// The file with the key that signs
    #[arg(long)]
    pub key_file: PathBuf,
    /// The message's id; drawn where it is left out
    #[arg(long)]
    pub id: Option<String>,
    /// The body's file, or - for standard input
    #[arg(long, default_value = "-")]
    pub body: String,
    /// How long to wait for the answer, in milliseconds
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
    /// Mark it as a repeat
    #[arg(long)]
    pub retry: bool,
    /// Have the answer also posted to this callback of the sender
    #[arg(long)]
    pub callback: Option<String>,
}

/// A receiver: where it listens, and how it is met under TLS.
#[derive(Clone, Debug)]
pub struct To {
    /// Where it listens.
    pub at: SocketAddr,
    /// How it is met; `None`: without TLS.
    pub tls: Option<ClientTls>,
}

impl From<SocketAddr> for To {
    fn from(at: SocketAddr) -> Self {
        To { at, tls: None }
    }
}

/// A signed message.
pub struct Message<'a> {
    /// Its id.
    pub id: &'a str,
    /// The path.
    pub path: &'a str,
    /// How long to wait.
    pub deadline: Duration,
    /// It is a repeat.
    pub retry: bool,
    /// The callback to which the answer is also to be posted.
    pub callback: Option<&'a str>,
    /// The body.
    pub body: Vec<u8>,
}

/// Posts a signed message and waits for the answer.
pub async fn post(
    to: impl Into<To>,
    key: &Key,
    message: Message<'_>,
) -> Result<(ResponseHead, Vec<u8>), String> {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
    let signed = sign(std::slice::from_ref(key), message.id, seconds, &message.body);
    let mut headers = vec![
        (ID, signed.id),
        (TIMESTAMP, signed.timestamp.to_string()),
        (SIGNATURE, signed.signature),
        ("content-type", "application/json".to_owned()),
        ("badgerwind-deadline-ms", message.deadline.as_millis().to_string()),
    ];
    if message.retry {
        headers.push(("badgerwind-retry", "1".to_owned()));
    }
    headers.extend(message.callback.map(|name| ("badgerwind-callback", name.to_owned())));
    let (method, target) = ("POST", message.path.to_owned());
    let request = Exchange { method, target, headers, body: message.body.into() };
    let bounds = PoolBounds {
        most: 1,
        connect_time: message.deadline,
        idle_time: message.deadline,
        body_bytes: 64 * 1024 * 1024,
    };
    let late = async {
        smol::Timer::after(message.deadline).await;
        Err("no answer in time".to_owned())
    };
    let To { at, tls } = to.into();
    let pool = Pool::new(at, bounds);
    pool.set_tls(tls);
    async { pool.exchange(&request).await.map_err(|e| e.to_string()) }.or(late).await
}

fn receiver(args: &Args) -> Result<(To, &str), CommandError> {
    let (secure, rest) = match (args.to.strip_prefix("https://"), args.to.strip_prefix("http://")) {
        (Some(rest), _) => (true, rest),
        (_, Some(rest)) => (false, rest),
        _ => return Err(CommandError::usage("--to starts with http:// or https://")),
    };
    let (host, path) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let at: SocketAddr = host.parse().map_err(|_| {
        CommandError::usage(format!("{host} is no IP address and port, such as 127.0.0.1:8080"))
    })?;
    let read = |path: &PathBuf| {
        std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {}: {e}", path.display())))
    };
    let tls = match (secure, &args.authority) {
        (false, None) => None,
        (false, Some(_)) => return Err(CommandError::usage("--authority goes with https://")),
        (true, None) => return Err(CommandError::usage("https:// needs --authority, whom to trust")),
        (true, Some(authority)) => {
            let own = match (&args.certificate, &args.certificate_key) {
                (Some(chain), Some(key)) => Some((read(chain)?, zeroize::Zeroizing::new(read(key)?))),
                _ => None,
            };
            let identity = own.as_ref().map(|(chain, key)| Identity { chain, key });
            let name = args.name.clone().unwrap_or_else(|| at.ip().to_string());
            let tls = ClientTls::new(&read(authority)?, &name, identity);
            Some(tls.map_err(|e| CommandError::usage(format!("TLS cannot be set up: {e}")))?)
        }
    };
    Ok((To { at, tls }, path))
}

/// Posts one and prints what came back; exit 1 unless it was served.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let (to, path) = receiver(args)?;
    let key =
        read_key(&args.key_file).map_err(|(what, right)| CommandError::usage(format!("{what}; {right}")))?;
    if let Some(folder) = &args.from {
        let deadline = Duration::from_millis(args.deadline_ms);
        let outbox =
            crate::outbox::Outbox { folder, to, path, key: &key, deadline, lodgements: args.lodgements };
        return outbox.deliver(args.once);
    }
    let mut body = Vec::new();
    let read = match args.body.as_str() {
        "-" => std::io::stdin().lock().read_to_end(&mut body).map(|_| ()),
        file => std::fs::read(file).map(|b| body = b),
    };
    read.map_err(|e| CommandError::usage(format!("cannot read the body from {}: {e}", args.body)))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let id = args.id.clone().unwrap_or_else(|| format!("msg_{now:x}"));
    let deadline = Duration::from_millis(args.deadline_ms);
    let began = Instant::now();
    let got = smol::block_on(post(
        to,
        &key,
        Message { id: &id, path, deadline, retry: args.retry, callback: args.callback.as_deref(), body },
    ));
    let took = began.elapsed();
    let (head, body) = got.map_err(|e| CommandError::failed(format!("{id}: {e} after {took:.1?}")))?;
    println!("{id}: {} in {took:.1?}", head.status);
    for (name, value) in
        head.headers.iter().filter(|(n, _)| n.starts_with("badgerwind-") || *n == "retry-after")
    {
        println!("  {name}: {value}");
    }
    println!("{}", String::from_utf8_lossy(&body));
    if head.status == 200 {
        Ok(())
    } else {
        Err(CommandError { message: String::new(), exit_code: 1 })
    }
}
