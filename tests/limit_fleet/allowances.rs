//! The exchange of allowances in the simulation: questions of instances to the heads of their halls, and of
//! heads to the owner of the limit.

use super::{Fleet, NETWORK_DELAY, TARGET, hall_name, name};
use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::accounts::{Head, LimitAccounts};
use lockloft::decision::capacity::rate_limit::ledger::HolderId;
use lockloft::model::allowances::{AllowanceAnswer, AllowanceRequest, GrantedAllowance};
use lockloft::model::usage::encode;
use rand::Rng;
use std::time::Duration;

/// Time for which a request waits for an allowance.
const WAIT: Duration = Duration::from_millis(250);
/// Time between two regular renewals of a hall's allowance.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the answer to an instance waits for a renewal.
const HOLD: Duration = Duration::from_millis(200);

enum Message {
    /// A question of an instance to the head of its hall.
    Ask { instance: usize, request: AllowanceRequest },
    /// The answer to it, and when the question was asked.
    Granted { instance: usize, targets: Vec<GrantedAllowance>, asked_at: Instant },
    /// A question of the head of a hall to the owner.
    Renew { hall: usize, owner: usize, request: AllowanceRequest },
    /// The answer to it.
    Renewed { hall: usize, targets: Vec<GrantedAllowance>, asked_at: Instant },
}

struct InTransit {
    due: Instant,
    sent: Instant,
    message: Message,
}

/// A question whose answer waits for a renewal.
struct Held {
    instance: usize,
    request: AllowanceRequest,
    asked_at: Instant,
    until: Instant,
}

/// State of the exchange.
#[derive(Default)]
pub struct Exchange {
    accounts: Vec<LimitAccounts>,
    messages: Vec<InTransit>,
    /// Requests that wait for an allowance: when they came, and the instance.
    waiting: Vec<(Instant, usize)>,
    /// Whether a question of an instance is under way.
    is_asking: Vec<bool>,
    /// Whether a question of a head is under way.
    is_renewing: Vec<bool>,
    renewal_due: Vec<Option<Instant>>,
    held: Vec<Vec<Held>>,
    /// Counts the heads that each hall has had.
    epochs: Vec<u32>,
}

impl Exchange {
    pub fn new(instances: usize, halls: usize) -> Self {
        Self {
            accounts: (0..halls).map(|_| LimitAccounts::default()).collect(),
            is_asking: vec![false; instances],
            is_renewing: vec![false; halls],
            renewal_due: vec![None; halls],
            held: (0..halls).map(|_| Vec::new()).collect(),
            epochs: vec![0; halls],
            ..Self::default()
        }
    }
}

impl Fleet {
    /// Has a request wait until the head answers.
    pub fn wait_for_allowance(&mut self, number: usize) {
        self.instances[number].limit.add_waiting(1);
        self.exchange.waiting.push((self.now, number));
    }

    pub fn exchange_allowances(&mut self) {
        self.ask();
        self.deliver_allowances();
        self.answer_held();
        self.renew();
        self.end_waits();
    }

    fn ask(&mut self) {
        for number in 0..self.instances.len() {
            if self.exchange.is_asking[number] || self.is_silent[number] {
                continue;
            }
            let Some(target_use) = self.instances[number].limit.begin_ask(TARGET, self.now) else { continue };
            let request = AllowanceRequest {
                from: name(number),
                hall: hall_name(self.instances[number].hall),
                epoch: 0,
                is_for_hall: false,
                targets: vec![target_use],
            };
            self.exchange.is_asking[number] = true;
            self.bytes += encode(&request).len();
            self.post(NETWORK_DELAY, Message::Ask { instance: number, request });
        }
    }

    /// Sends a message, which may be lost.
    fn post(&mut self, delay: Duration, message: Message) {
        if self.is_lost() {
            return self.forget(&message);
        }
        self.exchange.messages.push(InTransit { due: self.now + delay, sent: self.now, message });
    }

    /// Has the sender of a question that was lost, or whose answer was, ask again.
    fn forget(&mut self, message: &Message) {
        match message {
            Message::Ask { instance, .. } | Message::Granted { instance, .. } => {
                self.exchange.is_asking[*instance] = false;
            }
            Message::Renew { hall, .. } | Message::Renewed { hall, .. } => self.exchange.is_renewing[*hall] = false,
        }
    }

    fn deliver_allowances(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.exchange.messages);
        let (due, later) = messages.into_iter().partition(|message| message.due <= now);
        self.exchange.messages = later;
        for InTransit { sent, message, .. } in due {
            match message {
                Message::Ask { instance, request } => self.take_ask(instance, request, sent),
                Message::Granted { instance, targets, asked_at } => self.apply_grant(instance, &targets, asked_at),
                Message::Renew { hall, owner, request } => self.grant_to_hall(hall, owner, &request, sent),
                Message::Renewed { hall, targets, asked_at } => {
                    self.exchange.is_renewing[hall] = false;
                    let accounts = &mut self.exchange.accounts[hall];
                    accounts.apply_renewal(&targets, asked_at);
                    for held in &mut self.exchange.held[hall] {
                        held.until = if accounts.awaits_renewal(&held.request.targets) { held.until } else { now };
                    }
                }
            }
        }
    }

    fn take_ask(&mut self, instance: usize, request: AllowanceRequest, asked_at: Instant) {
        let hall = self.instances[instance].hall;
        let targets = self.with_head(hall, |accounts, head| accounts.grant_to_instance(&request, head));
        if self.exchange.accounts[hall].should_renew(&request.targets, self.now) {
            self.exchange.renewal_due[hall] = Some(self.now);
        }
        if !self.exchange.accounts[hall].awaits_renewal(&request.targets) {
            self.post_grant(instance, targets, asked_at);
            return;
        }
        self.exchange.held[hall].push(Held { instance, request, asked_at, until: self.now + HOLD });
    }

    fn answer_held(&mut self) {
        for hall in 0..self.heads.len() {
            let now = self.now;
            let held = std::mem::take(&mut self.exchange.held[hall]);
            let (due, later) = held.into_iter().partition(|held| held.until <= now);
            self.exchange.held[hall] = later;
            for Held { instance, request, asked_at, .. } in due {
                let targets = self.with_head(hall, |accounts, head| accounts.grant_again(&request, head));
                self.post_grant(instance, targets, asked_at);
            }
        }
    }

    fn post_grant(&mut self, instance: usize, targets: Vec<GrantedAllowance>, asked_at: Instant) {
        self.bytes += encode(&AllowanceAnswer { targets: targets.clone() }).len();
        self.post(NETWORK_DELAY, Message::Granted { instance, targets, asked_at });
    }

    fn apply_grant(&mut self, number: usize, targets: &[GrantedAllowance], asked_at: Instant) {
        self.exchange.is_asking[number] = false;
        let random = self.random.random();
        self.instances[number].limit.apply_allowance(targets.first().copied(), random, asked_at, self.now);
        let (answered, waiting) = std::mem::take(&mut self.exchange.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|(since, instance)| *instance == number && *since <= asked_at);
        self.exchange.waiting = waiting;
        for _ in answered {
            self.instances[number].limit.add_waiting(-1);
            self.send_or_limit(number);
        }
    }

    /// Ends the waits of requests that have got no answer in time.
    fn end_waits(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.exchange.waiting);
        let (late, waiting) = waiting.into_iter().partition(|(since, _)| now - *since > WAIT);
        self.exchange.waiting = waiting;
        let late: Vec<(Instant, usize)> = late;
        for (_, number) in late {
            self.exchange.is_asking[number] = false;
            let limit = &mut self.instances[number].limit;
            limit.add_waiting(-1);
            limit.apply_allowance(None, 0.5, now, now);
            self.send_or_limit(number);
        }
    }

    fn renew(&mut self) {
        for hall in 0..self.heads.len() {
            let due = self.exchange.renewal_due[hall].get_or_insert(self.now + RENEW_INTERVAL.mul_f64(0.1));
            if *due > self.now || self.exchange.is_renewing[hall] {
                continue;
            }
            self.exchange.renewal_due[hall] = Some(self.now + RENEW_INTERVAL);
            let renewals = self.with_head(hall, |accounts, head| accounts.renewals(head, |_| false));
            for (owner, targets) in renewals {
                let owner = (0..self.heads.len()).find(|number| hall_name(*number) == owner).unwrap();
                let request =
                    AllowanceRequest { from: name(hall), hall: hall_name(hall), epoch: 0, is_for_hall: true, targets };
                self.bytes += encode(&request).len();
                if self.are_connected(hall, owner) {
                    self.exchange.is_renewing[hall] = true;
                    self.post(self.hall_delay, Message::Renew { hall, owner, request });
                }
            }
        }
    }

    fn grant_to_hall(&mut self, hall: usize, owner: usize, request: &AllowanceRequest, asked_at: Instant) {
        let targets = self.with_head(owner, |accounts, head| accounts.grant_to_hall(request, head));
        self.bytes += encode(&AllowanceAnswer { targets: targets.clone() }).len();
        self.post(self.hall_delay, Message::Renewed { hall, targets, asked_at });
    }

    /// Has another instance become the head of a hall, which knows nothing yet.
    pub fn forget_accounts(&mut self, hall: usize) {
        self.exchange.accounts[hall] = LimitAccounts::default();
        self.exchange.held[hall].clear();
        self.exchange.is_renewing[hall] = false;
        self.exchange.epochs[hall] += 1;
        let is_of_hall = |message: &Message| match message {
            Message::Ask { .. } | Message::Granted { .. } => false,
            Message::Renew { hall: from, .. } | Message::Renewed { hall: from, .. } => *from == hall,
        };
        self.exchange.messages.retain(|message| !is_of_hall(&message.message));
    }

    fn with_head<T>(&mut self, hall: usize, access: impl FnOnce(&mut LimitAccounts, &Head<'_>) -> T) -> T {
        let id = HolderId { hall: hall_name(hall), name: name(hall), epoch: self.exchange.epochs[hall] };
        let head = Head { id: &id, members: &self.members, totals: &self.heads[hall], now: self.now };
        access(&mut self.exchange.accounts[hall], &head)
    }
}
