//! Webhooks after the Standard Webhooks specification (version 1): signing, verifying, rings of live keys, and the
//! memory of what has been answered. Nothing here does I/O or reads a clock, but for the random bytes of a new key.
//!
//! What is signed is `id.timestamp.body`, the body as raw bytes ("Signature scheme"). `v1` is HMAC-SHA256 under a
//! shared secret, `v1a` is ed25519.

pub mod delivery;
mod key;
mod replay;
mod sign;
mod skew;

pub use key::{Key, KeyError, KeyKind};
pub use replay::{Admission, Bounds, Digest, Ending, Id, Replay};
pub use sign::{sign, Claim, KeyRing, RingKey, Signed, VerifyError};
pub use skew::{Skew, Wall};

/// Name of the header with the message's id, which is the idempotency key.
pub const ID: &str = "webhook-id";
/// Name of the header with the time of the sending, in seconds since the Unix epoch.
pub const TIMESTAMP: &str = "webhook-timestamp";
/// Name of the header with the signatures, separated by spaces.
pub const SIGNATURE: &str = "webhook-signature";
