//! The encoding of each message is fixed, so that front ends of different versions understand each other.

use badgerwind_budgets::{Message, Units};

fn assert_encoding(message: Message, bytes: &[u8]) {
    assert_eq!(message.encode(), bytes, "{message:?}");
    assert_eq!(Message::decode(bytes), Some(message));
}

#[test]
fn each_message_keeps_its_encoding() {
    let (incarnation, version) = (0x0102, 7);
    assert_encoding(
        Message::RequestVote { incarnation, round: 3, is_coordinator: true, version },
        &[0xb1, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 3, 1, 0, 0, 0, 7],
    );
    assert_encoding(Message::Vote { incarnation, round: 3 }, &[0xb1, 2, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 3]);
    let held = Units::range(4, 6);
    assert_encoding(
        Message::LeaseRequest { budget: 1, incarnation, serial: 9, version, held: held.clone(), wants: 5 },
        &[0xb1, 3, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 9, 0, 0, 0, 7, 0, 5, 1, 0, 4, 0, 6],
    );
    assert_encoding(
        Message::Grant { budget: 1, incarnation, serial: 9, version, renewed: held, added: Units::new() },
        &[0xb1, 4, 1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 9, 0, 0, 0, 7, 1, 0, 4, 0, 6, 0],
    );
    assert_encoding(
        Message::Superseded { incarnation, latest: 0x0103 },
        &[0xb1, 5, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0, 1, 3],
    );
}
