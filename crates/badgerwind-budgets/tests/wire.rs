//! The bytes of each message are held fixed: front ends of two versions understand each other whatever their source calls it.

use badgerwind_budgets::{Message, Units};

fn holds(message: Message, bytes: &[u8]) {
    assert_eq!(message.bytes(), bytes, "{message:?}");
    assert_eq!(Message::read(bytes), Some(message));
}

#[test]
fn each_message_has_the_bytes_it_always_had() {
    let (incarnation, version) = (0x0102, 7);
    holds(
        Message::RequestVote { incarnation, round: 3, is_coordinator: true, version },
        &[0xb1, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 3, 1, 0, 0, 0, 7],
    );
    holds(Message::Vote { incarnation, round: 3 }, &[0xb1, 2, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 3]);
    let held = Units::range(4, 6);
    holds(
        Message::Ask { budget: 1, incarnation, serial: 9, version, held: held.clone(), wants: 5 },
        &[0xb1, 3, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 9, 0, 0, 0, 7, 0, 5, 1, 0, 4, 0, 6],
    );
    holds(
        Message::Grant { budget: 1, incarnation, serial: 9, version, keep: held, fresh: Units::new() },
        &[0xb1, 4, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 9, 0, 0, 0, 7, 1, 0, 4, 0, 6, 0],
    );
    holds(
        Message::Superseded { incarnation, latest: 0x0103 },
        &[0xb1, 5, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0, 1, 3],
    );
}
