//! Signing, and verifying against a ring of live keys.

use crate::Key;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ed25519_dalek::Signer;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::sync::Arc;

type HmacSha256 = Hmac<Sha256>;

/// The three headers of a signed message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signed {
    /// `webhook-id`.
    pub id: String,
    /// `webhook-timestamp`, seconds since the Unix epoch.
    pub timestamp: i64,
    /// `webhook-signature`.
    pub signature: String,
}

/// Signs a message under every key that can sign; several keys give several signatures, separated by spaces.
pub fn sign(keys: &[Key], id: &str, timestamp: i64, body: &[u8]) -> Signed {
    let start = format!("{id}.{timestamp}.");
    let mut parts = Vec::new();
    for key in keys {
        match key {
            Key::Shared(secret) => {
                if let Some(mac) = mac(secret, start.as_bytes(), body) {
                    parts.push(format!("v1,{}", STANDARD.encode(mac.finalize().into_bytes())));
                }
            }
            Key::Private(key) => {
                let text = [start.as_bytes(), body].concat();
                parts.push(format!("v1a,{}", STANDARD.encode(key.sign(&text).to_bytes())));
            }
            Key::Public(_) => {}
        }
    }
    Signed { id: id.to_owned(), timestamp, signature: parts.join(" ") }
}

fn mac(secret: &[u8], start: &[u8], body: &[u8]) -> Option<HmacSha256> {
    // An HMAC takes a key of any length (RFC 2104 section 2), so this is never `None`.
    let mut mac = HmacSha256::new_from_slice(secret).ok()?;
    mac.update(start);
    mac.update(body);
    Some(mac)
}

/// Why a message is not accepted. The texts tell a sender what to mend and an attacker nothing of the keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// A header is not there.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// An id that cannot be one.
    #[error("webhook-id must be 1 to 256 visible ASCII characters with no full stop")]
    MalformedId,
    /// Not a whole number of seconds.
    #[error("webhook-timestamp must be whole seconds since the Unix epoch")]
    MalformedTimestamp,
    /// Signed too long ago: perhaps replayed, or a slow clock.
    #[error("webhook-timestamp is {by} s too old; check the sender's clock")]
    TooOld {
        /// Seconds beyond the tolerance.
        by: u64,
    },
    /// Signed in the future: a fast clock.
    #[error("webhook-timestamp is {by} s too far in the future; check the sender's clock")]
    TooNew {
        /// Seconds beyond the tolerance.
        by: u64,
    },
    /// No signature of a known version and form.
    #[error("webhook-signature holds no signature of version v1 or v1a")]
    NoSignature,
    /// More signatures than are looked at.
    #[error("webhook-signature holds more than {most} signatures")]
    TooMany {
        /// The bound.
        most: usize,
    },
    /// None is by a live key over this message.
    #[error("no signature matches")]
    Mismatch,
}

impl VerifyError {
    /// True where the time is at fault, not the signature.
    pub fn is_stale(&self) -> bool {
        matches!(self, VerifyError::TooOld { .. } | VerifyError::TooNew { .. })
    }
    /// True where the message is not of the specification's form.
    pub fn is_malformed(&self) -> bool {
        !self.is_stale() && !matches!(self, VerifyError::Mismatch)
    }
}

/// A live key, with the name that logs use for it.
#[derive(Clone, Debug)]
pub struct RingKey {
    /// Its name; never its bytes.
    pub name: Arc<str>,
    /// The key.
    pub key: Key,
    /// It counts from this time on, in seconds since the Unix epoch; `None`: always.
    pub not_before: Option<i64>,
    /// It counts until before this time; `None`: for ever.
    pub not_after: Option<i64>,
}

/// The live keys of one sender. Several may be live at once, so that a secret can be rotated without a gap.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// The keys.
    pub keys: Vec<RingKey>,
    /// How far a timestamp may lie from now, both ways, in seconds; a timestamp at the very edge is accepted.
    pub tolerance: u64,
}

/// Signatures looked at in one message: enough for a rotation of both kinds, and a bound on work.
const MOST_SIGNATURES: usize = 8;

impl KeyRing {
    /// Checks a message as it came: headers as text, the body as raw bytes. Cheap checks come first. Returns the
    /// name of the key that matched. `now` is in seconds since the Unix epoch.
    pub fn verify(
        &self,
        now: i64,
        id: Option<&str>,
        timestamp: Option<&str>,
        signature: Option<&str>,
        body: &[u8],
    ) -> Result<Arc<str>, VerifyError> {
        self.claim(now, id, timestamp, signature)?.check(self, now, body)
    }

    /// Whether a timestamp lies within the tolerance, both edges included. To be asked again when a message whose
    /// body took its time is held against the memory of ids: it may have grown too old since, and been forgotten.
    pub fn in_time(&self, now: i64, sent: i64) -> Result<(), VerifyError> {
        let apart = now.abs_diff(sent);
        if apart <= self.tolerance {
            return Ok(());
        }
        let by = apart - self.tolerance;
        Err(if sent < now { VerifyError::TooOld { by } } else { VerifyError::TooNew { by } })
    }

    /// What can be judged by the headers alone, before a body is read: their form and the time.
    pub fn claim(
        &self,
        now: i64,
        id: Option<&str>,
        timestamp: Option<&str>,
        signature: Option<&str>,
    ) -> Result<Claim, VerifyError> {
        let id = id.ok_or(VerifyError::Missing(crate::ID))?;
        let timestamp = timestamp.ok_or(VerifyError::Missing(crate::TIMESTAMP))?;
        let signature = signature.ok_or(VerifyError::Missing(crate::SIGNATURE))?;
        // A full stop in the id would let the borders of what is signed move ("Signature scheme").
        if id.is_empty() || id.len() > 256 || !id.bytes().all(|b| b.is_ascii_graphic() && b != b'.') {
            return Err(VerifyError::MalformedId);
        }
        let digits = !timestamp.is_empty() && timestamp.bytes().all(|b| b.is_ascii_digit());
        let sent: i64 = timestamp.parse().ok().filter(|_| digits).ok_or(VerifyError::MalformedTimestamp)?;
        self.in_time(now, sent)?;
        let (mut shared, mut public) = (Vec::new(), Vec::new());
        for (n, part) in signature.split(' ').filter(|p| !p.is_empty()).enumerate() {
            if n >= MOST_SIGNATURES {
                return Err(VerifyError::TooMany { most: MOST_SIGNATURES });
            }
            let Some((version, text)) = part.split_once(',') else { continue };
            let Ok(bytes) = STANDARD.decode(text) else { continue };
            match version {
                "v1" if bytes.len() == 32 => shared.push(bytes),
                "v1a" => public.extend(ed25519_dalek::Signature::from_slice(&bytes)),
                _ => {} // "Signature scheme": versions not known are passed over
            }
        }
        if shared.is_empty() && public.is_empty() {
            return Err(VerifyError::NoSignature);
        }
        // The timestamp goes in as it was written: what was signed is text.
        Ok(Claim { start: format!("{id}.{timestamp}."), sent, shared, public })
    }
}

/// What a message's headers claim, in good form and of a good time; whether it is true, its body shows.
#[derive(Clone, Debug)]
pub struct Claim {
    /// What is signed before the body.
    start: String,
    sent: i64,
    shared: Vec<Vec<u8>>,
    public: Vec<ed25519_dalek::Signature>,
}

impl Claim {
    /// The timestamp, in seconds since the Unix epoch.
    pub fn sent(&self) -> i64 {
        self.sent
    }

    /// Holds the claim against the body and the live keys of a ring; returns the name of the key that matched.
    pub fn check(&self, ring: &KeyRing, now: i64, body: &[u8]) -> Result<Arc<str>, VerifyError> {
        let Claim { start, shared, public, .. } = self;
        let live =
            |k: &&RingKey| k.not_before.is_none_or(|t| now >= t) && k.not_after.is_none_or(|t| now < t);
        let mut whole = None;
        for ring in ring.keys.iter().filter(live) {
            let matched = match &ring.key {
                Key::Shared(secret) if !shared.is_empty() => {
                    // `verify_slice` compares in constant time.
                    let mac = mac(secret, start.as_bytes(), body);
                    mac.is_some_and(|m| shared.iter().any(|s| m.clone().verify_slice(s).is_ok()))
                }
                Key::Shared(_) => false,
                Key::Private(_) | Key::Public(_) if public.is_empty() => false,
                Key::Private(k) => verify_public(&k.verifying_key(), &mut whole, start, body, public),
                Key::Public(k) => verify_public(k, &mut whole, start, body, public),
            };
            if matched {
                return Ok(ring.name.clone());
            }
        }
        Err(VerifyError::Mismatch)
    }
}

fn verify_public(
    key: &ed25519_dalek::VerifyingKey,
    whole: &mut Option<Vec<u8>>,
    start: &str,
    body: &[u8],
    signatures: &[ed25519_dalek::Signature],
) -> bool {
    let text = whole.get_or_insert_with(|| [start.as_bytes(), body].concat());
    // Strict: no small-order keys or signatures, so that a signature binds one message (RFC 8032 section 8).
    signatures.iter().any(|s| key.verify_strict(text, s).is_ok())
}
