//! Loads keys and certificates from files. A key file that other users can read is rejected; errors never
//! contain key material.

use badgerwind_http::{ClientTls, Identity, ServerTls, TlsError};
use badgerwind_settings::{Problem, Settings};
use badgerwind_webhook::{Key, KeyRing, RingKey};
use std::path::Path;
use zeroize::Zeroizing;

/// All keys and certificates that the settings name.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// The valid keys of each sender, by the sender's index.
    pub rings: Vec<KeyRing>,
    /// The keys that sign callbacks, by the sender's and the callback's index.
    pub callbacks: Vec<Vec<Key>>,
    /// The key that signs calls to runners.
    pub runners: Key,
    /// The secret that the front ends share.
    pub peers: Option<Key>,
    /// TLS towards senders, if configured.
    pub senders_tls: Option<ServerTls>,
    /// TLS towards runners, if configured.
    pub runners_tls: Option<ClientTls>,
}

/// Largest key file, in bytes; it holds one short line.
const MAX_KEY_BYTES: u64 = 4096;

/// Largest PEM file, in bytes: a certificate chain or a few authorities.
const MAX_PEM_BYTES: u64 = 1 << 20;

/// What is wrong with a file, and how to correct it.
type FileProblem = (String, String);

/// Rejects a file that other users can read.
fn check_private(path: &Path, meta: &std::fs::Metadata) -> Result<(), FileProblem> {
    let shown = path.display();
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let mode = meta.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            let message = format!("the key file {shown} is open to others (mode {mode:03o})");
            return Err((message, format!("chmod 600 {shown}")));
        }
    }
    Ok(())
}

/// Reads one key file; the error says what is wrong and how to correct it.
pub fn read_key(path: &Path) -> Result<Key, FileProblem> {
    let shown = path.display();
    let meta = std::fs::metadata(path).map_err(|e| {
        (
            format!("the key file {shown} cannot be read: {e}"),
            "write one with: badgerwind keys new".to_owned(),
        )
    })?;
    check_private(path, &meta)?;
    if meta.len() > MAX_KEY_BYTES {
        return Err((format!("the key file {shown} holds {} bytes", meta.len()), "it holds one key".into()));
    }
    let text = std::fs::read_to_string(path).map(Zeroizing::new).map_err(|e| {
        (format!("the key file {shown} cannot be read: {e}"), "it holds one line of text".into())
    })?;
    Key::parse(&text).map_err(|e| (format!("the key file {shown} holds no key"), e.to_string()))
}

/// Reads a PEM file; a private key's must not be readable by other users.
fn read_pem(path: &Path, secret: bool) -> Result<Zeroizing<Vec<u8>>, FileProblem> {
    let shown = path.display();
    let unreadable =
        |e: std::io::Error| (format!("{shown} cannot be read: {e}"), "name a file in PEM form".to_owned());
    let meta = std::fs::metadata(path).map_err(unreadable)?;
    if secret {
        check_private(path, &meta)?;
    }
    if meta.len() > MAX_PEM_BYTES {
        return Err((format!("{shown} holds {} bytes", meta.len()), format!("at most {MAX_PEM_BYTES}")));
    }
    std::fs::read(path).map(Zeroizing::new).map_err(unreadable)
}

fn tls_problem(e: TlsError) -> FileProblem {
    (
        format!("TLS cannot be set up: {e}"),
        "use PEM files in which certificate and key belong together".into(),
    )
}

/// Loads the TLS configuration towards senders.
fn senders_tls(folder: &Path, tls: &badgerwind_settings::Tls) -> Result<ServerTls, FileProblem> {
    let (chain, key) =
        (read_pem(&folder.join(&tls.certificate), false)?, read_pem(&folder.join(&tls.key_file), true)?);
    let clients = tls.client_authorities.as_ref().map(|c| read_pem(&folder.join(c), false)).transpose()?;
    let identity = Identity { chain: &chain, key: &key };
    ServerTls::new(identity, clients.as_ref().map(|c| &c[..])).map_err(tls_problem)
}

/// Loads the TLS configuration towards runners.
fn runners_tls(folder: &Path, tls: &badgerwind_settings::RunnerTls) -> Result<ClientTls, FileProblem> {
    let authority = read_pem(&folder.join(&tls.authority), false)?;
    let own = match &tls.identity {
        Some((chain, key)) => {
            Some((read_pem(&folder.join(chain), false)?, read_pem(&folder.join(key), true)?))
        }
        None => None,
    };
    let identity = own.as_ref().map(|(chain, key)| Identity { chain, key });
    ClientTls::new(&authority, &tls.server_name, identity).map_err(tls_problem)
}

/// Loads all keys and certificates; relative paths are relative to `folder`. All problems are returned
/// together.
pub fn load(file: &str, folder: &Path, settings: &Settings) -> Result<Secrets, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut tls_problems = Vec::new();
    let mut report = |line: usize, (message, remedy): FileProblem| {
        tls_problems.push(Problem { file: file.into(), line, element: "tls".into(), message, remedy });
    };
    let (webhook_tls, runner_tls) = (&settings.webhook.tls, &settings.runners.tls);
    let senders_tls = webhook_tls
        .as_ref()
        .and_then(|t| senders_tls(folder, t).map_err(|problem| report(t.line, problem)).ok());
    let runners_tls = runner_tls
        .as_ref()
        .and_then(|t| runners_tls(folder, t).map_err(|problem| report(t.line, problem)).ok());
    problems.append(&mut tls_problems);
    let mut key = |element: &str, line: usize, path: &Path| {
        let read = read_key(&folder.join(path));
        read.map_err(|(message, remedy)| {
            problems.push(Problem { file: file.into(), line, element: element.into(), message, remedy });
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
        let message = "key-file holds an ed25519 key".to_owned();
        let remedy = "front ends share a whsec_ secret".to_owned();
        problems.push(Problem { file: file.into(), line, element: "peers".into(), message, remedy });
    }
    match runners {
        Some(runners) if problems.is_empty() => {
            Ok(Secrets { rings, callbacks, runners, peers: peers.flatten(), senders_tls, runners_tls })
        }
        _ => Err(problems),
    }
}
