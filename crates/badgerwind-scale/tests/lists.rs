//! Lists of workers: frames that the product's own reader takes in, and calls that move when the list changes.

use badgerwind::interface::{Availability, ListKind, WorkerEntry};
use badgerwind_platform::config::NameCounts;
use badgerwind_platform::discovery::Follower;
use badgerwind_scale::rows::front_end::{worker_entry, Surroundings, SECOND, ZONES};
use badgerwind_scale::rows::list_frames::{frame, frame_bytes};
use badgerwind_scale::rows::lists::{differing, first_workers, sent_to};

const WARM_UP: u64 = 2 * SECOND;
const COMPARED: u64 = 4 * SECOND;

fn places() -> NameCounts {
    NameCounts { zones: ZONES as usize, kinds: 1 }
}

fn surroundings() -> Surroundings {
    Surroundings { calls_per_second: 40.0, ..Surroundings::new(42, 30) }
}

fn calls(change: &[WorkerEntry]) -> Vec<Option<u32>> {
    first_workers(surroundings(), 1, WARM_UP, COMPARED, change)
}

fn gone(workers: impl Iterator<Item = u32>) -> Vec<WorkerEntry> {
    workers.map(|worker| worker_entry(worker, Availability::Removed)).collect()
}

#[test]
fn the_product_reads_the_frames() {
    let entries = surroundings().worker_entries();
    let bytes = frame(1, ListKind::Whole, &entries);
    assert_eq!(bytes.len(), frame_bytes(entries.len()));
    let (mut follower, mut news) = (Follower::new(0), Vec::new());
    follower.on_bytes(&places(), &bytes, &mut news).unwrap();
    assert_eq!(news.len(), 1);
    let read = news[0].entries.iter().map(|listed| &listed.entry);
    let same = |(a, b): (&WorkerEntry, &WorkerEntry)| {
        (a.worker, a.zone, a.cell, a.kind, a.size, a.availability, a.born)
            == (b.worker, b.zone, b.cell, b.kind, b.size, b.availability, b.born)
    };
    assert!(read.zip(&entries).all(same));
}

#[test]
fn a_whole_list_of_over_20_000_workers_is_refused() {
    let read = |workers| {
        let bytes = frame(1, ListKind::Whole, &Surroundings::new(workers, 1).worker_entries());
        Follower::new(0).on_bytes(&places(), &bytes, &mut Vec::new())
    };
    assert!(read(20_000).is_ok());
    assert!(read(20_001).is_err());
}

#[test]
fn no_call_moves_where_nothing_changes() {
    let (one, again) = (calls(&[]), calls(&[]));
    assert!(one.len() > 100, "{} calls", one.len());
    assert_eq!(differing(&one, &again), 0.0);
}

#[test]
fn calls_of_a_lost_worker_move_and_few_others() {
    let unchanged = calls(&[]);
    let worker = unchanged.iter().flatten().next().copied().unwrap();
    let lost = gone(std::iter::once(worker));
    let changed = calls(&lost);
    let (moved, had_to) = (differing(&unchanged, &changed), sent_to(&unchanged, &lost));
    assert_eq!(sent_to(&changed, &lost), 0.0);
    assert!(had_to > 0.0 && moved >= had_to, "{moved} moved, {had_to} had to");
}
