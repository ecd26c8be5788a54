//! A deterministic hash of integers, the same in every process.

/// Mixes the bits of a number so that the results are evenly distributed (the finalizer of
/// splitmix64).
pub const fn mix_bits(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
