//! Unit tests of `shares.rs`.

use super::*;
use badgerwind_budgets::{LeaseSettings, Limit, LimitSet};
use badgerwind_settings::Budget;

#[test]
fn local_quotas_follow_the_current_quota_of_the_tenant() {
    let mut router =
        badgerwind_settings::read("s.xml", include_str!("../../../badgerwind-settings/tests/example.xml"))
            .unwrap()
            .router;
    let limit = Limit { units: 10, floor: 5, members: 1, cooldown: 1_000 };
    let limit_set = LimitSet { version: 1, limits: vec![limit] };
    let (lease, request_interval) = (3_000, 1_000);
    let lease_settings =
        LeaseSettings { voters: vec![0], vote: 1_000, lease, request_interval, drift_ppm: 0, max_moves: 64 };
    let node = Node::new(0, (0, 1), limit_set.clone(), lease_settings.clone(), 0.0);
    let brolga = Budget { name: "brolga".into(), resource: BudgetResource::Tenant(0) };
    let budgets = Budgets { lease_settings, limit_set, budgets: vec![brolga], line: 1 };
    // The floor is half the units; right after the start it cools down for one window.
    for (quota, at, expected) in [(40.0, 0, 0.0), (40.0, 5_000, 20.0), (90.0, 5_000, 45.0)] {
        router.tenants[0].quota_per_s = Some(quota);
        let quotas = local_quotas(&budgets, &node, at, &router);
        assert_eq!((quotas.tenants[0], quotas.orders), (Some(expected), None));
    }
}
