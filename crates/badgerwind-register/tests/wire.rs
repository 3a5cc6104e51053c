//! The bytes of messages and of records are held fixed: members of two versions understand each other whatever their source
//! calls them.

use badgerwind_register::{Message, Record};

fn holds(message: Message, bytes: &[u8]) {
    assert_eq!(message.bytes(), bytes, "{message:?}");
    assert_eq!(Message::read(bytes), Some(message));
}

#[test]
fn each_message_has_the_bytes_it_always_had() {
    holds(Message::Renew { incarnation: 300, stamp: 5 }, &[1, 172, 2, 5]);
    holds(Message::Since(300), &[3, 172, 2]);
    holds(Message::Renewed { incarnation: 300, stamp: 5 }, &[4, 172, 2, 5]);
    holds(Message::Elsewhere(Some(4)), &[5, 1, 4]);
    holds(Message::Entries { entries: vec![(7, vec![1, 2])], leader: None }, &[6, 1, 7, 2, 1, 2, 0]);
    holds(Message::All { index: 7, bytes: vec![1, 2] }, &[7, 7, 2, 1, 2]);
    let records = vec![
        Record::Join { member: 2, nonce: 300, zone: 1, speaks: 1 },
        Record::Ended { member: 2, incarnation: 9 },
        Record::Announce { member: 2, incarnation: 9, serial: 1, bytes: vec![5, 6] },
    ];
    holds(Message::Offer(records), &[2, 3, 0, 2, 172, 2, 1, 1, 1, 2, 9, 2, 2, 9, 1, 2, 5, 6]);
}
