//! Admission: a request gets a slot of a target of this hall, waits for one
//! in the queue, or is refused at once.

use crate::decision::spread::{Field, NoTarget};
use crate::decision::{Ask, excluded};
use crate::failure::Failure;
use crate::instance::Instance;
use crate::load::TargetState;
use crate::policy::Action;
use crate::queue::{Ticket, Wake};
use crate::quota::LimitState;
use crate::target::TargetSet;
use crate::traffic::Traffic;
use crate::view::{Route, View};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the slot of a broken-off exchange stays taken: the target needs
/// a moment to see the cancellation.
const CANCEL_GRACE: Duration = Duration::from_millis(100);
/// Service time assumed before any was observed.
const ASSUMED_SERVICE: Duration = Duration::from_millis(20);
/// Shortest time that a refused caller is told to wait.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// A slot of a target. Dropped, it is free for the next request.
pub struct Permit {
    /// Position of the target in the service.
    pub position: usize,
    /// The target.
    pub target: Arc<TargetState>,
    limits: Vec<Arc<LimitState>>,
    /// The service's traffic.
    pub traffic: Arc<Traffic>,
    cancelled: bool,
}

impl Permit {
    /// Says that the exchange broke off: its slot is freed a little later.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let target = self.target.clone();
        let limits = std::mem::take(&mut self.limits);
        let traffic = self.traffic.clone();
        let free = move || {
            target.give_back();
            limits.iter().for_each(|l| l.give_back());
            traffic.queue.wake();
        };
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if self.cancelled => {
                runtime.spawn(async move {
                    tokio::time::sleep(CANCEL_GRACE).await;
                    free();
                });
            }
            _ => free(),
        }
    }
}

/// What admission needs to know of a request.
pub struct Entrant<'a> {
    /// The view it is decided on.
    pub view: &'a View,
    /// What is asked for.
    pub ask: &'a Ask,
    /// Queue priority.
    pub priority: u8,
    /// When its answer has to be there.
    pub deadline: Instant,
    /// Longest expected wait that is worth queueing for.
    pub patience: Duration,
    /// Targets that failed it already, by position in the service.
    pub avoid: &'a TargetSet,
}

impl Entrant<'_> {
    fn route(&self) -> &Route {
        &self.view.routes[self.ask.service]
    }

    /// The limit policies that select the request, with their places.
    fn limits(&self) -> Vec<usize> {
        let policies = self.route().policies.iter().enumerate();
        let limits = policies.filter(|(_, used)| {
            let policy = &self.view.world.policies[used.key];
            matches!(policy.action, Action::Limit(_)) && policy.requests.selects(&self.ask.labels)
        });
        limits.map(|(position, _)| position).collect()
    }

    /// Tries once to take a slot.
    ///
    /// # Errors
    /// [`NoTarget`] where there is none for it now.
    pub fn try_admit(&self, instance: &Instance) -> Result<Permit, NoTarget> {
        let route = self.route();
        let leased = instance.is_leased();
        let mut gone = excluded(self.view, self.ask);
        gone.union(self.avoid, route.targets.len());
        let first = self.first();
        if (first..first + route.own.len()).all(|i| gone.contains(i)) {
            return Err(NoTarget::None);
        }
        let limits = self.limits();
        for position in &limits {
            let used = &route.policies[*position];
            if !self.view.limits[used.key].has_room(leased) && self.bounds_flight(*position) {
                gone.union(&used.reach.targets, route.targets.len());
            }
        }
        if (first..first + route.own.len()).all(|i| gone.contains(i)) {
            return Err(NoTarget::Full);
        }
        let field = Field { targets: &route.own, first, gone: &gone, leased };
        let repeat = self.view.world.services[self.ask.service].repeat;
        let index = field.take(repeat, self.ask.seed)?;
        let target = route.own[index].clone();
        match self.take_limits(instance, &limits, first + index) {
            Some(limits) => {
                Ok(Permit { position: first + index, target, limits, traffic: route.traffic.clone(), cancelled: false })
            }
            None => {
                // Nobody is woken for this slot: whoever waits meets the same
                // limit, and the regular tick tries again.
                target.give_back();
                Err(NoTarget::Full)
            }
        }
    }

    /// Takes a place under every limit that covers the target; all or none.
    fn take_limits(&self, instance: &Instance, limits: &[usize], target: usize) -> Option<Vec<Arc<LimitState>>> {
        let mut taken = Vec::with_capacity(limits.len());
        for position in limits {
            let used = &self.route().policies[*position];
            if !used.reach.targets.contains(target) {
                continue;
            }
            if !self.take_limit(instance, *position, &mut taken) {
                taken.iter().for_each(|l: &Arc<LimitState>| l.give_back());
                return None;
            }
        }
        Some(taken)
    }

    fn bounds_flight(&self, position: usize) -> bool {
        let policy = &self.view.world.policies[self.route().policies[position].key];
        matches!(policy.action, Action::Limit(limit) if limit.flight.is_some())
    }

    fn take_limit(&self, instance: &Instance, position: usize, taken: &mut Vec<Arc<LimitState>>) -> bool {
        let used = &self.route().policies[position];
        let state = &self.view.limits[used.key];
        let Action::Limit(limit) = self.view.world.policies[used.key].action else { return true };
        if limit.flight.is_some() {
            if !state.try_take(instance.is_leased()) {
                return false;
            }
            taken.push(state.clone());
        }
        let Some(rate) = limit.rate else { return true };
        state.try_rate(f64::from(rate) * used.rate_part * instance.own_part())
    }

    fn first(&self) -> usize {
        let home = self.view.home.and_then(|h| self.route().hall(h));
        home.map_or(0, |h| h.first)
    }

    /// Slots of this instance's quota and those in use.
    fn slots(&self, instance: &Instance) -> (u32, u32) {
        let gone = TargetSet::default();
        let field =
            Field { targets: &self.route().own, first: self.first(), gone: &gone, leased: instance.is_leased() };
        field.slots()
    }

    /// A slot that nobody waits for.
    pub fn spare(&self, instance: &Instance) -> Option<Permit> {
        if !self.route().traffic.queue.is_empty() {
            return None;
        }
        self.try_admit(instance).ok()
    }

    /// Gets a slot, waiting in the queue where that can still be in time.
    ///
    /// # Errors
    /// A [`Failure`] whose outcome is "not run", at once when waiting is
    /// hopeless.
    pub async fn admit(&self, instance: &Instance) -> Result<Permit, Failure> {
        let queue = &self.route().traffic.queue;
        let ticket = queue.ticket(self.priority, self.deadline);
        if !queue.goes_after(&ticket) {
            match self.try_admit(instance) {
                Ok(permit) => return Ok(permit),
                Err(NoTarget::None) => return Err(Failure::NoPlace("no target of the hall takes new work")),
                Err(NoTarget::NoQuota) if !instance.expects_quota() => return Err(Failure::NoQuota),
                Err(_) => {}
            }
        }
        self.wait(instance, ticket).await
    }

    async fn wait(&self, instance: &Instance, ticket: Ticket) -> Result<Permit, Failure> {
        let queue = &self.route().traffic.queue;
        let service = &self.view.world.services[self.ask.service];
        let mut most = service.queue;
        loop {
            let wait = self.expected_wait(instance, queue.ahead(&ticket));
            if wait > self.patience || Instant::now() + wait + self.service_time() > self.deadline {
                return Err(Failure::Full { wait: wait.max(MIN_WAIT) });
            }
            let mut place = queue.join(ticket, most).map_err(|_| Failure::Full { wait: wait.max(MIN_WAIT) })?;
            // A slot may have come free between the last try and the joining.
            if queue.ahead(&ticket) == 0
                && let Ok(permit) = self.try_admit(instance)
            {
                return Ok(permit);
            }
            match tokio::time::timeout_at(self.deadline.into(), place.told()).await {
                Err(_) => return Err(Failure::Late),
                Ok(Wake::Shed) => return Err(Failure::Shed { wait: wait.max(MIN_WAIT) }),
                Ok(Wake::Try) if self.is_hopeless() => {
                    // The free slot is for the next in line.
                    queue.wake();
                    return Err(Failure::Late);
                }
                Ok(Wake::Try) => {}
            }
            match self.try_admit(instance) {
                Ok(permit) => return Ok(permit),
                Err(NoTarget::None) => return Err(Failure::NoPlace("no target of the hall takes new work")),
                Err(_) => most = usize::MAX,
            }
        }
    }

    /// Expected time at a target.
    fn service_time(&self) -> Duration {
        match self.route().traffic.took.micros() {
            0 => ASSUMED_SERVICE,
            micros => Duration::from_micros(micros),
        }
    }

    /// Whether an answer can no longer be there in time: a slot would be
    /// wasted on it.
    fn is_hopeless(&self) -> bool {
        let took = Duration::from_micros(self.route().traffic.took.micros());
        Instant::now() + took > self.deadline
    }

    /// Expected wait behind `ahead` others.
    fn expected_wait(&self, instance: &Instance, ahead: usize) -> Duration {
        let (slots, _) = self.slots(instance);
        self.service_time().mul_f64((ahead + 1) as f64 / f64::from(slots.max(1)))
    }
}
