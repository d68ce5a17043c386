//! Connections and HTTP below the rules: dialling, pools, the listener, and
//! headers of one connection. Owns sockets; relies on nothing else of lockloft.

pub mod chunks;
pub mod dial;
pub mod headers;
pub mod keep_alive;
pub mod pool;
pub mod request_body;
pub mod server;
