//! Requests that instances forward to each other: the instances that this one forwards to, and those that
//! forward to it.
//!
//! Owns the records of both, and the count of forwarded requests in flight here. The rules are in
//! [`crate::decision::selection::forward_peers`], [`crate::decision::registry::forward_peer`] and
//! [`crate::decision::refusal::forwarded`].

use super::Instance;
use crate::clock::Instant;
use crate::decision::refusal::forwarded::{ForwardedLimits, ForwardedRate};
use crate::decision::registry::forward_peer::ForwardPeer;
use crate::decision::selection::forward_peers::{Forwarder, least_busy, preferred_peers};
use crate::model::member::Member;
use crate::platform::Platform;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for which an instance counts as isolated after it has forwarded a request: its registration, or its
/// next request, says so by then.
const FORWARDER_TIME: Duration = Duration::from_millis(1_500);
/// Failures in a row, at whatever instances, after which no instance is expected to take a request.
const MAX_FAILURES: u32 = 6;
/// Time between two requests that are forwarded all the same then.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The state of forwarding.
#[derive(Debug, Default)]
pub struct Forwarding {
    peers: RefCell<HashMap<SocketAddr, Rc<ForwardPeer>>>,
    /// Failures at peers since the last success.
    failures: Cell<u32>,
    /// When a request may be forwarded although no peer is expected to take it.
    retry_at: Cell<Option<Instant>>,
    /// Instances that have forwarded a request here, and when they did so last.
    forwarders: RefCell<HashMap<String, Instant>>,
    taken: Rc<Cell<u32>>,
    rate: Cell<ForwardedRate>,
}

/// Counts a forwarded request as in flight here until it is dropped.
#[derive(Debug)]
pub struct TakenGuard(Rc<Cell<u32>>);

impl Drop for TakenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Forwarding {
    /// Records that a peer has taken a request.
    pub fn record_success(&self, peer: &ForwardPeer) {
        peer.record_success();
        self.failures.set(0);
    }

    /// Records that a peer could not be reached, broke off, or declined a request.
    pub fn record_failure(&self, peer: &ForwardPeer) {
        peer.record_failure(Instant::now());
        self.failures.set(self.failures.get().saturating_add(1));
    }

    /// Whether a request may be forwarded: some peer is expected to take it, or it is time to try again.
    fn may_try(&self, now: Instant) -> bool {
        if self.failures.get() < MAX_FAILURES {
            return true;
        }
        let is_due = self.retry_at.get().is_none_or(|at| at <= now);
        if is_due {
            self.retry_at.set(Some(now + RETRY_INTERVAL));
        }
        is_due
    }

    /// Closes all connections to peers and forgets what is known of them.
    pub fn clear(&self) {
        self.peers.borrow_mut().clear();
        self.failures.set(0);
        self.retry_at.set(None);
    }

    /// Closes the connections to peers that were idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.peers.borrow().values().for_each(|peer| peer.pool.close_expired(now));
    }

    /// Records that an instance has forwarded a request here.
    pub fn record_forwarder(&self, name: &str, now: Instant) {
        let mut forwarders = self.forwarders.borrow_mut();
        forwarders.retain(|_, at| now.saturating_duration_since(*at) < FORWARDER_TIME);
        forwarders.insert(name.to_owned(), now);
    }

    /// Whether an instance has lately forwarded a request here.
    fn is_forwarder(&self, name: &str, now: Instant) -> bool {
        let forwarders = self.forwarders.borrow();
        forwarders.get(name).is_some_and(|at| now.saturating_duration_since(*at) < FORWARDER_TIME)
    }

    fn peer(&self, name: &str, member: &Member) -> Rc<ForwardPeer> {
        let new = || Rc::new(ForwardPeer::new(name, &member.hall, member.peer));
        self.peers.borrow_mut().entry(member.peer).or_insert_with(new).clone()
    }

    fn in_flight(&self, member: &Member) -> u32 {
        self.peers.borrow().get(&member.peer).map_or(0, |peer| peer.in_flight())
    }

    fn is_usable(&self, member: &Member, now: Instant) -> bool {
        self.peers.borrow().get(&member.peer).is_none_or(|peer| peer.is_usable(now))
    }
}

impl<P: Platform> Instance<P> {
    /// Whether another instance is known to reach no target.
    pub fn is_isolated(&self, name: &str, member: &Member) -> bool {
        member.isolated || self.forwarding.is_forwarder(name, Instant::now())
    }

    /// Whether other instances are registered.
    pub fn has_other_members(&self) -> bool {
        let (settings, routing) = (self.settings.borrow(), self.routing.borrow());
        routing.members.others(&settings.name).next().is_some()
    }

    /// Whether this instance cannot serve all requests by itself.
    pub fn is_isolated_itself(&self) -> bool {
        self.links.reach().is_isolated()
    }

    /// The instance to forward a request to: none of those `tried`, in a region for which `is_allowed`
    /// holds. `None` if no instance is expected to take it.
    pub fn choose_peer(&self, tried: &[SocketAddr], is_allowed: impl Fn(&str) -> bool) -> Option<Rc<ForwardPeer>> {
        let (settings, routing, now) = (self.settings(), self.routing.borrow(), Instant::now());
        let forwarder =
            Forwarder { name: &settings.name, region: &settings.region, request_bytes: self.request_size.bytes() };
        if !self.forwarding.may_try(now) {
            return None;
        }
        let is_usable = |_: &str, member: &Member| {
            !tried.contains(&member.peer) && is_allowed(&member.region) && self.forwarding.is_usable(member, now)
        };
        let is_isolated = |name: &str, member: &Member| self.is_isolated(name, member);
        let preferred = preferred_peers(&routing.members, forwarder, is_usable, is_isolated);
        let chosen = least_busy(&preferred, |member| self.forwarding.in_flight(member))?;
        Some(self.forwarding.peer(chosen.name, chosen.member))
    }

    /// Takes a forwarded request, unless there are too many; it counts until the guard is dropped.
    pub fn take_forwarded(&self) -> Option<TakenGuard> {
        let settings = self.settings();
        let limits = ForwardedLimits::new(settings.descriptors, settings.capacity, self.request_size.bytes());
        let taken = &self.forwarding.taken;
        let mut rate = self.forwarding.rate.get();
        let is_admitted = rate.admit(limits, taken.get(), Instant::now());
        self.forwarding.rate.set(rate);
        is_admitted.then(|| {
            taken.set(taken.get() + 1);
            TakenGuard(taken.clone())
        })
    }
}
