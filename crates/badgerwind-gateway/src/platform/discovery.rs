//! The connection to service discovery, and the age of what it last announced.

use super::runtime::{Input, Runtime};
use super::stream::is_descriptor_limit;
use badgerwind::interface::{Availability, ListKind, Time};
use badgerwind_connect::connect;
use badgerwind_freshness::source::ConnectionEnd;
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::{BadFrame, EventFollower, ListUpdate};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for data from service discovery, which sends a frame every second. After that a new
/// connection is made.
const READ_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Timeout for connecting and for sending the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the first reconnection; it doubles with each failure up to [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between reconnections.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The address of service discovery, and the state of following it.
pub(super) struct Discovery {
    pub address: Cell<SocketAddr>,
    /// Notified when the address has changed; the current connection is then closed.
    pub changed: notification::Notification,
    pub follower: RefCell<EventFollower>,
    pub name_counts: NameCounts,
}

/// A wake-up signal for one waiting task.
pub(super) mod notification {
    use async_channel::{bounded, Receiver, Sender};

    pub(in super::super) struct Notification(Sender<()>, Receiver<()>);

    impl Default for Notification {
        fn default() -> Self {
            let (sender, receiver) = bounded(1);
            Notification(sender, receiver)
        }
    }

    impl Notification {
        pub(in super::super) fn notify(&self) {
            let _ = self.0.try_send(()); // a pending notification is enough
        }
        pub(in super::super) async fn notified(&self) {
            let _ = self.1.recv().await;
        }
    }
}

/// Why a connection to service discovery ended.
struct Interruption {
    end: ConnectionEnd,
    reason: String,
}

impl Interruption {
    fn broken(reason: impl ToString) -> Interruption {
        Interruption { end: ConnectionEnd::Broken, reason: reason.to_string() }
    }

    fn from_error(error: &std::io::Error) -> Interruption {
        let end = match error.kind() {
            std::io::ErrorKind::TimedOut => ConnectionEnd::TimedOut,
            _ => ConnectionEnd::Broken,
        };
        Interruption { end, reason: error.to_string() }
    }
}

impl Runtime {
    /// Applies a list update to the executors' connections and passes it to the module.
    pub(super) fn on_list_update(&self, update: &ListUpdate) {
        self.executors.on_list_update(self.clock.now(), update);
        let mut freshness = self.freshness.borrow_mut();
        if update.kind != ListKind::Changes {
            let listed_workers = update.entries.iter().map(|listed| listed.entry.worker).collect();
            freshness.on_full_list(&listed_workers);
        }
        for listed in &update.entries {
            let removed = listed.entry.availability == Availability::Removed;
            freshness.on_listed(listed.entry.worker, removed);
        }
        let entries = update.entries.iter().map(|listed| listed.entry.clone()).collect();
        self.send_input(Input::List { kind: update.kind, entries });
    }

    /// Receives from service discovery, and reconnects, for as long as the process runs.
    pub(super) async fn follow_discovery(self: Rc<Self>, discovery: Rc<Discovery>) {
        let mut pause = MIN_RETRY_PAUSE;
        loop {
            let followed = async { Some(self.read_frames(&discovery, &mut pause).await) };
            let changed = async {
                discovery.changed.notified().await;
                None
            };
            let Some(interruption) = followed.or(changed).await else {
                self.freshness.borrow_mut().on_discovery_address_change(self.clock.now());
                pause = MIN_RETRY_PAUSE;
                continue;
            };
            self.on_interruption(&discovery, &interruption);
            let changed = async { discovery.changed.notified().await };
            async { _ = Timer::after(pause).await }.or(changed).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    fn on_interruption(self: &Rc<Self>, discovery: &Discovery, Interruption { end, reason }: &Interruption) {
        let now = self.clock.now();
        self.on_discovery_end(*end);
        let (address, last) = (discovery.address.get(), discovery.follower.borrow().last_event());
        tracing::debug!(%address, "reconnecting to service discovery: {reason}");
        if let Some(more) = self.log_limits.discovery.allow(now) {
            tracing::warn!(%address, last, more, "service discovery: {reason}; reconnecting from the last event");
        }
    }

    async fn read_frames(self: &Rc<Self>, discovery: &Discovery, pause: &mut Duration) -> Interruption {
        let connect = connect(discovery.address.get());
        let mut stream = match connect.or(timeout(CONNECT_TIMEOUT)).await {
            Ok(stream) => stream,
            Err(e) => {
                if is_descriptor_limit(&e) {
                    // The list of executors matters more than an idle client connection.
                    self.clients.evict(self);
                }
                return Interruption::from_error(&e);
            }
        };
        let request = discovery.follower.borrow_mut().start_connection();
        if let Err(e) = stream.write_all(&request).or(timeout(CONNECT_TIMEOUT)).await {
            return Interruption::from_error(&e);
        }
        let mut buf = vec![0; 16 * 1024];
        let mut waiting_since = self.clock.now();
        loop {
            let n = match stream.read(&mut buf).or(timeout(READ_TIMEOUT)).await {
                Ok(0) => return Interruption::broken("connection closed"),
                Ok(n) => n,
                Err(e) => return Interruption::from_error(&e),
            };
            if let Err(e) = self.on_frames(discovery, &buf[..n], &mut waiting_since) {
                return Interruption::broken(e);
            }
            *pause = MIN_RETRY_PAUSE;
        }
    }

    /// Processes what was read. The wait for the next frame starts now, unless part of it has arrived
    /// already.
    fn on_frames(
        self: &Rc<Self>,
        discovery: &Discovery,
        bytes: &[u8],
        waiting_since: &mut Time,
    ) -> Result<(), BadFrame> {
        let mut updates = Vec::new();
        let mut follower = discovery.follower.borrow_mut();
        let parsed = follower.on_bytes(&discovery.name_counts, bytes, &mut updates);
        let (received, partial) = (follower.take_received(), follower.has_partial_frame());
        drop(follower);
        if !updates.is_empty() && !self.freshness.borrow().is_fresh(self.clock.now()) {
            tracing::info!(
                events = updates.len(),
                "service discovery tells events while the list of executors is stale"
            );
        }
        updates.iter().for_each(|update| self.on_list_update(update));
        self.on_discovery_received(*waiting_since, received);
        if !partial {
            *waiting_since = self.clock.now();
        }
        parsed
    }
}

async fn timeout<T>(after: Duration) -> std::io::Result<T> {
    Timer::after(after).await;
    Err(std::io::ErrorKind::TimedOut.into())
}
