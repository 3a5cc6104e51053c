//! Front ends that serve, as processes, with one budget of load orders between them: killed, stopped, cut off. What they spend
//! is counted at the runners; the verdicts are on sums and on what comes to be, none on speed.

mod rig;

use badgerwind_check::What;
use badgerwind_cli::budgets::Net;
use badgerwind_cli::fleet::{ask, Word};
use rig::{Plan, Rig};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const UNITS: u16 = 24;
const WINDOW: u64 = 2_000_000;
const FUNCTIONS: usize = 400;

/// Settings of one of so many front ends: everything that it serves has to be ordered first.
fn edits(n: usize, net: &Net, units: u16) -> Vec<(&'static str, String)> {
    let members = net.relays.len();
    let peer = |m: usize| format!("<peer number=\"{m}\" address=\"{}\"/>", net.relays[m]);
    let peers: String = (0..members).filter(|m| *m != n).map(peer).collect();
    let voters: String = (0..members.min(3)).map(|v| format!("<voter number=\"{v}\"/>")).collect();
    let functions: String = (0..FUNCTIONS)
        .map(|f| format!("<function name=\"f{f}\" memory-mb=\"100\" lanes=\"8\" load-time=\"5ms\"/>"))
        .collect();
    vec![
        ("front-ends=\"1\" number=\"0\"", format!("front-ends=\"{members}\" number=\"{n}\"")),
        ("when-absent=\"load\"", "when-absent=\"miss\"".into()),
        ("fall-window=\"1.5s\"", "fall-window=\"1.5s\" load-window=\"2s\" load-free=\"1000\"".into()),
        ("<function name=\"check-0\"", format!("{functions}<function name=\"check-0\"")),
        ("<route path=\"/check\" sender=\"portal\" class=\"check\" function=\"check-0\"/>",
         "<route path=\"/check/*\" sender=\"portal\" class=\"check\"/>".into()),
        ("<metrics", format!(
            "<peers listen=\"{}\" key-file=\"runners.key\">{peers}</peers>\
             <budgets version=\"1\" lease=\"600ms\" vote=\"200ms\" beat=\"100ms\" drift=\"10000\">{voters}\
             <budget name=\"fetches\" of=\"orders\" units=\"{units}\" floor=\"1\" window=\"2s\"/></budgets><metrics",
            net.listen[n]
        )),
    ]
}

/// Front ends beside each other. The first keeps the stand-ins.
struct Fleet {
    net: Net,
    fronts: BTreeMap<usize, Rig>,
    callers: Vec<(Arc<AtomicBool>, smol::Task<usize>)>,
    called: usize,
}

impl Fleet {
    async fn start(members: usize) -> Fleet {
        let net = Net::start(members, 11).unwrap();
        let mut spec = Plan::default().spec;
        (spec.loads_when_absent, spec.memory_mb) = (false, 1e6);
        let plan = Plan { runners: 3, spec, process: true, edits: edits(0, &net, UNITS), ..Plan::default() };
        let mut fleet = Fleet { fronts: BTreeMap::new(), callers: Vec::new(), called: 0, net };
        fleet.fronts.insert(0, Rig::start(plan).await);
        for n in 1..members {
            fleet.begin(n).await;
        }
        fleet
    }

    async fn begin(&mut self, n: usize) {
        let beside = self.fronts[&0].beside();
        let edits = edits(n, &self.net, UNITS);
        let plan = Plan { runners: 0, process: true, edits, beside, ..Plan::default() };
        self.fronts.insert(n, Rig::start(plan).await);
    }

    fn kill(&mut self, n: usize) {
        drop(self.fronts.remove(&n));
    }

    fn signal(&self, n: usize, what: &str) {
        let id = self.fronts[&n].process_id().unwrap().to_string();
        assert!(Command::new("kill").args([what, &id]).status().unwrap().success());
    }

    /// Calls for ever other functions at a front end until told to end: more than the whole would load.
    fn call(&mut self, n: usize) {
        let over = Arc::new(AtomicBool::new(false));
        let (to, key, ends) = (self.fronts[&n].to, self.fronts[&n].key.clone(), over.clone());
        let first = self.called * 37;
        self.called += 1;
        let task = smol::spawn(async move {
            let mut answered = 0;
            for f in first.. {
                if ends.load(Ordering::Relaxed) {
                    break;
                }
                let (id, path) = (format!("m-{n}-{first}-{f}"), format!("/check/f{}", f % FUNCTIONS));
                let (deadline, body) = (std::time::Duration::from_secs(10), b"{}".to_vec());
                let message = badgerwind_cli::send::Message {
                    id: &id,
                    path: &path,
                    deadline,
                    retry: false,
                    callback: None,
                    body,
                };
                let sent = async { badgerwind_cli::send::post(to, &key, message).await };
                let pause = smol::Timer::after(std::time::Duration::from_millis(15));
                let (got, _) = futures_lite::future::zip(sent, pause).await;
                answered += usize::from(got.is_ok());
            }
            answered
        });
        self.callers.push((over, task));
    }

    async fn words(&self) -> Vec<Word> {
        let mut words = Vec::new();
        for rig in self.fronts.values() {
            words.extend(ask(rig.metrics).await);
        }
        words
    }

    async fn until(&self, what: &str, holds: impl Fn(&[Word]) -> bool) {
        for _ in 0..600 {
            if holds(&self.words().await) {
                return;
            }
            smol::Timer::after(std::time::Duration::from_millis(50)).await;
        }
        panic!("it never came that {what}: {:#?}", self.words().await);
    }

    /// Ends the calls; how many were answered, and the largest number of orders that the runners saw within half a window:
    /// what is on its way may bring two windows' orders nearer together, not by half of one.
    async fn end(mut self) -> (usize, usize, usize) {
        self.callers.iter().for_each(|(over, _)| over.store(true, Ordering::Relaxed));
        let mut answered = 0;
        for (_, task) in self.callers.drain(..) {
            answered += task.await;
        }
        let mut at: Vec<u64> = self.fronts[&0]
            .lines()
            .into_iter()
            .filter(|l| matches!(l.what, What::Ordered { copies: 1.., .. }))
            .map(|l| l.at)
            .collect();
        at.sort_unstable();
        let within = |t: &u64| at.iter().filter(|u| (*t..*t + WINDOW / 2).contains(u)).count();
        (answered, at.len(), at.iter().map(within).max().unwrap_or(0))
    }
}

fn owned(words: &[Word]) -> usize {
    words.iter().map(|w| w.budgets[0].owned).sum()
}

#[test]
fn what_front_ends_spend_together_stays_within_the_whole_when_most_are_killed_and_the_others_get_it() {
    smol::block_on(async {
        let mut fleet = Fleet::start(7).await;
        (0..7).for_each(|n| fleet.call(n));
        fleet
            .until("all know a keeper and each other", |words| {
                words.iter().all(|w| w.keeper.is_some() && w.members.iter().all(|m| m.state == "alive"))
            })
            .await;
        fleet.until("all of it is owned", |words| owned(words) == usize::from(UNITS)).await;
        // Five of seven, a voter among them. Static shares would leave two sevenths.
        (2..7).for_each(|n| fleet.kill(n));
        fleet
            .until("the others own all but the floors of the dead", |words| {
                owned(words) == usize::from(UNITS) - 5
                    && words.iter().all(|w| w.members.iter().filter(|m| m.state == "alive").count() == 1)
            })
            .await;
        for n in 2..7 {
            fleet.begin(n).await;
            fleet.call(n);
        }
        fleet.until("each has a part again", |words| words.iter().all(|w| w.budgets[0].owned > 1)).await;
        let (answered, orders, most) = fleet.end().await;
        println!(
            "{answered} calls answered, {orders} orders, {most} of {UNITS} at most within half a window"
        );
        assert!(answered > 0 && orders > usize::from(UNITS), "the budget was in use: {answered}, {orders}");
        assert!(most <= usize::from(UNITS), "{most} orders of {UNITS}");
    });
}

#[test]
fn one_stopped_for_longer_than_its_lease_orders_nothing_by_it_after() {
    smol::block_on(async {
        let mut fleet = Fleet::start(4).await;
        (0..4).for_each(|n| fleet.call(n));
        fleet.until("all of it is owned", |words| owned(words) == usize::from(UNITS)).await;
        for n in [3, 0] {
            fleet.signal(n, "-STOP");
            let others = |words: &[Word]| {
                words.iter().filter(|w| usize::from(w.number) != n).map(|w| w.budgets[0].owned).sum::<usize>()
            };
            // A stopped process does not answer: only the others are asked.
            let rig = fleet.fronts.remove(&n).unwrap();
            fleet.until("the others own what it had", |words| others(words) + 1 >= usize::from(UNITS)).await;
            fleet.fronts.insert(n, rig);
            fleet.signal(n, "-CONT");
            fleet
                .until("it has a part again", |words| {
                    words.iter().any(|w| usize::from(w.number) == n && w.budgets[0].owned > 1)
                })
                .await;
        }
        let (answered, orders, most) = fleet.end().await;
        println!(
            "{answered} calls answered, {orders} orders, {most} of {UNITS} at most within half a window"
        );
        assert!(
            most <= usize::from(UNITS) && orders > usize::from(UNITS),
            "{most} orders of {UNITS}, {orders} in all"
        );
    });
}
