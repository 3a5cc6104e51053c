//! The fleet's budgets in a front end: the deciders of `badgerwind-budgets` and `badgerwind-members` over the datagrams
//! between front ends. A unit is spent under the lock that its lease is looked at under; the module is told its parts as an
//! ordinary input. Nothing of the rules rests on it: a front end that hears nobody has its floors and the rules of before.

use crate::clock::Clock;
use crate::dispatch::Input;
use crate::metrics::{ByBudget, Metrics};
use crate::peers::Peers;
use async_channel::Sender;
use badgerwind::interface::{LocalQuotas, Settings as RouterSettings};
use badgerwind_budgets::demand::reserve;
use badgerwind_budgets::{Demand, Member, Message, Node, Recipient, SettingsError, Time, UnitState};
use badgerwind_members::{Members, Message as MembersMessage};
use badgerwind_settings::{BudgetResource, Budgets, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One line of a budget's ownership in the log, at most, in this time.
const LOG_SPAN: u64 = 1_000_000;

/// A budget as it stands here.
struct Here {
    demand: Demand,
    refused: u64,
    /// What was logged last, when it may be logged again, and changes since.
    logged: (usize, Time, u32),
}

struct State {
    budgets: Budgets,
    /// Whose quotas the tenants' budgets divide.
    router: RouterSettings,
    node: Node,
    members: Members,
    here: Vec<Here>,
    told: Option<LocalQuotas>,
    rng: StdRng,
    coordinator: Option<Member>,
}

pub(crate) struct Shares {
    clock: Clock,
    peers: Arc<Peers>,
    report: Sender<Input>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

impl Shares {
    /// `None` where the settings name no budgets.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        report: Sender<Input>,
        metrics: Arc<Metrics>,
    ) -> Option<Arc<Shares>> {
        let budgets = settings.budgets.clone()?;
        let (now, mut rng) = (clock.now(), StdRng::seed_from_u64(fastrand::u64(..)));
        let me = (settings.router.my_number as Member, now);
        let node =
            Node::new(now, me, budgets.limit_set.clone(), budgets.lease_settings.clone(), rng.random());
        let others = peers.peers.iter().filter_map(|(n, _)| Member::try_from(*n).ok());
        let members = Members::new(
            now,
            me,
            others,
            badgerwind_members::DetectionSettings::for_period(budgets.lease_settings.request_interval),
        );
        let here = |(limit, b): (&badgerwind_budgets::Limit, &badgerwind_settings::Budget)| Here {
            demand: Demand::new(limit.cooldown, b.resource == BudgetResource::Orders),
            refused: 0,
            logged: (0, 0, 0),
        };
        let here = budgets.limit_set.limits.iter().zip(&budgets.budgets).map(here).collect();
        let router = settings.router.clone();
        let state =
            Mutex::new(State { budgets, router, node, members, here, told: None, rng, coordinator: None });
        Some(Arc::new(Shares { clock, peers, report, metrics, state }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another version of the limits. Refused as a whole where it cannot follow the one that runs.
    pub(crate) fn change(&self, next: &Budgets) -> Result<(), SettingsError> {
        let mut state = self.state();
        if next.budgets != state.budgets.budgets || next.lease_settings != state.budgets.lease_settings {
            return Err(SettingsError::IncompatibleChange(next.limit_set.version));
        }
        let now = self.clock.now();
        state.node.apply_limits(now, &next.limit_set)?;
        if next.limit_set.version > state.budgets.limit_set.version {
            tracing::info!(version = next.limit_set.version, "the limits of the budgets changed");
            state.budgets = next.clone();
        }
        Ok(())
    }

    /// Other settings run: quotas may differ, and tenants stand at other places. What owns which unit stays as it is.
    pub(crate) fn follow(&self, settings: &Settings) {
        let mut state = self.state();
        state.router = settings.router.clone();
        let Some(next) = &settings.budgets else { return };
        let names = |b: &Budgets| b.budgets.iter().map(|b| b.name.clone()).collect::<Vec<_>>();
        if names(next) == names(&state.budgets) {
            state.budgets.budgets = next.budgets.clone();
        }
    }

    /// Whether a load order may go out: a unit is spent if so.
    pub(crate) fn order(&self) -> bool {
        let mut state = self.state();
        // The time is taken under the lock: a wait for it must not make a lease longer.
        let now = self.clock.now();
        let Some(n) = state.budgets.budgets.iter().position(|b| b.resource == BudgetResource::Orders) else {
            return true;
        };
        state.here[n].demand.record(now, 1.0);
        let spent = state.node.spend(now, n).is_some();
        if !spent {
            state.here[n].refused += 1;
            let name = state.budgets.budgets[n].name.clone();
            self.metrics.budget_refused.get_or_create(&ByBudget { budget: name }).inc();
        }
        spent
    }

    /// A call of a tenant has come.
    pub(crate) fn called(&self, tenant: usize) {
        let mut state = self.state();
        let of = BudgetResource::Tenant(tenant);
        let Some(n) = state.budgets.budgets.iter().position(|b| b.resource == of) else { return };
        let units = units_of_a_call(&state, n, tenant);
        let now = self.clock.now();
        state.here[n].demand.record(now, units);
    }

    /// Bytes from another front end; false where they are not for the budgets.
    pub(crate) fn heard(&self, from: u32, bytes: &[u8]) -> bool {
        let Ok(from) = Member::try_from(from) else { return false };
        if let Some(message) = Message::decode(bytes) {
            let mut state = self.state();
            let now = self.clock.now();
            let answer = state.node.receive(now, from, &message);
            drop(state);
            answer.into_iter().for_each(|a| self.peers.tell(Some(u32::from(from)), &a.encode()));
            return true;
        }
        let Some(message) = MembersMessage::decode(bytes) else { return false };
        let mut state = self.state();
        let now = self.clock.now();
        let out = state.members.receive(now, from, &message);
        drop(state);
        self.send_members(out);
        true
    }

    fn send_members(&self, out: Vec<(Member, MembersMessage)>) {
        out.iter().for_each(|(to, message)| self.peers.tell(Some(u32::from(*to)), &message.encode()));
    }

    /// Says what is due, and tells the module its parts, for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let pace = Duration::from_micros(self.state().node.tick_interval());
        loop {
            if let Some(parts) = self.tick(pace) {
                if self.report.send(Input::Parts(parts)).await.is_err() {
                    return;
                }
            }
            smol::Timer::after(pace).await;
        }
    }

    fn tick(&self, pace: Duration) -> Option<LocalQuotas> {
        let mut state = self.state();
        let now = self.clock.now();
        let State { budgets, router, node, members, here, told, rng, coordinator } = &mut *state;
        let messages = members.tick(now, &mut |n| rng.random_range(0..n.max(1)));
        let there = members.alive_count();
        for (n, (here, limit)) in here.iter_mut().zip(&budgets.limit_set.limits).enumerate() {
            let owned = node.owned(now, n).len();
            let granted = limit.grantable().len();
            node.set_wanted(n, here.demand.estimate(now, owned, reserve(granted, there)));
        }
        let out = node.tick(now, rng.random());
        for (n, b) in budgets.budgets.iter().enumerate() {
            let owned = node.owned(now, n).len();
            let label = ByBudget { budget: b.name.clone() };
            self.metrics.budget_owned.get_or_create(&label).set(owned as i64);
            self.metrics.budget_whole.get_or_create(&label).set(i64::from(budgets.limit_set.limits[n].units));
            let (last, again, passed) = &mut here[n].logged;
            if owned != *last {
                *passed += 1;
            }
            if *passed > 0 && now >= *again {
                let (of, from) = (budgets.limit_set.limits[n].units, *last);
                tracing::info!(budget = %b.name, owned, from, of, changes = *passed, "owned units changed");
                (*last, *again, *passed) = (owned, now + LOG_SPAN, 0);
            }
        }
        if node.believed_coordinator() != *coordinator {
            *coordinator = node.believed_coordinator();
            tracing::info!(coordinator = ?*coordinator, "another lease coordinator of the budgets");
        }
        self.metrics.members_there.set(there as i64);
        self.metrics.keeper.set(i64::from(node.is_coordinator(now)));
        // What will still count when the module is told next: a lease that ends before is not promised to it.
        let at = now + pace.as_micros() as Time;
        let parts = parts(budgets, node, at, router);
        let news = told.as_ref() != Some(&parts);
        *told = Some(parts.clone());
        drop(state);
        for (to, message) in &out {
            let bytes = message.encode();
            match to {
                Recipient::All => self.peers.tell(None, &bytes),
                Recipient::One(to) => self.peers.tell(Some(u32::from(*to)), &bytes),
                Recipient::Voters => {
                    let voters = self.state().budgets.lease_settings.voters.clone();
                    voters.iter().for_each(|v| self.peers.tell(Some(u32::from(*v)), &bytes));
                }
            }
        }
        self.send_members(messages);
        news.then_some(parts)
    }

    /// Tells the others that this one goes; they need not suspect it first.
    pub(crate) fn leave(&self) {
        let messages = self.state().members.leave();
        self.send_members(messages);
    }

    /// All that is known here, for operators.
    pub(crate) fn report(&self) -> Value {
        let mut state = self.state();
        let now = self.clock.now();
        let State { budgets, node, members, here, .. } = &mut *state;
        let is_coordinator = node.is_coordinator(now);
        let ms = |at: Time| at.saturating_sub(now) / 1000;
        let rows: Vec<Value> = (budgets.budgets.iter().zip(&budgets.limit_set.limits).enumerate())
            .map(|(n, (b, limit))| {
                let tenant = match b.resource {
                    BudgetResource::Orders => None,
                    BudgetResource::Tenant(t) => Some(t),
                };
                let standings = node.unit_states(now, n).map(|all| {
                    let mut by: Vec<Value> = Vec::new();
                    for (unit, standing) in all {
                        let (state, member, left) = match standing {
                            UnitState::Owned(m, until) => ("owned", Some(m), ms(until)),
                            UnitState::CoolingDown(until) => ("rests", None, ms(until)),
                            UnitState::Free => ("free", None, 0),
                        };
                        match by.last_mut().filter(|l| {
                            l["state"] == state && l["member"] == json!(member) && l["ms"] == left
                        }) {
                            Some(last) => last["to"] = json!(unit),
                            None => by.push(json!({
                                "state": state, "member": member, "ms": left, "from": unit, "to": unit,
                            })),
                        }
                    }
                    by
                });
                json!({
                    "name": b.name,
                    "of": if tenant.is_some() { "tenant" } else { "orders" },
                    "units": limit.units,
                    "floor": limit.floor,
                    "window_ms": limit.cooldown / 1000,
                    "owned": node.owned(now, n).len(),
                    "owned_floor": limit.floor_of(members.me()).len(),
                    "ranges": node.owned(now, n).ranges(),
                    "until_ms": ms(node.lease_end(n)),
                    "wants": node.wanted(n),
                    "asked_lately": here[n].demand.in_window(now),
                    "wait_ms": node.wait_time(now, n).map(|w| w / 1000),
                    "refused": here[n].refused,
                    "standings": standings,
                })
            })
            .collect();
        let seen: Vec<Value> = members
            .view()
            .map(|(m, s)| json!({ "member": m, "state": s.state_name(), "life": s.incarnation, "round": s.refutations }))
            .collect();
        json!({
            "number": members.me(),
            "version": budgets.limit_set.version,
            "voters": budgets.lease_settings.voters,
            "keeper": node.believed_coordinator(),
            "reigns": is_coordinator,
            "lease_ms": budgets.lease_settings.lease / 1000,
            "health": members.local_health(),
            "members": seen,
            "budgets": rows,
        })
    }
}

/// A call's part of a tenant's quota within the window, in units.
fn units_of_a_call(state: &State, n: usize, tenant: usize) -> f64 {
    let limit = &state.budgets.limit_set.limits[n];
    let quota = state.router.tenants.get(tenant).and_then(|t| t.quota_per_s).unwrap_or(0.0);
    let calls = quota * limit.cooldown as f64 / 1e6;
    f64::from(limit.units) / calls.max(1e-9)
}

fn parts(budgets: &Budgets, node: &Node, at: Time, router: &RouterSettings) -> LocalQuotas {
    let mut parts = LocalQuotas { orders: None, tenants: vec![None; router.tenants.len()] };
    for (n, (b, limit)) in budgets.budgets.iter().zip(&budgets.limit_set.limits).enumerate() {
        let usable = node.usable(at, n) as f64;
        match b.resource {
            BudgetResource::Orders => parts.orders = Some(usable),
            BudgetResource::Tenant(t) => {
                let quota = router.tenants.get(t).and_then(|t| t.quota_per_s);
                if let (Some(part), Some(quota)) = (parts.tenants.get_mut(t), quota) {
                    *part = Some(quota * usable / f64::from(limit.units));
                }
            }
        }
    }
    parts
}

#[cfg(test)]
#[path = "../tests/unit/shares.rs"]
mod tests;
