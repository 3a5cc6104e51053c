//! The connection to the notice board.

use super::shell::{Input, Shell};
use super::wire::is_short;
use badgerwind_platform::board::{Follower, News};
use badgerwind_platform::config::Places;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A frame comes each second; after this without one the board is asked anew.
const SILENCE: Duration = Duration::from_millis(1_700);
/// A connection not made by then is tried again.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause before the board is asked anew: a break is followed at once, then ever less often.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LAST_PAUSE: Duration = Duration::from_millis(500);

pub(super) struct Board {
    pub address: Cell<SocketAddr>,
    /// A new address has come: whatever is under way ends.
    pub changed: event::Changed,
    pub follower: RefCell<Follower>,
    pub places: Places,
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

impl Shell {
    /// Takes news in: where executors are, and what the module is told.
    pub(super) fn news(&self, news: &News) {
        self.executors.listed(self.clock.now(), news);
        let entries = news.entries.iter().map(|l| l.entry.clone()).collect();
        self.tell(Input::List { kind: news.kind, entries });
    }

    /// Follows the notice board for ever.
    pub(super) async fn follow(self: Rc<Self>, board: Rc<Board>) {
        let mut pause = FIRST_PAUSE;
        loop {
            let followed = async { self.frames(&board, &mut pause).await };
            let changed = async {
                board.changed.heard().await;
                None
            };
            match followed.or(changed).await {
                Some(what) => {
                    let (address, last) = (board.address.get(), board.follower.borrow().last());
                    tracing::debug!(%address, "the notice board is asked anew: {what}");
                    if let Some(more) = self.complaints.board.may(self.clock.now()) {
                        tracing::warn!(%address, last, more, "the notice board: {what}; it is asked again from the last event");
                    }
                    let changed = async { board.changed.heard().await };
                    async { _ = Timer::after(pause).await }.or(changed).await;
                    pause = (pause * 2).min(LAST_PAUSE);
                }
                None => pause = FIRST_PAUSE,
            }
        }
    }

    async fn frames(&self, board: &Board, pause: &mut Duration) -> Option<String> {
        let connect = Async::<TcpStream>::connect(board.address.get());
        let mut stream = match connect.or(late(CONNECT)).await {
            Ok(stream) => stream,
            Err(e) => {
                if is_short(&e) {
                    // Those who only hold a connection give way to the news of all executors.
                    self.clients.evict(self);
                }
                return Some(e.to_string());
            }
        };
        let ask = board.follower.borrow_mut().ask();
        if let Err(e) = stream.write_all(&ask).or(late(CONNECT)).await {
            return Some(e.to_string());
        }
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = match stream.read(&mut buf).or(late(SILENCE)).await {
                Ok(0) => return Some("it closed".into()),
                Ok(n) => n,
                Err(e) => return Some(e.to_string()),
            };
            let mut news = Vec::new();
            let fed = board.follower.borrow_mut().feed(&board.places, &buf[..n], &mut news);
            news.iter().for_each(|n| self.news(n));
            if let Err(e) = fed {
                return Some(e.to_string());
            }
            *pause = FIRST_PAUSE;
        }
    }
}

async fn late<T>(after: Duration) -> std::io::Result<T> {
    Timer::after(after).await;
    Err(std::io::ErrorKind::TimedOut.into())
}
