//! Stand-ins for the systems around lockloft: the platform, targets, callers
//! and the wires between instances; a demonstration; and the measures.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod halls_demo;
pub mod http;
pub mod key_value;
pub mod load;
pub mod measure;
pub mod options;
pub mod plan;
pub mod ports;
pub mod proxy;
pub mod site;
pub mod soak;
pub mod store;
pub mod target;
pub mod upstream;
pub mod wire;
