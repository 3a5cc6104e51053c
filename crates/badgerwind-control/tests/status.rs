//! The documents that operators' tools read keep the names of their fields.

use badgerwind_config::parts::Kind;
use badgerwind_config::wire::Health;
use badgerwind_control::{FrontEndStatus, KindStatus, Status};
use serde_json::json;
use std::collections::BTreeMap;

#[test]
fn the_status_keeps_its_field_names() {
    let unpublished = BTreeMap::from([("routes/7.xml".to_owned(), "no number".to_owned())]);
    let status = Status {
        kinds: vec![KindStatus { kind: Kind::Routes, newest: Some(6), wave: None, unpublished }],
        front_ends: vec![FrontEndStatus {
            id: "a".into(),
            since_last_request_ms: 40,
            pinned: false,
            report: vec![],
            health: Health::default(),
        }],
    };
    let document = json!({
        "kinds": [{ "kind": "routes", "newest": 6, "wave": null, "unfit": { "routes/7.xml": "no number" } }],
        "fronts": [{
            "id": "a",
            "heard_ms_ago": 40,
            "pinned": false,
            "report": [],
            "health": { "served": 0, "refused": 0, "failed": 0 },
        }],
    });
    assert_eq!(serde_json::to_value(&status).unwrap(), document);
}
