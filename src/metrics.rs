//! Counters and gauges, exposed at `/metrics` in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Time from request to the end of the answer, in seconds, by service.
    pub latency: HistogramVec,
    /// Decisions by kind.
    pub decisions: IntCounterVec,
    /// Answers that lockloft made itself, by kind.
    pub refusals: IntCounterVec,
    /// Requests in queues, by service.
    pub queued: IntGaugeVec,
    /// Slots of this instance's quota, by service.
    pub quota: IntGaugeVec,
    /// Requests at targets, by service.
    pub flight: IntGaugeVec,
    /// Calls to the key-value service by kind and result.
    pub platform_calls: IntCounterVec,
    /// Requests relayed by direction.
    pub relays: IntCounterVec,
    /// Retries and hedges, by kind.
    pub retries: IntCounterVec,
    /// Targets ejected for failures, by service.
    pub ejections: IntCounterVec,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Time since it came into force, in seconds.
    pub revision_age: IntGauge,
    /// Epoch of the hall's membership record.
    pub epoch: IntGauge,
    /// 1 while the lease on the leased share is valid.
    pub leased: IntGauge,
    /// Times the store showed less than was seen before.
    pub store_behind: IntCounter,
    /// Decision lines dropped because the writer was behind.
    pub lines_dropped: IntCounter,
    /// Keys of single runs held.
    pub keys: IntGauge,
    /// Control messages to and from peers, by kind.
    pub peer_messages: IntCounterVec,
    /// Control bytes to and from peers, by direction.
    pub peer_bytes: IntCounterVec,
}

struct Maker {
    registry: Registry,
}

impl Maker {
    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are constant and valid");
        self.registry.register(Box::new(metric.clone())).expect("metric names are distinct");
        metric
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric names are constant and valid");
        self.registry.register(Box::new(metric.clone())).expect("metric names are distinct");
        metric
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::new(name, help).expect("metric names are constant and valid");
        self.registry.register(Box::new(metric.clone())).expect("metric names are distinct");
        metric
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::new(name, help).expect("metric names are constant and valid");
        self.registry.register(Box::new(metric.clone())).expect("metric names are distinct");
        metric
    }

    fn latency(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        let metric = HistogramVec::new(opts, labels).expect("metric names are constant and valid");
        self.registry.register(Box::new(metric.clone())).expect("metric names are distinct");
        metric
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let make = Maker { registry: Registry::new() };
        Self {
            requests: make.counters(
                "lockloft_requests_total",
                "Requests by service and outcome",
                &["service", "outcome"],
            ),
            latency: make.latency("lockloft_request_seconds", "Time to the head of the answer", &["service"]),
            decisions: make.counters("lockloft_decisions_total", "Decisions by kind", &["kind"]),
            refusals: make.counters("lockloft_refusals_total", "Answers made by lockloft, by kind", &["kind"]),
            queued: make.gauges("lockloft_queued", "Requests waiting for a slot", &["service"]),
            quota: make.gauges("lockloft_quota_slots", "Slots this instance may use now", &["service"]),
            flight: make.gauges("lockloft_in_flight", "Requests at targets", &["service"]),
            platform_calls: make.counters(
                "lockloft_platform_calls_total",
                "Calls to the key-value service",
                &["kind", "result"],
            ),
            relays: make.counters("lockloft_relays_total", "Requests relayed", &["direction"]),
            retries: make.counters("lockloft_retries_total", "Second tries", &["kind"]),
            ejections: make.counters("lockloft_ejections_total", "Targets ejected", &["service"]),
            revision: make.gauge("lockloft_config_revision", "Configuration revision in force"),
            revision_age: make.gauge("lockloft_config_age_seconds", "Time since the configuration came into force"),
            epoch: make.gauge("lockloft_membership_epoch", "Epoch of the membership record"),
            leased: make.gauge("lockloft_lease_valid", "Whether the leased share may be used"),
            store_behind: make.counter("lockloft_store_behind_total", "Times the store showed an older revision"),
            lines_dropped: make.counter("lockloft_decision_lines_dropped_total", "Decision lines dropped"),
            keys: make.gauge("lockloft_run_keys", "Single-run keys held"),
            peer_messages: make.counters("lockloft_peer_messages_total", "Control messages", &["kind"]),
            peer_bytes: make.counters("lockloft_peer_bytes_total", "Control bytes", &["direction"]),
            registry: make.registry,
        }
    }
}

impl Metrics {
    /// The text form that Prometheus scrapes.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        encoder.encode(&self.registry.gather(), &mut text).expect("writing to memory does not fail");
        text
    }
}
