//! One member's view of the fleet: which member it probes next, which it suspects, which updates it disseminates, and how
//! it refutes a suspicion of itself.

use crate::message::{Kind, Message, Update, MAX_UPDATES};
use crate::{Incarnation, Member, Mutant, Span, Terms, Time};
use std::collections::BTreeMap;

/// An update is sent this many times the logarithm of the members (SWIM, section 4.1).
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// One probe in so many goes to a member that is dead, left or unknown: this is how a partition heals.
const PROBES_PER_DEAD_PROBE: u32 = 6;
/// Open probes on behalf of others; further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 32;
/// A member that leaves sends its update to so many others, which disseminate it.
const LEAVE_FANOUT: usize = 3;

/// State of a member in another's view. At equal incarnation and refutations the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No update has arrived yet.
    Unknown,
    /// It answers, or another member reported so.
    Alive,
    /// It did not answer a probe; it has some time to refute.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl State {
    pub(crate) fn rank(self) -> u8 {
        self as u8
    }
    pub(crate) fn ranked(n: u8) -> Option<State> {
        [State::Unknown, State::Alive, State::Suspect, State::Dead, State::Left].get(usize::from(n)).copied()
    }
}

/// What is known of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often it refuted a suspicion within this incarnation; only the member itself counts this up.
    pub refutations: u32,
    /// Its state.
    pub state: State,
    /// The member that reported the state.
    by: Member,
    /// Since when it is suspected, and which others suspect it independently.
    since: Time,
    confirmed_by: Vec<Member>,
    /// How often this record was sent as news.
    transmissions: u32,
}

impl PeerRecord {
    /// Name of its state, for reports.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Unknown => "unknown",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// The open probe.
#[derive(Clone, Debug)]
struct Probe {
    to: Member,
    serial: u32,
    at: Time,
    /// Members that were asked to probe as well, and how many of them reported no answer.
    indirect_probers: usize,
    nacks: usize,
    answered: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
struct IndirectProbe {
    requester: Member,
    requested_serial: u32,
    about: Member,
    until: Time,
}

/// A member's view of the fleet. Bounded by the members that the settings name.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    incarnation: Incarnation,
    refutations: u32,
    terms: Terms,
    peers: BTreeMap<Member, PeerRecord>,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<Member>,
    probe_count: u32,
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    next_probe: Time,
    /// Time of the previous tick.
    last_tick: Time,
    serial: u32,
    /// Lifeguard's local health counter: 0 when healthy, greater when the fault may be this member's own.
    local_health: u32,
    /// First member of the next part of the view that fills the room left in messages.
    cursor: Member,
    left: bool,
    mutant: Option<Mutant>,
}

type Draw<'a> = &'a mut dyn FnMut(usize) -> usize;

impl Members {
    /// A member that starts now and knows nothing of the others. Members that are not named here are ignored later.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        others: impl IntoIterator<Item = Member>,
        terms: Terms,
    ) -> Members {
        let none = PeerRecord {
            incarnation: 0,
            refutations: 0,
            state: State::Unknown,
            by: me,
            since: now,
            confirmed_by: Vec::new(),
            transmissions: u32::MAX,
        };
        Members {
            me,
            incarnation,
            refutations: 0,
            peers: others.into_iter().filter(|m| *m != me).map(|m| (m, none.clone())).collect(),
            probe_order: Vec::new(),
            probe_count: 0,
            probe: None,
            indirect_probes: BTreeMap::new(),
            next_probe: now,
            last_tick: now,
            serial: 0,
            local_health: 0,
            cursor: 0,
            left: false,
            terms,
            mutant: None,
        }
    }

    /// With a defect, for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, mutant: Option<Mutant>) -> Members {
        self.mutant = mutant;
        self
    }

    /// With these others known as alive and no update left to disseminate, for measurements that begin in a calm fleet.
    #[doc(hidden)]
    pub fn acquainted(mut self, others: impl IntoIterator<Item = (Member, Incarnation)>) -> Members {
        for (member, incarnation) in others {
            if let Some(peer) = self.peers.get_mut(&member) {
                (peer.incarnation, peer.state) = (incarnation, State::Alive);
            }
        }
        self
    }

    /// What is known of one other member; `None` for itself and for numbers that the settings do not name.
    pub fn peer(&self, member: Member) -> Option<&PeerRecord> {
        self.peers.get(&member)
    }

    /// Its own number.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Its own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Lifeguard's local health counter: 0 when healthy; timeouts are longer by that many times.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// What is known of each other member.
    pub fn view(&self) -> impl Iterator<Item = (Member, &PeerRecord)> {
        self.peers.iter().map(|(m, s)| (*m, s))
    }

    /// Members that are alive or suspect, this one included.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|s| matches!(s.state, State::Alive | State::Suspect)).count()
    }

    /// Does what is due now and returns what to send. `draw` gives a number below its argument.
    pub fn tick(&mut self, now: Time, draw: Draw<'_>) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        let slept = now > std::mem::replace(&mut self.last_tick, now) + self.terms.period;
        if slept && self.mutant != Some(Mutant::NoLocalHealth) {
            // This process was stopped: an unanswered probe proves nothing, and suspects had no time to refute.
            self.probe = None;
            self.worsen_local_health(1);
            self.peers.values_mut().filter(|s| s.state == State::Suspect).for_each(|s| s.since = now);
        }
        self.declare_dead(now);
        self.expire_indirect_probes(now, &mut out);
        let slower = Span::from(1 + self.local_health);
        if let Some(probe) = self.probe.clone().filter(|a| !a.answered) {
            let helping = self.mutant != Some(Mutant::NoIndirectProbes);
            if probe.indirect_probers == 0 && helping && now >= probe.at + self.terms.ack_timeout * slower {
                self.send_indirect_probes(probe, &mut out, draw);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.terms.period * slower;
            self.end_probe(now);
            self.begin_probe(now, &mut out, draw);
        }
        out
    }

    fn send_indirect_probes(&mut self, probe: Probe, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        let mut able: Vec<Member> =
            self.peers.iter().filter(|(_, s)| s.state == State::Alive).map(|(m, _)| *m).collect();
        able.retain(|m| *m != probe.to);
        let mut indirect_probers = 0;
        while indirect_probers < self.terms.indirect_probers && !able.is_empty() {
            let prober = able.swap_remove(draw(able.len()));
            let message = self.message(Kind::PingRequest, probe.serial, probe.to, prober);
            out.push((prober, message));
            indirect_probers += 1;
        }
        // The target is probed once more directly: under heavy loss most failed probes are due to a lost datagram.
        let again = self.message(Kind::Ping, probe.serial, probe.to, probe.to);
        out.push((probe.to, again));
        // Where nobody can be asked, that counts as one nack, and nobody is asked again.
        let nacks = usize::from(indirect_probers == 0);
        self.probe = Some(Probe { indirect_probers: indirect_probers.max(1), nacks, ..probe });
    }

    /// The period is over: a target that did not answer becomes suspect.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take().filter(|a| !a.answered) else { return };
        // Where the indirect probers are silent as well, the fault may be this member's own.
        self.worsen_local_health(u32::from(probe.nacks < probe.indirect_probers));
        let Some(seen) = self.peers.get(&probe.to) else { return };
        let news = Update {
            member: probe.to,
            incarnation: seen.incarnation,
            refutations: seen.refutations,
            state: if self.mutant == Some(Mutant::NoSuspicion) { State::Dead } else { State::Suspect },
            by: self.me,
        };
        if seen.state == State::Alive || seen.state == State::Suspect {
            self.apply(now, &news);
        }
    }

    fn worsen_local_health(&mut self, by: u32) {
        if self.mutant != Some(Mutant::NoLocalHealth) {
            self.local_health = (self.local_health + by).min(self.terms.max_local_health);
        }
    }

    fn begin_probe(&mut self, now: Time, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        self.probe_count = self.probe_count.wrapping_add(1);
        let lost = |s: &PeerRecord| matches!(s.state, State::Dead | State::Unknown | State::Left);
        let never_dead = self.mutant == Some(Mutant::NeverProbesDead);
        let dead: Vec<Member> = self
            .peers
            .iter()
            .filter(|(_, s)| lost(s) && !(never_dead && s.state == State::Dead))
            .map(|(m, _)| *m)
            .collect();
        let there = self.peers.len() - self.peers.values().filter(|s| lost(s)).count();
        let to = if !dead.is_empty() && (there == 0 || self.probe_count % PROBES_PER_DEAD_PROBE == 0) {
            Some(dead[draw(dead.len())])
        } else {
            self.next_target(draw)
        };
        let Some(to) = to else { return };
        self.serial = self.serial.wrapping_add(1);
        let message = self.message(Kind::Ping, self.serial, to, to);
        out.push((to, message));
        self.probe =
            Some(Probe { to, serial: self.serial, at: now, indirect_probers: 0, nacks: 0, answered: false });
    }

    /// Round robin over all that are alive or suspect, shuffled for each round: the time until a member is probed is bounded
    /// (SWIM, section 4.3).
    fn next_target(&mut self, draw: Draw<'_>) -> Option<Member> {
        let there = |s: &PeerRecord| matches!(s.state, State::Alive | State::Suspect);
        for _ in 0..2 {
            while let Some(m) = self.probe_order.pop() {
                if self.peers.get(&m).is_some_and(there) {
                    return Some(m);
                }
            }
            self.probe_order = self.peers.iter().filter(|(_, s)| there(s)).map(|(m, _)| *m).collect();
            for n in (1..self.probe_order.len()).rev() {
                self.probe_order.swap(n, draw(n + 1));
            }
        }
        None
    }

    /// Suspects whose time is up become dead. The more members suspect one, the shorter its time (Lifeguard, section IV-B).
    fn declare_dead(&mut self, now: Time) {
        let n = self.alive_count();
        let terms = self.terms.clone();
        // As in SWIM, a suspect's time grows with the logarithm of the members, as dissemination does.
        let log = u64::from((n as u32).ilog2().max(1));
        for seen in self.peers.values_mut().filter(|s| s.state == State::Suspect) {
            let (least, most) =
                (terms.min_suspicion * log * terms.period, terms.max_suspicion * log * terms.period);
            let c = (seen.confirmed_by.len() as u32).min(terms.confirmations);
            let part = (f64::from(c) + 1.0).ln() / (f64::from(terms.confirmations) + 1.0).ln();
            let span = most - ((most - least) as f64 * part) as Span;
            if now >= seen.since + span {
                (seen.state, seen.transmissions, seen.by) = (State::Dead, 0, self.me);
            }
        }
    }

    fn expire_indirect_probes(&mut self, now: Time, out: &mut Vec<(Member, Message)>) {
        let late: Vec<u32> =
            self.indirect_probes.iter().filter(|(_, f)| now >= f.until).map(|(n, _)| *n).collect();
        for serial in late {
            if let Some(f) = self.indirect_probes.remove(&serial) {
                let message = self.message(Kind::Nack, f.requested_serial, f.about, f.requester);
                out.push((f.requester, message));
            }
        }
    }

    /// Takes in a message and returns what to send.
    pub fn receive(&mut self, now: Time, from: Member, message: &Message) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if !self.peers.contains_key(&from) || self.left {
            return out;
        }
        // The sender's own record of itself.
        let own = Update {
            member: from,
            incarnation: message.incarnation,
            refutations: message.refutations,
            state: State::Alive,
            by: from,
        };
        self.apply(now, &own);
        message.updates.iter().for_each(|u| self.apply(now, u));
        match message.kind {
            Kind::Ping => out.push((from, self.message(Kind::Ack, message.serial, self.me, from))),
            Kind::PingRequest => {
                let known = self.peers.contains_key(&message.about) && message.about != from;
                if known && self.indirect_probes.len() < MAX_INDIRECT_PROBES {
                    self.serial = self.serial.wrapping_add(1);
                    let until = now + 2 * self.terms.ack_timeout;
                    let (requester, requested_serial, about) = (from, message.serial, message.about);
                    self.indirect_probes
                        .insert(self.serial, IndirectProbe { requester, requested_serial, about, until });
                    out.push((about, self.message(Kind::Ping, self.serial, about, about)));
                }
            }
            Kind::Ack => {
                if let Some(f) = self.indirect_probes.remove(&message.serial).filter(|f| f.about == from) {
                    out.push((
                        f.requester,
                        self.message(Kind::Ack, f.requested_serial, f.about, f.requester),
                    ));
                }
                let about = message.about;
                if let Some(probe) =
                    self.probe.as_mut().filter(|a| a.serial == message.serial && a.to == about)
                {
                    probe.answered = true;
                    self.local_health = self.local_health.saturating_sub(1);
                }
            }
            Kind::Nack => {
                if let Some(probe) = self.probe.as_mut().filter(|a| a.serial == message.serial) {
                    probe.nacks += 1;
                }
            }
        }
        out
    }

    /// Applies an update. One that is older, or of a weaker state at the same incarnation and refutations, changes nothing.
    fn apply(&mut self, now: Time, u: &Update) {
        if u.member == self.me {
            return self.refute(u);
        }
        let Some(seen) = self.peers.get_mut(&u.member) else { return };
        if u.state == State::Unknown {
            return;
        }
        let (new, old) =
            ((u.incarnation, u.refutations, u.state), (seen.incarnation, seen.refutations, seen.state));
        // An independent suspicion makes a death more likely; each of the first few is disseminated.
        let same =
            new == old && u.state == State::Suspect && u.by != seen.by && !seen.confirmed_by.contains(&u.by);
        if same && (seen.confirmed_by.len() as u32) < self.terms.confirmations {
            seen.confirmed_by.push(u.by);
            (seen.transmissions, seen.by) = (0, u.by);
        }
        if new > old || self.mutant == Some(Mutant::AcceptsStaleUpdates) && new != old {
            let since = if u.state == State::Suspect { now } else { seen.since };
            let (incarnation, refutations, state, by) = (u.incarnation, u.refutations, u.state, u.by);
            *seen = PeerRecord {
                incarnation,
                refutations,
                state,
                by,
                since,
                confirmed_by: Vec::new(),
                transmissions: 0,
            };
        }
    }

    /// Refutes an update by which this member is not alive, or runs in a later incarnation than it does.
    fn refute(&mut self, u: &Update) {
        let doubted = !matches!(u.state, State::Alive | State::Unknown) || u.incarnation > self.incarnation;
        if !doubted
            || (u.incarnation, u.refutations) < (self.incarnation, self.refutations)
            || self.mutant == Some(Mutant::NeverRefutes)
        {
            return;
        }
        // Where the clock went back over a restart, the member continues in the incarnation that the others know.
        self.incarnation = self.incarnation.max(u.incarnation);
        self.refutations = u.refutations.saturating_add(1);
        self.worsen_local_health(1);
    }

    /// This member leaves; returns what to send.
    pub fn leave(&mut self) -> Vec<(Member, Message)> {
        let there = |s: &PeerRecord| matches!(s.state, State::Alive | State::Suspect);
        let to: Vec<Member> =
            self.peers.iter().filter(|(_, s)| there(s)).map(|(m, _)| *m).take(LEAVE_FANOUT).collect();
        let (member, incarnation, refutations, by) = (self.me, self.incarnation, self.refutations, self.me);
        let update = Update { member, incarnation, refutations, state: State::Left, by };
        let farewell = |m: &Member| {
            let message = Message {
                kind: Kind::Nack,
                serial: 0,
                about: self.me,
                incarnation,
                refutations,
                updates: vec![update],
            };
            (*m, message)
        };
        let out = to.iter().map(farewell).collect();
        self.left = true;
        out
    }

    /// A message with updates: first a doubt of the receiver itself, then news in order of fewest transmissions, then parts of
    /// the view in turn, so that views converge whatever was lost.
    fn message(&mut self, kind: Kind, serial: u32, about: Member, to: Member) -> Message {
        let n = self.peers.len() as u32 + 1;
        let max_transmissions = RETRANSMIT_MULTIPLIER * (n.ilog2() + 1);
        let update = |m: Member, s: &PeerRecord| Update {
            member: m,
            incarnation: s.incarnation,
            refutations: s.refutations,
            state: s.state,
            by: s.by,
        };
        let doubted = |s: &PeerRecord| matches!(s.state, State::Suspect | State::Dead | State::Left);
        let mut updates: Vec<Update> =
            self.peers.get(&to).filter(|s| doubted(s)).map(|s| update(to, s)).into_iter().collect();
        let mut news: Vec<(u32, Member)> = self
            .peers
            .iter()
            .filter(|(m, s)| s.transmissions < max_transmissions && **m != to)
            .map(|(m, s)| (s.transmissions, *m))
            .collect();
        news.sort_unstable();
        for (_, m) in news.into_iter().take(MAX_UPDATES - updates.len()) {
            if let Some(seen) = self.peers.get_mut(&m) {
                seen.transmissions += 1;
                updates.push(update(m, seen));
            }
        }
        let known = |s: &PeerRecord| s.state != State::Unknown;
        let from = self.cursor;
        let (after, before) = (self.peers.range(from..), self.peers.range(..from));
        let rest: Vec<Update> = after
            .chain(before)
            .filter(|(m, s)| **m != to && known(s) && !updates.iter().any(|u| u.member == **m))
            .map(|(m, s)| update(*m, s))
            .take(MAX_UPDATES - updates.len())
            .collect();
        if let Some(last) = rest.last() {
            self.cursor = last.member.wrapping_add(1);
        }
        updates.extend(rest);
        Message { kind, serial, about, incarnation: self.incarnation, refutations: self.refutations, updates }
    }
}
