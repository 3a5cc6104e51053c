//! A runner's access to its group's ledger, which is in this process or held by the store stand-in.

use crate::record::now;
use badgerwind_attempts::ledger::{Admission, Ledger, Limits};
use badgerwind_attempts::Fence;
use badgerwind_http::{Exchange, Pool};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Limits of the stand-ins' ledgers, in microseconds; longer than any of their tries.
pub const LIMITS: Limits = Limits { retention: 600_000_000, lease: 20_000_000, max_calls: 1_000_000 };

/// Answer of the ledger to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The attempt is admitted.
    Run,
    /// The call ran already, with this answer.
    Ran(String),
    /// Another attempt is running.
    Busy,
    /// A newer attempt was admitted.
    Stale,
    /// An earlier attempt may have run.
    #[serde(rename = "Doubt")]
    InDoubt,
    /// The ledger is full, or cannot be reached.
    Full,
}

/// How an attempt ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The attempt ran, with this answer.
    Ran(String),
    /// The attempt was stopped before its effect.
    NeverRan,
}

/// A request to the ledger.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LedgerRequest {
    key: String,
    fence: Fence,
    /// How the attempt ended; `None` asks whether it may start.
    how: Option<AttemptEnd>,
}

impl LedgerRequest {
    /// Applies the request to a ledger.
    pub fn apply(self, ledger: &mut Ledger<String>, now: u64) -> LedgerAnswer {
        match self.how {
            None => match ledger.admit(now, &self.key, self.fence) {
                Admission::Run => LedgerAnswer::Run,
                Admission::Ran(answer) => LedgerAnswer::Ran(answer),
                Admission::Busy => LedgerAnswer::Busy,
                Admission::Stale => LedgerAnswer::Stale,
                Admission::InDoubt => LedgerAnswer::InDoubt,
                Admission::Full => LedgerAnswer::Full,
            },
            Some(AttemptEnd::Ran(answer)) => {
                ledger.record_ran(now, &self.key, self.fence, answer);
                LedgerAnswer::Run
            }
            Some(AttemptEnd::NeverRan) => {
                ledger.record_never_ran(now, &self.key, self.fence);
                LedgerAnswer::Run
            }
        }
    }
}

#[derive(Clone)]
enum Access {
    Local(Arc<Mutex<Ledger<String>>>),
    Remote(Arc<Pool>),
}

/// The fenced classes of a group, and access to its ledger.
#[derive(Clone)]
pub struct Fenced {
    /// The fenced classes.
    pub classes: Vec<String>,
    access: Access,
}

impl Fenced {
    /// A ledger in this process, shared by clones.
    pub fn local(classes: Vec<String>) -> Self {
        Fenced { classes, access: Access::Local(Arc::new(Mutex::new(Ledger::new(LIMITS)))) }
    }

    /// A ledger held by a store stand-in.
    pub fn remote(classes: Vec<String>, store: SocketAddr) -> Self {
        Fenced { classes, access: Access::Remote(Arc::new(crate::pool(store, 256))) }
    }

    async fn send(&self, request: LedgerRequest) -> LedgerAnswer {
        match &self.access {
            Access::Local(ledger) => apply_local(ledger, request),
            Access::Remote(pool) => {
                let body = serde_json::to_vec(&request).unwrap_or_default();
                let (method, target) = ("POST", "/ledger".to_owned());
                let exchange = Exchange { method, target, headers: vec![], body: body.into() };
                match pool.exchange(&exchange).await {
                    Ok((_, body)) => serde_json::from_slice(&body).unwrap_or(LedgerAnswer::Full),
                    // Without its ledger a runner admits no attempt.
                    Err(_) => LedgerAnswer::Full,
                }
            }
        }
    }

    /// Asks whether an attempt may start.
    pub async fn admit(&self, key: &str, fence: Fence) -> LedgerAnswer {
        self.send(LedgerRequest { key: key.to_owned(), fence, how: None }).await
    }

    /// Reports how an attempt ended. If the report is lost, the call is in doubt once its lease has ended. A
    /// local ledger has the report before the call is answered, so a sender that has the answer and retries
    /// learns that the call ran, and not that an attempt is running.
    pub fn report_end(&self, key: String, fence: Fence, end: AttemptEnd) {
        let request = LedgerRequest { key, fence, how: Some(end) };
        match &self.access {
            Access::Local(ledger) => _ = apply_local(ledger, request),
            Access::Remote(_) => {
                let me = self.clone();
                smol::spawn(async move { _ = me.send(request).await }).detach();
            }
        }
    }
}

fn apply_local(ledger: &Mutex<Ledger<String>>, request: LedgerRequest) -> LedgerAnswer {
    request.apply(&mut ledger.lock().unwrap_or_else(PoisonError::into_inner), now())
}
