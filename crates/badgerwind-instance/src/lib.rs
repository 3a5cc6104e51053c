//! The object called the settings, which the platform gives to each instance of a front end: on the simulator's wire
//! in its first message, on sockets in the configuration. Read in this one place for both. No I/O, no decisions.

#![warn(missing_docs)]

use badgerwind::interface::*;
use serde_json::{Map, Value};

/// Typed access to the fields of an object; an error names the field.
pub struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// A field that must be there.
    pub fn get<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        let value = self.0.get(name).ok_or_else(|| format!("field '{name}' is missing"))?;
        read(value).ok_or_else(|| format!("field '{name}' has the wrong type or range"))
    }
    /// A field that may be absent or null.
    pub fn opt<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<Option<T>, String> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.get(name, read).map(Some),
        }
    }
    /// A whole number.
    pub fn u64(&self, name: &str) -> Result<u64, String> {
        self.get(name, Value::as_u64)
    }
    /// A whole number below 2^32.
    pub fn u32(&self, name: &str) -> Result<u32, String> {
        self.get(name, |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }
    /// A text.
    pub fn str(&self, name: &str) -> Result<&'a str, String> {
        self.get(name, Value::as_str)
    }
    /// An object.
    pub fn object(&self, name: &str) -> Result<Fields<'a>, String> {
        self.get(name, Value::as_object).map(Fields)
    }
    /// Numbers; an odd one counts as 0.
    pub fn row(&self, name: &str) -> Result<Option<Vec<f64>>, String> {
        self.opt(name, |v| v.as_array().map(|row| row.iter().map(|x| x.as_f64().unwrap_or(0.0)).collect()))
    }
    // Settings are read leniently: an absent or odd figure is taken as none.
    /// A figure of the settings; an absent or odd one is taken as none.
    pub fn f(&self, name: &str) -> f64 {
        self.0.get(name).and_then(Value::as_f64).filter(|x| x.is_finite()).unwrap_or(0.0)
    }
    /// The same as a whole number.
    pub fn n(&self, name: &str) -> u64 {
        self.f(name).max(0.0) as u64
    }
    /// A flag of the settings.
    pub fn yes(&self, name: &str) -> bool {
        self.0.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
    /// A word of the settings.
    pub fn word(&self, name: &str) -> &'a str {
        self.0.get(name).and_then(Value::as_str).unwrap_or("")
    }
    /// A list of the settings.
    pub fn rows(&self, name: &str) -> &'a [Value] {
        self.0.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}

/// The settings that the object holds (section 5 of the wire's page); what it lacks is taken as none.
pub fn settings(info: &Fields) -> Settings {
    let empty = Map::new();
    let part = |name: &str| Fields(info.0.get(name).and_then(Value::as_object).unwrap_or(&empty));
    let (allowed, charges, rules, facts, report) =
        (part("allowed"), part("charges"), part("rules"), part("specifics"), part("report"));
    let objects = |name: &str| info.rows(name).iter().filter_map(Value::as_object).map(Fields);
    Settings {
        front_ends: info.n("peersTotal") as u32,
        my_number: info.n("myNumber") as u32,
        my_zone: info.n("myZone") as u32,
        classes: objects("classes")
            .map(|c| Class {
                aim: c.n("aim"),
                deadline: c.n("hardLimit"),
                aim_stretch: c.f("aimStretch"),
                effect: match c.word("effect") {
                    "repeatable" => Effect::Repeatable,
                    "by_key" => Effect::ByKey,
                    _ => Effect::Once,
                },
                group: match c.word("group") {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    _ => Group::Cell,
                },
                window: c.n("window"),
                worth: c.f("worth"),
                late_worth: c.f("lateWorth"),
                streaming: c.yes("streaming"),
            })
            .collect(),
        tenants: objects("orgs")
            .map(|t| Tenant { quota_per_s: t.0.get("quotaPerS").and_then(Value::as_f64) })
            .collect(),
        over_share_worth: info.f("overShareWorth"),
        discovery: if info.word("discovery") == "ask" { Discovery::Ask } else { Discovery::Push },
        ask_within: rules.n("askWithin"),
        when_absent: if facts.word("whenAbsent") == "miss" { WhenAbsent::Miss } else { WhenAbsent::Load },
        keep_alive: facts.n("staysLoaded"),
        memory_mb: facts.rows("memoryMbByKind").iter().map(|m| m.as_f64().unwrap_or(0.0)).collect(),
        order_timeout: facts.n("orderLimit"),
        may_order: facts.yes("placementCalls"),
        marks_warm: facts.yes("marksCold"),
        marks_crowd: facts.yes("tellsCrowd"),
        load_window: facts.n("loadsWithin"),
        load_free: facts.f("freeLoads"),
        load_share: facts.f("loadsPerRequest"),
        idle_price: facts.f("idlePrice"),
        fetch_price: charges.f("origin"),
        zone_price: charges.f("crossZone"),
        max_attempts: allowed.n("maxAttempts") as u32,
        may_cancel: allowed.yes("mayCancel"),
        may_duplicate: allowed.yes("mayDuplicate"),
        may_probe: allowed.yes("mayProbe"),
        may_message: allowed.yes("peers"),
        max_retry_after: if allowed.yes("retryAfter") { allowed.n("maxRetryAfter") } else { 0 },
        answer_slack: rules.n("answerSlack"),
        drain_grace: rules.n("stopSendingWithin"),
        cold_from: rules.f("coldFrom"),
        warm_after: rules.n("warmAfter"),
        fall_multiple: rules.f("tipMultiple"),
        fall_window: rules.n("fall"),
        round: info.n("round"),
        report_mode: match report.word("how") {
            "answers" => ReportMode::Answers,
            "probe" => ReportMode::Probe,
            _ => ReportMode::None,
        },
        report_fields: report
            .rows("fields")
            .iter()
            .map(|f| match f.as_str() {
                Some("active") => ReportField::Active,
                Some("waiting") => ReportField::Waiting,
                Some("cpu") => ReportField::Cpu,
                Some("x0") => ReportField::Memory,
                Some("x1") => ReportField::Loads,
                _ => ReportField::Other,
            })
            .collect(),
    }
}

/// The words by which places are named outside, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// Reads the names.
pub fn names(info: &Fields) -> Names {
    let own = |name: &str| {
        let rows = info.rows(name).iter();
        rows.map(|r| r.get("name").and_then(Value::as_str).unwrap_or("").to_owned()).collect()
    };
    let words = |name: &str| info.rows(name).iter().map(|w| w.as_str().unwrap_or("").to_owned()).collect();
    Names {
        classes: own("classes"),
        tenants: own("orgs"),
        zones: words("failureDomains"),
        kinds: words("kinds"),
    }
}

/// Figures that concern a shell rather than the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// A connection not made by then has failed.
    pub connect_timeout: Span,
    /// Idle connections are closed by the other side after this.
    pub idle_close: Span,
    /// Attempts that one connection carries at once.
    pub streams: usize,
    /// Requests that may be open.
    pub most_held: usize,
}

/// Reads the figures of transport.
pub fn transport(info: &Fields) -> Transport {
    let empty = Map::new();
    let allowed = Fields(info.0.get("allowed").and_then(Value::as_object).unwrap_or(&empty));
    Transport {
        connect_timeout: allowed.n("connectTimeout"),
        idle_close: allowed.n("idleClose"),
        streams: allowed.n("streamsPerConn").max(1) as usize,
        most_held: allowed.n("mostHeld").max(1) as usize,
    }
}
