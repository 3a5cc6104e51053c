//! The wire protocol: values pass unchanged, and malformed lines give clear errors.

use badgerwind_adapter::wire::Host;
use serde_json::{json, Value};

fn begin() -> Value {
    json!({"op": "Begin", "endId": 3, "randomSeed": 5, "info": {
        "peersTotal": 2, "round": 2000, "unknownFigure": [1, 2],
        "classes": [{"aim": 1000000, "effect": "repeatable", "group": "all", "hardLimit": 3000000,
                     "lateWorth": 0.2, "streaming": false, "window": 0, "worth": 1.0}],
        "allowed": {"maxAttempts": 4, "mayCancel": true},
        "specifics": {"staysLoaded": 9000000, "whenAbsent": "load", "placementCalls": true, "marksCold": true},
        "rules": {"coldFrom": 0.2, "warmAfter": 10000000, "fall": 1500000, "tipMultiple": 2.5}}})
}

fn list() -> Value {
    let line = json!({"regionPart": 0, "availability": 1, "pod": 0, "model": 0, "executor": 4294967295u32,
                      "size": 1, "born": null});
    json!({"op": "Discovery", "endId": 3, "kind": 2, "revision": 41, "lines": [line]})
}

fn request(id: &str) -> Value {
    json!({"op": "Request", "endId": 3, "tid": id, "againByClient": false, "billing": 0, "cost": null,
           "app": "fn:a", "sizeMb": 384, "concurrency": 1, "priority": 0, "due": 3000000, "update": false,
           "loadMs": 900.5})
}

fn batch(host: &mut Host, time: u64, turn: u64, input: Vec<Value>) -> Value {
    let line = json!({"time": time, "turn": turn, "input": input}).to_string();
    let reply = host.answer(&line).expect("a well-formed batch");
    assert!(reply.ends_with('\n') && reply.matches('\n').count() == 1);
    serde_json::from_str(&reply).expect("a JSON reply")
}

#[test]
fn a_request_goes_through_with_its_values_unchanged() {
    let mut host = Host::default();
    assert_eq!(batch(&mut host, 5, 1, vec![]), json!({"turn": 1, "do": []}));
    let id = "5d3a91c4-006a-4ed3-a783-865c8a48c969";
    let reply = batch(&mut host, 1000, 2, vec![begin(), list(), request(id)]);
    let sent =
        reply["do"].as_array().unwrap().iter().find(|a| a["op"] == "Forward").expect("a Forward action");
    assert_eq!(sent, &json!({"op": "Forward", "endId": 3, "tid": id, "executor": 4294967295u32}));
    let answer = json!({"op": "Answer", "endId": 3, "tid": id, "status": "ok", "final": true, "lag": 18500,
                        "executor": 4294967295u32, "info": 9, "leg": 0, "metrics": null});
    assert_eq!(batch(&mut host, 20000, 3, vec![answer])["do"], json!([]));
    assert_eq!(batch(&mut host, 30000, 4, vec![json!({"op": "PowerOff", "endId": 3})])["do"], json!([]));
}

#[test]
fn every_event_is_understood() {
    let mut host = Host::default();
    batch(&mut host, 1000, 1, vec![begin(), list()]);
    let id = "0e6f2b19-ae39-4e01-a52b-8f2965a975f1";
    let events = vec![
        json!({"op": "UnderWay", "endId": 3, "tid": id, "leg": 0, "lag": 9250, "executor": 1}),
        json!({"op": "TimedOutClient", "endId": 3, "tid": id}),
        json!({"op": "Wakeup", "endId": 3, "handle": "else"}),
        json!({"op": "Sampled", "endId": 3, "executor": 1, "status": "timeout", "lag": 1400, "metrics": [0.5]}),
        json!({"op": "Heard", "endId": 3, "who": 2, "data": "aGkgNw=="}),
        json!({"op": "Warmed", "endId": 3, "status": "full", "app": "fn:b", "executor": 1, "number": 1, "lag": 6}),
        json!({"op": "Discovery", "endId": 3, "kind": 3, "revision": 0, "lines": null}),
    ];
    assert_eq!(batch(&mut host, 2000, 2, events)["do"], json!([]));
    for status in ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"] {
        let e = json!({"op": "Answer", "endId": 3, "tid": id, "status": status, "final": true, "lag": 1,
                       "executor": 1, "info": null, "leg": 0, "metrics": null});
        batch(&mut host, 3000, 3, vec![e]);
    }
}

#[test]
fn malformed_lines_give_clear_errors() {
    let bad = [
        ("{", "malformed batch"),
        (r#"{"time":1,"turn":1}"#, "missing field `input`"),
        (r#"{"time":1,"turn":1,"input":[{"op":"Request","endId":3}]}"#, "field 'tid' is missing"),
        (r#"{"time":1,"turn":1,"input":[{"op":"Dance","endId":3}]}"#, "unknown op 'Dance'"),
        (r#"{"time":1,"turn":1,"input":[{"op":"Wakeup","endId":9,"handle":"x"}]}"#, "has not begun"),
        (r#"{"time":1,"turn":1,"input":[{"op":"Wakeup","endId":"x","handle":"x"}]}"#, "wrong type"),
    ];
    for (line, expected) in bad {
        let error = Host::default().answer(line).expect_err(line);
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn the_same_batches_give_the_same_replies() {
    let run = || {
        let mut host = Host::default();
        (1..50u64)
            .map(|n| {
                let mut input = if n == 1 { vec![begin(), list()] } else { vec![] };
                input.push(request(&format!("r{n}")));
                batch(&mut host, n * 10_000, n, input).to_string()
            })
            .collect::<String>()
    };
    assert_eq!(run(), run());
}

/// With no copy mark, a crowd of 0 is encoded as null. It was mistaken for a missing crowd mark, and a worker
/// that refused one tenant without a queue for a worker with a full queue.
#[test]
fn a_null_mark_is_a_crowd_of_zero() {
    for (info, sent_again) in [(json!(null), false), (json!(8 * 9), true)] {
        let mut host = Host::default();
        let mut start = begin();
        start["info"]["specifics"]["tellsCrowd"] = json!(true);
        let mut later = [request("a"), request("b")];
        later.iter_mut().for_each(|r| r["due"] = json!(63_000_000));
        later[1]["app"] = json!("fn:b");
        let [a, b] = later;
        batch(&mut host, 60_000_000, 1, vec![start, list(), a]);
        let answer = json!({"op": "Answer", "endId": 3, "tid": "a", "status": "full", "final": false, "lag": 150000,
                            "executor": 4294967295u32, "info": info, "leg": 0, "metrics": null});
        batch(&mut host, 60_150_000, 2, vec![answer]);
        let reply = batch(&mut host, 60_300_000, 3, vec![b]);
        let sends = reply["do"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|a| a["op"] == "Forward" && a["tid"] == "b")
            .count();
        assert_eq!(sends == 1, sent_again, "{info}");
    }
}
