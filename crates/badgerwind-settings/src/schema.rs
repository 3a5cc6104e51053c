//! The one table of what a settings document may hold. The check and the published schema both follow from it.

use std::fmt::Write;

/// What an attribute may hold.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A name: letters, digits, `_ . : -`, 64 at most.
    Name,
    /// A file's path; relative ones are from the settings file's folder.
    File,
    /// The path of a URL.
    Path,
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Word(&'static [&'static str]),
    /// Some of these words, separated by spaces, in the order that counts.
    Words(&'static [&'static str]),
    /// A whole number between these.
    Whole(u64, u64),
    /// A decimal number between these.
    Number(f64, f64),
    /// A time with its unit, between these, in microseconds.
    Time(u64, u64),
    /// An IP address and port.
    Address,
    /// An IP address.
    Host,
    /// A moment, as RFC 3339 has it.
    Date,
    /// Words for people, so many bytes at the most.
    Text(usize),
}

impl Kind {
    /// What would be right, in words.
    pub fn wanted(&self) -> String {
        match self {
            Kind::Name => "1 to 64 letters, digits, or any of _ . : -".into(),
            Kind::File => "the path of a file".into(),
            Kind::Path => "a path that starts with a slash, without a query".into(),
            Kind::Flag => "true or false".into(),
            Kind::Word(words) => format!("one of {}", words.join(", ")),
            Kind::Words(words) => format!("some of {}, separated by spaces", words.join(", ")),
            Kind::Whole(a, b) => format!("a whole number from {a} to {b}"),
            Kind::Number(a, b) => format!("a number from {a} to {b}"),
            Kind::Time(a, b) => {
                format!("a time from {} to {}, such as 250ms, 1.5s or 2min", span(*a), span(*b))
            }
            Kind::Address => "an IP address and port, such as 127.0.0.1:8080".into(),
            Kind::Host => "an IP address, such as 127.0.0.1 or ::1".into(),
            Kind::Date => "a moment such as 2026-12-01T18:00:00Z".into(),
            Kind::Text(most) => format!("1 to {most} bytes of words on one line"),
        }
    }
}

fn span(us: u64) -> String {
    match us {
        0 => "0s".into(),
        t if t % 3_600_000_000 == 0 => format!("{}h", t / 3_600_000_000),
        t if t % 1_000_000 == 0 => format!("{}s", t / 1_000_000),
        t if t % 1_000 == 0 => format!("{}ms", t / 1_000),
        t => format!("{t}us"),
    }
}

/// An attribute.
#[derive(Debug)]
pub struct Attr {
    /// Its name.
    pub name: &'static str,
    /// What it may hold.
    pub kind: Kind,
    /// What it holds where it is left out.
    pub default: Option<&'static str>,
    /// It may be left out and then means nothing.
    pub optional: bool,
    /// What it is for.
    pub doc: &'static str,
}

/// An element that may stand in another.
#[derive(Debug)]
pub struct Child {
    /// The element.
    pub element: &'static Element,
    /// How often, at the least.
    pub least: usize,
    /// At the most.
    pub most: Option<usize>,
}

/// An element.
#[derive(Debug)]
pub struct Element {
    /// Its name.
    pub name: &'static str,
    /// What it is for.
    pub doc: &'static str,
    /// Its attributes.
    pub attrs: &'static [Attr],
    /// What may stand in it.
    pub children: &'static [Child],
}

const fn must(name: &'static str, kind: Kind, doc: &'static str) -> Attr {
    Attr { name, kind, default: None, optional: false, doc }
}
const fn may(name: &'static str, kind: Kind, doc: &'static str) -> Attr {
    Attr { name, kind, default: None, optional: true, doc }
}
const fn or(name: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Attr {
    Attr { name, kind, default: Some(default), optional: false, doc }
}
const fn one(element: &'static Element) -> Child {
    Child { element, least: 1, most: Some(1) }
}
const fn maybe(element: &'static Element) -> Child {
    Child { element, least: 0, most: Some(1) }
}
const fn any(element: &'static Element) -> Child {
    Child { element, least: 0, most: None }
}
const fn some(element: &'static Element) -> Child {
    Child { element, least: 1, most: None }
}

const SECOND: u64 = 1_000_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const PRICE: Kind = Kind::Number(0.0, 100.0);
const BYTES: Kind = Kind::Whole(1, 1 << 30);

const ZONE: Element = Element {
    name: "zone",
    doc: "A zone; the list of runners names them by their place here, from 0.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        may(
            "word",
            Kind::Word(&["leave", "hold", "return"]),
            "An operator's word, before all that front ends find (<leaving>): leave it, change nothing, begin its return now.",
        ),
        may("why", Kind::Text(200), "Why, for the log."),
    ],
    children: &[],
};
const KIND: Element = Element {
    name: "kind",
    doc: "A kind of runner; the list names them by their place here, from 0.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        must("memory-mb", Kind::Number(1.0, 1e9), "Its memory for copies, in MB."),
    ],
    children: &[],
};
const FLEET: Element = Element {
    name: "fleet",
    doc: "This front end among the others, and what holds for all runners.",
    attrs: &[
        must("front-ends", Kind::Whole(1, 100_000), "Front ends in all."),
        must("number", Kind::Whole(0, 99_999), "This front end's number among them, from 0."),
        must("zone", Kind::Name, "This front end's zone."),
        must(
            "when-absent",
            Kind::Word(&["load", "miss"]),
            "What a runner does with a call for what it lacks.",
        ),
        must("keep-alive", Kind::Time(1000, 24 * HOUR), "An idle copy stays at least this long."),
        or(
            "order-timeout",
            Kind::Time(1000, HOUR),
            "10s",
            "A load order with no answer by then has timed out.",
        ),
        or("round", Kind::Time(0, SECOND), "500us", "Events are handed over together at most this often."),
        or("seed", Kind::Whole(0, u64::MAX), "0", "Seed of the module's chance; 0: drawn at each start."),
    ],
    children: &[some(&ZONE), some(&KIND)],
};
const RULES: Element = Element {
    name: "rules",
    doc: "The figures of the rules.",
    attrs: &[
        or(
            "answer-slack",
            Kind::Time(1000, 10 * SECOND),
            "20ms",
            "Kept back from a sender's time, so that the final answer still reaches it.",
        ),
        must(
            "drain-grace",
            Kind::Time(0, MINUTE),
            "Nothing new goes to a runner later than this after it was listed as draining or gone.",
        ),
        must(
            "cold-from",
            Kind::Number(0.001, 1.0),
            "Share of its capacity with which a runner starts at least.",
        ),
        must("warm-after", Kind::Time(0, HOUR), "A runner is warm after this at the latest."),
        must(
            "fall-multiple",
            Kind::Number(0.1, 1000.0),
            "A cold runner falls over when sent more than this many times its present capacity.",
        ),
        must("fall-window", Kind::Time(1000, MINUTE), "For this long."),
        or("load-window", Kind::Time(0, HOUR), "0s", "Window of the limit on load orders; 0: no limit."),
        or("load-free", Kind::Number(0.0, 1e6), "0", "Load orders allowed in it whatever the traffic."),
        or("load-share", Kind::Number(0.0, 100.0), "0", "Further load orders for each call taken in it."),
    ],
    children: &[],
};
const PRICES: Element = Element {
    name: "prices",
    doc: "Prices, in the worth of a call.",
    attrs: &[
        or("idle", PRICE, "0", "Of all memory held by idle copies."),
        or("fetch", PRICE, "0", "Of a fetch from the handler store, by call."),
        or("cross-zone", PRICE, "0", "Of an attempt that crosses zones, by call."),
        or(
            "over-share-worth",
            Kind::Number(0.0, 1.0),
            "1",
            "Worth of a call beyond its tenant's share, as a share of its class's.",
        ),
    ],
    children: &[],
};
const ALLOW: Element = Element {
    name: "allow",
    doc: "What is allowed, and bounds.",
    attrs: &[
        or("max-attempts", Kind::Whole(1, 16), "3", "Attempts for one call."),
        or("cancel", Kind::Flag, "true", "Attempts may be called off."),
        or("second-attempts", Kind::Flag, "false", "Two attempts of a call may be out at once."),
        or("probes", Kind::Flag, "true", "Runners may be probed."),
        or("messages", Kind::Flag, "false", "Front ends may send each other messages."),
        or("orders", Kind::Flag, "true", "Load orders and drops may be given."),
        or("marks-warm", Kind::Flag, "true", "Runners say whether a copy stood loaded."),
        or("marks-crowd", Kind::Flag, "true", "Runners say how many calls for the function they held."),
        or(
            "retry-after",
            Kind::Time(0, HOUR),
            "0s",
            "The longest advice that senders heed; 0: none is given.",
        ),
        or(
            "most-held",
            Kind::Whole(1, 1_000_000),
            "20000",
            "Calls owed an answer at once; one more is refused.",
        ),
    ],
    children: &[],
};
const CLASS: Element = Element {
    name: "class",
    doc: "A class of calls.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        must("aim", Kind::Time(1000, HOUR), "An answer within this time earns the full worth."),
        must("deadline", Kind::Time(1000, HOUR), "How long a sender waits."),
        must("effect", Kind::Word(&["repeatable", "by-key", "once"]), "Whether a call may run twice."),
        or("group", Kind::Word(&["all", "zone", "cell"]), "all", "For by-key: which runners drop repeats."),
        or("window", Kind::Time(0, HOUR), "5s", "For by-key: for how long they remember."),
        or("worth", Kind::Number(0.0, 1e6), "1", "Worth of an answer within the aim."),
        or("late-worth", Kind::Number(0.0, 1.0), "0", "Share of it for a later answer."),
        or("streaming", Kind::Flag, "false", "Answers are streams."),
    ],
    children: &[],
};
const TENANT: Element = Element {
    name: "tenant",
    doc: "A tenant.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        may("quota", Kind::Number(0.0, 1e9), "Calls a second within its share, over all front ends."),
    ],
    children: &[],
};
const FUNCTION: Element = Element {
    name: "function",
    doc: "A function.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        must("memory-mb", Kind::Number(0.1, 1e9), "Memory of one copy, in MB."),
        or("lanes", Kind::Whole(1, 10_000), "1", "Calls that one copy runs at a time."),
        may("load-time", Kind::Time(0, HOUR), "Usual time of a load."),
    ],
    children: &[],
};
const SECRET: Element = Element {
    name: "secret",
    doc: "A live key of a sender. The file holds it; it never stands here.",
    attrs: &[
        must("name", Kind::Name, "Its name in logs."),
        must("file", Kind::File, "The file, readable by its owner alone."),
        may("not-before", Kind::Date, "It counts from then on."),
        may("not-after", Kind::Date, "It counts until then."),
    ],
    children: &[],
};
const CALLBACK: Element = Element {
    name: "callback",
    doc: "An address to which final answers of this sender's calls may also be posted, where a call asks for it by name.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        must("address", Kind::Address, "Where it listens. Nothing is ever posted anywhere else; redirects are not followed."),
        must("path", Kind::Path, "Its path there."),
        must("key-file", Kind::File, "The key that signs what is posted."),
    ],
    children: &[],
};
const SENDER: Element = Element {
    name: "sender",
    doc: "A sender of webhooks.",
    attrs: &[
        must("name", Kind::Name, "Its name."),
        must("tenant", Kind::Name, "The tenant whose calls it makes."),
        or(
            "tolerance",
            Kind::Time(SECOND, 24 * HOUR),
            "5min",
            "How far a timestamp may lie from now, both ways.",
        ),
    ],
    children: &[some(&SECRET), any(&CALLBACK)],
};
const ROUTE: Element = Element {
    name: "route",
    doc: "A path at which a sender's webhooks come in.",
    attrs: &[
        must(
            "path",
            Kind::Path,
            "The path. One that ends in /* takes the function's name from its last part.",
        ),
        must("sender", Kind::Name, "Who may post there."),
        must("class", Kind::Name, "The class of its calls."),
        may("function", Kind::Name, "The function; left out where the path ends in /*."),
    ],
    children: &[],
};
const BALANCER: Element = Element {
    name: "balancer",
    doc: "A load balancer in front. Where a connection comes from it, messages count as the last address in X-Forwarded-For that is none of these.",
    attrs: &[must("address", Kind::Host, "Its address.")],
    children: &[],
};
const GUARD: Element = Element {
    name: "guard",
    doc: "Budgets for messages whose signature fails. Beyond them messages are turned away unread, with 429.",
    attrs: &[
        or("source-burst", Kind::Whole(1, 1_000_000), "200", "Failed checks of one source address at once."),
        or("source-rate", Kind::Whole(0, 1_000_000), "20", "Further ones a second."),
        or(
            "sender-burst",
            Kind::Whole(1, 1_000_000),
            "2000",
            "Failed checks at once as one sender, by all addresses that have signed nothing for it of late.",
        ),
        or("sender-rate", Kind::Whole(0, 1_000_000), "200", "Further ones a second."),
        or(
            "sources",
            Kind::Whole(1, 10_000_000),
            "10000",
            "Addresses kept apart; further ones share one budget. As many are known to senders.",
        ),
        or(
            "known-for",
            Kind::Time(SECOND, 24 * HOUR),
            "10min",
            "An address that signed for a sender counts as known to it for so long.",
        ),
        or("bytes", BYTES, "65536", "A body costs one check more for each so many bytes."),
    ],
    children: &[any(&BALANCER)],
};
const TLS: Element = Element {
    name: "tls",
    doc: "Senders are met under TLS. Files are PEM; they are read again on SIGHUP.",
    attrs: &[
        must("certificate", Kind::File, "The chain, this end's own first."),
        must("key-file", Kind::File, "Its private key, readable by its owner alone."),
        may("clients", Kind::File, "Senders must show a certificate of one of these authorities."),
    ],
    children: &[],
};
const RUNNER_TLS: Element = Element {
    name: "tls",
    doc: "Runners are met under TLS. Files are PEM; they are read again on SIGHUP.",
    attrs: &[
        must("authority", Kind::File, "The authorities whose certificates are trusted."),
        must("name", Kind::Name, "The name that every runner's certificate bears."),
        may("certificate", Kind::File, "This end's own chain, for runners that ask for one."),
        may("key-file", Kind::File, "Its private key, readable by its owner alone."),
    ],
    children: &[],
};
const WEBHOOK: Element = Element {
    name: "webhook",
    doc: "The front for signed webhooks.",
    attrs: &[
        must("listen", Kind::Address, "Where it listens."),
        or("connections", Kind::Whole(1, 1_000_000), "4096", "Connections at once; further ones wait."),
        or("head-bytes", Kind::Whole(256, 1 << 20), "16384", "Bytes of a request's head."),
        or("headers", Kind::Whole(4, 128), "64", "Header lines of a request."),
        or("head-time", Kind::Time(1000, HOUR), "5s", "Time for a head."),
        or("body-bytes", BYTES, "1048576", "Bytes of a body."),
        or("body-time", Kind::Time(1000, HOUR), "10s", "Time for a body."),
        or("idle-time", Kind::Time(1000, 24 * HOUR), "60s", "An idle connection closes after this."),
        or("write-time", Kind::Time(1000, HOUR), "10s", "Time for a sender to read an answer."),
        or(
            "remember",
            Kind::Time(SECOND, 24 * HOUR),
            "10min",
            "How long an id's final answer is remembered; at least twice each sender's tolerance.",
        ),
        or("remember-most", Kind::Whole(1, 100_000_000), "200000", "Ids remembered at once."),
        or(
            "callbacks",
            Kind::Whole(0, 1_000_000),
            "1000",
            "Callbacks that may be owed at once; a call that asks for one more is refused.",
        ),
        or(
            "remember-bytes",
            Kind::Whole(1024, 1 << 36),
            "134217728",
            "Bytes of ids and answers remembered at once.",
        ),
        or("waiters", Kind::Whole(1, 10_000), "16", "Repeats that may wait for one answer."),
    ],
    children: &[some(&SENDER), some(&ROUTE), maybe(&GUARD), maybe(&TLS)],
};
const RUNNERS: Element = Element {
    name: "runners",
    doc: "How runners are reached.",
    attrs: &[
        must("key-file", Kind::File, "The key that signs calls to runners."),
        or("connections", Kind::Whole(1, 100_000), "256", "Connections to one runner."),
        or("connect-time", Kind::Time(1000, MINUTE), "250ms", "A connection not made by then has failed."),
        or("idle-time", Kind::Time(1000, 24 * HOUR), "30s", "An idle connection closes after this."),
        or("answer-bytes", BYTES, "1048576", "Bytes of an answer."),
        or(
            "call-off-time",
            Kind::Time(1000, MINUTE),
            "250ms",
            "A call-off not confirmed by then counts as done.",
        ),
        or("probe-time", Kind::Time(1000, MINUTE), "250ms", "A probe not answered by then has failed."),
    ],
    children: &[maybe(&RUNNER_TLS)],
};
const REPORT: Element = Element {
    name: "report",
    doc: "Load reports of runners.",
    attrs: &[
        must("how", Kind::Word(&["answers", "probe"]), "In answers and probes, or in probes only."),
        must(
            "fields",
            Kind::Words(&["active", "waiting", "cpu", "memory", "loads", "other"]),
            "What a report holds.",
        ),
    ],
    children: &[],
};
const LIST: Element = Element {
    name: "list",
    doc: "The service that lists runners.",
    attrs: &[
        must("address", Kind::Address, "Where it listens."),
        or("discovery", Kind::Word(&["push", "ask"]), "push", "Whether changes come by themselves."),
        or(
            "ask-within",
            Kind::Time(0, HOUR),
            "10s",
            "For ask: after this long unasked, old news counts as told.",
        ),
        may("cache", Kind::File, "Where the last list is kept over a restart."),
        or("wait", Kind::Time(1000, MINUTE), "20s", "How long the service may hold a question open."),
        or("retry", Kind::Time(1000, MINUTE), "250ms", "Pause after a question that failed."),
    ],
    children: &[],
};
const PEER: Element = Element {
    name: "peer",
    doc: "Another front end.",
    attrs: &[
        must("number", Kind::Whole(0, 99_999), "Its number."),
        must("address", Kind::Address, "Where it listens for messages."),
    ],
    children: &[],
};
const PEERS: Element = Element {
    name: "peers",
    doc: "Messages between front ends, by datagram.",
    attrs: &[
        must("listen", Kind::Address, "Where this one listens."),
        must("key-file", Kind::File, "The key that all front ends share."),
    ],
    children: &[any(&PEER)],
};
const VOTER: Element = Element {
    name: "voter",
    doc: "A front end whose vote makes a keeper; more than half of them must agree.",
    attrs: &[must("number", Kind::Whole(0, 65_535), "Its number.")],
    children: &[],
};
const BUDGET: Element = Element {
    name: "budget",
    doc: "A whole that the front ends divide among those that are there.",
    attrs: &[
        must("name", Kind::Name, "Its name in logs, figures and commands."),
        must(
            "of",
            Kind::Word(&["orders", "tenant"]),
            "Load orders in a window that the handler store bears, or a tenant's quota.",
        ),
        may("tenant", Kind::Name, "For tenant: whose quota is divided."),
        must(
            "units",
            Kind::Whole(1, 60_000),
            "For orders: load orders in a window, over all front ends. For tenant: parts into which its quota is cut.",
        ),
        or("floor", Kind::Whole(0, 60_000), "0", "Of these, each front end's own for good."),
        must("window", Kind::Time(1000, HOUR), "A unit that was spent may be spent again after this."),
    ],
    children: &[],
};
const BUDGETS: Element = Element {
    name: "budgets",
    doc: "Wholes that the front ends divide among themselves by leases; needs <peers>.",
    attrs: &[
        must("version", Kind::Whole(1, u32::MAX as u64), "Counted up with each change of a whole."),
        or("lease", Kind::Time(10_000, HOUR), "3s", "How long a part counts from when it was asked for."),
        or("vote", Kind::Time(1000, HOUR), "1s", "How long a vote for a keeper counts."),
        or(
            "beat",
            Kind::Time(1000, MINUTE),
            "300ms",
            "How often each front end asks; three times in a lease at least.",
        ),
        or("drift", Kind::Whole(0, 100_000), "1000", "Millionths by which a clock may run fast or slow."),
        or("moves", Kind::Whole(1, 256), "64", "Part in 256 of a whole that may change hands in a beat."),
    ],
    children: &[some(&VOTER), some(&BUDGET)],
};
const LEAVING: Element = Element {
    name: "leaving",
    doc: "Front ends tell each other which zones answer them, leave one that does not together, and return step by step; needs <peers>.",
    attrs: &[
        or("beat", Kind::Time(1000, MINUTE), "100ms", "How often each tells the voters."),
        or(
            "least-left",
            Kind::Number(0.0, 1.0),
            "0.3",
            "Part of all runners, by size, that stays in use whatever is lost.",
        ),
        or("quiet", Kind::Time(1000, HOUR), "2s", "A zone that was left is not tried before; doubled by each failed return."),
        or("most-quiet", Kind::Time(1000, 24 * HOUR), "2min", "The longest such pause."),
        or("probers", Kind::Whole(1, 64), "3", "Voters that probe a zone that was left."),
        or("probes", Kind::Whole(1, 64), "2", "Runners that each of them probes in a beat."),
    ],
    children: &[some(&VOTER)],
};
const SERVICE: Element = Element {
    name: "service",
    doc: "A control service; the next one is asked where one fails.",
    attrs: &[must("address", Kind::Address, "Where it listens.")],
    children: &[],
};
const CONTROL: Element = Element {
    name: "control",
    doc: "Settings in numbered versions from a control service.",
    attrs: &[
        must("name", Kind::Name, "This front end's name there."),
        or("cluster", Kind::Name, "main", "Its fleet's name there."),
        must("keep", Kind::File, "Where the set that runs is kept over a restart."),
        or("wait", Kind::Time(1000, MINUTE), "20s", "How long the service may hold a question open."),
        or("retry", Kind::Time(1000, MINUTE), "500ms", "The first pause after a question that failed."),
        or("most-retry", Kind::Time(1000, HOUR), "30s", "The longest; pauses in between are drawn."),
        or("stage", Kind::Time(1000, HOUR), "10s", "How long a part waits for another that it needs."),
    ],
    children: &[some(&SERVICE)],
};
const LOG: Element = Element {
    name: "log",
    doc: "The log, on standard error.",
    attrs: &[
        or("format", Kind::Word(&["json", "text"]), "json", "Its form."),
        or("level", Kind::Word(&["error", "warn", "info", "debug"]), "info", "What is written."),
    ],
    children: &[],
};
const METRICS: Element = Element {
    name: "metrics",
    doc: "Figures in OpenMetrics text, and health.",
    attrs: &[must("listen", Kind::Address, "Where they are served, at /metrics and /health.")],
    children: &[],
};
const STOP: Element = Element {
    name: "stop",
    doc: "An orderly stop.",
    attrs: &[or("within", Kind::Time(0, HOUR), "30s", "Calls still owed an answer after this are failed.")],
    children: &[],
};

/// The outermost element.
pub const ROOT: Element = Element {
    name: "badgerwind",
    doc: "The settings of one front end.",
    attrs: &[must("version", Kind::Word(&["1"]), "Version of this form.")],
    children: &[
        one(&FLEET),
        one(&RULES),
        maybe(&PRICES),
        maybe(&ALLOW),
        some(&CLASS),
        some(&TENANT),
        some(&FUNCTION),
        one(&WEBHOOK),
        one(&RUNNERS),
        maybe(&REPORT),
        one(&LIST),
        maybe(&PEERS),
        maybe(&BUDGETS),
        maybe(&LEAVING),
        maybe(&CONTROL),
        maybe(&LOG),
        maybe(&METRICS),
        maybe(&STOP),
    ],
};

/// The schema in XSD 1.0, written from the table. Children may stand in any order, which XSD 1.0 says best by a
/// repeated choice; how often each may stand is in its words, and the check holds documents to it.
pub fn xsd() -> String {
    let mut out = String::from(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n\
         <!-- Written from the table of elements: badgerwind check, with its option to print the schema. -->\n\
         <xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\" elementFormDefault=\"qualified\">\n",
    );
    element(&ROOT, 1, "", &mut out);
    out.push_str("</xs:schema>\n");
    out
}

fn escape(text: &str) -> String {
    quick_xml::escape::escape(text).into_owned()
}

fn note(text: &str) -> String {
    format!("<xs:annotation><xs:documentation>{}</xs:documentation></xs:annotation>", escape(text))
}

// Writing to a `String` cannot fail, so its results are passed over here.
fn element(e: &Element, depth: usize, often: &str, out: &mut String) {
    let pad = "  ".repeat(depth);
    let _ = writeln!(out, "{pad}<xs:element name=\"{}\">", e.name);
    let _ = writeln!(out, "{pad}  {}", note(&format!("{}{often}", e.doc)));
    let _ = writeln!(out, "{pad}  <xs:complexType>");
    if !e.children.is_empty() {
        let _ = writeln!(out, "{pad}    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">");
        for c in e.children {
            let often = match (c.least, c.most) {
                (1, Some(1)) => " Once.",
                (0, Some(1)) => " At most once.",
                (1, None) => " At least once.",
                _ => " Any number.",
            };
            element(c.element, depth + 3, often, out);
        }
        let _ = writeln!(out, "{pad}    </xs:choice>");
    }
    for a in e.attrs {
        attribute(a, &pad, out);
    }
    let _ = writeln!(out, "{pad}  </xs:complexType>");
    let _ = writeln!(out, "{pad}</xs:element>");
}

fn attribute(a: &Attr, pad: &str, out: &mut String) {
    let usage = match a.default {
        Some(d) => format!("default=\"{}\"", escape(d)),
        None if a.optional => "use=\"optional\"".into(),
        None => "use=\"required\"".into(),
    };
    let range =
        |l: String, m: String| format!("<xs:minInclusive value=\"{l}\"/><xs:maxInclusive value=\"{m}\"/>");
    let pattern = |p: &str| format!("<xs:pattern value=\"{p}\"/>");
    let (base, facets) = match a.kind {
        Kind::Name => ("string", pattern("[A-Za-z0-9_.:\\-]{1,64}")),
        Kind::File => ("string", "<xs:minLength value=\"1\"/>".into()),
        Kind::Path => ("string", pattern("/[^?# ]*")),
        Kind::Flag => ("string", pattern("true|false")),
        Kind::Word(words) => {
            ("string", words.iter().map(|w| format!("<xs:enumeration value=\"{w}\"/>")).collect())
        }
        Kind::Words(words) => ("string", pattern(&format!("({0})( ({0}))*", words.join("|")))),
        Kind::Whole(l, m) => ("integer", range(l.to_string(), m.to_string())),
        Kind::Number(l, m) => ("decimal", range(l.to_string(), m.to_string())),
        Kind::Time(..) => ("string", pattern("[0-9]+(\\.[0-9]+)?(us|ms|s|min|h)")),
        Kind::Address => ("string", pattern(".+:[0-9]{1,5}")),
        Kind::Host => ("string", pattern("[0-9A-Fa-f.:]{2,45}")),
        Kind::Text(most) => {
            ("string", format!("<xs:minLength value=\"1\"/><xs:maxLength value=\"{most}\"/>"))
        }
        Kind::Date => ("string", pattern("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z")),
    };
    let _ = writeln!(out, "{pad}    <xs:attribute name=\"{}\" {usage}>", a.name);
    let _ = writeln!(out, "{pad}      {}", note(&format!("{} Give {}.", a.doc, a.kind.wanted())));
    let _ = writeln!(out, "{pad}      <xs:simpleType><xs:restriction base=\"xs:{base}\">");
    let _ = writeln!(out, "{pad}        {facets}");
    let _ = writeln!(out, "{pad}      </xs:restriction></xs:simpleType>");
    let _ = writeln!(out, "{pad}    </xs:attribute>");
}
