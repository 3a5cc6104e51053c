//! Tenants' shares, and what front ends tell each other.

use crate::interface::*;
use crate::message;
use crate::router::Router;
use crate::state::*;

pub(crate) const FLOOD_SPAN: f64 = 0.25; // A tenant's rate is judged over this share of the keep-alive.
const TOLD: f64 = 0.75; // Front ends' word of their rates counts for this share of the keep-alive.
const TELLS: f64 = 16.0; // Words to another front end in a keep-alive.
pub(crate) const MOST_TOLD: usize = 60; // Tenants in one.
pub(crate) const LOAD_SPAN: f64 = 0.3; // How loaded a worker was fades over this share of the keep-alive.

impl Router {
    pub(crate) fn over_share(&self, open: &Open) -> bool {
        let quota = self.set.tenants.get(open.tenant).and_then(|t| t.quota_per_s);
        let (own, part) =
            (self.own_rate(open.tenant), self.m.parts.tenants.get(open.tenant).copied().flatten());
        let beyond =
            |own| part.map_or(quota.is_some_and(|q| self.all_rate(open.tenant, own) > q), |p| own > p);
        own.is_some_and(beyond)
    }

    /// Requests a second of a tenant here.
    pub(crate) fn own_rate(&self, tenant: usize) -> Option<f64> {
        self.m.tenant_rate.get(tenant).map(|r| r.get(self.now, self.keep() * FLOOD_SPAN))
    }

    /// The same at all front ends: as told lately, and where not, as here. Guards against unequal front ends:
    /// the busy ones took their own part times the number of all for the sum.
    pub(crate) fn all_rate(&self, tenant: usize, own: f64) -> f64 {
        let from = self.now.saturating_sub((self.keep() * TOLD) as Span);
        let (sum, n) = self.m.told_rates(tenant, from);
        (own + sum) * f64::from(self.set.front_ends.max(1)) / (1.0 + n)
    }

    /// A front end tells one other this often.
    pub(crate) fn tell_span(&self) -> Span {
        (self.keep() / TELLS) as Span
    }

    /// Tells another front end, drawn anew, its tenants' rates and half of what it knows of workers' loads.
    /// Guards against many front ends with few calls each: what one learns alone comes late.
    pub(crate) fn tell(&mut self, out: &mut Vec<Action>) {
        let others = self.set.front_ends.saturating_sub(1);
        if !self.set.may_message || others == 0 || self.now < self.m.tell_at {
            return;
        }
        let (now, span) = (self.now, self.keep() * LOAD_SPAN);
        self.m.tell_at = now + self.tell_span();
        let rates: Vec<f64> =
            (0..self.set.tenants.len().min(MOST_TOLD)).map(|t| self.own_rate(t).unwrap_or(0.0)).collect();
        self.m.forget_told(now.saturating_sub((self.keep() * TOLD) as Span));
        let known = self.m.heaviest_known(now, span).into_iter();
        let bytes = message::write(&rates, known, |id| self.m.give_load(id, now, span));
        let to = (self.set.my_number + 1 + self.rng.u32(0..others)) % self.set.front_ends;
        out.push(Action::Tell { to: Some(to), bytes });
    }
}
