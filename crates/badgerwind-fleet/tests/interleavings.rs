//! The cell that every call reads, under all interleavings of its writer and a reader (loom).

mod atomics {
    pub(crate) use loom::sync::atomic::{AtomicU64, Ordering};
}
#[path = "../src/cell.rs"]
mod cell;

use cell::LifeCell;
use loom::sync::Arc;
use loom::thread;

/// Life 1 counts until 10, life 2 until 20. At 15 only life 2 may act, whatever is being written.
#[test]
fn no_reader_acts_in_a_life_that_has_run_out() {
    for now in [9, 15] {
        loom::model(move || {
            let cell = Arc::new(LifeCell::default());
            cell.set(1, 10);
            let writer = cell.clone();
            let written = thread::spawn(move || writer.set(2, 20));
            match cell.alive(now) {
                Some(1) => assert!(now < 10),
                Some(life) => assert_eq!(life, 2),
                None => {}
            }
            written.join().unwrap();
            assert_eq!(cell.alive(15), Some(2));
        });
    }
}

/// An end that was written before a reader looks is an end.
#[test]
fn after_its_end_a_life_is_over_for_every_reader() {
    loom::model(|| {
        let cell = Arc::new(LifeCell::default());
        cell.set(1, 10);
        let writer = cell.clone();
        let ended = thread::spawn(move || {
            writer.set(1, 12);
            writer.end();
        });
        let seen = cell.alive(11);
        assert!(seen.is_none() || seen == Some(1));
        ended.join().unwrap();
        assert_eq!(cell.alive(9), None);
    });
}
