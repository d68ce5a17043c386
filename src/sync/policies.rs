//! Writes policies again that a restored store lacks.
//!
//! **Rule.** If the view had later policies than the restored store, the instance writes them again,
//! on the condition that the key has not changed since the revision in the view. The first instance
//! by name writes at once, each further one `DELAY_PER_RANK` (20 ms) later, unless its view has these
//! policies or later ones by then.
//!
//! **Inputs**
//! - The policies in the view before the first list of the later era; exact.
//! - The key and the members; as old as the view.
//!
//! **Why.** After the restore only the instances still have these policies. Running instances keep
//! them in force, but one that starts later would load the earlier ones from the store. Policies that
//! an operator applies through it would be based on those, with a revision that the other instances
//! have already passed.
//!
//! **Guards** the promise that applied policies stay in force after a restore, also at instances that
//! start later.
//!
//! **Test**: `standins/tests/restored_policies.rs`.
//!
//! Owns no state. Relies on [`crate::state::LostPolicies`] to keep the value until this task takes it.

use crate::clock::sleep;
use crate::model::record::Record;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::{Item, Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::document_call;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// Delay of each instance after the previous one by name, so that the first write reaches the views
/// of most other instances before their turn.
const DELAY_PER_RANK: Duration = Duration::from_millis(20);
/// Delay before the next attempt after a conflict, in which the conflicting write can reach the view.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writes policies again that the store has lost, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut backoff = Backoff::default();
    loop {
        let value = instance.lost_policies.next().await;
        sleep(DELAY_PER_RANK * rank(&instance)).await;
        while let Err(error) = write_if_later(&instance, &value).await {
            // `document_call` counts failures, and the health of the store logs outages.
            let wait = if error == StoreError::Conflict { CONFLICT_RETRY_DELAY } else { backoff.next_delay() };
            sleep(wait).await;
        }
        backoff.reset();
    }
}

/// Number of members whose names sort before that of this instance.
fn rank<P: Platform>(instance: &Instance<P>) -> u32 {
    let (routing, settings) = (instance.routing.borrow(), instance.settings());
    routing.members.names().take_while(|name| *name < settings.name.as_str()).count() as u32
}

/// Writes the value unless the view has these policies or later ones.
async fn write_if_later<P: Platform>(instance: &Instance<P>, value: &Bytes) -> Result<(), StoreError> {
    let key = P::policies_key();
    let stored = instance.store_copy.view().item(key).cloned();
    let lost = Item { key: key.to_owned(), value: value.clone(), revision: 0 };
    let revision = policies_revision::<P>(&lost);
    if stored.as_ref().map_or(0, policies_revision::<P>) >= revision {
        return Ok(());
    }
    let expected = stored.map_or(0, |item| item.revision);
    let put = instance.store.put_if(key, value.clone(), expected);
    document_call(instance, "put_if", value.len(), put).await?;
    tracing::warn!(event = "policies_restored", policies = revision, expected);
    Ok(())
}

/// Revision of the policies in an item; 0 if they cannot be decoded.
fn policies_revision<P: Platform>(item: &Item) -> u64 {
    match P::decode(item) {
        Ok(Record::Policies(document)) => document.revision,
        _ => 0,
    }
}
