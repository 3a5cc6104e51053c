//! Front ends, as processes that serve calls, share one budget of load orders while some of them are killed
//! and stopped. What they spend is counted at the runners. The checks are on sums and on states that are
//! reached, none on speed.

mod rig;

use badgerwind_check::Event;
use badgerwind_cli::budgets::Net;
use badgerwind_cli::fleet::{query_budgets, BudgetsReport};
use rig::{Plan, Rig};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Units of the budget: load orders per window.
const UNITS: u16 = 24;
/// The window of the budget, in microseconds.
const WINDOW: u64 = 2_000_000;
const FUNCTIONS: usize = 400;

/// Changes of the settings for front end `n`: a copy of each function has to be ordered before it can serve.
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

/// Front ends that share stand-in runners, which the first one owns, and the tasks that call them.
struct Fleet {
    net: Net,
    fronts: BTreeMap<usize, Rig>,
    /// For each caller, the flag that ends it and its task, which returns the number of calls answered.
    callers: Vec<(Arc<AtomicBool>, smol::Task<usize>)>,
    /// Number of callers started so far.
    caller_count: usize,
}

impl Fleet {
    async fn start(members: usize) -> Fleet {
        let net = Net::start(members, 11).unwrap();
        let mut spec = Plan::default().spec;
        (spec.loads_when_absent, spec.memory_mb) = (false, 1e6);
        let plan = Plan { runners: 3, spec, process: true, edits: edits(0, &net, UNITS), ..Plan::default() };
        let mut fleet = Fleet { fronts: BTreeMap::new(), callers: Vec::new(), caller_count: 0, net };
        fleet.fronts.insert(0, Rig::start(plan).await);
        for n in 1..members {
            fleet.start_front_end(n).await;
        }
        fleet
    }

    async fn start_front_end(&mut self, n: usize) {
        let shared = self.fronts[&0].shared();
        let edits = edits(n, &self.net, UNITS);
        let plan = Plan { runners: 0, process: true, edits, shared, ..Plan::default() };
        self.fronts.insert(n, Rig::start(plan).await);
    }

    fn kill(&mut self, n: usize) {
        drop(self.fronts.remove(&n));
    }

    fn signal(&self, n: usize, what: &str) {
        let id = self.fronts[&n].process_id().unwrap().to_string();
        assert!(Command::new("kill").args([what, &id]).status().unwrap().success());
    }

    /// Starts a caller that calls one function after the other at a front end until it is ended, which takes
    /// more load orders than the budget has.
    fn start_caller(&mut self, n: usize) {
        let stop = Arc::new(AtomicBool::new(false));
        let (to, key, stopped) = (self.fronts[&n].webhook, self.fronts[&n].sender_key.clone(), stop.clone());
        let first = self.caller_count * 37;
        self.caller_count += 1;
        let task = smol::spawn(async move {
            let mut answered = 0;
            for f in first.. {
                if stopped.load(Ordering::Relaxed) {
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
        self.callers.push((stop, task));
    }

    async fn reports(&self) -> Vec<BudgetsReport> {
        let mut reports = Vec::new();
        for rig in self.fronts.values() {
            reports.extend(query_budgets(rig.metrics).await);
        }
        reports
    }

    async fn until(&self, what: &str, holds: impl Fn(&[BudgetsReport]) -> bool) {
        for _ in 0..600 {
            if holds(&self.reports().await) {
                return;
            }
            smol::Timer::after(std::time::Duration::from_millis(50)).await;
        }
        panic!("timed out waiting until {what}: {:#?}", self.reports().await);
    }

    /// Ends the callers. Returns the number of calls answered, the number of load orders, and the largest
    /// number of them that the runners received within half a window. Half, because delays on the way may
    /// bring the orders of two windows closer together, though not by half a window.
    async fn finish(mut self) -> (usize, usize, usize) {
        self.callers.iter().for_each(|(stop, _)| stop.store(true, Ordering::Relaxed));
        let mut answered = 0;
        for (_, task) in self.callers.drain(..) {
            answered += task.await;
        }
        let mut at: Vec<u64> = self.fronts[&0]
            .lines()
            .into_iter()
            .filter(|l| matches!(l.event, Event::Ordered { copies: 1.., .. }))
            .map(|l| l.at)
            .collect();
        at.sort_unstable();
        let in_half_window = |t: &u64| at.iter().filter(|u| (*t..*t + WINDOW / 2).contains(u)).count();
        (answered, at.len(), at.iter().map(in_half_window).max().unwrap_or(0))
    }
}

fn owned(reports: &[BudgetsReport]) -> usize {
    reports.iter().map(|w| w.budgets[0].owned).sum()
}

#[test]
fn front_ends_stay_within_the_budget_when_most_are_killed_and_survivors_get_their_units() {
    smol::block_on(async {
        let mut fleet = Fleet::start(7).await;
        (0..7).for_each(|n| fleet.start_caller(n));
        fleet
            .until("all know a lease coordinator and each other", |reports| {
                reports
                    .iter()
                    .all(|w| w.coordinator.is_some() && w.members.iter().all(|m| m.state == "alive"))
            })
            .await;
        fleet.until("all units are owned", |reports| owned(reports) == usize::from(UNITS)).await;
        // Kills five of seven, a voter among them. With static shares the others would keep two sevenths of
        // the budget.
        (2..7).for_each(|n| fleet.kill(n));
        fleet
            .until("the survivors own all units but the floors of the killed", |reports| {
                owned(reports) == usize::from(UNITS) - 5
                    && reports.iter().all(|w| w.members.iter().filter(|m| m.state == "alive").count() == 1)
            })
            .await;
        for n in 2..7 {
            fleet.start_front_end(n).await;
            fleet.start_caller(n);
        }
        fleet
            .until("each owns more than its floor again", |reports| {
                reports.iter().all(|w| w.budgets[0].owned > 1)
            })
            .await;
        let (answered, orders, most) = fleet.finish().await;
        println!(
            "{answered} calls answered, {orders} orders, {most} of {UNITS} at most within half a window"
        );
        assert!(answered > 0 && orders > usize::from(UNITS), "the budget was in use: {answered}, {orders}");
        assert!(most <= usize::from(UNITS), "{most} orders of {UNITS}");
    });
}

#[test]
fn a_front_end_stopped_for_longer_than_its_lease_orders_nothing_under_it_afterwards() {
    smol::block_on(async {
        let mut fleet = Fleet::start(4).await;
        (0..4).for_each(|n| fleet.start_caller(n));
        fleet.until("all units are owned", |reports| owned(reports) == usize::from(UNITS)).await;
        for n in [3, 0] {
            fleet.signal(n, "-STOP");
            let others = |reports: &[BudgetsReport]| {
                reports
                    .iter()
                    .filter(|w| usize::from(w.number) != n)
                    .map(|w| w.budgets[0].owned)
                    .sum::<usize>()
            };
            // A stopped process does not answer, so only the others are queried.
            let rig = fleet.fronts.remove(&n).unwrap();
            fleet
                .until("the others own the units of the stopped one", |reports| {
                    others(reports) + 1 >= usize::from(UNITS)
                })
                .await;
            fleet.fronts.insert(n, rig);
            fleet.signal(n, "-CONT");
            fleet
                .until("it owns more than its floor again", |reports| {
                    reports.iter().any(|w| usize::from(w.number) == n && w.budgets[0].owned > 1)
                })
                .await;
        }
        let (answered, orders, most) = fleet.finish().await;
        println!(
            "{answered} calls answered, {orders} orders, {most} of {UNITS} at most within half a window"
        );
        assert!(
            most <= usize::from(UNITS) && orders > usize::from(UNITS),
            "{most} orders of {UNITS}, {orders} in all"
        );
    });
}
