//! A non-blocking TCP stream whose task sleeps until the socket is readable or writable, or the task is
//! woken.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use smol::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::task::{Poll, Waker};

/// Whether an operation failed because no descriptor was free. Closing another connection helps only in this
/// case.
pub(super) fn is_descriptor_limit(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let limits = [Errno::MFILE, Errno::NFILE];
    e.raw_os_error().is_some_and(|code| limits.iter().any(|limit| limit.raw_os_error() == code))
}

/// A TCP stream and the waker of its task.
pub(super) struct Stream {
    socket: Async<TcpStream>,
    waker: RefCell<Option<Waker>>,
    woken: Cell<bool>,
}

impl Stream {
    pub(super) fn new(socket: Async<TcpStream>) -> Stream {
        // Each write holds whole messages, so Nagle's algorithm would only add delay.
        let _ = socket.get_ref().set_nodelay(true);
        Stream { socket, waker: RefCell::default(), woken: Cell::new(false) }
    }

    /// Writes as much as the socket accepts without blocking, and returns the number of bytes.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            match self.socket.get_ref().write(&bytes[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(written)
    }

    /// Reads what is available; `None` if nothing is yet.
    pub(super) fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            match self.socket.get_ref().read(into) {
                Ok(n) => return Ok(Some(n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the peer has closed the connection, or its sending side. What it sent before may be unread. If
    /// the system cannot tell, the end is noticed when everything before it was read.
    pub(super) fn peer_has_closed(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut sockets = [PollFd::new(self.socket.get_ref(), PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut sockets, Some(&at_once)).is_ok() && sockets[0].revents().intersects(closed)
    }

    /// Wakes the stream's task.
    pub(super) fn wake(&self) {
        self.woken.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the socket is readable (with `wants_read`) or writable (if `wants_write` returns true), or
    /// until it is woken.
    pub(super) async fn ready(&self, wants_read: bool, wants_write: impl Fn() -> bool) {
        std::future::poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            let awake = self.woken.take()
                || wants_read && self.socket.poll_readable(cx).is_ready()
                || wants_write() && self.socket.poll_writable(cx).is_ready();
            if awake {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await
    }
}
