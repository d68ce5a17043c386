//! `GET /policies` and `POST /policies`: the policies in the store, and an
//! operator's change of them.

use super::api::{ApplyRequest, PoliciesApplied, StoredPolicies};
use super::apply;
use super::refusal::{Refusal, stays};
use super::stored;
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::policy::{Policies, PolicyDocument, PolicySet};
use crate::state::Instance;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::error::Error;

/// Largest body of an apply, bytes: twice the largest document, since a larger one is refused
/// anyway.
const MAX_BODY: usize = 2 * stored::MAX_DOCUMENT;

/// The policy document of the instance's view.
///
/// # Errors
/// 404 where the view has none, 500 where it cannot be decoded.
pub fn show<P: Platform>(instance: &Instance<P>) -> Result<StoredPolicies, Refusal> {
    let view = instance.store_copy.view();
    let in_force = instance.routing.borrow().policies_revision();
    let item = view.item(P::policies_key()).ok_or(match in_force {
        0 => Refusal::NoPolicies,
        in_force => Refusal::PoliciesRemoved { in_force },
    })?;
    let document = PolicyDocument::from_json(&item.value).map_err(|error| Refusal::Document { error, in_force })?;
    let note = (document.revision != in_force).then(|| {
        let state = stays(in_force);
        format!("this instance does not have it in force: {state}; remedy: `lockloft check` it, then apply it again")
    });
    Ok(StoredPolicies { document, note })
}

/// Applies the policies of a request's body.
///
/// # Errors
/// 400 for a body that breaks off or fails the check, 413 for a body that is too
/// large, and those of [`apply::ApplyError`].
pub async fn apply<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<PoliciesApplied, Refusal> {
    let request = read(body).await?;
    let applied = apply::apply(instance, &request).await;
    tracing::info!(
        event = "policies_applied",
        by = request.by,
        id = request.id,
        revision = applied.as_ref().ok(),
        error = applied.as_ref().err().map(ToString::to_string),
    );
    let revision = applied?;
    let policies = Policies::check(revision, &request.sources).map_err(apply::ApplyError::from)?;
    Ok(PoliciesApplied { revision, idle: idle(instance, &policies) })
}

async fn read(body: CallerBody) -> Result<ApplyRequest, Refusal> {
    let body = Limited::new(body, MAX_BODY).collect().await;
    let bytes = body.map_err(body_refusal)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(Refusal::Request)
}

fn body_refusal(error: Box<dyn Error + Send + Sync>) -> Refusal {
    match error.is::<LengthLimitError>() {
        true => Refusal::TooLarge(MAX_BODY),
        false => Refusal::BrokenBody(error),
    }
}

/// Names of the policies whose places select no target of the view.
fn idle<P: Platform>(instance: &Instance<P>, policies: &Policies) -> Vec<String> {
    let routing = instance.routing.borrow();
    let selecting = routing.targets().map(|target| policies.matching_target(&target.attributes()));
    let reached = selecting.fold(PolicySet::default(), PolicySet::union);
    let idle = policies.iter().enumerate().filter(|(position, _)| !reached.contains(*position));
    idle.map(|(_, policy)| policy.name.clone()).collect()
}
