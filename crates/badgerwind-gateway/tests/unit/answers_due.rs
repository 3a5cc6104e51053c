//! A front end that runs late writes the answers it has before it takes new messages.

use super::{AnswersDue, MOST_TURNS};
use futures_lite::future;
use smol::LocalExecutor;
use std::cell::RefCell;

/// Tasks that were woken before an answer came, and the answer's own behind them.
#[test]
fn an_answer_goes_out_before_messages_that_were_ready_first() {
    let (due, order) = (AnswersDue::default(), RefCell::new(Vec::new()));
    let answer = due.begin();
    let tasks = LocalExecutor::new();
    for _ in 0..3 {
        tasks
            .spawn(async {
                due.let_out().await;
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
    let _never_written = due.begin();
    let mut waits = Box::pin(due.let_out());
    let turns = (0..=MOST_TURNS).find(|_| future::block_on(future::poll_once(&mut waits)).is_some());
    assert_eq!(turns, Some(MOST_TURNS));
}
