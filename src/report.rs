//! Load as targets report it, in the published ORCA response header, and how
//! a target says that it shed a request.

use hyper::HeaderMap;
use serde::Deserialize;

/// Response header with a load report.
const LOAD_HEADER: &str = "endpoint-load-metrics";
/// The form of the header's value that is understood.
const JSON_FORM: &str = "JSON ";
/// Response header of a target that shed the request before running it.
const SHED_HEADER: &str = "lockloft-shed";

/// A load report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Report {
    /// Share of its capacity in use, 0 to 1 or above.
    pub application_utilization: f64,
    /// Requests a second.
    pub rps_fractional: f64,
    /// Counts by name.
    pub named_metrics: NamedMetrics,
}

/// The named metrics that lockloft knows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct NamedMetrics {
    /// Requests in flight, from all callers.
    pub in_flight: f64,
    /// Slots.
    pub slots: f64,
    /// Above zero while the target is about to stop.
    pub leaving: f64,
}

impl Report {
    /// The report in an answer's headers; an unreadable one counts as none.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
        serde_json::from_str(text.strip_prefix(JSON_FORM)?).ok()
    }

    /// Utilization in per mille, at most 1000. The larger of what it says of
    /// itself and what its counts say, since either may mislead.
    pub fn permille(&self) -> u32 {
        let counted =
            if self.named_metrics.slots > 0.0 { self.named_metrics.in_flight / self.named_metrics.slots } else { 0.0 };
        (self.application_utilization.max(counted).clamp(0.0, 1.0) * 1000.0) as u32
    }
}

/// Whether an answer says that its request was not run.
pub fn is_shed(status: hyper::StatusCode, headers: &HeaderMap) -> bool {
    let word = headers.get(SHED_HEADER).and_then(|v| v.to_str().ok());
    status == hyper::StatusCode::SERVICE_UNAVAILABLE && word == Some("not-run")
}
