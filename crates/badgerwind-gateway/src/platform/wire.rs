//! A non-blocking stream whose task sleeps until something can be read, something more can be written, or it is woken.

use smol::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::task::{Poll, Waker};

/// Whether a connection failed for want of a descriptor: that, and nothing else, another one's end gives back.
pub(super) fn is_short(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let short = [Errno::MFILE, Errno::NFILE];
    e.raw_os_error().is_some_and(|n| short.iter().any(|s| s.raw_os_error() == n))
}

pub(super) struct Wire {
    stream: Async<TcpStream>,
    waker: RefCell<Option<Waker>>,
    woken: Cell<bool>,
}

impl Wire {
    pub(super) fn new(stream: Async<TcpStream>) -> Wire {
        // Answers are written whole; waiting for more of them would only cost time.
        let _ = stream.get_ref().set_nodelay(true);
        Wire { stream, waker: RefCell::default(), woken: Cell::new(false) }
    }

    /// Writes what the socket takes at once.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.get_ref().write(&bytes[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(written)
    }

    /// Reads what is there; `None` where nothing is yet.
    pub(super) fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            match self.stream.get_ref().read(into) {
                Ok(n) => return Ok(Some(n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Has its task look again.
    pub(super) fn wake(&self) {
        self.woken.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Sleeps until it can be read, can be written (where that is wanted), or is woken.
    pub(super) async fn ready(&self, reads: bool, writes: impl Fn() -> bool) {
        std::future::poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            let awake = self.woken.take()
                || reads && self.stream.poll_readable(cx).is_ready()
                || writes() && self.stream.poll_writable(cx).is_ready();
            if awake {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await
    }
}
