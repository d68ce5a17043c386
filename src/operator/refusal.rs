//! Why an operator's question is refused, with the status and the message of
//! the answer.

use crate::operator::api::Refused;
use hyper::StatusCode;

/// A refused question.
#[derive(Debug)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    message: String,
}

impl Refusal {
    /// A refusal with this status, and an error as its message.
    pub fn new(status: StatusCode, message: impl ToString) -> Self {
        Self { status, message: message.to_string() }
    }

    /// The answer's body.
    pub fn body(self) -> Vec<u8> {
        serde_json::to_vec(&Refused { message: self.message }).expect("a message is a plain string")
    }
}
