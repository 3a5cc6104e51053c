//! Metrics of the daemon in the OpenMetrics text format, and the HTTP server for operators.

use badgerwind::interface::{Micros, Outcome, RouterStats};
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

/// All metrics; cheap to update from any thread.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub answers: Family<ByAnswer, Counter>,
    pub answer_time: Histogram,
    pub attempts: Family<ByOutcome, Counter>,
    pub orders: Family<ByOutcome, Counter>,
    pub turned_away: Family<ByReason, Counter>,
    pub unanswered_calls: Gauge,
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
    /// Unix time of the list service's last answer, in seconds; 0 before the first answer.
    pub list_answered: Gauge<u64, AtomicU64>,
    pub list_failures: Counter,
    pub batch_time: Histogram,
    pub module_records: Family<ByPart, Gauge>,
    pub budget_owned: Family<ByBudget, Gauge>,
    pub budget_total: Family<ByBudget, Gauge>,
    pub budget_refused: Family<ByBudget, Counter>,
    pub live_members: Gauge,
    pub is_coordinator: Gauge,
    pub zone_share: Family<ByZone, Gauge<f64, AtomicU64>>,
    pub zone_moves: Family<ByZone, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("badgerwind");
        let times = || Histogram::new(exponential_buckets(0.0005, 2.0, 16));
        let (answer_time, batch_time) = (times(), times());
        let metrics = Metrics {
            answers: Family::default(),
            answer_time,
            attempts: Family::default(),
            orders: Family::default(),
            turned_away: Family::default(),
            unanswered_calls: Gauge::default(),
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
            module_records: Family::default(),
            budget_owned: Family::default(),
            budget_total: Family::default(),
            budget_refused: Family::default(),
            live_members: Gauge::default(),
            is_coordinator: Gauge::default(),
            zone_share: Family::default(),
            zone_moves: Family::default(),
            registry: Registry::default(),
        };
        let target = &mut registry;
        target.register("answers", "Final answers, by class and answer", metrics.answers.clone());
        target.register(
            "answer_seconds",
            "From a call's arrival to its final answer",
            metrics.answer_time.clone(),
        );
        target.register("attempts", "Ended attempts, by outcome", metrics.attempts.clone());
        target.register("load_orders", "Ended load orders, by outcome", metrics.orders.clone());
        target.register(
            "turned_away",
            "Messages answered by the front itself, by reason",
            metrics.turned_away.clone(),
        );
        target.register("held", "Calls owed an answer", metrics.unanswered_calls.clone());
        target.register("remembered_ids", "Webhook ids remembered", metrics.remembered_ids.clone());
        let help = "Source addresses whose budget of failed signatures is not whole";
        target.register("guard_sources", help, metrics.guard_sources.clone());
        let help = "Pairs of source address and sender that signed of late";
        target.register("guard_known", help, metrics.guard_known.clone());
        let help = "Messages whose signature failed, by the sender that they claimed";
        target.register("failed_signatures", help, metrics.failed_signatures.clone());
        let help =
            "How far a sender's clock runs ahead of this one, by its signed messages of late, in seconds";
        target.register("sender_clock_skew_seconds", help, metrics.clock_skew.clone());
        let help = "By how much this machine's clock reads less than it has read, in seconds";
        target.register("clock_behind_seconds", help, metrics.clock_behind.clone());
        let help = "How far this front end runs behind its own clock, in seconds; kept back of senders' time";
        target.register("lag_seconds", help, metrics.lag.clone());
        target.register("connections", "Connections of senders", metrics.connections.clone());
        target.register("runners_ready", "Runners listed as ready", metrics.runners.clone());
        target.register("list_version", "Version of the runner list", metrics.list_version.clone());
        target.register(
            "list_answered_timestamp_seconds",
            "Unix time of the list service's last answer; 0 before the first",
            metrics.list_answered.clone(),
        );
        target.register(
            "list_failures",
            "Questions to the list service that failed",
            metrics.list_failures.clone(),
        );
        let help = "How much the decision module remembers: workers, ready workers, cells, functions, planned and waiting ones";
        target.register("module_remembered", help, metrics.module_records.clone());
        target.register("batch_seconds", "Time that a batch of events took", metrics.batch_time.clone());
        target.register(
            "budget_owned_units",
            "Units of a budget that this front end owns",
            metrics.budget_owned.clone(),
        );
        target.register("budget_whole_units", "Units of a budget in all", metrics.budget_total.clone());
        let help = "Load orders held back because no unit was there";
        target.register("budget_refused", help, metrics.budget_refused.clone());
        let help = "Front ends taken to be there, this one among them; 0 without budgets";
        target.register("members_there", help, metrics.live_members.clone());
        target.register(
            "budget_keeper",
            "1 while this front end is keeper of the budgets",
            metrics.is_coordinator.clone(),
        );
        let help = "Part of a zone's runners that this front end sends to; nothing where zones are not left";
        target.register("zone_share", help, metrics.zone_share.clone());
        target.register(
            "zone_moves",
            "Changes of a zone's stage that this front end knows of",
            metrics.zone_moves.clone(),
        );
        Metrics { registry, ..metrics }
    }

    pub(crate) fn record_answer(&self, class: &str, answer: &'static str, lag: Micros) {
        self.answers.get_or_create(&ByAnswer { class: class.to_owned(), answer }).inc();
        self.answer_time.observe(lag as f64 / 1e6);
    }

    pub(crate) fn set_module_records(&self, stats: &RouterStats) {
        let records = [
            ("workers", stats.workers),
            ("ready_workers", stats.ready),
            ("cells", stats.cells),
            ("functions", stats.functions),
            ("planned_functions", stats.planned),
            ("waiting_functions", stats.waiting),
        ];
        for (part, count) in records {
            self.module_records.get_or_create(&ByPart { part }).set(count as i64);
        }
    }

    pub(crate) fn record_rejection(&self, reason: &'static str) {
        self.turned_away.get_or_create(&ByReason { reason }).inc();
    }

    pub(crate) fn record_invalid_signature(&self, sender: &str) {
        self.failed_signatures.get_or_create(&BySender { sender: sender.to_owned() }).inc();
    }

    pub(crate) fn set_clock_skew(&self, sender: &str, ahead: i64) {
        self.clock_skew.get_or_create(&BySender { sender: sender.to_owned() }).set(ahead);
    }

    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The name of an outcome in metrics and logs.
pub(crate) fn outcome_name(outcome: Outcome) -> &'static str {
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

/// Status and text of `/health`.
pub(crate) type Health = Arc<dyn Fn() -> (u16, &'static str) + Send + Sync>;

/// Most concurrent connections: the server is meant for operators and one or two collectors.
const MAX_CONNECTIONS: usize = 32;

/// Body of `/fleet`, if the settings enable it.
pub(crate) type FleetReport = Arc<dyn Fn() -> Option<serde_json::Value> + Send + Sync>;

/// Serves `/metrics`, `/health`, `/config` and `/fleet` until the task is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    health: Health,
    config: Arc<Mutex<Vec<Report>>>,
    fleet: FleetReport,
) {
    let limits = Arc::new(Limits { max_body_bytes: 1024, ..Limits::default() });
    let permits = Arc::new(smol::lock::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(crate::front::ACCEPT_PAUSE).await;
            continue;
        };
        let (metrics, health, limits) = (metrics.clone(), health.clone(), limits.clone());
        let (config, fleet) = (config.clone(), fleet.clone());
        smol::spawn(async move {
            let _permit = permit;
            let mut conn = Conn::new(stream, limits);
            while let Ok(Some(head)) = conn.head().await {
                let response = match head.path() {
                    "/metrics" => {
                        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                        Response::new(200, content_type, metrics.text().into_bytes())
                    }
                    "/health" => {
                        let (status, text) = health();
                        Response::new(status, "text/plain", text.as_bytes())
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
