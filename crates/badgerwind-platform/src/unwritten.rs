//! Bytes that a socket has not accepted yet.

/// Capacity that an empty buffer keeps, in bytes.
const KEPT_CAPACITY: usize = 4096;

/// A buffer that is filled at its end and written from its start. What is written does not stay in memory, also
/// where the buffer never becomes empty.
#[derive(Debug, Default)]
pub(crate) struct Unwritten {
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that were written.
    written: usize,
}

impl Unwritten {
    /// The buffer to append to.
    pub(crate) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// The bytes that are not written.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.buffer[self.written..]
    }

    /// Bytes of memory that the buffer takes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Records that this many of the bytes were written.
    pub(crate) fn on_written(&mut self, bytes: usize) {
        self.written = self.buffer.len().min(self.written + bytes);
        let unwritten = self.buffer.len() - self.written;
        // Moving the rest costs no more than writing what is before it did.
        if unwritten <= self.written {
            self.buffer.copy_within(self.written.., 0);
            self.buffer.truncate(unwritten);
            self.written = 0;
            self.buffer.shrink_to(KEPT_CAPACITY);
        }
    }
}
