//! The measurement of real processes: a table by role, and an error for invalid arguments.

use std::process::{Command, Output};

fn steady(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerwind-rig")).arg("steady").args(arguments).output().unwrap()
}

#[test]
fn idle_members_are_measured_by_role() {
    let output = steady(&["--members", "4", "--voters", "3", "--seconds", "2", "--records"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for (role, processes) in [("follower", 1), ("voter", 2), ("leader", 1)] {
        let start = format!("| {role} | {processes} | ");
        let line =
            text.lines().find_map(|line| line.strip_prefix(&start)).unwrap_or_else(|| panic!("{text}"));
        let bytes: f64 = line.split(' ').next().unwrap().parse().unwrap();
        assert!(bytes > 100.0, "{role}s exchange bytes: {text}");
    }
}

#[test]
fn invalid_arguments_are_rejected_with_a_reason() {
    for (arguments, reason) in [
        (["--members", "0", "--voters", "1"], "--members"),
        (["--members", "4", "--voters", "2"], "2 voters; give 1, 3, 5 or 7"),
    ] {
        let output = steady(&arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && text.contains(reason), "{text}");
    }
}
