//! Links to the heads of halls, over which they are told what tenants use and targets' loads.
//!
//! Owns the connections, one to each head, and which heads failed. Relies on
//! [`crate::sync::peers`] for a connection.

use super::{CALL_TIME, USAGE_PATH};
use crate::clock::{Instant, timeout};
use crate::model::usage::{UsageAnswer, UsageReport, decode, encode};
use crate::sync::peers::{PeerError, PeerLink};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Calls in a row without an answer after which a head is passed over: one may be lost.
const MAX_SILENT: u32 = 2;
/// Time for which a head that failed is passed over: a dead one leaves the members meanwhile. At 2 s
/// all instances of its hall tried it again at one moment, and 15 in 100 requests were refused for
/// a second in a replay in which six heads died at once.
const PASS_OVER: Duration = Duration::from_secs(5);

/// Why a head took no report.
#[derive(Debug, Error)]
enum TellError {
    /// It gave no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// Its answer cannot be read.
    #[error("the head's answer cannot be read: {0}; check its version")]
    Unreadable(#[from] postcard::Error),
}

/// Links to heads, and those heads that failed.
#[derive(Default)]
pub struct HeadLinks {
    links: RefCell<HashMap<SocketAddr, PeerLink>>,
    /// Calls in a row that a head did not answer.
    silent: RefCell<HashMap<SocketAddr, u32>>,
    /// Until when a head is passed over.
    failed: RefCell<HashMap<SocketAddr, Instant>>,
}

impl HeadLinks {
    /// Whether a head may be asked: it did not fail lately.
    pub fn may_ask(&self, peer: SocketAddr) -> bool {
        self.failed.borrow().get(&peer).is_none_or(|until| *until <= Instant::now())
    }

    /// Sends a report to a head. One that cannot be reached is passed over for a while, one that is
    /// silent from the second time on.
    pub async fn tell(&self, head: SocketAddr, report: &UsageReport) -> Option<UsageAnswer> {
        let error = match timeout(CALL_TIME, self.call(head, report)).await {
            Ok(Ok(answer)) => {
                self.silent.borrow_mut().remove(&head);
                return Some(answer);
            }
            Ok(Err(error)) => error,
            Err(_) => PeerError::Silent.into(),
        };
        let is_silent = matches!(error, TellError::Peer(PeerError::Silent | PeerError::Slow { .. }));
        if !is_silent || self.count_silence(head) >= MAX_SILENT {
            self.pass_over(head, &error);
        }
        None
    }

    async fn call(&self, head: SocketAddr, report: &UsageReport) -> Result<UsageAnswer, TellError> {
        let open = self.links.borrow_mut().remove(&head);
        let mut link = match open {
            Some(link) => link,
            None => PeerLink::open(head).await?,
        };
        let body = link.post(USAGE_PATH, encode(report), CALL_TIME).await?;
        let answer = decode(&body)?;
        self.links.borrow_mut().insert(head, link);
        Ok(answer)
    }

    fn count_silence(&self, head: SocketAddr) -> u32 {
        let mut silent = self.silent.borrow_mut();
        let count = silent.entry(head).or_default();
        *count += 1;
        *count
    }

    fn pass_over(&self, head: SocketAddr, error: &TellError) {
        tracing::info!(event = "usage_not_told", %head, %error);
        self.silent.borrow_mut().remove(&head);
        let now = Instant::now();
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, until| *until > now);
        failed.insert(head, now + PASS_OVER);
    }

    /// Closes links to instances that are heads no longer.
    pub fn keep_links(&self, is_head: impl Fn(SocketAddr) -> bool) {
        self.links.borrow_mut().retain(|peer, _| is_head(*peer));
    }
}
