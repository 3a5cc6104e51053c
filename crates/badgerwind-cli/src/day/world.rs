//! A small fleet drawn from a seed. Its description yields the front ends' settings, the stand-ins' specs and the
//! checker's facts.

use badgerwind_check::{ClassFacts, Effect, Facts, Group, LoadLimit, RunnerFacts};
use badgerwind_standins::model::Spec;
use badgerwind_standins::senders::{Class, Phase, Plan};
use badgerwind_standins::store;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// How heavy the load and the faults of a day are.
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
    /// Load of a fifth of the runners' capacity; one or two runners with faults.
    #[default]
    Calm,
    /// Load of about half the capacity, and memory for the popular functions only.
    Rough,
    /// Load at capacity, overlapping faults on a third of the runners, too little memory, rations and quotas that are
    /// reached, senders with short timeouts that retry at once and do not mark their retries.
    Hard,
    /// Load beyond capacity; also a store that rejects fetches, restarts of nearly all front ends, drains of all runners
    /// and lists that are far behind.
    Brutal,
}

/// Values that replace those drawn from the seed and the severity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Severity from which the other values are drawn.
    pub severity: Severity,
    /// Requested work, as a multiple of the capacity of all runners when warm and healthy.
    pub load: Option<f64>,
    /// Number of front ends.
    pub fronts: Option<u32>,
    /// Number of runners.
    pub runners: Option<u32>,
}

/// A class of calls.
#[derive(Clone, Debug)]
pub struct WorldClass {
    /// Name of the class.
    pub name: &'static str,
    /// Prefix of the names of its functions.
    pub function_prefix: &'static str,
    /// Number of its functions.
    pub count: u32,
    /// Share of all calls.
    pub share: f64,
    /// Mean work of a call, in microseconds.
    pub mean_us: f64,
    /// Latency target, in milliseconds.
    pub aim_ms: u64,
    /// Time after which senders give up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a call may run twice.
    pub repeatable: bool,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Memory of a copy, in megabytes.
    pub memory_mb: f64,
    /// Number of lanes of a copy.
    pub lanes: u32,
}

/// Description of a fleet and its traffic.
#[derive(Clone, Debug)]
pub struct World {
    /// Seed from which it was drawn.
    pub seed: u64,
    /// Duration of the traffic, in seconds.
    pub seconds: u64,
    /// Number of front ends.
    pub fronts: u32,
    /// Specs of the runners; ids are positions counted from 1.
    pub runners: Vec<Spec>,
    /// Whether runners load an absent function while the call waits.
    pub loads_when_absent: bool,
    /// Whether load orders are limited.
    pub rationed: bool,
    /// Calls per second of all tenants.
    pub rate: f64,
    /// Classes of calls.
    pub classes: Vec<WorldClass>,
    /// Spec of the handler store.
    pub store: store::Spec,
    /// Tenants and their shares of the rate.
    pub tenants: Vec<(&'static str, f64)>,
    /// Whether senders mark their retries.
    pub mark_retries: bool,
    /// Runners fence lodgements, and senders retry them whatever the outcome of the previous try.
    pub fenced: bool,
    /// Senders retry lodgements without a fence, which the checks must detect.
    pub reckless: bool,
    /// Address of the control service that front ends follow, if any.
    pub control: Option<SocketAddr>,
    /// Round of the front ends: shortest interval between two batches of events, in microseconds.
    pub round_us: u64,
    /// Attributes of the `guard` element, the limits on failed signatures, with a load balancer on loopback. `None`
    /// leaves the defaults, without a load balancer.
    pub guard: Option<String>,
    /// Log level of the front ends.
    pub level: &'static str,
    /// Severity of the day.
    pub severity: Severity,
    /// The limit on load orders, which applies if `rationed` is set.
    pub loads: LoadLimit,
    /// Quotas, as multiples of each tenant's share of the rate.
    pub quotas: Vec<f64>,
    /// Senders' wait before a retry, in milliseconds.
    pub retry_wait_ms: u64,
    /// Maximum number of retries of a call.
    pub retries: u32,
}

/// How long runners keep an idle copy, in milliseconds, as the settings state it; the runners add half a second.
const KEEP_ALIVE_MS: u64 = 6_000;
/// How long after the announcement of a drain calls may still be sent to the runner, in milliseconds.
const DRAIN_GRACE_MS: u64 = 500;
/// Speed of a cold runner, as a share of its full speed.
const COLD_FROM: f64 = 0.2;
/// Time in which a cold runner reaches its full speed, in milliseconds.
const COLD_SPAN_MS: u64 = 5_000;
/// A cold runner falls over when sent more than this multiple of its present capacity.
const FALL_MULTIPLE: f64 = 2.5;
/// Window over which `FALL_MULTIPLE` is measured, in milliseconds.
const FALL_WINDOW_MS: u64 = 1_500;
/// Limit on load orders, up to [`Severity::Rough`].
const LOADS: LoadLimit = LoadLimit { window: 10_000_000, free: 8.0, share: 0.15 };
/// Longest transfer of a message between two recording processes on a busy machine, in microseconds.
const TRANSIT_US: u64 = 60_000;
/// Share of its worth that a late answer earns.
const LATE_WORTH: f64 = 0.2;
/// Memory of a runner on days without memory pressure, in megabytes.
const MEMORY_MB: f64 = 8_000.0;

impl World {
    /// Draws a world. The same seed yields the same world.
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
        let class = |name, function_prefix, repeatable, worth, share, rng: &mut StdRng| WorldClass {
            name,
            function_prefix,
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
            mark_retries: rng.random::<bool>(),
            fenced: false,
            reckless: false,
            control: None,
            round_us: 2_000,
            guard: None,
            level: "info",
            severity: Severity::Calm,
            loads: LOADS,
            quotas: vec![1.5, 1.5],
            retry_wait_ms: 150,
            retries: 2,
        }
    }

    /// Capacity of all runners when warm and healthy, in cores of speed 1.
    pub fn capacity(&self) -> f64 {
        self.runners.iter().map(|r| r.cores * r.speed).sum()
    }

    /// Mean work of a call, in microseconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * c.mean_us).sum::<f64>() / shares
    }

    /// Requested work, as a share of the capacity.
    pub fn load(&self) -> f64 {
        self.rate * self.mean_work() / 1e6 / self.capacity()
    }

    /// Draws a world and applies a severity and overrides. A calm one without overrides equals that of [`World::draw`].
    pub fn with_overrides(seed: u64, seconds: u64, overrides: Overrides) -> World {
        let mut world = World::draw(seed, seconds);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x6469_616c);
        world.severity = overrides.severity;
        if let Some(n) = overrides.runners {
            let mut n = n as usize;
            while world.runners.len() < n {
                let like = world.runners[rng.random_range(0..world.runners.len())].clone();
                world.runners.push(Spec { speed: rng.random_range(0.7..1.1), ..like });
            }
            n = n.max(2);
            world.runners.truncate(n);
        }
        world.fronts = overrides.fronts.unwrap_or(world.fronts);
        // `memory_use` is the memory of three copies of every function as a share of all runners' memory. Above 1,
        // copies displace each other.
        let (load, memory_use) = match overrides.severity {
            Severity::Calm => (None, None),
            Severity::Rough => (Some(rng.random_range(0.4..0.7)), Some(0.6)),
            Severity::Hard => (Some(rng.random_range(0.9..1.5)), Some(1.2)),
            Severity::Brutal => (Some(rng.random_range(1.2..2.0)), Some(1.6)),
        };
        if world.severity >= Severity::Hard {
            world.loads = LoadLimit { free: 3.0, share: 0.05, ..LOADS };
            // The second tenant exceeds its quota all day.
            world.quotas = vec![1.5, 0.5];
            (world.retry_wait_ms, world.mark_retries, world.retries) = (20, false, 3);
            for c in &mut world.classes {
                (c.aim_ms, c.deadline_ms) = (400, rng.random_range(900..1_500));
            }
        }
        if world.severity == Severity::Brutal {
            world.store = store::Spec { max_fetches: 4, full_rate_fetches: 2.0, ..world.store };
        }
        if let Some(memory_use) = memory_use {
            let single_copies = world.classes.iter().map(|c| f64::from(c.count) * c.memory_mb).sum::<f64>();
            // Two copies of the largest function must fit into a runner.
            let largest = world.classes.iter().map(|c| c.memory_mb).fold(0.0, f64::max);
            let each = (single_copies * 3.0 / memory_use / world.runners.len() as f64).max(2.0 * largest);
            world.runners.iter_mut().for_each(|r| r.memory_mb = each.min(MEMORY_MB));
        }
        if let Some(load) = overrides.load.or(load) {
            world.rate = load * world.capacity() * 1e6 / world.mean_work();
        }
        world
    }

    /// Ids of the runners.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        1..=self.runners.len() as u32
    }

    /// The settings of one front end. `keys` is the folder with the key files.
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
        self.class_lines(0).into_iter().for_each(&mut line);
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

    /// Classes, tenants and functions, line by line. Versions differ only in the tenants' quotas, which a router receives
    /// at its start.
    fn class_lines(&self, version: u64) -> Vec<String> {
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
                    c.function_prefix,
                    c.memory_mb,
                    c.lanes,
                    self.store.fetch + 80_000
                ));
            }
        }
        lines
    }

    /// A version of the configuration part `classes`. Every third version is invalid.
    pub fn classes_version(&self, version: u64) -> String {
        let lines = self.class_lines(version).join("\n");
        let text = format!("<badgerwind version=\"1\">\n{lines}\n</badgerwind>\n");
        if version % 3 == 0 {
            // This deadline is too short for any answer and is rejected, whatever deadline the day has.
            let deadline = format!("deadline=\"{}ms\"", self.classes[0].deadline_ms);
            text.replace(&deadline, "deadline=\"20ms\"")
        } else {
            text
        }
    }

    /// The facts on the fleet that the checker needs.
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

    /// The plans of the senders, one per tenant; the phases apply to all of them.
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
                    functions: c.function_prefix.to_owned(),
                    count: c.count,
                    share: c.share,
                    mean_us: c.mean_us,
                    timeout_ms: c.deadline_ms,
                    repeatable: c.repeatable || self.fenced || self.reckless,
                })
                .collect(),
            zipf: 1.2,
            retries: self.retries,
            wait_ms: self.retry_wait_ms,
            marks: self.mark_retries,
            phases: phases.to_vec(),
        };
        self.tenants.iter().enumerate().map(plan).collect()
    }
}
