//! Tenants' shares, and the messages between front ends that estimate rates and loads over all of them.

use crate::{interface::*, message, records::*, router::Router};

pub(crate) const RATE_SPAN: f64 = 0.25; // Time constant of a tenant's rate, as a share of the keep-alive.
const PEER_RATES_VALID: f64 = 0.75; // Validity of other front ends' rates, as a share of the keep-alive.
const MESSAGES: f64 = 16.0; // Messages to another front end in a keep-alive.
pub(crate) const MAX_TENANTS: usize = 60; // Tenants in one message.
pub(crate) const LOAD_SPAN: f64 = 0.3; // Time constant of a worker's load, as a share of the keep-alive.

impl Router {
    /// Whether a request's tenant exceeds its share: this front end's part of it if known, else the quota.
    pub(crate) fn over_share(&self, open: &OpenRequest) -> bool {
        let quota = self.settings.tenants.get(open.tenant).and_then(|tenant| tenant.quota_per_s);
        let local_quota = self.state.quotas.tenants.get(open.tenant).copied().flatten();
        let over_quota = |rate| quota.is_some_and(|quota| self.fleet_rate(open.tenant, rate) > quota);
        let over = |rate| local_quota.map_or(over_quota(rate), |quota| rate > quota);
        self.local_rate(open.tenant).is_some_and(over)
    }

    /// Requests a second of a tenant at this front end.
    pub(crate) fn local_rate(&self, tenant: usize) -> Option<f64> {
        self.state.tenant_rate.get(tenant).map(|rate| rate.get(self.now, self.keep_alive() * RATE_SPAN))
    }

    /// Requests a second of a tenant at all front ends, from recent messages, scaled up for silent ones.
    /// Guards against unequal front ends: busy ones would overestimate the sum by scaling up their own rate.
    pub(crate) fn fleet_rate(&self, tenant: usize, local: f64) -> f64 {
        let from = self.now.saturating_sub((self.keep_alive() * PEER_RATES_VALID) as Micros);
        let (sum, count) = self.state.sum_peer_rates(tenant, from);
        (local + sum) * f64::from(self.settings.front_ends.max(1)) / (1.0 + count)
    }

    /// Time between two messages of a front end.
    pub(crate) fn message_interval(&self) -> Micros {
        (self.keep_alive() / MESSAGES) as Micros
    }

    /// Sends a randomly drawn front end the tenants' rates and half of what is known of workers' loads. With
    /// many front ends each sees few calls, and would learn too late from its own alone.
    pub(crate) fn send_message(&mut self, actions: &mut Actions) {
        let others = self.settings.front_ends.saturating_sub(1);
        if !self.settings.may_message || others == 0 || self.now < self.state.next_message_at {
            return;
        }
        let (now, span) = (self.now, self.keep_alive() * LOAD_SPAN);
        self.state.next_message_at = now + self.message_interval();
        let tenants = 0..self.settings.tenants.len().min(MAX_TENANTS);
        let rates: Vec<f64> = tenants.map(|tenant| self.local_rate(tenant).unwrap_or(0.0)).collect();
        self.state.forget_peer_rates(now.saturating_sub((self.keep_alive() * PEER_RATES_VALID) as Micros));
        let loads = self.state.best_known_loads(now, span).into_iter();
        let bytes = message::encode(&rates, loads, |id| self.state.split_load(id, now, span));
        let to = (self.settings.my_number + 1 + self.rng.u32(0..others)) % self.settings.front_ends;
        actions.push(Action::SendMessage { to: Some(to), bytes });
    }
}
