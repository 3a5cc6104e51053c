//! The stage of each zone at a front end, and the rules that change it. Each change increments the
//! generation, by which front ends that missed a change adopt it.

use crate::message::ZoneDigest;
use crate::{Mutant, Settings, Time};

/// Number of steps of a return.
pub const STEPS: u8 = 3;

/// To what extent a zone is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It is used completely.
    #[default]
    Open,
    /// It answers late, and half of it is used.
    Reduced,
    /// It is not used; only probes are sent.
    Left,
    /// It is used again in part, increasing with each step from 0 on.
    Returning(u8),
}

impl Stage {
    /// The stage's number on the wire.
    pub(crate) fn code(self) -> u8 {
        match self {
            Stage::Open => 0,
            Stage::Reduced => 1,
            Stage::Left => 2,
            Stage::Returning(n) => 3 + n,
        }
    }

    /// The stage with this number on the wire.
    pub(crate) fn from_code(code: u8) -> Option<Stage> {
        match code {
            0 => Some(Stage::Open),
            1 => Some(Stage::Reduced),
            2 => Some(Stage::Left),
            code if code < 3 + STEPS => Some(Stage::Returning(code - 3)),
            _ => None,
        }
    }

    /// Of two stages with the same generation, the one with the higher severity takes precedence.
    pub(crate) fn severity(self) -> u8 {
        match self {
            Stage::Open => 0,
            Stage::Reduced => 1 + STEPS,
            Stage::Returning(n) => STEPS - n.min(STEPS),
            Stage::Left => 2 + STEPS,
        }
    }

    /// The fraction of the pairs of front end and executor that are in use.
    pub fn share(self) -> f64 {
        match self {
            Stage::Open => 1.0,
            Stage::Reduced => 0.5,
            Stage::Left => 0.0,
            Stage::Returning(n) => 0.5f64.powi(i32::from(STEPS - n.min(STEPS - 1))),
        }
    }

    /// The name of the stage in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Open => "open",
            Stage::Reduced => "lessened",
            Stage::Left => "left",
            Stage::Returning(_) => "back",
        }
    }
}

/// An operator's directive for a zone. It takes precedence over all evidence, and over the panic bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// The zone is left until the directive is withdrawn; then it returns step by step.
    Leave,
    /// The zone stays in its stage.
    Hold,
    /// If the zone was left, its return begins now, without the remaining delay.
    Return,
}

/// What the fleet's aggregated evidence says of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assessment {
    /// Not enough evidence for any change.
    Unknown,
    /// It answers.
    Healthy,
    /// There is more evidence for its loss than against it, but no proof.
    Suspect,
    /// It provably answers late.
    Late,
    /// It is provably lost; with the evidence in nats.
    Lost(f64),
}

/// The state of a zone at one front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneState {
    /// The stage.
    pub stage: Stage,
    /// Incremented by each change of stage.
    pub generation: u16,
    /// When the stage last changed.
    pub since: Time,
    /// Number of recent returns, whether they failed or succeeded. Each doubles the delay before the next
    /// one; the number is reset once the zone has stayed open for [`Settings::max_retry_delay`].
    pub failed_returns: u8,
    /// Losses of requests sent before this are ignored, because the zone was left or its return begun since.
    pub evidence_from: Time,
}

/// [`ZoneState::evidence_from`] after a change to stage `next`: evidence starts afresh when a zone is left
/// and when it is used again after that. Other changes keep it.
fn evidence_from(now: Time, own: &ZoneState, next: Stage) -> Time {
    let starts_afresh = matches!(next, Stage::Left | Stage::Returning(0)) || own.stage == Stage::Left;
    if starts_afresh {
        now
    } else {
        own.evidence_from
    }
}

/// The states of all zones at one front end.
#[derive(Clone, Debug)]
pub struct Stages {
    zones: Vec<ZoneState>,
    directives: Vec<Option<Directive>>,
    mutant: Option<Mutant>,
}

impl Stages {
    /// All zones are open.
    pub fn new(now: Time, zones: usize) -> Stages {
        let open =
            ZoneState { stage: Stage::Open, generation: 0, since: now, failed_returns: 0, evidence_from: 0 };
        Stages { zones: vec![open; zones], directives: vec![None; zones], mutant: None }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Stages {
        self.mutant = mutant;
        self
    }

    /// The state of a zone.
    pub fn of(&self, zone: usize) -> Option<&ZoneState> {
        self.zones.get(zone)
    }

    /// The states of all zones.
    pub fn all(&self) -> &[ZoneState] {
        &self.zones
    }

    /// Sets or withdraws an operator's directive.
    pub fn set_directive(&mut self, now: Time, zone: usize, directive: Option<Directive>) {
        let Some(own) = self.directives.get_mut(zone).filter(|own| **own != directive) else { return };
        *own = directive;
        match (directive, self.zones[zone].stage) {
            (Some(Directive::Leave), Stage::Open | Stage::Reduced | Stage::Returning(_)) => {
                self.change_stage(now, zone, Stage::Left, 0)
            }
            (Some(Directive::Return), Stage::Left) => self.change_stage(now, zone, Stage::Returning(0), 0),
            _ => {}
        }
    }

    /// The operator's directive for a zone.
    pub fn directive(&self, zone: usize) -> Option<Directive> {
        self.directives.get(zone).copied().flatten()
    }

    /// Whether the zone's stage follows the evidence rather than a directive.
    fn is_automatic(&self, zone: usize) -> bool {
        !matches!(self.directive(zone), Some(Directive::Leave | Directive::Hold))
    }

    /// The fraction of the total size that remains in use if this zone's share becomes `share`.
    fn remaining(&self, sizes: &[f64], zone: usize, share: f64) -> f64 {
        let all: f64 = sizes.iter().sum();
        let share_of = |(n, z): (usize, &ZoneState)| if n == zone { share } else { z.stage.share() };
        let used: f64 = self.zones.iter().enumerate().zip(sizes).map(|(z, size)| share_of(z) * size).sum();
        if all > 0.0 {
            used / all
        } else {
            0.0
        }
    }

    /// Whether a zone's share may become `share`: at least `min_remaining` of the total size must remain in
    /// use.
    pub fn may_reduce_to(&self, zone: usize, share: f64, min_remaining: f64, sizes: &[f64]) -> bool {
        self.mutant == Some(Mutant::NoPanicBound) || self.remaining(sizes, zone, share) >= min_remaining
    }

    /// Adopts a newer generation of the fleet. Also reverts to the fleet's stage if nobody has adopted this
    /// front end's newer one within the evidence window: front ends with the same evidence close to a
    /// threshold may have decided differently.
    pub fn follow(&mut self, now: Time, zone: usize, fleet: &ZoneDigest, sizes: &[f64], settings: &Settings) {
        let Some(own) = self.zones.get(zone) else { return };
        // Each front end applies the panic bound itself, because its other zones may be in other stages.
        let share = fleet.stage.share();
        let is_allowed = share >= own.stage.share()
            || self.may_reduce_to(zone, share, settings.min_remaining_on_loss, sizes);
        if !is_allowed || !self.is_automatic(zone) || self.mutant == Some(Mutant::NoGeneration) {
            return;
        }
        let own = &mut self.zones[zone];
        // Generations wrap around: a difference of half the range or more means that the fleet's is older.
        let ahead = fleet.generation.wrapping_sub(own.generation);
        let newer = ahead != 0 && ahead < u16::MAX / 2;
        let more_severe = ahead == 0 && fleet.stage.severity() > own.stage.severity();
        let reverts = ahead >= u16::MAX / 2 && now >= own.since + settings.evidence_window;
        if newer || more_severe || reverts {
            *own = ZoneState {
                stage: fleet.stage,
                generation: fleet.generation,
                failed_returns: fleet.failed_returns,
                // A front end that reverts has waited long enough. If its retry delay began anew, two front
                // ends could alternate without end.
                since: if reverts { now.saturating_sub(settings.max_retry_delay) } else { now },
                evidence_from: evidence_from(now, own, fleet.stage),
            };
        }
    }

    fn change_stage(&mut self, now: Time, zone: usize, stage: Stage, failed_returns: u8) {
        let own = &mut self.zones[zone];
        let evidence_from = evidence_from(now, own, stage);
        let generation = own.generation.wrapping_add(1);
        *own = ZoneState { stage, generation, since: now, failed_returns, evidence_from };
    }

    /// Changes stages according to the assessments; `sizes` are the sizes of the zones. Returns the zones
    /// that changed.
    pub fn step(
        &mut self,
        now: Time,
        assessments: &[Assessment],
        sizes: &[f64],
        settings: &Settings,
    ) -> Vec<usize> {
        let before: Vec<u16> = self.zones.iter().map(|z| z.generation).collect();
        // If every zone in use is lost or late, the fault is not in the zones but in something they share,
        // such as a store, a release or the network.
        let is_used =
            |zone: usize| self.zones[zone].stage != Stage::Left && sizes.get(zone).is_some_and(|s| *s > 0.0);
        let all_bad = (0..self.zones.len())
            .filter(|zone| is_used(*zone))
            .all(|zone| matches!(assessments.get(zone), Some(Assessment::Lost(_) | Assessment::Late)))
            && self.mutant != Some(Mutant::NoPanicBound);
        // A zone counts as late only if another one is healthy: a slow store makes every zone late, but some
        // are detected earlier.
        let other_is_healthy = |zone: usize| {
            assessments
                .iter()
                .enumerate()
                .any(|(other, a)| other != zone && is_used(other) && *a == Assessment::Healthy)
        };
        let has_healthy_other: Vec<bool> = (0..self.zones.len()).map(other_is_healthy).collect();
        // The zone with the strongest evidence comes first, since the panic bound may allow only one to be
        // left.
        let mut order: Vec<usize> = (0..self.zones.len().min(assessments.len())).collect();
        let evidence =
            |zone: &usize| if let Assessment::Lost(nats) = assessments[*zone] { nats } else { 0.0 };
        order.sort_by(|a, b| evidence(b).total_cmp(&evidence(a)));
        for zone in order {
            if !self.is_automatic(zone) {
                continue;
            }
            let ZoneState { stage, since, failed_returns, .. } = self.zones[zone];
            let in_stage_for = now.saturating_sub(since);
            match (stage, assessments[zone]) {
                (Stage::Open | Stage::Reduced, Assessment::Lost(_))
                    if !all_bad && self.may_reduce_to(zone, 0.0, settings.min_remaining_on_loss, sizes) =>
                {
                    self.change_stage(now, zone, Stage::Left, failed_returns);
                }
                (Stage::Returning(_), Assessment::Lost(_) | Assessment::Suspect | Assessment::Late)
                    if self.may_reduce_to(zone, 0.0, settings.min_remaining_on_loss, sizes) =>
                {
                    self.change_stage(now, zone, Stage::Left, failed_returns.saturating_add(1));
                }
                (Stage::Open, Assessment::Late)
                    if has_healthy_other[zone]
                        && self.may_reduce_to(
                            zone,
                            Stage::Reduced.share(),
                            settings.min_remaining,
                            sizes,
                        ) =>
                {
                    self.change_stage(now, zone, Stage::Reduced, failed_returns);
                }
                (Stage::Reduced, Assessment::Late) if all_bad => {
                    self.change_stage(now, zone, Stage::Open, failed_returns)
                }
                (Stage::Reduced, Assessment::Healthy | Assessment::Unknown)
                    if in_stage_for >= self.retry_delay(failed_returns, settings) =>
                {
                    self.change_stage(now, zone, Stage::Open, failed_returns.saturating_add(1));
                }
                (Stage::Left, Assessment::Healthy)
                    if in_stage_for >= self.retry_delay(failed_returns, settings) =>
                {
                    let at_once = self.mutant == Some(Mutant::ReturnAtOnce);
                    let next = if at_once { Stage::Open } else { Stage::Returning(0) };
                    self.change_stage(now, zone, next, failed_returns);
                }
                (Stage::Returning(step), Assessment::Healthy) if in_stage_for >= settings.return_step => {
                    let next = if step + 1 < STEPS { Stage::Returning(step + 1) } else { Stage::Open };
                    // A successful return does not reset the count: a zone that returned may fail again soon.
                    let failed_returns =
                        if next == Stage::Open { failed_returns.saturating_add(1) } else { failed_returns };
                    self.change_stage(now, zone, next, failed_returns);
                }
                (Stage::Open, Assessment::Healthy | Assessment::Unknown)
                    if failed_returns > 0 && in_stage_for >= settings.max_retry_delay =>
                {
                    self.zones[zone].failed_returns = 0;
                }
                _ => {}
            }
        }
        let generations = self.zones.iter().map(|z| z.generation);
        generations.zip(before).enumerate().filter(|(_, (a, b))| a != b).map(|(n, _)| n).collect()
    }

    /// How long a zone stays left or reduced before more of it is used again; doubled by each recent return.
    fn retry_delay(&self, failed_returns: u8, settings: &Settings) -> u64 {
        let doublings = if self.mutant == Some(Mutant::NoBackoff) { 0 } else { failed_returns.min(20) };
        settings.retry_delay.saturating_mul(1 << doublings).min(settings.max_retry_delay)
    }
}
