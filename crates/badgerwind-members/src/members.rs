//! One member's view of the fleet: which member it probes next, which it suspects, which updates it
//! disseminates, and how it refutes a suspicion of itself.

use crate::message::{Kind, Message, Update, MAX_UPDATES};
use crate::{DetectionSettings, Incarnation, Member, Micros, Mutant, Time};
use std::collections::BTreeMap;

/// An update is sent this many times the logarithm of the number of members (SWIM, section 4.1).
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// One probe in this many goes to a member that is dead, left or unknown. Without these probes the halves of
/// a partition would not find each other again.
const PROBES_PER_DEAD_PROBE: u32 = 6;
/// Maximum number of open probes on behalf of other members; further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 32;
/// A member that leaves sends its update to this many others, which disseminate it.
const LEAVE_FANOUT: usize = 3;

/// State of a member in another member's view. At equal incarnation and refutations the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No update has arrived yet.
    Unknown,
    /// It answers probes, or another member reported that it does.
    Alive,
    /// It did not answer a probe and has some time to refute the suspicion.
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
    pub(crate) fn from_rank(n: u8) -> Option<State> {
        [State::Unknown, State::Alive, State::Suspect, State::Dead, State::Left].get(usize::from(n)).copied()
    }
}

/// What is known of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often it has refuted a suspicion in this incarnation; only the member itself increments this.
    pub refutations: u32,
    /// Its state.
    pub state: State,
    /// The member that reported the state.
    reported_by: Member,
    /// When it became a suspect; the time for its refutation counts from here.
    since: Time,
    /// Other members that suspect it independently.
    confirmed_by: Vec<Member>,
    /// How often this record was sent as a recent change.
    transmissions: u32,
}

impl PeerRecord {
    /// Name of the state, for reports.
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

/// The probe of the current period.
#[derive(Clone, Debug)]
struct Probe {
    to: Member,
    serial: u32,
    sent_at: Time,
    /// Number of members that were asked to probe as well.
    indirect_probers: usize,
    /// Number of them that reported no answer.
    nacks: usize,
    answered: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
struct IndirectProbe {
    requester: Member,
    /// Serial number of the requester's probe, which the answer to it carries.
    requested_serial: u32,
    target: Member,
    /// When the requester gets a nack if the target has not answered.
    until: Time,
}

/// A member's view of the fleet. Its size is bounded by the members in the settings.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    incarnation: Incarnation,
    refutations: u32,
    settings: DetectionSettings,
    peers: BTreeMap<Member, PeerRecord>,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<Member>,
    probe_count: u32,
    probe: Option<Probe>,
    /// Open probes on behalf of other members, by the serial number of this member's own ping.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// When the next period begins.
    next_probe: Time,
    /// Time of the previous tick.
    last_tick: Time,
    /// Serial number of this member's last ping.
    serial: u32,
    /// Lifeguard's local health counter: 0 when healthy, greater when the fault may be this member's own.
    local_health: u32,
    /// First member of the next part of the view that fills the remaining room in messages.
    cursor: Member,
    left: bool,
    mutant: Option<Mutant>,
}

/// Returns a random number below its argument.
type Draw<'a> = &'a mut dyn FnMut(usize) -> usize;

impl Members {
    /// A member that starts now and knows nothing of `others`. Members that are not among them are always
    /// ignored.
    pub fn new(
        now: Time,
        (me, incarnation): (Member, Incarnation),
        others: impl IntoIterator<Item = Member>,
        settings: DetectionSettings,
    ) -> Members {
        let unknown = PeerRecord {
            incarnation: 0,
            refutations: 0,
            state: State::Unknown,
            reported_by: me,
            since: now,
            confirmed_by: Vec::new(),
            transmissions: u32::MAX, // there is no change to disseminate
        };
        Members {
            me,
            incarnation,
            refutations: 0,
            peers: others.into_iter().filter(|m| *m != me).map(|m| (m, unknown.clone())).collect(),
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
            settings,
            mutant: None,
        }
    }

    /// Injects a defect, for tests that show that it is detected.
    #[doc(hidden)]
    pub fn with_mutant(mut self, mutant: Option<Mutant>) -> Members {
        self.mutant = mutant;
        self
    }

    /// Marks these members as alive with no update left to disseminate, for measurements that begin in a
    /// converged fleet.
    #[doc(hidden)]
    pub fn with_known_members(mut self, others: impl IntoIterator<Item = (Member, Incarnation)>) -> Members {
        for (member, incarnation) in others {
            if let Some(peer) = self.peers.get_mut(&member) {
                (peer.incarnation, peer.state) = (incarnation, State::Alive);
            }
        }
        self
    }

    /// The record of another member; `None` for itself and for numbers that are not in the settings.
    pub fn peer(&self, member: Member) -> Option<&PeerRecord> {
        self.peers.get(&member)
    }

    /// The number of this member.
    pub fn me(&self) -> Member {
        self.me
    }

    /// The incarnation of this member.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Lifeguard's local health counter: 0 when healthy; timeouts are multiplied by one more than that.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// The records of all other members.
    pub fn view(&self) -> impl Iterator<Item = (Member, &PeerRecord)> {
        self.peers.iter().map(|(member, peer)| (*member, peer))
    }

    /// Members that are alive or suspect, this one included.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| matches!(peer.state, State::Alive | State::Suspect)).count()
    }

    /// Sends the probes and nacks that are due and declares suspects dead whose time has expired. Returns the
    /// messages to send. `draw` returns a random number below its argument.
    pub fn tick(&mut self, now: Time, draw: Draw<'_>) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        let was_suspended = now > std::mem::replace(&mut self.last_tick, now) + self.settings.period;
        if was_suspended && self.mutant != Some(Mutant::NoLocalHealth) {
            // This process was suspended: an unanswered probe proves nothing, and suspects had no time to
            // refute.
            self.probe = None;
            self.worsen_local_health(1);
            self.peers
                .values_mut()
                .filter(|peer| peer.state == State::Suspect)
                .for_each(|peer| peer.since = now);
        }
        self.declare_dead(now);
        self.expire_indirect_probes(now, &mut out);
        let slowdown = Micros::from(1 + self.local_health);
        if let Some(probe) = self.probe.clone().filter(|probe| !probe.answered) {
            let indirect = self.mutant != Some(Mutant::NoIndirectProbes);
            if probe.indirect_probers == 0
                && indirect
                && now >= probe.sent_at + self.settings.ack_timeout * slowdown
            {
                self.send_indirect_probes(probe, &mut out, draw);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.period * slowdown;
            self.end_probe(now);
            self.begin_probe(now, &mut out, draw);
        }
        out
    }

    fn send_indirect_probes(&mut self, probe: Probe, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        let mut candidates: Vec<Member> =
            self.peers.iter().filter(|(_, peer)| peer.state == State::Alive).map(|(m, _)| *m).collect();
        candidates.retain(|m| *m != probe.to);
        let mut indirect_probers = 0;
        while indirect_probers < self.settings.indirect_probers && !candidates.is_empty() {
            let prober = candidates.swap_remove(draw(candidates.len()));
            let message = self.message(Kind::PingRequest, probe.serial, probe.to, prober);
            out.push((prober, message));
            indirect_probers += 1;
        }
        // The target is probed once more directly: under heavy loss most failed probes are due to a lost
        // datagram.
        let repeated = self.message(Kind::Ping, probe.serial, probe.to, probe.to);
        out.push((probe.to, repeated));
        // If no member can be asked, that counts as one nack, and this probe is not repeated.
        let nacks = usize::from(indirect_probers == 0);
        self.probe = Some(Probe { indirect_probers: indirect_probers.max(1), nacks, ..probe });
    }

    /// Ends the probe of the period: a target that did not answer becomes a suspect.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        // If the indirect probers do not answer either, the fault may be this member's own.
        self.worsen_local_health(u32::from(probe.nacks < probe.indirect_probers));
        let Some(peer) = self.peers.get(&probe.to) else { return };
        let update = Update {
            member: probe.to,
            incarnation: peer.incarnation,
            refutations: peer.refutations,
            state: if self.mutant == Some(Mutant::NoSuspicion) { State::Dead } else { State::Suspect },
            reported_by: self.me,
        };
        if peer.state == State::Alive || peer.state == State::Suspect {
            self.apply(now, &update);
        }
    }

    fn worsen_local_health(&mut self, by: u32) {
        if self.mutant != Some(Mutant::NoLocalHealth) {
            self.local_health = (self.local_health + by).min(self.settings.max_local_health);
        }
    }

    fn begin_probe(&mut self, now: Time, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        self.probe_count = self.probe_count.wrapping_add(1);
        let unreachable =
            |peer: &PeerRecord| matches!(peer.state, State::Dead | State::Unknown | State::Left);
        let skips_dead = self.mutant == Some(Mutant::NeverProbesDead);
        let unreachable_members: Vec<Member> = self
            .peers
            .iter()
            .filter(|(_, peer)| unreachable(peer) && !(skips_dead && peer.state == State::Dead))
            .map(|(m, _)| *m)
            .collect();
        let reachable = self.peers.len() - self.peers.values().filter(|peer| unreachable(peer)).count();
        let dead_probe_due = reachable == 0 || self.probe_count % PROBES_PER_DEAD_PROBE == 0;
        let to = if !unreachable_members.is_empty() && dead_probe_due {
            Some(unreachable_members[draw(unreachable_members.len())])
        } else {
            self.next_target(draw)
        };
        let Some(to) = to else { return };
        self.serial = self.serial.wrapping_add(1);
        let message = self.message(Kind::Ping, self.serial, to, to);
        out.push((to, message));
        self.probe = Some(Probe {
            to,
            serial: self.serial,
            sent_at: now,
            indirect_probers: 0,
            nacks: 0,
            answered: false,
        });
    }

    /// Round robin over all members that are alive or suspect, shuffled for each round, which bounds the time
    /// until a member is probed (SWIM, section 4.3).
    fn next_target(&mut self, draw: Draw<'_>) -> Option<Member> {
        let reachable = |peer: &PeerRecord| matches!(peer.state, State::Alive | State::Suspect);
        for _ in 0..2 {
            while let Some(m) = self.probe_order.pop() {
                if self.peers.get(&m).is_some_and(reachable) {
                    return Some(m);
                }
            }
            self.probe_order =
                self.peers.iter().filter(|(_, peer)| reachable(peer)).map(|(m, _)| *m).collect();
            for n in (1..self.probe_order.len()).rev() {
                self.probe_order.swap(n, draw(n + 1));
            }
        }
        None
    }

    /// Declares suspects dead whose time has expired. The more members suspect one, the shorter its time
    /// (Lifeguard, section IV-B).
    fn declare_dead(&mut self, now: Time) {
        let settings = self.settings.clone();
        // As in SWIM, a suspect's time grows with the logarithm of the number of members, as the time of
        // dissemination does.
        let log_members = u64::from((self.alive_count() as u32).ilog2().max(1));
        for peer in self.peers.values_mut().filter(|peer| peer.state == State::Suspect) {
            let (shortest, longest) = (
                settings.min_suspicion * log_members * settings.period,
                settings.max_suspicion * log_members * settings.period,
            );
            let confirmations = (peer.confirmed_by.len() as u32).min(settings.confirmations);
            let shortening =
                (f64::from(confirmations) + 1.0).ln() / (f64::from(settings.confirmations) + 1.0).ln();
            let timeout = longest - ((longest - shortest) as f64 * shortening) as Micros;
            if now >= peer.since + timeout {
                (peer.state, peer.transmissions, peer.reported_by) = (State::Dead, 0, self.me);
            }
        }
    }

    fn expire_indirect_probes(&mut self, now: Time, out: &mut Vec<(Member, Message)>) {
        let expired: Vec<u32> =
            self.indirect_probes.iter().filter(|(_, probe)| now >= probe.until).map(|(n, _)| *n).collect();
        for serial in expired {
            if let Some(probe) = self.indirect_probes.remove(&serial) {
                let message = self.message(Kind::Nack, probe.requested_serial, probe.target, probe.requester);
                out.push((probe.requester, message));
            }
        }
    }

    /// Processes a received message and returns the messages to send.
    pub fn receive(&mut self, now: Time, from: Member, message: &Message) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if !self.peers.contains_key(&from) || self.left {
            return out;
        }
        // The sender's record of itself.
        let sender = Update {
            member: from,
            incarnation: message.incarnation,
            refutations: message.refutations,
            state: State::Alive,
            reported_by: from,
        };
        self.apply(now, &sender);
        message.updates.iter().for_each(|u| self.apply(now, u));
        match message.kind {
            Kind::Ping => out.push((from, self.message(Kind::Ack, message.serial, self.me, from))),
            Kind::PingRequest => {
                let known = self.peers.contains_key(&message.target) && message.target != from;
                if known && self.indirect_probes.len() < MAX_INDIRECT_PROBES {
                    self.serial = self.serial.wrapping_add(1);
                    let until = now + 2 * self.settings.ack_timeout;
                    let (requester, requested_serial, target) = (from, message.serial, message.target);
                    self.indirect_probes
                        .insert(self.serial, IndirectProbe { requester, requested_serial, target, until });
                    out.push((target, self.message(Kind::Ping, self.serial, target, target)));
                }
            }
            Kind::Ack => {
                if let Some(probe) =
                    self.indirect_probes.remove(&message.serial).filter(|probe| probe.target == from)
                {
                    out.push((
                        probe.requester,
                        self.message(Kind::Ack, probe.requested_serial, probe.target, probe.requester),
                    ));
                }
                let target = message.target;
                if let Some(probe) =
                    self.probe.as_mut().filter(|probe| probe.serial == message.serial && probe.to == target)
                {
                    probe.answered = true;
                    self.local_health = self.local_health.saturating_sub(1);
                }
            }
            Kind::Nack => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.serial == message.serial) {
                    probe.nacks += 1;
                }
            }
        }
        out
    }

    /// Applies an update. It changes nothing if it is older, or has a weaker state at the same incarnation
    /// and refutations.
    fn apply(&mut self, now: Time, update: &Update) {
        if update.member == self.me {
            return self.refute(update);
        }
        let Some(peer) = self.peers.get_mut(&update.member) else { return };
        if update.state == State::Unknown {
            return;
        }
        let (new, old) = (
            (update.incarnation, update.refutations, update.state),
            (peer.incarnation, peer.refutations, peer.state),
        );
        // An independent suspicion makes a failure more likely; each of the first few is disseminated.
        let confirms = new == old
            && update.state == State::Suspect
            && update.reported_by != peer.reported_by
            && !peer.confirmed_by.contains(&update.reported_by);
        if confirms && (peer.confirmed_by.len() as u32) < self.settings.confirmations {
            peer.confirmed_by.push(update.reported_by);
            (peer.transmissions, peer.reported_by) = (0, update.reported_by);
        }
        if new > old || self.mutant == Some(Mutant::AcceptsStaleUpdates) && new != old {
            let since = if update.state == State::Suspect { now } else { peer.since };
            let (incarnation, refutations, state, reported_by) =
                (update.incarnation, update.refutations, update.state, update.reported_by);
            *peer = PeerRecord {
                incarnation,
                refutations,
                state,
                reported_by,
                since,
                confirmed_by: Vec::new(),
                transmissions: 0,
            };
        }
    }

    /// Refutes an update that reports this member as not alive, or in a later incarnation than its own.
    fn refute(&mut self, update: &Update) {
        let doubted =
            !matches!(update.state, State::Alive | State::Unknown) || update.incarnation > self.incarnation;
        if !doubted
            || (update.incarnation, update.refutations) < (self.incarnation, self.refutations)
            || self.mutant == Some(Mutant::NeverRefutes)
        {
            return;
        }
        // If the clock went back across a restart, the member continues in the incarnation that the others
        // know.
        self.incarnation = self.incarnation.max(update.incarnation);
        self.refutations = update.refutations.saturating_add(1);
        self.worsen_local_health(1);
    }

    /// Leaves the fleet and returns the messages to send.
    pub fn leave(&mut self) -> Vec<(Member, Message)> {
        let reachable = |peer: &PeerRecord| matches!(peer.state, State::Alive | State::Suspect);
        let to: Vec<Member> = self
            .peers
            .iter()
            .filter(|(_, peer)| reachable(peer))
            .map(|(m, _)| *m)
            .take(LEAVE_FANOUT)
            .collect();
        let (member, incarnation, refutations, reported_by) =
            (self.me, self.incarnation, self.refutations, self.me);
        let update = Update { member, incarnation, refutations, state: State::Left, reported_by };
        let leave_message = |m: &Member| {
            let message = Message {
                // Only the update matters: a nack is not answered, and pings begin with serial number 1.
                kind: Kind::Nack,
                serial: 0,
                target: self.me,
                incarnation,
                refutations,
                updates: vec![update],
            };
            (*m, message)
        };
        let out = to.iter().map(leave_message).collect();
        self.left = true;
        out
    }

    /// Builds a message with updates: first the suspicion, death or departure of the recipient itself, if
    /// any, then recent changes in order of fewest transmissions, then parts of the view in turn, so that
    /// views converge whatever messages are lost.
    fn message(&mut self, kind: Kind, serial: u32, target: Member, to: Member) -> Message {
        let n = self.peers.len() as u32 + 1;
        let max_transmissions = RETRANSMIT_MULTIPLIER * (n.ilog2() + 1);
        let update = |member: Member, peer: &PeerRecord| Update {
            member,
            incarnation: peer.incarnation,
            refutations: peer.refutations,
            state: peer.state,
            reported_by: peer.reported_by,
        };
        let doubted = |peer: &PeerRecord| matches!(peer.state, State::Suspect | State::Dead | State::Left);
        let mut updates: Vec<Update> = self
            .peers
            .get(&to)
            .filter(|peer| doubted(peer))
            .map(|peer| update(to, peer))
            .into_iter()
            .collect();
        let mut recent: Vec<(u32, Member)> = self
            .peers
            .iter()
            .filter(|(member, peer)| peer.transmissions < max_transmissions && **member != to)
            .map(|(member, peer)| (peer.transmissions, *member))
            .collect();
        recent.sort_unstable();
        for (_, m) in recent.into_iter().take(MAX_UPDATES - updates.len()) {
            if let Some(peer) = self.peers.get_mut(&m) {
                peer.transmissions += 1;
                updates.push(update(m, peer));
            }
        }
        let known = |peer: &PeerRecord| peer.state != State::Unknown;
        let from = self.cursor;
        let (after, before) = (self.peers.range(from..), self.peers.range(..from));
        let rest: Vec<Update> = after
            .chain(before)
            .filter(|(member, peer)| {
                **member != to && known(peer) && !updates.iter().any(|u| u.member == **member)
            })
            .map(|(member, peer)| update(*member, peer))
            .take(MAX_UPDATES - updates.len())
            .collect();
        if let Some(last) = rest.last() {
            self.cursor = last.member.wrapping_add(1);
        }
        updates.extend(rest);
        Message {
            kind,
            serial,
            target,
            incarnation: self.incarnation,
            refutations: self.refutations,
            updates,
        }
    }
}
