//! Stand-ins for the systems around lockloft: the store, targets, callers and
//! slow or broken networks; a demonstration; and the fault soak.

pub mod cli;
pub mod demo;
pub mod http;
pub mod ports;
pub mod proxy;
pub mod scene;
pub mod site;
pub mod soak;
pub mod store;
pub mod target_server;
pub mod wait;
