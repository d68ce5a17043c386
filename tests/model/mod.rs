//! A model of a site: the real view, ages, routing and tasks of some instances; the
//! network, the store and time are the model's.
//!
//! | file | its job |
//! |---|---|
//! | `server`, `client` | the store, and the way of an instance to it |
//! | `peer` | questions between instances |
//! | `life`, `freeze` | an instance from start to end; a process that stands still |
//! | `platform` | keys and values |
//! | `step` | the steps, and how often each is drawn |
//! | `world` | what each step does, and what has to hold after each |

mod client;
mod freeze;
mod life;
mod peer;
mod platform;
mod server;
pub mod step;
pub mod world;
