//! Checks that the version of the settings that a front end reports as running is the one by which it serves
//! calls.

use super::rig::process::Process;
use super::rig::*;
use badgerwind_config::Kind;
use badgerwind_standins::reserved::ReservedPort;
use std::net::SocketAddr;
use std::path::Path;

/// The routes part of a version: the usual routes, and the path `/at/{version}`, which only this version has.
pub fn routes(version: u64) -> String {
    format!(
        "<badgerwind version=\"1\"><webhook><sender name=\"portal\" tenant=\"brolga\"><secret name=\"first\" file=\"portal.key\"/>\
         </sender><route path=\"/check\" sender=\"portal\" class=\"check\" function=\"check-0\"/>\
         <route path=\"/lodge\" sender=\"portal\" class=\"lodge\" function=\"lodge-0\"/>\
         <route path=\"/at/{version}\" sender=\"portal\" class=\"check\" function=\"check-0\"/></webhook></badgerwind>"
    )
}

/// The versions of this range whose own path the front end serves.
pub async fn served_versions(rig: &Rig, versions: std::ops::RangeInclusive<u64>) -> Vec<u64> {
    let mut served = Vec::new();
    for v in versions {
        if rig.send(&format!("probe-{v}-{}", rig.lines().len()), &format!("/at/{v}"), 0).await.status != 404 {
            served.push(v);
        }
    }
    served
}

/// Waits until the front end reports a version as running.
pub async fn until_running(rig: &Rig, kind: Kind, version: u64) {
    if !rig.eventually(async || rig.running(kind).await == Some(version)).await {
        panic!("version {version} of {kind:?} is not reported as running: {:?}", rig.config().await);
    }
}

/// Puts a version into the folder of a control service without the checks of `folder::publish`. The file
/// appears complete, so that the service never reads a part of it.
pub fn publish_unchecked(folder: &Path, kind: Kind, version: u64, text: &str) {
    let versions = folder.join(kind.name());
    std::fs::create_dir_all(&versions).unwrap();
    let temporary = versions.join(format!("{version}.part"));
    std::fs::write(&temporary, text).unwrap();
    std::fs::rename(&temporary, versions.join(format!("{version}.xml"))).unwrap();
}

/// The control service as a process, which is killed when its handle is dropped.
pub struct Service(Process);

impl Service {
    pub fn start(folder: &Path, at: SocketAddr) -> Service {
        let args = ["control", "serve", &folder.display().to_string(), "--listen", &at.to_string()]
            .map(str::to_owned);
        let rules = ["--first", "1", "--settle-ms", "0", "--most-rejected", "1", "--most-worse", "1"];
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        Service(Process::start("control", command.args(args).args(rules)))
    }

    /// Panics if the service has ended by itself.
    pub fn assert_runs(&mut self) {
        self.0.assert_runs();
    }

    #[allow(dead_code)] // used by benches only
    pub fn id(&self) -> u32 {
        self.0.id()
    }
}

/// Takes `front_ends` front ends, `processes` of them as separate processes, through `versions` versions
/// while the control service is killed `kills` times. Every third version is invalid. Panics at the first
/// report that does not agree with the front end's behaviour, and returns the number of reports checked. The
/// number of versions must not be a multiple of three, so that the last one is valid.
pub async fn check(front_ends: usize, processes: usize, versions: u64, kills: u64) -> usize {
    let dir = tempfile::tempdir().unwrap();
    let port = ReservedPort::reserve().unwrap();
    let at = port.address();
    let first = Rig::start(Plan { control: Some(("f0".into(), vec![at])), ..Plan::default() }).await;
    let mut rigs = vec![first];
    for n in 1..front_ends {
        let control = Some((format!("f{n}"), vec![at]));
        let plan = Plan {
            runners: 0,
            control,
            process: n <= processes,
            shared: rigs[0].shared(),
            ..Plan::default()
        };
        rigs.push(Rig::start(plan).await);
    }
    let (mut service, mut checked, mut last_valid) = (None::<Service>, 0, 0);
    // After an invalid version each front end keeps the last valid one that it was offered, so the last one
    // is valid.
    for version in 1..=versions {
        if version % (versions / kills).max(1) == 1 {
            // Kills the service while polls are open and restarts it on the same port.
            drop(service.take());
            service = Some(Service::start(dir.path(), at));
        }
        service.iter_mut().for_each(Service::assert_runs);
        let invalid = version % 3 == 0;
        let text = if invalid {
            routes(version).replace("class=\"lodge\"", "class=\"gone\"")
        } else {
            routes(version)
        };
        publish_unchecked(dir.path(), Kind::Routes, version, &text);
        last_valid = if invalid { last_valid } else { version };
        // Of the paths of the reported version and its two neighbours, the front end must serve that of the
        // reported version alone. A front end that changed its version during the check is not counted.
        for rig in &rigs {
            let before = rig.running(Kind::Routes).await;
            let Some(reported) = before else { continue };
            let served = served_versions(rig, reported.saturating_sub(1)..=reported + 1).await;
            if rig.running(Kind::Routes).await == before {
                assert_eq!(served, [reported], "the reported version is {reported}");
                checked += 1;
            }
            assert!(served.iter().all(|v| v % 3 != 0), "an invalid version is served: {served:?}");
        }
    }
    for rig in &rigs {
        service.iter_mut().for_each(Service::assert_runs);
        until_running(rig, Kind::Routes, last_valid).await;
        assert_eq!(served_versions(rig, last_valid..=last_valid).await, [last_valid]);
    }
    checked
}
