//! Tenants of a soak: keys that versions of the configuration pass on and take away, a tenant that
//! sends many times its quota, and what is checked of both from what targets ran.
//!
//! Owns the tenants of each version. Relies on the versions' times for what may still be in force.

use super::layout::SETTLE_TIME;
use crate::site::TenantSpec;
use crate::target_server::Run;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Window of a quota.
const WINDOW: Duration = Duration::from_secs(5);
/// What may run beyond a quota in a window: a share of it, and `quota_slack` of the settings.
const OVERAGE: f64 = 0.1;
/// See [`OVERAGE`].
const SLACK: f64 = 20.0;
/// How much later than it is in force a version may be noted as written.
const NOTED_AFTER: Duration = Duration::from_millis(50);
/// Key of the tenant without a quota.
pub const FREE_KEY: &str = "key-of-free";
/// Key that versions pass on from one tenant to the other and take away.
const MOVING_KEY: &str = "key-that-moves";
/// Key that no version ever held.
const UNKNOWN_KEY: &str = "key-of-nobody";

/// The tenants of a version.
pub fn tenants(version: u64) -> Vec<TenantSpec> {
    let mut one = TenantSpec::new("one", &["key-of-one"]).quota(100.0, 100.0);
    let mut two = TenantSpec::new("two", &["key-of-two"]).quota(20.0, 20.0);
    match version % 3 {
        0 => one.api_keys.push(MOVING_KEY.to_owned()),
        1 => two.api_keys.push(MOVING_KEY.to_owned()),
        _ => {}
    }
    vec![TenantSpec::new("free", &[FREE_KEY]), one, two]
}

/// A key for a caller's request. One in five is of the tenant that sends several times its quota.
pub fn draw(random: &mut StdRng) -> &'static str {
    match random.random_range(0..20) {
        0..8 => FREE_KEY,
        8..14 => "key-of-one",
        14..18 => "key-of-two",
        18 => MOVING_KEY,
        _ => UNKNOWN_KEY,
    }
}

/// The tenant that holds a key in a version.
fn holder(version: u64, key: &str) -> Option<String> {
    let all = tenants(version).into_iter();
    all.filter(|tenant| tenant.api_keys.iter().any(|other| other == key)).map(|tenant| tenant.name).next()
}

/// Whether a run names a tenant that did not hold the request's key in a version that may have been
/// in force: the last one written before `SETTLE_TIME` before the request, or a later one. `written`
/// gives the time of each version after the first.
pub fn is_wrong_tenant(run: &Run, key: &str, sent: Instant, written: &[Instant]) -> bool {
    let settled = written.iter().filter(|at| **at + SETTLE_TIME < sent).count() as u64 + 1;
    let last = written.iter().filter(|at| **at <= run.at + NOTED_AFTER).count() as u64 + 1;
    let named = run.tenant.clone();
    !(settled..=last).any(|version| holder(version, key).is_some_and(|holder| Some(holder) == named))
}

/// Windows in which more requests of a tenant ran than its quota allows.
pub fn windows_over_quota(runs: &[&Run]) -> usize {
    tenants(0).iter().map(|tenant| windows_of(tenant, runs)).sum()
}

fn windows_of(tenant: &TenantSpec, runs: &[&Run]) -> usize {
    let Some((rate, burst)) = tenant.quota else { return 0 };
    let most = (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVERAGE) + SLACK;
    let mut seen = HashSet::new();
    let of_tenant = |run: &&&Run| run.tenant.as_deref() == Some(&*tenant.name) && seen.insert(run.id.clone());
    let mut times: Vec<Instant> = runs.iter().filter(of_tenant).map(|run| run.at).collect();
    times.sort();
    let within = |from: usize| times[from..].partition_point(|at| *at < times[from] + WINDOW);
    (0..times.len()).filter(|from| within(*from) as f64 > most).count()
}
