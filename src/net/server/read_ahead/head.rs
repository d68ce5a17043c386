//! Parses request heads that were read ahead, and decides whether their requests may begin early.
//!
//! Owns nothing. The result is only a hint: hyper parses each head again at its turn.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri, Version};

/// Maximum number of headers in a head that is parsed here; as many as hyper accepts.
const MAX_HEADERS: usize = 100;
/// A request with one of these headers waits for its turn: the bytes that follow its head may not be
/// another request.
const DEFERRING_HEADERS: [HeaderName; 5] = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, TRAILER, UPGRADE];

/// Parses one complete head of a request without a body; `None` if the request has to wait for its turn.
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

/// Whether the request ends with its head, so that only another request can follow.
fn is_self_contained(parts: &Parts) -> bool {
    let is_plain = !DEFERRING_HEADERS.iter().any(|name| parts.headers.contains_key(name));
    is_plain && parts.method != Method::CONNECT && connection_options(&parts.headers).all(is_known_option)
}

/// Whether only another request can follow the end of this one: it is HTTP/1.1 and cannot change the
/// protocol of the connection.
pub fn only_requests_can_follow(parts: &Parts) -> bool {
    let may_upgrade = parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE);
    parts.version == Version::HTTP_11 && !may_upgrade
}

/// Whether a head announces the close of its connection. All bytes that follow are ignored then.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

fn is_known_option(option: &str) -> bool {
    option.eq_ignore_ascii_case("close") || option.eq_ignore_ascii_case("keep-alive")
}

/// The options in the `connection` headers. A value that is not text counts as an unknown option.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    values.flat_map(|value| value.to_str().unwrap_or("?").split(',')).map(str::trim)
}
