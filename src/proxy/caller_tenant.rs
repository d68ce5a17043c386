//! Authenticates callers: finds the tenant that holds the API key of a request, and removes the
//! key before the request is forwarded.
//!
//! If the configuration has tenants, a request on a route that is not public needs exactly one key
//! that a tenant holds. Neither the key nor a tenant name sent by the caller reaches a target, on
//! any route; the target receives the name of the tenant that was found.
//!
//! Owns the key while the request is processed: it is looked up again before each try, so that a
//! key that was revoked in the meantime admits nothing. Relies on the look-up in
//! [`crate::model::config::Tenants`]. No log line, error or metric contains a key, here or
//! elsewhere.

use crate::model::config::{Config, Route, Tenant};
use crate::platform::HeaderNames;
use crate::proxy::refusal::Refusal;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// The tenant of a request, and the API key that identified it.
pub struct CallerTenant<'a> {
    /// The tenant, from the configuration in force when the request began.
    pub tenant: &'a Tenant,
    api_key: HeaderValue,
}

impl<'a> CallerTenant<'a> {
    /// Finds the tenant of a request with these headers; `None` if the route is public or there
    /// are no tenants.
    ///
    /// # Errors
    /// [`Refusal::NoKey`] if there is not exactly one key, or no tenant holds it.
    pub fn find(
        config: &'a Config,
        route: &Route,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Result<Option<Self>, Refusal> {
        if route.is_public || config.tenants.is_empty() {
            return Ok(None);
        }
        let api_key = single_value(headers, &names.api_key).ok_or(Refusal::NoKey)?;
        let tenant = tenant_by_api_key(config, api_key).ok_or(Refusal::NoKey)?;
        Ok(Some(Self { tenant, api_key: api_key.clone() }))
    }

    /// The key that the caller sent.
    pub fn api_key(&self) -> &HeaderValue {
        &self.api_key
    }

    /// Checks that the key still belongs to the same tenant in a later configuration, or that the
    /// later configuration has no tenants.
    ///
    /// # Errors
    /// [`Refusal::NoKey`] if no tenant holds the key any more, [`Refusal::KeyMoved`] if another
    /// one does.
    pub fn check(&self, later: &Config) -> Result<(), Refusal> {
        if later.tenants.is_empty() {
            return Ok(());
        }
        let tenant = tenant_by_api_key(later, &self.api_key).ok_or(Refusal::NoKey)?;
        if tenant.name == self.tenant.name { Ok(()) } else { Err(Refusal::KeyMoved) }
    }
}

/// The value of a header; `None` if it is absent or repeated.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// The tenant that holds a key; `None` if there is none or the key is not text.
fn tenant_by_api_key<'a>(config: &'a Config, api_key: &HeaderValue) -> Option<&'a Tenant> {
    let index = config.tenants.find_by_api_key(api_key.to_str().ok()?)?;
    Some(config.tenants.get(index))
}

/// Removes the API key and any tenant name that the caller sent, and sets the name of `tenant`.
///
/// # Errors
/// [`Refusal::Malformed`] if the name is not a valid header value; the platform's decoder refuses
/// such names.
pub fn write_tenant(headers: &mut HeaderMap, names: &HeaderNames, tenant: Option<&Tenant>) -> Result<(), Refusal> {
    headers.remove(&names.api_key);
    headers.remove(&names.tenant);
    if let Some(tenant) = tenant {
        let name = HeaderValue::from_str(&tenant.name).map_err(|_| Refusal::Malformed)?;
        headers.insert(&names.tenant, name);
    }
    Ok(())
}
