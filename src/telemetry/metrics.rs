//! Counters, gauges and histograms of an instance.
//!
//! Owns the registry and the names of the metrics, which dashboards use. The tasks count;
//! gauges that are read from elsewhere are set when the metrics are requested.

use crate::decision::capacity::rate_limit::UseCounts;
use crate::task::EndCount;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Bounds of the latency histogram, seconds: close together round the objectives of 0.3 to
/// 1.2 s; the last is a usual timeout of a route. They set the display only.
const LATENCY_BUCKETS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 3.0];

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome: `answered`, or the reason of the refusal.
    pub requests: IntCounterVec,
    /// Time from the head of a request to its answer, by outcome.
    pub latency: HistogramVec,
    /// Requests begun before those ahead of them on their connection were answered.
    pub early_requests: IntCounter,
    /// Retries.
    pub retries: IntCounter,
    /// Retries that the budget denied.
    pub retries_denied: IntCounter,
    /// 0 while this instance reaches targets, 1 if only over open connections, 2 if it reaches none.
    pub unreached: IntGauge,
    /// Changes of what this instance reaches, by what it reaches then.
    pub reach_changes: IntCounterVec,
    /// Probes of the links to targets, by result.
    pub link_probes: IntCounterVec,
    /// Requests forwarded to other instances, by result.
    pub forwarded: IntCounterVec,
    /// Requests that other instances have forwarded here, by outcome.
    pub forwarded_here: IntCounterVec,
    /// Targets that ended under a request.
    pub strikes: IntCounter,
    /// Requests in quarantine.
    pub quarantined: IntGauge,
    /// Requests of tenants with a quota, by tenant and whether they were admitted. Bounded by the
    /// tenants of the configuration in force.
    pub quota_requests: IntCounterVec,
    /// Reports of what tenants use that no head took.
    pub usage_report_failures: IntCounter,
    /// Targets with a rate limit.
    pub limited_targets: IntGauge,
    /// Targets with a rate limit of which this instance sends its equal share.
    pub equal_shares: IntGauge,
    /// Requests for targets with a rate limit, by why they are sent, or that they are not.
    pub limit_requests: IntCounterVec,
    /// Questions about allowances that no head answered.
    pub unanswered_asks: IntCounter,
    /// Reports of targets' limits that no head took.
    pub limit_report_failures: IntCounter,
    /// Targets in reports that this instance, as the head of a hall, had no room for.
    pub limit_targets_left_out: IntCounter,
    /// Load reports of targets that cannot be read, by reason.
    pub load_reports_ignored: IntCounterVec,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Failed calls to the store.
    pub store_failures: IntCounter,
    /// Time by which tasks ran late, milliseconds, by the task that noticed it.
    pub late_ms: IntCounterVec,
    /// Responses of the store that are behind a position seen before, by call.
    pub store_behind: IntCounterVec,
    /// Values of the store that cannot be used, as often as they arrive.
    pub values_refused: IntCounter,
    /// Answers of a relay that were applied.
    pub relayed: IntCounter,
    /// Ends of tasks, by task and by how they ended: lasting tasks always, passing ones by a panic.
    pub task_ends: IntCounterVec,
    /// 1 for the reason for which the view of the store stays stale; no sample while it does not.
    pub view_stale: IntGaugeVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time since the view of the store was proven current, milliseconds; -1 before that.
    pub view_age: IntGauge,
    /// Revision of the view.
    pub view_revision: IntGauge,
    /// Era of the store to which the view belongs.
    pub view_era: IntGauge,
    /// Instances listed in the store.
    pub members: IntGauge,
    /// Weight of this instance in its region, hundredths; 0 where its machine is not known.
    pub weight: IntGauge,
    /// Requests in flight.
    pub active: IntGauge,
    /// Connections of callers.
    pub connections: IntGauge,
    /// Bytes held of request bodies and answers.
    pub held_bytes: IntGauge,
    /// Answers that their callers did not get whole, by reason.
    pub answers_broken: IntCounterVec,
    /// Log lines dropped.
    pub lines_dropped: IntGauge,
    /// Log lines of answered requests left out.
    pub lines_left_out: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            registered(&registry, IntCounterVec::new(Opts::new(name, help), &[label]))
        };
        let counter = |name: &str, help: &str| registered(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| registered(&registry, IntGauge::new(name, help));
        let latency = HistogramOpts::new("lockloft_entry_request_seconds", "Time from a request's head to its answer")
            .buckets(LATENCY_BUCKETS.to_vec());
        Self {
            requests: counters("lockloft_entry_requests_total", "Requests by outcome", "outcome"),
            latency: registered(&registry, HistogramVec::new(latency, &["outcome"])),
            early_requests: counter(
                "lockloft_entry_early_requests_total",
                "Requests begun before those ahead of them on their connection were answered",
            ),
            retries: counter("lockloft_entry_retries_total", "Second tries"),
            retries_denied: counter("lockloft_entry_retries_denied_total", "Second tries that the budget forbade"),
            unreached: gauge(
                "lockloft_entry_unreached",
                "0 while targets are reached, 1 over open connections alone, 2 for none",
            ),
            reach_changes: counters(
                "lockloft_entry_reach_changes_total",
                "Changes of what is reached of the targets",
                "reach",
            ),
            link_probes: counters("lockloft_entry_link_probes_total", "Probes of the links to targets", "result"),
            forwarded: counters("lockloft_entry_forwarded_total", "Requests forwarded to other instances", "result"),
            forwarded_here: counters(
                "lockloft_entry_forwarded_here_total",
                "Requests that other instances have forwarded here",
                "outcome",
            ),
            strikes: counter("lockloft_entry_strikes_total", "Targets that ended under a request"),
            quarantined: gauge("lockloft_entry_quarantined", "Requests that are refused for what they do to targets"),
            quota_requests: registered(
                &registry,
                IntCounterVec::new(
                    Opts::new("lockloft_entry_quota_requests_total", "Requests of tenants with a quota"),
                    &["tenant", "outcome"],
                ),
            ),
            usage_report_failures: counter(
                "lockloft_entry_usage_untold_total",
                "Reports of tenants' requests that failed",
            ),
            limited_targets: gauge("lockloft_entry_limited_targets", "Targets that name a rate limit"),
            equal_shares: gauge(
                "lockloft_entry_equal_limit_shares",
                "Targets that name a rate limit of which this instance sends its equal part",
            ),
            limit_requests: counters(
                "lockloft_entry_limit_requests_total",
                "Requests for targets that name a rate limit, by why they were sent there, or limited",
                "kind",
            ),
            load_reports_ignored: counters(
                "lockloft_entry_load_reports_ignored_total",
                "Load reports of targets that cannot be read, by reason",
                "reason",
            ),
            unanswered_asks: counter(
                "lockloft_entry_allowances_unanswered_total",
                "Questions about allowances that no head answered",
            ),
            limit_report_failures: counter(
                "lockloft_entry_limits_untold_total",
                "Reports of targets' limits that failed",
            ),
            limit_targets_left_out: counter(
                "lockloft_entry_limit_targets_left_out_total",
                "Targets in reports of limits that the head knew too many others to record",
            ),
            store_calls: counters("lockloft_entry_store_calls_total", "Calls to the store", "kind"),
            store_failures: counter("lockloft_entry_store_failures_total", "Calls to the store that gave nothing"),
            late_ms: counters("lockloft_entry_late_ms_total", "Time by which a task ran late, milliseconds", "task"),
            store_behind: counters(
                "lockloft_entry_store_behind_total",
                "Answers of the store at an earlier revision than was seen before the call",
                "kind",
            ),
            values_refused: counter("lockloft_entry_values_refused_total", "Values of the store that cannot be used"),
            relayed: counter("lockloft_entry_relay_answers_total", "Answers of the hall's relay"),
            task_ends: registered(
                &registry,
                IntCounterVec::new(
                    Opts::new("lockloft_entry_task_ends_total", "Tasks that ended though they should run on"),
                    &["task", "how"],
                ),
            ),
            view_stale: registered(
                &registry,
                IntGaugeVec::new(
                    Opts::new("lockloft_entry_view_stale", "1 while the view of the store stays stale, by reason"),
                    &["reason"],
                ),
            ),
            config_version: gauge("lockloft_entry_config_version", "Version of the configuration in force"),
            view_age: gauge("lockloft_entry_view_age_ms", "Time since the view of the store was proven current"),
            view_revision: gauge("lockloft_entry_view_revision", "Revision of the view of the store"),
            view_era: gauge("lockloft_entry_view_era", "Era of the store that the view is of, 0 where it names none"),
            members: gauge("lockloft_entry_members", "Entries listed in the store"),
            weight: gauge("lockloft_entry_weight_percent", "Callers given to this instance, 100 for the weakest"),
            active: gauge("lockloft_entry_active_requests", "Requests being worked on"),
            connections: gauge("lockloft_entry_connections", "Connections of callers"),
            held_bytes: gauge("lockloft_entry_held_body_bytes", "Bytes of request bodies and answers that are held"),
            answers_broken: counters(
                "lockloft_entry_answers_broken_total",
                "Large answers that their callers did not get whole, by reason",
                "reason",
            ),
            lines_dropped: gauge("lockloft_entry_log_lines_dropped", "Log lines dropped"),
            lines_left_out: gauge(
                "lockloft_entry_log_lines_left_out",
                "Log lines of answered requests left out under load",
            ),
            registry,
        }
    }
}

fn registered<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<M, prometheus::Error>,
) -> M {
    let metric = metric.expect("metric names are constant and valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

impl Metrics {
    /// Counts a request that a quota admitted or refused.
    pub fn count_quota(&self, tenant: &str, is_admitted: bool) {
        let outcome = if is_admitted { "admitted" } else { "refused" };
        self.quota_requests.with_label_values(&[tenant, outcome]).inc();
    }

    /// Sets the counts of the ends of tasks, which [`crate::task`] keeps.
    pub fn set_task_ends(&self, counts: &[EndCount]) {
        self.task_ends.reset();
        for EndCount { task, end, count } in counts {
            self.task_ends.with_label_values(&[task, end.as_str()]).inc_by(*count);
        }
    }

    /// Sets the reason for which the view stays stale, if it does.
    pub fn set_view_stale(&self, reason: Option<&str>) {
        self.view_stale.reset();
        if let Some(reason) = reason {
            self.view_stale.with_label_values(&[reason]).set(1);
        }
    }

    /// Counts requests for a target with a rate limit.
    pub fn count_limit_use(&self, counts: &UseCounts) {
        for (kind, count) in counts.by_kind() {
            self.limit_requests.with_label_values(&[kind]).inc_by(count.into());
        }
    }

    /// The text form that Prometheus reads.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).expect("writing to memory does not fail");
        text
    }
}
