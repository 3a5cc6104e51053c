//! `send`: signs and posts webhooks.

use crate::CommandError;
use badgerwind_gateway::secrets::read_key;
use badgerwind_http::{ClientTls, Exchange, Identity, Pool, PoolLimits, ResponseHead};
use badgerwind_webhook::{sign, Key, ID, SIGNATURE, TIMESTAMP};
use futures_lite::FutureExt;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Arguments of `send`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Deliver the messages in this folder, one per file, and retry by the Standard Webhooks schedule
    #[arg(long, conflicts_with_all = ["id", "body", "retry"])]
    pub from: Option<PathBuf>,
    /// With --from: exit once nothing is due; the next run continues with the rest
    #[arg(long, requires = "from")]
    pub once: bool,
    /// With --from: the messages must not run twice and the receiver has no fence
    #[arg(long, requires = "from")]
    pub lodgements: bool,
    /// URL to post to, http or https with an IP address and port, such as http://127.0.0.1:8080/lodge
    #[arg(long = "to", value_name = "TO")]
    pub url: String,
    /// For https: trusted certificate authorities, in PEM
    #[arg(long)]
    pub authority: Option<PathBuf>,
    /// For https: name that the server certificate must carry [default: the IP address]
    #[arg(long, requires = "authority")]
    pub name: Option<String>,
    /// For https: client certificate, in PEM, if the server requires one
    #[arg(long, requires = "authority", requires = "certificate_key")]
    pub certificate: Option<PathBuf>,
    /// Private key of the client certificate
    #[arg(long, requires = "certificate")]
    pub certificate_key: Option<PathBuf>,
    /// File with the signing key
    #[arg(long)]
    pub key_file: PathBuf,
    /// Id of the message [default: derived from the clock]
    #[arg(long)]
    pub id: Option<String>,
    /// File with the body, or - for standard input
    #[arg(long, default_value = "-")]
    pub body: String,
    /// How long to wait for the answer, in milliseconds
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
    /// Mark the message as a repeat
    #[arg(long)]
    pub retry: bool,
    /// Also post the answer to this callback of the sender
    #[arg(long)]
    pub callback: Option<String>,
}

/// A receiver of webhooks: its address and TLS settings.
#[derive(Clone, Debug)]
pub struct Receiver {
    /// Its address.
    pub address: SocketAddr,
    /// TLS settings; `None` for plain HTTP.
    pub tls: Option<ClientTls>,
}

impl From<SocketAddr> for Receiver {
    fn from(address: SocketAddr) -> Self {
        Receiver { address, tls: None }
    }
}

/// A message to sign and post.
pub struct Message<'a> {
    /// The webhook id.
    pub id: &'a str,
    /// The request path.
    pub path: &'a str,
    /// How long to wait for the answer; also sent as the call's deadline.
    pub deadline: Duration,
    /// Whether the message is a repeat.
    pub retry: bool,
    /// Callback of the sender to which the answer is posted as well.
    pub callback: Option<&'a str>,
    /// The request body.
    pub body: Vec<u8>,
}

/// Posts a signed message and waits for the answer.
pub async fn post(
    receiver: impl Into<Receiver>,
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
    let limits = PoolLimits {
        max_connections: 1,
        connect_timeout: message.deadline,
        idle_timeout: message.deadline,
        max_body_bytes: 64 * 1024 * 1024,
    };
    let timeout = async {
        smol::Timer::after(message.deadline).await;
        Err("no answer in time".to_owned())
    };
    let Receiver { address, tls } = receiver.into();
    let pool = Pool::new(address, limits);
    pool.set_tls(tls);
    async { pool.exchange(&request).await.map_err(|e| e.to_string()) }.or(timeout).await
}

/// Splits the URL into the receiver and the path, and reads the TLS files.
fn parse_receiver(args: &Args) -> Result<(Receiver, &str), CommandError> {
    let (secure, rest) = match (args.url.strip_prefix("https://"), args.url.strip_prefix("http://")) {
        (Some(rest), _) => (true, rest),
        (_, Some(rest)) => (false, rest),
        _ => return Err(CommandError::usage("--to must start with http:// or https://")),
    };
    let (host, path) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let address: SocketAddr = host.parse().map_err(|_| {
        CommandError::usage(format!("{host} is not an IP address with a port, such as 127.0.0.1:8080"))
    })?;
    let read = |path: &PathBuf| {
        std::fs::read(path).map_err(|e| CommandError::usage(format!("cannot read {}: {e}", path.display())))
    };
    let tls = match (secure, &args.authority) {
        (false, None) => None,
        (false, Some(_)) => return Err(CommandError::usage("--authority needs an https:// URL")),
        (true, None) => {
            return Err(CommandError::usage(
                "https:// needs --authority, the trusted certificate authorities",
            ))
        }
        (true, Some(authority)) => {
            let own = match (&args.certificate, &args.certificate_key) {
                (Some(chain), Some(key)) => Some((read(chain)?, zeroize::Zeroizing::new(read(key)?))),
                _ => None,
            };
            let identity = own.as_ref().map(|(chain, key)| Identity { chain, key });
            let name = args.name.clone().unwrap_or_else(|| address.ip().to_string());
            let tls = ClientTls::new(&read(authority)?, &name, identity);
            Some(tls.map_err(|e| CommandError::usage(format!("TLS cannot be set up: {e}")))?)
        }
    };
    Ok((Receiver { address, tls }, path))
}

/// Posts one message and prints the answer, or delivers a folder. A status other than 200 gives exit code 1.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let (receiver, path) = parse_receiver(args)?;
    let key = read_key(&args.key_file)
        .map_err(|(message, remedy)| CommandError::usage(format!("{message}; {remedy}")))?;
    if let Some(folder) = &args.from {
        let deadline = Duration::from_millis(args.deadline_ms);
        let outbox = crate::outbox::Outbox {
            folder,
            receiver,
            path,
            key: &key,
            deadline,
            lodgements: args.lodgements,
        };
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
    let started = Instant::now();
    let answer = smol::block_on(post(
        receiver,
        &key,
        Message { id: &id, path, deadline, retry: args.retry, callback: args.callback.as_deref(), body },
    ));
    let elapsed = started.elapsed();
    let (head, body) = answer.map_err(|e| CommandError::failed(format!("{id}: {e} after {elapsed:.1?}")))?;
    println!("{id}: {} in {elapsed:.1?}", head.status);
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
