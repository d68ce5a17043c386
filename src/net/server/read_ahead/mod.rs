//! Requests that callers send before those ahead of them on their connection are answered.
//!
//! **Load.** Some callers send further idempotent requests before the first is answered. Begun one
//! after the other, each waits for all ahead of it; here they run side by side, and hyper sends the
//! answers in the order of the requests.
//!
//! | module | its job |
//! |---|---|
//! | [`framing`] | whom bytes are for, where a head ends |
//! | [`head`] | heads that were read ahead |
//! | [`buffer`] | bytes that were read ahead, and when |
//! | [`queue`] | which requests begin, and what of them is under way |
//! | [`early_request`] | one that was begun |
//! | [`stream`] | the stream between the socket and hyper |

pub mod buffer;
pub mod early_request;
pub mod framing;
pub mod head;
pub mod queue;
pub mod stream;
