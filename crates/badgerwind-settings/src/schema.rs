//! The table of elements and attributes of a settings document. Both the validation and the published schema
//! are derived from it.

use std::fmt::Write;

/// The type of an attribute's value.
#[derive(Clone, Copy, Debug)]
pub enum AttrType {
    /// A name of 1 to 64 letters, digits or `_ . : -`.
    Name,
    /// The path of a file, relative to the folder of the settings file.
    File,
    /// The path of a URL.
    UrlPath,
    /// `true` or `false`.
    Boolean,
    /// One of these values.
    Choice(&'static [&'static str]),
    /// One or more of these values, separated by spaces; their order matters.
    Choices(&'static [&'static str]),
    /// An integer within these bounds, inclusive.
    Integer(u64, u64),
    /// A decimal number within these bounds, inclusive.
    Decimal(f64, f64),
    /// A duration with its unit, within these bounds in microseconds, inclusive.
    Duration(u64, u64),
    /// An IP address and port.
    SocketAddress,
    /// An IP address.
    IpAddress,
    /// A point in time in RFC 3339 format.
    Timestamp,
    /// Free text on one line, up to this many bytes.
    Text(usize),
}

impl AttrType {
    /// Describes the accepted values, for error messages and the published schema.
    pub fn expected(&self) -> String {
        match self {
            AttrType::Name => "1 to 64 letters, digits, or any of _ . : -".into(),
            AttrType::File => "the path of a file".into(),
            AttrType::UrlPath => "a path that starts with a slash, without a query".into(),
            AttrType::Boolean => "true or false".into(),
            AttrType::Choice(words) => format!("one of {}", words.join(", ")),
            AttrType::Choices(words) => format!("some of {}, separated by spaces", words.join(", ")),
            AttrType::Integer(min, max) => format!("a whole number from {min} to {max}"),
            AttrType::Decimal(min, max) => format!("a number from {min} to {max}"),
            AttrType::Duration(min, max) => {
                format!(
                    "a time from {} to {}, such as 250ms, 1.5s or 2min",
                    format_duration(*min),
                    format_duration(*max)
                )
            }
            AttrType::SocketAddress => "an IP address and port, such as 127.0.0.1:8080".into(),
            AttrType::IpAddress => "an IP address, such as 127.0.0.1 or ::1".into(),
            AttrType::Timestamp => "a moment such as 2026-12-01T18:00:00Z".into(),
            AttrType::Text(max) => format!("1 to {max} bytes of words on one line"),
        }
    }
}

/// Formats a duration in microseconds with the largest unit that divides it.
fn format_duration(us: u64) -> String {
    match us {
        0 => "0s".into(),
        t if t % 3_600_000_000 == 0 => format!("{}h", t / 3_600_000_000),
        t if t % 1_000_000 == 0 => format!("{}s", t / 1_000_000),
        t if t % 1_000 == 0 => format!("{}ms", t / 1_000),
        t => format!("{t}us"),
    }
}

/// The definition of an attribute.
#[derive(Debug)]
pub struct Attr {
    /// The name of the attribute.
    pub name: &'static str,
    /// The type of its value.
    pub attr_type: AttrType,
    /// The value if the attribute is absent.
    pub default: Option<&'static str>,
    /// Whether an attribute without a default may be absent.
    pub optional: bool,
    /// Documentation for the published schema.
    pub doc: &'static str,
}

/// A child element and how often it may occur.
#[derive(Debug)]
pub struct Child {
    /// The definition of the child.
    pub element: &'static Element,
    /// The minimum number of occurrences.
    pub min: usize,
    /// The maximum number of occurrences; `None` if unbounded.
    pub max: Option<usize>,
}

/// The definition of an element.
#[derive(Debug)]
pub struct Element {
    /// The name of the element.
    pub name: &'static str,
    /// Documentation for the published schema.
    pub doc: &'static str,
    /// The attributes.
    pub attrs: &'static [Attr],
    /// The child elements.
    pub children: &'static [Child],
}

const fn required(name: &'static str, attr_type: AttrType, doc: &'static str) -> Attr {
    Attr { name, attr_type, default: None, optional: false, doc }
}
const fn optional(name: &'static str, attr_type: AttrType, doc: &'static str) -> Attr {
    Attr { name, attr_type, default: None, optional: true, doc }
}
const fn with_default(
    name: &'static str,
    attr_type: AttrType,
    default: &'static str,
    doc: &'static str,
) -> Attr {
    Attr { name, attr_type, default: Some(default), optional: false, doc }
}
const fn exactly_one(element: &'static Element) -> Child {
    Child { element, min: 1, max: Some(1) }
}
const fn zero_or_one(element: &'static Element) -> Child {
    Child { element, min: 0, max: Some(1) }
}
const fn zero_or_more(element: &'static Element) -> Child {
    Child { element, min: 0, max: None }
}
const fn one_or_more(element: &'static Element) -> Child {
    Child { element, min: 1, max: None }
}

const SECOND: u64 = 1_000_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const PRICE: AttrType = AttrType::Decimal(0.0, 100.0);
const BYTES: AttrType = AttrType::Integer(1, 1 << 30);

const ZONE: Element = Element {
    name: "zone",
    doc: "A zone; the list of runners names them by their place here, from 0.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        optional(
            "word",
            AttrType::Choice(&["leave", "hold", "return"]),
            "An operator's word, before all that front ends find (<leaving>): leave it, change nothing, begin its return now.",
        ),
        optional("why", AttrType::Text(200), "Why, for the log."),
    ],
    children: &[],
};
const KIND: Element = Element {
    name: "kind",
    doc: "A kind of runner; the list names them by their place here, from 0.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        required("memory-mb", AttrType::Decimal(1.0, 1e9), "Its memory for copies, in MB."),
    ],
    children: &[],
};
const FLEET: Element = Element {
    name: "fleet",
    doc: "This front end among the others, and what holds for all runners.",
    attrs: &[
        required("front-ends", AttrType::Integer(1, 100_000), "Front ends in all."),
        required("number", AttrType::Integer(0, 99_999), "This front end's number among them, from 0."),
        required("zone", AttrType::Name, "This front end's zone."),
        required(
            "when-absent",
            AttrType::Choice(&["load", "miss"]),
            "What a runner does with a call for what it lacks.",
        ),
        required("keep-alive", AttrType::Duration(1000, 24 * HOUR), "An idle copy stays at least this long."),
        with_default(
            "order-timeout",
            AttrType::Duration(1000, HOUR),
            "10s",
            "A load order with no answer by then has timed out.",
        ),
        with_default(
            "round",
            AttrType::Duration(0, SECOND),
            "500us",
            "Events are handed over together at most this often.",
        ),
        with_default(
            "seed",
            AttrType::Integer(0, u64::MAX),
            "0",
            "Seed of the module's chance; 0: drawn at each start.",
        ),
    ],
    children: &[one_or_more(&ZONE), one_or_more(&KIND)],
};
const RULES: Element = Element {
    name: "rules",
    doc: "The figures of the rules.",
    attrs: &[
        with_default(
            "answer-slack",
            AttrType::Duration(1000, 10 * SECOND),
            "20ms",
            "Kept back from a sender's time, so that the final answer still reaches it.",
        ),
        required(
            "drain-grace",
            AttrType::Duration(0, MINUTE),
            "Nothing new goes to a runner later than this after it was listed as draining or gone.",
        ),
        required(
            "cold-from",
            AttrType::Decimal(0.001, 1.0),
            "Share of its capacity with which a runner starts at least.",
        ),
        required("warm-after", AttrType::Duration(0, HOUR), "A runner is warm after this at the latest."),
        required(
            "fall-multiple",
            AttrType::Decimal(0.1, 1000.0),
            "A cold runner falls over when sent more than this many times its present capacity.",
        ),
        required("fall-window", AttrType::Duration(1000, MINUTE), "For this long."),
        with_default(
            "load-window",
            AttrType::Duration(0, HOUR),
            "0s",
            "Window of the limit on load orders; 0: no limit.",
        ),
        with_default(
            "load-free",
            AttrType::Decimal(0.0, 1e6),
            "0",
            "Load orders allowed in it whatever the traffic.",
        ),
        with_default(
            "load-share",
            AttrType::Decimal(0.0, 100.0),
            "0",
            "Further load orders for each call taken in it.",
        ),
    ],
    children: &[],
};
const PRICES: Element = Element {
    name: "prices",
    doc: "Prices, in the worth of a call.",
    attrs: &[
        with_default("idle", PRICE, "0", "Of all memory held by idle copies."),
        with_default("fetch", PRICE, "0", "Of a fetch from the handler store, by call."),
        with_default("cross-zone", PRICE, "0", "Of an attempt that crosses zones, by call."),
        with_default(
            "over-share-worth",
            AttrType::Decimal(0.0, 1.0),
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
        with_default("max-attempts", AttrType::Integer(1, 16), "3", "Attempts for one call."),
        with_default("cancel", AttrType::Boolean, "true", "Attempts may be called off."),
        with_default(
            "second-attempts",
            AttrType::Boolean,
            "false",
            "Two attempts of a call may be out at once.",
        ),
        with_default("probes", AttrType::Boolean, "true", "Runners may be probed."),
        with_default("messages", AttrType::Boolean, "false", "Front ends may send each other messages."),
        with_default("orders", AttrType::Boolean, "true", "Load orders and drops may be given."),
        with_default("marks-warm", AttrType::Boolean, "true", "Runners say whether a copy stood loaded."),
        with_default(
            "marks-crowd",
            AttrType::Boolean,
            "true",
            "Runners say how many calls for the function they held.",
        ),
        with_default(
            "retry-after",
            AttrType::Duration(0, HOUR),
            "0s",
            "The longest advice that senders heed; 0: none is given.",
        ),
        with_default(
            "most-held",
            AttrType::Integer(1, 1_000_000),
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
        required("name", AttrType::Name, "Its name."),
        required("aim", AttrType::Duration(1000, HOUR), "An answer within this time earns the full worth."),
        required("deadline", AttrType::Duration(1000, HOUR), "How long a sender waits."),
        required(
            "effect",
            AttrType::Choice(&["repeatable", "by-key", "once"]),
            "Whether a call may run twice.",
        ),
        with_default(
            "group",
            AttrType::Choice(&["all", "zone", "cell"]),
            "all",
            "For by-key: which runners drop repeats.",
        ),
        with_default("window", AttrType::Duration(0, HOUR), "5s", "For by-key: for how long they remember."),
        with_default("worth", AttrType::Decimal(0.0, 1e6), "1", "Worth of an answer within the aim."),
        with_default("late-worth", AttrType::Decimal(0.0, 1.0), "0", "Share of it for a later answer."),
        with_default("streaming", AttrType::Boolean, "false", "Answers are streams."),
    ],
    children: &[],
};
const TENANT: Element = Element {
    name: "tenant",
    doc: "A tenant.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        optional(
            "quota",
            AttrType::Decimal(0.0, 1e9),
            "Calls a second within its share, over all front ends.",
        ),
    ],
    children: &[],
};
const FUNCTION: Element = Element {
    name: "function",
    doc: "A function.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        required("memory-mb", AttrType::Decimal(0.1, 1e9), "Memory of one copy, in MB."),
        with_default("lanes", AttrType::Integer(1, 10_000), "1", "Calls that one copy runs at a time."),
        optional("load-time", AttrType::Duration(0, HOUR), "Usual time of a load."),
    ],
    children: &[],
};
const SECRET: Element = Element {
    name: "secret",
    doc: "A live key of a sender. The file holds it; it never stands here.",
    attrs: &[
        required("name", AttrType::Name, "Its name in logs."),
        required("file", AttrType::File, "The file, readable by its owner alone."),
        optional("not-before", AttrType::Timestamp, "It counts from then on."),
        optional("not-after", AttrType::Timestamp, "It counts until then."),
    ],
    children: &[],
};
const CALLBACK: Element = Element {
    name: "callback",
    doc: "An address to which final answers of this sender's calls may also be posted, where a call asks for it by name.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        required("address", AttrType::SocketAddress, "Where it listens. Nothing is ever posted anywhere else; redirects are not followed."),
        required("path", AttrType::UrlPath, "Its path there."),
        required("key-file", AttrType::File, "The key that signs what is posted."),
    ],
    children: &[],
};
const SENDER: Element = Element {
    name: "sender",
    doc: "A sender of webhooks.",
    attrs: &[
        required("name", AttrType::Name, "Its name."),
        required("tenant", AttrType::Name, "The tenant whose calls it makes."),
        with_default(
            "tolerance",
            AttrType::Duration(SECOND, 24 * HOUR),
            "5min",
            "How far a timestamp may lie from now, both ways.",
        ),
    ],
    children: &[one_or_more(&SECRET), zero_or_more(&CALLBACK)],
};
const ROUTE: Element = Element {
    name: "route",
    doc: "A path at which a sender's webhooks come in.",
    attrs: &[
        required(
            "path",
            AttrType::UrlPath,
            "The path. One that ends in /* takes the function's name from its last part.",
        ),
        required("sender", AttrType::Name, "Who may post there."),
        required("class", AttrType::Name, "The class of its calls."),
        optional("function", AttrType::Name, "The function; left out where the path ends in /*."),
    ],
    children: &[],
};
const BALANCER: Element = Element {
    name: "balancer",
    doc: "A load balancer in front. Where a connection comes from it, messages count as the last address in X-Forwarded-For that is none of these.",
    attrs: &[required("address", AttrType::IpAddress, "Its address.")],
    children: &[],
};
const GUARD: Element = Element {
    name: "guard",
    doc: "Budgets for messages whose signature fails. Beyond them messages are turned away unread, with 429.",
    attrs: &[
        with_default(
            "source-burst",
            AttrType::Integer(1, 1_000_000),
            "200",
            "Failed checks of one source address at once.",
        ),
        with_default("source-rate", AttrType::Integer(0, 1_000_000), "20", "Further ones a second."),
        with_default(
            "sender-burst",
            AttrType::Integer(1, 1_000_000),
            "2000",
            "Failed checks at once as one sender, by all addresses that have signed nothing for it of late.",
        ),
        with_default("sender-rate", AttrType::Integer(0, 1_000_000), "200", "Further ones a second."),
        with_default(
            "sources",
            AttrType::Integer(1, 10_000_000),
            "10000",
            "Addresses kept apart; further ones share one budget. As many are known to senders.",
        ),
        with_default(
            "known-for",
            AttrType::Duration(SECOND, 24 * HOUR),
            "10min",
            "An address that signed for a sender counts as known to it for so long.",
        ),
        with_default("bytes", BYTES, "65536", "A body costs one check more for each so many bytes."),
    ],
    children: &[zero_or_more(&BALANCER)],
};
const TLS: Element = Element {
    name: "tls",
    doc: "Senders are met under TLS. Files are PEM; they are read again on SIGHUP.",
    attrs: &[
        required("certificate", AttrType::File, "The chain, this end's own first."),
        required("key-file", AttrType::File, "Its private key, readable by its owner alone."),
        optional("clients", AttrType::File, "Senders must show a certificate of one of these authorities."),
    ],
    children: &[],
};
const RUNNER_TLS: Element = Element {
    name: "tls",
    doc: "Runners are met under TLS. Files are PEM; they are read again on SIGHUP.",
    attrs: &[
        required("authority", AttrType::File, "The authorities whose certificates are trusted."),
        required("name", AttrType::Name, "The name that every runner's certificate bears."),
        optional("certificate", AttrType::File, "This end's own chain, for runners that ask for one."),
        optional("key-file", AttrType::File, "Its private key, readable by its owner alone."),
    ],
    children: &[],
};
const WEBHOOK: Element = Element {
    name: "webhook",
    doc: "The front for signed webhooks.",
    attrs: &[
        required("listen", AttrType::SocketAddress, "Where it listens."),
        with_default(
            "connections",
            AttrType::Integer(1, 1_000_000),
            "4096",
            "Connections at once; further ones wait.",
        ),
        with_default("head-bytes", AttrType::Integer(256, 1 << 20), "16384", "Bytes of a request's head."),
        with_default("headers", AttrType::Integer(4, 128), "64", "Header lines of a request."),
        with_default("head-time", AttrType::Duration(1000, HOUR), "5s", "Time for a head."),
        with_default("body-bytes", BYTES, "1048576", "Bytes of a body."),
        with_default("body-time", AttrType::Duration(1000, HOUR), "10s", "Time for a body."),
        with_default(
            "idle-time",
            AttrType::Duration(1000, 24 * HOUR),
            "60s",
            "An idle connection closes after this.",
        ),
        with_default(
            "write-time",
            AttrType::Duration(1000, HOUR),
            "10s",
            "Time for a sender to read an answer.",
        ),
        with_default(
            "remember",
            AttrType::Duration(SECOND, 24 * HOUR),
            "10min",
            "How long an id's final answer is remembered; at least twice each sender's tolerance.",
        ),
        with_default("remember-most", AttrType::Integer(1, 100_000_000), "200000", "Ids remembered at once."),
        with_default(
            "callbacks",
            AttrType::Integer(0, 1_000_000),
            "1000",
            "Callbacks that may be owed at once; a call that asks for one more is refused.",
        ),
        with_default(
            "remember-bytes",
            AttrType::Integer(1024, 1 << 36),
            "134217728",
            "Bytes of ids and answers remembered at once.",
        ),
        with_default("waiters", AttrType::Integer(1, 10_000), "16", "Repeats that may wait for one answer."),
    ],
    children: &[one_or_more(&SENDER), one_or_more(&ROUTE), zero_or_one(&GUARD), zero_or_one(&TLS)],
};
const RUNNERS: Element = Element {
    name: "runners",
    doc: "How runners are reached.",
    attrs: &[
        required("key-file", AttrType::File, "The key that signs calls to runners."),
        with_default("connections", AttrType::Integer(1, 100_000), "256", "Connections to one runner."),
        with_default(
            "connect-time",
            AttrType::Duration(1000, MINUTE),
            "250ms",
            "A connection not made by then has failed.",
        ),
        with_default(
            "idle-time",
            AttrType::Duration(1000, 24 * HOUR),
            "30s",
            "An idle connection closes after this.",
        ),
        with_default("answer-bytes", BYTES, "1048576", "Bytes of an answer."),
        with_default(
            "call-off-time",
            AttrType::Duration(1000, MINUTE),
            "250ms",
            "A call-off not confirmed by then counts as done.",
        ),
        with_default(
            "probe-time",
            AttrType::Duration(1000, MINUTE),
            "250ms",
            "A probe not answered by then has failed.",
        ),
    ],
    children: &[zero_or_one(&RUNNER_TLS)],
};
const REPORT: Element = Element {
    name: "report",
    doc: "Load reports of runners.",
    attrs: &[
        required("how", AttrType::Choice(&["answers", "probe"]), "In answers and probes, or in probes only."),
        required(
            "fields",
            AttrType::Choices(&["active", "waiting", "cpu", "memory", "loads", "other"]),
            "What a report holds.",
        ),
    ],
    children: &[],
};
const LIST: Element = Element {
    name: "list",
    doc: "The service that lists runners.",
    attrs: &[
        required("address", AttrType::SocketAddress, "Where it listens."),
        with_default(
            "discovery",
            AttrType::Choice(&["push", "ask"]),
            "push",
            "Whether changes come by themselves.",
        ),
        with_default(
            "ask-within",
            AttrType::Duration(0, HOUR),
            "10s",
            "For ask: after this long unasked, old news counts as told.",
        ),
        optional("cache", AttrType::File, "Where the last list is kept over a restart."),
        with_default(
            "wait",
            AttrType::Duration(1000, MINUTE),
            "20s",
            "How long the service may hold a question open.",
        ),
        with_default(
            "retry",
            AttrType::Duration(1000, MINUTE),
            "250ms",
            "Pause after a question that failed.",
        ),
    ],
    children: &[],
};
const PEER: Element = Element {
    name: "peer",
    doc: "Another front end.",
    attrs: &[
        required("number", AttrType::Integer(0, 99_999), "Its number."),
        required("address", AttrType::SocketAddress, "Where it listens for messages."),
    ],
    children: &[],
};
const PEERS: Element = Element {
    name: "peers",
    doc: "Messages between front ends, by datagram.",
    attrs: &[
        required("listen", AttrType::SocketAddress, "Where this one listens."),
        required("key-file", AttrType::File, "The key that all front ends share."),
    ],
    children: &[zero_or_more(&PEER)],
};
const VOTER: Element = Element {
    name: "voter",
    doc: "A front end whose vote makes a keeper; more than half of them must agree.",
    attrs: &[required("number", AttrType::Integer(0, 65_535), "Its number.")],
    children: &[],
};
const BUDGET: Element = Element {
    name: "budget",
    doc: "A whole that the front ends divide among those that are there.",
    attrs: &[
        required("name", AttrType::Name, "Its name in logs, figures and commands."),
        required(
            "of",
            AttrType::Choice(&["orders", "tenant"]),
            "Load orders in a window that the handler store bears, or a tenant's quota.",
        ),
        optional("tenant", AttrType::Name, "For tenant: whose quota is divided."),
        required(
            "units",
            AttrType::Integer(1, 60_000),
            "For orders: load orders in a window, over all front ends. For tenant: parts into which its quota is cut.",
        ),
        with_default("floor", AttrType::Integer(0, 60_000), "0", "Of these, each front end's own for good."),
        required("window", AttrType::Duration(1000, HOUR), "A unit that was spent may be spent again after this."),
    ],
    children: &[],
};
const BUDGETS: Element = Element {
    name: "budgets",
    doc: "Wholes that the front ends divide among themselves by leases; needs <peers>.",
    attrs: &[
        required("version", AttrType::Integer(1, u32::MAX as u64), "Counted up with each change of a whole."),
        with_default(
            "lease",
            AttrType::Duration(10_000, HOUR),
            "3s",
            "How long a part counts from when it was asked for.",
        ),
        with_default("vote", AttrType::Duration(1000, HOUR), "1s", "How long a vote for a keeper counts."),
        with_default(
            "beat",
            AttrType::Duration(1000, MINUTE),
            "300ms",
            "How often each front end asks; three times in a lease at least.",
        ),
        with_default(
            "drift",
            AttrType::Integer(0, 100_000),
            "1000",
            "Millionths by which a clock may run fast or slow.",
        ),
        with_default(
            "moves",
            AttrType::Integer(1, 256),
            "64",
            "Part in 256 of a whole that may change hands in a beat.",
        ),
    ],
    children: &[one_or_more(&VOTER), one_or_more(&BUDGET)],
};
const LEAVING: Element = Element {
    name: "leaving",
    doc: "Front ends tell each other which zones answer them, leave one that does not together, and return step by step; needs <peers>.",
    attrs: &[
        with_default("beat", AttrType::Duration(1000, MINUTE), "100ms", "How often each tells the voters."),
        with_default(
            "least-left",
            AttrType::Decimal(0.0, 1.0),
            "0.3",
            "Part of all runners, by size, that stays in use whatever is lost.",
        ),
        with_default("quiet", AttrType::Duration(1000, HOUR), "2s", "A zone that was left is not tried before; doubled by each failed return."),
        with_default("most-quiet", AttrType::Duration(1000, 24 * HOUR), "2min", "The longest such pause."),
        with_default("probers", AttrType::Integer(1, 64), "3", "Voters that probe a zone that was left."),
        with_default("probes", AttrType::Integer(1, 64), "2", "Runners that each of them probes in a beat."),
    ],
    children: &[one_or_more(&VOTER)],
};
const SERVICE: Element = Element {
    name: "service",
    doc: "A control service; the next one is asked where one fails.",
    attrs: &[required("address", AttrType::SocketAddress, "Where it listens.")],
    children: &[],
};
const CONTROL: Element = Element {
    name: "control",
    doc: "Settings in numbered versions from a control service.",
    attrs: &[
        required("name", AttrType::Name, "This front end's name there."),
        with_default("cluster", AttrType::Name, "main", "Its fleet's name there."),
        required("keep", AttrType::File, "Where the set that runs is kept over a restart."),
        with_default(
            "wait",
            AttrType::Duration(1000, MINUTE),
            "20s",
            "How long the service may hold a question open.",
        ),
        with_default(
            "retry",
            AttrType::Duration(1000, MINUTE),
            "500ms",
            "The first pause after a question that failed.",
        ),
        with_default(
            "most-retry",
            AttrType::Duration(1000, HOUR),
            "30s",
            "The longest; pauses in between are drawn.",
        ),
        with_default(
            "stage",
            AttrType::Duration(1000, HOUR),
            "10s",
            "How long a part waits for another that it needs.",
        ),
    ],
    children: &[one_or_more(&SERVICE)],
};
const LOG: Element = Element {
    name: "log",
    doc: "The log, on standard error.",
    attrs: &[
        with_default("format", AttrType::Choice(&["json", "text"]), "json", "Its form."),
        with_default(
            "level",
            AttrType::Choice(&["error", "warn", "info", "debug"]),
            "info",
            "What is written.",
        ),
    ],
    children: &[],
};
const METRICS: Element = Element {
    name: "metrics",
    doc: "Figures in OpenMetrics text, and health.",
    attrs: &[required("listen", AttrType::SocketAddress, "Where they are served, at /metrics and /health.")],
    children: &[],
};
const STOP: Element = Element {
    name: "stop",
    doc: "An orderly stop.",
    attrs: &[with_default(
        "within",
        AttrType::Duration(0, HOUR),
        "30s",
        "Calls still owed an answer after this are failed.",
    )],
    children: &[],
};

/// The root element.
pub const ROOT: Element = Element {
    name: "badgerwind",
    doc: "The settings of one front end.",
    attrs: &[required("version", AttrType::Choice(&["1"]), "Version of this form.")],
    children: &[
        exactly_one(&FLEET),
        exactly_one(&RULES),
        zero_or_one(&PRICES),
        zero_or_one(&ALLOW),
        one_or_more(&CLASS),
        one_or_more(&TENANT),
        one_or_more(&FUNCTION),
        exactly_one(&WEBHOOK),
        exactly_one(&RUNNERS),
        zero_or_one(&REPORT),
        exactly_one(&LIST),
        zero_or_one(&PEERS),
        zero_or_one(&BUDGETS),
        zero_or_one(&LEAVING),
        zero_or_one(&CONTROL),
        zero_or_one(&LOG),
        zero_or_one(&METRICS),
        zero_or_one(&STOP),
    ],
};

/// The schema in XSD 1.0. Child elements may occur in any order, which XSD 1.0 can express only by a repeated
/// choice. The number of occurrences is therefore stated in the documentation of each element, and enforced
/// by the validation.
pub fn xsd() -> String {
    let mut out = String::from(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n\
         <!-- Written from the table of elements: badgerwind check, with its option to print the schema. -->\n\
         <xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\" elementFormDefault=\"qualified\">\n",
    );
    write_element(&ROOT, 1, "", &mut out);
    out.push_str("</xs:schema>\n");
    out
}

fn escape(text: &str) -> String {
    quick_xml::escape::escape(text).into_owned()
}

fn annotation(text: &str) -> String {
    format!("<xs:annotation><xs:documentation>{}</xs:documentation></xs:annotation>", escape(text))
}

// Writing to a `String` cannot fail, so the results of `writeln!` are ignored here.
fn write_element(e: &Element, depth: usize, occurrence: &str, out: &mut String) {
    let pad = "  ".repeat(depth);
    let _ = writeln!(out, "{pad}<xs:element name=\"{}\">", e.name);
    let _ = writeln!(out, "{pad}  {}", annotation(&format!("{}{occurrence}", e.doc)));
    let _ = writeln!(out, "{pad}  <xs:complexType>");
    if !e.children.is_empty() {
        let _ = writeln!(out, "{pad}    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">");
        for c in e.children {
            let occurrence = match (c.min, c.max) {
                (1, Some(1)) => " Once.",
                (0, Some(1)) => " At most once.",
                (1, None) => " At least once.",
                _ => " Any number.",
            };
            write_element(c.element, depth + 3, occurrence, out);
        }
        let _ = writeln!(out, "{pad}    </xs:choice>");
    }
    for a in e.attrs {
        write_attribute(a, &pad, out);
    }
    let _ = writeln!(out, "{pad}  </xs:complexType>");
    let _ = writeln!(out, "{pad}</xs:element>");
}

fn write_attribute(a: &Attr, pad: &str, out: &mut String) {
    let usage = match a.default {
        Some(d) => format!("default=\"{}\"", escape(d)),
        None if a.optional => "use=\"optional\"".into(),
        None => "use=\"required\"".into(),
    };
    let range = |min: String, max: String| {
        format!("<xs:minInclusive value=\"{min}\"/><xs:maxInclusive value=\"{max}\"/>")
    };
    let pattern = |p: &str| format!("<xs:pattern value=\"{p}\"/>");
    let (base, facets) = match a.attr_type {
        AttrType::Name => ("string", pattern("[A-Za-z0-9_.:\\-]{1,64}")),
        AttrType::File => ("string", "<xs:minLength value=\"1\"/>".into()),
        AttrType::UrlPath => ("string", pattern("/[^?# ]*")),
        AttrType::Boolean => ("string", pattern("true|false")),
        AttrType::Choice(words) => {
            ("string", words.iter().map(|w| format!("<xs:enumeration value=\"{w}\"/>")).collect())
        }
        AttrType::Choices(words) => ("string", pattern(&format!("({0})( ({0}))*", words.join("|")))),
        AttrType::Integer(min, max) => ("integer", range(min.to_string(), max.to_string())),
        AttrType::Decimal(min, max) => ("decimal", range(min.to_string(), max.to_string())),
        AttrType::Duration(..) => ("string", pattern("[0-9]+(\\.[0-9]+)?(us|ms|s|min|h)")),
        AttrType::SocketAddress => ("string", pattern(".+:[0-9]{1,5}")),
        AttrType::IpAddress => ("string", pattern("[0-9A-Fa-f.:]{2,45}")),
        AttrType::Text(max) => {
            ("string", format!("<xs:minLength value=\"1\"/><xs:maxLength value=\"{max}\"/>"))
        }
        AttrType::Timestamp => ("string", pattern("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z")),
    };
    let _ = writeln!(out, "{pad}    <xs:attribute name=\"{}\" {usage}>", a.name);
    let _ =
        writeln!(out, "{pad}      {}", annotation(&format!("{} Give {}.", a.doc, a.attr_type.expected())));
    let _ = writeln!(out, "{pad}      <xs:simpleType><xs:restriction base=\"xs:{base}\">");
    let _ = writeln!(out, "{pad}        {facets}");
    let _ = writeln!(out, "{pad}      </xs:restriction></xs:simpleType>");
    let _ = writeln!(out, "{pad}    </xs:attribute>");
}
