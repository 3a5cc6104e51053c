//! Accepts connections of web servers, in small groups so that a flood of them does not delay other work.

use super::runtime::Runtime;
use super::stream::is_descriptor_limit;
use futures_lite::future::yield_now;
use smol::{Async, Timer};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Pause of the accept loop when no descriptor is free, so that it does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Most connections accepted before other tasks run; otherwise a flood of connections would delay requests.
const ACCEPTS_PER_TURN: usize = 16;

impl Runtime {
    /// Accepts connections until the front end stops.
    pub(super) async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Without a free descriptor, accept fails whether or not a connection is waiting.
            if listener.readable().await.is_err() || self.accept_waiting(&listener).is_none() {
                Timer::after(ACCEPT_PAUSE).await;
            }
            // The tasks of evicted connections run before more are accepted, so that their descriptors are
            // free by then.
            yield_now().await;
        }
    }

    /// Accepts some of the waiting connections, and returns their number; `None` if the first could not be
    /// accepted.
    fn accept_waiting(self: &Rc<Self>, listener: &Async<TcpListener>) -> Option<usize> {
        for accepted in 0..ACCEPTS_PER_TURN {
            let evicted = match listener.get_ref().accept().and_then(|(s, from)| Ok((Async::new(s)?, from))) {
                Ok((stream, peer)) => self.add_connection(stream, peer),
                Err(e) if e.kind() == ErrorKind::WouldBlock || accepted > 0 => return Some(accepted),
                Err(e) => {
                    self.on_accept_error(&e);
                    return None;
                }
            };
            if evicted {
                return Some(accepted + 1);
            }
        }
        Some(ACCEPTS_PER_TURN)
    }

    /// Accepts all waiting connections, since the operating system has established them already.
    pub(super) async fn accept_all(self: &Rc<Self>, listener: &Async<TcpListener>) {
        for _ in 0..2 * self.shares.client_connections {
            let accepted = self.accept_waiting(listener);
            yield_now().await;
            if accepted == Some(0) {
                return;
            }
        }
    }

    /// Handles a failure to accept. If no descriptor was free, an idle connection is closed.
    fn on_accept_error(&self, e: &std::io::Error) {
        let evicted = is_descriptor_limit(e) && self.clients.evict(self);
        if let Some(more) = self.log_limits.accept.allow(self.clock.now()) {
            tracing::warn!(
                evicted,
                more,
                "cannot accept a connection: {e}; the descriptor limit is below the configuration's limits.sockets"
            );
        }
    }
}
