//! One member's view: whom it asks, whom it suspects, what it passes on, and what it says when it is suspected itself.

use crate::message::{Kind, Message, Update, UPDATES};
use crate::{Flaw, Life, Member, Span, Terms, Time};
use std::collections::BTreeMap;

/// News is passed on this many times the logarithm of the members (SWIM, section 4.1).
const TIMES: u32 = 3;
/// One question in so many goes to one that is taken for dead or was never heard of: how a split heals.
const LOST: u32 = 6;
/// Questions asked for others at once; more are passed over.
const MOST_FOR: usize = 32;
/// A member that leaves tells so many others at once; the news is theirs then.
const FAREWELL: usize = 3;

/// What a member is taken for. At the same life and incarnation the later one here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Nothing was heard of it.
    Unknown,
    /// It is there.
    Alive,
    /// It did not answer; it has some time to speak.
    Suspect,
    /// It did not speak in time.
    Dead,
    /// It said that it goes.
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

/// What is known of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Its life.
    pub life: Life,
    /// Its incarnation within that.
    pub round: u32,
    /// What it is taken for.
    pub state: State,
    /// Who found that.
    by: Member,
    /// Since when it is suspected, and by how many others.
    since: Time,
    confirmed: Vec<Member>,
    /// How often this was passed on.
    told: u32,
}

impl Seen {
    /// Its state in a word.
    pub fn word(&self) -> &'static str {
        match self.state {
            State::Unknown => "unknown",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// A question that is open.
#[derive(Clone, Debug)]
struct Asked {
    to: Member,
    serial: u32,
    at: Time,
    /// Others were asked to ask, so many, and so many said that they had no answer either.
    helpers: usize,
    nacks: usize,
    answered: bool,
}

/// A question asked for another.
#[derive(Clone, Debug)]
struct For {
    asker: Member,
    theirs: u32,
    about: Member,
    until: Time,
}

/// A member's view of the fleet. Bounded by the members that the settings name.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    life: Life,
    round: u32,
    terms: Terms,
    seen: BTreeMap<Member, Seen>,
    /// Whom it will ask, in the order of this turn.
    turn: Vec<Member>,
    questions: u32,
    asked: Option<Asked>,
    asked_for: BTreeMap<u32, For>,
    next: Time,
    /// When it was given the time last.
    ticked: Time,
    serial: u32,
    /// Signs that the trouble is its own (Lifeguard, local health).
    unsure: u32,
    /// Where the next part of the whole view begins that goes along where there is room.
    cursor: Member,
    left: bool,
    flaw: Option<Flaw>,
}

type Draw<'a> = &'a mut dyn FnMut(usize) -> usize;

impl Members {
    /// A member that starts now and has heard of nobody. Numbers that come later and are not among these are passed over.
    pub fn new(
        now: Time,
        (me, life): (Member, Life),
        others: impl IntoIterator<Item = Member>,
        terms: Terms,
    ) -> Members {
        let none = Seen {
            life: 0,
            round: 0,
            state: State::Unknown,
            by: me,
            since: now,
            confirmed: Vec::new(),
            told: u32::MAX,
        };
        Members {
            me,
            life,
            round: 0,
            seen: others.into_iter().filter(|m| *m != me).map(|m| (m, none.clone())).collect(),
            turn: Vec::new(),
            questions: 0,
            asked: None,
            asked_for: BTreeMap::new(),
            next: now,
            ticked: now,
            serial: 0,
            unsure: 0,
            cursor: 0,
            left: false,
            terms,
            flaw: None,
        }
    }

    /// With a defect; for tests that show that it is found.
    #[doc(hidden)]
    pub fn with(mut self, flaw: Option<Flaw>) -> Members {
        self.flaw = flaw;
        self
    }

    /// As one that has known these others for long, in these lives, and has nothing left to pass on; for measurements that
    /// begin in a calm fleet.
    #[doc(hidden)]
    pub fn acquainted(mut self, others: impl IntoIterator<Item = (Member, Life)>) -> Members {
        for (member, life) in others {
            if let Some(seen) = self.seen.get_mut(&member) {
                (seen.life, seen.state) = (life, State::Alive);
            }
        }
        self
    }

    /// What is known of one other; `None` for a number that the settings do not name, and for itself.
    pub fn seen(&self, member: Member) -> Option<&Seen> {
        self.seen.get(&member)
    }

    /// Its own number.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Its own life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// How unsure of itself it is: 0, or how many times longer its times are.
    pub fn unsure(&self) -> u32 {
        self.unsure
    }

    /// What is known of each other.
    pub fn view(&self) -> impl Iterator<Item = (Member, &Seen)> {
        self.seen.iter().map(|(m, s)| (*m, s))
    }

    /// How many are taken to be there, this one among them. Suspects count: they have time to speak.
    pub fn there(&self) -> usize {
        1 + self.seen.values().filter(|s| matches!(s.state, State::Alive | State::Suspect)).count()
    }

    /// What is due now. `draw` gives a number below its argument.
    pub fn tick(&mut self, now: Time, draw: Draw<'_>) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        let slept = now > std::mem::replace(&mut self.ticked, now) + self.terms.period;
        if slept && self.flaw != Some(Flaw::AlwaysSure) {
            // It was stopped itself: that a question is unanswered says nothing, and suspects had no time to speak to it.
            self.asked = None;
            self.less_sure(1);
            self.seen.values_mut().filter(|s| s.state == State::Suspect).for_each(|s| s.since = now);
        }
        self.bury(now);
        self.give_up_for(now, &mut out);
        let slower = Span::from(1 + self.unsure);
        if let Some(asked) = self.asked.clone().filter(|a| !a.answered) {
            let helping = self.flaw != Some(Flaw::AsksNobodyElse);
            if asked.helpers == 0 && helping && now >= asked.at + self.terms.answer * slower {
                self.ask_helpers(asked, &mut out, draw);
            }
        }
        if now >= self.next {
            self.next = now + self.terms.period * slower;
            self.close_question(now);
            self.open_question(now, &mut out, draw);
        }
        out
    }

    fn ask_helpers(&mut self, asked: Asked, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        let mut able: Vec<Member> =
            self.seen.iter().filter(|(_, s)| s.state == State::Alive).map(|(m, _)| *m).collect();
        able.retain(|m| *m != asked.to);
        let mut helpers = 0;
        while helpers < self.terms.helpers && !able.is_empty() {
            let helper = able.swap_remove(draw(able.len()));
            let message = self.message(Kind::PingFor, asked.serial, asked.to, helper);
            out.push((helper, message));
            helpers += 1;
        }
        // It is asked once more itself: where a third is lost, most questions that fail fail by that.
        let again = self.message(Kind::Ping, asked.serial, asked.to, asked.to);
        out.push((asked.to, again));
        // Nobody to ask is an answer too: it is not asked again.
        self.asked = Some(Asked { helpers: helpers.max(1), nacks: usize::from(helpers == 0), ..asked });
    }

    /// The period is over: who did not answer is suspected, unless the silence speaks of this member itself.
    fn close_question(&mut self, now: Time) {
        let Some(asked) = self.asked.take().filter(|a| !a.answered) else { return };
        // Helpers that say nothing at all are as silent as the one asked: the trouble may be here.
        self.less_sure(u32::from(asked.nacks < asked.helpers));
        let Some(seen) = self.seen.get(&asked.to) else { return };
        let news = Update {
            member: asked.to,
            life: seen.life,
            round: seen.round,
            state: if self.flaw == Some(Flaw::NoSuspicion) { State::Dead } else { State::Suspect },
            by: self.me,
        };
        if seen.state == State::Alive || seen.state == State::Suspect {
            self.take_in(now, &news);
        }
    }

    fn less_sure(&mut self, by: u32) {
        if self.flaw != Some(Flaw::AlwaysSure) {
            self.unsure = (self.unsure + by).min(self.terms.unsure);
        }
    }

    fn open_question(&mut self, now: Time, out: &mut Vec<(Member, Message)>, draw: Draw<'_>) {
        self.questions = self.questions.wrapping_add(1);
        let lost = |s: &Seen| matches!(s.state, State::Dead | State::Unknown | State::Left);
        let drops = self.flaw == Some(Flaw::DropsTheDead);
        let dead: Vec<Member> = self
            .seen
            .iter()
            .filter(|(_, s)| lost(s) && !(drops && s.state == State::Dead))
            .map(|(m, _)| *m)
            .collect();
        let there = self.seen.len() - self.seen.values().filter(|s| lost(s)).count();
        let to = if !dead.is_empty() && (there == 0 || self.questions % LOST == 0) {
            Some(dead[draw(dead.len())])
        } else {
            self.next_in_turn(draw)
        };
        let Some(to) = to else { return };
        self.serial = self.serial.wrapping_add(1);
        let message = self.message(Kind::Ping, self.serial, to, to);
        out.push((to, message));
        self.asked = Some(Asked { to, serial: self.serial, at: now, helpers: 0, nacks: 0, answered: false });
    }

    /// All that are there in turn, in an order drawn anew each time: the time until one is asked is bounded (SWIM, section 4.3).
    fn next_in_turn(&mut self, draw: Draw<'_>) -> Option<Member> {
        let there = |s: &Seen| matches!(s.state, State::Alive | State::Suspect);
        for _ in 0..2 {
            while let Some(m) = self.turn.pop() {
                if self.seen.get(&m).is_some_and(there) {
                    return Some(m);
                }
            }
            self.turn = self.seen.iter().filter(|(_, s)| there(s)).map(|(m, _)| *m).collect();
            for n in (1..self.turn.len()).rev() {
                self.turn.swap(n, draw(n + 1));
            }
        }
        None
    }

    /// Suspects whose time is up are dead. The more suspect one, the shorter its time (Lifeguard, section IV-B).
    fn bury(&mut self, now: Time) {
        let n = self.there();
        let terms = self.terms.clone();
        // As SWIM has it, a suspect's time grows with the logarithm of the members: news takes that long.
        let log = u64::from((n as u32).ilog2().max(1));
        for seen in self.seen.values_mut().filter(|s| s.state == State::Suspect) {
            let (least, most) = (terms.least * log * terms.period, terms.most * log * terms.period);
            let c = (seen.confirmed.len() as u32).min(terms.confirm);
            let part = (f64::from(c) + 1.0).ln() / (f64::from(terms.confirm) + 1.0).ln();
            let span = most - ((most - least) as f64 * part) as Span;
            if now >= seen.since + span {
                (seen.state, seen.told, seen.by) = (State::Dead, 0, self.me);
            }
        }
    }

    fn give_up_for(&mut self, now: Time, out: &mut Vec<(Member, Message)>) {
        let late: Vec<u32> = self.asked_for.iter().filter(|(_, f)| now >= f.until).map(|(n, _)| *n).collect();
        for serial in late {
            if let Some(f) = self.asked_for.remove(&serial) {
                let message = self.message(Kind::Nack, f.theirs, f.about, f.asker);
                out.push((f.asker, message));
            }
        }
    }

    /// A message has come; what it brings about.
    pub fn heard(&mut self, now: Time, from: Member, message: &Message) -> Vec<(Member, Message)> {
        let mut out = Vec::new();
        if !self.seen.contains_key(&from) || self.left {
            return out;
        }
        // Its own word of itself.
        let own =
            Update { member: from, life: message.life, round: message.round, state: State::Alive, by: from };
        self.take_in(now, &own);
        message.updates.iter().for_each(|u| self.take_in(now, u));
        match message.kind {
            Kind::Ping => out.push((from, self.message(Kind::Ack, message.serial, self.me, from))),
            Kind::PingFor => {
                let known = self.seen.contains_key(&message.about) && message.about != from;
                if known && self.asked_for.len() < MOST_FOR {
                    self.serial = self.serial.wrapping_add(1);
                    let until = now + 2 * self.terms.answer;
                    let (asker, theirs, about) = (from, message.serial, message.about);
                    self.asked_for.insert(self.serial, For { asker, theirs, about, until });
                    out.push((about, self.message(Kind::Ping, self.serial, about, about)));
                }
            }
            Kind::Ack => {
                if let Some(f) = self.asked_for.remove(&message.serial).filter(|f| f.about == from) {
                    out.push((f.asker, self.message(Kind::Ack, f.theirs, f.about, f.asker)));
                }
                let about = message.about;
                if let Some(asked) =
                    self.asked.as_mut().filter(|a| a.serial == message.serial && a.to == about)
                {
                    asked.answered = true;
                    self.unsure = self.unsure.saturating_sub(1);
                }
            }
            Kind::Nack => {
                if let Some(asked) = self.asked.as_mut().filter(|a| a.serial == message.serial) {
                    asked.nacks += 1;
                }
            }
        }
        out
    }

    /// News of a member. What is of an earlier life or incarnation, or says less at the same, changes nothing.
    fn take_in(&mut self, now: Time, u: &Update) {
        if u.member == self.me {
            return self.of_myself(u);
        }
        let Some(seen) = self.seen.get_mut(&u.member) else { return };
        if u.state == State::Unknown {
            return;
        }
        let (new, old) = ((u.life, u.round, u.state), (seen.life, seen.round, seen.state));
        // Two that suspect the same make it more likely; news of it goes on for each of the first few.
        let same =
            new == old && u.state == State::Suspect && u.by != seen.by && !seen.confirmed.contains(&u.by);
        if same && (seen.confirmed.len() as u32) < self.terms.confirm {
            seen.confirmed.push(u.by);
            (seen.told, seen.by) = (0, u.by);
        }
        if new > old || self.flaw == Some(Flaw::TakesOldNews) && new != old {
            let since = if u.state == State::Suspect { now } else { seen.since };
            let (life, round, state, by) = (u.life, u.round, u.state, u.by);
            *seen = Seen { life, round, state, by, since, confirmed: Vec::new(), told: 0 };
        }
    }

    /// It is said to be what it is not: it says that it is there, under an incarnation that goes before.
    fn of_myself(&mut self, u: &Update) {
        let doubted = !matches!(u.state, State::Alive | State::Unknown) || u.life > self.life;
        if !doubted || (u.life, u.round) < (self.life, self.round) || self.flaw == Some(Flaw::NeverRefutes) {
            return;
        }
        // A life that began before one of its own by its clock goes on after that one.
        self.life = self.life.max(u.life);
        self.round = u.round.saturating_add(1);
        self.less_sure(1);
    }

    /// This member goes; what to send.
    pub fn leave(&mut self) -> Vec<(Member, Message)> {
        let there = |s: &Seen| matches!(s.state, State::Alive | State::Suspect);
        let to: Vec<Member> =
            self.seen.iter().filter(|(_, s)| there(s)).map(|(m, _)| *m).take(FAREWELL).collect();
        let (member, life, round, by) = (self.me, self.life, self.round, self.me);
        let goes = Update { member, life, round, state: State::Left, by };
        let say = |m: &Member| {
            let message =
                Message { kind: Kind::Nack, serial: 0, about: self.me, life, round, updates: vec![goes] };
            (*m, message)
        };
        let out = to.iter().map(say).collect();
        self.left = true;
        out
    }

    /// A message with news: first what the receiver must know of itself, then what was told least, then parts of the whole view
    /// in turn, so that two views grow alike whatever was lost.
    fn message(&mut self, kind: Kind, serial: u32, about: Member, to: Member) -> Message {
        let n = self.seen.len() as u32 + 1;
        let often = TIMES * (n.ilog2() + 1);
        let update = |m: Member, s: &Seen| Update {
            member: m,
            life: s.life,
            round: s.round,
            state: s.state,
            by: s.by,
        };
        let doubted = |s: &Seen| matches!(s.state, State::Suspect | State::Dead | State::Left);
        let mut updates: Vec<Update> =
            self.seen.get(&to).filter(|s| doubted(s)).map(|s| update(to, s)).into_iter().collect();
        let mut news: Vec<(u32, Member)> = self
            .seen
            .iter()
            .filter(|(m, s)| s.told < often && **m != to)
            .map(|(m, s)| (s.told, *m))
            .collect();
        news.sort_unstable();
        for (_, m) in news.into_iter().take(UPDATES - updates.len()) {
            if let Some(seen) = self.seen.get_mut(&m) {
                seen.told += 1;
                updates.push(update(m, seen));
            }
        }
        let known = |s: &Seen| s.state != State::Unknown;
        let from = self.cursor;
        let (after, before) = (self.seen.range(from..), self.seen.range(..from));
        let rest: Vec<Update> = after
            .chain(before)
            .filter(|(m, s)| **m != to && known(s) && !updates.iter().any(|u| u.member == **m))
            .map(|(m, s)| update(*m, s))
            .take(UPDATES - updates.len())
            .collect();
        if let Some(last) = rest.last() {
            self.cursor = last.member.wrapping_add(1);
        }
        updates.extend(rest);
        Message { kind, serial, about, life: self.life, round: self.round, updates }
    }
}
