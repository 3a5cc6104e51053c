//! `keys`: creates keys and rotates, removes and lists the keys of a settings file.

use crate::CommandError;
use badgerwind_webhook::{Key, KeyKind};
use clap::{Subcommand, ValueEnum};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Sub-commands of `keys`.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Create a key in a new file that only its owner can read
    New {
        /// Kind of key
        #[arg(long, value_enum, default_value = "shared")]
        kind: Kind,
        /// File for the key; it must not exist
        #[arg(long)]
        out: PathBuf,
        /// For ed25519: file for the public key, with which the other side verifies
        #[arg(long)]
        public_out: Option<PathBuf>,
    },
    /// Add a new key for a sender to the settings file; its old keys stay valid for the overlap
    Rotate {
        /// Settings file
        #[arg(long)]
        settings: PathBuf,
        /// Name of the sender
        #[arg(long)]
        sender: String,
        /// Name of the new key in logs [default: today's date]
        #[arg(long)]
        name: Option<String>,
        /// How long the old keys stay valid, such as 7d or 2h
        #[arg(long, default_value = "7d")]
        overlap: String,
        /// Kind of key
        #[arg(long, value_enum, default_value = "shared")]
        kind: Kind,
        /// For ed25519: file for the private key, with which the sender signs
        #[arg(long)]
        private_out: Option<PathBuf>,
    },
    /// Remove a sender's key from the settings file; its key file is not deleted
    Retire {
        /// Settings file
        #[arg(long)]
        settings: PathBuf,
        /// Name of the sender
        #[arg(long)]
        sender: String,
        /// Name of the key
        #[arg(long)]
        name: String,
    },
    /// List the keys of a settings file with name, kind and validity; never prints key material
    List {
        /// Settings file
        #[arg(long)]
        settings: PathBuf,
    },
}

/// Kind of key.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Kind {
    /// A shared secret (`v1`, HMAC-SHA256)
    Shared,
    /// A key pair (`v1a`, ed25519)
    Ed25519,
}

/// Runs a sub-command.
pub fn run(command: &Command) -> Result<(), CommandError> {
    let (kind, out, public_out) = match command {
        Command::New { kind, out, public_out } => (kind, out, public_out),
        Command::List { settings } => return list(settings),
        Command::Rotate { settings, sender, name, overlap, kind, private_out } => {
            return rotate(settings, sender, name.as_deref(), overlap, (*kind, private_out.as_deref()));
        }
        Command::Retire { settings, sender, name } => return retire(settings, sender, name),
    };
    let kind = match kind {
        Kind::Shared if public_out.is_some() => {
            return Err(CommandError::usage("a shared secret has no public half: omit --public-out"));
        }
        Kind::Shared => KeyKind::Shared,
        Kind::Ed25519 => KeyKind::Private,
    };
    let key = Key::generate(kind).map_err(|e| CommandError::failed(format!("no random bytes: {e}")))?;
    write_key(out, &key)?;
    if let (Some(path), Some(public)) = (public_out, key.public()) {
        write_key(path, &public)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|e| CommandError::usage(format!("cannot read {}: {e}", path.display())))
}

/// Writes the changed settings to a temporary file, validates it and renames it over the old one, so that
/// readers see either the old or the new content.
fn replace_settings(path: &Path, text: &str) -> Result<(), CommandError> {
    let temporary = path.with_extension("new");
    let write = |p: &Path| {
        let mode = std::fs::metadata(path)?.permissions();
        let mut file = std::fs::File::create(p)?;
        file.set_permissions(mode)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    };
    let write_error =
        |e: std::io::Error| CommandError::failed(format!("cannot write {}: {e}", temporary.display()));
    let result = write(&temporary)
        .map_err(write_error)
        .and_then(|()| crate::serve::load(&temporary).map(|_| ()))
        .and_then(|()| std::fs::rename(&temporary, path).map_err(write_error));
    if result.is_err() {
        // The temporary file is of no use any more; a failure to remove it changes nothing.
        let _ = std::fs::remove_file(&temporary);
    }
    result
}

fn rotate(
    path: &Path,
    sender: &str,
    name: Option<&str>,
    overlap: &str,
    (kind, private_out): (Kind, Option<&Path>),
) -> Result<(), CommandError> {
    let overlap = humantime::parse_duration(overlap).map_err(|e| {
        CommandError::usage(format!("--overlap {overlap}: {e}; give a duration such as 7d or 2h"))
    })?;
    let (settings, _, folder) = crate::serve::load(path)?;
    let configured = settings.webhook.senders.iter().find(|s| s.name == sender);
    let configured =
        configured.ok_or_else(|| CommandError::usage(format!("the settings name no sender \"{sender}\"")))?;
    let now = std::time::SystemTime::now();
    let date = humantime::format_rfc3339_seconds(now).to_string();
    let name = name.unwrap_or(&date[..10]);
    let end = now.checked_add(overlap).ok_or_else(|| CommandError::usage("--overlap is too long"))?;
    let end = humantime::format_rfc3339_seconds(end).to_string();
    // The new key file goes into the folder of the newest existing key.
    let key_folder = configured.secrets.last().and_then(|s| s.file.parent()).unwrap_or(Path::new(""));
    let file = key_folder.join(format!("{sender}-{name}.key").replace(':', "_"));
    let changed = badgerwind_settings::edit::rotate_secrets(
        &read(path)?,
        sender,
        name,
        &file.display().to_string(),
        &end,
    )
    .map_err(|e| CommandError::usage(e.to_string()))?;
    let kind = match (kind, private_out) {
        (Kind::Shared, None) => KeyKind::Shared,
        (Kind::Ed25519, Some(_)) => KeyKind::Private,
        (Kind::Shared, Some(_)) => {
            return Err(CommandError::usage("a shared secret has one half: omit --private-out"));
        }
        (Kind::Ed25519, None) => {
            return Err(CommandError::usage(
                "--kind ed25519 needs --private-out, the file for the sender's private key",
            ));
        }
    };
    let key = Key::generate(kind).map_err(|e| CommandError::failed(format!("no random bytes: {e}")))?;
    let key_path = folder.join(&file);
    let mut written = Vec::new();
    let result = (|| {
        if let Some(out) = private_out {
            write_key(out, &key)?;
            written.push(out.to_owned());
        }
        write_key(&key_path, &key.public().unwrap_or(key))?;
        written.push(key_path.clone());
        replace_settings(path, &changed)
    })();
    if result.is_err() {
        // No settings refer to these key files: remove them again.
        written.iter().for_each(|f| _ = std::fs::remove_file(f));
        return result;
    }
    let sender_file = private_out.unwrap_or(&key_path);
    println!("sender {sender}: key {name} is valid from now on, its other keys until {end}");
    println!(
        "give {} to the sender, and send SIGHUP to each front end that has these settings",
        sender_file.display()
    );
    Ok(())
}

fn retire(path: &Path, sender: &str, name: &str) -> Result<(), CommandError> {
    let (settings, ..) = crate::serve::load(path)?;
    let (changed, file) = badgerwind_settings::edit::remove_secret(&read(path)?, sender, name)
        .map_err(|e| CommandError::usage(e.to_string()))?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.map_or(0, |d| d.as_secs() as i64);
    let configured = settings.webhook.senders.iter().find(|s| s.name == sender);
    let is_valid = |s: &badgerwind_settings::Secret| {
        s.name != name && s.not_before.is_none_or(|t| now >= t) && s.not_after.is_none_or(|t| now < t)
    };
    if !configured.is_some_and(|s| s.secrets.iter().any(is_valid)) {
        return Err(CommandError::usage(format!(
            "sender \"{sender}\" would have no key that counts now; rotate first: badgerwind keys rotate"
        )));
    }
    replace_settings(path, &changed)?;
    println!("sender {sender}: key {name} is removed; send SIGHUP to each front end that has these settings");
    println!("its file {file} is kept: delete it once no front end needs it");
    Ok(())
}

fn list(path: &Path) -> Result<(), CommandError> {
    let (settings, secrets, _) = crate::serve::load(path)?;
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
    println!("{:<20} {:<16} {:<8} {:<8} file", "sender", "name", "kind", "counts");
    for (sender, ring) in settings.webhook.senders.iter().zip(&secrets.rings) {
        for (secret, key) in sender.secrets.iter().zip(&ring.keys) {
            let validity = match (secret.not_before, secret.not_after) {
                (Some(from), _) if now < from => "later",
                (_, Some(to)) if now >= to => "no more",
                _ => "now",
            };
            let kind = match key.key.kind() {
                KeyKind::Shared => "shared",
                KeyKind::Private => "private",
                KeyKind::Public => "public",
            };
            println!(
                "{:<20} {:<16} {kind:<8} {validity:<8} {}",
                sender.name,
                secret.name,
                secret.file.display()
            );
        }
    }
    Ok(())
}

/// Writes a key to a new file that only its owner can read.
pub fn write_key(path: &Path, key: &Key) -> Result<(), CommandError> {
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let written = options.open(path).and_then(|mut f| {
        f.write_all(key.to_text().as_bytes())?;
        f.write_all(b"\n")?;
        f.sync_all()
    });
    written.map_err(|e| CommandError::failed(format!("cannot write {}: {e}", path.display())))
}
