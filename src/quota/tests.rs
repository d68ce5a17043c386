use super::{Ledger, Timing, deal, hall_share, reserve};
use crate::key::HallKey;
use crate::membership::{Addresses, Id, Member, Record, Seat};
use proptest::prelude::*;

/// Slots of the one divided thing.
const TOTAL: u32 = 7;
/// Bound of the longest time a request holds a slot, in milliseconds.
const MAX_HOLD: u64 = 4_000;
/// Real time of one step, in milliseconds.
const STEP: u64 = 100;
/// Instances that may take part.
const INSTANCES: usize = 4;

/// What happens in a step.
#[derive(Clone, Debug)]
enum Act {
    /// From now on its requests take so many thousandths of the longest time.
    Take(usize, u64),
    Die(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    CutPeers(usize, usize),
    CutPlatform(usize),
    HealAll,
    ListDrops,
    Nothing,
}

fn act() -> impl Strategy<Value = Act> {
    let one = || 0..INSTANCES;
    prop_oneof![
        4 => (one(), 1..=1_000_u64).prop_map(|(i, t)| Act::Take(i, t)),
        1 => one().prop_map(Act::Die),
        6 => one().prop_map(Act::Start),
        2 => one().prop_map(Act::Pause),
        3 => one().prop_map(Act::Resume),
        1 => one().prop_map(Act::Leave),
        3 => (one(), one()).prop_map(|(a, b)| Act::CutPeers(a, b)),
        2 => one().prop_map(Act::CutPlatform),
        1 => Just(Act::HealAll),
        1 => Just(Act::ListDrops),
        80 => Just(Act::Nothing),
    ]
}

struct Runner {
    ledger: Ledger,
    id: Id,
    /// Clock rate in per mille and offset in milliseconds.
    rate: u64,
    offset: u64,
    alive: bool,
    paused: bool,
    platform: bool,
    leaving: bool,
    /// How long its requests take, in thousandths of `hold`.
    time: u64,
    /// The longest time a request holds a slot, in milliseconds.
    hold: u64,
    /// Real times at which its requests end.
    flight: Vec<u64>,
    /// The version of the record it read last.
    version: u64,
}

impl Runner {
    fn new(number: usize, incarnation: u64, rate: u64, hold: u64) -> Self {
        let id = Id { name: format!("i{number}"), incarnation };
        let mut ledger = Ledger::new(id.clone(), Timing::default());
        ledger.set_longest(hold);
        Self {
            ledger,
            id,
            rate,
            offset: 1_000 * number as u64 + 1,
            alive: false,
            paused: false,
            platform: true,
            leaving: false,
            time: 1_000,
            hold,
            flight: Vec::new(),
            version: 0,
        }
    }

    fn clock(&self, real: u64) -> u64 {
        self.offset + real * self.rate / 1_000
    }

    fn runs(&self) -> bool {
        self.alive && !self.paused
    }

    fn part(&self, real: u64) -> super::Part {
        self.ledger.part(TOTAL, 0, self.hold, self.clock(real))
    }

    fn quota(&self, real: u64) -> u32 {
        let part = self.part(real);
        if self.clock(real) < self.ledger.lease_until() { part.full } else { part.reserve }
    }

    /// Sends as many requests as it may: the worst it can do.
    fn fill(&mut self, real: u64) {
        while self.runs() && !self.leaving && (self.flight.len() as u32) < self.quota(real) {
            self.flight.push(real + self.time * self.hold / 1_000);
        }
    }

    fn member(&self) -> Member {
        let any = "127.0.0.1:1".parse().unwrap();
        Member { id: self.id.clone(), addresses: Addresses { caller: any, relay: any, peer: any } }
    }
}

struct World {
    real: u64,
    runners: Vec<Runner>,
    record: Record,
    version: u64,
    cut: Vec<(usize, usize)>,
    /// Names of the dead that the list still shows.
    shown: Vec<String>,
    incarnations: u64,
}

impl World {
    fn new(rates: [u64; INSTANCES], hold: u64) -> Self {
        let runners = (0..INSTANCES).map(|i| Runner::new(i, 0, rates[i], hold)).collect();
        let (record, cut, shown) = (Record::default(), Vec::new(), Vec::new());
        Self { real: 0, runners, record, version: 0, cut, shown, incarnations: 0 }
    }

    fn apply(&mut self, act: &Act) {
        match *act {
            Act::Take(i, time) => self.runners[i].time = time,
            Act::Die(i) => {
                self.runners[i].alive = false;
                // The system closes a dead process's connections at once.
                self.runners[i].flight.clear();
                let name = self.runners[i].id.name.clone();
                self.shown.push(name);
            }
            Act::Start(i) => {
                // A name that the list still shows as the dead one's may be
                // used again: the new run is another member.
                if !self.runners[i].alive {
                    self.incarnations += 1;
                    let (rate, hold) = (self.runners[i].rate, self.runners[i].hold);
                    self.runners[i] = Runner::new(i, self.incarnations, rate, hold);
                    self.runners[i].alive = true;
                }
            }
            Act::Pause(i) => self.runners[i].paused = self.runners[i].alive,
            Act::Resume(i) => self.runners[i].paused = false,
            Act::Leave(i) => self.runners[i].leaving = self.runners[i].alive,
            Act::CutPeers(a, b) => self.cut.push((a.min(b), a.max(b))),
            Act::CutPlatform(i) => self.runners[i].platform = false,
            Act::HealAll => {
                self.cut.clear();
                self.runners.iter_mut().for_each(|r| r.platform = true);
            }
            Act::ListDrops => self.shown.clear(),
            Act::Nothing => {}
        }
    }

    fn step(&mut self) {
        self.real += STEP;
        for runner in &mut self.runners {
            let real = self.real;
            runner.flight.retain(|end| *end > real);
        }
        self.fill();
        for i in 0..INSTANCES {
            if self.runners[i].runs() {
                self.tick(i);
                self.fill();
            }
        }
        if self.real.is_multiple_of(1_000) {
            self.beats();
            self.fill();
        }
    }

    fn fill(&mut self) {
        let real = self.real;
        self.runners.iter_mut().for_each(|r| r.fill(real));
        assert!(self.used() <= TOTAL, "{} of {TOTAL} in use at {real} ms: {}", self.used(), self.describe());
    }

    /// What the membership actor and the ticker do.
    fn tick(&mut self, i: usize) {
        let (real, listed) = (self.real, self.listed());
        let runner = &mut self.runners[i];
        let now = runner.clock(real);
        let part = runner.part(real);
        if runner.flight.len() as u32 <= part.full && runner.ledger.confirmed() < runner.ledger.record().epoch() {
            runner.ledger.confirm(now);
        }
        if !runner.platform {
            return;
        }
        runner.ledger.note_list(&listed, now);
        let due = runner.ledger.due(now);
        let read = self.record.clone();
        let base = self.version;
        let runner = &mut self.runners[i];
        runner.version = base;
        runner.ledger.adopt(read.clone(), now);
        runner.ledger.confirm_platform(read.epoch(), now);
        let next = if runner.ledger.is_member() {
            match due {
                _ if runner.leaving && runner.flight.is_empty() => Some(runner.ledger.left()),
                due => due.filter(|d| d.epoch() == read.epoch() + 1),
            }
        } else if !runner.leaving && runner.flight.is_empty() {
            let released = runner.ledger.released(&read, &runner.id);
            let mut next = runner.ledger.joined(released.as_ref().unwrap_or(&read), runner.member());
            next.now.epoch = read.epoch() + 1;
            Some(next)
        } else {
            None
        };
        if runner.leaving && !runner.ledger.is_member() && runner.flight.is_empty() {
            // A planned stop is over: the process ends.
            runner.alive = false;
        }
        if let Some(next) = next {
            self.record = next.clone();
            self.version += 1;
            self.runners[i].ledger.adopt(next, now);
        }
    }

    fn listed(&self) -> Vec<String> {
        let alive = self.runners.iter().filter(|r| r.alive).map(|r| r.id.name.clone());
        alive.chain(self.shown.iter().cloned()).collect()
    }

    fn beats(&mut self) {
        for i in 0..INSTANCES {
            for j in 0..INSTANCES {
                let reach = !self.cut.contains(&(i.min(j), i.max(j)));
                if i != j && reach && self.runners[i].runs() && self.runners[j].runs() {
                    self.beat(i, j);
                }
            }
        }
    }

    fn beat(&mut self, i: usize, j: usize) {
        let sent = self.runners[i].clock(self.real);
        let (id, beat) = (self.runners[i].id.clone(), self.runners[i].ledger.beat());
        let now = self.runners[j].clock(self.real);
        let reply = self.runners[j].ledger.receive(&id, beat, now);
        let from = self.runners[j].id.clone();
        self.runners[i].ledger.answered(&from, sent, reply, sent);
        if self.runners[i].ledger.is_behind() {
            let record = self.runners[j].ledger.record().clone();
            self.runners[i].ledger.adopt(record, sent);
        }
    }

    fn describe(&self) -> String {
        let describe = |r: &Runner| {
            let part = r.part(self.real);
            let (now, epoch) = (r.clock(self.real), r.ledger.record().epoch());
            let leased = now < r.ledger.lease_until();
            format!(
                "\n{} alive {} paused {} epoch {epoch} settled {} {part:?} leased {leased} in flight {}",
                r.id,
                r.alive,
                r.paused,
                r.ledger.settled(),
                r.flight.len()
            )
        };
        self.runners.iter().map(describe).collect::<String>() + &format!("\n{:?}", self.record)
    }

    fn used(&self) -> u32 {
        self.runners.iter().map(|r| r.flight.len() as u32).sum()
    }
}

/// Cases of each property; PROPTEST_CASES asks for more.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

fn rates() -> impl Strategy<Value = [u64; INSTANCES]> {
    // The margin allows for rates that differ by a sixth.
    proptest::array::uniform4(950_u64..1_050)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// Whatever joins, dies, pauses, is cut off or has a clock of its own
    /// rate: the shares in use never add to more than the whole.
    #[test]
    fn shares_in_use_never_exceed_the_whole(
        rates in rates(),
        hold in prop_oneof![Just(STEP), STEP..MAX_HOLD],
        acts in proptest::collection::vec(act(), 200..800),
    ) {
        let mut world = World::new(rates, hold);
        for i in 0..INSTANCES - 1 {
            world.apply(&Act::Start(i));
        }
        for act in &acts {
            world.apply(act);
            world.step();
        }
    }

    /// The parts of a whole sum to it, whatever the seats and offset.
    #[test]
    fn dealt_parts_sum_to_the_whole(total in 0_u32..5_000, count in 1_usize..40, offset in 0_usize..100) {
        let seats = (0..count).map(|index| Seat { index, count });
        let sum: u32 = seats.clone().map(|s| deal(total, s, offset)).sum();
        prop_assert_eq!(sum, total);
        for seat in seats {
            let part = deal(total, seat, offset);
            prop_assert!(reserve(part, seat, offset) <= part);
        }
    }

    /// A smaller whole gives nobody more: what bounds a withheld reserve.
    #[test]
    fn dealing_is_monotone(total in 1_u32..5_000, less in 0_u32..100, count in 1_usize..40, index in 0_usize..40, offset in 0_usize..100) {
        let seat = Seat { index: index % count, count };
        let smaller = deal(total.saturating_sub(less), seat, offset);
        prop_assert!(smaller <= deal(total, seat, offset));
        prop_assert!(reserve(smaller, seat, offset) <= reserve(deal(total, seat, offset), seat, offset));
    }

    /// Halls' parts of a limit sum to the limit.
    #[test]
    fn hall_shares_sum_to_the_limit(limit in 0_u32..10_000, slots in proptest::collection::vec(1_u32..200, 1..24)) {
        let halls: Vec<(HallKey, u32)> = slots.iter().enumerate().map(|(i, s)| (HallKey(i as u16), *s)).collect();
        let sum: u32 = halls.iter().map(|(h, _)| hall_share(limit, &halls, *h)).sum();
        prop_assert_eq!(sum, limit);
    }
}

/// Two members, settled, each holding its lease.
fn pair() -> World {
    let mut world = World::new([1_000; INSTANCES], 1_000);
    world.apply(&Act::Start(0));
    world.apply(&Act::Start(1));
    for _ in 0..60 {
        world.step();
    }
    world
}

#[test]
fn a_settled_pair_shares_the_whole() {
    let world = pair();
    let full: u32 = world.runners[..2].iter().map(|r| r.quota(world.real)).sum();
    assert_eq!(full, TOTAL);
}

#[test]
fn a_member_cut_off_from_all_keeps_its_reserve_only() {
    let mut world = pair();
    world.apply(&Act::CutPeers(0, 1));
    world.apply(&Act::CutPlatform(0));
    for _ in 0..120 {
        world.step();
    }
    let cut_off = &world.runners[0];
    assert_eq!(cut_off.quota(world.real), cut_off.part(world.real).reserve);
    assert!(cut_off.quota(world.real) >= 1);
    assert!(world.runners[1].quota(world.real) + cut_off.quota(world.real) <= TOTAL);
    assert!(world.runners[1].quota(world.real) >= 4, "the sibling takes over the lapsed share");
}

#[test]
fn without_the_platform_leases_go_on() {
    let mut world = pair();
    for i in 0..INSTANCES {
        world.apply(&Act::CutPlatform(i));
    }
    for _ in 0..100 {
        world.step();
    }
    let full: u32 = world.runners[..2].iter().map(|r| r.quota(world.real)).sum();
    assert_eq!(full, TOTAL);
}

#[test]
fn a_reserve_is_released_when_the_list_drops_the_dead() {
    let mut world = pair();
    world.apply(&Act::Die(1));
    for _ in 0..60 {
        world.step();
    }
    let before = world.runners[0].quota(world.real);
    assert!(before < TOTAL, "the reserve of the dead stays out of use");
    world.apply(&Act::ListDrops);
    for _ in 0..150 {
        world.step();
    }
    assert_eq!(world.runners[0].quota(world.real), TOTAL);
}

#[test]
fn a_planned_leave_hands_over_at_once() {
    let mut world = pair();
    world.apply(&Act::Leave(1));
    for _ in 0..14 {
        world.step();
    }
    assert_eq!(world.runners[0].quota(world.real), TOTAL);
}

/// A joiner that reaches the platform but none of the members must not take
/// out members that go on promising each other their leases.
#[test]
fn a_joiner_that_hears_nobody_takes_nobody_out() {
    let mut world = pair();
    for i in [0, 1] {
        world.apply(&Act::CutPlatform(i));
        world.apply(&Act::CutPeers(i, 2));
    }
    world.apply(&Act::Start(2));
    for _ in 0..300 {
        world.step();
    }
    let full: u32 = world.runners[..2].iter().map(|r| r.quota(world.real)).sum();
    assert_eq!(full, TOTAL, "the members serve on");
    assert_eq!(world.runners[2].quota(world.real), 0);
    assert_eq!(world.record.now.members.len(), 3, "nobody was taken out");
}
