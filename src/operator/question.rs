//! The request that `GET /why` asks about, read from the query string.

use super::refusal::Refusal;
use crate::model::config::{Config, Route, Tenant};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use std::collections::BTreeMap;

/// Begins the query keys that stand for headers.
const HEADER_KEY: &str = "header.";

/// A request that a decision is asked for.
pub struct Question {
    /// Host that the caller would name.
    pub host: String,
    /// Method; GET where none is given.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Name of the caller's tenant, where one is given.
    pub tenant: Option<String>,
    /// Affinity key, where one is given.
    pub affinity_key: Option<String>,
    /// Headers that labels may be read from.
    pub headers: HeaderMap,
}

impl TryFrom<&Uri> for Question {
    type Error = Refusal;

    /// Reads a query string of `host`, `path`, and optionally `method`, `object`, `tenant`
    /// and `header.NAME`.
    fn try_from(uri: &Uri) -> Result<Self, Refusal> {
        let given = url::form_urlencoded::parse(uri.query().unwrap_or("").as_bytes());
        let pairs: BTreeMap<String, String> = given.into_owned().collect();
        let headers = headers(&pairs)?;
        let needed = |key: &'static str| pairs.get(key).ok_or(Refusal::MissingKey(key));
        let (host, path) = (needed("host")?, needed("path")?);
        let method = pairs.get("method").map_or("GET", String::as_str);
        Ok(Self {
            host: host.clone(),
            method: method.parse()?,
            uri: path.parse()?,
            tenant: pairs.get("tenant").cloned(),
            affinity_key: pairs.get("object").cloned(),
            headers,
        })
    }
}

impl Question {
    /// The route that takes the request.
    ///
    /// # Errors
    /// 404 where none does.
    pub fn route<'a>(&self, config: &'a Config) -> Result<&'a Route, Refusal> {
        config.find_route(&self.host, self.uri.path()).map(|index| config.route(index)).ok_or(Refusal::NoRoute)
    }

    /// The tenant that is asked about, by its name and never by a key; `None` where none is.
    ///
    /// # Errors
    /// 404 where there is no tenant of the name.
    pub fn tenant<'a>(&self, config: &'a Config) -> Result<Option<&'a Tenant>, Refusal> {
        let Some(name) = &self.tenant else { return Ok(None) };
        config.tenants.find_by_name(name).map(Some).ok_or(Refusal::NoTenant)
    }
}

fn headers(pairs: &BTreeMap<String, String>) -> Result<HeaderMap, Refusal> {
    let mut headers = HeaderMap::new();
    for (key, value) in pairs {
        let Some(name) = key.strip_prefix(HEADER_KEY) else { continue };
        let name: HeaderName = name.parse()?;
        headers.insert(name, HeaderValue::from_str(value)?);
    }
    Ok(headers)
}
