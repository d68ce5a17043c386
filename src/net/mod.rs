//! Connections and HTTP below the rules: dialling, pools, the listener, and
//! headers of one connection. Owns sockets; relies on nothing else of lockloft.

pub mod dial;
pub mod headers;
pub mod pool;
pub mod request_body;
pub mod server;
