//! What all tasks of an instance share.

mod change_log;

use crate::decision::retry::RetryBudget;
use crate::decision::routing::{Routing, StateChange};
use crate::decision::split::Splits;
use crate::platform::{HeaderNames, Platform};
use crate::settings::Settings;
use crate::store::health::StoreHealth;
use crate::store::view::StoreView;
use crate::store::{Event, Listing};
use crate::telemetry::log::Log;
use crate::telemetry::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Part of the allowed retry ratio that is used: views of what counts as a
/// request differ between us and the targets.
const RATIO_USED: f64 = 0.5;
/// Part of the allowed slack that all instances together may save up.
const SLACK_USED: f64 = 0.5;

/// An instance.
pub struct Instance<P: Platform> {
    /// Its settings; read again on a reload.
    pub settings: RefCell<Rc<Settings>>,
    /// The platform's store.
    pub store: P::Store,
    /// Header names.
    pub names: HeaderNames,
    /// The last known state of the store.
    pub view: RefCell<StoreView>,
    /// What it means.
    pub routing: RefCell<Routing>,
    /// Shares of split routes.
    pub splits: RefCell<Splits>,
    /// Paid second tries.
    pub retries: RefCell<RetryBudget>,
    /// Counters.
    pub metrics: Metrics,
    /// The log.
    pub log: Log,
    /// Set once this instance is told to stop.
    pub stopping: Cell<Option<Instant>>,
    /// Set once this instance takes no request any more and is about to end.
    pub ending: Cell<bool>,
    /// Requests of callers that are being worked on.
    pub active: Cell<u32>,
    /// When the last request of a caller came.
    pub last_request: Cell<Instant>,
    /// Bytes of request bodies held whole.
    pub held_bytes: Rc<Cell<u64>>,
    /// Whether a watch of the store is waiting.
    pub watching: Cell<bool>,
    /// Wakes the watch after the store was lost.
    pub store_back: Notify,
    /// Wakes peers that wait for a change of the view.
    pub view_changed: Notify,
    /// Wakes peers that wait to hear that the view is still current.
    pub view_confirmed: Notify,
    /// Wakes whoever waits for the signal to stop.
    pub stop_asked: Notify,
    /// Whether the store answers.
    pub health: StoreHealth,
}

impl<P: Platform> Instance<P> {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, store: P::Store, log: Log) -> Self {
        let routing = Routing::new(settings.halls.clone());
        Self {
            retries: RefCell::new(budget(&settings, 1)),
            settings: RefCell::new(Rc::new(settings)),
            store,
            names: P::headers(),
            view: RefCell::new(StoreView::default()),
            routing: RefCell::new(routing),
            splits: RefCell::new(Splits::default()),
            metrics: Metrics::default(),
            log,
            stopping: Cell::new(None),
            ending: Cell::new(false),
            active: Cell::new(0),
            last_request: Cell::new(Instant::now()),
            held_bytes: Rc::default(),
            watching: Cell::new(false),
            store_back: Notify::new(),
            view_changed: Notify::new(),
            view_confirmed: Notify::new(),
            stop_asked: Notify::new(),
            health: StoreHealth::default(),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.routing.borrow().config.is_some()
    }

    /// Takes in a list of the store's items.
    pub fn take_listing(&self, listing: Listing, source: &'static str) {
        let changes = self.view.borrow_mut().replace(listing);
        self.take_changes(&changes, source);
    }

    /// Takes in events of the store.
    pub fn take_events(&self, events: Vec<Event>, at: u64, source: &'static str) {
        let changes = self.view.borrow_mut().apply(events, at);
        self.take_changes(&changes, source);
    }

    fn take_changes(&self, changes: &[Event], source: &'static str) {
        if changes.is_empty() {
            return;
        }
        let now = Instant::now();
        let state_changes = self.routing.borrow_mut().apply::<P>(changes, now, self.health.grace().until(now));
        self.view_changed.notify_waiters();
        self.handle_changes(&state_changes, source);
    }

    fn handle_changes(&self, state_changes: &[StateChange], source: &'static str) {
        let revision = self.view.borrow().at();
        for state_change in state_changes {
            change_log::log_change(state_change, revision, source);
            match state_change {
                StateChange::Config(version) => self.config_changed(*version),
                StateChange::Member { .. } => self.members_changed(),
                _ => {}
            }
        }
    }

    fn config_changed(&self, version: u64) {
        self.metrics.config_version.set(version as i64);
        let routing = self.routing.borrow();
        let Some(config) = &routing.config else { return };
        let split = config.split_routes();
        self.splits.borrow_mut().retain(|name| split.contains(name));
    }

    fn members_changed(&self) {
        let members = self.routing.borrow().members.len();
        self.metrics.members.set(members as i64);
        let settings = self.settings();
        self.retries.borrow_mut().set_max_saved(max_saved(&settings, members));
    }

    /// Notes an answer of the store, whatever it said.
    pub fn mark_answered(&self) {
        if self.health.mark_answered() {
            // Whatever watch is waiting may have missed changes.
            self.store_back.notify_waiters();
        } else if self.watching.get() {
            // Nothing has changed, or the watch would have told.
            self.mark_current(Duration::ZERO);
        }
    }

    /// Notes that the view was current `age` ago.
    pub fn mark_current(&self, age: Duration) {
        self.health.mark_current(age);
        self.view_confirmed.notify_waiters();
    }

    /// Removes targets whose registrations did not come back after the store did.
    pub fn remove_expired(&self) {
        let state_changes = self.routing.borrow_mut().remove_expired(Instant::now());
        self.handle_changes(&state_changes, "lapse");
    }
}

/// A retry budget for one of `members` instances.
fn budget(settings: &Settings, members: usize) -> RetryBudget {
    RetryBudget::new(settings.retry_ratio * RATIO_USED, max_saved(settings, members))
}

fn max_saved(settings: &Settings, members: usize) -> f64 {
    settings.retry_slack * SLACK_USED / members.max(1) as f64
}
