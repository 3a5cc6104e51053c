//! Unit tests of `answers_due.rs`: an overloaded front end writes pending answers before it takes new
//! messages.

use super::{AnswersDue, MAX_TURNS};
use futures_lite::future;
use smol::LocalExecutor;
use std::cell::RefCell;

/// The tasks of three messages are woken before the answer's task and let it run first.
#[test]
fn an_answer_goes_out_before_messages_that_were_ready_first() {
    let (due, order) = (AnswersDue::default(), RefCell::new(Vec::new()));
    let answer = due.add();
    let tasks = LocalExecutor::new();
    for _ in 0..3 {
        tasks
            .spawn(async {
                due.yield_to_answers().await;
                order.borrow_mut().push("message");
            })
            .detach();
    }
    tasks
        .spawn(async {
            order.borrow_mut().push("answer");
            drop(answer);
        })
        .detach();
    while tasks.try_tick() {}
    assert_eq!(*order.borrow(), ["answer", "message", "message", "message"]);
}

#[test]
fn a_message_waits_for_a_bounded_number_of_turns() {
    let due = AnswersDue::default();
    let _never_written = due.add();
    let mut waits = Box::pin(due.yield_to_answers());
    let turns = (0..=MAX_TURNS).find(|_| future::block_on(future::poll_once(&mut waits)).is_some());
    assert_eq!(turns, Some(MAX_TURNS));
}
