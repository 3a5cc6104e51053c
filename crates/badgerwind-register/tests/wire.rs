//! The encoding of messages and records must not change, so that members of different versions understand
//! each other.

use badgerwind_register::{Message, Record};

fn assert_bytes(message: Message, bytes: &[u8]) {
    assert_eq!(message.encode(), bytes, "{message:?}");
    assert_eq!(Message::decode(bytes), Some(message));
}

#[test]
fn message_encoding_is_stable() {
    assert_bytes(Message::Renew { incarnation: 300, stamp: 5 }, &[1, 172, 2, 5]);
    assert_bytes(Message::EntriesAfter(300), &[3, 172, 2]);
    assert_bytes(Message::Renewed { incarnation: 300, stamp: 5 }, &[4, 172, 2, 5]);
    assert_bytes(Message::NotLeader(Some(4)), &[5, 1, 4]);
    assert_bytes(Message::Entries { entries: vec![(7, vec![1, 2])], leader: None }, &[6, 1, 7, 2, 1, 2, 0]);
    assert_bytes(Message::Snapshot { index: 7, bytes: vec![1, 2] }, &[7, 7, 2, 1, 2]);
    let records = vec![
        Record::Join { member: 2, nonce: 300, zone: 1, record_version: 1 },
        Record::Ended { member: 2, incarnation: 9 },
        Record::Announce { member: 2, incarnation: 9, serial: 1, bytes: vec![5, 6] },
    ];
    assert_bytes(Message::Propose(records), &[2, 3, 0, 2, 172, 2, 1, 1, 1, 2, 9, 2, 2, 9, 1, 2, 5, 6]);
}
