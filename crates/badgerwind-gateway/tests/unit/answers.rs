//! Unit tests of `answers.rs`.

use super::*;
use badgerwind_driver::{Failure, Refusal};

#[test]
fn a_call_that_may_have_run_is_repeated_only_where_that_is_harmless() {
    let failed = FinalAnswer::<()>::Failed(Failure::GivenUp);
    let refused = FinalAnswer::<()>::Refused { by: Refusal::ByModule, retry_after: None };
    use Effect::*;
    for (effect, group, answer, attempts, expected) in [
        (Once, Group::All, &FinalAnswer::Served(()), 1, Retention::Remember),
        (Repeatable, Group::All, &FinalAnswer::Served(()), 1, Retention::Remember),
        (Once, Group::All, &refused, 2, Retention::Forget),
        (Once, Group::All, &failed, 1, Retention::Remember),
        (Once, Group::All, &failed, 0, Retention::Forget),
        (ByKey, Group::All, &failed, 1, Retention::Forget),
        (ByKey, Group::Zone, &failed, 1, Retention::Remember),
        (ByKey, Group::Cell, &failed, 1, Retention::Remember),
        (Repeatable, Group::All, &failed, 1, Retention::Forget),
    ] {
        assert_eq!(retention(effect, group, answer, attempts), expected, "{effect:?} {group:?} {answer:?}");
    }
}
