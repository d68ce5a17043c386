//! The lines of an instance's log that concern one request, as they are read
//! back to explain it. `docs/OPERATIONS.md` describes each field.

use serde::{Deserialize, Serialize};

/// The end of a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RequestLine {
    /// When the line was written.
    pub timestamp: String,
    /// The request's identity.
    pub id: String,
    /// The route, where one was found.
    pub route: Option<String>,
    /// The service chosen.
    pub service: Option<String>,
    /// The target it was last sent to; the first of its object where none had
    /// room.
    pub target: Option<String>,
    /// That target's hall.
    pub hall: Option<String>,
    /// Requests that were probably there already, in its slots and queue.
    pub load: f64,
    /// Targets that it reached.
    pub sends: u32,
    /// Version of the configuration that decided.
    pub config: u64,
    /// Names of the operators' policies that had a part in the choice, joined
    /// by commas; absent where none had.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policies: Option<String>,
    /// Age of what was known of the store, milliseconds.
    pub view_age_ms: Option<u64>,
    /// `answered`, or why there was no target's answer.
    pub outcome: String,
    /// Status of the answer.
    pub status: u16,
    /// Time from the request's head to the answer, milliseconds.
    pub took_ms: u64,
}

/// A try that gave no answer to pass on.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TryLine {
    /// When the line was written.
    pub timestamp: String,
    /// The request's identity.
    pub id: String,
    /// The target.
    pub target: String,
    /// The target's hall.
    pub hall: String,
    /// What came of it: `unreachable`, `not-executed`, `lost` or `silent`.
    pub fault: String,
    /// Time since the request's head, milliseconds.
    pub after_ms: u64,
}

/// A line that concerns a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line {
    /// A failed try.
    TryFailed(TryLine),
    /// The end.
    Request(RequestLine),
}

impl Line {
    /// Reads a line of a log; `None` for lines of other kinds.
    pub fn read(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The request's identity.
    pub fn id(&self) -> &str {
        match self {
            Line::TryFailed(line) => &line.id,
            Line::Request(line) => &line.id,
        }
    }

    /// When it was written.
    pub fn timestamp(&self) -> &str {
        match self {
            Line::TryFailed(line) => &line.timestamp,
            Line::Request(line) => &line.timestamp,
        }
    }
}
