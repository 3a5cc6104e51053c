//! A small fleet drawn from a seed: what it is made of, and the same told to each side: settings, specs, facts.

use badgerwind_check::{ClassFacts, Effect, Facts, Group, LoadLimit, RunnerFacts};
use badgerwind_standins::model::Spec;
use badgerwind_standins::senders::{Class, Phase, Plan};
use badgerwind_standins::store;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// How hard a day is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    clap::ValueEnum,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// A fifth of what the runners can do, one or two of them in trouble.
    #[default]
    Calm,
    /// About half of it, and memory that just holds what is popular.
    Rough,
    /// At capacity, with a third of the runners in trouble, overlapping; memory too small, rations and quotas that bite,
    /// senders that repeat at once and unmarked, short patience.
    Hard,
    /// Beyond it: also a store that refuses, nearly all front ends restarted, all runners drained, lists far behind.
    Brutal,
}

/// What differs from what a seed and a severity draw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dials {
    /// How hard.
    pub severity: Severity,
    /// Work asked for, as a multiple of what all runners can do when warm and well.
    pub load: Option<f64>,
    /// Front ends.
    pub fronts: Option<u32>,
    /// Runners.
    pub runners: Option<u32>,
}

/// A class of the world.
#[derive(Clone, Debug)]
pub struct WorldClass {
    /// Its name.
    pub name: &'static str,
    /// Its functions begin with this.
    pub functions: &'static str,
    /// How many.
    pub count: u32,
    /// Its share of calls.
    pub share: f64,
    /// Mean work in microseconds.
    pub mean_us: f64,
    /// Wanted within, in milliseconds.
    pub aim_ms: u64,
    /// Given up after.
    pub deadline_ms: u64,
    /// It may run twice.
    pub repeatable: bool,
    /// Worth.
    pub worth: f64,
    /// Memory of a copy.
    pub memory_mb: f64,
    /// Lanes of a copy.
    pub lanes: u32,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct World {
    /// Its seed.
    pub seed: u64,
    /// How long calls come.
    pub seconds: u64,
    /// Front ends.
    pub fronts: u32,
    /// Runners, by their place; ids begin at 1.
    pub runners: Vec<Spec>,
    /// Runners load what they lack while a call waits.
    pub loads_when_absent: bool,
    /// Loads are rationed.
    pub rationed: bool,
    /// Calls a second, all tenants together.
    pub rate: f64,
    /// The classes.
    pub classes: Vec<WorldClass>,
    /// The handler store.
    pub store: store::Spec,
    /// Tenants and their parts of the rate.
    pub tenants: Vec<(&'static str, f64)>,
    /// Senders mark repeats.
    pub marks: bool,
    /// Runners fence lodgements, and senders try them again whatever became of the try before.
    pub fenced: bool,
    /// Senders try lodgements again without a fence: what must be found.
    pub reckless: bool,
    /// Front ends follow a control service there.
    pub control: Option<SocketAddr>,
    /// Front ends hand events over at most this often, in microseconds.
    pub round_us: u64,
    /// Attributes of the budgets for failed signatures, behind a balancer on loopback; `None`: as they are by
    /// themselves, without one.
    pub guard: Option<String>,
    /// What front ends log.
    pub level: &'static str,
    /// How hard the day is.
    pub severity: Severity,
    /// The limit on load orders, where there is one.
    pub loads: LoadLimit,
    /// Quotas, as multiples of each tenant's part of the rate.
    pub quotas: Vec<f64>,
    /// Senders' wait before they try again, in milliseconds.
    pub wait_ms: u64,
    /// Tries after the first.
    pub retries: u32,
}

/// Figures that hold for every world.
const KEEP_ALIVE_MS: u64 = 6_000;
const DRAIN_GRACE_MS: u64 = 500;
const COLD_FROM: f64 = 0.2;
const COLD_SPAN_MS: u64 = 5_000;
const FALL_MULTIPLE: f64 = 2.5;
const FALL_WINDOW_MS: u64 = 1_500;
const LOADS: LoadLimit = LoadLimit { window: 10_000_000, free: 8.0, share: 0.15 };
/// What a message may take between two writers on a busy machine.
const TRANSIT_US: u64 = 60_000;
/// Share of its worth that a late answer earns.
const LATE_WORTH: f64 = 0.2;
const MEMORY_MB: f64 = 8_000.0;

impl World {
    /// Draws a world; the same for the same seed.
    pub fn draw(seed: u64, seconds: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let loads_when_absent = rng.random::<bool>();
        let rationed = !loads_when_absent;
        let runner = |rng: &mut StdRng| Spec {
            cores: 2.0,
            speed: rng.random_range(0.7..1.1),
            queue: 16,
            memory_mb: MEMORY_MB,
            loads: 4,
            keep_alive: KEEP_ALIVE_MS * 1000 + 500_000,
            loads_when_absent,
            eager: rng.random::<bool>(),
            cold_from: COLD_FROM,
            cold_span: COLD_SPAN_MS * 1000,
            fall_multiple: FALL_MULTIPLE,
            fall_window: FALL_WINDOW_MS * 1000,
            start: rng.random_range(50_000..120_000),
        };
        let class = |name, functions, repeatable, worth, share, rng: &mut StdRng| WorldClass {
            name,
            functions,
            count: rng.random_range(3..7),
            share,
            mean_us: rng.random_range(15_000.0..35_000.0),
            aim_ms: 600,
            deadline_ms: 2_000,
            repeatable,
            worth,
            memory_mb: rng.random_range(200.0..600.0),
            lanes: rng.random_range(1..3),
        };
        World {
            seed,
            seconds,
            fronts: 3,
            runners: (0..rng.random_range(6..8)).map(|_| runner(&mut rng)).collect(),
            loads_when_absent,
            rationed,
            rate: rng.random_range(80.0..130.0),
            classes: vec![
                class("check-answers", "check-", true, 3.0, 0.5, &mut rng),
                class("save-draft", "draft-", true, 3.0, 0.27, &mut rng),
                class("lodge-return", "lodge-", false, 2.0, 0.23, &mut rng),
            ],
            store: store::Spec {
                fetch: rng.random_range(80_000..200_000),
                full_rate_fetches: 6.0,
                max_fetches: 24,
            },
            tenants: vec![("brolga-shire", 0.67), ("tallow-creek", 0.33)],
            marks: rng.random::<bool>(),
            fenced: false,
            reckless: false,
            control: None,
            round_us: 2_000,
            guard: None,
            level: "info",
            severity: Severity::Calm,
            loads: LOADS,
            quotas: vec![1.5, 1.5],
            wait_ms: 150,
            retries: 2,
        }
    }

    /// What all runners can do when warm and well, in cores of speed 1.
    pub fn capacity(&self) -> f64 {
        self.runners.iter().map(|r| r.cores * r.speed).sum()
    }

    /// Mean work of a call, in microseconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * c.mean_us).sum::<f64>() / shares
    }

    /// Work asked for, as a share of the capacity.
    pub fn load(&self) -> f64 {
        self.rate * self.mean_work() / 1e6 / self.capacity()
    }

    /// Draws a world and turns its dials. A calm one with none turned is [`World::draw`]'s own.
    pub fn dialled(seed: u64, seconds: u64, dials: Dials) -> World {
        let mut w = World::draw(seed, seconds);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x6469_616c);
        w.severity = dials.severity;
        if let Some(n) = dials.runners {
            let mut n = n as usize;
            while w.runners.len() < n {
                let like = w.runners[rng.random_range(0..w.runners.len())].clone();
                w.runners.push(Spec { speed: rng.random_range(0.7..1.1), ..like });
            }
            n = n.max(2);
            w.runners.truncate(n);
        }
        w.fronts = dials.fronts.unwrap_or(w.fronts);
        // Copies of all functions, as a share of all memory: what is held too much pushes the rest out.
        let (load, crowding) = match dials.severity {
            Severity::Calm => (None, None),
            Severity::Rough => (Some(rng.random_range(0.4..0.7)), Some(0.6)),
            Severity::Hard => (Some(rng.random_range(0.9..1.5)), Some(1.2)),
            Severity::Brutal => (Some(rng.random_range(1.2..2.0)), Some(1.6)),
        };
        if w.severity >= Severity::Hard {
            w.loads = LoadLimit { free: 3.0, share: 0.05, ..LOADS };
            // One tenant is over its share all day.
            w.quotas = vec![1.5, 0.5];
            (w.wait_ms, w.marks, w.retries) = (20, false, 3);
            for c in &mut w.classes {
                (c.aim_ms, c.deadline_ms) = (400, rng.random_range(900..1_500));
            }
        }
        if w.severity == Severity::Brutal {
            w.store = store::Spec { max_fetches: 4, full_rate_fetches: 2.0, ..w.store };
        }
        if let Some(crowding) = crowding {
            let one = w.classes.iter().map(|c| f64::from(c.count) * c.memory_mb).sum::<f64>();
            // Never so small that the largest copy fits no runner twice.
            let largest = w.classes.iter().map(|c| c.memory_mb).fold(0.0, f64::max);
            let each = (one * 3.0 / crowding / w.runners.len() as f64).max(2.0 * largest);
            w.runners.iter_mut().for_each(|r| r.memory_mb = each.min(MEMORY_MB));
        }
        if let Some(load) = dials.load.or(load) {
            w.rate = load * w.capacity() * 1e6 / w.mean_work();
        }
        w
    }

    /// Ids of the runners.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        1..=self.runners.len() as u32
    }

    /// The settings of one front end; `keys` is the folder with the key files.
    pub fn settings(
        &self,
        number: u32,
        listen: SocketAddr,
        list: SocketAddr,
        keys: &Path,
        cache: &Path,
    ) -> String {
        let mut x = String::new();
        // Writing to a `String` cannot fail.
        let mut line = |text: String| _ = writeln!(x, "{text}");
        line("<badgerwind version=\"1\">".into());
        line(format!(
            "  <fleet front-ends=\"{}\" number=\"{number}\" zone=\"here\" when-absent=\"{}\" keep-alive=\"{KEEP_ALIVE_MS}ms\" \
             order-timeout=\"5s\" round=\"{}us\" seed=\"{}\">",
            self.fronts,
            if self.loads_when_absent { "load" } else { "miss" },
            self.round_us,
            self.seed * 100 + u64::from(number) + 1
        ));
        line("    <zone name=\"here\"/>".into());
        let memory = self.runners.first().map_or(MEMORY_MB, |r| r.memory_mb);
        line(format!("    <kind name=\"small\" memory-mb=\"{memory:.0}\"/>"));
        line("  </fleet>".into());
        let (window, free, share) = match self.rationed {
            true => (self.loads.window / 1_000_000, self.loads.free, self.loads.share),
            false => (0, 0.0, 0.0),
        };
        line(format!(
            "  <rules answer-slack=\"30ms\" drain-grace=\"{DRAIN_GRACE_MS}ms\" cold-from=\"{COLD_FROM}\" \
             warm-after=\"{COLD_SPAN_MS}ms\" fall-multiple=\"{FALL_MULTIPLE}\" fall-window=\"{FALL_WINDOW_MS}ms\" \
             load-window=\"{window}s\" load-free=\"{free}\" load-share=\"{share}\"/>"
        ));
        line("  <prices idle=\"0.05\" fetch=\"0.1\" over-share-worth=\"0.05\"/>".into());
        line("  <allow max-attempts=\"4\" retry-after=\"2s\"/>".into());
        self.classes_part(0).into_iter().for_each(&mut line);
        line(format!("  <webhook listen=\"{listen}\">"));
        for (tenant, _) in &self.tenants {
            line(format!("    <sender name=\"{tenant}-portal\" tenant=\"{tenant}\">"));
            line(format!(
                "      <secret name=\"first\" file=\"{}\"/>",
                keys.join(format!("{tenant}.key")).display()
            ));
            line("    </sender>".into());
        }
        for (tenant, _) in &self.tenants {
            for c in &self.classes {
                line(format!(
                    "    <route path=\"/{tenant}/{}/*\" sender=\"{tenant}-portal\" class=\"{}\"/>",
                    c.name, c.name
                ));
            }
        }
        if let Some(guard) = &self.guard {
            line(format!("    <guard {guard}><balancer address=\"127.0.0.1\"/></guard>"));
        }
        line("  </webhook>".into());
        line(format!("  <runners key-file=\"{}\" connections=\"512\"/>", keys.join("runners.key").display()));
        line(format!("  <list address=\"{list}\" cache=\"{}\" retry=\"100ms\"/>", cache.display()));
        if let Some(address) = self.control {
            line(format!(
                "  <control name=\"front-{number}\" keep=\"front-{number}.bwc\" wait=\"2s\" retry=\"50ms\" \
                 most-retry=\"500ms\"><service address=\"{address}\"/></control>"
            ));
        }
        line(format!("  <log format=\"json\" level=\"{}\"/>", self.level));
        line("  <stop within=\"5s\"/>".into());
        line("</badgerwind>".into());
        x
    }

    /// Classes, tenants and functions, line by line. Versions differ in the tenants' quotas alone, which a router is
    /// told at its start.
    fn classes_part(&self, version: u64) -> Vec<String> {
        let mut lines = Vec::new();
        for c in &self.classes {
            let effect = if c.repeatable { "repeatable" } else { "once" };
            lines.push(format!(
                "  <class name=\"{}\" aim=\"{}ms\" deadline=\"{}ms\" effect=\"{effect}\" worth=\"{}\" late-worth=\"{LATE_WORTH}\"/>",
                c.name, c.aim_ms, c.deadline_ms, c.worth
            ));
        }
        for ((tenant, part), times) in self.tenants.iter().zip(&self.quotas) {
            lines.push(format!(
                "  <tenant name=\"{tenant}\" quota=\"{:.1}\"/>",
                self.rate * part * (times + 0.01 * version as f64)
            ));
        }
        for c in &self.classes {
            for n in 0..c.count {
                lines.push(format!(
                    "  <function name=\"{}{n}\" memory-mb=\"{:.1}\" lanes=\"{}\" load-time=\"{}us\"/>",
                    c.functions,
                    c.memory_mb,
                    c.lanes,
                    self.store.fetch + 80_000
                ));
            }
        }
        lines
    }

    /// A version of the part of kind classes; every third cannot be.
    pub fn classes_version(&self, version: u64) -> String {
        let lines = self.classes_part(version).join("\n");
        let text = format!("<badgerwind version=\"1\">\n{lines}\n</badgerwind>\n");
        if version % 3 == 0 {
            // Too short to answer in, whatever the day's own is.
            let own = format!("deadline=\"{}ms\"", self.classes[0].deadline_ms);
            text.replace(&own, "deadline=\"20ms\"")
        } else {
            text
        }
    }

    /// What the judge is told.
    pub fn facts(&self) -> Facts {
        let class = |c: &WorldClass| {
            let effect = if c.repeatable { Effect::Repeatable } else { Effect::Once };
            let (aim, work) = (c.aim_ms * 1000, c.mean_us);
            (
                c.name.to_owned(),
                ClassFacts {
                    effect,
                    group: Group::All,
                    window: 0,
                    aim,
                    work,
                    fenced: self.fenced && !c.repeatable,
                    worth: c.worth,
                    late_worth: LATE_WORTH,
                },
            )
        };
        let runner = |(id, s): (u32, &Spec)| {
            let (cold_from, cold_span) = (s.cold_from, s.cold_span);
            (id, RunnerFacts { capacity: s.cores * s.speed, cold_from, cold_span, zone: 0, cell: 0 })
        };
        Facts {
            classes: self.classes.iter().map(class).collect(),
            runners: self.ids().zip(&self.runners).map(runner).collect(),
            may_duplicate: false,
            drain_grace: DRAIN_GRACE_MS * 1000,
            fall_multiple: FALL_MULTIPLE,
            fall_window: FALL_WINDOW_MS * 1000,
            loads: if self.rationed { self.loads } else { LoadLimit { window: 0, free: 0.0, share: 0.0 } },
            transit: TRANSIT_US,
        }
    }

    /// The senders of each tenant; phases fall on all of them.
    pub fn plans(&self, fronts: &[SocketAddr], phases: &[Phase]) -> Vec<Plan> {
        let plan = |(n, (tenant, part)): (usize, &(&'static str, f64))| Plan {
            fronts: fronts.to_vec(),
            sender: format!("{tenant}-portal"),
            tenant: (*tenant).to_owned(),
            seed: self.seed.wrapping_mul(31).wrapping_add(n as u64),
            rate: self.rate * part,
            length: self.seconds * 1_000_000,
            classes: self
                .classes
                .iter()
                .map(|c| Class {
                    name: c.name.to_owned(),
                    path: format!("/{tenant}/{}/", c.name),
                    functions: c.functions.to_owned(),
                    count: c.count,
                    share: c.share,
                    mean_us: c.mean_us,
                    timeout_ms: c.deadline_ms,
                    repeatable: c.repeatable || self.fenced || self.reckless,
                })
                .collect(),
            zipf: 1.2,
            retries: self.retries,
            wait_ms: self.wait_ms,
            marks: self.marks,
            phases: phases.to_vec(),
        };
        self.tenants.iter().enumerate().map(plan).collect()
    }
}
