//! The registration of an instance: its record in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Registration of an instance. Instances write and read this record as JSON with these field names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address to which callers send their requests.
    pub callers: SocketAddr,
    /// Address at which other instances and operators reach it.
    pub peer: SocketAddr,
    /// Name of its hall.
    pub hall: String,
    /// Name of its region.
    pub region: String,
    /// Whether it cannot serve callers by itself, because it reaches no target or can open no connection to
    /// one. Absent while it can, and in records of older versions.
    #[serde(default, skip_serializing_if = "is_false")]
    pub isolated: bool,
    /// Capacity of its machine; empty in records of older versions.
    #[serde(flatten)]
    pub capacity: Capacity,
}

/// Capacity of an instance's machine, from its settings. A value of zero means unknown too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// CPU capacity, thousandths of a core; `None` if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub core_milli: Option<u32>,
    /// Network capacity in each direction, kbit/s; `None` if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_kbit: Option<u32>,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Member {
    /// Encodes the record as JSON for the store.
    pub fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a member is plain values"))
    }
}
