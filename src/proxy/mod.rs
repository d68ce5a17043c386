//! Request path: from a caller's connection to a target and back.
//!
//! A request passes through these steps once; no step calls an earlier one.
//!
//! 1. [`listener`] takes the request from a caller's connection ([`crate::net::server`]) and counts
//!    it as in flight.
//! 2. [`request`] finds the route and the deadline, removes hop-by-hop headers, and writes the
//!    [`access_record`] at the end. [`caller_tenant`] finds the tenant; a request over its tenant's
//!    quota is refused here. [`caller_request`] is the state that all further steps share.
//! 3. [`incoming_body`] buffers a body that is small, so that it can be sent more than once, as long as
//!    the total of buffered bodies has room; it streams any other.
//! 4. [`attempts`] tries the request at targets as long as
//!    [`crate::decision::failure::next_try`] allows: [`target_choice`] chooses a target,
//!    [`outgoing_request`] builds the request for it. [`strikes`] records which requests crash
//!    targets, as [`crash_check`] finds.
//! 5. [`exchange`] sends the request to that target over a connection of its pool
//!    ([`crate::net::pool`]). [`response_check`] decides whether the response may be passed on;
//!    [`try_error`] lists the reasons why a try gives none. [`buffered_response`] reads a small
//!    response completely, so that the request can be tried again if the response breaks off.
//! 6. [`response_body`] carries the response to the caller. A large one is read from its target as
//!    fast as it arrives, within limits, and is a [`held_response`] while the caller reads it. A
//!    [`refusal`] is the response if no target's response can be passed on.
//!
//! | module | owns | relies on |
//! |---|---|---|
//! | [`listener`] | count of requests in flight, connection limits | configuration |
//! | [`request`] | deadline, outcome metrics, access log | configuration, `attempts` |
//! | [`incoming_body`] | count of buffered bytes | `limits.memory_mb` |
//! | [`attempts`] | tries of one request, its use of the retry budget | `decision::failure::next_try` |
//! | [`target_choice`] | cap charge of one request | routing, policies, `decision::selection::choice` |
//! | [`exchange`] | in-flight count at the target, connection | pool, the target's record |
//! | [`held_response`] | in-flight count and connection of a large response until it is read from its target; the held bytes | pool, `decision::refusal::held_responses` |
//!
//! While this instance reaches no target, [`attempts`] has another one send the request: [`forward`] chooses
//! it, [`peer_exchange`] sends the request there, and [`forwarded`] takes it; [`origin`] says where a request
//! comes from.
//!
//! Beside the requests, [`link_probes`] finds out whether this instance reaches any target, with
//! [`health_check`]s.
//!
//! All of this runs on the instance's single thread. If a caller closes its connection, all state
//! of its request is dropped: the connection to the target closes, and its counts are released.

pub mod access_record;
pub mod attempts;
pub mod buffered_response;
pub mod caller_request;
pub mod caller_tenant;
pub mod crash_check;
pub mod delivery;
pub mod exchange;
pub mod forward;
pub mod forwarded;
pub mod health_check;
pub mod held_response;
pub mod incoming_body;
pub mod link_probes;
pub mod listener;
pub mod origin;
pub mod outgoing_request;
pub mod peer_exchange;
pub mod refusal;
pub mod request;
pub mod response_body;
pub mod response_check;
pub mod strikes;
pub mod target_choice;
pub mod try_error;
