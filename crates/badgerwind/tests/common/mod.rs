//! Settings for tests, and a router whose events and actions are checked against the rules.
#![allow(dead_code)]

use badgerwind::interface::*;
use badgerwind::Router;
use std::collections::BTreeMap;

pub const MS: u64 = 1000;

pub fn settings(effect: Effect) -> Settings {
    let class = Class {
        aim: 1000 * MS,
        deadline: 3000 * MS,
        aim_stretch: 0.0,
        effect,
        group: Group::Zone,
        window: 2000 * MS,
        worth: 1.0,
        late_worth: 0.2,
        streaming: false,
    };
    Settings {
        front_ends: 2,
        my_number: 0,
        my_zone: 0,
        classes: vec![class],
        tenants: vec![],
        over_share_worth: 0.1,
        discovery: Discovery::Push,
        ask_within: 10_000 * MS,
        when_absent: WhenAbsent::Miss,
        keep_alive: 10_000 * MS,
        memory_mb: vec![8000.0],
        order_timeout: 10_000 * MS,
        may_order: true,
        marks_warm: true,
        marks_crowd: true,
        load_window: 5000 * MS,
        load_free: 2.0,
        load_share: 0.2,
        idle_price: 0.0,
        fetch_price: 0.1,
        zone_price: 0.0,
        max_attempts: 3,
        may_cancel: true,
        may_duplicate: false,
        may_probe: true,
        may_message: false,
        max_retry_after: 0,
        answer_slack: 8 * MS,
        drain_grace: 500 * MS,
        cold_from: 0.2,
        warm_after: 15_000 * MS,
        fall_multiple: 2.5,
        fall_window: 1500 * MS,
        round: 2 * MS,
        report_mode: ReportMode::None,
        report_fields: vec![],
    }
}

pub fn entry(worker: WorkerId, availability: Availability, born: Option<Time>) -> WorkerEntry {
    WorkerEntry { worker, zone: worker % 2, cell: worker / 2, kind: 0, size: 1.0, availability, born }
}

pub fn request(id: &str, function: &str, due: Time) -> Request {
    Request {
        id: id.into(),
        retry: false,
        tenant: 0,
        hint: None,
        function: function.into(),
        memory_mb: 400.0,
        lanes: 2,
        class: 0,
        due,
        load_time: Some(600 * MS),
    }
}

/// An attempt as the check sees it.
pub struct AttemptRecord {
    pub worker: WorkerId,
    pub at: Time,
    pub ended: Option<Outcome>,
    pub called_off: bool,
}

/// A router whose every event and action is checked against the rules.
pub struct CheckedRouter {
    pub router: Router,
    pub settings: Settings,
    pub now: Time,
    pub alarms: Vec<Time>,
    pub due: BTreeMap<RequestId, Time>,
    pub answered: BTreeMap<RequestId, Time>,
    pub attempts: BTreeMap<RequestId, Vec<AttemptRecord>>,
    pub loads: Vec<(Time, WorkerId, FunctionId, u32)>,
    pub orders: Vec<Time>,
    pub arrivals: Vec<Time>,
    pub ready: BTreeMap<WorkerId, bool>,
    pub actions: Vec<Action>,
}

impl CheckedRouter {
    pub fn new(settings: Settings, workers: u32) -> Self {
        let router = Router::new(7, settings.clone());
        let mut checked = CheckedRouter {
            router,
            settings,
            now: 1_000_000,
            alarms: vec![],
            due: BTreeMap::new(),
            answered: BTreeMap::new(),
            attempts: BTreeMap::new(),
            loads: vec![],
            orders: vec![],
            arrivals: vec![],
            ready: BTreeMap::new(),
            actions: vec![],
        };
        let entries = (1..=workers).map(|w| entry(w, Availability::Ready, None)).collect();
        checked.event(Event::List { kind: ListKind::Cached, entries });
        checked
    }

    /// Passes an event to the router, checks the resulting actions and returns them.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        match &event {
            Event::List { kind, entries } => {
                if matches!(kind, ListKind::Whole | ListKind::Cached) {
                    self.ready.values_mut().for_each(|r| *r = false);
                }
                for e in entries {
                    self.ready.insert(e.worker, e.availability == Availability::Ready);
                }
            }
            Event::Request(r) => {
                self.arrivals.push(self.now);
                self.due.insert(r.id.clone(), r.due);
            }
            Event::Answer { id, attempt, outcome, last, .. } => {
                if let Some(t) = self.attempts.get_mut(id).and_then(|t| t.get_mut(*attempt as usize)) {
                    t.ended = Some(*outcome);
                }
                if *last {
                    self.answered.insert(id.clone(), self.now);
                }
            }
            Event::ClientDisconnected { id } => {
                self.answered.insert(id.clone(), self.now);
            }
            _ => {}
        }
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in &out {
            self.check(action);
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        match action {
            Action::Send { id, worker, .. } => {
                assert!(!self.answered.contains_key(id), "sent after its final answer");
                assert!(self.ready[worker], "sent to a worker that is draining or removed");
                let class = &self.settings.classes[0];
                let tried = self.attempts.entry(id.clone()).or_default();
                assert!((tried.len() as u32) < self.settings.max_attempts, "more attempts than allowed");
                let in_flight = tried.iter().filter(|t| t.ended.is_none()).count();
                assert!(
                    in_flight <= usize::from(self.settings.may_duplicate),
                    "two attempts in flight at once"
                );
                if let Some(first) = tried.iter().find(|t| !proves_never_ran(t.ended)) {
                    match class.effect {
                        Effect::Repeatable => {}
                        Effect::Once => panic!("a once request was sent again"),
                        Effect::ByKey => {
                            assert_eq!(first.worker % 2, worker % 2, "sent again outside its zone");
                            assert!(now < first.at + class.window, "sent again after the window");
                        }
                    }
                }
                tried.push(AttemptRecord { worker: *worker, at: now, ended: None, called_off: false });
            }
            Action::Cancel { id, attempt } => {
                let t = self.attempts.get_mut(id).and_then(|t| t.get_mut(*attempt as usize));
                t.expect("cancels an attempt that was never made").called_off = true;
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                assert!(self.answered.insert(id.clone(), now).is_none(), "two final answers");
                assert!(now <= self.due[id] + self.settings.answer_slack, "answered too late");
                let never_ran =
                    self.attempts.get(id).is_none_or(|t| t.iter().all(|t| proves_never_ran(t.ended)));
                if matches!(action, Action::Refuse { .. }) {
                    assert!(
                        never_ran || self.settings.classes[0].effect == Effect::Repeatable,
                        "refused though it may have run"
                    );
                }
            }
            Action::Load { worker, function, copies } => {
                self.loads.push((now, *worker, function.clone(), *copies));
                if *copies > 0 {
                    assert!(self.ready[worker], "load ordered at a worker that is draining or removed");
                    self.orders.push(now);
                    let window = self.settings.load_window;
                    let orders = self.orders.iter().filter(|&&t| t + window >= now).count() as f64;
                    let accepted = self.arrivals.iter().filter(|&&t| t + window > now).count() as f64;
                    let allowed = self.settings.load_free + self.settings.load_share * accepted;
                    assert!(window == 0 || orders <= allowed, "{orders} orders where {allowed} are allowed");
                }
            }
            Action::SetAlarm { after, .. } => self.alarms.push(now + after),
            _ => {}
        }
    }

    pub fn request(&mut self, id: &str, function: &str, within: u64) -> Vec<Action> {
        let due = self.now + within;
        self.event(Event::Request(request(id, function, due)))
    }

    pub fn answer(&mut self, id: &str, attempt: u32, outcome: Outcome, mark: CopyMark) -> Vec<Action> {
        let id: RequestId = id.into();
        let (worker, lag) =
            self.attempts[&id].get(attempt as usize).map_or((1, 0), |t| (t.worker, self.now - t.at));
        let (last, crowd, report) = (outcome == Outcome::Ok, Some(0), None);
        self.event(Event::Answer { id, attempt, worker, outcome, last, lag, mark, crowd, report })
    }

    pub fn loaded(&mut self, order: usize, outcome: Outcome, copies: u32) -> Vec<Action> {
        let (at, worker, function, _) = self.loads[order].clone();
        self.event(Event::Loaded { worker, function, outcome, copies, lag: self.now - at })
    }

    /// Advances the time, and passes the alarms that fall due to the router.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.alarms.iter().copied().min().filter(|&t| t <= end) {
            self.alarms.retain(|&t| t != at);
            self.now = self.now.max(at);
            actions.extend(self.event(Event::Alarm { name: "sweep".into() }));
        }
        self.now = end;
        actions
    }

    pub fn sends(&self, id: &str) -> Vec<WorkerId> {
        self.attempts.get(id).map_or(vec![], |t| t.iter().map(|t| t.worker).collect())
    }
}

pub fn proves_never_ran(outcome: Option<Outcome>) -> bool {
    use Outcome::*;
    matches!(outcome, Some(Full | ConnectFailed | Moot | Miss))
}
