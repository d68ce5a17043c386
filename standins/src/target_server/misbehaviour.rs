//! The ways in which a target server misbehaves on purpose.

use super::endless::Endless;
use std::time::Duration;

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Not at all.
    #[default]
    None,
    /// It runs the request and closes the connection.
    LoseAnswer,
    /// It runs the request and says nothing more.
    NoAnswer,
    /// It sends a second answer behind the first.
    SurplusAnswer,
    /// It sends a second answer a while behind the first.
    LateSurplusAnswer,
    /// Its answer has no length and ends with the connection.
    Unframed,
    /// As `Unframed`, but the connection is reset midway.
    UnframedReset,
    /// It answers before the request's body is through, and reads on.
    AnswerEarly,
    /// It breaks off in the middle of the answer.
    Truncate,
    /// Its answer has no signature.
    Unsigned,
    /// Its answer bears another request's identity.
    WrongId,
    /// It sends bytes that are no answer.
    Garbage,
    /// It fails with a 500 of its own.
    ServerError,
    /// It is full: it answers 503 and does not run the request.
    Full,
    /// It turns requests away as if it were full, beside free slots.
    Shed,
    /// It works on and answers though its connection was closed meanwhile.
    IgnoreClose,
    /// It ends once it begins to run a request whose line contains this text: its address
    /// refuses connections from then on, and those that are open are closed.
    EndOn(&'static str),
    /// Its process ends as with `EndOn`, but a supervisor holds the listening socket, and starts the next
    /// process, which has another id, after this time. Connections that are opened meanwhile wait for it.
    RestartOn(&'static str, Duration),
    /// As `RestartOn`, but the next process has the same id.
    RestartSameOn(&'static str, Duration),
    /// It sends these bytes, `{id}` in them being the request's identity, and
    /// closes the connection.
    Raw(&'static str),
    /// As `Raw`, but it resets the connection.
    RawReset(&'static str),
    /// As `RawReset`, but before it has read the request's body.
    EarlyRawReset(&'static str),
    /// It sends bytes without end.
    Endless(Endless),
}

impl Misbehaviour {
    /// Whether the answer to a request that has run is lost, or ends before it is whole.
    pub fn breaks_off(self) -> bool {
        use Misbehaviour::{
            EarlyRawReset, Endless, Garbage, LoseAnswer, NoAnswer, Raw, RawReset, Truncate, UnframedReset,
        };
        matches!(
            self,
            LoseAnswer
                | NoAnswer
                | UnframedReset
                | Truncate
                | Garbage
                | Raw(_)
                | RawReset(_)
                | EarlyRawReset(_)
                | Endless(_)
        )
    }

    /// Whether the target's process ends once it begins to run the request with this line.
    pub fn ends_on(self, line: &str) -> bool {
        matches!(
            self,
            Self::EndOn(text) | Self::RestartOn(text, _) | Self::RestartSameOn(text, _) if line.contains(text)
        )
    }
}
