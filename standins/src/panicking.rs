//! An instance whose platform panics for values that ask for it. A value that no decoder is known to
//! fail on can thus stand for one that does.
//!
//! Owns whether the next registration is to panic. Relies on the operators' platform for all else.

use bytes::Bytes;
use lockloft::model::record::{Record, RecordError, RemovedRecord};
use lockloft::platform::{CallerPlace, HeaderNames, Platform};
use lockloft::store::Item;
use platform::TrustPlatform;
use platform::store::HttpStore;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

/// A value that contains it makes its decoder panic.
pub const PANIC_ON_DECODE: &str = "panic-on-decode";
/// A value that contains it makes the next registration of the instance panic, once.
pub const PANIC_ON_REGISTRATION: &str = "panic-on-registration";
/// A key that contains it makes its removal panic, each time.
pub const PANIC_ON_REMOVAL: &str = "panic-on-removal";

/// A question to the directory that contains it panics.
pub const PANIC_ON_QUESTION: &str = "panic-on-question";

static REGISTRATION_PANICS: AtomicBool = AtomicBool::new(false);

/// Runs an instance as `platform::run` does.
pub fn run(settings: &Path) -> ExitCode {
    match lockloft::instance::run::<PanickingPlatform>(settings, |settings| HttpStore::new(settings.store)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

struct PanickingPlatform;

fn contains(value: &[u8], text: &str) -> bool {
    value.windows(text.len()).any(|part| part == text.as_bytes())
}

impl Platform for PanickingPlatform {
    type Store = HttpStore;

    fn headers() -> HeaderNames {
        TrustPlatform::headers()
    }

    fn ready_path() -> &'static str {
        TrustPlatform::ready_path()
    }

    fn own_prefix() -> &'static str {
        assert!(!REGISTRATION_PANICS.swap(false, Relaxed), "a value asked for a panic of the registration");
        TrustPlatform::own_prefix()
    }

    fn policies_key() -> &'static str {
        TrustPlatform::policies_key()
    }

    fn strikes_prefix() -> &'static str {
        TrustPlatform::strikes_prefix()
    }

    fn decode(item: &Item) -> Result<Record, RecordError> {
        assert!(!contains(&item.value, PANIC_ON_DECODE), "the value of {} asked for a panic", item.key);
        if contains(&item.value, PANIC_ON_REGISTRATION) {
            REGISTRATION_PANICS.store(true, Relaxed);
        }
        TrustPlatform::decode(item)
    }

    fn decode_removal(key: &str) -> RemovedRecord {
        assert!(!key.contains(PANIC_ON_REMOVAL), "the removal of {key} asked for a panic");
        TrustPlatform::decode_removal(key)
    }

    fn directory_question(path: &str, query: &str) -> Option<CallerPlace> {
        assert!(!query.contains(PANIC_ON_QUESTION), "the question {query} asked for a panic");
        TrustPlatform::directory_question(path, query)
    }

    fn directory_answer(addresses: &[SocketAddr], ttl: Duration) -> Bytes {
        TrustPlatform::directory_answer(addresses, ttl)
    }
}
