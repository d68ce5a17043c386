//! HTTP pipelining: requests that a caller sends without waiting for the responses to its earlier
//! requests on the same connection.
//!
//! **Reason.** Some callers send further idempotent requests before the first has its response. Processed
//! one after the other, each would wait for all ahead of it. Here they run concurrently, and hyper sends
//! the responses in the order of the requests.
//!
//! | module | purpose |
//! |---|---|
//! | [`framing`] | how the next bytes are handled, where a head ends |
//! | [`head`] | parses heads that were read ahead |
//! | [`buffer`] | bytes that were read ahead, and when each was read |
//! | [`queue`] | which requests begin early, and their tasks |
//! | [`early_request`] | one request that began early |
//! | [`stream`] | the stream between the socket and hyper |

pub mod buffer;
pub mod early_request;
pub mod framing;
pub mod head;
pub mod queue;
pub mod stream;
