//! The connection to service discovery (the platform's notice board), and how old its word is.

use super::shell::{Input, Shell};
use super::wire::is_short;
use badgerwind::interface::{Availability, ListKind, Time};
use badgerwind_connect::connect;
use badgerwind_freshness::source::ConnectionEnd;
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::{BadFrame, Follower, ListUpdate};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A frame comes each second; after this without one discovery is asked anew.
const SILENCE: Duration = Duration::from_millis(1_700);
/// A connection not made by then is tried again.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause before it is asked anew: a break is followed at once, then ever less often.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LAST_PAUSE: Duration = Duration::from_millis(500);

pub(super) struct Discovery {
    pub address: Cell<SocketAddr>,
    /// A new address has come: whatever is under way ends.
    pub changed: event::Changed,
    pub follower: RefCell<Follower>,
    pub places: NameCounts,
}

/// A word to one waiting task.
pub(super) mod event {
    use async_channel::{bounded, Receiver, Sender};

    pub(in super::super) struct Changed(Sender<()>, Receiver<()>);

    impl Default for Changed {
        fn default() -> Self {
            let (sender, receiver) = bounded(1);
            Changed(sender, receiver)
        }
    }

    impl Changed {
        pub(in super::super) fn tell(&self) {
            let _ = self.0.try_send(()); // one word is enough
        }
        pub(in super::super) async fn heard(&self) {
            let _ = self.1.recv().await;
        }
    }
}

/// Why following discovery has to begin anew.
struct Interruption {
    how: ConnectionEnd,
    what: String,
}

impl Interruption {
    fn broken(what: impl ToString) -> Interruption {
        Interruption { how: ConnectionEnd::Broken, what: what.to_string() }
    }

    fn by(error: &std::io::Error) -> Interruption {
        let how = match error.kind() {
            std::io::ErrorKind::TimedOut => ConnectionEnd::TimedOut,
            _ => ConnectionEnd::Broken,
        };
        Interruption { how, what: error.to_string() }
    }
}

impl Shell {
    /// Takes news in: where executors are, and what the module is told.
    pub(super) fn news(&self, news: &ListUpdate) {
        self.executors.listed(self.clock.now(), news);
        let mut freshness = self.freshness.borrow_mut();
        if news.kind != ListKind::Changes {
            let named = news.entries.iter().map(|listed| listed.entry.worker).collect();
            freshness.on_full_list(&named);
        }
        for listed in &news.entries {
            let gone = listed.entry.availability == Availability::Removed;
            freshness.on_listed(listed.entry.worker, gone);
        }
        let entries = news.entries.iter().map(|l| l.entry.clone()).collect();
        self.tell(Input::List { kind: news.kind, entries });
    }

    /// Follows discovery for ever.
    pub(super) async fn follow(self: Rc<Self>, discovery: Rc<Discovery>) {
        let mut pause = FIRST_PAUSE;
        loop {
            let followed = async { Some(self.frames(&discovery, &mut pause).await) };
            let changed = async {
                discovery.changed.heard().await;
                None
            };
            let Some(interruption) = followed.or(changed).await else {
                self.freshness.borrow_mut().on_discovery_address_change(self.clock.now());
                pause = FIRST_PAUSE;
                continue;
            };
            self.interrupted(&discovery, &interruption);
            let changed = async { discovery.changed.heard().await };
            async { _ = Timer::after(pause).await }.or(changed).await;
            pause = (pause * 2).min(LAST_PAUSE);
        }
    }

    fn interrupted(self: &Rc<Self>, discovery: &Discovery, Interruption { how, what }: &Interruption) {
        let now = self.clock.now();
        self.discovery_ended(*how);
        let (address, last) = (discovery.address.get(), discovery.follower.borrow().last_event());
        tracing::debug!(%address, "service discovery is asked anew: {what}");
        if let Some(more) = self.complaints.discovery.may(now) {
            tracing::warn!(%address, last, more, "service discovery: {what}; it is asked again from the last event");
        }
    }

    async fn frames(self: &Rc<Self>, discovery: &Discovery, pause: &mut Duration) -> Interruption {
        let connect = connect(discovery.address.get());
        let mut stream = match connect.or(late(CONNECT)).await {
            Ok(stream) => stream,
            Err(e) => {
                if is_short(&e) {
                    // Those who only hold a connection give way to the news of all executors.
                    self.clients.evict(self);
                }
                return Interruption::by(&e);
            }
        };
        let ask = discovery.follower.borrow_mut().start_connection();
        if let Err(e) = stream.write_all(&ask).or(late(CONNECT)).await {
            return Interruption::by(&e);
        }
        let mut buf = vec![0; 16 * 1024];
        let mut waited_since = self.clock.now();
        loop {
            let n = match stream.read(&mut buf).or(late(SILENCE)).await {
                Ok(0) => return Interruption::broken("it closed"),
                Ok(n) => n,
                Err(e) => return Interruption::by(&e),
            };
            if let Err(e) = self.take_frames(discovery, &buf[..n], &mut waited_since) {
                return Interruption::broken(e);
            }
            *pause = FIRST_PAUSE;
        }
    }

    /// Takes in what was read. The next frame is waited for from now on, unless a part of it has come already.
    fn take_frames(
        self: &Rc<Self>,
        discovery: &Discovery,
        bytes: &[u8],
        waited_since: &mut Time,
    ) -> Result<(), BadFrame> {
        let mut news = Vec::new();
        let mut follower = discovery.follower.borrow_mut();
        let fed = follower.on_bytes(&discovery.places, bytes, &mut news);
        let (heard, partial) = (follower.take_received(), follower.has_partial_frame());
        drop(follower);
        if !news.is_empty() && !self.freshness.borrow().is_fresh(self.clock.now()) {
            tracing::info!(
                events = news.len(),
                "service discovery tells events while the list of executors is stale"
            );
        }
        news.iter().for_each(|n| self.news(n));
        self.discovery_heard(*waited_since, heard);
        if !partial {
            *waited_since = self.clock.now();
        }
        fed
    }
}

async fn late<T>(after: Duration) -> std::io::Result<T> {
    Timer::after(after).await;
    Err(std::io::ErrorKind::TimedOut.into())
}
