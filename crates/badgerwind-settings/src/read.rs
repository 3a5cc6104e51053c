//! A checked document to typed settings; here what names another thing is held against what it names.

use crate::document::{self, number, time, Node};
use crate::schema::{Element, ROOT};
use crate::typed::*;
use crate::Problem;
use badgerwind::interface as module;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An element that has passed the check, with the defaults of its schema.
struct Checked<'a> {
    node: Option<&'a Node>,
    element: &'static Element,
}

impl<'a> Checked<'a> {
    fn text(&self, name: &str) -> &'a str {
        let written = self.node.and_then(|n| n.attr(name));
        let default = || self.element.attrs.iter().find(|a| a.name == name).and_then(|a| a.default);
        written.or_else(default).unwrap_or("")
    }
    fn opt(&self, name: &str) -> Option<&'a str> {
        self.node.and_then(|n| n.attr(name))
    }
    fn string(&self, name: &str) -> String {
        self.text(name).to_owned()
    }
    fn whole(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
    fn size(&self, name: &str) -> usize {
        self.whole(name) as usize
    }
    fn number(&self, name: &str) -> f64 {
        number(self.text(name)).unwrap_or(0.0)
    }
    fn span(&self, name: &str) -> u64 {
        time(self.text(name)).unwrap_or(0)
    }
    fn duration(&self, name: &str) -> Duration {
        Duration::from_micros(self.span(name))
    }
    fn flag(&self, name: &str) -> bool {
        self.text(name) == "true"
    }
    fn address(&self, name: &str) -> SocketAddr {
        // The check has parsed it; what stands in for an address that is none is never used.
        self.text(name).parse().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }
    fn line(&self) -> usize {
        self.node.map_or(0, |n| n.line)
    }
    fn all(&self, name: &'static str) -> Vec<Checked<'a>> {
        let Some(child) = self.element.children.iter().find(|c| c.element.name == name) else {
            return vec![];
        };
        let nodes = self.node.into_iter().flat_map(|n| n.children.iter()).filter(|c| c.name == name);
        nodes.map(|n| Checked { node: Some(n), element: child.element }).collect()
    }
    fn one(&self, name: &'static str) -> Option<Checked<'a>> {
        self.all(name).into_iter().next()
    }
    /// The one child, or its defaults.
    fn or_default(&self, name: &'static str) -> Checked<'a> {
        let child = self.element.children.iter().find(|c| c.element.name == name);
        let element = child.map_or(self.element, |c| c.element);
        self.one(name).unwrap_or(Checked { node: None, element })
    }
}

struct Reading {
    problems: Vec<Problem>,
}

impl Reading {
    fn add(&mut self, at: &Checked<'_>, what: String, right: impl Into<String>) {
        let file = at.node.map(|n| n.file.to_string()).unwrap_or_default();
        let (line, element) = (at.line(), at.element.name.to_owned());
        self.problems.push(Problem { file, line, element, what, right: right.into() });
    }

    /// The place of a name among those declared; a problem where it is not.
    fn place(&mut self, at: &Checked<'_>, attr: &str, names: &[String], what: &str) -> usize {
        let name = at.text(attr);
        names.iter().position(|n| n == name).unwrap_or_else(|| {
            let right = format!("declare <{what} name=\"{name}\">, or use one of {}", names.join(", "));
            self.add(at, format!("{attr} names \"{name}\", which is not declared"), right);
            0
        })
    }

    fn unique(&mut self, all: &[Checked<'_>], attr: &'static str) -> Vec<String> {
        let mut seen = BTreeSet::new();
        for c in all {
            if !seen.insert(c.text(attr)) {
                self.add(c, format!("{attr} \"{}\" stands twice", c.text(attr)), "each stands once");
            }
        }
        all.iter().map(|c| c.string(attr)).collect()
    }
}

/// Reads a document. All problems found are returned together, those of its form before those of its sense.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let tree = document::parse(file, text).map_err(|p| vec![p])?;
    read_tree(&tree)
}

/// The same for a tree, which may be put together from several documents; each problem names its own.
pub fn read_tree(tree: &Node) -> Result<Settings, Vec<Problem>> {
    let mut problems = Vec::new();
    document::check(tree, &ROOT, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut reading = Reading { problems };
    let settings = settings(&mut reading, &Checked { node: Some(tree), element: &ROOT });
    if reading.problems.is_empty() {
        Ok(settings)
    } else {
        Err(reading.problems)
    }
}

fn settings(r: &mut Reading, root: &Checked<'_>) -> Settings {
    let (fleet, rules) = (root.or_default("fleet"), root.or_default("rules"));
    let (prices, allow) = (root.or_default("prices"), root.or_default("allow"));
    let zones = r.unique(&fleet.all("zone"), "name");
    let kinds = fleet.all("kind");
    r.unique(&kinds, "name");
    let my_zone = r.place(&fleet, "zone", &zones, "zone");
    if fleet.whole("number") >= fleet.whole("front-ends") {
        let what = format!("number is {} of {} front ends", fleet.whole("number"), fleet.whole("front-ends"));
        r.add(&fleet, what, "numbers start at 0, so it must be less than front-ends");
    }
    let (classes, tenants) = (root.all("class"), root.all("tenant"));
    let (class_names, tenant_names) = (r.unique(&classes, "name"), r.unique(&tenants, "name"));
    check_classes(r, &classes, 2 * (rules.span("answer-slack") + fleet.span("round")));
    let rationed = rules.span("load-window") > 0;
    if rationed && rules.number("load-free") < 1.0 && rules.number("load-share") == 0.0 {
        let what = "load-window is set, and load-free and load-share allow no order";
        r.add(&rules, what.into(), "allow some, or set <allow orders=\"false\">");
    }
    let functions = functions(r, root, &kinds);
    let function_names: Vec<String> = functions.iter().map(|f| f.name.clone()).collect();
    let webhook = webhook(r, &root.or_default("webhook"), &class_names, &tenant_names, &function_names);
    let (runners, list) = (root.or_default("runners"), root.or_default("list"));
    let peers = root.one("peers").map(|p| peers(r, &p, &fleet));
    if allow.flag("messages") && peers.is_none() {
        let what = "messages are allowed and there is no <peers>";
        r.add(&allow, what.into(), "add <peers>, or messages=\"false\"");
    }
    let budgets = root.one("budgets").map(|b| budgets(r, &b, (&fleet, &rules), &tenants));
    if budgets.is_some() && peers.is_none() {
        let what = "there are budgets and no <peers>".into();
        r.add(&root.or_default("budgets"), what, "add <peers>: front ends divide a whole by messages");
    }
    let leaving = root.one("leaving").map(|l| leaving(r, &l, (&fleet, &rules), &zones));
    for z in fleet.all("zone").iter().filter(|z| z.opt("word").is_some()) {
        if leaving.is_none() {
            r.add(z, "there is a word and no <leaving>".into(), "add <leaving>, or take the word out");
        }
        if z.opt("why").is_none() {
            r.add(z, "a word stands without why".into(), "say why: whoever reads the log next was not there");
        }
    }
    if leaving.is_some() && (peers.is_none() || !allow.flag("probes")) {
        let what = "zones are to be left, and there is no <peers> or probes are not allowed".into();
        let right = "add <peers> and allow probes: front ends leave together, and return by probes";
        r.add(&root.or_default("leaving"), what, right);
    }
    let ask = list.text("discovery") == "ask";
    let report = root.one("report");
    let router = module::Settings {
        front_ends: fleet.whole("front-ends") as u32,
        my_number: fleet.whole("number") as u32,
        my_zone: my_zone as u32,
        classes: classes.iter().map(class).collect(),
        tenants: tenants
            .iter()
            .map(|t| module::Tenant { quota_per_s: t.opt("quota").and_then(number) })
            .collect(),
        over_share_worth: prices.number("over-share-worth"),
        discovery: if ask { module::Discovery::Ask } else { module::Discovery::Push },
        ask_within: list.span("ask-within"),
        when_absent: match fleet.text("when-absent") {
            "miss" => module::WhenAbsent::Miss,
            _ => module::WhenAbsent::Load,
        },
        keep_alive: fleet.span("keep-alive"),
        memory_mb: kinds.iter().map(|k| k.number("memory-mb")).collect(),
        order_timeout: fleet.span("order-timeout"),
        may_order: allow.flag("orders"),
        marks_warm: allow.flag("marks-warm"),
        marks_crowd: allow.flag("marks-crowd"),
        load_window: rules.span("load-window"),
        load_free: rules.number("load-free"),
        load_share: rules.number("load-share"),
        idle_price: prices.number("idle"),
        fetch_price: prices.number("fetch"),
        zone_price: prices.number("cross-zone"),
        max_attempts: allow.whole("max-attempts") as u32,
        may_cancel: allow.flag("cancel"),
        may_duplicate: allow.flag("second-attempts"),
        may_probe: allow.flag("probes"),
        may_message: allow.flag("messages"),
        max_retry_after: allow.span("retry-after"),
        answer_slack: rules.span("answer-slack"),
        drain_grace: rules.span("drain-grace"),
        cold_from: rules.number("cold-from"),
        warm_after: rules.span("warm-after"),
        fall_multiple: rules.number("fall-multiple"),
        fall_window: rules.span("fall-window"),
        round: fleet.span("round"),
        report_mode: match report.as_ref().map(|r| r.text("how")) {
            Some("answers") => module::ReportMode::Answers,
            Some(_) => module::ReportMode::Probe,
            None => module::ReportMode::None,
        },
        report_fields: report.iter().flat_map(|r| r.text("fields").split(' ')).map(field).collect(),
    };
    let log = root.or_default("log");
    Settings {
        router,
        seed: fleet.whole("seed"),
        classes: class_names,
        tenants: tenant_names,
        zones,
        functions,
        most_held: allow.size("most-held"),
        webhook,
        runners: Runners {
            key_file: PathBuf::from(runners.text("key-file")),
            line: runners.line(),
            connections: runners.size("connections"),
            connect_time: runners.duration("connect-time"),
            idle_time: runners.duration("idle-time"),
            answer_bytes: runners.size("answer-bytes"),
            call_off_time: runners.span("call-off-time"),
            probe_time: runners.span("probe-time"),
            tls: runners.one("tls").map(|t| runner_tls(r, &t)),
        },
        list: List {
            address: list.address("address"),
            cache: list.opt("cache").map(PathBuf::from),
            wait: list.duration("wait"),
            retry: list.duration("retry"),
        },
        peers,
        budgets,
        leaving,
        control: root.one("control").map(|c| Control {
            name: c.string("name"),
            cluster: c.string("cluster"),
            keep: PathBuf::from(c.text("keep")),
            wait: c.duration("wait"),
            retry: c.span("retry"),
            most_retry: c.span("most-retry").max(c.span("retry")),
            stage: c.span("stage"),
            services: c.all("service").iter().map(|s| s.address("address")).collect(),
        }),
        log: Log { json: log.text("format") == "json", level: log.string("level") },
        metrics: root.one("metrics").map(|m| m.address("listen")),
        stop_within: root.or_default("stop").duration("within"),
    }
}

fn check_classes(r: &mut Reading, classes: &[Checked<'_>], least: u64) {
    for c in classes {
        if c.span("aim") > c.span("deadline") {
            let what = format!("aim {} is beyond deadline {}", c.text("aim"), c.text("deadline"));
            r.add(c, what, "an answer is wanted before the sender gives up");
        }
        if c.text("effect") == "by-key" && c.span("window") == 0 {
            let what = "window is 0 beside effect by-key".into();
            r.add(c, what, "say for how long runners remember keys");
        }
        if c.span("deadline") <= least {
            let right = "give it more than twice answer-slack and round together";
            r.add(c, format!("deadline {} leaves no time to answer", c.text("deadline")), right);
        }
    }
}

fn functions(r: &mut Reading, root: &Checked<'_>, kinds: &[Checked<'_>]) -> Vec<Function> {
    let nodes = root.all("function");
    r.unique(&nodes, "name");
    let largest = kinds.iter().map(|k| k.number("memory-mb")).fold(0.0, f64::max);
    for f in nodes.iter().filter(|f| f.number("memory-mb") > largest) {
        let what = format!("memory-mb {} fits no kind of runner", f.text("memory-mb"));
        r.add(f, what, format!("the largest kind holds {largest} MB"));
    }
    let function = |f: &Checked<'_>| Function {
        name: f.string("name"),
        memory_mb: f.number("memory-mb"),
        lanes: f.whole("lanes") as u32,
        load_time: f.opt("load-time").and_then(time),
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

fn class(c: &Checked<'_>) -> module::Class {
    module::Class {
        aim: c.span("aim"),
        deadline: c.span("deadline"),
        aim_stretch: 0.0,
        effect: match c.text("effect") {
            "repeatable" => module::Effect::Repeatable,
            "by-key" => module::Effect::ByKey,
            _ => module::Effect::Once,
        },
        group: match c.text("group") {
            "zone" => module::Group::Zone,
            "cell" => module::Group::Cell,
            _ => module::Group::All,
        },
        window: c.span("window"),
        worth: c.number("worth"),
        late_worth: c.number("late-worth"),
        streaming: c.flag("streaming"),
    }
}

fn peers(r: &mut Reading, p: &Checked<'_>, fleet: &Checked<'_>) -> Peers {
    let all = p.all("peer");
    r.unique(&all, "number");
    for one in &all {
        let n = one.whole("number");
        if n >= fleet.whole("front-ends") || n == fleet.whole("number") {
            let what = format!("number {n} is this front end's own, or none of the fleet's");
            r.add(one, what, "name each of the others once");
        }
    }
    Peers {
        listen: p.address("listen"),
        key_file: PathBuf::from(p.text("key-file")),
        line: p.line(),
        peers: all.iter().map(|c| (c.whole("number") as u32, c.address("address"))).collect(),
    }
}

/// Front ends whose word counts, by number.
fn voters(r: &mut Reading, of: &Checked<'_>, fleet: &Checked<'_>) -> Vec<u16> {
    let voters = of.all("voter");
    r.unique(&voters, "number");
    for v in voters.iter().filter(|v| v.whole("number") >= fleet.whole("front-ends")) {
        let what = format!("number {} is none of the fleet's", v.text("number"));
        r.add(v, what, "name front ends from 0 to front-ends less one");
    }
    voters.iter().map(|v| v.whole("number") as u16).collect()
}

fn leaving(
    r: &mut Reading,
    l: &Checked<'_>,
    (fleet, rules): (&Checked<'_>, &Checked<'_>),
    zones: &[String],
) -> Leaving {
    if zones.len() < 2 || zones.len() > badgerwind_zones::MAX_ZONES {
        let what = format!("there are {} zones", zones.len());
        let right = format!("from 2 to {} zones can be left", badgerwind_zones::MAX_ZONES);
        r.add(l, what, &right);
    }
    let paced =
        badgerwind_zones::Settings::for_timing(voters(r, l, fleet), l.span("beat"), rules.span("warm-after"));
    let terms = badgerwind_zones::Settings {
        min_remaining_on_loss: l.number("least-left"),
        min_remaining: l.number("least-left").max(paced.min_remaining),
        retry_delay: l.span("quiet"),
        max_retry_delay: l.span("most-quiet").max(l.span("quiet")),
        probers: l.size("probers"),
        probes_per_heartbeat: l.size("probes"),
        ..paced
    };
    let word = |z: &Checked<'_>| {
        let word = match z.opt("word")? {
            "leave" => badgerwind_zones::Directive::Leave,
            "hold" => badgerwind_zones::Directive::Hold,
            _ => badgerwind_zones::Directive::Return,
        };
        Some((word, z.string("why")))
    };
    Leaving { terms, words: fleet.all("zone").iter().map(word).collect() }
}

/// Fleet and rules come with it; all that can be known beforehand to fail is found here.
fn budgets(
    r: &mut Reading,
    b: &Checked<'_>,
    (fleet, rules): (&Checked<'_>, &Checked<'_>),
    tenants: &[Checked<'_>],
) -> Budgets {
    let all = b.all("budget");
    r.unique(&all, "name");
    let names: Vec<String> = tenants.iter().map(|t| t.string("name")).collect();
    let (voters, front_ends) = (voters(r, b, fleet), fleet.whole("front-ends"));
    if front_ends > 65_535 {
        r.add(b, format!("{front_ends} front ends"), "budgets are divided among 65535 at most");
    }
    if all.len() > 256 {
        r.add(b, format!("{} budgets", all.len()), "256 at most");
    }
    let of: Vec<BudgetOf> = all.iter().map(|one| budget_of(r, one, rules, tenants, &names)).collect();
    for (n, one) in all.iter().enumerate().filter(|(n, _)| of[..*n].contains(&of[*n])) {
        let what = format!("{} divides again what another divides", all[n].text("name"));
        r.add(one, what, "name each whole once");
    }
    let limit = |one: &Checked<'_>| badgerwind_budgets::Limit {
        units: one.whole("units") as u16,
        floor: one.whole("floor") as u16,
        members: front_ends.min(65_535) as u16,
        cooldown: one.span("window"),
    };
    let terms = badgerwind_budgets::LeaseSettings {
        voters,
        vote: b.span("vote"),
        lease: b.span("lease"),
        request_interval: b.span("beat"),
        drift_ppm: b.whole("drift") as u32,
        max_moves: b.whole("moves") as u16,
    };
    let limits: Vec<_> = all.iter().map(limit).collect();
    if let Err(e) = terms.validate(&limits) {
        let text = e.to_string();
        let (what, right) = text.split_once("; ").unwrap_or((&text, "change it"));
        r.add(b, what.into(), right);
    }
    let names = all.iter().zip(of).map(|(one, of)| Budget { name: one.string("name"), of }).collect();
    let version = b.whole("version") as u32;
    Budgets { terms, book: badgerwind_budgets::LimitSet { version, limits }, budgets: names, line: b.line() }
}

fn budget_of(
    r: &mut Reading,
    one: &Checked<'_>,
    rules: &Checked<'_>,
    tenants: &[Checked<'_>],
    names: &[String],
) -> BudgetOf {
    if one.text("of") == "orders" {
        if one.opt("tenant").is_some() {
            r.add(one, "of orders names a tenant".into(), "leave tenant out");
        }
        if one.span("window") != rules.span("load-window") {
            let what = format!("window {} is not that of the rules", one.text("window"));
            r.add(one, what, "give it load-window of <rules>: a front end counts its own orders by that");
        }
        return BudgetOf::Orders;
    }
    let Some(name) = one.opt("tenant") else {
        r.add(one, "of tenant names none".into(), "name the tenant whose quota is divided");
        return BudgetOf::Tenant(0);
    };
    let place = names.iter().position(|n| n == name);
    match place.filter(|n| tenants[*n].opt("quota").is_some()) {
        Some(n) => BudgetOf::Tenant(n),
        None => {
            r.add(one, format!("{name} is no tenant with a quota"), "name a tenant, and give it a quota");
            BudgetOf::Tenant(0)
        }
    }
}

fn sender(r: &mut Reading, s: &Checked<'_>, w: &Checked<'_>, tenants: &[String]) -> Sender {
    let tenant = r.place(s, "tenant", tenants, "tenant");
    if 2 * s.span("tolerance") > w.span("remember") {
        let what = format!("tolerance {} outlives remember {}", s.text("tolerance"), w.text("remember"));
        r.add(s, what, "remember ids for at least twice the tolerance, or a replay could run again");
    }
    let nodes = s.all("secret");
    r.unique(&nodes, "name");
    let date = |c: &Checked<'_>, name| {
        let at = c.opt(name).and_then(|t| humantime::parse_rfc3339(t).ok())?;
        at.duration_since(std::time::UNIX_EPOCH).ok().map(|d| d.as_secs() as i64)
    };
    let secret = |c: &Checked<'_>| Secret {
        name: c.string("name"),
        file: PathBuf::from(c.text("file")),
        line: c.line(),
        not_before: date(c, "not-before"),
        not_after: date(c, "not-after"),
    };
    let secrets = nodes.iter().map(secret).collect();
    let callback_nodes = s.all("callback");
    r.unique(&callback_nodes, "name");
    let callback = |c: &Checked<'_>| Callback {
        name: c.string("name"),
        address: c.address("address"),
        path: c.string("path"),
        key_file: PathBuf::from(c.text("key-file")),
        line: c.line(),
    };
    let callbacks = callback_nodes.iter().map(callback).collect();
    Sender { name: s.string("name"), tenant, tolerance: s.span("tolerance") / 1_000_000, secrets, callbacks }
}

fn runner_tls(r: &mut Reading, t: &Checked<'_>) -> RunnerTls {
    let identity = match (t.opt("certificate"), t.opt("key-file")) {
        (Some(chain), Some(key)) => Some((PathBuf::from(chain), PathBuf::from(key))),
        (None, None) => None,
        _ => {
            let what = "certificate and key-file stand one without the other".into();
            r.add(t, what, "give both, or neither where runners ask for none");
            None
        }
    };
    let (authority, name) = (PathBuf::from(t.text("authority")), t.string("name"));
    RunnerTls { authority, name, identity, line: t.line() }
}

fn guard(g: &Checked<'_>) -> Guard {
    let pair = |burst, rate| (g.whole(burst) as u32, g.whole(rate) as u32);
    Guard {
        source: pair("source-burst", "source-rate"),
        sender: pair("sender-burst", "sender-rate"),
        sources: g.size("sources"),
        known_for: g.span("known-for"),
        bytes: g.whole("bytes"),
        balancers: g.all("balancer").iter().filter_map(|b| b.text("address").parse().ok()).collect(),
    }
}

fn webhook(
    r: &mut Reading,
    w: &Checked<'_>,
    classes: &[String],
    tenants: &[String],
    functions: &[String],
) -> Webhook {
    let sender_nodes = w.all("sender");
    let names = r.unique(&sender_nodes, "name");
    let senders = sender_nodes.iter().map(|s| sender(r, s, w, tenants)).collect();
    let route_nodes = w.all("route");
    r.unique(&route_nodes, "path");
    let mut routes = Vec::new();
    for route in &route_nodes {
        let sender = r.place(route, "sender", &names, "sender");
        let class = r.place(route, "class", classes, "class");
        let path = route.text("path");
        let (path, target) = match (path.strip_suffix('*'), route.opt("function")) {
            (Some(start), None) if start.ends_with('/') => (start, Target::Named),
            (None, Some(_)) => (path, Target::Function(r.place(route, "function", functions, "function"))),
            _ => {
                let right = "name a function, or end the path in /* and leave the function out";
                r.add(route, format!("path {path} and function do not fit together"), right);
                (path, Target::Named)
            }
        };
        routes.push(Route { path: path.to_owned(), sender, class, target });
    }
    Webhook {
        listen: w.address("listen"),
        connections: w.size("connections"),
        head_bytes: w.size("head-bytes"),
        headers: w.size("headers"),
        head_time: w.duration("head-time"),
        body_bytes: w.size("body-bytes"),
        body_time: w.duration("body-time"),
        idle_time: w.duration("idle-time"),
        write_time: w.duration("write-time"),
        remember: w.span("remember"),
        remember_most: w.size("remember-most"),
        callbacks: w.size("callbacks"),
        remember_bytes: w.size("remember-bytes"),
        waiters: w.size("waiters"),
        guard: guard(&w.or_default("guard")),
        tls: w.one("tls").map(|t| Tls {
            certificate: PathBuf::from(t.text("certificate")),
            key_file: PathBuf::from(t.text("key-file")),
            clients: t.opt("clients").map(PathBuf::from),
            line: t.line(),
        }),
        senders,
        routes,
    }
}
