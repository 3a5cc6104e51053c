//! What only the inside of `answers.rs` shows.

use super::*;
use badgerwind_driver::{Failure, Refusal};

#[test]
fn what_may_have_run_is_tried_anew_only_where_that_is_harmless() {
    let failed = FinalAnswer::<()>::Failed(Failure::GivenUp);
    let refused = FinalAnswer::<()>::Refused { by: Refusal::ByModule, retry_after: None };
    use Effect::*;
    for (effect, group, answer, attempts, want) in [
        (Once, Group::All, &FinalAnswer::Served(()), 1, Kept::Remember),
        (Repeatable, Group::All, &FinalAnswer::Served(()), 1, Kept::Remember),
        (Once, Group::All, &refused, 2, Kept::Forget),
        (Once, Group::All, &failed, 1, Kept::Remember),
        (Once, Group::All, &failed, 0, Kept::Forget),
        (ByKey, Group::All, &failed, 1, Kept::Forget),
        (ByKey, Group::Zone, &failed, 1, Kept::Remember),
        (ByKey, Group::Cell, &failed, 1, Kept::Remember),
        (Repeatable, Group::All, &failed, 1, Kept::Forget),
    ] {
        assert_eq!(remembers(effect, group, answer, attempts), want, "{effect:?} {group:?} {answer:?}");
    }
}
