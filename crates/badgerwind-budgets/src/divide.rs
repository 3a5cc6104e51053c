//! Division of a limit among members by demand, evenly where demand exceeds it.

use crate::units::Unit;

/// Max-min fair shares (water-filling; Bertsekas and Gallager, Data Networks, section 6.5.2): no member gets
/// more than it wants, and none gets less than another unless it wants no more. Units left over by rounding
/// go one each to the members from index `from` on.
pub fn max_min_fair(limit: Unit, wants: &[Unit], from: usize) -> Vec<Unit> {
    let mut shares = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&n| wants[n]);
    let mut remaining = limit;
    for (done, &n) in order.iter().enumerate() {
        let even_share = remaining / (wants.len() - done) as Unit;
        shares[n] = wants[n].min(even_share);
        remaining -= shares[n];
    }
    // Distributes what rounding left over, one unit each.
    for n in (0..wants.len()).map(|n| (n + from) % wants.len().max(1)) {
        if remaining > 0 && shares[n] < wants[n] {
            (shares[n], remaining) = (shares[n] + 1, remaining - 1);
        }
    }
    shares
}
