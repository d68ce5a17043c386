//! Simulation of a site: the view, its age, the routing and the tasks of several instances are
//! the real code; the network, the store and time are simulated.
//!
//! | file | responsibility |
//! |---|---|
//! | `server`, `client` | the store, and the link of an instance to it |
//! | `peer` | requests between instances |
//! | `process`, `freeze` | an instance from start to end; a frozen process |
//! | `platform` | keys and values |
//! | `step` | the steps, and how often each is drawn |
//! | `simulation` | the effect of each step, and the invariants checked after each |

mod client;
mod freeze;
mod peer;
mod platform;
mod process;
mod server;
pub mod simulation;
pub mod step;
