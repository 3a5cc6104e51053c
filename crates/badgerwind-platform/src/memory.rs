//! How much memory the buffers of a front end hold in sum, and which of them are given up when it is short.

use badgerwind::interface::{Micros, Time};
use std::cell::Cell;
use std::rc::Rc;

/// The sum of the bytes that several owners hold.
#[derive(Clone, Debug, Default)]
pub struct ByteCount(Rc<Cell<usize>>);

impl ByteCount {
    /// The sum.
    pub fn total(&self) -> usize {
        self.0.get()
    }

    /// Counts the bytes of another owner.
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        self.0.set(self.0.get() + bytes);
        HeldBytes { count: self.clone(), bytes }
    }
}

/// The bytes that one owner holds. They are counted until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    count: ByteCount,
    bytes: usize,
}

impl HeldBytes {
    /// Number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that the owner now holds this many.
    pub fn set(&mut self, bytes: usize) {
        self.count.0.set(self.count.0.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A buffer that can be given up.
#[derive(Clone, Copy, Debug)]
pub struct Buffer<K> {
    /// What identifies it.
    pub key: K,
    /// Number of bytes it holds.
    pub bytes: usize,
    /// Since when it holds some.
    pub since: Time,
}

/// The part of a limit that is made free beyond it, so that buffers are not chosen anew for each read.
const FREED_PART: usize = 16;

/// How many of the bytes held are to be given up: none while they are within the limit.
pub fn bytes_to_give_up(held: usize, limit: usize) -> usize {
    match held.saturating_sub(limit) {
        0 => 0,
        surplus => surplus + limit / FREED_PART,
    }
}

/// Added to the age of each buffer, so that the larger one of two new buffers goes first.
const MIN_AGE: Micros = 1_000;

/// Chooses buffers of at least `needed` bytes in sum, or all: first those that have held most bytes for longest.
/// The product of size and age spares a large buffer that is filled and emptied at once as well as a small one
/// that stays.
pub fn choose_to_give_up<K: Copy>(now: Time, mut buffers: Vec<Buffer<K>>, needed: usize) -> Vec<K> {
    let held = |buffer: &Buffer<K>| {
        let age = now.saturating_sub(buffer.since).saturating_add(MIN_AGE);
        buffer.bytes as u128 * u128::from(age)
    };
    buffers.retain(|buffer| buffer.bytes > 0);
    buffers.sort_by_key(|buffer| std::cmp::Reverse(held(buffer)));
    let mut freed = 0;
    let chosen = buffers.iter().take_while(|buffer| {
        let is_needed = freed < needed;
        freed += buffer.bytes;
        is_needed
    });
    chosen.map(|buffer| buffer.key).collect()
}

/// Makes room for `added` more bytes. The capacity doubles like that of a vector, but not beyond `max`.
pub(crate) fn reserve_within(buffer: &mut Vec<u8>, added: usize, max: usize) {
    let needed = buffer.len() + added;
    if needed > buffer.capacity() {
        let capacity = buffer.capacity().saturating_mul(2).min(max).max(needed);
        buffer.reserve_exact(capacity - buffer.len());
    }
}
