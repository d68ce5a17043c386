//! Tenants: who may send requests, how many, and where they may run.
//!
//! Owns the index of the keys. A key is a secret: it is looked up and compared here, and shown
//! nowhere.

use super::route::is_allowed;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt::{Debug, Formatter};
use std::rc::Rc;
use thiserror::Error;

/// A tenant's position in its [`Config`](super::Config).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantKey(usize);

/// A secret that shows a caller's tenant.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Rc<str>);

impl ApiKey {
    /// The key with this text.
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

/// How many requests of a tenant may run, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second, above 0 and finite.
    pub rate: f64,
    /// Requests besides, 0 or more and finite.
    pub burst: f64,
}

/// Callers that hold one of the same keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique in the config; targets are told it.
    pub name: Rc<str>,
    /// Its keys; none where all were taken away.
    pub api_keys: Vec<ApiKey>,
    /// Rank, 0 the most urgent; comes before the route's.
    pub priority: u32,
    /// Most requests; `None` for no limit.
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

/// Why tenants cannot be used together. The keys themselves are not named.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantError {
    /// Two tenants have one name.
    #[error("two tenants have the name {0}; give each a name of its own")]
    DuplicateName(Rc<str>),
    /// Two tenants hold one key.
    #[error("the tenants {0} and {1} hold the same key; give each key to one tenant")]
    DuplicateKey(Rc<str>, Rc<str>),
    /// A key is empty.
    #[error("the tenant {0} has an empty key; leave it out")]
    EmptyKey(Rc<str>),
}

/// The tenants of a config, by key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    all: Vec<Tenant>,
    by_name: HashMap<Rc<str>, TenantKey>,
    /// The hash is seeded at random by each process, so that the time of a look-up tells nothing of
    /// the keys.
    by_api_key: HashMap<ApiKey, TenantKey>,
}

impl TryFrom<Vec<Tenant>> for Tenants {
    type Error = TenantError;

    fn try_from(all: Vec<Tenant>) -> Result<Self, TenantError> {
        let mut by_name = HashMap::new();
        let mut by_api_key: HashMap<ApiKey, TenantKey> = HashMap::new();
        for (position, tenant) in all.iter().enumerate() {
            if by_name.insert(tenant.name.clone(), TenantKey(position)).is_some() {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for api_key in &tenant.api_keys {
                if api_key.0.is_empty() {
                    return Err(TenantError::EmptyKey(tenant.name.clone()));
                }
                let before = by_api_key.insert(api_key.clone(), TenantKey(position));
                if let Some(other) = before.filter(|other| other.0 != position) {
                    return Err(TenantError::DuplicateKey(all[other.0].name.clone(), tenant.name.clone()));
                }
            }
        }
        Ok(Self { all, by_name, by_api_key })
    }
}

impl Tenants {
    /// Whether there are none, so that no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The tenant of a key of this config; panics on a key of a larger one.
    pub fn get(&self, key: TenantKey) -> &Tenant {
        &self.all[key.0]
    }

    /// The tenant that holds an API key.
    pub fn find_by_api_key(&self, api_key: &str) -> Option<TenantKey> {
        self.by_api_key.get(api_key).copied()
    }

    /// The tenant of a name.
    pub fn find_by_name(&self, name: &str) -> Option<&Tenant> {
        self.by_name.get(name).map(|key| self.get(*key))
    }

    /// All tenants, in the order of the config.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.all.iter()
    }
}
