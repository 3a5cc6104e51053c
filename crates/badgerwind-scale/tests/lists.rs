//! Tests of the list rows: the product's reader accepts the frames, and calls move when the list changes.

use badgerwind::interface::{Availability, ListKind, WorkerEntry};
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::EventFollower;
use badgerwind_scale::rows::front_end::{worker_entry, Workload, ZONES};
use badgerwind_scale::rows::list_frames::{encode_frame, frame_bytes};
use badgerwind_scale::rows::lists::{differing_share, first_workers, share_sent_to};
use badgerwind_scale::rows::network::SECOND;

const WARM_UP: u64 = 2 * SECOND;
const COMPARED_TIME: u64 = 4 * SECOND;

fn name_counts() -> NameCounts {
    NameCounts { zones: ZONES as usize, kinds: 1 }
}

fn workload() -> Workload {
    Workload { calls_per_second: 40.0, ..Workload::new(42, 30) }
}

/// The first worker of each call after a change of the list.
fn calls(change: &[WorkerEntry]) -> Vec<Option<u32>> {
    first_workers(workload(), 1, WARM_UP, COMPARED_TIME, change)
}

fn removed(workers: impl Iterator<Item = u32>) -> Vec<WorkerEntry> {
    workers.map(|worker| worker_entry(worker, Availability::Removed)).collect()
}

#[test]
fn discovery_reader_decodes_the_frames() {
    let entries = workload().worker_entries();
    let bytes = encode_frame(1, ListKind::Whole, &entries);
    assert_eq!(bytes.len(), frame_bytes(entries.len()));
    let (mut follower, mut changes) = (EventFollower::new(0), Vec::new());
    follower.on_bytes(&name_counts(), &bytes, &mut changes).unwrap();
    assert_eq!(changes.len(), 1);
    let decoded = changes[0].entries.iter().map(|listed| &listed.entry);
    let same = |(a, b): (&WorkerEntry, &WorkerEntry)| {
        (a.worker, a.zone, a.cell, a.kind, a.size, a.availability, a.born)
            == (b.worker, b.zone, b.cell, b.kind, b.size, b.availability, b.born)
    };
    assert!(decoded.zip(&entries).all(same));
}

#[test]
fn whole_list_of_more_than_20_000_workers_is_rejected() {
    let read = |workers| {
        let bytes = encode_frame(1, ListKind::Whole, &Workload::new(workers, 1).worker_entries());
        EventFollower::new(0).on_bytes(&name_counts(), &bytes, &mut Vec::new())
    };
    assert!(read(20_000).is_ok());
    assert!(read(20_001).is_err());
}

#[test]
fn no_call_moves_without_a_change() {
    let (first, second) = (calls(&[]), calls(&[]));
    assert!(first.len() > 100, "{} calls", first.len());
    assert_eq!(differing_share(&first, &second), 0.0);
}

#[test]
fn calls_of_a_removed_worker_move() {
    let unchanged = calls(&[]);
    let worker = unchanged.iter().flatten().next().copied().unwrap();
    let change = removed(std::iter::once(worker));
    let changed = calls(&change);
    let (moved, had_to_move) = (differing_share(&unchanged, &changed), share_sent_to(&unchanged, &change));
    assert_eq!(share_sent_to(&changed, &change), 0.0);
    assert!(had_to_move > 0.0 && moved >= had_to_move, "{moved} moved, {had_to_move} had to move");
}
