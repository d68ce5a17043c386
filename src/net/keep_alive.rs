//! How long a server keeps a connection open after a response, as the response's headers state it.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};
use std::time::Duration;

/// HTTP header in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How long a server keeps an idle connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The server closes the connection after this response.
    Close,
    /// The server keeps the connection open for this long.
    For(Duration),
    /// The response states no time.
    Unspecified,
}

impl From<&HeaderMap> for KeepAlive {
    /// Parses the headers of a response. A time that cannot be parsed counts as not stated: the pool's
    /// own limit applies then, which is shorter than the usual times.
    fn from(headers: &HeaderMap) -> Self {
        if is_closing(headers) {
            return KeepAlive::Close;
        }
        timeout(headers).map_or(KeepAlive::Unspecified, KeepAlive::For)
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let has_close = |text: &str| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
    headers.get_all(CONNECTION).iter().any(|value| value.to_str().is_ok_and(has_close))
}

/// The time in the parameter `timeout=SECONDS`.
fn timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds =
        text.split(',').find_map(|word| word.trim().strip_prefix("timeout=").and_then(|number| number.parse().ok()));
    seconds.map(Duration::from_secs)
}
