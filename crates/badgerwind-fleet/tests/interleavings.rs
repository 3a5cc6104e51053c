//! All interleavings of the writer and a reader of the snapshot that every call reads (loom).

mod atomics {
    pub(crate) use loom::sync::atomic::{AtomicU64, Ordering};
}
#[path = "../src/lease_snapshot.rs"]
mod lease_snapshot;

use lease_snapshot::LeaseSnapshot;
use loom::sync::Arc;
use loom::thread;

/// The lease of incarnation 1 ends at 10, that of incarnation 2 at 20. At 15 only incarnation 2 may act,
/// whatever is being written.
#[test]
fn no_reader_acts_in_an_incarnation_whose_lease_has_ended() {
    for now in [9, 15] {
        loom::model(move || {
            let snapshot = Arc::new(LeaseSnapshot::default());
            snapshot.set(1, 10);
            let writer = snapshot.clone();
            let written = thread::spawn(move || writer.set(2, 20));
            match snapshot.live_incarnation(now) {
                Some(1) => assert!(now < 10),
                Some(incarnation) => assert_eq!(incarnation, 2),
                None => {}
            }
            written.join().unwrap();
            assert_eq!(snapshot.live_incarnation(15), Some(2));
        });
    }
}

/// A reader that reads after the end was written finds no live incarnation.
#[test]
fn an_ended_incarnation_is_not_live_for_any_reader() {
    loom::model(|| {
        let snapshot = Arc::new(LeaseSnapshot::default());
        snapshot.set(1, 10);
        let writer = snapshot.clone();
        let ended = thread::spawn(move || {
            writer.set(1, 12);
            writer.end();
        });
        let seen = snapshot.live_incarnation(11);
        assert!(seen.is_none() || seen == Some(1));
        ended.join().unwrap();
        assert_eq!(snapshot.live_incarnation(9), None);
    });
}
