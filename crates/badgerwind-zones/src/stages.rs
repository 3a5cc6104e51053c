//! Where a front end stands with each zone, and what moves it on. Each change counts a generation up; whoever missed one follows.

use crate::message::ZoneDigest;
use crate::{Mutant, Terms, Time};

/// Steps of a return.
pub const STEPS: u8 = 3;

/// Where it stands with a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It is used like any other.
    #[default]
    Open,
    /// It answers late: half of it is used.
    Lessened,
    /// Nothing goes there but probes.
    Left,
    /// It comes back, step by step, from 0.
    Back(u8),
}

impl Stage {
    pub(crate) fn rank(self) -> u8 {
        match self {
            Stage::Open => 0,
            Stage::Lessened => 1,
            Stage::Left => 2,
            Stage::Back(n) => 3 + n,
        }
    }
    pub(crate) fn ranked(n: u8) -> Option<Stage> {
        match n {
            0 => Some(Stage::Open),
            1 => Some(Stage::Lessened),
            2 => Some(Stage::Left),
            n if n < 3 + STEPS => Some(Stage::Back(n - 3)),
            _ => None,
        }
    }
    /// Of two stages of one generation the one that uses less counts.
    pub(crate) fn severity(self) -> u8 {
        match self {
            Stage::Open => 0,
            Stage::Lessened => 1 + STEPS,
            Stage::Back(n) => STEPS - n.min(STEPS),
            Stage::Left => 2 + STEPS,
        }
    }
    /// The part of the pairs of front end and executor that are in use.
    pub fn share(self) -> f64 {
        match self {
            Stage::Open => 1.0,
            Stage::Lessened => 0.5,
            Stage::Left => 0.0,
            Stage::Back(n) => 0.5f64.powi(i32::from(STEPS - n.min(STEPS - 1))),
        }
    }
    /// Name of the stage, for reports.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Open => "open",
            Stage::Lessened => "lessened",
            Stage::Left => "left",
            Stage::Back(_) => "back",
        }
    }
}

/// An operator's directive for a zone. It takes precedence over all evidence, and over the panic bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Nothing goes there until the directive is withdrawn; then it returns by steps.
    Leave,
    /// It stays as it is.
    Hold,
    /// If it was left, its return begins now, whatever pause it had.
    Return,
}

/// What is believed of a zone, by the fleet's aggregated evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Belief {
    /// Nothing that would move anything.
    Unknown,
    /// It answers.
    Well,
    /// More speaks for its loss than against it; not proven.
    Doubt,
    /// It answers late, proven.
    Late,
    /// It is lost, proven; by so many nats.
    Lost(f64),
}

/// One zone's standing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// The stage.
    pub stage: Stage,
    /// Counted up with each change.
    pub generation: u16,
    /// Since when.
    pub since: Time,
    /// Returns that failed, lately.
    pub failed: u8,
    /// What was lost of what went out before says nothing any more: the zone was left, or tried anew, since.
    pub fresh_from: Time,
}

fn fresh_from(now: Time, own: &Standing, next: Stage) -> Time {
    let anew = matches!(next, Stage::Left | Stage::Back(0)) || own.stage == Stage::Left;
    if anew {
        now
    } else {
        own.fresh_from
    }
}

/// All zones' standings at one front end.
#[derive(Clone, Debug)]
pub struct Stages {
    zones: Vec<Standing>,
    directives: Vec<Option<Directive>>,
    mutant: Option<Mutant>,
}

impl Stages {
    /// All open.
    pub fn new(now: Time, zones: usize) -> Stages {
        let open = Standing { stage: Stage::Open, generation: 0, since: now, failed: 0, fresh_from: 0 };
        Stages { zones: vec![open; zones], directives: vec![None; zones], mutant: None }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Stages {
        self.mutant = mutant;
        self
    }

    /// A zone's standing.
    pub fn of(&self, zone: usize) -> Option<&Standing> {
        self.zones.get(zone)
    }

    /// All of them.
    pub fn all(&self) -> &[Standing] {
        &self.zones
    }

    /// Sets or withdraws an operator's directive.
    pub fn set_directive(&mut self, now: Time, zone: usize, directive: Option<Directive>) {
        let Some(own) = self.directives.get_mut(zone).filter(|own| **own != directive) else { return };
        *own = directive;
        match (directive, self.zones[zone].stage) {
            (Some(Directive::Leave), Stage::Open | Stage::Lessened | Stage::Back(_)) => {
                self.go(now, zone, Stage::Left, 0)
            }
            (Some(Directive::Return), Stage::Left) => self.go(now, zone, Stage::Back(0), 0),
            _ => {}
        }
    }

    /// The operator's directive for a zone.
    pub fn directive(&self, zone: usize) -> Option<Directive> {
        self.directives.get(zone).copied().flatten()
    }

    /// Whether it moves by what is found.
    fn moves(&self, zone: usize) -> bool {
        !matches!(self.directive(zone), Some(Directive::Leave | Directive::Hold))
    }

    /// What is left in use if a zone came to have a share, as a part of all by size.
    fn left(&self, sizes: &[f64], zone: usize, share: f64) -> f64 {
        let all: f64 = sizes.iter().sum();
        let share_of = |(n, z): (usize, &Standing)| if n == zone { share } else { z.stage.share() };
        let left: f64 = self.zones.iter().enumerate().zip(sizes).map(|(z, size)| share_of(z) * size).sum();
        if all > 0.0 {
            left / all
        } else {
            0.0
        }
    }

    /// Whether a zone may be left, or lessened, by what the rest can bear.
    pub fn may(&self, zone: usize, share: f64, least: f64, sizes: &[f64]) -> bool {
        self.mutant == Some(Mutant::NoPanicBound) || self.left(sizes, zone, share) >= least
    }

    /// Follows a newer generation that the fleet has; and goes back to the fleet's where nobody followed its own for a span: two
    /// that saw the same at the edge of a decision may have decided differently.
    pub fn follow(&mut self, now: Time, zone: usize, fleet: &ZoneDigest, sizes: &[f64], terms: &Terms) {
        let Some(own) = self.zones.get(zone) else { return };
        // Whatever others did, the bound is each one's own: it may stand otherwise with another zone.
        let share = fleet.stage.share();
        let bears = share >= own.stage.share() || self.may(zone, share, terms.least_left_lost, sizes);
        if !bears || !self.moves(zone) || self.mutant == Some(Mutant::NoGeneration) {
            return;
        }
        let own = &mut self.zones[zone];
        let ahead = fleet.generation.wrapping_sub(own.generation);
        let newer = ahead != 0 && ahead < u16::MAX / 2;
        let same = ahead == 0 && fleet.stage.severity() > own.stage.severity();
        let alone = ahead >= u16::MAX / 2 && now >= own.since + terms.span;
        if newer || same || alone {
            *own = Standing {
                stage: fleet.stage,
                generation: fleet.generation,
                failed: fleet.failed,
                // What had moved on by itself has waited long enough: with its pause anew, two would miss each other for ever.
                since: if alone { now.saturating_sub(terms.most_quiet) } else { now },
                fresh_from: fresh_from(now, own, fleet.stage),
            };
        }
    }

    fn go(&mut self, now: Time, zone: usize, stage: Stage, failed: u8) {
        let own = &mut self.zones[zone];
        let fresh_from = fresh_from(now, own, stage);
        *own = Standing { stage, generation: own.generation.wrapping_add(1), since: now, failed, fresh_from };
    }

    /// Moves on by what is believed. `sizes` are those of the zones. Returns the zones that changed.
    pub fn step(&mut self, now: Time, beliefs: &[Belief], sizes: &[f64], terms: &Terms) -> Vec<usize> {
        let before: Vec<u16> = self.zones.iter().map(|z| z.generation).collect();
        // Where nothing is well and all that is used is lost, the fault is not the zone's: it is a store, a release, a network.
        let used = |n: usize| self.zones[n].stage != Stage::Left && sizes.get(n).is_some_and(|s| *s > 0.0);
        let all_ill = (0..self.zones.len())
            .filter(|n| used(*n))
            .all(|n| matches!(beliefs.get(n), Some(Belief::Lost(_) | Belief::Late)))
            && self.mutant != Some(Mutant::NoPanicBound);
        // Late is late beside another that is not: a slow store makes every zone late, some a moment sooner than others.
        let other_well =
            |n: usize| beliefs.iter().enumerate().any(|(o, b)| o != n && used(o) && *b == Belief::Well);
        let beside: Vec<bool> = (0..self.zones.len()).map(other_well).collect();
        // The surest first: the panic bound may leave room for one only.
        let mut order: Vec<usize> = (0..self.zones.len().min(beliefs.len())).collect();
        let sure = |n: &usize| if let Belief::Lost(x) = beliefs[*n] { x } else { 0.0 };
        order.sort_by(|a, b| sure(b).total_cmp(&sure(a)));
        for n in order {
            if !self.moves(n) {
                continue;
            }
            let Standing { stage, since, failed, .. } = self.zones[n];
            let stood = now.saturating_sub(since);
            match (stage, beliefs[n]) {
                (Stage::Open | Stage::Lessened, Belief::Lost(_))
                    if !all_ill && self.may(n, 0.0, terms.least_left_lost, sizes) =>
                {
                    self.go(now, n, Stage::Left, failed);
                }
                (Stage::Back(_), Belief::Lost(_) | Belief::Doubt | Belief::Late)
                    if self.may(n, 0.0, terms.least_left_lost, sizes) =>
                {
                    self.go(now, n, Stage::Left, failed.saturating_add(1));
                }
                (Stage::Open, Belief::Late)
                    if beside[n] && self.may(n, Stage::Lessened.share(), terms.least_left, sizes) =>
                {
                    self.go(now, n, Stage::Lessened, failed);
                }
                (Stage::Lessened, Belief::Late) if all_ill => self.go(now, n, Stage::Open, failed),
                (Stage::Lessened, Belief::Well | Belief::Unknown) if stood >= self.quiet(failed, terms) => {
                    self.go(now, n, Stage::Open, failed.saturating_add(1));
                }
                (Stage::Left, Belief::Well) if stood >= self.quiet(failed, terms) => {
                    let once = self.mutant == Some(Mutant::ReturnAtOnce);
                    self.go(now, n, if once { Stage::Open } else { Stage::Back(0) }, failed);
                }
                (Stage::Back(step), Belief::Well) if stood >= terms.step => {
                    let next = if step + 1 < STEPS { Stage::Back(step + 1) } else { Stage::Open };
                    // What came back may go again: it is judged by the next failure, not forgotten at the first success.
                    let failed = if next == Stage::Open { failed.saturating_add(1) } else { failed };
                    self.go(now, n, next, failed);
                }
                (Stage::Open, Belief::Well | Belief::Unknown) if failed > 0 && stood >= terms.most_quiet => {
                    self.zones[n].failed = 0;
                }
                _ => {}
            }
        }
        let now = self.zones.iter().map(|z| z.generation);
        now.zip(before).enumerate().filter(|(_, (a, b))| a != b).map(|(n, _)| n).collect()
    }

    /// How long a zone that was left rests; longer each time that it came back, until it stood for long.
    fn quiet(&self, failed: u8, terms: &Terms) -> u64 {
        let times = if self.mutant == Some(Mutant::NoBackoff) { 0 } else { failed.min(20) };
        terms.quiet.saturating_mul(1 << times).min(terms.most_quiet)
    }
}
