//! Figures of the daemon, in OpenMetrics text.

use badgerwind::interface::{Outcome, RouterStats, Span};
use badgerwind_config::Report;
use badgerwind_http::{Conn, Limits, Response};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use smol::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByAnswer {
    pub class: String,
    pub answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByOutcome {
    pub outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByReason {
    pub reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct BySender {
    pub sender: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByPart {
    pub part: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByBudget {
    pub budget: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ByZone {
    pub zone: String,
}

/// All figures; cheap to update from any thread.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub answers: Family<ByAnswer, Counter>,
    pub answer_time: Histogram,
    pub attempts: Family<ByOutcome, Counter>,
    pub orders: Family<ByOutcome, Counter>,
    pub turned_away: Family<ByReason, Counter>,
    pub held: Gauge,
    pub remembered_ids: Gauge,
    pub guard_sources: Gauge,
    pub guard_known: Gauge,
    pub failed_signatures: Family<BySender, Counter>,
    pub clock_skew: Family<BySender, Gauge>,
    pub clock_behind: Gauge,
    pub lag: Gauge<f64, AtomicU64>,
    pub connections: Gauge,
    pub runners: Gauge,
    pub list_version: Gauge<u64, AtomicU64>,
    /// Unix time of the list service's last answer, in seconds; 0 before the first.
    pub list_answered: Gauge<u64, AtomicU64>,
    pub list_failures: Counter,
    pub batch_time: Histogram,
    pub remembered: Family<ByPart, Gauge>,
    pub budget_owned: Family<ByBudget, Gauge>,
    pub budget_whole: Family<ByBudget, Gauge>,
    pub budget_refused: Family<ByBudget, Counter>,
    pub members_there: Gauge,
    pub keeper: Gauge,
    pub zone_share: Family<ByZone, Gauge<f64, AtomicU64>>,
    pub zone_moves: Family<ByZone, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("badgerwind");
        let times = || Histogram::new(exponential_buckets(0.0005, 2.0, 16));
        let (answer_time, batch_time) = (times(), times());
        let m = Metrics {
            answers: Family::default(),
            answer_time,
            attempts: Family::default(),
            orders: Family::default(),
            turned_away: Family::default(),
            held: Gauge::default(),
            remembered_ids: Gauge::default(),
            guard_sources: Gauge::default(),
            guard_known: Gauge::default(),
            failed_signatures: Family::default(),
            clock_skew: Family::default(),
            clock_behind: Gauge::default(),
            lag: Gauge::default(),
            connections: Gauge::default(),
            runners: Gauge::default(),
            list_version: Gauge::default(),
            list_answered: Gauge::default(),
            list_failures: Counter::default(),
            batch_time,
            remembered: Family::default(),
            budget_owned: Family::default(),
            budget_whole: Family::default(),
            budget_refused: Family::default(),
            members_there: Gauge::default(),
            keeper: Gauge::default(),
            zone_share: Family::default(),
            zone_moves: Family::default(),
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register("answers", "Final answers, by class and answer", m.answers.clone());
        r.register("answer_seconds", "From a call's arrival to its final answer", m.answer_time.clone());
        r.register("attempts", "Ended attempts, by outcome", m.attempts.clone());
        r.register("load_orders", "Ended load orders, by outcome", m.orders.clone());
        r.register("turned_away", "Messages answered by the front itself, by reason", m.turned_away.clone());
        r.register("held", "Calls owed an answer", m.held.clone());
        r.register("remembered_ids", "Webhook ids remembered", m.remembered_ids.clone());
        let help = "Source addresses whose budget of failed signatures is not whole";
        r.register("guard_sources", help, m.guard_sources.clone());
        let help = "Pairs of source address and sender that signed of late";
        r.register("guard_known", help, m.guard_known.clone());
        let help = "Messages whose signature failed, by the sender that they claimed";
        r.register("failed_signatures", help, m.failed_signatures.clone());
        let help =
            "How far a sender's clock runs ahead of this one, by its signed messages of late, in seconds";
        r.register("sender_clock_skew_seconds", help, m.clock_skew.clone());
        let help = "By how much this machine's clock reads less than it has read, in seconds";
        r.register("clock_behind_seconds", help, m.clock_behind.clone());
        let help = "How far this front end runs behind its own clock, in seconds; kept back of senders' time";
        r.register("lag_seconds", help, m.lag.clone());
        r.register("connections", "Connections of senders", m.connections.clone());
        r.register("runners_ready", "Runners listed as ready", m.runners.clone());
        r.register("list_version", "Version of the runner list", m.list_version.clone());
        r.register(
            "list_answered_timestamp_seconds",
            "Unix time of the list service's last answer; 0 before the first",
            m.list_answered.clone(),
        );
        r.register("list_failures", "Questions to the list service that failed", m.list_failures.clone());
        let help = "How much the decision module remembers: workers, ready workers, cells, functions, planned and waiting ones";
        r.register("module_remembered", help, m.remembered.clone());
        r.register("batch_seconds", "Time that a batch of events took", m.batch_time.clone());
        r.register(
            "budget_owned_units",
            "Units of a budget that this front end owns",
            m.budget_owned.clone(),
        );
        r.register("budget_whole_units", "Units of a budget in all", m.budget_whole.clone());
        let help = "Load orders held back because no unit was there";
        r.register("budget_refused", help, m.budget_refused.clone());
        let help = "Front ends taken to be there, this one among them; 0 without budgets";
        r.register("members_there", help, m.members_there.clone());
        r.register("budget_keeper", "1 while this front end is keeper of the budgets", m.keeper.clone());
        let help = "Part of a zone's runners that this front end sends to; nothing where zones are not left";
        r.register("zone_share", help, m.zone_share.clone());
        r.register(
            "zone_moves",
            "Changes of a zone's stage that this front end knows of",
            m.zone_moves.clone(),
        );
        Metrics { registry, ..m }
    }

    pub(crate) fn answered(&self, class: &str, answer: &'static str, lag: Span) {
        self.answers.get_or_create(&ByAnswer { class: class.to_owned(), answer }).inc();
        self.answer_time.observe(lag as f64 / 1e6);
    }

    pub(crate) fn remembered(&self, figures: &RouterStats) {
        let parts = [
            ("workers", figures.workers),
            ("ready_workers", figures.ready),
            ("cells", figures.cells),
            ("functions", figures.functions),
            ("planned_functions", figures.planned),
            ("waiting_functions", figures.waiting),
        ];
        for (part, count) in parts {
            self.remembered.get_or_create(&ByPart { part }).set(count as i64);
        }
    }

    pub(crate) fn turned_away(&self, reason: &'static str) {
        self.turned_away.get_or_create(&ByReason { reason }).inc();
    }

    pub(crate) fn failed_signature(&self, sender: &str) {
        self.failed_signatures.get_or_create(&BySender { sender: sender.to_owned() }).inc();
    }

    pub(crate) fn skew(&self, sender: &str, ahead: i64) {
        self.clock_skew.get_or_create(&BySender { sender: sender.to_owned() }).set(ahead);
    }

    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The word for an outcome in figures and logs.
pub(crate) fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Moot => "moot",
        Outcome::Miss => "miss",
    }
}

/// What `/health` says.
pub(crate) type Health = Arc<dyn Fn() -> (u16, &'static str) + Send + Sync>;

/// Connections served at once: this is for staff and one or two collectors.
const MOST_CONNECTIONS: usize = 32;

/// What `/fleet` says.
pub(crate) type FleetReport = Arc<dyn Fn() -> Option<serde_json::Value> + Send + Sync>;

/// Serves `/metrics`, `/health`, `/config` and `/fleet` until the listener is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    health: Health,
    config: Arc<Mutex<Vec<Report>>>,
    fleet: FleetReport,
) {
    let limits = Arc::new(Limits { body_bytes: 1024, ..Limits::default() });
    let places = Arc::new(smol::lock::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let place = places.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(crate::front::ACCEPT_PAUSE).await;
            continue;
        };
        let (metrics, health, limits) = (metrics.clone(), health.clone(), limits.clone());
        let (config, fleet) = (config.clone(), fleet.clone());
        smol::spawn(async move {
            let _place = place;
            let mut conn = Conn::new(stream, limits);
            while let Ok(Some(head)) = conn.head().await {
                let response = match head.path() {
                    "/metrics" => {
                        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                        Response::new(200, kind, metrics.text().into_bytes())
                    }
                    "/health" => {
                        let (status, word) = health();
                        Response::new(status, "text/plain", word.as_bytes())
                    }
                    "/config" => {
                        let report = config.lock().unwrap_or_else(PoisonError::into_inner).clone();
                        Response::new(
                            200,
                            "application/json",
                            serde_json::to_vec(&report).unwrap_or_default(),
                        )
                    }
                    "/fleet" => match fleet() {
                        Some(value) => Response::new(200, "application/json", value.to_string().into_bytes()),
                        None => Response::new(
                            404,
                            "text/plain",
                            &b"the settings name neither <budgets> nor <leaving>\n"[..],
                        ),
                    },
                    _ => Response::new(404, "", Vec::new()),
                };
                let keep = head.keeps_alive() && conn.body(&head).await.is_ok();
                if conn.respond(&response, keep).await.is_err() || !keep {
                    break;
                }
            }
            conn.close().await;
        })
        .detach();
    }
}
