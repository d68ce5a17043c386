//! The credit of a cap, compared with plain sums.

use lockloft::policy::credit::Credit;
use proptest::prelude::*;

/// Maximum effect of rounding a cap on the number of moves.
const ROUNDING_TOLERANCE: f64 = 1e-3;

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// In any window of requests, an instance moves at most the share `cap` of them, and one
    /// more.
    #[test]
    fn no_window_exceeds_the_cap(cap in 0.0f64..=1.0, move_requested in prop::collection::vec(any::<bool>(), 1..400)) {
        let credit = Credit::default();
        let moved: Vec<bool> = move_requested.iter().map(|is_requested| {
            credit.deposit(cap);
            *is_requested && credit.withdraw()
        }).collect();
        for from in 0..moved.len() {
            for to in from + 1..=moved.len() {
                let count = moved[from..to].iter().filter(|moved| **moved).count() as f64;
                prop_assert!(count <= cap * (to - from) as f64 + 1.0 + ROUNDING_TOLERANCE);
            }
        }
    }

    /// Credit equals a plain sum after any sequence of deposits, withdrawals and refunds.
    #[test]
    fn credit_equals_a_sum_that_never_exceeds_one(steps in prop::collection::vec((0u8..3, 0.0f64..=1.0), 1..200)) {
        let credit = Credit::default();
        let mut sum = 0i64;
        for (kind, cap) in steps {
            match kind {
                0 => {
                    credit.deposit(cap);
                    sum = (sum + (cap * 1e6) as i64).min(1_000_000);
                }
                1 => {
                    prop_assert_eq!(credit.withdraw(), sum >= 1_000_000);
                    sum -= if sum >= 1_000_000 { 1_000_000 } else { 0 };
                }
                _ => {
                    credit.refund();
                    sum = (sum + 1_000_000).min(1_000_000);
                }
            }
        }
    }
}
