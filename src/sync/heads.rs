//! Finds the heads of halls, and sends them reports over connections that are kept open. The head of
//! a hall is the instance that totals the reports of the hall's instances and answers them.
//!
//! Owns the connections, one to each head, and the record of heads that failed. Relies on
//! [`crate::sync::peers`] for a connection, and on [`crate::decision::quota::heads`] for the choice
//! of heads.

use crate::clock::{Instant, timeout};
use crate::decision::quota::heads::{Head, head_of, heads};
use crate::model::usage::{decode, encode};
use crate::net::server::CallerBody;
use crate::net::whole_body::{ReadError, ReadLimits, read_whole};
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::peers::{PeerConnection, PeerError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call to a head: after two timeouts in a row, the next head in order still has time
/// to answer before the last answer is too old (1 s).
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of attempts to send one report, one after the other, to the same head or the next
/// one in order.
pub const MAX_REPORT_ATTEMPTS: usize = 3;

/// Consecutive timeouts after which a head is skipped: a single call may be lost.
const MAX_TIMEOUTS: u32 = 2;
/// Time for which a head is skipped after a failure; doubled with each further one. Short, since others may
/// still reach that head: a hall whose instances disagree has two heads, of which each knows a part.
const MIN_SKIP_TIME: Duration = Duration::from_secs(1);
/// Maximum time for which a head is skipped: by then a dead one is no longer a member.
const MAX_SKIP_TIME: Duration = Duration::from_secs(5);

/// Why a report could not be sent to a head.
#[derive(Debug, Error)]
enum SendReportError {
    /// The call failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The answer cannot be decoded.
    #[error("the head's answer cannot be decoded: {0}; check the version of that instance")]
    InvalidAnswer(#[from] postcard::Error),
}

/// A report to the head of a hall.
pub trait HeadReport: Serialize + DeserializeOwned {
    /// Path at which heads accept it.
    const PATH: &'static str;
    /// A head's answer to it.
    type Answer: DeserializeOwned;
}

/// Why a head rejects a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// It was not received completely, or not in time, or is too large.
    #[error("the report was not received completely: {0}; send it again")]
    Incomplete(#[from] ReadError),
    /// It cannot be decoded.
    #[error("the report cannot be decoded: {0}; check the version of the instance that sent it")]
    Invalid(#[from] postcard::Error),
}

/// Reads and decodes a report of at most `size` bytes.
///
/// # Errors
/// [`ReportError`] if it is not received within [`REPORT_TIMEOUT`], is too large or cannot be decoded.
pub async fn read_report<R: HeadReport>(body: CallerBody, size: usize) -> Result<R, ReportError> {
    let limits = ReadLimits { stall: REPORT_TIMEOUT, total: REPORT_TIMEOUT, size };
    Ok(decode(&read_whole(body, limits).await?)?)
}

/// The head of the own hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnHead {
    /// This instance.
    Local,
    /// Another instance, with its address for peers.
    Remote(SocketAddr),
}

/// Connections to the heads of halls, and which heads failed recently.
#[derive(Default)]
pub struct HeadConnections {
    /// Open connections without a call in progress.
    connections: RefCell<HashMap<SocketAddr, PeerConnection>>,
    /// Consecutive timeouts by head.
    timeouts: RefCell<HashMap<SocketAddr, u32>>,
    /// Heads that failed, until they answer.
    skipped: RefCell<HashMap<SocketAddr, Skip>>,
}

/// A head that is skipped after a failure.
#[derive(Clone, Copy, Debug)]
struct Skip {
    time: Duration,
    until: Instant,
}

impl Skip {
    /// Whether the failure is so long ago that it does not count for the next one.
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.until) > MAX_SKIP_TIME
    }
}

impl HeadConnections {
    /// Whether reports may be sent to an instance: it is not skipped after a failure.
    pub fn may_report_to(&self, peer: SocketAddr) -> bool {
        self.skipped.borrow().get(&peer).is_none_or(|skip| skip.until <= Instant::now())
    }

    /// Sends a report to a head and returns its answer; `None` if that fails. The head is then skipped
    /// for a while: after a timeout only if it is the second in a row or the head was skipped before, after
    /// any other failure at once.
    pub async fn send_report<R: HeadReport>(&self, head: SocketAddr, report: &R) -> Option<R::Answer> {
        let error = match timeout(REPORT_TIMEOUT, self.post_report(head, report)).await {
            Ok(Ok(answer)) => {
                self.timeouts.borrow_mut().remove(&head);
                self.skipped.borrow_mut().remove(&head);
                return Some(answer);
            }
            Ok(Err(error)) => error,
            Err(_) => PeerError::NoResponse.into(),
        };
        let is_timeout =
            matches!(error, SendReportError::Peer(PeerError::NoResponse | PeerError::ResponseTimedOut { .. }));
        let was_skipped = self.skipped.borrow().contains_key(&head);
        if !is_timeout || was_skipped || self.count_timeout(head) >= MAX_TIMEOUTS {
            self.skip(head, R::PATH, &error);
        }
        None
    }

    /// Sends a report over the open connection, or over a new one if there is none. The connection is
    /// closed if this fails or is cancelled.
    async fn post_report<R: HeadReport>(&self, head: SocketAddr, report: &R) -> Result<R::Answer, SendReportError> {
        let existing = self.connections.borrow_mut().remove(&head);
        let mut connection = match existing {
            Some(connection) => connection,
            None => PeerConnection::open(head).await?,
        };
        let body = connection.post(R::PATH, encode(report), REPORT_TIMEOUT).await?;
        let answer = decode(&body)?;
        self.connections.borrow_mut().insert(head, connection);
        Ok(answer)
    }

    /// Counts a timeout of a head; returns the number of consecutive ones.
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
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, skip| !skip.is_over(now));
        let time = skipped.get(&head).map_or(MIN_SKIP_TIME, |skip| (skip.time * 2).min(MAX_SKIP_TIME));
        skipped.insert(head, Skip { time, until: now + time });
    }

    /// The head of the own hall among the members that are not skipped. If no such member is left, this
    /// instance if it is a member, otherwise another instance that is a seed and not skipped; `None` if
    /// no such seed is left either.
    pub fn own_head<P: Platform>(&self, instance: &Instance<P>) -> Option<OwnHead> {
        let settings = instance.settings();
        let routing = instance.routing.borrow();
        let is_member = routing.members.contains_key(&settings.name);
        if let Some(head) = head_of(&routing.members, &settings.hall, |peer| self.may_report_to(peer)) {
            return Some(if head.name == settings.name { OwnHead::Local } else { OwnHead::Remote(head.peer) });
        }
        if is_member {
            return Some(OwnHead::Local);
        }
        let seeds = settings.seeds.iter().copied();
        let mut others = seeds.filter(|seed| *seed != settings.listen.peers && self.may_report_to(*seed));
        others.next().map(OwnHead::Remote)
    }

    /// The heads of the other halls, with the names of these halls and the heads' addresses for peers.
    pub fn other_heads<P: Platform>(&self, instance: &Instance<P>) -> Vec<(String, SocketAddr)> {
        let settings = instance.settings();
        let routing = instance.routing.borrow();
        let heads = heads(&routing.members, |peer| self.may_report_to(peer));
        let others = heads.into_iter().filter(|(hall, _)| **hall != *settings.hall);
        others.map(|(hall, Head { peer, .. })| (hall.to_owned(), peer)).collect()
    }

    /// Closes connections to instances other than the head of the own hall and `others`, the heads of
    /// the other halls.
    pub fn close_unused<P: Platform>(&self, instance: &Instance<P>, others: &[(String, SocketAddr)]) {
        let own = self.own_head(instance);
        let is_own = |peer| matches!(own, Some(OwnHead::Remote(head)) if head == peer);
        let is_other = |peer| others.iter().any(|(_, other)| *other == peer);
        self.connections.borrow_mut().retain(|peer, _| is_own(*peer) || is_other(*peer));
    }
}
