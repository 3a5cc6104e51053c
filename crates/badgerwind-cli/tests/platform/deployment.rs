//! The deploy file, by which the test of the whole fleet builds and starts the program, and those conditions
//! of that test that can be observed from outside: one process, linked dynamically against the C library, no
//! Unix sockets, no io_uring.

use crate::rig::{id, FrontEnd, Rig};
use badgerwind_standins::platform::executor::succeed;
use badgerwind_standins::platform::full_backlog::FullBacklog;
use badgerwind_standins::platform::web::WebRequest;
use badgerwind_standins::platform::{configuration, list_member, wait_until};
use serde_json::json;
use std::fs;
use std::time::{Duration, Instant};

/// The value of a key in the deploy file.
fn deploy(name: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = fs::read_to_string(path).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix('='));
    line.unwrap_or_else(|| panic!("{name} is in deploy/balancer.toml")).trim().trim_matches('"').to_owned()
}

#[test]
fn the_deploy_file_builds_the_programs_that_it_starts_with_exec() {
    let (build, run, sim) = (deploy("build"), deploy("run"), deploy("sim"));
    assert_eq!(run, "exec target/release/badgerwind platform", "one process, which replaces the shell");
    assert_eq!(sim, "exec target/release/badgerwind-adapter");
    for part in ["--release", "--locked", "-p badgerwind-adapter", "-p badgerwind-cli"] {
        assert!(build.contains(part), "{build}");
    }
}

/// The segments of an ELF file: type, offset in the file and size in the file.
fn segments(elf: &[u8]) -> Vec<(u32, usize, usize)> {
    assert_eq!((&elf[..4], elf[4], elf[5]), (&b"\x7fELF"[..], 2, 1), "64-bit, little endian");
    let number =
        |at: usize, n: usize| elf[at..at + n].iter().rev().fold(0usize, |v, b| v << 8 | usize::from(*b));
    let (at, size, count) = (number(32, 8), number(54, 2), number(56, 2));
    let one =
        |k| (number(at + k * size, 4) as u32, number(at + k * size + 8, 8), number(at + k * size + 32, 8));
    (0..count).map(one).collect()
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let elf = fs::read(env!("CARGO_BIN_EXE_badgerwind")).unwrap();
    const INTERP: u32 = 3;
    let (_, at, len) = segments(&elf)
        .into_iter()
        .find(|s| s.0 == INTERP)
        .expect("an INTERP segment, which names the dynamic loader");
    assert!(String::from_utf8_lossy(&elf[at..at + len]).contains("ld-linux"));
    let rig = Rig::start_well();
    assert_eq!(rig.health(), 200);
    let maps = fs::read_to_string(format!("/proc/{}/maps", rig.pid())).unwrap();
    assert!(maps.lines().any(|l| l.contains("/libc.so") || l.contains("/libc-")), "{maps}");
}

#[test]
fn the_front_end_is_one_process_without_a_named_unix_socket_and_without_io_uring() {
    let rig = Rig::start_well();
    (0..20).for_each(|n| assert_eq!(rig.call(&WebRequest::new(n)).status, 200));
    let proc = format!("/proc/{}", rig.pid());
    let (mut threads, mut children) = (0, String::new());
    for task in fs::read_dir(format!("{proc}/task")).unwrap().flatten() {
        threads += 1;
        // Some kernels do not have this file. Where it exists, it must be empty.
        children += &fs::read_to_string(task.path().join("children")).unwrap_or_default();
    }
    assert!(threads >= 1 && children.trim().is_empty(), "{threads} threads, children {children:?}");
    // The same check by the parent of every process, which every kernel reports.
    let parent = |pid: &str| {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    let all =
        fs::read_dir("/proc").unwrap().flatten().map(|e| e.file_name().into_string().unwrap_or_default());
    let own: Vec<_> =
        all.filter(|p| p.bytes().all(|b| b.is_ascii_digit()) && parent(p) == Some(rig.pid())).collect();
    assert!(own.is_empty(), "child processes: {own:?}");
    let unix = fs::read_to_string(format!("{proc}/net/unix")).unwrap();
    // Only a socket with a name can be connected to. The pair through which signals reach the event loop has
    // none.
    let named = |l: &'_ str| l.split_whitespace().nth(7).is_some();
    let inodes: Vec<_> =
        unix.lines().skip(1).filter(|l| named(l)).filter_map(|l| l.split_whitespace().nth(6)).collect();
    let mut sockets = 0;
    for fd in fs::read_dir(format!("{proc}/fd")).unwrap().flatten() {
        let Ok(link) = fs::read_link(fd.path()) else { continue };
        let link = link.to_string_lossy().into_owned();
        assert!(!link.contains("io_uring"), "{link}");
        if let Some(inode) = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) {
            sockets += 1;
            let standard = ["0", "1", "2"].contains(&fd.file_name().to_str().unwrap_or(""));
            assert!(standard || !inodes.contains(&inode), "a named Unix socket: {link}");
        }
    }
    assert!(sockets >= 2, "the listener and the connection to the executor: {sockets}");
}

/// When a tenth of a fleet starts at once on shared cores, each start must be short. So the first healthy
/// answer waits neither for service discovery nor for an executor.
#[test]
fn the_front_end_is_healthy_before_it_has_connected_anywhere() {
    // None of these listeners, for service discovery and for the executors, accepts a connection.
    let doors: Vec<_> = (0..3).map(|_| FullBacklog::start().unwrap()).collect();
    let listed: Vec<_> =
        doors[1..].iter().enumerate().map(|(n, d)| list_member(id(n), d.address, "in_service")).collect();
    let config = configuration("127.0.0.1:0".parse().unwrap(), doors[0].address, &listed);
    let front = FrontEnd::start(config);
    assert_eq!(front.health(), 200);
    assert!(wait_until(|| doors[0].connecting() == 1), "it connects to service discovery");
    assert_eq!(
        doors[1..].iter().map(FullBacklog::connecting).sum::<usize>(),
        0,
        "it connects to no executor before a call"
    );
}

/// The configuration lists a whole fleet: 400 executors and 300 peers.
#[test]
fn the_front_end_serves_within_thirty_seconds_with_a_whole_fleet_in_its_configuration() {
    let began = Instant::now();
    let rig = Rig::start_with(vec![Box::new(succeed)], |config| {
        let own = config["known"]["notices"][0]["pool"]["members"][0].clone();
        let others = (1..400).map(|n| list_member(id(n), "127.0.0.1:9".parse().unwrap(), "terminating"));
        config["known"]["notices"][0]["pool"]["members"] = [own].into_iter().chain(others).collect();
        config["settings"]["peersTotal"] = json!(300);
        config["peers"] = (0..300).map(|n| json!(format!("127.0.0.1:{}", 20_000 + n))).collect();
    });
    assert_eq!(rig.health(), 200);
    assert!(began.elapsed() < Duration::from_secs(30), "{:?}", began.elapsed());
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
}
