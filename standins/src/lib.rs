//! Stand-ins for the systems around lockloft: the store, targets, callers and
//! slow or broken networks; a demonstration; and the fault soak.
//!
//! Instances run as processes of their own, by the program `standins entry
//! SETTINGS` (`standins panicking-entry SETTINGS` where a test needs panics), so that they can be killed, frozen and started again. Everything
//! listens on loopback, at an IP of the process that starts it.

pub mod change_scene;
pub mod cli;
pub mod demo;
pub mod entries;
pub mod fleet;
pub mod http;
pub mod link;
pub mod panicking;
pub mod partition;
pub mod ports;
pub mod proxy;
pub mod scene;
pub mod site;
pub mod slow_caller;
pub mod soak;
pub mod store;
pub mod target_server;
pub mod wait;
