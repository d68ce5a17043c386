//! Connections and HTTP, below the routing decisions. Owns sockets; uses no other module of lockloft
//! but the clock.
//!
//! | module | purpose |
//! |---|---|
//! | [`server`] | incoming connections |
//! | [`client`], [`dial`], [`pool`], [`keep_alive`] | outgoing connections, and how long idle ones are reused |
//! | [`request_body`], [`chunks`], [`buffered_bytes`] | bodies sent to a target, and the memory that bodies take |
//! | [`headers`] | hop-by-hop headers |
//! | [`whole_body`], [`gzip`] | bodies that are read completely, and compressed bodies |

pub mod buffered_bytes;
pub mod chunks;
pub mod client;
pub mod dial;
pub mod gzip;
pub mod headers;
pub mod keep_alive;
pub mod pool;
pub mod request_body;
pub mod server;
pub mod whole_body;
