//! Settings of the daemon: TOML in, checked types out.

use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Shortest shared secret, in bytes.
const MIN_SECRET: usize = 16;
/// Calls a second to the platform that an instance allows itself unless told
/// otherwise: 410 instances stay under 2,000 a second.
const DEFAULT_RATE: f64 = 4.0;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; remedy: give a readable file with --settings")]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// Not TOML of the documented shape.
    #[error("{path}: {text}; remedy: write only the fields that docs/SETTINGS.md lists")]
    Syntax { path: PathBuf, text: String },
    /// A field has a value that cannot work.
    #[error("{path}: {field}: {text}; remedy: {remedy}")]
    Field { path: PathBuf, field: &'static str, text: String, remedy: &'static str },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    hall: String,
    cluster: String,
    secret: Option<String>,
    secret_file: Option<PathBuf>,
    listen: RawListen,
    #[serde(default)]
    advertise: RawAdvertise,
    platform: RawPlatform,
    #[serde(default)]
    peers: RawPeers,
    #[serde(default)]
    log: RawLog,
    #[serde(default)]
    front: RawFront,
    #[serde(default)]
    stop: RawStop,
    #[serde(default)]
    lookup: RawLookup,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    caller: SocketAddr,
    relay: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    source: Option<IpAddr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawAdvertise {
    caller: Option<SocketAddr>,
    relay: Option<SocketAddr>,
    peer: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "lowercase")]
enum RawPlatform {
    Http {
        address: SocketAddr,
        #[serde(default = "default_rate")]
        rate: f64,
    },
    Embedded {
        declaration: PathBuf,
    },
}

fn default_rate() -> f64 {
    DEFAULT_RATE
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawPeers {
    seeds: Vec<SocketAddr>,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Human,
    /// One JSON object for each event.
    Json,
}

/// Where decision lines go.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum DecisionLog {
    /// To standard output, for the platform to collect.
    #[default]
    Stdout,
    /// Nowhere: `explain` has only the recent ones in memory.
    Off,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLog {
    format: LogFormat,
    level: String,
    decisions: DecisionLog,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { format: LogFormat::default(), level: "info".into(), decisions: DecisionLog::default() }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawFront {
    head_bytes: usize,
    #[serde(with = "humantime_serde")]
    head_time: Duration,
    connections: usize,
}

impl Default for RawFront {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, head_time: Duration::from_secs(10), connections: 20_000 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawStop {
    #[serde(with = "humantime_serde")]
    linger: Duration,
    #[serde(with = "humantime_serde")]
    limit: Duration,
}

impl Default for RawStop {
    fn default() -> Self {
        Self { linger: Duration::from_secs(3), limit: Duration::from_secs(120) }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLookup {
    #[serde(with = "humantime_serde")]
    ttl: Duration,
    #[serde(with = "humantime_serde")]
    key_ttl: Duration,
}

impl Default for RawLookup {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(2), key_ttl: Duration::from_secs(60) }
    }
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers: look-ups and requests.
    pub caller: SocketAddr,
    /// For requests relayed by other instances.
    pub relay: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For control messages of other instances.
    pub peer: SocketAddr,
    /// Address that connections to others are made from; the system's choice
    /// where absent.
    pub source: Option<IpAddr>,
}

/// Addresses that others are told, where they differ from those listened on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Advertise {
    /// For callers.
    pub caller: Option<SocketAddr>,
    /// For requests relayed by other instances.
    pub relay: Option<SocketAddr>,
    /// For control messages of other instances.
    pub peer: Option<SocketAddr>,
}

/// Which platform keeps what must last.
#[derive(Clone, Debug)]
pub enum PlatformKind {
    /// The platform's service over HTTP, with the calls a second that this
    /// instance allows itself.
    Http(SocketAddr, f64),
    /// One declaration file, nothing kept.
    Embedded(PathBuf),
}

/// Limits of the caller front.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Longest time to receive a request head.
    pub head_time: Duration,
    /// Most connections at once.
    pub connections: usize,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance, unique in the deployment.
    pub name: String,
    /// Hall it stands in.
    pub hall: String,
    /// Name of the deployment; peers of another are refused.
    pub cluster: String,
    /// Key shared by all instances of the deployment.
    pub secret: Vec<u8>,
    /// Where it listens.
    pub listen: Listen,
    /// What others are told of that.
    pub advertise: Advertise,
    /// Which platform it uses.
    pub platform: PlatformKind,
    /// Peer addresses to try when the platform cannot be asked.
    pub seeds: Vec<SocketAddr>,
    /// Form of the log.
    pub format: LogFormat,
    /// Level filter in the form of the `tracing` crates, such as `info`.
    pub level: String,
    /// Where decision lines go.
    pub decisions: DecisionLog,
    /// Limits of the caller front.
    pub front: FrontLimits,
    /// How long a planned stop goes on serving after it left look-ups.
    pub linger: Duration,
    /// How long a planned stop waits for requests in flight at most.
    pub stop_limit: Duration,
    /// How long callers may keep a look-up.
    pub lookup_ttl: Duration,
    /// How long a key for a single run may be used.
    pub key_ttl: Duration,
}

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let unreadable = |source| SettingsError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let syntax = |e: toml::de::Error| SettingsError::Syntax { path: path.to_owned(), text: e.to_string() };
        let raw: Raw = toml::from_str(&text).map_err(syntax)?;
        check(path, raw)
    }
}

fn check(path: &Path, raw: Raw) -> Result<Settings, SettingsError> {
    let field = |field, text: &str, remedy| SettingsError::Field {
        path: path.to_owned(),
        field,
        text: text.to_owned(),
        remedy,
    };
    for (name, value) in [("name", &raw.name), ("hall", &raw.hall), ("cluster", &raw.cluster)] {
        if value.is_empty() || !value.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            return Err(field(name, "not a plain name", "use letters, digits, '-', '_' and '.'"));
        }
    }
    let secret = read_secret(path, &raw)?;
    if secret.len() < MIN_SECRET {
        return Err(field(
            "secret",
            "shorter than 16 bytes",
            "give a longer random secret, the same for all instances",
        ));
    }
    if raw.lookup.ttl.is_zero() || raw.lookup.key_ttl < raw.lookup.ttl {
        return Err(field("lookup.key_ttl", "shorter than lookup.ttl", "let keys live at least as long as look-ups"));
    }
    if let RawPlatform::Http { rate, .. } = raw.platform
        && !(0.5..=10_000.0).contains(&rate)
    {
        return Err(field("platform.rate", "out of range", "give 0.5 to 10000 calls a second"));
    }
    if raw.front.head_bytes < 1024 {
        return Err(field("front.head_bytes", "below 1024", "give at least 1024 bytes"));
    }
    tracing_subscriber::EnvFilter::try_new(&raw.log.level)
        .map_err(|e| field("log.level", &e.to_string(), "use off, error, warn, info, debug or trace"))?;
    let listen = raw.listen;
    Ok(Settings {
        name: raw.name,
        hall: raw.hall,
        cluster: raw.cluster,
        secret,
        listen: Listen {
            caller: listen.caller,
            relay: listen.relay,
            operator: listen.operator,
            peer: listen.peer,
            source: listen.source,
        },
        advertise: Advertise { caller: raw.advertise.caller, relay: raw.advertise.relay, peer: raw.advertise.peer },
        platform: match raw.platform {
            RawPlatform::Http { address, rate } => PlatformKind::Http(address, rate),
            RawPlatform::Embedded { declaration } => PlatformKind::Embedded(declaration),
        },
        seeds: raw.peers.seeds,
        format: raw.log.format,
        level: raw.log.level,
        decisions: raw.log.decisions,
        front: FrontLimits {
            head_bytes: raw.front.head_bytes,
            head_time: raw.front.head_time,
            connections: raw.front.connections,
        },
        linger: raw.stop.linger,
        stop_limit: raw.stop.limit,
        lookup_ttl: raw.lookup.ttl,
        key_ttl: raw.lookup.key_ttl,
    })
}

fn read_secret(path: &Path, raw: &Raw) -> Result<Vec<u8>, SettingsError> {
    let field = |text: String, remedy| SettingsError::Field { path: path.to_owned(), field: "secret", text, remedy };
    match (&raw.secret, &raw.secret_file) {
        (Some(secret), None) => Ok(secret.as_bytes().to_vec()),
        (None, Some(file)) => {
            let text = std::fs::read_to_string(file)
                .map_err(|e| field(format!("{}: {e}", file.display()), "name a readable file in secret_file"))?;
            Ok(text.trim_end().as_bytes().to_vec())
        }
        _ => Err(field("neither or both of secret and secret_file".into(), "give exactly one of them")),
    }
}
