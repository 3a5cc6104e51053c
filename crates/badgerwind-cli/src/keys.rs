//! `keys`.

use crate::CommandError;
use badgerwind_webhook::{Key, KeyKind};
use clap::{Subcommand, ValueEnum};
use std::io::Write;
use std::path::{Path, PathBuf};

/// What can be done with keys.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Make a key, in a file that its owner alone can read
    New {
        /// What kind
        #[arg(long, value_enum, default_value = "shared")]
        kind: Kind,
        /// The file; it must not exist
        #[arg(long)]
        out: PathBuf,
        /// For ed25519: the file for the public half, which the other side verifies with
        #[arg(long)]
        public_out: Option<PathBuf>,
    },
    /// Give a sender a new key beside its old ones, which count for some days more; the settings file is changed
    Rotate {
        /// The settings file
        #[arg(long)]
        settings: PathBuf,
        /// The sender
        #[arg(long)]
        sender: String,
        /// The new key's name in logs; the day where it is left out
        #[arg(long)]
        name: Option<String>,
        /// For how long the old keys count, such as 7d or 2h
        #[arg(long, default_value = "7d")]
        overlap: String,
        /// What kind of key
        #[arg(long, value_enum, default_value = "shared")]
        kind: Kind,
        /// For ed25519: the file for the private half, which the sender signs with
        #[arg(long)]
        private_out: Option<PathBuf>,
    },
    /// Take a sender's key out of the settings file; its key file stays where it is
    Retire {
        /// The settings file
        #[arg(long)]
        settings: PathBuf,
        /// The sender
        #[arg(long)]
        sender: String,
        /// The key's name
        #[arg(long)]
        name: String,
    },
    /// List the keys that a settings file names, by name, kind and time; never their bytes
    List {
        /// The settings file
        #[arg(long)]
        settings: PathBuf,
    },
}

/// A kind of key.
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
            return Err(CommandError::usage("a shared secret has no public half: leave --public-out out"));
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

/// Checks a changed settings file beside the old one, then puts it in its place: a reader sees one or the other.
fn replace(path: &Path, text: &str) -> Result<(), CommandError> {
    let beside = path.with_extension("new");
    let write = |p: &Path| {
        let mode = std::fs::metadata(path)?.permissions();
        let mut file = std::fs::File::create(p)?;
        file.set_permissions(mode)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    };
    let told = |e: std::io::Error| CommandError::failed(format!("cannot write {}: {e}", beside.display()));
    let done = write(&beside)
        .map_err(told)
        .and_then(|()| crate::serve::load(&beside).map(|_| ()))
        .and_then(|()| std::fs::rename(&beside, path).map_err(told));
    if done.is_err() {
        // What is left beside is of no use to anyone; that it cannot be taken away changes nothing.
        let _ = std::fs::remove_file(&beside);
    }
    done
}

fn rotate(
    path: &Path,
    sender: &str,
    name: Option<&str>,
    overlap: &str,
    (kind, private_out): (Kind, Option<&Path>),
) -> Result<(), CommandError> {
    let overlap = humantime::parse_duration(overlap).map_err(|e| {
        CommandError::usage(format!("--overlap {overlap}: {e}; give a time such as 7d or 2h"))
    })?;
    let (settings, _, folder) = crate::serve::load(path)?;
    let known = settings.webhook.senders.iter().find(|s| s.name == sender);
    let known =
        known.ok_or_else(|| CommandError::usage(format!("the settings name no sender \"{sender}\"")))?;
    let now = std::time::SystemTime::now();
    let day = humantime::format_rfc3339_seconds(now).to_string();
    let name = name.unwrap_or(&day[..10]);
    let end = now.checked_add(overlap).ok_or_else(|| CommandError::usage("--overlap is too long"))?;
    let end = humantime::format_rfc3339_seconds(end).to_string();
    // Beside the key that it follows.
    let beside = known.secrets.last().and_then(|s| s.file.parent()).unwrap_or(Path::new(""));
    let file = beside.join(format!("{sender}-{name}.key").replace(':', "_"));
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
            return Err(CommandError::usage("a shared secret has one half: leave --private-out out"));
        }
        (Kind::Ed25519, None) => {
            return Err(CommandError::usage("--kind ed25519 needs --private-out, the half for the sender"));
        }
    };
    let key = Key::generate(kind).map_err(|e| CommandError::failed(format!("no random bytes: {e}")))?;
    let new = folder.join(&file);
    let mut written = Vec::new();
    let done = (|| {
        if let Some(out) = private_out {
            write_key(out, &key)?;
            written.push(out.to_owned());
        }
        write_key(&new, &key.public().unwrap_or(key))?;
        written.push(new.clone());
        replace(path, &changed)
    })();
    if done.is_err() {
        // Keys that nothing names are taken away again.
        written.iter().for_each(|f| _ = std::fs::remove_file(f));
        return done;
    }
    let give = private_out.unwrap_or(&new);
    println!("sender {sender}: key {name} counts from now on, its others until {end}");
    println!(
        "give {} to the sender, and send SIGHUP to each front end that has these settings",
        give.display()
    );
    Ok(())
}

fn retire(path: &Path, sender: &str, name: &str) -> Result<(), CommandError> {
    let (settings, ..) = crate::serve::load(path)?;
    let (changed, file) = badgerwind_settings::edit::remove_secret(&read(path)?, sender, name)
        .map_err(|e| CommandError::usage(e.to_string()))?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.map_or(0, |d| d.as_secs() as i64);
    let known = settings.webhook.senders.iter().find(|s| s.name == sender);
    let counts = |s: &badgerwind_settings::Secret| {
        s.name != name && s.not_before.is_none_or(|t| now >= t) && s.not_after.is_none_or(|t| now < t)
    };
    if !known.is_some_and(|s| s.secrets.iter().any(counts)) {
        return Err(CommandError::usage(format!(
            "sender \"{sender}\" would have no key that counts now; rotate first: badgerwind keys rotate"
        )));
    }
    replace(path, &changed)?;
    println!("sender {sender}: key {name} is out; send SIGHUP to each front end that has these settings");
    println!("its file {file} stays: delete it once no front end needs it");
    Ok(())
}

fn list(path: &Path) -> Result<(), CommandError> {
    let (settings, secrets, _) = crate::serve::load(path)?;
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
    println!("{:<20} {:<16} {:<8} {:<8} file", "sender", "name", "kind", "counts");
    for (sender, ring) in settings.webhook.senders.iter().zip(&secrets.rings) {
        for (secret, key) in sender.secrets.iter().zip(&ring.keys) {
            let counts = match (secret.not_before, secret.not_after) {
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
                "{:<20} {:<16} {kind:<8} {counts:<8} {}",
                sender.name,
                secret.name,
                secret.file.display()
            );
        }
    }
    Ok(())
}

/// Writes a key to a new file that its owner alone can read.
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
