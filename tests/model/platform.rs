//! The platform of the simulation: keys and values are short texts.

use super::client::Client;
use bytes::Bytes;
use hyper::header::HeaderName;
use lockloft::model::config::{CallerLimits, Config};
use lockloft::model::member::Member;
use lockloft::model::record::{Record, RecordError, RemovedRecord};
use lockloft::model::registration::{TargetRegistration, TargetState};
use lockloft::platform::{CallerPlace, HeaderNames, Platform};
use lockloft::store::Item;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Key of the configuration; its value is the version and padding.
pub const CONFIG: &str = "config";
/// Key of the evacuation of the only hall.
pub const EVACUATION: &str = "evacuated/a-1";

/// The platform of the simulation.
pub struct TextPlatform;

/// The value of a target's registration.
pub fn target_value(service: u8, port: u16, sequence: u64) -> String {
    format!("s{service} {port} {sequence}")
}

fn target(item: &Item, text: &str) -> Result<Record, RecordError> {
    let [service, port, sequence] = text.split(' ').collect::<Vec<_>>()[..] else {
        return Err(RecordError::new(&item.key, "not three words"));
    };
    let port: u16 = port.parse().map_err(|error| RecordError::new(&item.key, error))?;
    Ok(Record::Target(TargetRegistration {
        id: item.key.as_str().into(),
        start: None,
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: "a-1".into(),
        version: "1".into(),
        slots: 4,
        state: TargetState::Ready,
        sequence: sequence.parse().map_err(|error| RecordError::new(&item.key, error))?,
        slow_start_remaining: Duration::ZERO,
    }))
}

/// A member in a separate hall: the simulation has its own relay tree, so the real code must
/// not find a relay and open a connection.
fn member(item: &Item, name: &str) -> Result<Record, RecordError> {
    let mut member: Member = serde_json::from_slice(&item.value).map_err(|error| RecordError::new(&item.key, error))?;
    member.hall = format!("of {name}");
    Ok(Record::Member { name: name.to_owned(), member })
}

impl Platform for TextPlatform {
    type Store = Client;

    fn headers() -> HeaderNames {
        let name = HeaderName::from_static;
        HeaderNames {
            request_id: name("id"),
            deadline_ms: name("deadline"),
            affinity_key: name("key"),
            signature: name("signature"),
            expected_target: name("target"),
            target_id: name("target-id"),
            load: name("load"),
            rate_limit: name("not-run"),
            leaving: name("leaving"),
            not_executed: name("not-run"),
            api_key: name("api-key"),
            tenant: name("tenant"),
        }
    }

    fn ready_path() -> &'static str {
        "/ready"
    }

    fn own_prefix() -> &'static str {
        "e/"
    }

    fn strikes_prefix() -> &'static str {
        "strikes/"
    }

    fn policies_key() -> &'static str {
        "policies"
    }

    fn decode(item: &Item) -> Result<Record, RecordError> {
        let text = String::from_utf8_lossy(&item.value).into_owned();
        if item.key == CONFIG {
            let version = text.split(' ').next().unwrap_or_default();
            let version = version.parse().map_err(|error| RecordError::new(CONFIG, error))?;
            return Ok(Record::Config(Config::new(version, Vec::new(), HashMap::new(), CallerLimits::default())));
        }
        match item.key.split_once('/') {
            Some(("e", name)) => member(item, name),
            Some(("evacuated", hall)) => Ok(Record::Evacuation(hall.into())),
            Some(("t", _)) => target(item, &text),
            _ => Ok(Record::Unknown),
        }
    }

    fn decode_removal(key: &str) -> RemovedRecord {
        match key.split_once('/') {
            Some(("e", name)) => RemovedRecord::Member(name.to_owned()),
            Some(("evacuated", hall)) => RemovedRecord::Evacuation(hall.to_owned()),
            Some(("t", _)) => RemovedRecord::Target(key.to_owned()),
            _ => RemovedRecord::Unknown,
        }
    }

    fn directory_question(_: &str, _: &str) -> Option<CallerPlace> {
        None
    }

    fn directory_answer(_: &[SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }
}
