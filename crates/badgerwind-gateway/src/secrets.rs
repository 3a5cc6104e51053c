//! Keys from their files. A file that others can read is refused; no error holds any of a key's bytes.

use badgerwind_http::{ClientTls, Identity, ServerTls, TlsError};
use badgerwind_settings::{Problem, Settings};
use badgerwind_webhook::{Key, KeyRing, RingKey};
use std::path::Path;
use zeroize::Zeroizing;

/// All keys and certificates that the settings name.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// The live keys of each sender, by its place.
    pub rings: Vec<KeyRing>,
    /// What signs callbacks, by sender's and callback's place.
    pub callbacks: Vec<Vec<Key>>,
    /// What signs calls to runners.
    pub runners: Key,
    /// What front ends share.
    pub peers: Option<Key>,
    /// How senders are met, where under TLS.
    pub senders_tls: Option<ServerTls>,
    /// How runners are met, where under TLS.
    pub runners_tls: Option<ClientTls>,
}

/// A key file is one short line.
const MOST_BYTES: u64 = 4096;

/// The most bytes of a file in PEM: a chain, or some authorities.
const MOST_PEM: u64 = 1 << 20;

/// What is wrong, and what would be right.
type Wrong = (String, String);

/// Refuses a file that others can read.
fn private(path: &Path, meta: &std::fs::Metadata) -> Result<(), Wrong> {
    let shown = path.display();
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let mode = meta.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            let what = format!("the key file {shown} is open to others (mode {mode:03o})");
            return Err((what, format!("chmod 600 {shown}")));
        }
    }
    Ok(())
}

/// Reads one key file; the error says what is wrong and what would be right.
pub fn read_key(path: &Path) -> Result<Key, Wrong> {
    let shown = path.display();
    let meta = std::fs::metadata(path).map_err(|e| {
        (
            format!("the key file {shown} cannot be read: {e}"),
            "write one with: badgerwind keys new".to_owned(),
        )
    })?;
    private(path, &meta)?;
    if meta.len() > MOST_BYTES {
        return Err((format!("the key file {shown} holds {} bytes", meta.len()), "it holds one key".into()));
    }
    let text = std::fs::read_to_string(path).map(Zeroizing::new).map_err(|e| {
        (format!("the key file {shown} cannot be read: {e}"), "it holds one line of text".into())
    })?;
    Key::parse(&text).map_err(|e| (format!("the key file {shown} holds no key"), e.to_string()))
}

/// Reads a file in PEM; a private key's may be its owner's alone to read.
fn read_pem(path: &Path, secret: bool) -> Result<Zeroizing<Vec<u8>>, Wrong> {
    let shown = path.display();
    let unread =
        |e: std::io::Error| (format!("{shown} cannot be read: {e}"), "name a file in PEM form".to_owned());
    let meta = std::fs::metadata(path).map_err(unread)?;
    if secret {
        private(path, &meta)?;
    }
    if meta.len() > MOST_PEM {
        return Err((format!("{shown} holds {} bytes", meta.len()), format!("at most {MOST_PEM}")));
    }
    std::fs::read(path).map(Zeroizing::new).map_err(unread)
}

fn unfit(e: TlsError) -> Wrong {
    (format!("TLS cannot be set up: {e}"), "certificates and keys in PEM form that fit together".into())
}

/// How senders are met.
fn senders_tls(folder: &Path, t: &badgerwind_settings::Tls) -> Result<ServerTls, Wrong> {
    let (chain, key) =
        (read_pem(&folder.join(&t.certificate), false)?, read_pem(&folder.join(&t.key_file), true)?);
    let clients = t.client_authorities.as_ref().map(|c| read_pem(&folder.join(c), false)).transpose()?;
    let identity = Identity { chain: &chain, key: &key };
    ServerTls::new(identity, clients.as_ref().map(|c| &c[..])).map_err(unfit)
}

/// How runners are met.
fn runners_tls(folder: &Path, t: &badgerwind_settings::RunnerTls) -> Result<ClientTls, Wrong> {
    let authority = read_pem(&folder.join(&t.authority), false)?;
    let own = match &t.identity {
        Some((chain, key)) => {
            Some((read_pem(&folder.join(chain), false)?, read_pem(&folder.join(key), true)?))
        }
        None => None,
    };
    let identity = own.as_ref().map(|(chain, key)| Identity { chain, key });
    ClientTls::new(&authority, &t.server_name, identity).map_err(unfit)
}

/// Reads all keys; relative files are from `folder`. All problems are returned together.
pub fn load(file: &str, folder: &Path, settings: &Settings) -> Result<Secrets, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut tls = Vec::new();
    let mut none = |line: usize, (what, right): Wrong| {
        tls.push(Problem { file: file.into(), line, element: "tls".into(), message: what, remedy: right });
    };
    let (own, theirs) = (&settings.webhook.tls, &settings.runners.tls);
    let senders_tls = own.as_ref().and_then(|t| senders_tls(folder, t).map_err(|w| none(t.line, w)).ok());
    let runners_tls = theirs.as_ref().and_then(|t| runners_tls(folder, t).map_err(|w| none(t.line, w)).ok());
    problems.append(&mut tls);
    let mut key = |element: &str, line: usize, path: &Path| {
        let read = read_key(&folder.join(path));
        read.map_err(|(what, right)| {
            problems.push(Problem {
                file: file.into(),
                line,
                element: element.into(),
                message: what,
                remedy: right,
            });
        })
        .ok()
    };
    let (mut rings, mut callbacks) = (Vec::new(), Vec::new());
    for sender in &settings.webhook.senders {
        let mut ring = KeyRing { keys: Vec::new(), tolerance: sender.tolerance };
        for s in &sender.secrets {
            if let Some(key) = key("secret", s.line, &s.file) {
                let (not_before, not_after) = (s.not_before, s.not_after);
                ring.keys.push(RingKey { name: s.name.as_str().into(), key, not_before, not_after });
            }
        }
        rings.push(ring);
        callbacks
            .push(sender.callbacks.iter().filter_map(|c| key("callback", c.line, &c.key_file)).collect());
    }
    let runners = key("runners", settings.runners.line, &settings.runners.key_file);
    let peers = settings.peers.as_ref().map(|p| key("peers", p.line, &p.key_file));
    if let Some(Some(Key::Public(_) | Key::Private(_))) = &peers {
        let line = settings.peers.as_ref().map_or(0, |p| p.line);
        let what = "key-file holds an ed25519 key".to_owned();
        let right = "front ends share a whsec_ secret".to_owned();
        problems.push(Problem {
            file: file.into(),
            line,
            element: "peers".into(),
            message: what,
            remedy: right,
        });
    }
    match runners {
        Some(runners) if problems.is_empty() => {
            Ok(Secrets { rings, callbacks, runners, peers: peers.flatten(), senders_tls, runners_tls })
        }
        _ => Err(problems),
    }
}
