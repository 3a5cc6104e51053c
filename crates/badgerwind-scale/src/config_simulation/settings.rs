//! Generates settings of a given size: the settings file of a front end, and versions of each kind of part.

use badgerwind_config::Kind;
use badgerwind_settings::document::{parse, Node};
use std::fmt::Write;

/// Number of functions per route.
const FUNCTIONS_PER_ROUTE: u64 = 10;

/// Connection limit of version 0 of the limits. Each version raises it by one.
const BASE_CONNECTIONS: u64 = 1_000;

const START_TAG: &str = "<badgerwind version=\"1\">\n";
const END_TAG: &str = "</badgerwind>\n";

/// Longest deadline of a class in these settings, in microseconds.
pub const MAX_DEADLINE: u64 = 3_000_000;

/// Parses the settings file of a front end with the given number of functions.
pub fn settings_file(functions: u64) -> Result<Node, String> {
    let mut text = String::from(START_TAG);
    text.push_str(&fleet(0));
    text.push_str(&classes(functions, 0));
    text.push_str("<webhook listen=\"127.0.0.1:8080\">");
    text.push_str(&senders_and_routes(functions, 0));
    text.push_str("</webhook>\n<runners key-file=\"runners.key\"/>\n");
    text.push_str("<list address=\"127.0.0.1:9000\" cache=\"runners.json\"/>\n");
    text.push_str(END_TAG);
    parse("file.xml", &text).map_err(|problem| problem.to_string())
}

/// The XML text of a version of a part. Versions with different numbers have different texts, except that
/// those of the fleet and of classes repeat after 1,000 versions.
pub fn part_text(kind: Kind, functions: u64, version: u64) -> String {
    let content = match kind {
        Kind::Fleet => fleet(version),
        Kind::Classes => classes(functions, version),
        Kind::Routes => format!("<webhook>{}</webhook>\n", senders_and_routes(functions, version)),
        Kind::Limits => format!("<webhook connections=\"{}\"/>\n", BASE_CONNECTIONS + version),
    };
    format!("{START_TAG}{content}{END_TAG}")
}

/// Name of the function with this number.
pub fn function_name(number: u64) -> String {
    format!("function-{number:06}")
}

fn fleet(version: u64) -> String {
    let grace = 500 + version % 1_000;
    format!(
        "<fleet front-ends=\"11000\" number=\"0\" zone=\"hall-a\" when-absent=\"load\" keep-alive=\"8.4s\"><zone name=\"hall-a\"/>\
         <kind name=\"type-a\" memory-mb=\"12864\"/></fleet>\n\
         <rules drain-grace=\"{grace}ms\" cold-from=\"0.16\" warm-after=\"18s\" fall-multiple=\"2.5\" \
         fall-window=\"1.5s\"/>\n<allow max-attempts=\"4\" retry-after=\"2s\"/>\n"
    )
}

fn classes(functions: u64, version: u64) -> String {
    let aim = 1_000 + version % 1_000;
    let mut text = format!(
        "<class name=\"check\" aim=\"{aim}ms\" deadline=\"3s\" effect=\"repeatable\"/>\n\
         <class name=\"lodge\" aim=\"{aim}ms\" deadline=\"3s\" effect=\"once\"/>\n\
         <tenant name=\"shire\"/>\n"
    );
    for number in 0..functions {
        let name = function_name(number);
        // Writing to a `String` never fails.
        _ = writeln!(text, "<function name=\"{name}\" memory-mb=\"400\" load-time=\"800ms\"/>");
    }
    text
}

fn senders_and_routes(functions: u64, version: u64) -> String {
    let mut text = String::from(
        "<sender name=\"portal\" tenant=\"shire\"><secret name=\"a\" file=\"portal.key\"/></sender>\n",
    );
    for route in 0..functions.div_ceil(FUNCTIONS_PER_ROUTE) {
        let function = function_name(route * FUNCTIONS_PER_ROUTE);
        _ = writeln!(
            text,
            "<route path=\"/route/{route}\" sender=\"portal\" class=\"check\" function=\"{function}\"/>"
        );
    }
    let function = function_name(0);
    _ = writeln!(
        text,
        "<route path=\"/version/{version}\" sender=\"portal\" class=\"lodge\" function=\"{function}\"/>"
    );
    text
}
