//! What a voter finds again on its disk, and what it does where that cannot be.

use badgerwind_fleet::cell::LifeCell;
use badgerwind_fleet::disk::{Disk, DiskError};
use badgerwind_fleet::member::{begin, Nothing};
use badgerwind_register::{Input, Node, Output, Settings, Setup, VoterStorage};
use std::path::Path;

fn terms() -> Settings {
    Settings::for_voters(vec![0])
}

/// A voter by itself that begins to lead, and has a life: what it wrote, each write on the disk.
fn lives(disk: &Disk, storage: VoterStorage) -> u64 {
    let setup = Setup { me: 0, zone: 0, seed: 3, settings: terms() };
    let mut node = Node::voter(0, setup, storage, Nothing).unwrap();
    let mut now = 0;
    let mut out = Vec::new();
    while node.live_incarnation(now).is_none() {
        now += 10_000;
        assert!(now < 60_000_000, "a voter by itself leads");
        node.handle(now, Input::Tick, &mut out);
        while let Some(o) = out.pop() {
            if let Output::Write(w) = o {
                disk.write(&w).unwrap();
                node.handle(now, Input::Written, &mut out);
            }
        }
    }
    node.ledger().applied()
}

#[test]
fn a_voter_finds_its_log_again_and_a_second_life_follows_the_first() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    begin(&path, &terms()).unwrap();
    let (disk, storage) = Disk::open(&path).unwrap();
    let first = lives(&disk, storage);
    drop(disk);
    let (disk, storage) = Disk::open(&path).unwrap();
    // It leads anew, ends the life of before and begins another.
    assert!(lives(&disk, storage) > first);
}

#[test]
fn a_disk_that_is_missing_there_already_or_something_else_is_told_by_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    let missing = Disk::open(&path).unwrap_err();
    assert!(
        matches!(missing, DiskError::Missing(_)) && missing.to_string().contains("add it anew"),
        "{missing}"
    );
    begin(&path, &terms()).unwrap();
    assert!(matches!(begin(&path, &terms()).unwrap_err(), DiskError::Present(_)));
    let other = folder.path().join("other");
    std::fs::write(&other, b"something else, and longer than a page of a store".repeat(200)).unwrap();
    let wrong = Disk::open(&other).unwrap_err();
    assert!(wrong.to_string().contains("other"), "{wrong}");
}

fn copy_cut(from: &Path, to: &Path, bytes: usize) {
    let whole = std::fs::read(from).unwrap();
    std::fs::write(to, &whole[..bytes]).unwrap();
}

/// A file that lost its end is refused with its place, or has all that was acknowledged: never less, and never a panic.
#[test]
fn a_file_cut_off_anywhere_has_all_that_was_written_or_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("register");
    begin(&path, &terms()).unwrap();
    let (disk, storage) = Disk::open(&path).unwrap();
    lives(&disk, storage);
    drop(disk);
    let (disk, storage) = Disk::open(&path).unwrap();
    let whole = format!("{storage:?}");
    drop(disk);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    let (mut refused, mut opened) = (0, 0);
    // Every place in the header, and places all over the rest.
    let places = (0..640).chain((640..length).step_by((length / 150).max(1))).chain([length - 1]);
    for bytes in places {
        let cut = folder.path().join("cut");
        copy_cut(&path, &cut, bytes);
        match Disk::open(&cut) {
            Ok((_, storage)) => {
                assert_eq!(format!("{storage:?}"), whole, "cut off after {bytes} of {length} bytes");
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
fn a_life_counts_until_its_time_and_not_after_its_end() {
    let cell = LifeCell::default();
    assert_eq!(cell.alive(0), None);
    cell.set(3, 10);
    assert_eq!((cell.alive(9), cell.alive(10)), (Some(3), None));
    cell.set(3, 20);
    assert_eq!(cell.alive(10), Some(3));
    cell.end();
    assert_eq!(cell.alive(10), None);
    cell.set(4, 30);
    assert_eq!(cell.alive(10), Some(4));
}
