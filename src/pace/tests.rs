use super::{LinkBudget, Pace};
use std::sync::Arc;
use std::time::Duration;

/// A thousandth of what the clock allows the bucket to differ from ours.
const SLACK: f64 = 1.01;

#[tokio::test]
async fn bodies_together_do_not_exceed_the_rate() {
    let budget = Arc::new(LinkBudget::default());
    let (rate, frame) = (1_000_000.0, 4_096);
    let started = std::time::Instant::now();
    let mut paces: Vec<Pace> = (0..3).map(|_| Pace::new(budget.clone(), rate)).collect();
    let mut passed = 0.0;
    for _ in 0..60 {
        for pace in &mut paces {
            std::future::poll_fn(|cx| pace.poll_ready(cx)).await;
            pace.passed(frame);
            passed += frame as f64;
            let allowed = rate * (started.elapsed().as_secs_f64() + 0.1) * SLACK + frame as f64;
            assert!(passed <= allowed, "{passed} bytes passed, {allowed} allowed");
        }
    }
}

#[test]
fn debt_is_told_as_a_time() {
    let budget = LinkBudget::default();
    budget.wait(1_000.0);
    budget.charge(10_000);
    let wait = budget.wait(1_000.0);
    assert!(wait > Duration::from_secs(9) && wait <= Duration::from_secs(10), "{wait:?}");
}
