//! What only the inside of `shares.rs` shows.

use super::*;
use badgerwind_budgets::{LeaseSettings, Limit, LimitSet};
use badgerwind_settings::Budget;

#[test]
fn a_part_is_of_the_quota_that_runs_now() {
    let mut router =
        badgerwind_settings::read("s.xml", include_str!("../../../badgerwind-settings/tests/example.xml"))
            .unwrap()
            .router;
    let limit = Limit { units: 10, floor: 5, members: 1, cooldown: 1_000 };
    let book = LimitSet { version: 1, limits: vec![limit] };
    let (lease, beat) = (3_000, 1_000);
    let terms = LeaseSettings {
        voters: vec![0],
        vote: 1_000,
        lease,
        request_interval: beat,
        drift_ppm: 0,
        max_moves: 64,
    };
    let node = Node::new(0, (0, 1), book.clone(), terms.clone(), 0.0);
    let brolga = Budget { name: "brolga".into(), resource: BudgetResource::Tenant(0) };
    let budgets = Budgets { lease_settings: terms, limit_set: book, budgets: vec![brolga], line: 1 };
    // A floor of half the units; right after the start it rests for a window.
    for (quota, at, part) in [(40.0, 0, 0.0), (40.0, 5_000, 20.0), (90.0, 5_000, 45.0)] {
        router.tenants[0].quota_per_s = Some(quota);
        let told = parts(&budgets, &node, at, &router);
        assert_eq!((told.tenants[0], told.orders), (Some(part), None));
    }
}
