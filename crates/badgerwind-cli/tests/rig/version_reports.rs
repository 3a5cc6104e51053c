//! Whether front ends tell the truth about the version that they run, judged by their behaviour alone.

use super::rig::process::Process;
use super::rig::*;
use badgerwind_config::Kind;
use badgerwind_standins::reserved::ReservedPort;
use std::net::SocketAddr;
use std::path::Path;

/// Routes of a version: the usual ones, and one that only this version has.
pub fn routes(version: u64) -> String {
    format!(
        "<badgerwind version=\"1\"><webhook><sender name=\"portal\" tenant=\"brolga\"><secret name=\"first\" file=\"portal.key\"/>\
         </sender><route path=\"/check\" sender=\"portal\" class=\"check\" function=\"check-0\"/>\
         <route path=\"/lodge\" sender=\"portal\" class=\"lodge\" function=\"lodge-0\"/>\
         <route path=\"/at/{version}\" sender=\"portal\" class=\"check\" function=\"check-0\"/></webhook></badgerwind>"
    )
}

/// What the front end runs, from its behaviour alone: which of these versions' own paths it knows.
pub async fn behaves(rig: &Rig, versions: std::ops::RangeInclusive<u64>) -> Vec<u64> {
    let mut known = Vec::new();
    for v in versions {
        if rig.send(&format!("probe-{v}-{}", rig.lines().len()), &format!("/at/{v}"), 0).await.status != 404 {
            known.push(v);
        }
    }
    known
}

/// Waits until a version runs, by the front end's word.
pub async fn until_running(rig: &Rig, kind: Kind, version: u64) {
    if !rig.comes(async || rig.running(kind).await == Some(version)).await {
        panic!("version {version} of {kind:?} does not run: {:?}", rig.config().await);
    }
}

/// The control service as a process, which dies with its handle.
pub struct Service(Process);

impl Service {
    pub fn start(folder: &Path, at: SocketAddr) -> Service {
        let args = ["control", "serve", &folder.display().to_string(), "--listen", &at.to_string()]
            .map(str::to_owned);
        let rules = ["--first", "1", "--settle-ms", "0", "--most-rejected", "1", "--most-worse", "1"];
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_badgerwind"));
        Service(Process::start("control", command.args(args).args(rules)))
    }

    /// Fails the test where the service has ended by itself.
    pub fn assert_runs(&mut self) {
        self.0.assert_runs();
    }

    #[allow(dead_code)] // benches alone look at it
    pub fn id(&self) -> u32 {
        self.0.id()
    }
}

/// Runs so many front ends, some of them processes of their own, through so many versions, every third of which cannot be, while the control service is
/// killed so many times. Panics at the first word that is not true; returns how many were checked. The number of
/// versions must not be a multiple of three: the last one is good.
pub async fn check(fronts: usize, processes: usize, versions: u64, kills: u64) -> usize {
    let dir = tempfile::tempdir().unwrap();
    let port = ReservedPort::reserve().unwrap();
    let at = port.address();
    let first = Rig::start(Plan { control: Some(("f0".into(), vec![at])), ..Plan::default() }).await;
    let mut rigs = vec![first];
    for n in 1..fronts {
        let control = Some((format!("f{n}"), vec![at]));
        let plan = Plan {
            runners: 0,
            control,
            process: n <= processes,
            beside: rigs[0].beside(),
            ..Plan::default()
        };
        rigs.push(Rig::start(plan).await);
    }
    std::fs::create_dir_all(dir.path().join("routes")).unwrap();
    let (mut service, mut checked, mut good) = (None::<Service>, 0, 0);
    // The last one is good: one that is turned down leaves each with the last good one that it was offered.
    for version in 1..=versions {
        if version % (versions / kills).max(1) == 1 {
            // Killed outright with questions open, and back a moment later on the same port.
            drop(service.take());
            service = Some(Service::start(dir.path(), at));
        }
        service.iter_mut().for_each(Service::assert_runs);
        let bad = version % 3 == 0;
        let text =
            if bad { routes(version).replace("class=\"lodge\"", "class=\"gone\"") } else { routes(version) };
        std::fs::write(dir.path().join(format!("routes/{version}.xml")), text).unwrap();
        good = if bad { good } else { version };
        // Every front end's word against its behaviour, whatever it is at: the path of what it says it runs is
        // there, those of its neighbours are not, unless it changed in between.
        for rig in &rigs {
            let before = rig.running(Kind::Routes).await;
            let Some(v) = before else { continue };
            let seen = behaves(rig, v.saturating_sub(1)..=v + 1).await;
            if rig.running(Kind::Routes).await == before {
                assert_eq!(seen, [v], "it says {v}");
                checked += 1;
            }
            assert!(seen.iter().all(|v| v % 3 != 0), "a version that was turned down ran: {seen:?}");
        }
    }
    for rig in &rigs {
        service.iter_mut().for_each(Service::assert_runs);
        until_running(rig, Kind::Routes, good).await;
        assert_eq!(behaves(rig, good..=good).await, [good]);
    }
    checked
}
