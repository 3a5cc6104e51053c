//! The fleet's budgets in a front end: runs the state machines of `badgerwind-budgets` and
//! `badgerwind-members` over the datagrams between front ends. A lease is checked and its unit spent under
//! one lock. The decision module receives its local quotas as an ordinary input. A front end that receives no
//! messages keeps its floors and its local limits.

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

/// Least time between two log lines on the ownership of one budget, in microseconds.
const LOG_INTERVAL: u64 = 1_000_000;

/// The local state of a budget.
struct BudgetState {
    demand: Demand,
    refused: u64,
    /// The number of owned units logged last, the earliest time of the next log line, and the changes since.
    logged: (usize, Time, u32),
}

struct State {
    budgets: Budgets,
    /// Holds the tenants' quotas, which their budgets divide.
    router: RouterSettings,
    node: Node,
    members: Members,
    local: Vec<BudgetState>,
    /// The quotas sent to the module last.
    last_quotas: Option<LocalQuotas>,
    rng: StdRng,
    coordinator: Option<Member>,
}

/// This front end's share of the fleet's budgets.
pub(crate) struct BudgetShares {
    clock: Clock,
    peers: Arc<Peers>,
    inputs: Sender<Input>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

impl BudgetShares {
    /// `None` where the settings name no budgets.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        inputs: Sender<Input>,
        metrics: Arc<Metrics>,
    ) -> Option<Arc<BudgetShares>> {
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
        let state_of = |(limit, b): (&badgerwind_budgets::Limit, &badgerwind_settings::Budget)| BudgetState {
            demand: Demand::new(limit.cooldown, b.resource == BudgetResource::Orders),
            refused: 0,
            logged: (0, 0, 0),
        };
        let local = budgets.limit_set.limits.iter().zip(&budgets.budgets).map(state_of).collect();
        let router = settings.router.clone();
        let state = Mutex::new(State {
            budgets,
            router,
            node,
            members,
            local,
            last_quotas: None,
            rng,
            coordinator: None,
        });
        Some(Arc::new(BudgetShares { clock, peers, inputs, metrics, state }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies another version of the limits; it is rejected as a whole if it cannot follow the current one.
    pub(crate) fn apply_limits(&self, next: &Budgets) -> Result<(), SettingsError> {
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

    /// Applies other settings, in which quotas and the order of tenants may differ. Ownership of units does
    /// not change.
    pub(crate) fn apply_settings(&self, settings: &Settings) {
        let mut state = self.state();
        state.router = settings.router.clone();
        let Some(next) = &settings.budgets else { return };
        let names = |b: &Budgets| b.budgets.iter().map(|b| b.name.clone()).collect::<Vec<_>>();
        if names(next) == names(&state.budgets) {
            state.budgets.budgets = next.budgets.clone();
        }
    }

    /// Spends a unit for a load order; false if none is available.
    pub(crate) fn try_spend_order(&self) -> bool {
        let mut state = self.state();
        // The time is read under the lock, so that waiting for the lock does not extend a lease.
        let now = self.clock.now();
        let Some(n) = state.budgets.budgets.iter().position(|b| b.resource == BudgetResource::Orders) else {
            return true;
        };
        state.local[n].demand.record(now, 1.0);
        let spent = state.node.spend(now, n).is_some();
        if !spent {
            state.local[n].refused += 1;
            let name = state.budgets.budgets[n].name.clone();
            self.metrics.budget_refused.get_or_create(&ByBudget { budget: name }).inc();
        }
        spent
    }

    /// Records a call of a tenant as demand.
    pub(crate) fn record_call(&self, tenant: usize) {
        let mut state = self.state();
        let resource = BudgetResource::Tenant(tenant);
        let Some(n) = state.budgets.budgets.iter().position(|b| b.resource == resource) else { return };
        let units = units_per_call(&state, n, tenant);
        let now = self.clock.now();
        state.local[n].demand.record(now, units);
    }

    /// Handles a message from another front end; false if it concerns neither budgets nor membership.
    pub(crate) fn receive(&self, from: u32, bytes: &[u8]) -> bool {
        let Ok(from) = Member::try_from(from) else { return false };
        if let Some(message) = Message::decode(bytes) {
            let mut state = self.state();
            let now = self.clock.now();
            let answer = state.node.receive(now, from, &message);
            drop(state);
            answer.into_iter().for_each(|a| self.peers.send(Some(u32::from(from)), &a.encode()));
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
        out.iter().for_each(|(to, message)| self.peers.send(Some(u32::from(*to)), &message.encode()));
    }

    /// Runs the periodic tick and reports the local quotas to the module, for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let interval = Duration::from_micros(self.state().node.tick_interval());
        loop {
            if let Some(quotas) = self.tick(interval) {
                if self.inputs.send(Input::LocalQuotas(quotas)).await.is_err() {
                    return;
                }
            }
            smol::Timer::after(interval).await;
        }
    }

    fn tick(&self, interval: Duration) -> Option<LocalQuotas> {
        let mut state = self.state();
        let now = self.clock.now();
        let State { budgets, router, node, members, local, last_quotas, rng, coordinator } = &mut *state;
        let messages = members.tick(now, &mut |n| rng.random_range(0..n.max(1)));
        let alive = members.alive_count();
        for (n, (budget, limit)) in local.iter_mut().zip(&budgets.limit_set.limits).enumerate() {
            let owned = node.owned(now, n).len();
            let granted = limit.grantable().len();
            node.set_wanted(n, budget.demand.estimate(now, owned, reserve(granted, alive)));
        }
        let out = node.tick(now, rng.random());
        for (n, b) in budgets.budgets.iter().enumerate() {
            let owned = node.owned(now, n).len();
            let label = ByBudget { budget: b.name.clone() };
            self.metrics.budget_owned.get_or_create(&label).set(owned as i64);
            self.metrics.budget_total.get_or_create(&label).set(i64::from(budgets.limit_set.limits[n].units));
            let (last, next_log, changes) = &mut local[n].logged;
            if owned != *last {
                *changes += 1;
            }
            if *changes > 0 && now >= *next_log {
                let (of, from) = (budgets.limit_set.limits[n].units, *last);
                tracing::info!(budget = %b.name, owned, from, of, changes = *changes, "owned units changed");
                (*last, *next_log, *changes) = (owned, now + LOG_INTERVAL, 0);
            }
        }
        if node.believed_coordinator() != *coordinator {
            *coordinator = node.believed_coordinator();
            tracing::info!(coordinator = ?*coordinator, "the lease coordinator of the budgets changed");
        }
        self.metrics.live_members.set(alive as i64);
        self.metrics.is_coordinator.set(i64::from(node.is_coordinator(now)));
        // The quotas cover the time until the next tick: units whose lease ends before then are not included.
        let at = now + interval.as_micros() as Time;
        let quotas = local_quotas(budgets, node, at, router);
        let changed = last_quotas.as_ref() != Some(&quotas);
        *last_quotas = Some(quotas.clone());
        drop(state);
        for (to, message) in &out {
            let bytes = message.encode();
            match to {
                Recipient::All => self.peers.send(None, &bytes),
                Recipient::One(to) => self.peers.send(Some(u32::from(*to)), &bytes),
                Recipient::Voters => {
                    let voters = self.state().budgets.lease_settings.voters.clone();
                    voters.iter().for_each(|v| self.peers.send(Some(u32::from(*v)), &bytes));
                }
            }
        }
        self.send_members(messages);
        changed.then_some(quotas)
    }

    /// Announces the departure of this front end, so that the others need not detect it.
    pub(crate) fn leave(&self) {
        let messages = self.state().members.leave();
        self.send_members(messages);
    }

    /// The state of budgets and members, for operators.
    pub(crate) fn report(&self) -> Value {
        let mut state = self.state();
        let now = self.clock.now();
        let State { budgets, node, members, local, .. } = &mut *state;
        let is_coordinator = node.is_coordinator(now);
        let ms_until = |at: Time| at.saturating_sub(now) / 1000;
        let rows: Vec<Value> = (budgets.budgets.iter().zip(&budgets.limit_set.limits).enumerate())
            .map(|(n, (b, limit))| {
                let tenant = match b.resource {
                    BudgetResource::Orders => None,
                    BudgetResource::Tenant(t) => Some(t),
                };
                let unit_ranges = node.unit_states(now, n).map(|all| {
                    let mut ranges: Vec<Value> = Vec::new();
                    for (unit, unit_state) in all {
                        let (state, member, left) = match unit_state {
                            UnitState::Owned(m, until) => ("owned", Some(m), ms_until(until)),
                            UnitState::CoolingDown(until) => ("rests", None, ms_until(until)),
                            UnitState::Free => ("free", None, 0),
                        };
                        match ranges.last_mut().filter(|l| {
                            l["state"] == state && l["member"] == json!(member) && l["ms"] == left
                        }) {
                            Some(last) => last["to"] = json!(unit),
                            None => ranges.push(json!({
                                "state": state, "member": member, "ms": left, "from": unit, "to": unit,
                            })),
                        }
                    }
                    ranges
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
                    "until_ms": ms_until(node.lease_end(n)),
                    "wants": node.wanted(n),
                    "asked_lately": local[n].demand.in_window(now),
                    "wait_ms": node.wait_time(now, n).map(|w| w / 1000),
                    "refused": local[n].refused,
                    "standings": unit_ranges,
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

/// How many units of a tenant's budget one call uses.
fn units_per_call(state: &State, n: usize, tenant: usize) -> f64 {
    let limit = &state.budgets.limit_set.limits[n];
    let quota = state.router.tenants.get(tenant).and_then(|t| t.quota_per_s).unwrap_or(0.0);
    let calls = quota * limit.cooldown as f64 / 1e6;
    f64::from(limit.units) / calls.max(1e-9)
}

/// The quotas that this front end may use at a given time, by the units that it owns then.
fn local_quotas(budgets: &Budgets, node: &Node, at: Time, router: &RouterSettings) -> LocalQuotas {
    let mut quotas = LocalQuotas { orders: None, tenants: vec![None; router.tenants.len()] };
    for (n, (b, limit)) in budgets.budgets.iter().zip(&budgets.limit_set.limits).enumerate() {
        let usable = node.usable(at, n) as f64;
        match b.resource {
            BudgetResource::Orders => quotas.orders = Some(usable),
            BudgetResource::Tenant(t) => {
                let quota = router.tenants.get(t).and_then(|t| t.quota_per_s);
                if let (Some(local), Some(quota)) = (quotas.tenants.get_mut(t), quota) {
                    *local = Some(quota * usable / f64::from(limit.units));
                }
            }
        }
    }
    quotas
}

#[cfg(test)]
#[path = "../tests/unit/shares.rs"]
mod tests;
