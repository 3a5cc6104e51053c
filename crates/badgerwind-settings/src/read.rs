//! Conversion of a validated document to typed settings, and validation of references and of values that
//! depend on each other.

use crate::document::{self, decimal, duration_us, Node};
use crate::schema::{Element, ROOT};
use crate::typed::*;
use crate::Problem;
use badgerwind::interface as module;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An element that conforms to the schema, with the defaults of absent attributes. `node` is `None` for an
/// absent element.
struct CheckedElement<'a> {
    node: Option<&'a Node>,
    element: &'static Element,
}

impl<'a> CheckedElement<'a> {
    fn text(&self, name: &str) -> &'a str {
        let written = self.node.and_then(|n| n.attr(name));
        let default = || self.element.attrs.iter().find(|a| a.name == name).and_then(|a| a.default);
        written.or_else(default).unwrap_or("")
    }
    fn optional(&self, name: &str) -> Option<&'a str> {
        self.node.and_then(|n| n.attr(name))
    }
    fn string(&self, name: &str) -> String {
        self.text(name).to_owned()
    }
    fn integer(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
    fn count(&self, name: &str) -> usize {
        self.integer(name) as usize
    }
    fn decimal(&self, name: &str) -> f64 {
        decimal(self.text(name)).unwrap_or(0.0)
    }
    fn micros(&self, name: &str) -> u64 {
        duration_us(self.text(name)).unwrap_or(0)
    }
    fn duration(&self, name: &str) -> Duration {
        Duration::from_micros(self.micros(name))
    }
    fn boolean(&self, name: &str) -> bool {
        self.text(name) == "true"
    }
    fn address(&self, name: &str) -> SocketAddr {
        // The validation has parsed the address already, so the fallback is never used.
        self.text(name).parse().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }
    fn line(&self) -> usize {
        self.node.map_or(0, |n| n.line)
    }
    fn children(&self, name: &'static str) -> Vec<CheckedElement<'a>> {
        let Some(child) = self.element.children.iter().find(|c| c.element.name == name) else {
            return vec![];
        };
        let nodes = self.node.into_iter().flat_map(|n| n.children.iter()).filter(|c| c.name == name);
        nodes.map(|n| CheckedElement { node: Some(n), element: child.element }).collect()
    }
    fn child(&self, name: &'static str) -> Option<CheckedElement<'a>> {
        self.children(name).into_iter().next()
    }
    /// The child element, or its defaults if it is absent.
    fn child_or_default(&self, name: &'static str) -> CheckedElement<'a> {
        let child = self.element.children.iter().find(|c| c.element.name == name);
        let element = child.map_or(self.element, |c| c.element);
        self.child(name).unwrap_or(CheckedElement { node: None, element })
    }
}

/// Collects the problems of a document.
struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn add_problem(&mut self, at: &CheckedElement<'_>, message: String, remedy: impl Into<String>) {
        let file = at.node.map(|n| n.file.to_string()).unwrap_or_default();
        let (line, element) = (at.line(), at.element.name.to_owned());
        self.problems.push(Problem { file, line, element, message, remedy: remedy.into() });
    }

    /// The index of the declared name to which an attribute refers. If it is not declared, adds a problem and
    /// returns 0.
    fn index_of(&mut self, at: &CheckedElement<'_>, attr: &str, names: &[String], element: &str) -> usize {
        let name = at.text(attr);
        names.iter().position(|n| n == name).unwrap_or_else(|| {
            let remedy = format!("declare <{element} name=\"{name}\">, or use one of {}", names.join(", "));
            self.add_problem(at, format!("{attr} names \"{name}\", which is not declared"), remedy);
            0
        })
    }

    /// The values of an attribute in all of these elements; adds a problem for each duplicate.
    fn unique_values(&mut self, all: &[CheckedElement<'_>], attr: &'static str) -> Vec<String> {
        let mut seen = BTreeSet::new();
        for c in all {
            if !seen.insert(c.text(attr)) {
                self.add_problem(c, format!("{attr} \"{}\" occurs twice", c.text(attr)), "use each once");
            }
        }
        all.iter().map(|c| c.string(attr)).collect()
    }
}

/// Parses and validates a document. All violations of the schema are returned together; references and
/// dependent values are validated only if there are none.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let tree = document::parse(file, text).map_err(|p| vec![p])?;
    read_tree(&tree)
}

/// Validates a tree, which may be composed of several documents; each problem names its own file.
pub fn read_tree(tree: &Node) -> Result<Settings, Vec<Problem>> {
    let mut problems = Vec::new();
    document::check(tree, &ROOT, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut validator = Validator { problems };
    let settings = settings(&mut validator, &CheckedElement { node: Some(tree), element: &ROOT });
    if validator.problems.is_empty() {
        Ok(settings)
    } else {
        Err(validator.problems)
    }
}

fn settings(validator: &mut Validator, root: &CheckedElement<'_>) -> Settings {
    let (fleet, rules) = (root.child_or_default("fleet"), root.child_or_default("rules"));
    let (prices, allow) = (root.child_or_default("prices"), root.child_or_default("allow"));
    let zones = validator.unique_values(&fleet.children("zone"), "name");
    let kinds = fleet.children("kind");
    validator.unique_values(&kinds, "name");
    let my_zone = validator.index_of(&fleet, "zone", &zones, "zone");
    if fleet.integer("number") >= fleet.integer("front-ends") {
        let message =
            format!("number is {} of {} front ends", fleet.integer("number"), fleet.integer("front-ends"));
        validator.add_problem(&fleet, message, "numbers start at 0, so it must be less than front-ends");
    }
    let (classes, tenants) = (root.children("class"), root.children("tenant"));
    let (class_names, tenant_names) =
        (validator.unique_values(&classes, "name"), validator.unique_values(&tenants, "name"));
    check_classes(validator, &classes, 2 * (rules.micros("answer-slack") + fleet.micros("round")));
    let limits_orders = rules.micros("load-window") > 0;
    if limits_orders && rules.decimal("load-free") < 1.0 && rules.decimal("load-share") == 0.0 {
        let message = "load-window is set, and load-free and load-share allow no order";
        validator.add_problem(&rules, message.into(), "allow some, or set <allow orders=\"false\">");
    }
    let functions = functions(validator, root, &kinds);
    let function_names: Vec<String> = functions.iter().map(|f| f.name.clone()).collect();
    let webhook =
        webhook(validator, &root.child_or_default("webhook"), &class_names, &tenant_names, &function_names);
    let (runners, list) = (root.child_or_default("runners"), root.child_or_default("list"));
    let peers = root.child("peers").map(|node| peers(validator, &node, &fleet));
    if allow.boolean("messages") && peers.is_none() {
        let message = "messages are allowed and there is no <peers>";
        validator.add_problem(&allow, message.into(), "add <peers>, or messages=\"false\"");
    }
    let budgets = root.child("budgets").map(|node| budgets(validator, &node, (&fleet, &rules), &tenants));
    if budgets.is_some() && peers.is_none() {
        let message = "there are budgets and no <peers>".into();
        validator.add_problem(
            &root.child_or_default("budgets"),
            message,
            "add <peers>: front ends divide budgets by messages",
        );
    }
    let leaving = root.child("leaving").map(|node| leaving(validator, &node, (&fleet, &rules), &zones));
    for zone in fleet.children("zone").iter().filter(|zone| zone.optional("word").is_some()) {
        if leaving.is_none() {
            validator.add_problem(
                zone,
                "word is set and there is no <leaving>".into(),
                "add <leaving>, or remove word",
            );
        }
        if zone.optional("why").is_none() {
            validator.add_problem(
                zone,
                "word is set without why".into(),
                "give the reason, which is written to the log",
            );
        }
    }
    if leaving.is_some() && (peers.is_none() || !allow.boolean("probes")) {
        let message = "zones are to be left, and there is no <peers> or probes are not allowed".into();
        let remedy = "add <peers> and allow probes: front ends decide by messages, and return by probes";
        validator.add_problem(&root.child_or_default("leaving"), message, remedy);
    }
    let ask = list.text("discovery") == "ask";
    let report = root.child("report");
    let router = module::Settings {
        front_ends: fleet.integer("front-ends") as u32,
        my_number: fleet.integer("number") as u32,
        my_zone: my_zone as u32,
        classes: classes.iter().map(class).collect(),
        tenants: tenants
            .iter()
            .map(|t| module::Tenant { quota_per_s: t.optional("quota").and_then(decimal) })
            .collect(),
        over_share_worth: prices.decimal("over-share-worth"),
        discovery: if ask { module::Discovery::Ask } else { module::Discovery::Push },
        ask_within: list.micros("ask-within"),
        when_absent: match fleet.text("when-absent") {
            "miss" => module::WhenAbsent::Miss,
            _ => module::WhenAbsent::Load,
        },
        keep_alive: fleet.micros("keep-alive"),
        memory_mb: kinds.iter().map(|k| k.decimal("memory-mb")).collect(),
        order_timeout: fleet.micros("order-timeout"),
        may_order: allow.boolean("orders"),
        marks_warm: allow.boolean("marks-warm"),
        marks_crowd: allow.boolean("marks-crowd"),
        load_window: rules.micros("load-window"),
        load_free: rules.decimal("load-free"),
        load_share: rules.decimal("load-share"),
        idle_price: prices.decimal("idle"),
        fetch_price: prices.decimal("fetch"),
        zone_price: prices.decimal("cross-zone"),
        max_attempts: allow.integer("max-attempts") as u32,
        may_cancel: allow.boolean("cancel"),
        may_duplicate: allow.boolean("second-attempts"),
        may_probe: allow.boolean("probes"),
        may_message: allow.boolean("messages"),
        max_retry_after: allow.micros("retry-after"),
        answer_slack: rules.micros("answer-slack"),
        drain_grace: rules.micros("drain-grace"),
        cold_from: rules.decimal("cold-from"),
        warm_after: rules.micros("warm-after"),
        fall_multiple: rules.decimal("fall-multiple"),
        fall_window: rules.micros("fall-window"),
        round: fleet.micros("round"),
        report_mode: match report.as_ref().map(|r| r.text("how")) {
            Some("answers") => module::ReportMode::Answers,
            Some(_) => module::ReportMode::Probe,
            None => module::ReportMode::None,
        },
        report_fields: report.iter().flat_map(|r| r.text("fields").split(' ')).map(field).collect(),
    };
    let log = root.child_or_default("log");
    Settings {
        router,
        seed: fleet.integer("seed"),
        classes: class_names,
        tenants: tenant_names,
        zones,
        functions,
        max_calls: allow.count("most-held"),
        webhook,
        runners: Runners {
            key_file: PathBuf::from(runners.text("key-file")),
            line: runners.line(),
            max_connections: runners.count("connections"),
            connect_timeout: runners.duration("connect-time"),
            idle_timeout: runners.duration("idle-time"),
            max_answer_bytes: runners.count("answer-bytes"),
            cancel_timeout: runners.micros("call-off-time"),
            probe_timeout: runners.micros("probe-time"),
            tls: runners.child("tls").map(|t| runner_tls(validator, &t)),
        },
        list: List {
            address: list.address("address"),
            cache: list.optional("cache").map(PathBuf::from),
            poll_timeout: list.duration("wait"),
            retry_delay: list.duration("retry"),
        },
        peers,
        budgets,
        leaving,
        control: root.child("control").map(|control| Control {
            name: control.string("name"),
            cluster: control.string("cluster"),
            storage_file: PathBuf::from(control.text("keep")),
            poll_timeout: control.duration("wait"),
            min_backoff: control.micros("retry"),
            max_backoff: control.micros("most-retry").max(control.micros("retry")),
            stage_timeout: control.micros("stage"),
            services: control.children("service").iter().map(|s| s.address("address")).collect(),
        }),
        log: Log { json: log.text("format") == "json", level: log.string("level") },
        metrics: root.child("metrics").map(|m| m.address("listen")),
        stop_timeout: root.child_or_default("stop").duration("within"),
    }
}

fn check_classes(validator: &mut Validator, classes: &[CheckedElement<'_>], min_deadline: u64) {
    for class in classes {
        if class.micros("aim") > class.micros("deadline") {
            let message = format!("aim {} is beyond deadline {}", class.text("aim"), class.text("deadline"));
            validator.add_problem(class, message, "an answer must come before the sender gives up");
        }
        if class.text("effect") == "by-key" && class.micros("window") == 0 {
            let message = "window is 0 with effect by-key".into();
            validator.add_problem(class, message, "set how long runners remember keys");
        }
        if class.micros("deadline") <= min_deadline {
            let remedy = "give it more than twice answer-slack and round together";
            validator.add_problem(
                class,
                format!("deadline {} leaves no time to answer", class.text("deadline")),
                remedy,
            );
        }
    }
}

fn functions(
    validator: &mut Validator,
    root: &CheckedElement<'_>,
    kinds: &[CheckedElement<'_>],
) -> Vec<Function> {
    let nodes = root.children("function");
    validator.unique_values(&nodes, "name");
    let largest = kinds.iter().map(|k| k.decimal("memory-mb")).fold(0.0, f64::max);
    for node in nodes.iter().filter(|node| node.decimal("memory-mb") > largest) {
        let message = format!("memory-mb {} fits no kind of runner", node.text("memory-mb"));
        validator.add_problem(node, message, format!("the largest kind holds {largest} MB"));
    }
    let function = |node: &CheckedElement<'_>| Function {
        name: node.string("name"),
        memory_mb: node.decimal("memory-mb"),
        lanes: node.integer("lanes") as u32,
        load_time: node.optional("load-time").and_then(duration_us),
    };
    nodes.iter().map(function).collect()
}

fn field(word: &str) -> module::ReportField {
    match word {
        "active" => module::ReportField::Active,
        "waiting" => module::ReportField::Waiting,
        "cpu" => module::ReportField::Cpu,
        "memory" => module::ReportField::Memory,
        "loads" => module::ReportField::Loads,
        _ => module::ReportField::Other,
    }
}

fn class(node: &CheckedElement<'_>) -> module::Class {
    module::Class {
        aim: node.micros("aim"),
        deadline: node.micros("deadline"),
        aim_stretch: 0.0,
        effect: match node.text("effect") {
            "repeatable" => module::Effect::Repeatable,
            "by-key" => module::Effect::ByKey,
            _ => module::Effect::Once,
        },
        group: match node.text("group") {
            "zone" => module::Group::Zone,
            "cell" => module::Group::Cell,
            _ => module::Group::All,
        },
        window: node.micros("window"),
        worth: node.decimal("worth"),
        late_worth: node.decimal("late-worth"),
        streaming: node.boolean("streaming"),
    }
}

fn peers(validator: &mut Validator, node: &CheckedElement<'_>, fleet: &CheckedElement<'_>) -> Peers {
    let all = node.children("peer");
    validator.unique_values(&all, "number");
    for peer in &all {
        let number = peer.integer("number");
        if number >= fleet.integer("front-ends") || number == fleet.integer("number") {
            let message = format!("number {number} is this front end's own, or none of the fleet's");
            validator.add_problem(peer, message, "name each of the others once");
        }
    }
    Peers {
        listen: node.address("listen"),
        key_file: PathBuf::from(node.text("key-file")),
        line: node.line(),
        peers: all.iter().map(|c| (c.integer("number") as u32, c.address("address"))).collect(),
    }
}

/// The numbers of the voters.
fn voters(validator: &mut Validator, parent: &CheckedElement<'_>, fleet: &CheckedElement<'_>) -> Vec<u16> {
    let voters = parent.children("voter");
    validator.unique_values(&voters, "number");
    for voter in voters.iter().filter(|voter| voter.integer("number") >= fleet.integer("front-ends")) {
        let message = format!("number {} is none of the fleet's", voter.text("number"));
        validator.add_problem(voter, message, "name front ends from 0 to front-ends less one");
    }
    voters.iter().map(|voter| voter.integer("number") as u16).collect()
}

fn leaving(
    validator: &mut Validator,
    node: &CheckedElement<'_>,
    (fleet, rules): (&CheckedElement<'_>, &CheckedElement<'_>),
    zones: &[String],
) -> Leaving {
    if zones.len() < 2 || zones.len() > badgerwind_zones::MAX_ZONES {
        let message = format!("there are {} zones", zones.len());
        let remedy = format!("from 2 to {} zones can be left", badgerwind_zones::MAX_ZONES);
        validator.add_problem(node, message, &remedy);
    }
    let defaults = badgerwind_zones::Settings::for_timing(
        voters(validator, node, fleet),
        node.micros("beat"),
        rules.micros("warm-after"),
    );
    let settings = badgerwind_zones::Settings {
        min_remaining_on_loss: node.decimal("least-left"),
        min_remaining: node.decimal("least-left").max(defaults.min_remaining),
        retry_delay: node.micros("quiet"),
        max_retry_delay: node.micros("most-quiet").max(node.micros("quiet")),
        probers: node.count("probers"),
        probes_per_heartbeat: node.count("probes"),
        ..defaults
    };
    let directive = |zone: &CheckedElement<'_>| {
        let directive = match zone.optional("word")? {
            "leave" => badgerwind_zones::Directive::Leave,
            "hold" => badgerwind_zones::Directive::Hold,
            _ => badgerwind_zones::Directive::Return,
        };
        Some((directive, zone.string("why")))
    };
    Leaving { settings, directives: fleet.children("zone").iter().map(directive).collect() }
}

/// Reads the budgets. Everything that would fail when the budgets start is reported as a problem here.
fn budgets(
    validator: &mut Validator,
    node: &CheckedElement<'_>,
    (fleet, rules): (&CheckedElement<'_>, &CheckedElement<'_>),
    tenants: &[CheckedElement<'_>],
) -> Budgets {
    let all = node.children("budget");
    validator.unique_values(&all, "name");
    let names: Vec<String> = tenants.iter().map(|t| t.string("name")).collect();
    let (voters, front_ends) = (voters(validator, node, fleet), fleet.integer("front-ends"));
    if front_ends > 65_535 {
        validator.add_problem(
            node,
            format!("{front_ends} front ends"),
            "budgets are divided among 65535 at most",
        );
    }
    if all.len() > 256 {
        validator.add_problem(node, format!("{} budgets", all.len()), "256 at most");
    }
    let resources: Vec<BudgetResource> =
        all.iter().map(|budget| budget_resource(validator, budget, rules, tenants, &names)).collect();
    for (n, budget) in all.iter().enumerate().filter(|(n, _)| resources[..*n].contains(&resources[*n])) {
        let message = format!("{} divides the same resource as another budget", all[n].text("name"));
        validator.add_problem(budget, message, "declare one budget per resource");
    }
    let limit = |budget: &CheckedElement<'_>| badgerwind_budgets::Limit {
        units: budget.integer("units") as u16,
        floor: budget.integer("floor") as u16,
        members: front_ends.min(65_535) as u16,
        cooldown: budget.micros("window"),
    };
    let lease_settings = badgerwind_budgets::LeaseSettings {
        voters,
        vote: node.micros("vote"),
        lease: node.micros("lease"),
        request_interval: node.micros("beat"),
        drift_ppm: node.integer("drift") as u32,
        max_moves: node.integer("moves") as u16,
    };
    let limits: Vec<_> = all.iter().map(limit).collect();
    if let Err(e) = lease_settings.validate(&limits) {
        let text = e.to_string();
        let (message, remedy) = text.split_once("; ").unwrap_or((&text, "change it"));
        validator.add_problem(node, message.into(), remedy);
    }
    let budgets = all
        .iter()
        .zip(resources)
        .map(|(budget, resource)| Budget { name: budget.string("name"), resource })
        .collect();
    let version = node.integer("version") as u32;
    Budgets {
        lease_settings,
        limit_set: badgerwind_budgets::LimitSet { version, limits },
        budgets,
        line: node.line(),
    }
}

fn budget_resource(
    validator: &mut Validator,
    budget: &CheckedElement<'_>,
    rules: &CheckedElement<'_>,
    tenants: &[CheckedElement<'_>],
    names: &[String],
) -> BudgetResource {
    if budget.text("of") == "orders" {
        if budget.optional("tenant").is_some() {
            validator.add_problem(budget, "of orders names a tenant".into(), "leave tenant out");
        }
        if budget.micros("window") != rules.micros("load-window") {
            let message = format!("window {} is not that of the rules", budget.text("window"));
            validator.add_problem(
                budget,
                message,
                "give it load-window of <rules>: a front end counts its own orders by that",
            );
        }
        return BudgetResource::Orders;
    }
    let Some(name) = budget.optional("tenant") else {
        validator.add_problem(
            budget,
            "of tenant names no tenant".into(),
            "name the tenant whose quota is divided",
        );
        return BudgetResource::Tenant(0);
    };
    let index = names.iter().position(|n| n == name);
    match index.filter(|n| tenants[*n].optional("quota").is_some()) {
        Some(index) => BudgetResource::Tenant(index),
        None => {
            validator.add_problem(
                budget,
                format!("{name} is no tenant with a quota"),
                "name a tenant, and give it a quota",
            );
            BudgetResource::Tenant(0)
        }
    }
}

fn sender(
    validator: &mut Validator,
    node: &CheckedElement<'_>,
    webhook: &CheckedElement<'_>,
    tenants: &[String],
) -> Sender {
    let tenant = validator.index_of(node, "tenant", tenants, "tenant");
    if 2 * node.micros("tolerance") > webhook.micros("remember") {
        let message = format!(
            "tolerance {} is more than half of remember {}",
            node.text("tolerance"),
            webhook.text("remember")
        );
        validator.add_problem(
            node,
            message,
            "remember ids for at least twice the tolerance, or a replay could run again",
        );
    }
    let secret_nodes = node.children("secret");
    validator.unique_values(&secret_nodes, "name");
    let date = |node: &CheckedElement<'_>, name| {
        let at = node.optional(name).and_then(|t| humantime::parse_rfc3339(t).ok())?;
        at.duration_since(std::time::UNIX_EPOCH).ok().map(|d| d.as_secs() as i64)
    };
    let secret = |c: &CheckedElement<'_>| Secret {
        name: c.string("name"),
        file: PathBuf::from(c.text("file")),
        line: c.line(),
        not_before: date(c, "not-before"),
        not_after: date(c, "not-after"),
    };
    let secrets = secret_nodes.iter().map(secret).collect();
    let callback_nodes = node.children("callback");
    validator.unique_values(&callback_nodes, "name");
    let callback = |c: &CheckedElement<'_>| Callback {
        name: c.string("name"),
        address: c.address("address"),
        path: c.string("path"),
        key_file: PathBuf::from(c.text("key-file")),
        line: c.line(),
    };
    let callbacks = callback_nodes.iter().map(callback).collect();
    Sender {
        name: node.string("name"),
        tenant,
        tolerance: node.micros("tolerance") / 1_000_000,
        secrets,
        callbacks,
    }
}

fn runner_tls(validator: &mut Validator, node: &CheckedElement<'_>) -> RunnerTls {
    let identity = match (node.optional("certificate"), node.optional("key-file")) {
        (Some(chain), Some(key)) => Some((PathBuf::from(chain), PathBuf::from(key))),
        (None, None) => None,
        _ => {
            let message = "only one of certificate and key-file is set".into();
            validator.add_problem(node, message, "give both, or neither where runners ask for none");
            None
        }
    };
    let (authority, server_name) = (PathBuf::from(node.text("authority")), node.string("name"));
    RunnerTls { authority, server_name, identity, line: node.line() }
}

fn guard(node: &CheckedElement<'_>) -> Guard {
    let burst_and_rate = |burst, rate| (node.integer(burst) as u32, node.integer(rate) as u32);
    Guard {
        source_limit: burst_and_rate("source-burst", "source-rate"),
        sender_limit: burst_and_rate("sender-burst", "sender-rate"),
        max_sources: node.count("sources"),
        known_source_time: node.micros("known-for"),
        bytes_per_check: node.integer("bytes"),
        load_balancers: node
            .children("balancer")
            .iter()
            .filter_map(|b| b.text("address").parse().ok())
            .collect(),
    }
}

fn webhook(
    validator: &mut Validator,
    node: &CheckedElement<'_>,
    classes: &[String],
    tenants: &[String],
    functions: &[String],
) -> Webhook {
    let sender_nodes = node.children("sender");
    let names = validator.unique_values(&sender_nodes, "name");
    let senders = sender_nodes.iter().map(|s| sender(validator, s, node, tenants)).collect();
    let route_nodes = node.children("route");
    validator.unique_values(&route_nodes, "path");
    let mut routes = Vec::new();
    for route in &route_nodes {
        let sender = validator.index_of(route, "sender", &names, "sender");
        let class = validator.index_of(route, "class", classes, "class");
        let path = route.text("path");
        let (path, target) = match (path.strip_suffix('*'), route.optional("function")) {
            (Some(start), None) if start.ends_with('/') => (start, Target::FromPath),
            (None, Some(_)) => {
                (path, Target::Function(validator.index_of(route, "function", functions, "function")))
            }
            _ => {
                let remedy = "name a function, or end the path in /* and leave the function out";
                validator.add_problem(route, format!("path {path} and function do not fit together"), remedy);
                (path, Target::FromPath)
            }
        };
        routes.push(Route { path: path.to_owned(), sender, class, target });
    }
    Webhook {
        listen: node.address("listen"),
        max_connections: node.count("connections"),
        max_head_bytes: node.count("head-bytes"),
        max_headers: node.count("headers"),
        head_timeout: node.duration("head-time"),
        max_body_bytes: node.count("body-bytes"),
        body_timeout: node.duration("body-time"),
        idle_timeout: node.duration("idle-time"),
        write_timeout: node.duration("write-time"),
        answer_retention: node.micros("remember"),
        max_remembered_ids: node.count("remember-most"),
        max_callbacks: node.count("callbacks"),
        max_remembered_bytes: node.count("remember-bytes"),
        max_waiters: node.count("waiters"),
        guard: guard(&node.child_or_default("guard")),
        tls: node.child("tls").map(|t| Tls {
            certificate: PathBuf::from(t.text("certificate")),
            key_file: PathBuf::from(t.text("key-file")),
            client_authorities: t.optional("clients").map(PathBuf::from),
            line: t.line(),
        }),
        senders,
        routes,
    }
}
