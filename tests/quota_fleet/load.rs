//! Load of a simulated fleet: the quotas of tenants and the requests of their callers.

use lockloft::model::config::Quota;
use std::rc::Rc;

/// The load of one tenant.
pub struct Load {
    pub name: Rc<str>,
    pub quota: Quota,
    /// Requests per second at a time in milliseconds.
    pub rate: Box<dyn Fn(u64) -> f64>,
    /// Whether its callers use an instance, by its number.
    pub uses_instance: Box<dyn Fn(usize) -> bool>,
}

impl Load {
    /// A tenant with `quota` as its rate per second and as its burst, whose callers use all instances.
    pub fn new(name: &str, quota: f64, rate: impl Fn(u64) -> f64 + 'static) -> Self {
        let quota = Quota { rate: quota, burst: quota };
        Self { name: name.into(), quota, rate: Box::new(rate), uses_instance: Box::new(|_| true) }
    }
}

/// Eighty tenants, a few of them large, each of which sends its usual rate, 0.62 of its quota. `total` is
/// the sum of their requests per second.
pub fn usual_loads(total: f64) -> Vec<Load> {
    let weights: f64 = (1..=80).map(|rank| 1.0 / f64::from(rank)).sum();
    let load = |rank: u32| {
        let usual = total / weights / f64::from(rank);
        Load::new(&format!("t-{rank}"), (1.6 * usual).round().max(1.0), move |_| usual)
    };
    (1..=80).map(load).collect()
}
