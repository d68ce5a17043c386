//! Where a request comes from: a caller, or an instance that a caller sent it to.

use crate::model::forwarded::ForwardedHead;
use crate::platform::Platform;
use crate::state::Instance;
use std::rc::Rc;

/// Where a request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which cannot reach the targets.
    Instance(Entry),
}

/// The instance that a caller sent a request to, if that is another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: Rc<str>,
    /// Its region.
    pub region: Rc<str>,
    /// Tries there that have reached a target.
    pub sends: u32,
    /// Whether it may reach targets itself.
    pub is_uncertain: bool,
}

impl Entry {
    /// The instance that has forwarded a request with this head. One that is not registered counts as a
    /// neighbour of this instance.
    pub fn new<P: Platform>(instance: &Instance<P>, head: &ForwardedHead) -> Self {
        let (settings, routing) = (instance.settings(), instance.routing.borrow());
        let member = routing.members.get(&head.by);
        let hall = member.map_or_else(|| settings.hall.clone(), |member| member.hall.as_str().into());
        let region = member.map_or_else(|| settings.region.clone(), |member| member.region.as_str().into());
        Self { name: head.by.clone(), hall, region, sends: head.sends, is_uncertain: head.uncertain }
    }
}

impl Origin {
    /// The instance that the caller sent the request to; `None` if that is this one.
    pub fn entry(&self) -> Option<&Entry> {
        match self {
            Origin::Caller => None,
            Origin::Instance(entry) => Some(entry),
        }
    }
}
