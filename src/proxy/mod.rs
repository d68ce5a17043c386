//! The way of a request: from a caller's connection to a target and back.
//!
//! A request goes down these steps once; no step calls one above it.
//!
//! 1. [`listener`] takes it from a caller's connection ([`crate::net::server`]) and
//!    counts it as in flight.
//! 2. [`request`] understands it: finds the route and the deadline, removes headers of
//!    the caller's connection, and writes its [`access_record`] at the end. What all
//!    further steps need of it is a [`caller_request`]. Whose it is says [`caller_tenant`]; a
//!    request beyond its tenant's quota ends here.
//! 3. [`incoming_body`] buffers its body where that costs little, so that it can be sent
//!    more than once; a large one is streamed.
//! 4. [`attempts`] tries it at targets, for as long as the rule in
//!    [`crate::decision::failure::next_try`] says so: [`target_choice`] asks the rules for a
//!    target, [`outgoing_request`] builds the request for it. What the tries show of requests that
//!    end targets goes to [`strikes`].
//! 5. [`exchange`] sends it to that target over a connection of its pool
//!    ([`crate::net::pool`]). [`response_check`] says whether the answer may be passed on,
//!    [`try_error`] why there is none; [`buffered_response`] reads a small answer whole, so
//!    that one that breaks off can be replaced.
//! 6. [`response_body`] carries the answer to the caller; a large one is taken off its target at once, and
//!    is a [`held_answer`] while the caller reads it. A [`refusal`] is the answer where
//!    no target's can be passed on.
//!
//! | module | owns | relies on |
//! |---|---|---|
//! | [`listener`] | count of requests in flight, connection limits | configuration |
//! | [`request`] | deadline, outcome metrics, access log | configuration, `attempts` |
//! | [`incoming_body`] | count of buffered bytes | `limits.memory_mb` |
//! | [`attempts`] | tries of one request, its part of the retry budget | `decision::failure::next_try` |
//! | [`target_choice`] | cap charge of one request | routing, policies, `decision::selection::choice` |
//! | [`exchange`] | place at the target, connection | pool, the target's record |
//! | [`held_answer`] | both, until a large answer is off the target; the bytes that are held | pool, `decision::refusal::held_answers` |
//!
//! Everything here runs on the instance's one thread. A caller that closes its
//! connection drops the whole way of its request: the connection to the target closes,
//! and the places it held are free.

pub mod access_record;
pub mod attempts;
pub mod buffered_response;
pub mod caller_request;
pub mod caller_tenant;
pub mod exchange;
pub mod held_answer;
pub mod incoming_body;
pub mod listener;
pub mod outgoing_request;
pub mod refusal;
pub mod request;
pub mod response_body;
pub mod response_check;
pub mod strikes;
pub mod target_choice;
pub mod try_error;
