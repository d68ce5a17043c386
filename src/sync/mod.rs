//! How an instance keeps its copy of the store current: a watch, the relay tree
//! of its hall, peers while the store is lost, and its own registration.

pub mod backoff;
pub mod call;
pub mod membership;
pub mod peers;
pub mod relay;
pub mod watch;
