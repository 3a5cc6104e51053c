//! Orders of events that random days hardly ever draw.

use badgerwind_budgets::*;

fn terms() -> (Terms, Book) {
    let terms = Terms { voters: vec![0], vote: 10, lease: 6, beat: 2, drift: 0, moves: 256 };
    let limit = Limit { units: 1, floor: 0, members: 0, rest: 0 };
    (terms, Book { version: 1, limits: vec![limit] })
}

/// A voter's word to a candidate that asks now.
fn elect(coordinator: &mut Coordinator, now: Time, book: &Book, terms: &Terms) {
    let Message::RequestVote { incarnation, round, .. } = coordinator.request_votes(now, book, terms) else {
        unreachable!()
    };
    coordinator.voted(now, 0, &Message::Vote { incarnation, round }, book, terms);
    assert!(coordinator.is_coordinator(now, book, terms));
}

/// A new coordinator hears an ask that was sent long ago, by one that held the unit then. That it holds it no more says
/// nothing of the one to whom the old coordinator gave it since, and who has not asked the new one yet.
fn an_old_ask_reaches_a_new_coordinator(mutant: Option<Mutant>) -> bool {
    let (terms, book) = terms();
    let mut old = Coordinator::new(0, 1).with(mutant);
    let mut new = Coordinator::new(1, 1).with(mutant);
    let mut a = Lessee::new(0, (2, 1), 0, &book, &terms);
    let mut b = Lessee::new(0, (3, 1), 0, &book, &terms);
    elect(&mut old, 0, &book, &terms);
    elect(&mut old, 8, &book, &terms);
    let ask = b.ask(9, 1);
    let grant = old.asked(9, 3, &ask, &book, &terms).expect("it coordinates");
    assert!(b.heard(9, &grant) && b.owned(9).has(0));
    let late = b.ask(10, 1);
    // Its lease ends, it says so, and the unit is the other's.
    let ask = b.ask(16, 0);
    old.asked(16, 3, &ask, &book, &terms);
    let ask = a.ask(17, 1);
    let grant = old.asked(17, 2, &ask, &book, &terms).expect("it coordinates");
    assert!(a.heard(17, &grant) && a.owned(18).has(0));
    // The old coordinator's votes are over.
    assert!(!old.is_coordinator(18, &book, &terms));
    elect(&mut new, 18, &book, &terms);
    new.asked(18, 3, &late, &book, &terms);
    let ask = b.ask(18, 0);
    new.asked(18, 3, &ask, &book, &terms);
    let ask = b.ask(20, 1);
    if let Some(grant) = new.asked(20, 3, &ask, &book, &terms) {
        b.heard(20, &grant);
    }
    a.owned(20).has(0) && b.owned(20).has(0)
}

#[test]
fn what_an_old_keeper_gave_is_nobody_elses_until_it_must_be_over() {
    assert!(!an_old_ask_reaches_a_new_coordinator(None));
    assert!(an_old_ask_reaches_a_new_coordinator(Some(Mutant::ForgetsTheUnknown)), "the defect shows");
}

/// A voter that starts again knows nothing of its promise, and gives none until the last one must be over.
#[test]
fn a_voter_that_starts_again_is_quiet_until_its_promises_must_be_over() {
    let (terms, _) = terms();
    let mut voter = Voter::new(0, &terms);
    assert!(!voter.vote_requested(10, (0, 1), (1, 1), &terms), "quiet at first");
    assert!(voter.vote_requested(11, (0, 1), (1, 1), &terms));
    assert!(!voter.vote_requested(12, (1, 1), (1, 1), &terms), "one at a time");
    assert!(voter.vote_requested(12, (0, 1), (1, 1), &terms), "the same again");
    assert!(!voter.vote_requested(22, (1, 1), (1, 1), &terms));
    let mut again = Voter::new(13, &terms);
    assert!(!again.vote_requested(22, (1, 1), (1, 1), &terms), "what it promised counts still");
    let mut forgets = Voter::new(0, &terms); // as if it had run for long
    assert!(forgets.vote_requested(22, (1, 1), (1, 1), &terms), "two coordinators, if it were not");
    assert!(again.vote_requested(24, (1, 1), (1, 1), &terms));
    assert!(!Voter::new(0, &terms).vote_requested(50, (1, 1), (1, 2), &terms), "not by older settings");
}

#[test]
fn settings_that_do_not_hold_together_are_told() {
    let (terms, book) = terms();
    assert_eq!(terms.check(&book.limits), Ok(()));
    let limit = Limit { units: 5, floor: 2, members: 3, rest: 0 };
    assert_eq!(terms.check(&[limit]), Err(BadTerms::Floors { units: 5, floor: 2, members: 3 }));
    let none = Terms { voters: vec![], ..terms.clone() };
    assert_eq!(none.check(&book.limits), Err(BadTerms::NoVoter));
    let slow = Terms { beat: 3, ..terms.clone() };
    assert_eq!(slow.check(&book.limits), Err(BadTerms::Beat { beat: 3, lease: 6 }));
    let wild = Terms { drift: 200_000, ..terms.clone() };
    assert_eq!(wild.check(&book.limits), Err(BadTerms::Drift(200_000)));
    let mut next = book.clone();
    (next.version, next.limits[0].units) = (2, 9);
    assert_eq!(book.follows(&next), Ok(()));
    next.limits[0].floor = 1;
    assert_eq!(book.follows(&next), Err(BadTerms::Recut(2)));
    let mut node = Node::new(0, (0, 1), book.clone(), terms.clone(), 0.5);
    assert_eq!(node.set(1, &next), Err(BadTerms::Recut(2)));
    assert_eq!(node.book(), &book, "it goes on by what it has");
}
