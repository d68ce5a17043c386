//! Load of a fleet: tenants' quotas and their callers' requests.

use lockloft::model::config::Quota;
use std::rc::Rc;

/// A tenant's callers.
pub struct Load {
    pub name: Rc<str>,
    pub quota: Quota,
    /// Requests a second at a time, milliseconds.
    pub rate: Box<dyn Fn(u64) -> f64>,
    /// Whether its callers come to an instance.
    pub reaches: Box<dyn Fn(usize) -> bool>,
}

impl Load {
    /// A tenant with this quota a second and burst, whose callers come everywhere.
    pub fn new(name: &str, quota: f64, rate: impl Fn(u64) -> f64 + 'static) -> Self {
        let quota = Quota { rate: quota, burst: quota };
        Self { name: name.into(), quota, rate: Box::new(rate), reaches: Box::new(|_| true) }
    }
}

/// Eighty tenants, a few of them large: each sends 0.62 of its quota on average.
pub fn usual_loads(total: f64) -> Vec<Load> {
    let weights: f64 = (1..=80).map(|rank| 1.0 / f64::from(rank)).sum();
    let load = |rank: u32| {
        let usual = total / weights / f64::from(rank);
        Load::new(&format!("t-{rank}"), (1.6 * usual).round().max(1.0), move |_| usual)
    };
    (1..=80).map(load).collect()
}
