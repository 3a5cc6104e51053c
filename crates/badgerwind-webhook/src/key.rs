//! Keys and their text encodings: `whsec_` (shared secret), `whsk_` (ed25519 private), `whpk_` (ed25519
//! public).

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ed25519_dalek::{SigningKey, VerifyingKey};
use zeroize::{Zeroize, Zeroizing};

/// Why a key's text cannot be parsed. It never contains any of the key's bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text starts with none of the known prefixes.
    #[error("a key starts with whsec_ (shared secret), whsk_ (ed25519 private) or whpk_ (ed25519 public)")]
    Prefix,
    /// The text after the prefix is not base64.
    #[error("the text after the prefix {0} is not base64")]
    Base64(&'static str),
    /// The key has too few or too many bytes.
    #[error("a {kind} key must hold {wanted} bytes; this one holds {found}")]
    Length {
        /// The prefix.
        kind: &'static str,
        /// The permitted lengths.
        wanted: &'static str,
        /// The number of bytes found.
        found: usize,
    },
    /// The bytes do not encode a point on the curve.
    #[error("the whpk_ key is not a valid ed25519 public key")]
    Point,
}

/// What a key can be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// Signs and verifies `v1`.
    Shared,
    /// Signs and verifies `v1a`.
    Private,
    /// Verifies `v1a`.
    Public,
}

/// A key. Secret bytes are zeroized on drop, and the `Debug` output contains none of them.
#[derive(Clone)]
pub enum Key {
    /// A shared secret.
    Shared(Zeroizing<Vec<u8>>),
    /// An ed25519 private key, which zeroizes itself on drop.
    Private(Box<SigningKey>),
    /// An ed25519 public key.
    Public(VerifyingKey),
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Key").field(&self.kind()).finish()
    }
}

/// Permitted length of a shared secret in bytes, as the specification requires ("Signature scheme").
const SHARED_SECRET_BYTES: std::ops::RangeInclusive<usize> = 24..=64;

impl Key {
    /// Parses a key's text; surrounding white space is ignored.
    pub fn parse(text: &str) -> Result<Key, KeyError> {
        let text = text.trim();
        let bytes = |prefix: &'static str, rest: &str| {
            STANDARD.decode(rest).map(Zeroizing::new).map_err(|_| KeyError::Base64(prefix))
        };
        if let Some(rest) = text.strip_prefix("whsec_") {
            let secret = bytes("whsec_", rest)?;
            if !SHARED_SECRET_BYTES.contains(&secret.len()) {
                return Err(KeyError::Length { kind: "whsec_", wanted: "24 to 64", found: secret.len() });
            }
            Ok(Key::Shared(secret))
        } else if let Some(rest) = text.strip_prefix("whsk_") {
            let secret = bytes("whsk_", rest)?;
            // Some libraries write the seed followed by the public key, 64 bytes in all.
            let seed = match secret.len() {
                32 | 64 => <[u8; 32]>::try_from(&secret[..32]).ok(),
                _ => None,
            };
            let mut seed =
                seed.ok_or(KeyError::Length { kind: "whsk_", wanted: "32 or 64", found: secret.len() })?;
            let key = SigningKey::from_bytes(&seed);
            seed.zeroize();
            Ok(Key::Private(Box::new(key)))
        } else if let Some(rest) = text.strip_prefix("whpk_") {
            let public = bytes("whpk_", rest)?;
            let point = <[u8; 32]>::try_from(&public[..]).map_err(|_| KeyError::Length {
                kind: "whpk_",
                wanted: "32",
                found: public.len(),
            })?;
            VerifyingKey::from_bytes(&point).map(Key::Public).map_err(|_| KeyError::Point)
        } else {
            Err(KeyError::Prefix)
        }
    }

    /// Generates a shared secret of 32 random bytes, or an ed25519 private key.
    pub fn generate(kind: KeyKind) -> Result<Key, getrandom::Error> {
        let mut bytes = Zeroizing::new([0u8; 32]);
        getrandom::fill(&mut bytes[..])?;
        Ok(match kind {
            KeyKind::Shared => Key::Shared(Zeroizing::new(bytes.to_vec())),
            KeyKind::Private | KeyKind::Public => Key::Private(Box::new(SigningKey::from_bytes(&bytes))),
        })
    }

    /// The key as text, including secret bytes; store it only in a file that no other user can read.
    pub fn to_text(&self) -> Zeroizing<String> {
        let (prefix, bytes) = match self {
            Key::Shared(secret) => ("whsec_", secret.clone()),
            Key::Private(k) => ("whsk_", Zeroizing::new(k.to_bytes().to_vec())),
            Key::Public(k) => ("whpk_", Zeroizing::new(k.to_bytes().to_vec())),
        };
        let mut text = Zeroizing::new(String::from(prefix));
        STANDARD.encode_string(&bytes[..], &mut text);
        text
    }

    /// What the key can be used for.
    pub fn kind(&self) -> KeyKind {
        match self {
            Key::Shared(_) => KeyKind::Shared,
            Key::Private(_) => KeyKind::Private,
            Key::Public(_) => KeyKind::Public,
        }
    }

    /// The public key of a private or public key; `None` for a shared secret.
    pub fn public(&self) -> Option<Key> {
        match self {
            Key::Private(k) => Some(Key::Public(k.verifying_key())),
            Key::Public(k) => Some(Key::Public(*k)),
            Key::Shared(_) => None,
        }
    }
}
