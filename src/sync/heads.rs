//! The heads of halls, as an instance finds them, and the links over which they are told things.
//!
//! Owns the connections, one to each head, and which heads failed. Relies on
//! [`crate::sync::peers`] for a connection, and on [`crate::decision::quota::heads`] for who is one.

use crate::clock::{Instant, timeout};
use crate::decision::quota::heads::{Head, heads};
use crate::model::usage::{decode, encode};
use crate::net::server::CallerBody;
use crate::net::whole_body::{ReadError, ReadLimits, read_whole};
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::peers::{PeerError, PeerLink};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Longest time for a call to a head: twice in a row it is below the age of an answer (1 s) by the
/// time that the next head in order needs.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Heads that one report is sent to at most, one after the other.
pub const MAX_REPORT_ATTEMPTS: usize = 3;

/// Calls in a row without an answer after which a head is passed over: one may be lost.
const MAX_TIMEOUTS: u32 = 2;
/// Time for which a head that failed is passed over: a dead one leaves the members meanwhile, so
/// that the instances of its hall do not all try it again at one moment.
const SKIP_TIME: Duration = Duration::from_secs(5);

/// Why a head took no report.
#[derive(Debug, Error)]
enum SendReportError {
    /// It gave no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// Its answer cannot be read.
    #[error("the head's answer cannot be read: {0}; check its version")]
    InvalidResponse(#[from] postcard::Error),
}

/// What a head is told.
pub trait HeadReport: Serialize + DeserializeOwned {
    /// Path at which heads take it.
    const PATH: &'static str;
    /// What they answer.
    type Answer: DeserializeOwned;
}

/// Why a report is refused.
#[derive(Debug, Error)]
pub enum ReportError {
    /// It did not come whole.
    #[error("the report did not come whole: {0}; send it again")]
    Incomplete(#[from] ReadError),
    /// It is no report.
    #[error("the report cannot be read: {0}; check the version of the instance that sent it")]
    Invalid(#[from] postcard::Error),
}

/// Reads a report of `size` bytes at most.
///
/// # Errors
/// [`ReportError`].
pub async fn read_report<R: HeadReport>(body: CallerBody, size: usize) -> Result<R, ReportError> {
    let limits = ReadLimits { stall: CALL_TIMEOUT, total: CALL_TIMEOUT, size };
    Ok(decode(&read_whole(body, limits).await?)?)
}

/// Where the head of the own hall is.
#[derive(Clone, Copy)]
pub enum OwnHead {
    /// It is this instance.
    Local,
    /// It listens for its peers here.
    Remote(SocketAddr),
}

/// Links to heads, and those heads that failed.
#[derive(Default)]
pub struct HeadConnections {
    connections: RefCell<HashMap<SocketAddr, PeerLink>>,
    /// Calls in a row that a head did not answer.
    timeouts: RefCell<HashMap<SocketAddr, u32>>,
    /// Until when a head is passed over.
    skipped_until: RefCell<HashMap<SocketAddr, Instant>>,
}

impl HeadConnections {
    /// Whether a head may be asked: it did not fail lately.
    pub fn may_ask(&self, peer: SocketAddr) -> bool {
        self.skipped_until.borrow().get(&peer).is_none_or(|until| *until <= Instant::now())
    }

    /// Sends a report to a head. One that cannot be reached is passed over for a while, one that is
    /// silent from the second time on.
    pub async fn send_report<R: HeadReport>(&self, head: SocketAddr, report: &R) -> Option<R::Answer> {
        let error = match timeout(CALL_TIMEOUT, self.call(head, report)).await {
            Ok(Ok(answer)) => {
                self.timeouts.borrow_mut().remove(&head);
                return Some(answer);
            }
            Ok(Err(error)) => error,
            Err(_) => PeerError::Silent.into(),
        };
        let is_timeout = matches!(error, SendReportError::Peer(PeerError::Silent | PeerError::Slow { .. }));
        if !is_timeout || self.count_timeout(head) >= MAX_TIMEOUTS {
            self.skip(head, R::PATH, &error);
        }
        None
    }

    async fn call<R: HeadReport>(&self, head: SocketAddr, report: &R) -> Result<R::Answer, SendReportError> {
        let existing = self.connections.borrow_mut().remove(&head);
        let mut connection = match existing {
            Some(connection) => connection,
            None => PeerLink::open(head).await?,
        };
        let body = connection.post(R::PATH, encode(report), CALL_TIMEOUT).await?;
        let answer = decode(&body)?;
        self.connections.borrow_mut().insert(head, connection);
        Ok(answer)
    }

    fn count_timeout(&self, head: SocketAddr) -> u32 {
        let mut timeouts = self.timeouts.borrow_mut();
        let count = timeouts.entry(head).or_default();
        *count += 1;
        *count
    }

    fn skip(&self, head: SocketAddr, path: &str, error: &SendReportError) {
        tracing::info!(event = "usage_not_told", %head, path, %error);
        self.timeouts.borrow_mut().remove(&head);
        let now = Instant::now();
        let mut skipped_until = self.skipped_until.borrow_mut();
        skipped_until.retain(|_, until| *until > now);
        skipped_until.insert(head, now + SKIP_TIME);
    }

    /// The head of the own hall; a seed where no instance of the hall is known, `None` where there
    /// is none either.
    pub fn own_head<P: Platform>(&self, instance: &Instance<P>) -> Option<OwnHead> {
        let settings = instance.settings();
        let routing = instance.routing.borrow();
        let is_member = routing.members.contains_key(&settings.name);
        if let Some(head) = heads(&routing.members, |peer| self.may_ask(peer)).get(&*settings.hall) {
            return Some(if head.name == settings.name { OwnHead::Local } else { OwnHead::Remote(head.peer) });
        }
        if is_member {
            return Some(OwnHead::Local);
        }
        let seeds = settings.seeds.iter().copied();
        let mut others = seeds.filter(|seed| *seed != settings.listen.peers && self.may_ask(*seed));
        others.next().map(OwnHead::Remote)
    }

    /// The heads of the other halls.
    pub fn other_heads<P: Platform>(&self, instance: &Instance<P>) -> Vec<(String, SocketAddr)> {
        let settings = instance.settings();
        let routing = instance.routing.borrow();
        let heads = heads(&routing.members, |peer| self.may_ask(peer));
        let others = heads.into_iter().filter(|(hall, _)| **hall != *settings.hall);
        others.map(|(hall, Head { peer, .. })| (hall.to_owned(), peer)).collect()
    }

    /// Closes links to instances that are heads no longer, but for the own one and `others`.
    pub fn close_unused<P: Platform>(&self, instance: &Instance<P>, others: &[(String, SocketAddr)]) {
        let own = self.own_head(instance);
        let is_own = |peer| matches!(own, Some(OwnHead::Remote(head)) if head == peer);
        let is_other = |peer| others.iter().any(|(_, other)| *other == peer);
        self.connections.borrow_mut().retain(|peer, _| is_own(*peer) || is_other(*peer));
    }
}
