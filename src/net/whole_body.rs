//! Reads a body completely. Fails soon if data stops arriving, but allows a body that keeps arriving to
//! take long.
//!
//! A limit on the total time alone would abort a large body on a slow link although data keeps
//! arriving, and a repeated transfer would be aborted in the same way. So the time without data is
//! limited, and the total time only far above what any body needs.
//!
//! Owns nothing beyond one read. The calling code sets the limits.

use crate::clock::{Instant, timeout_at};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use std::time::Duration;
use thiserror::Error;

/// Limits on the time and size of a body that is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Maximum time without data.
    pub stall: Duration,
    /// Maximum time for the complete body.
    pub total: Duration,
    /// Maximum size of the body, bytes.
    pub size: usize,
}

/// Why a body was not read completely.
#[derive(Debug, Error)]
pub enum ReadError {
    /// No data arrived for too long, or the complete body took too long.
    #[error("timed out after {received} bytes of the body")]
    TimedOut {
        /// Number of bytes received until then.
        received: usize,
    },
    /// The body is larger than [`ReadLimits::size`], which is given here in bytes.
    #[error("the body is larger than {0} bytes; check the address")]
    TooLarge(usize),
    /// The connection failed.
    #[error(transparent)]
    ConnectionFailed(#[from] hyper::Error),
}

/// Reads a body to its end.
///
/// # Errors
/// [`ReadError`]; the connection cannot be reused after it.
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
        // The only other frames are trailers, which no sender uses here; they are ignored.
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > limits.size {
            return Err(ReadError::TooLarge(limits.size));
        }
    }
    Ok(Bytes::from(read))
}
