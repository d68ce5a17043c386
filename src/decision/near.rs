//! Nearness: delays, and stable hashes where nothing else decides.

use super::Ask;
use crate::key::HallKey;
use crate::view::View;

/// Order among halls that are equally near: the one that has the request,
/// then by a hash that keeps each caller where it was.
pub(super) fn tie(ask: &Ask, hall: HallKey) -> (bool, std::cmp::Reverse<u64>) {
    (ask.from != Some(hall), std::cmp::Reverse(mix(ask.seed, hall)))
}

/// One-way delay from whoever has the request to the hall, in microseconds.
pub(super) fn ask_delay_us(view: &View, ask: &Ask, hall: HallKey) -> u64 {
    match ask.from {
        Some(from) => view.world.links.delay_us(from, hall),
        None => origin_delay_us(view, ask, hall),
    }
}

/// One-way delay from where the caller is to the hall, in microseconds; from
/// the entry where the caller's place is not declared.
pub(super) fn origin_delay_us(view: &View, ask: &Ask, hall: HallKey) -> u64 {
    let Some(caller) = ask.caller else {
        return ask.from.map_or(0, |from| view.world.links.delay_us(from, hall));
    };
    let caller = &view.world.callers[caller];
    let near = caller.delay.as_micros() as u64;
    near + view.world.links.from_region_us(caller.region, hall)
}

/// A stable point from 0 to 1 for a seed.
pub(super) fn unit(seed: u64) -> f64 {
    (splitmix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

pub(super) fn mix(seed: u64, hall: HallKey) -> u64 {
    splitmix(seed ^ (u64::from(hall.0) + 1).wrapping_mul(0xD6E8_FEB8_6659_FD93))
}

/// Finalizer of SplitMix64: spreads every input bit over the output.
pub(super) fn splitmix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
