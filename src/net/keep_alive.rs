//! What becomes of a connection after an answer, as the answer's headers say.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};
use std::time::Duration;

/// Header in which a server names how long it keeps an idle connection (HTTP).
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How long the other side keeps an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It closes the connection after this answer.
    Close,
    /// It keeps the connection for this long.
    For(Duration),
    /// It does not say.
    Unspecified,
}

impl From<&HeaderMap> for KeepAlive {
    /// Reads an answer's headers. A time that cannot be read counts as not given:
    /// the pool's own bound holds then, which is shorter than usual times.
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

/// The time in `timeout=SECONDS`.
fn timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds =
        text.split(',').find_map(|word| word.trim().strip_prefix("timeout=").and_then(|number| number.parse().ok()));
    seconds.map(Duration::from_secs)
}
