//! The tenant of a caller, shown by its key; and the key's removal from what is sent on.
//!
//! Where the configuration has tenants, a request of a route that is not public needs one key that
//! a tenant holds. Neither the key nor a tenant's name that the caller sent goes on to a target,
//! whatever the route; the target is told the tenant that was found.
//!
//! Owns the key for as long as the request takes: it is looked up again before each try, so that one
//! that was taken away meanwhile opens nothing. Relies on the index in
//! [`crate::model::config::Tenants`]. No line, error or metric here or elsewhere names a key.

use crate::model::config::{Config, Route, Tenant};
use crate::platform::HeaderNames;
use crate::proxy::refusal::Refusal;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// The tenant of a request, and the key that shows it.
pub struct CallerTenant<'a> {
    /// The tenant, from the configuration with which the request began.
    pub tenant: &'a Tenant,
    api_key: HeaderValue,
}

impl<'a> CallerTenant<'a> {
    /// The tenant of a request with these headers; `None` where none is asked for.
    ///
    /// # Errors
    /// [`Refusal::NoKey`] where there is not exactly one key, or no tenant holds it.
    pub fn find(
        config: &'a Config,
        route: &Route,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Result<Option<Self>, Refusal> {
        if route.is_public || config.tenants.is_empty() {
            return Ok(None);
        }
        let api_key = single(headers, &names.api_key).ok_or(Refusal::NoKey)?;
        let tenant = holder(config, api_key).ok_or(Refusal::NoKey)?;
        Ok(Some(Self { tenant, api_key: api_key.clone() }))
    }

    /// Whether a later configuration still lets the request go on.
    ///
    /// # Errors
    /// [`Refusal::NoKey`] where no tenant holds the key any more, [`Refusal::KeyMoved`] where
    /// another one does.
    pub fn check(&self, later: &Config) -> Result<(), Refusal> {
        if later.tenants.is_empty() {
            return Ok(());
        }
        let holder = holder(later, &self.api_key).ok_or(Refusal::NoKey)?;
        if holder.name == self.tenant.name { Ok(()) } else { Err(Refusal::KeyMoved) }
    }
}

/// The value of a header that is there once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// The tenant that holds a key; one that is not text is held by none.
fn holder<'a>(config: &'a Config, api_key: &HeaderValue) -> Option<&'a Tenant> {
    let key = config.tenants.find_by_api_key(api_key.to_str().ok()?)?;
    Some(config.tenants.get(key))
}

/// Leaves no key in the headers, and of tenants the one that was found.
///
/// # Errors
/// [`Refusal::Malformed`] where its name is no header value, which the platform's decoder refuses.
pub fn write_tenant(headers: &mut HeaderMap, names: &HeaderNames, tenant: Option<&Tenant>) -> Result<(), Refusal> {
    headers.remove(&names.api_key);
    headers.remove(&names.tenant);
    if let Some(tenant) = tenant {
        let name = HeaderValue::from_str(&tenant.name).map_err(|_| Refusal::Malformed)?;
        headers.insert(&names.tenant, name);
    }
    Ok(())
}
