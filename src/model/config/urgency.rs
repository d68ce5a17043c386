//! Urgency of a request: the tenant's priority, then the route's.

/// How urgent a request is; the smaller one goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the tenant, 0 the most urgent; 0 where no tenant is asked for.
    pub tenant: u32,
    /// Priority of the route, 0 the most urgent.
    pub route: u32,
}
