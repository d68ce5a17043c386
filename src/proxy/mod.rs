//! The way of a request: from the caller's connection to a target and back.

pub mod access_record;
pub mod answer_body;
pub mod answer_check;
pub mod attempts;
pub mod buffered_answer;
pub mod caller_request;
pub mod exchange;
pub mod incoming_body;
pub mod listener;
pub mod outgoing_request;
pub mod refusal;
pub mod request;
pub mod target_choice;
pub mod try_error;
