//! Tenants: who may send requests, how many, and in which regions these may be executed.
//!
//! Owns the look-up of tenants by API key. A key is a secret: it is looked up and compared here, and never
//! logged or displayed.

use super::route::is_allowed;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt::{Debug, Formatter};
use std::rc::Rc;
use thiserror::Error;

/// Index of a tenant in its [`Config`](super::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantIndex(usize);

/// Secret that identifies a caller's tenant. `Debug` does not reveal it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Rc<str>);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl Debug for ApiKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(hidden)")
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Limit on the admitted requests of a tenant, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; finite and above 0.
    pub rate: f64,
    /// Additional requests in a burst; finite and 0 or more.
    pub burst: f64,
}

/// Callers that share a set of API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique in the configuration; sent to targets with the tenant's requests, except on public
    /// routes.
    pub name: Rc<str>,
    /// Its API keys; empty if all were revoked.
    pub api_keys: Vec<ApiKey>,
    /// Priority; 0 is the most urgent. Takes precedence over the route's priority.
    pub priority: u32,
    /// Limit on its requests; `None` for no limit.
    pub quota: Option<Quota>,
    /// Regions whose targets may be used; empty for all.
    pub allowed_regions: Vec<Rc<str>>,
}

impl Tenant {
    /// Whether targets of `region` may be used.
    pub fn allows(&self, region: &str) -> bool {
        is_allowed(&self.allowed_regions, region)
    }
}

/// Error of a list of tenants. Contains no API key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("two tenants have the name {0}; give each a unique name")]
    DuplicateName(Rc<str>),
    /// Two tenants have the same API key.
    #[error("the tenants {0} and {1} have the same key; assign each key to only one tenant")]
    DuplicateKey(Rc<str>, Rc<str>),
    /// A tenant has an empty API key.
    #[error("the tenant {0} has an empty key; remove it")]
    EmptyKey(Rc<str>),
}

/// The tenants of a configuration, with look-ups by name and by API key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    all: Vec<Tenant>,
    by_name: HashMap<Rc<str>, TenantIndex>,
    /// The hash function has a random seed in each process, so that the duration of a look-up reveals
    /// nothing about the keys.
    by_api_key: HashMap<ApiKey, TenantIndex>,
}

impl TryFrom<Vec<Tenant>> for Tenants {
    type Error = TenantError;

    fn try_from(all: Vec<Tenant>) -> Result<Self, TenantError> {
        let mut by_name = HashMap::new();
        let mut by_api_key: HashMap<ApiKey, TenantIndex> = HashMap::new();
        for (index, tenant) in all.iter().enumerate() {
            if by_name.insert(tenant.name.clone(), TenantIndex(index)).is_some() {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for api_key in &tenant.api_keys {
                if api_key.0.is_empty() {
                    return Err(TenantError::EmptyKey(tenant.name.clone()));
                }
                let previous = by_api_key.insert(api_key.clone(), TenantIndex(index));
                if let Some(other) = previous.filter(|other| other.0 != index) {
                    return Err(TenantError::DuplicateKey(all[other.0].name.clone(), tenant.name.clone()));
                }
            }
        }
        Ok(Self { all, by_name, by_api_key })
    }
}

impl Tenants {
    /// Whether there are no tenants, so that no request needs an API key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The tenant at an index of this configuration.
    ///
    /// # Panics
    /// If there is no tenant at the index. An index of another configuration may give an unrelated tenant.
    pub fn get(&self, index: TenantIndex) -> &Tenant {
        &self.all[index.0]
    }

    /// Index of the tenant that has this API key.
    pub fn find_by_api_key(&self, api_key: &str) -> Option<TenantIndex> {
        self.by_api_key.get(api_key).copied()
    }

    /// The tenant with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Tenant> {
        self.by_name.get(name).map(|index| self.get(*index))
    }

    /// All tenants, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.all.iter()
    }
}
