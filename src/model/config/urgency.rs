//! Urgency of a request: by the priority of its tenant, then by that of its route.

/// Urgency of a request. A smaller value is more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the tenant, 0 for the most urgent; also 0 if the request has no tenant.
    pub tenant: u32,
    /// Priority of the route, 0 for the most urgent.
    pub route: u32,
}
