//! Standard Webhooks (version 1 of the specification): signing, verification, key rings for rotation, and
//! replay protection. Nothing here does I/O or reads a clock, except that key generation reads random bytes.
//!
//! The signed content is `id.timestamp.body`, with the body as raw bytes ("Signature scheme"). `v1` is
//! HMAC-SHA256 with a shared secret, `v1a` is ed25519.

pub mod delivery;
mod key;
mod replay;
mod sign;
mod skew;

pub use key::{Key, KeyError, KeyKind};
pub use replay::{Admission, Digest, Ending, Id, Replay, ReplayLimits};
pub use sign::{sign, Claim, KeyRing, RingKey, Signed, VerifyError};
pub use skew::{ClockSkew, WallClock};

/// Name of the header with the message id, which is the idempotency key.
pub const ID: &str = "webhook-id";
/// Name of the header with the time of signing, in seconds since the Unix epoch.
pub const TIMESTAMP: &str = "webhook-timestamp";
/// Name of the header with the signatures, separated by spaces.
pub const SIGNATURE: &str = "webhook-signature";
