//! Recovery of a voter's storage from its disk, and the errors of unusable files.

use badgerwind_fleet::disk::{Disk, DiskError};
use badgerwind_fleet::lease_snapshot::LeaseSnapshot;
use badgerwind_fleet::member::{create_disk, EmptyStateMachine};
use badgerwind_register::{Input, Node, Output, Settings, Setup, VoterStorage};
use std::path::Path;

fn settings() -> Settings {
    Settings::for_voters(vec![0])
}

/// Runs a single voter until it leads and has a live incarnation, with each write on the disk. Returns the
/// last applied index.
fn run_until_live(disk: &Disk, storage: VoterStorage) -> u64 {
    let setup = Setup { me: 0, zone: 0, seed: 3, settings: settings() };
    let mut node = Node::voter(0, setup, storage, EmptyStateMachine).unwrap();
    let mut now = 0;
    let mut out = Vec::new();
    while node.live_incarnation(now).is_none() {
        now += 10_000;
        assert!(now < 60_000_000, "a single voter becomes leader");
        node.handle(now, Input::Tick, &mut out);
        while let Some(output) = out.pop() {
            if let Output::Write(write) = output {
                disk.write(&write).unwrap();
                node.handle(now, Input::Written, &mut out);
            }
        }
    }
    node.ledger().applied()
}

#[test]
fn a_voter_recovers_its_log_and_begins_a_second_incarnation() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    create_disk(&path, &settings()).unwrap();
    let (disk, storage) = Disk::open(&path).unwrap();
    let first = run_until_live(&disk, storage);
    drop(disk);
    let (disk, storage) = Disk::open(&path).unwrap();
    // It becomes leader again, ends the earlier incarnation and begins another.
    assert!(run_until_live(&disk, storage) > first);
}

#[test]
fn a_missing_existing_or_foreign_file_is_reported_with_its_path() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    let missing = Disk::open(&path).unwrap_err();
    assert!(
        matches!(missing, DiskError::Missing(_)) && missing.to_string().contains("add it anew"),
        "{missing}"
    );
    create_disk(&path, &settings()).unwrap();
    assert!(matches!(create_disk(&path, &settings()).unwrap_err(), DiskError::AlreadyExists(_)));
    let other = folder.path().join("other");
    std::fs::write(&other, b"something else, and longer than a page of a store".repeat(200)).unwrap();
    let wrong = Disk::open(&other).unwrap_err();
    assert!(wrong.to_string().contains("other"), "{wrong}");
}

fn copy_truncated(from: &Path, to: &Path, bytes: usize) {
    let whole = std::fs::read(from).unwrap();
    std::fs::write(to, &whole[..bytes]).unwrap();
}

/// A truncated file is refused with its path, or has everything that was acknowledged. Less, or a panic,
/// would be a fault.
#[test]
fn a_truncated_file_has_all_that_was_written_or_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    create_disk(&path, &settings()).unwrap();
    let (disk, storage) = Disk::open(&path).unwrap();
    run_until_live(&disk, storage);
    drop(disk);
    let (disk, storage) = Disk::open(&path).unwrap();
    let whole = format!("{storage:?}");
    drop(disk);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    let (mut refused, mut opened) = (0, 0);
    // Every offset in the header, and a sample of the others.
    let offsets = (0..640).chain((640..length).step_by((length / 150).max(1))).chain([length - 1]);
    for bytes in offsets {
        let cut = folder.path().join("cut");
        copy_truncated(&path, &cut, bytes);
        match Disk::open(&cut) {
            Ok((_, storage)) => {
                assert_eq!(format!("{storage:?}"), whole, "truncated to {bytes} of {length} bytes");
                opened += 1;
            }
            Err(e) => {
                assert!(e.to_string().contains("cut"), "{e}");
                refused += 1;
            }
        }
    }
    assert!(refused > 600, "{refused} refused, {opened} opened");
}

#[test]
fn an_incarnation_is_live_until_its_lease_ends_or_is_ended() {
    let snapshot = LeaseSnapshot::default();
    assert_eq!(snapshot.live_incarnation(0), None);
    snapshot.set(3, 10);
    assert_eq!((snapshot.live_incarnation(9), snapshot.live_incarnation(10)), (Some(3), None));
    snapshot.set(3, 20);
    assert_eq!(snapshot.live_incarnation(10), Some(3));
    snapshot.end();
    assert_eq!(snapshot.live_incarnation(10), None);
    snapshot.set(4, 30);
    assert_eq!(snapshot.live_incarnation(10), Some(4));
}
