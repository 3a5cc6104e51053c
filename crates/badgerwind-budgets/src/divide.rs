//! How a limit is divided: by what is wanted, evenly where it does not reach.

use crate::units::Unit;

/// Max-min fair parts (water-filling; Bertsekas and Gallager, Data Networks, section 6.5.2): nobody gets more than it
/// wants, and nobody gets less than another unless it wants no more. Units left over by rounding go to the first ones by `from` on.
pub fn fair(limit: Unit, wants: &[Unit], from: usize) -> Vec<Unit> {
    let mut parts = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&n| wants[n]);
    let mut left = limit;
    for (done, &n) in order.iter().enumerate() {
        let each = left / (wants.len() - done) as Unit;
        parts[n] = wants[n].min(each);
        left -= parts[n];
    }
    // What rounding left goes out one by one.
    for n in (0..wants.len()).map(|n| (n + from) % wants.len().max(1)) {
        if left > 0 && parts[n] < wants[n] {
            (parts[n], left) = (parts[n] + 1, left - 1);
        }
    }
    parts
}
