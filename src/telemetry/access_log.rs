//! The lines of an instance's log that concern one request, as `lockloft explain` reads
//! them back. `docs/OPERATIONS.md` describes each field.
//!
//! Owns the names of the fields that are read back; the proxy writes the lines. Relies on
//! nothing.

use serde::{Deserialize, Serialize};

/// The end of a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RequestLine {
    /// When the line was written.
    pub timestamp: String,
    /// The request's id.
    pub id: String,
    /// Whether it was begun before those ahead of it on its connection were answered; absent where
    /// it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub early: Option<bool>,
    /// How long it waited for its turn on its connection, milliseconds; absent where it did not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
    /// The route, where one was found.
    pub route: Option<String>,
    /// The service chosen.
    pub service: Option<String>,
    /// The target of the last try; the first choice for its affinity key where none had room.
    pub target: Option<String>,
    /// That target's hall.
    pub hall: Option<String>,
    /// Estimated requests at that target before this one, in its slots and its queue.
    pub load: f64,
    /// Hash of its affinity key in hexadecimal; absent where no target was looked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Fingerprint of what it asks for, alike for all attempts that ask the same; absent where
    /// its body was not read, and in lines of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Time of the last try, with the way to the target and back, milliseconds; absent where
    /// none was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub try_ms: Option<u64>,
    /// Tries that reached a target.
    pub sends: u32,
    /// Version of the configuration that decided.
    pub config: u64,
    /// Names of the operators' policies that affected the choice, joined by commas; absent
    /// where none did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policies: Option<String>,
    /// Address for peers of the instance that it was last forwarded to; absent where it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarded_to: Option<String>,
    /// Name of the instance that forwarded it here; absent where a caller sent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarded_by: Option<String>,
    /// Age of the view of the store, milliseconds; absent where it never was current.
    pub view_age_ms: Option<u64>,
    /// What that age was proved by: `list`, `watch`, `read`, `relay` or `peer`; absent in
    /// lines of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view_proof: Option<String>,
    /// `answered`, or the reason of the refusal.
    pub outcome: String,
    /// Status of the answer.
    pub status: u16,
    /// Time from the request's head to the answer, milliseconds.
    pub took_ms: u64,
}

/// A failed try: it gave no answer to pass on.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TryLine {
    /// When the line was written.
    pub timestamp: String,
    /// The request's id.
    pub id: String,
    /// Fingerprint of what the request asks for; absent in lines of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// The target.
    pub target: String,
    /// The target's hall.
    pub hall: String,
    /// The failure: `unreachable`, `not-executed`, `lost` or `silent`.
    pub fault: String,
    /// Time since the request's head, milliseconds.
    pub after_ms: u64,
}

/// A line about a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line {
    /// A failed try.
    TryFailed(TryLine),
    /// The end of a request.
    Request(Box<RequestLine>),
}

impl Line {
    /// Reads a line of a log; `None` for lines of other kinds.
    pub fn read(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The request's id.
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
