//! `GET /status`: what an instance holds, and how current that is.

use super::api::InstanceStatus;
use super::instances::own_weight;
use crate::platform::Platform;
use crate::state::Instance;
use crate::task;

/// The instance's present state.
pub fn status<P: Platform>(instance: &Instance<P>) -> InstanceStatus {
    let settings = instance.settings();
    let weight = own_weight(instance);
    let routing = instance.routing.borrow();
    InstanceStatus {
        instance: settings.name.clone(),
        hall: settings.hall.to_string(),
        region: settings.region.to_string(),
        config: routing.config.as_ref().map(|config| config.version),
        policies: routing.policies.as_ref().map(|policies| policies.revision),
        view_revision: instance.store_copy.view().position().revision,
        store_era: Some(instance.store_copy.view().position().era.number).filter(|number| *number > 0),
        view_age_ms: instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        stale: instance.stale_reason().map(|reason| reason.as_str().to_owned()),
        ended_tasks: task::ended().into_iter().map(str::to_owned).collect(),
        store_lost: instance.store_copy.is_store_lost(),
        reach: instance.links.reach().impaired().map(str::to_owned),
        stopping: instance.lifecycle.is_stopping(),
        members: routing.members.count(),
        targets: routing.targets().count(),
        active: instance.active_requests(),
        evacuated: routing.evacuated().map(str::to_owned).collect(),
        weight,
        request_bytes: weight.map(|_| instance.request_size.bytes() as u64),
    }
}
