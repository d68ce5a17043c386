//! Bodies read whole: given up where nothing more comes, not where they are large.
//!
//! A bound on the whole time cuts off a large body on a slow link however well it comes
//! along; begun anew, it is cut off again. So the time without a byte is bounded, and the
//! whole time only far above what any body needs.
//!
//! Owns nothing beyond one read. Relies on the caller for the limits.

use crate::clock::{Instant, timeout_at};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use std::time::Duration;
use thiserror::Error;

/// How long the read of a body may take.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Longest time without a byte.
    pub stall: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
    /// Largest body, bytes.
    pub size: usize,
}

/// Why a body was not read whole.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It stalled, or took too long in all.
    #[error("{received} bytes came in time, but not the end")]
    TimedOut {
        /// Bytes that had come.
        received: usize,
    },
    /// It is larger than any body should be.
    #[error("the body has more than {0} bytes; check the address")]
    TooLarge(usize),
    /// Its connection broke.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body to its end.
///
/// # Errors
/// [`ReadError`]; the connection cannot be used again.
pub async fn read_whole<B>(mut body: B, limits: ReadLimits) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut read = Vec::new();
    let end = Instant::now() + limits.total;
    loop {
        let latest = end.min(Instant::now() + limits.stall);
        let frame = timeout_at(latest, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ReadError::TimedOut { received: read.len() })? else { break };
        // Trailers are the only other frames; nobody here sends any.
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > limits.size {
            return Err(ReadError::TooLarge(limits.size));
        }
    }
    Ok(Bytes::from(read))
}
