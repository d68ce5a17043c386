//! An instance of a fleet: what it admitted itself, what it adds up as a head, and its calls.

use lockloft::decision::quota::own_use::OwnUse;
use lockloft::decision::quota::part::Part;
use lockloft::decision::quota::totals::Totals;
use lockloft::model::member::{Capacity, Member};
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

pub(super) struct Instance {
    pub(super) name: String,
    pub(super) hall: String,
    pub(super) peer: SocketAddr,
    pub(super) own: OwnUse,
    pub(super) totals: Totals,
    pub(super) parts: HashMap<Rc<str>, Part>,
    pub(super) next_report: u64,
    pub(super) reported: Option<u64>,
    pub(super) is_reporting: bool,
    pub(super) next_forward: u64,
    pub(super) forwarding: Vec<String>,
    pub(super) failed: HashMap<SocketAddr, u64>,
    pub(super) failures: HashMap<SocketAddr, u32>,
    pub(super) is_up: bool,
}

impl Instance {
    /// An instance that knows nothing, by its number.
    pub(super) fn new(number: usize, halls: usize, random: &mut StdRng) -> Self {
        Self {
            name: format!("e-{number}"),
            hall: format!("h-{}", number % halls),
            peer: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            own: OwnUse::default(),
            totals: Totals::default(),
            parts: HashMap::new(),
            next_report: random.random_range(0..200),
            reported: None,
            is_reporting: false,
            next_forward: random.random_range(0..300),
            forwarding: Vec::new(),
            failed: HashMap::new(),
            failures: HashMap::new(),
            is_up: true,
        }
    }

    /// What the others know of it.
    pub(super) fn member(&self) -> Member {
        Member {
            callers: self.peer,
            peer: self.peer,
            hall: self.hall.clone(),
            region: "r".to_owned(),
            capacity: Capacity::default(),
        }
    }
}
