//! Heads that were read ahead: what they ask, and whether their requests stand alone.
//!
//! Owns nothing. What a head says here is a hint: hyper reads it again when its turn comes.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri, Version};

/// Fields of a head that is looked at; as many as hyper reads.
const MAX_HEADERS: usize = 100;
/// Fields whose requests wait for their turn: what follows them may be no request.
const DEFERRING_HEADERS: [HeaderName; 5] = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, TRAILER, UPGRADE];

/// Reads one whole head without a body; `None` where its request has to wait for its turn.
pub fn parse(bytes: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let parsed = head.parse(bytes).ok()?;
    if parsed != httparse::Status::Complete(bytes.len()) || head.version != Some(1) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(head.path?).ok()?;
    *request.headers_mut() = headers(head.headers)?;
    let parts = request.into_parts().0;
    is_self_contained(&parts).then_some(parts)
}

fn headers(fields: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(headers)
}

/// Whether the request is over with its head, and only another request can follow.
fn is_self_contained(parts: &Parts) -> bool {
    let is_plain = !DEFERRING_HEADERS.iter().any(|name| parts.headers.contains_key(name));
    is_plain && parts.method != Method::CONNECT && connection_options(&parts.headers).all(is_known_option)
}

/// Whether only another request can follow the end of this one.
pub fn allows_pipelining(parts: &Parts) -> bool {
    let may_upgrade = parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE);
    parts.version == Version::HTTP_11 && !may_upgrade
}

/// Whether a head says that its connection closes: nothing that follows counts.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

fn is_known_option(option: &str) -> bool {
    option.eq_ignore_ascii_case("close") || option.eq_ignore_ascii_case("keep-alive")
}

/// What a head says of its connection. An option that is not text is one that nobody knows.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    values.flat_map(|value| value.to_str().unwrap_or("?").split(',')).map(str::trim)
}
