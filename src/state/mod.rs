//! State that the tasks of an instance share, in parts with interior mutability.
//!
//! | part | what it owns |
//! |---|---|
//! | [`StoreCopy`] | the view of the store and how current it is |
//! | [`Lifecycle`] | running, stopping, ending |
//! | [`Requests`] | number of requests in flight and the bytes buffered for them |
//! | [`Connections`] | open connections and their unfinished responses |
//! | [`Quotas`] | usage of tenants' quotas, at this instance and in total |
//! | [`LostPolicies`] | policies that a restored store may lack |
//! | [`StrikeReports`] | requests whose strikes are still to be reported to the other instances |
//! | [`RateLimits`] | totals of targets' rate limits, if this instance is the head of a hall |
//! | [`TargetLoads`] | loads of targets that instances exchange |
//! | [`Forwarding`] | instances that this one forwards requests to, and those that forward to it |
//! | [`TargetLinks`] | whether this instance reaches the targets |
//! | [`Routing`], [`TrafficSplits`], [`RetryBudgets`] | the state of the decisions |
//! | [`Settings`], [`Metrics`], [`Log`] | settings in force, counters, log output |
//!
//! [`Instance`] combines them: a change of the view updates the routing state, which in turn
//! updates the splits, the retry budgets and the metrics. Relies on `store`, `decision`
//! and `telemetry`; the tasks in `sync`, `proxy`, `directory` and `operator` rely on it.

mod allowances;
mod change_log;
mod forwarding;
mod lifecycle;
mod limit_log;
mod lost_policies;
mod quotas;
mod rate_limits;
mod requests;
mod stale_view;
mod store_copy;
mod strike_reports;
mod target_links;
mod target_loads;

pub use allowances::Allowances;
pub use forwarding::{Forwarding, TakenGuard};
pub use lifecycle::Lifecycle;
pub use lost_policies::LostPolicies;
pub use quotas::Quotas;
pub use rate_limits::RateLimits;
pub use requests::{InFlightGuard, Requests};
pub use stale_view::{StaleReason, StaleReports};
pub use store_copy::StoreCopy;
pub use strike_reports::StrikeReports;
pub use target_links::TargetLinks;
pub use target_loads::TargetLoads;

use change_log::ChangeLog;

use crate::clock::Instant;
use crate::decision::failure::retry::RetryBudgets;
use crate::decision::registry::change::StateChange;
use crate::decision::registry::panicked_records::PanickedStep;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target_key::TargetKey;
use crate::decision::selection::choice::{Query, RoutedRequest, SlowStartInputs};
use crate::decision::selection::request_size::RequestSize;
use crate::decision::selection::split::TrafficSplits;
use crate::model::fingerprint::Fingerprint;
use crate::net::server::Connections;
use crate::platform::{HeaderNames, Platform};
use crate::policy::MatchedPolicies;
use crate::settings::Settings;
use crate::store::era::Position;
use crate::store::grace::era_grace_until;
use crate::store::view::Update;
use crate::store::{Event, Listing, Store};
use crate::telemetry::log::Log;
use crate::telemetry::metrics::Metrics;
use std::cell::RefCell;
use std::rc::Rc;

/// The shared state of one instance.
pub struct Instance<P: Platform> {
    /// Settings in force; replaced by a reload.
    pub settings: RefCell<Rc<Settings>>,
    /// The client of the platform's store.
    pub store: P::Store,
    /// Names of the HTTP headers that the platform defines.
    pub names: HeaderNames,
    /// The view of the store and how current it is.
    pub store_copy: StoreCopy,
    /// The configuration, targets and members that the view describes.
    pub routing: RefCell<Routing>,
    /// Request counts of the routes with a traffic split.
    pub splits: RefCell<TrafficSplits>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Usage of the tenants' quotas.
    pub quotas: Quotas,
    /// Loads of targets that instances exchange.
    pub target_loads: TargetLoads,
    /// Whether this instance reaches the targets.
    pub links: TargetLinks,
    /// Requests that instances forward to each other.
    pub forwarding: Forwarding,
    /// Totals of targets' rate limits, kept as the head of a hall.
    pub rate_limits: RateLimits,
    /// Allowances for targets with a rate limit.
    pub allowances: Allowances,
    /// Whether the instance is running, stopping or ending.
    pub lifecycle: Lifecycle,
    /// Number of requests in flight and the bytes buffered for them.
    pub requests: Requests,
    /// Open connections of all listeners.
    pub connections: Rc<Connections>,
    /// Requests whose strikes are still to be reported to the other instances.
    pub strike_reports: StrikeReports,
    /// Policies that may be missing from a restored store.
    pub lost_policies: LostPolicies,
    /// Counters and gauges for operators.
    pub metrics: Metrics,
    /// The log output and its rate limit.
    pub log: Log,
    /// Average number of bytes that a request puts on the link.
    pub request_size: RequestSize,
    /// The update of the view that is being applied; still there after a panic.
    update_in_progress: RefCell<Option<Rc<SourcedUpdate>>>,
    steps: Steps,
    change_log: ChangeLog,
    stale_reports: StaleReports,
}

/// Source of changes in the log that no update made, but the state that a panic left unfinished.
const AFTER_PANIC: &str = "panic";

/// An update of the view, and where it came from.
#[derive(Debug)]
struct SourcedUpdate {
    update: Update,
    /// For the log.
    source: &'static str,
}

/// The steps that follow a change of the routing state.
#[derive(Debug, Default)]
struct Steps {
    log: Step,
    config: Step,
    quarantine: Step,
    strikes: Step,
    members: Step,
}

/// A step that is left out once after it panicked, so that changes are applied all the same.
#[derive(Debug, Default)]
struct Step(PanickedStep);

impl Step {
    /// Makes the step; `name` is for the log.
    fn run(&self, name: &'static str, work: impl FnOnce()) {
        if self.0.begin() {
            work();
            self.0.end();
        } else {
            tracing::error!(event = "step_left_out", step = name);
        }
    }
}

/// How much of the view is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    /// What an update changes.
    Changes,
    /// Everything, with what an update changes.
    All,
}

impl<P: Platform> Instance<P> {
    /// Creates an instance with an empty view.
    pub fn new(settings: Settings, store: P::Store, log: Log) -> Self {
        let store_copy = StoreCopy::new(store.latest_era());
        Self {
            routing: RefCell::new(Routing::new(settings.halls.clone())),
            retry_budgets: RefCell::new(RetryBudgets::new(settings.retry_ratio, settings.retry_slack, 1)),
            settings: RefCell::new(Rc::new(settings)),
            store,
            names: P::headers(),
            store_copy,
            splits: RefCell::new(TrafficSplits::default()),
            quotas: Quotas::default(),
            target_loads: TargetLoads::default(),
            links: TargetLinks::default(),
            forwarding: Forwarding::default(),
            rate_limits: RateLimits::default(),
            allowances: Allowances::default(),
            lifecycle: Lifecycle::default(),
            requests: Requests::new(Instant::now()),
            connections: Rc::default(),
            strike_reports: StrikeReports::default(),
            lost_policies: LostPolicies::default(),
            metrics: Metrics::default(),
            log,
            request_size: RequestSize::default(),
            update_in_progress: RefCell::default(),
            steps: Steps::default(),
            change_log: ChangeLog::default(),
            stale_reports: StaleReports::default(),
        }
    }

    /// The settings in force at the time of the call.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts reloaded settings in force and updates the bounds of the retry budgets.
    pub fn reload(&self, settings: Settings) {
        self.settings.replace(Rc::new(settings));
        self.update_retry_bounds();
    }

    /// Number of requests that are processed, or whose responses connections have not received completely.
    pub fn active_requests(&self) -> u32 {
        self.requests.in_flight() + self.connections.passing()
    }

    /// Whether callers should use this instance: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping() && self.routing.borrow().config.is_some()
    }

    /// The inputs of the choice of a target. Requests and the `why` command both use this, so
    /// that explanations match the actual choice. Targets in slow start get no requests while the
    /// view is stale.
    pub fn query<'a>(
        &self,
        settings: &'a Settings,
        request: RoutedRequest<'a>,
        matched_policies: Option<&'a MatchedPolicies<'a>>,
        tried: &'a [TargetKey],
    ) -> Query<'a> {
        let inputs = SlowStartInputs { own: &settings.name, bounds: settings.slow_start };
        let RoutedRequest { route, tenant, service, affinity } = request;
        Query {
            route,
            tenant,
            service,
            affinity,
            region: &settings.region,
            slow_start: self.store_copy.is_current().then_some(inputs),
            has_shared_loads: self.target_loads.are_shared(),
            matched_policies,
            tried,
            now: Instant::now(),
        }
    }

    /// Logs if the view has become stale or is current again, and repeatedly while it is stale.
    pub fn log_freshness(&self) {
        self.store_copy.log_freshness();
        let config = self.routing.borrow().config.as_ref().map(|config| config.version);
        self.stale_reports.log(&self.store_copy, config);
    }

    /// Why the view is stale, if it has been for some seconds.
    pub fn stale_reason(&self) -> Option<StaleReason> {
        self.stale_reports.lasting_reason(&self.store_copy)
    }

    /// Applies a list of the store's items; `source` is for the log.
    pub fn apply_listing(&self, listing: Listing, source: &'static str) {
        self.apply_update(Update::Listing(listing), source);
    }

    /// Applies events of the store up to the position `at`; `source` is for the log.
    pub fn apply_events(&self, events: Vec<Event>, at: Position, source: &'static str) {
        self.apply_update(Update::Events { events, at }, source);
    }

    fn apply_update(&self, update: Update, source: &'static str) {
        self.resume_update();
        if self.store_copy.is_from_earlier_era(&update) {
            return;
        }
        self.update_in_progress.replace(Some(Rc::new(SourcedUpdate { update, source })));
        self.apply_in_progress(Extent::Changes);
    }

    /// After a panic that left a change of the state unfinished, applies the whole view again, together
    /// with the update that panicked.
    pub fn resume_update(&self) {
        if self.store_copy.is_interrupted() {
            tracing::warn!(event = "view_applied_again", revision = self.store_copy.view().position().revision);
            self.apply_in_progress(Extent::All);
        }
    }

    /// Applies the update in progress, if there is one, and then includes it in the view. Until then the
    /// view neither says that it has the update nor sends it to peers, so that a panic loses nothing.
    fn apply_in_progress(&self, extent: Extent) {
        self.store_copy.set_applying(true);
        let in_progress = self.update_in_progress.borrow().clone();
        let update = in_progress.as_ref().map(|sourced| &sourced.update);
        let source = in_progress.as_ref().map_or(AFTER_PANIC, |sourced| sourced.source);
        let (before, at, changes) = {
            let view = self.store_copy.view();
            let at = update.map_or(view.position(), |update| view.position_after(update));
            let changes = update.map_or_else(Vec::new, |update| view.changes_of(update));
            (view.position(), at, changes)
        };
        let is_first = before == Position::default();
        let mut state_changes = match extent {
            Extent::Changes => Vec::new(),
            Extent::All => self.apply_again(&changes),
        };
        state_changes.extend(match !is_first && at.era > before.era {
            true => self.begin_era(&changes, at),
            false => self.apply_changes(&changes, extent),
        });
        let is_initial = is_first && matches!(update, Some(Update::Listing(_)));
        self.steps.log.run("log", || match is_initial || extent == Extent::All {
            true => self.change_log.write_initial_view(&state_changes, at.revision, source),
            false => self.log_changes(&state_changes, at.revision, source),
        });
        match extent {
            Extent::Changes => self.propagate_changes(&state_changes),
            Extent::All => self.propagate_all(&state_changes),
        }
        if let Some(update) = update {
            self.store_copy.commit(update, &changes);
        }
        self.update_in_progress.take();
        self.store_copy.set_applying(false);
    }

    /// Applies all items of the view again but those that are among the changes.
    fn apply_again(&self, changes: &[Event]) -> Vec<StateChange> {
        let others = self.store_copy.view().all_but(changes);
        self.routing.borrow_mut().apply_again::<P>(&others, Instant::now())
    }

    fn apply_changes(&self, changes: &[Event], extent: Extent) -> Vec<StateChange> {
        if changes.is_empty() && extent == Extent::Changes {
            return Vec::new();
        }
        let now = Instant::now();
        let grace_until = self.store_copy.grace_until(now);
        self.routing.borrow_mut().apply::<P>(changes, now, grace_until)
    }

    /// Applies the first list of a later era. Records missing from it are kept until the grace of
    /// the era ends, or that of an outage if it ends later.
    fn begin_era(&self, changes: &[Event], at: Position) -> Vec<StateChange> {
        let policies_before = self.store_copy.view().item(P::policies_key()).cloned();
        policies_before.into_iter().for_each(|item| self.lost_policies.add(item.value));
        let Position { era, revision } = at;
        tracing::info!(
            event = "era_applied",
            era = era.number,
            rewinds = u32::from(era.rewinds),
            revision,
            changes = changes.len()
        );
        let now = Instant::now();
        let era_grace = era_grace_until(self.store_copy.latest_era().observed_at().unwrap_or(now));
        let grace_until = self.store_copy.grace_until(now).map_or(era_grace, |outage| outage.max(era_grace));
        self.routing.borrow_mut().begin_era::<P>(changes, now, grace_until)
    }

    /// Removes targets, members and evacuations that were not written again within their grace, and
    /// strikes that no longer count; nothing before an update that panicked has been resumed.
    pub fn remove_expired(&self) {
        if self.store_copy.is_interrupted() {
            return;
        }
        self.store_copy.set_applying(true);
        let state_changes = self.routing.borrow_mut().remove_expired(Instant::now());
        let revision = self.store_copy.view().position().revision;
        self.steps.log.run("log", || self.log_changes(&state_changes, revision, "lapse"));
        self.propagate_changes(&state_changes);
        self.store_copy.set_applying(false);
    }

    fn log_changes(&self, state_changes: &[StateChange], revision: u64, source: &'static str) {
        for state_change in state_changes {
            self.change_log.write(state_change, revision, source);
        }
    }

    /// Updates everything that depends on the routing state after its changes.
    fn propagate_changes(&self, state_changes: &[StateChange]) {
        let mut have_members_changed = false;
        for state_change in state_changes {
            match state_change {
                StateChange::Config(version) => self.steps.config.run("config", || self.config_changed(*version)),
                StateChange::Member { .. } => have_members_changed = true,
                StateChange::Quarantine { .. } => self.steps.quarantine.run("quarantine", || self.quarantine_changed()),
                StateChange::Refused(_)
                | StateChange::StrikesExpired(_)
                | StateChange::Policies { .. }
                | StateChange::Evacuation { .. }
                | StateChange::Target { .. } => {}
            }
        }
        if have_members_changed {
            self.steps.members.run("members", || self.members_changed());
        }
        self.propagate_records(state_changes);
    }

    /// Updates everything that depends on the routing state, whatever has changed.
    fn propagate_all(&self, state_changes: &[StateChange]) {
        let version = self.routing.borrow().config.as_ref().map(|config| config.version);
        if let Some(version) = version {
            self.steps.config.run("config", || self.config_changed(version));
        }
        self.steps.quarantine.run("quarantine", || self.quarantine_changed());
        self.steps.members.run("members", || self.members_changed());
        self.propagate_records(state_changes);
    }

    /// Counts refused values, and handles strikes that the store no longer has.
    fn propagate_records(&self, state_changes: &[StateChange]) {
        let is_refused = |change: &&StateChange| matches!(change, StateChange::Refused(_));
        self.metrics.values_refused.inc_by(state_changes.iter().filter(is_refused).count() as u64);
        self.steps.strikes.run("strikes", || {
            for state_change in state_changes {
                if let StateChange::StrikesExpired(fingerprint) = state_change {
                    self.strikes_expired(*fingerprint);
                }
            }
        });
    }

    fn config_changed(&self, version: u64) {
        self.metrics.config_version.set(version as i64);
        let routing = self.routing.borrow();
        let Some(config) = &routing.config else { return };
        let split = config.split_routes();
        self.splits.borrow_mut().retain(|name| split.contains(name));
        self.retry_budgets.borrow_mut().retain(|service| config.services.contains_key(service));
        self.quotas.set_tenants(&config.tenants);
        // Counts restart with each version, so that removed tenants leave no metric labels.
        self.metrics.quota_requests.reset();
    }

    fn quarantine_changed(&self) {
        let count = self.routing.borrow().quarantine.quarantined_count();
        self.metrics.quarantined.set(count as i64);
    }

    /// Handles the loss of a strike record in the store: its lease expired when it was due, or sooner
    /// because of an outage.
    fn strikes_expired(&self, fingerprint: Fingerprint) {
        let (settings, now) = (self.settings(), Instant::now());
        if self.routing.borrow_mut().quarantine.apply_expiry(fingerprint, &settings.name, now) {
            self.strike_reports.add(fingerprint, now);
        }
    }

    fn members_changed(&self) {
        let members = self.routing.borrow().members.count();
        self.metrics.members.set(members as i64);
        self.update_retry_bounds();
    }

    fn update_retry_bounds(&self) {
        let members = self.routing.borrow().members.count();
        let settings = self.settings();
        self.retry_budgets.borrow_mut().set_bounds(settings.retry_ratio, settings.retry_slack, members);
    }
}
