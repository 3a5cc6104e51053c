//! One front end's side of the stream: a state machine for each type of resource, and the one change that is under
//! way. The whole table of its transitions stands in `docs/protocols/config-stream.md`.
//!
//! What it promises, and is tested for by properties: a version that was turned down never runs; numbers only grow;
//! the report says what runs, at every moment; every offer is answered once; what runs is what a restart would run.

use crate::parts::{compose, Digest, Kind, Part};
use crate::wire::*;
use badgerwind_settings::document::{check, Node as Document};
use badgerwind_settings::schema::ROOT;
use badgerwind_settings::{read_tree, Problem, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Microseconds of a monotonic clock.
pub type Time = u64;

/// How far an offer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It needs a version of another type that has not come; it waits until then.
    Staged,
    /// Its keys are read and it is tried in the shadow.
    Preparing,
    /// It is written down.
    Storing,
    /// It is about to run.
    Applying,
}

/// Where a type of resource stands, told truthfully.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The type.
    pub kind: Kind,
    /// The version that runs; absent: the file's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// The version being considered, and how far it has come.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offered: Option<(u64, Phase)>,
    /// The newest version turned down, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected: Option<(u64, String)>,
}

/// What happens.
#[derive(Debug)]
pub enum Input {
    /// The service answered a question.
    Offered {
        /// The type asked about.
        kind: Kind,
        /// The question that this answers.
        ask: u64,
        /// The answer; `None`: nothing new within the time it may hold a question.
        response: Option<DiscoveryResponse>,
    },
    /// A question failed.
    Failed {
        /// The type asked about.
        kind: Kind,
        /// The question that failed.
        ask: u64,
        /// Chance, from 0 to 1, for the pause.
        draw: f64,
    },
    /// A change was tried in the shadow, its keys read.
    Prepared {
        /// Which.
        ticket: u64,
        /// Whether it may go on.
        result: Result<(), String>,
    },
    /// A change was written down.
    Stored {
        /// Which.
        ticket: u64,
        /// Whether it was.
        result: Result<(), String>,
    },
    /// A change runs.
    Applied {
        /// Which.
        ticket: u64,
    },
    /// Time has passed.
    Tick,
}

/// What to do.
#[derive(Debug)]
pub enum Do {
    /// Ask the service. An earlier question about the type that is still open is given up.
    Ask {
        /// About which type.
        kind: Kind,
        /// Names the question.
        ask: u64,
        /// The question, without what the front end says of its health.
        request: Box<DiscoveryRequest>,
    },
    /// Read the keys that these settings name, try them in the shadow, and say [`Input::Prepared`].
    Prepare {
        /// Which change.
        ticket: u64,
        /// The settings to come.
        settings: Arc<Settings>,
    },
    /// Write down the set that will run, all or nothing, and say [`Input::Stored`].
    Store {
        /// Which change.
        ticket: u64,
        /// The set.
        parts: Vec<Part>,
    },
    /// Run these settings from now on, and say [`Input::Applied`].
    Apply {
        /// Which change.
        ticket: u64,
        /// The settings.
        settings: Arc<Settings>,
    },
}

/// Times of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long an offer may wait for a version of another type.
    pub stage: Time,
    /// The first pause after a question that failed.
    pub retry: Time,
    /// The longest.
    pub most_retry: Time,
}

#[derive(Debug)]
struct Offer {
    part: Part,
    /// Turned down then, unless a change is under way; not before it was found wanting.
    until: Time,
    why: Vec<Problem>,
}

#[derive(Debug, Default)]
struct Line {
    running: Option<Part>,
    offer: Option<Offer>,
    /// The newest number turned down, with why.
    rejected: Option<(u64, String)>,
    /// Versions turned down lately, which are not tried again.
    refused: VecDeque<(u64, Digest, String)>,
    /// The nonce to answer with the next question, and why that offer was turned down if it was.
    answer: Option<(String, Option<Status>)>,
    /// The question that is open.
    asking: Option<u64>,
    ask_at: Option<Time>,
    pause: Time,
}

/// Versions turned down that are remembered, for each type.
const MOST_REFUSED: usize = 64;
/// Of a reason, at the most: it travels with every question.
const MOST_REASON: usize = 1_000;

#[derive(Debug)]
struct Change {
    ticket: u64,
    phase: Phase,
    parts: Vec<Part>,
    settings: Arc<Settings>,
}

/// The machine.
#[derive(Debug)]
pub struct Client {
    node: (String, String),
    file: Document,
    times: Times,
    lines: BTreeMap<Kind, Line>,
    change: Option<Change>,
    next_ticket: u64,
    next_ask: u64,
}

fn status(code: u32, message: impl Into<String>) -> Status {
    let mut message: String = message.into();
    if message.len() > MOST_REASON {
        let at = (0..=MOST_REASON).rev().find(|&at| message.is_char_boundary(at)).unwrap_or(0);
        message.truncate(at);
        message.push_str(" ...");
    }
    Status { code, message }
}

fn told(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

impl Client {
    /// A machine that begins with what the file says and what was kept. Kept parts that do not fit the file any
    /// more are left out, with the reason; the settings to begin with come back.
    pub fn new(
        (id, cluster): (String, String),
        file: Document,
        kept: Vec<Part>,
        times: Times,
    ) -> Result<(Client, Settings, Vec<Problem>), Vec<Problem>> {
        let mut lines: BTreeMap<Kind, Line> = Kind::ALL.into_iter().map(|k| (k, Line::default())).collect();
        let (settings, problems) = match read_tree(&compose(&file, &kept)) {
            Ok(settings) => {
                for part in kept {
                    if let Some(line) = lines.get_mut(&part.kind) {
                        line.running = Some(part);
                    }
                }
                (settings, Vec::new())
            }
            Err(problems) => (read_tree(&file)?, problems),
        };
        let client =
            Client { node: (id, cluster), file, times, lines, change: None, next_ticket: 0, next_ask: 0 };
        Ok((client, settings, problems))
    }

    /// Begins: asks about every type.
    pub fn begin(&mut self, now: Time, out: &mut Vec<Do>) {
        for kind in Kind::ALL {
            self.ask(now, kind, out);
        }
    }

    /// Where every type stands.
    pub fn report(&self) -> Vec<Report> {
        let one = |(&kind, line): (&Kind, &Line)| {
            let changing = self
                .change
                .as_ref()
                .and_then(|c| c.parts.iter().find(|p| p.kind == kind).map(|p| (p.version, c.phase)));
            let staged = line.offer.as_ref().map(|o| (o.part.version, Phase::Staged));
            Report {
                kind,
                running: line.running.as_ref().map(|p| p.version),
                offered: changing.or(staged),
                rejected: line.rejected.clone(),
            }
        };
        self.lines.iter().map(one).collect()
    }

    /// When it wants [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Time> {
        let asks = self.lines.values().filter_map(|l| l.ask_at);
        let staged = self.lines.values().filter_map(|l| l.offer.as_ref().map(|o| o.until));
        let stages = staged.filter(|until| self.change.is_none() && *until < Time::MAX);
        asks.chain(stages).min()
    }

    /// Takes in what happened.
    pub fn on(&mut self, now: Time, input: Input, out: &mut Vec<Do>) {
        match input {
            Input::Offered { kind, ask, response } => self.offered(now, (kind, ask), response, out),
            Input::Failed { kind, ask, draw } => {
                let (first, most) = (self.times.retry, self.times.most_retry);
                let Some(line) = self.lines.get_mut(&kind).filter(|l| l.asking == Some(ask)) else { return };
                line.asking = None;
                // Decorrelated jitter: each pause is drawn between the first and thrice the last, so that front
                // ends that lost the service together do not come back together.
                let last = line.pause.max(first) as f64;
                let span = first as f64 + draw.clamp(0.0, 1.0) * (3.0 * last - first as f64);
                line.pause = (span as Time).clamp(first, most);
                line.ask_at = Some(now + line.pause);
            }
            Input::Prepared { ticket, result } => {
                let Some(change) = self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Preparing)
                else {
                    return;
                };
                match result {
                    Ok(()) => self.store(change, out),
                    Err(why) => self.reject_change(now, change, status(9, why), out),
                }
            }
            Input::Stored { ticket, result } => {
                let Some(mut change) =
                    self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Storing)
                else {
                    return;
                };
                match result {
                    Ok(()) => {
                        change.phase = Phase::Applying;
                        out.push(Do::Apply { ticket, settings: change.settings.clone() });
                        self.change = Some(change);
                    }
                    // What cannot be kept does not run: a restart would fall back behind it.
                    Err(why) => {
                        self.reject_change(now, change, status(8, format!("it cannot be kept: {why}")), out);
                    }
                }
            }
            Input::Applied { ticket } => {
                let Some(change) = self.change.take_if(|c| c.ticket == ticket && c.phase == Phase::Applying)
                else {
                    return;
                };
                for part in change.parts {
                    let kind = part.kind;
                    if let Some(line) = self.lines.get_mut(&kind) {
                        line.running = Some(part);
                    }
                    self.ask(now, kind, out);
                }
                self.try_offers(now, out);
            }
            Input::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Do>) {
        for kind in Kind::ALL {
            if self.lines[&kind].ask_at.is_some_and(|at| at <= now) {
                self.ask(now, kind, out);
            }
            // What waits behind a change has not been judged against it.
            let late = |l: &mut Line| l.offer.take_if(|o| o.until <= now);
            let lines = self.lines.get_mut(&kind).filter(|_| self.change.is_none());
            if let Some(offer) = lines.and_then(late) {
                let why = status(3, told(&offer.why));
                self.reject(&offer.part, &why);
                self.answer(now, kind, Some(why), out);
            }
        }
    }

    fn offered(
        &mut self,
        now: Time,
        (kind, ask): (Kind, u64),
        response: Option<DiscoveryResponse>,
        out: &mut Vec<Do>,
    ) {
        let Some(line) = self.lines.get_mut(&kind).filter(|l| l.asking == Some(ask)) else {
            return; // an answer to a question that has failed or was given up
        };
        (line.asking, line.pause) = (None, 0);
        let Some(response) = response else { return self.ask(now, kind, out) };
        line.answer = Some((response.nonce.clone(), None));
        match self.judge(kind, &response) {
            Ok(None) => self.ask(now, kind, out), // what runs, offered again
            Ok(Some(part)) => {
                if let Some(line) = self.lines.get_mut(&kind) {
                    line.offer = Some(Offer { part, until: Time::MAX, why: Vec::new() });
                }
                // A change of the same type that is only being tried gives way to the newer one.
                if self
                    .change
                    .as_ref()
                    .is_some_and(|c| c.phase == Phase::Preparing && c.parts.iter().any(|p| p.kind == kind))
                {
                    self.give_way(kind);
                }
                self.try_offers(now, out);
            }
            Err((part, why)) => {
                if let Some((version, digest)) = part {
                    self.refuse(kind, version, digest, &why);
                }
                self.answer(now, kind, Some(why), out);
            }
        }
    }

    /// The parts of other types in a change that gives way are offers again.
    fn give_way(&mut self, newer: Kind) {
        let Some(change) = self.change.take() else { return };
        for part in change.parts.into_iter().filter(|p| p.kind != newer) {
            if let Some(line) = self.lines.get_mut(&part.kind) {
                let until = Time::MAX; // it was fit before; it is judged anew at once
                line.offer.get_or_insert(Offer { part, until, why: Vec::new() });
            }
        }
    }

    /// A fresh part; `None` where it runs already; or why it cannot be, with what names it if it has a number.
    #[allow(clippy::type_complexity)] // one use
    fn judge(
        &self,
        kind: Kind,
        response: &DiscoveryResponse,
    ) -> Result<Option<Part>, (Option<(u64, Digest)>, Status)> {
        let line = &self.lines[&kind];
        if response.type_url != kind.url() {
            let text = format!("type_url is {}, asked was {}", response.type_url, kind.url());
            return Err((None, status(3, text)));
        }
        let Ok(version) = response.version_info.parse::<u64>() else {
            return Err((
                None,
                status(3, format!("version_info \"{}\" is no whole number", response.version_info)),
            ));
        };
        let [resource] = &response.resources[..] else {
            return Err((None, status(3, format!("{} resources, one was asked", response.resources.len()))));
        };
        let part = Part::read(kind, version, &resource.value);
        let digest = part.as_ref().map_or_else(|_| text_digest(&resource.value), |p| p.digest);
        let named = Some((version, digest));
        if line.offer.as_ref().is_some_and(|o| o.part.version == version && o.part.digest == digest) {
            return Ok(None); // it waits already
        }
        // What is about to run counts as what runs: a question may have stayed open beside the change.
        let changing = self.change.as_ref().and_then(|c| c.parts.iter().find(|p| p.kind == kind));
        if let Some(running) = changing.or(line.running.as_ref()) {
            if version == running.version && digest == running.digest {
                return Ok(None);
            }
            if version == running.version {
                let text =
                    format!("version {version} runs with other content: two control services disagree");
                return Err((None, status(9, text)));
            }
            if version < running.version {
                let text = format!(
                    "version {version} is older than {}, which runs: a control service restored from a backup; \
                     to roll back on purpose, publish the old content under a new number",
                    running.version
                );
                return Err((None, status(9, text)));
            }
        }
        if let Some((_, _, why)) = line.refused.iter().find(|(v, d, _)| *v == version && *d == digest) {
            return Err((None, status(9, format!("turned down before: {why}"))));
        }
        part.map(Some).map_err(|p| (named, status(3, told(&p))))
    }

    /// Begins the next change that can be: one offer by itself, or all of them together.
    fn try_offers(&mut self, now: Time, out: &mut Vec<Do>) {
        if self.change.is_some() {
            return;
        }
        for kind in Kind::ALL {
            let Some(offer) = self.lines[&kind].offer.as_ref() else { continue };
            let (part, running) = (offer.part.clone(), self.running());
            let others = running.iter().filter(|p| p.kind != kind);
            let whole = compose(&self.file, others.chain([&part]));
            let mut form = Vec::new();
            check(&whole, &ROOT, &mut form);
            if !form.is_empty() {
                // What is malformed by itself no other part can mend.
                if let Some(line) = self.lines.get_mut(&kind) {
                    line.offer = None;
                }
                let why = status(3, told(&form));
                self.reject(&part, &why);
                self.answer(now, kind, Some(why), out);
                continue;
            }
            match read_tree(&whole) {
                Ok(settings) => return self.start(vec![part], settings, out),
                Err(why) => {
                    if let Some(offer) = self.lines.get_mut(&kind).and_then(|l| l.offer.as_mut()) {
                        offer.why = why;
                        offer.until = offer.until.min(now + self.times.stage);
                    }
                }
            }
        }
        let offers: Vec<Part> =
            self.lines.values().filter_map(|l| l.offer.as_ref().map(|o| o.part.clone())).collect();
        if offers.len() > 1 {
            let running = self.running();
            let others = running.iter().filter(|p| offers.iter().all(|o| o.kind != p.kind));
            if let Ok(settings) = read_tree(&compose(&self.file, others.chain(&offers))) {
                return self.start(offers, settings, out);
            }
        }
        // What waits for another type still asks, so that a newer version of its own can come.
        for kind in Kind::ALL {
            let line = &self.lines[&kind];
            if line.offer.is_some() && line.asking.is_none() {
                self.ask(now, kind, out);
            }
        }
    }

    fn running(&self) -> Vec<Part> {
        self.lines.values().filter_map(|l| l.running.clone()).collect()
    }

    fn start(&mut self, parts: Vec<Part>, settings: Settings, out: &mut Vec<Do>) {
        for part in &parts {
            if let Some(line) = self.lines.get_mut(&part.kind) {
                line.offer = None;
            }
        }
        self.next_ticket += 1;
        let (ticket, settings) = (self.next_ticket, Arc::new(settings));
        out.push(Do::Prepare { ticket, settings: settings.clone() });
        self.change = Some(Change { ticket, phase: Phase::Preparing, parts, settings });
    }

    fn store(&mut self, mut change: Change, out: &mut Vec<Do>) {
        let mut parts = self.running();
        parts.retain(|p| change.parts.iter().all(|c| c.kind != p.kind));
        parts.extend(change.parts.iter().cloned());
        change.phase = Phase::Storing;
        out.push(Do::Store { ticket: change.ticket, parts });
        self.change = Some(change);
    }

    fn reject_change(&mut self, now: Time, change: Change, why: Status, out: &mut Vec<Do>) {
        for part in &change.parts {
            self.reject(part, &why);
            self.answer(now, part.kind, Some(why.clone()), out);
        }
        self.try_offers(now, out);
    }

    fn reject(&mut self, part: &Part, why: &Status) {
        self.refuse(part.kind, part.version, part.digest, why);
    }

    fn refuse(&mut self, kind: Kind, version: u64, digest: Digest, why: &Status) {
        let Some(line) = self.lines.get_mut(&kind) else { return };
        line.rejected = Some((version, why.message.clone()));
        line.refused.push_back((version, digest, why.message.clone()));
        if line.refused.len() > MOST_REFUSED {
            line.refused.pop_front();
        }
    }

    /// Answers the offer of a type with the next question.
    fn answer(&mut self, now: Time, kind: Kind, why: Option<Status>, out: &mut Vec<Do>) {
        if let Some(line) = self.lines.get_mut(&kind) {
            if let (Some(answer), Some(why)) = (&mut line.answer, why) {
                answer.1 = Some(why);
            }
        }
        self.ask(now, kind, out);
    }

    fn ask(&mut self, now: Time, kind: Kind, out: &mut Vec<Do>) {
        let report = self.report();
        let Some(line) = self.lines.get_mut(&kind) else { return };
        if line.ask_at.is_some_and(|at| at > now) {
            return; // the pause after a failure holds for answers too
        }
        self.next_ask += 1;
        let ask = self.next_ask;
        (line.asking, line.ask_at) = (Some(ask), None);
        let (response_nonce, error_detail) = line.answer.clone().unwrap_or_default();
        let metadata = Metadata { report, health: Health::default() };
        let request = DiscoveryRequest {
            version_info: line.running.as_ref().map_or_else(String::new, |p| p.version.to_string()),
            node: Node { id: self.node.0.clone(), cluster: self.node.1.clone(), metadata },
            resource_names: vec![],
            type_url: kind.url(),
            response_nonce,
            error_detail,
        };
        out.push(Do::Ask { kind, ask, request: Box::new(request) });
    }
}

fn text_digest(text: &str) -> Digest {
    use sha2::Digest as _;
    sha2::Sha256::digest(text.as_bytes()).into()
}
