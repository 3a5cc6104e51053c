//! Signing messages, and verifying them against a key ring.

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

/// Signs a message with every key that can sign; several keys give several signatures, separated by spaces.
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
    // HMAC accepts keys of any length (RFC 2104 section 2), so this is never `None`.
    let mut mac = HmacSha256::new_from_slice(secret).ok()?;
    mac.update(start);
    mac.update(body);
    Some(mac)
}

/// Why a message is rejected. The texts tell a sender what to correct and reveal nothing about the keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// A header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// The id is malformed.
    #[error("webhook-id must be 1 to 256 visible ASCII characters with no full stop")]
    MalformedId,
    /// The timestamp is not a whole number of seconds.
    #[error("webhook-timestamp must be whole seconds since the Unix epoch")]
    MalformedTimestamp,
    /// The message was signed too long ago: it may be replayed, or the sender's clock may be slow.
    #[error("webhook-timestamp is {by} s too old; check the sender's clock")]
    TooOld {
        /// Seconds beyond the tolerance.
        by: u64,
    },
    /// The message was signed in the future: the sender's clock is fast.
    #[error("webhook-timestamp is {by} s too far in the future; check the sender's clock")]
    TooNew {
        /// Seconds beyond the tolerance.
        by: u64,
    },
    /// There is no well-formed signature of a known version.
    #[error("webhook-signature holds no signature of version v1 or v1a")]
    NoSignature,
    /// There are more signatures than the limit.
    #[error("webhook-signature holds more than {max} signatures")]
    TooMany {
        /// The limit.
        max: usize,
    },
    /// No signature of this message matches a live key.
    #[error("no signature matches")]
    Mismatch,
}

impl VerifyError {
    /// True if the message was rejected for its timestamp, not for its signature.
    pub fn is_stale(&self) -> bool {
        matches!(self, VerifyError::TooOld { .. } | VerifyError::TooNew { .. })
    }
    /// True if the message does not have the form that the specification requires.
    pub fn is_malformed(&self) -> bool {
        !self.is_stale() && !matches!(self, VerifyError::Mismatch)
    }
}

/// A key of a ring, with the name that logs use for it.
#[derive(Clone, Debug)]
pub struct RingKey {
    /// The key's name; it never contains the key's bytes.
    pub name: Arc<str>,
    /// The key.
    pub key: Key,
    /// The key is live from this time on, in seconds since the Unix epoch; `None` sets no start.
    pub not_before: Option<i64>,
    /// The key is live until before this time, in seconds since the Unix epoch; `None` sets no end.
    pub not_after: Option<i64>,
}

/// The keys of one sender. Several may be live at once, so that a secret can be rotated without a gap.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// The keys.
    pub keys: Vec<RingKey>,
    /// How far a timestamp may differ from the current time in either direction, in seconds, inclusive.
    pub tolerance: u64,
}

/// Largest number of signatures in one message: enough for a rotation of both kinds of keys, and a limit on
/// work.
const MAX_SIGNATURES: usize = 8;

impl KeyRing {
    /// Verifies a message as received, headers as text and the body as raw bytes. The cheap checks run first.
    /// Returns the name of the key that matched. `now` is in seconds since the Unix epoch.
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

    /// Whether a timestamp lies within the tolerance, inclusive. Call it again right before the lookup in
    /// [`crate::Replay`] if reading the body took time: the message may have become too old since, and its id
    /// may have been forgotten.
    pub fn in_time(&self, now: i64, sent: i64) -> Result<(), VerifyError> {
        let difference = now.abs_diff(sent);
        if difference <= self.tolerance {
            return Ok(());
        }
        let by = difference - self.tolerance;
        Err(if sent < now { VerifyError::TooOld { by } } else { VerifyError::TooNew { by } })
    }

    /// Checks what the headers alone show, before the body is read: their form and the timestamp.
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
        // A full stop in the id would make the boundary between id and timestamp ambiguous ("Signature
        // scheme").
        if id.is_empty() || id.len() > 256 || !id.bytes().all(|b| b.is_ascii_graphic() && b != b'.') {
            return Err(VerifyError::MalformedId);
        }
        let digits = !timestamp.is_empty() && timestamp.bytes().all(|b| b.is_ascii_digit());
        let sent: i64 = timestamp.parse().ok().filter(|_| digits).ok_or(VerifyError::MalformedTimestamp)?;
        self.in_time(now, sent)?;
        let (mut shared, mut public) = (Vec::new(), Vec::new());
        for (n, part) in signature.split(' ').filter(|p| !p.is_empty()).enumerate() {
            if n >= MAX_SIGNATURES {
                return Err(VerifyError::TooMany { max: MAX_SIGNATURES });
            }
            let Some((version, text)) = part.split_once(',') else { continue };
            let Ok(bytes) = STANDARD.decode(text) else { continue };
            match version {
                "v1" if bytes.len() == 32 => shared.push(bytes),
                "v1a" => public.extend(ed25519_dalek::Signature::from_slice(&bytes)),
                _ => {} // unknown versions are ignored ("Signature scheme")
            }
        }
        if shared.is_empty() && public.is_empty() {
            return Err(VerifyError::NoSignature);
        }
        // The signed content holds the timestamp as the sender wrote it.
        Ok(Claim { start: format!("{id}.{timestamp}."), sent, shared, public })
    }
}

/// The signatures of a message whose headers are well formed and whose timestamp is valid; they are not yet
/// verified.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The signed content before the body.
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

    /// Verifies the signatures with the body and the live keys of a ring; returns the name of the key that
    /// matched.
    pub fn check(&self, ring: &KeyRing, now: i64, body: &[u8]) -> Result<Arc<str>, VerifyError> {
        let Claim { start, shared, public, .. } = self;
        let live =
            |k: &&RingKey| k.not_before.is_none_or(|t| now >= t) && k.not_after.is_none_or(|t| now < t);
        let mut signed_content = None;
        for ring_key in ring.keys.iter().filter(live) {
            let matched = match &ring_key.key {
                Key::Shared(secret) if !shared.is_empty() => {
                    // `verify_slice` compares in constant time.
                    let mac = mac(secret, start.as_bytes(), body);
                    mac.is_some_and(|m| shared.iter().any(|s| m.clone().verify_slice(s).is_ok()))
                }
                Key::Shared(_) => false,
                Key::Private(_) | Key::Public(_) if public.is_empty() => false,
                Key::Private(k) => {
                    verify_public(&k.verifying_key(), &mut signed_content, start, body, public)
                }
                Key::Public(k) => verify_public(k, &mut signed_content, start, body, public),
            };
            if matched {
                return Ok(ring_key.name.clone());
            }
        }
        Err(VerifyError::Mismatch)
    }
}

fn verify_public(
    key: &ed25519_dalek::VerifyingKey,
    signed_content: &mut Option<Vec<u8>>,
    start: &str,
    body: &[u8],
    signatures: &[ed25519_dalek::Signature],
) -> bool {
    let content = signed_content.get_or_insert_with(|| [start.as_bytes(), body].concat());
    // Strict verification rejects small-order keys and signatures, so that a signature binds one message (RFC
    // 8032 section 8).
    signatures.iter().any(|s| key.verify_strict(content, s).is_ok())
}
