//! Keeps the buffers of client connections within the memory for requests.

use super::clients::{Clients, Connection};
use super::runtime::Runtime;
use badgerwind::interface::Time;
use badgerwind_platform::memory::{bytes_to_give_up, choose_to_give_up, Buffer};
use std::rc::Rc;

/// A buffer of a client connection.
#[derive(Clone, Copy, Debug)]
enum BufferKey {
    /// Requests that are being received on the connection with this number.
    Receiving(u64),
    /// Answers that its client has not read.
    Unread(u64),
}

impl Clients {
    /// Gives up buffers if all of them, and the contents of open requests, take more memory than is there for
    /// them. Open requests are not affected, except those of a client that does not read its answers.
    pub(super) fn limit_buffers(&self, runtime: &Runtime) {
        let held = self.content_bytes.total() + self.buffered_bytes.total();
        let needed = bytes_to_give_up(held, runtime.shares.request_bytes);
        if needed == 0 {
            return;
        }
        let now = runtime.clock.now();
        let chosen = choose_to_give_up(now, self.buffers(now), needed);
        let (mut refused, mut closed) = (0, 0);
        for key in chosen {
            let (BufferKey::Receiving(number) | BufferKey::Unread(number)) = key;
            let Some(connection) = self.connections.borrow().get(&number).cloned() else { continue };
            match key {
                BufferKey::Receiving(_) => {
                    connection.protocol.borrow_mut().refuse_receiving();
                    self.mark_dirty(connection.clone());
                    refused += 1;
                }
                BufferKey::Unread(_) => {
                    connection.protocol.borrow_mut().discard_output();
                    connection.close("the memory for requests is full and answers are not read");
                    closed += 1;
                }
            }
            connection.update_held();
        }
        if let Some(more) = runtime.log_limits.memory.allow(now) {
            tracing::warn!(
                refused,
                closed,
                more,
                "the memory for requests is full: connections had requests refused that were being received, or \
                 were closed because answers were not read"
            );
        }
    }

    fn buffers(&self, now: Time) -> Vec<Buffer<BufferKey>> {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|connection| !connection.is_closing());
        open.flat_map(|connection| connection_buffers(connection, now)).collect()
    }
}

fn connection_buffers(connection: &Rc<Connection>, now: Time) -> [Buffer<BufferKey>; 2] {
    let protocol = connection.protocol.borrow();
    let receiving = Buffer {
        key: BufferKey::Receiving(connection.number),
        bytes: protocol.receiving_bytes(),
        since: protocol.receiving_since().unwrap_or(now),
    };
    let unread_bytes = if protocol.output().is_empty() { 0 } else { protocol.output_bytes() };
    let unread = Buffer {
        key: BufferKey::Unread(connection.number),
        bytes: unread_bytes,
        since: connection.unsent_since.get().unwrap_or(now),
    };
    [receiving, unread]
}
