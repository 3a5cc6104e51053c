//! Hash functions that must not change: their results are the same on every machine and in every version.

/// A bijective mix of 64 bits (the finalizer of SplitMix64; Steele, Lea and Flood 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The position of a member in the trie; distinct members have distinct positions, since [`mix`] is
/// bijective.
pub(crate) fn position(member: u32) -> u64 {
    mix(u64::from(member))
}
