//! The head of a hall: the first of its instances in the order of
//! [`crate::decision::registry::head_order`], or the next one where that one does not answer.
//!
//! **Inputs**: the members, as old as the view; instances that recently failed to answer, exact.
//!
//! **Why.** All instances find the same head without exchanging messages. Where instances disagree, a
//! hall temporarily has two heads; each forwards to the other halls the reports that it received.
//!
//! **Test**: `tests/quotas.rs`.

use crate::decision::registry::members::Members;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The head of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// Instance name.
    pub name: &'a str,
    /// Address at which it accepts reports of other instances.
    pub peer: SocketAddr,
}

/// The heads of all halls, by hall, chosen among the instances for which `may_report_to` holds.
pub fn heads<'a>(members: &'a Members, may_report_to: impl Fn(SocketAddr) -> bool) -> BTreeMap<&'a str, Head<'a>> {
    let head = |hall| Some((hall, head_of(members, hall, &may_report_to)?));
    members.head_order().halls().filter_map(head).collect()
}

/// The head of one hall among the instances for which `may_report_to` holds; `None` if there is none.
pub fn head_of<'a>(members: &'a Members, hall: &str, may_report_to: impl Fn(SocketAddr) -> bool) -> Option<Head<'a>> {
    let candidate = members.head_order().candidates(hall).find(|candidate| may_report_to(candidate.peer))?;
    Some(Head { name: &candidate.name, peer: candidate.peer })
}
