//! The faults of a soak: chosen by a seed, in series and overlapping.

use crate::partition::Cut;
use crate::proxy::Mode;
use crate::store::Trouble;
use crate::target_server::Misbehaviour;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// What is done to the system, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance stands still.
    Freeze(usize),
    /// An instance is stopped as planned and started again.
    Stop(usize),
    /// An instance reads its settings again.
    Reload(usize),
    /// The store's endpoint for an instance has a trouble.
    Store(usize, Trouble),
    /// All endpoints are slow.
    SlowStore,
    /// The store's history is compacted.
    Compact,
    /// All instances' keys are removed.
    Revoke,
    /// The network to a target has a trouble.
    Network(usize, Mode),
    /// A target misbehaves.
    Misbehave(usize, Misbehaviour),
    /// A target works ten times as long.
    SlowTarget(usize),
    /// A target drains, ends, and is replaced by one in its slow start.
    Replace(usize),
    /// A hall is evacuated.
    Evacuate(usize),
    /// A later configuration is written.
    Configure,
    /// The open connections of an instance to the store on which nothing has passed for so
    /// long go silent for good; new ones work.
    SilenceStore(usize, Duration),
    /// The open connections to a target go silent for good; new ones work.
    SilenceTarget(usize),
    /// An instance is cut off from all targets.
    Isolate(usize, Cut),
    /// A snapshot of the store is taken; at the end of the fault the store is restored from it.
    Restore,
    /// A target says something of itself.
    State(usize, Statement),
}

/// What a target says of itself in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// It takes so many requests in ten seconds of all instances.
    Limit(u32),
    /// It leaves; it is replaced once the fault is over.
    Leaving,
    /// It turns requests away, and wants no other of that instance for so many seconds.
    Pause(u32),
}

impl Fault {
    /// Whether it affects instances, their store or their view of it.
    pub fn affects_view(self) -> bool {
        use Fault::{Compact, Freeze, Kill, Restore, Revoke, SilenceStore, SlowStore, Stop, Store};
        matches!(
            self,
            Kill(_) | Freeze(_) | Stop(_) | Store(..) | SlowStore | Compact | Restore | Revoke | SilenceStore(..)
        )
    }

    /// The instance whose process it is done to.
    pub fn instance(self) -> Option<usize> {
        match self {
            Self::Kill(instance)
            | Self::Freeze(instance)
            | Self::Stop(instance)
            | Self::Reload(instance)
            | Self::Isolate(instance, _) => Some(instance),
            _ => None,
        }
    }
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When it begins, from the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// How many there are of what faults are done to.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Halls.
    pub halls: usize,
}

/// The faults of a seed within a time; the last fifth stays calm.
pub fn plan(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time.mul_f64(0.8) {
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        planned.push(Planned { at, lasts, fault: draw(&mut random, size) });
        // A short gap makes faults overlap, a long one lets them heal.
        at += Duration::from_millis(random.random_range(50..900));
    }
    planned
}

/// Connections that go silent and configurations that they may hide, beside the faults of a
/// seed and independent of them, within a time; the last fifth stays calm.
pub fn plan_silences(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed ^ SILENCES);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < time.mul_f64(0.8) {
        planned.push(Planned { at, lasts: Duration::ZERO, fault: draw_silence(&mut random, size) });
        at += Duration::from_millis(random.random_range(200..2_000));
    }
    planned
}

/// What targets say of themselves, beside the faults of a seed and independent of them, within a time;
/// the last fifth stays calm.
pub fn plan_statements(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed ^ STATEMENTS);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(1_000);
    while at < time.mul_f64(0.5) {
        let target = random.random_range(0..size.targets);
        let statement = match random.random_range(0..4) {
            0 | 1 => Statement::Limit(random.random_range(10..80)),
            2 => Statement::Leaving,
            _ => Statement::Pause(random.random_range(2..4)),
        };
        let lasts = Duration::from_millis(random.random_range(3_500..8_000)).min(time.mul_f64(0.8) - at);
        planned.push(Planned { at, lasts, fault: Fault::State(target, statement) });
        at += Duration::from_millis(random.random_range(500..2_500));
    }
    planned
}

/// Restores of the store within a time, planned independently of the other faults of a seed; none
/// begins in the last 30 % of it.
pub fn plan_restores(seed: u64, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed ^ RESTORES);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(1_000);
    while at < time.mul_f64(0.7) {
        let lasts = Duration::from_millis(random.random_range(300..3_000));
        planned.push(Planned { at, lasts, fault: Fault::Restore });
        at += lasts + Duration::from_millis(random.random_range(200..4_000));
    }
    planned
}

/// Instances that are cut off from all targets, beside the faults of a seed and independent of them, within
/// a time: one, half, all but one or all at once; the last fifth stays calm.
pub fn plan_isolations(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed ^ ISOLATIONS);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(800);
    while at < time.mul_f64(0.7) {
        let lasts = Duration::from_millis(random.random_range(500..6_000)).min(time.mul_f64(0.8) - at);
        let cut = CUTS[random.random_range(0..CUTS.len())];
        let count = [1, size.instances / 2, size.instances - 1, size.instances][random.random_range(0..4)];
        let first = random.random_range(0..size.instances);
        let instances = (first..first + count).map(|instance| instance % size.instances);
        planned.extend(instances.map(|instance| Planned { at, lasts, fault: Fault::Isolate(instance, cut) }));
        at += lasts + Duration::from_millis(random.random_range(100..2_000));
    }
    planned
}

/// Planned stops of all instances in turn, beside the faults of a seed and independent of them, within a time;
/// the last fifth stays calm. One may begin before the one before has ended.
pub fn plan_stops(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed ^ STOPS);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(1_500);
    for instance in (0..size.instances).cycle() {
        if at >= time.mul_f64(0.8) {
            break;
        }
        planned.push(Planned { at, lasts: Duration::ZERO, fault: Fault::Stop(instance) });
        at += Duration::from_millis(random.random_range(400..2_500));
    }
    planned
}

fn draw_silence(random: &mut StdRng, size: Size) -> Fault {
    let instance = random.random_range(0..size.instances);
    match random.random_range(0..4) {
        0 => Fault::SilenceTarget(random.random_range(0..size.targets)),
        1 => Fault::Configure,
        2 => Fault::SilenceStore(instance, Duration::ZERO),
        _ => Fault::SilenceStore(instance, QUIET),
    }
}

/// Keeps the draws of statements apart from those of other faults.
const STATEMENTS: u64 = 0x7a1d_0c42;
/// Keeps the draws of isolations apart from those of other faults.
const ISOLATIONS: u64 = 0x0150_1a7e;
/// Keeps the draws of restores apart from those of other faults.
const RESTORES: u64 = 0x0e7a_5b1d;
/// Keeps the draws of stops in turn apart from those of other faults.
const STOPS: u64 = 0x0057_0b5e;
/// Keeps the draws of silences apart from those of other faults.
const SILENCES: u64 = 0x5113_0ce5;
/// Time without a byte that leaves out a connection which was used just now.
const QUIET: Duration = Duration::from_millis(300);

const CUTS: [Cut; 3] = [Cut::Silent, Cut::Reset, Cut::RefuseNew];
const TROUBLES: [Trouble; 5] = [Trouble::Silent, Trouble::Busy, Trouble::TooMany, Trouble::Reset, Trouble::AnswersLost];
const NETWORK_MODES: [Mode; 4] = [Mode::Delay(Duration::from_millis(150)), Mode::Silent, Mode::SilentBack, Mode::Reset];
const MISBEHAVIOURS: [Misbehaviour; 12] = [
    Misbehaviour::LoseAnswer,
    Misbehaviour::NoAnswer,
    Misbehaviour::SurplusAnswer,
    Misbehaviour::LateSurplusAnswer,
    Misbehaviour::UnframedReset,
    Misbehaviour::AnswerEarly,
    Misbehaviour::Truncate,
    Misbehaviour::Unsigned,
    Misbehaviour::WrongId,
    Misbehaviour::Garbage,
    Misbehaviour::ServerError,
    Misbehaviour::Full,
];

fn draw(random: &mut StdRng, size: Size) -> Fault {
    let instance = random.random_range(0..size.instances);
    let target = random.random_range(0..size.targets);
    match random.random_range(0..16) {
        0 => Fault::Kill(instance),
        1 => Fault::Freeze(instance),
        2 | 3 => Fault::Stop(instance),
        4 => Fault::Reload(instance),
        5 | 6 => Fault::Store(instance, *TROUBLES.choose(random).expect("there are some")),
        7 => Fault::SlowStore,
        8 => [Fault::Compact, Fault::Revoke][random.random_range(0..2)],
        9 | 10 => Fault::Network(target, *NETWORK_MODES.choose(random).expect("there are some")),
        11 | 12 => Fault::Misbehave(target, *MISBEHAVIOURS.choose(random).expect("there are some")),
        13 => {
            [Fault::SlowTarget(target), Fault::Evacuate(random.random_range(0..size.halls))][random.random_range(0..2)]
        }
        14 => Fault::Replace(target),
        _ => Fault::Configure,
    }
}
