//! A runner's way to its group's ledger: in this process, or kept by the store stand-in.

use crate::record::now;
use badgerwind_attempts::ledger::{Admission, Ledger, Limits};
use badgerwind_attempts::Fence;
use badgerwind_http::{Exchange, Pool};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Bounds of the stand-ins' ledgers: longer than any try of theirs.
pub const BOUNDS: Limits = Limits { retention: 600_000_000, lease: 20_000_000, max_calls: 1_000_000 };

/// What the ledger says to a runner that asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Run it.
    Run,
    /// It ran, with this answer.
    Ran(String),
    /// One is at work.
    Busy,
    /// A newer one was let in.
    Stale,
    /// One may have run.
    Doubt,
    /// No room to remember it, or no ledger to be reached.
    Full,
}

/// How an attempt ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum How {
    /// It ran, with this answer.
    Ran(String),
    /// It was stopped before its effect.
    NeverRan,
}

/// A question or a word to the ledger.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    key: String,
    fence: Fence,
    /// How it ended; absent: whether it may begin.
    how: Option<How>,
}

impl Asked {
    /// Puts it to a ledger.
    pub fn put_to(self, ledger: &mut Ledger<String>, now: u64) -> Said {
        match self.how {
            None => match ledger.admit(now, &self.key, self.fence) {
                Admission::Run => Said::Run,
                Admission::Ran(answer) => Said::Ran(answer),
                Admission::Busy => Said::Busy,
                Admission::Stale => Said::Stale,
                Admission::InDoubt => Said::Doubt,
                Admission::Full => Said::Full,
            },
            Some(How::Ran(answer)) => {
                ledger.record_ran(now, &self.key, self.fence, answer);
                Said::Run
            }
            Some(How::NeverRan) => {
                ledger.record_never_ran(now, &self.key, self.fence);
                Said::Run
            }
        }
    }
}

#[derive(Clone)]
enum Link {
    Here(Arc<Mutex<Ledger<String>>>),
    There(Arc<Pool>),
}

/// The classes that a group fences, and its ledger.
#[derive(Clone)]
pub struct Fenced {
    /// The classes.
    pub classes: Vec<String>,
    link: Link,
}

impl Fenced {
    /// A ledger of this process, shared by copies.
    pub fn here(classes: Vec<String>) -> Self {
        Fenced { classes, link: Link::Here(Arc::new(Mutex::new(Ledger::new(BOUNDS)))) }
    }

    /// The ledger that a store stand-in keeps.
    pub fn there(classes: Vec<String>, store: SocketAddr) -> Self {
        Fenced { classes, link: Link::There(Arc::new(crate::pool(store, 256))) }
    }

    async fn put(&self, asked: Asked) -> Said {
        match &self.link {
            Link::Here(ledger) => put_here(ledger, asked),
            Link::There(pool) => {
                let body = serde_json::to_vec(&asked).unwrap_or_default();
                let (method, target) = ("POST", "/ledger".to_owned());
                let request = Exchange { method, target, headers: vec![], body: body.into() };
                match pool.exchange(&request).await {
                    Ok((_, body)) => serde_json::from_slice(&body).unwrap_or(Said::Full),
                    // Without its ledger a runner lets nothing in.
                    Err(_) => Said::Full,
                }
            }
        }
    }

    /// Asks whether an attempt may begin.
    pub async fn admit(&self, key: &str, fence: Fence) -> Said {
        self.put(Asked { key: key.to_owned(), fence, how: None }).await
    }

    /// Says how it ended. A word that is lost leaves the call in doubt once its lease has ended. A ledger of this process has it
    /// before the call is answered: whoever has the answer and tries again is told that it ran, and not that one is at work.
    pub fn ended(&self, key: String, fence: Fence, how: How) {
        let asked = Asked { key, fence, how: Some(how) };
        match &self.link {
            Link::Here(ledger) => _ = put_here(ledger, asked),
            Link::There(_) => {
                let me = self.clone();
                smol::spawn(async move { _ = me.put(asked).await }).detach();
            }
        }
    }
}

fn put_here(ledger: &Mutex<Ledger<String>>, asked: Asked) -> Said {
    asked.put_to(&mut ledger.lock().unwrap_or_else(PoisonError::into_inner), now())
}
