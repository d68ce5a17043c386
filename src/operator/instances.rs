//! `GET /instances`: all instances that are registered in the store.

use super::api::InstanceLine;
use crate::model::member::Member;
use crate::platform::Platform;
use crate::state::Instance;

/// A line for each instance of the view, by name.
pub fn instances<P: Platform>(instance: &Instance<P>) -> Vec<InstanceLine> {
    instance.routing.borrow().members.iter().map(|(name, member)| line(name, member)).collect()
}

fn line(name: &str, member: &Member) -> InstanceLine {
    InstanceLine {
        name: name.to_owned(),
        hall: member.hall.clone(),
        region: member.region.clone(),
        callers: member.callers,
        peers: member.peer,
    }
}
