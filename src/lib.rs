//! lockloft: a global traffic steering system.
//!
//! | modules | their job |
//! |---|---|
//! | [`declaration`], [`region`], [`hall`], [`link`], [`service`], [`target`], [`caller`], [`policy`], [`label`], [`selector`], [`key`] | the operators' world, checked and put into arenas |
//! | [`view`], [`decision`], [`load`], [`traffic`] | the compiled world, the choice of hall and target, accounts |
//! | [`lookup`], [`job`], [`forward`], [`exchange`], [`story`], [`keyed`], [`runs`], [`admit`], [`queue`], [`pool`], [`body`], [`pace`], [`relay`], [`report`], [`failure`] | a request's way from its caller to its target and back |
//! | [`quota`], [`membership`], [`contract`], [`sibling`], [`roster`], [`peer`] | what the instances of a hall share and tell each other |
//! | [`key_value`], [`config`], [`shift`], [`listed`], [`probe`], [`tick`], [`clock`] | what lasts in the platform, and what is done regularly |
//! | [`entry`] | an entry instance on a platform that brings the store |
//! | [`front`], [`api`], [`command`], [`daemon`], [`instance`], [`settings`], [`log`], [`metrics`] | the two programs |
pub mod admit;
pub mod api;
pub mod body;
pub mod caller;
pub mod clock;
pub mod command;
pub mod config;
pub mod contract;
pub mod decision;
pub mod declaration;
pub mod dial;
pub mod entry;
pub mod exchange;
pub mod failure;
pub mod forward;
pub mod hall;
pub mod instance;
pub mod job;
pub mod key;
pub mod key_value;
pub mod keyed;
pub mod label;
pub mod link;
pub mod listed;
pub mod load;
pub mod lookup;
pub mod membership;
pub mod metrics;
pub mod pace;
pub mod peer;
pub mod policy;
pub mod pool;
pub mod probe;
pub mod queue;
pub mod quota;
pub mod region;
pub mod relay;
pub mod report;
pub mod roster;
pub mod runs;
pub mod selector;
pub mod service;
pub mod settings;
pub mod shift;
pub mod sibling;
pub mod story;
pub mod target;
pub mod tick;
pub mod traffic;
pub mod view;

pub(crate) use peer::peer_capnp;
