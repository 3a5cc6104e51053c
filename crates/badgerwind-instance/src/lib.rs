//! Parser of the settings object that the platform gives to each front end: in the first message of the
//! simulator's wire protocol, or in the configuration of a front end on sockets. It does no I/O and contains
//! no decisions.

#![warn(missing_docs)]

use badgerwind::interface::*;
use serde_json::{Map, Value};

/// Typed access to the fields of a JSON object. An error message names the field.
pub struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// A required field.
    pub fn get<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        let value = self.0.get(name).ok_or_else(|| format!("field '{name}' is missing"))?;
        read(value).ok_or_else(|| format!("field '{name}' has the wrong type or range"))
    }
    /// An optional field: `None` if it is absent or null.
    pub fn opt<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<Option<T>, String> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.get(name, read).map(Some),
        }
    }
    /// A required unsigned integer.
    pub fn u64(&self, name: &str) -> Result<u64, String> {
        self.get(name, Value::as_u64)
    }
    /// A required unsigned integer below 2^32.
    pub fn u32(&self, name: &str) -> Result<u32, String> {
        self.get(name, |value| value.as_u64().and_then(|n| u32::try_from(n).ok()))
    }
    /// A required string.
    pub fn str(&self, name: &str) -> Result<&'a str, String> {
        self.get(name, Value::as_str)
    }
    /// A required object.
    pub fn object(&self, name: &str) -> Result<Fields<'a>, String> {
        self.get(name, Value::as_object).map(Fields)
    }
    /// An optional array of numbers. An entry that is no number counts as 0.
    pub fn numbers(&self, name: &str) -> Result<Option<Vec<f64>>, String> {
        self.opt(name, |value| {
            value.as_array().map(|row| row.iter().map(|number| number.as_f64().unwrap_or(0.0)).collect())
        })
    }
    /// A number of the settings. Settings are parsed leniently: a missing or invalid value counts as 0, an
    /// empty string or an empty array.
    pub fn number(&self, name: &str) -> f64 {
        self.0.get(name).and_then(Value::as_f64).filter(|x| x.is_finite()).unwrap_or(0.0)
    }
    /// A number of the settings as an unsigned integer; a negative one counts as 0.
    pub fn integer(&self, name: &str) -> u64 {
        self.number(name).max(0.0) as u64
    }
    /// A flag of the settings; false if missing or invalid.
    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
    /// A string of the settings; empty if missing or invalid.
    pub fn text(&self, name: &str) -> &'a str {
        self.0.get(name).and_then(Value::as_str).unwrap_or("")
    }
    /// An array of the settings; empty if missing or invalid.
    pub fn array(&self, name: &str) -> &'a [Value] {
        self.0.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}

/// Parses the settings of the router (section 5 of the wire protocol). Missing limits and prices count as
/// none.
pub fn parse_settings(info: &Fields) -> Settings {
    let empty = Map::new();
    let part = |name: &str| Fields(info.0.get(name).and_then(Value::as_object).unwrap_or(&empty));
    let (allowed, charges, rules, specifics, report) =
        (part("allowed"), part("charges"), part("rules"), part("specifics"), part("report"));
    let objects = |name: &str| info.array(name).iter().filter_map(Value::as_object).map(Fields);
    Settings {
        front_ends: info.integer("peersTotal") as u32,
        my_number: info.integer("myNumber") as u32,
        my_zone: info.integer("myZone") as u32,
        classes: objects("classes")
            .map(|class| Class {
                aim: class.integer("aim"),
                deadline: class.integer("hardLimit"),
                aim_stretch: class.number("aimStretch"),
                effect: match class.text("effect") {
                    "repeatable" => Effect::Repeatable,
                    "by_key" => Effect::ByKey,
                    _ => Effect::Once,
                },
                group: match class.text("group") {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    _ => Group::Cell,
                },
                window: class.integer("window"),
                worth: class.number("worth"),
                late_worth: class.number("lateWorth"),
                streaming: class.flag("streaming"),
            })
            .collect(),
        tenants: objects("orgs")
            .map(|tenant| Tenant { quota_per_s: tenant.0.get("quotaPerS").and_then(Value::as_f64) })
            .collect(),
        over_share_worth: info.number("overShareWorth"),
        discovery: if info.text("discovery") == "ask" { Discovery::Ask } else { Discovery::Push },
        ask_within: rules.integer("askWithin"),
        when_absent: if specifics.text("whenAbsent") == "miss" { WhenAbsent::Miss } else { WhenAbsent::Load },
        keep_alive: specifics.integer("staysLoaded"),
        memory_mb: specifics
            .array("memoryMbByKind")
            .iter()
            .map(|memory| memory.as_f64().unwrap_or(0.0))
            .collect(),
        order_timeout: specifics.integer("orderLimit"),
        may_order: specifics.flag("placementCalls"),
        marks_warm: specifics.flag("marksCold"),
        marks_crowd: specifics.flag("tellsCrowd"),
        load_window: specifics.integer("loadsWithin"),
        load_free: specifics.number("freeLoads"),
        load_share: specifics.number("loadsPerRequest"),
        idle_price: specifics.number("idlePrice"),
        fetch_price: charges.number("origin"),
        zone_price: charges.number("crossZone"),
        max_attempts: allowed.integer("maxAttempts") as u32,
        may_cancel: allowed.flag("mayCancel"),
        may_duplicate: allowed.flag("mayDuplicate"),
        may_probe: allowed.flag("mayProbe"),
        may_message: allowed.flag("peers"),
        max_retry_after: if allowed.flag("retryAfter") { allowed.integer("maxRetryAfter") } else { 0 },
        answer_slack: rules.integer("answerSlack"),
        drain_grace: rules.integer("stopSendingWithin"),
        cold_from: rules.number("coldFrom"),
        warm_after: rules.integer("warmAfter"),
        fall_multiple: rules.number("tipMultiple"),
        fall_window: rules.integer("fall"),
        round: info.integer("round"),
        report_mode: match report.text("how") {
            "answers" => ReportMode::Answers,
            "probe" => ReportMode::Probe,
            _ => ReportMode::None,
        },
        report_fields: report
            .array("fields")
            .iter()
            .map(|field| match field.as_str() {
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

/// The outer names of classes, tenants, zones and kinds, by their index in the router.
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

/// Parses the outer names.
pub fn parse_names(info: &Fields) -> Names {
    let names_of = |name: &str| {
        let objects = info.array(name).iter();
        objects.map(|object| object.get("name").and_then(Value::as_str).unwrap_or("").to_owned()).collect()
    };
    let strings =
        |name: &str| info.array(name).iter().map(|text| text.as_str().unwrap_or("").to_owned()).collect();
    Names {
        classes: names_of("classes"),
        tenants: names_of("orgs"),
        zones: strings("failureDomains"),
        kinds: strings("kinds"),
    }
}

/// Settings of the connections to executors and senders, which do not concern the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Time after which a connection attempt has failed.
    pub connect_timeout: Micros,
    /// Time after which the other side closes an idle connection.
    pub idle_close: Micros,
    /// Maximum number of concurrent attempts on a connection.
    pub streams: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
}

/// Parses the settings of the connections.
pub fn parse_transport(info: &Fields) -> Transport {
    let empty = Map::new();
    let allowed = Fields(info.0.get("allowed").and_then(Value::as_object).unwrap_or(&empty));
    Transport {
        connect_timeout: allowed.integer("connectTimeout"),
        idle_close: allowed.integer("idleClose"),
        streams: allowed.integer("streamsPerConn").max(1) as usize,
        max_open_requests: allowed.integer("mostHeld").max(1) as usize,
    }
}
