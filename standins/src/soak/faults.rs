//! The faults of a soak: chosen by a seed, in series and overlapping.

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
    /// The store forgets its history.
    Forget,
    /// All instances' keys are taken away.
    Revoke,
    /// The way to a target has a trouble.
    Way(usize, Mode),
    /// A target misbehaves.
    Misbehave(usize, Misbehaviour),
    /// A target works ten times as long.
    SlowTarget(usize),
    /// A target drains, goes, and comes back cold under another identity.
    Replace(usize),
    /// A hall is evacuated.
    Evacuate(usize),
    /// A later configuration is written.
    Configure,
}

impl Fault {
    /// Whether it strikes instances, their store or what they may know of it.
    pub fn is_about_knowledge(self) -> bool {
        use Fault::{Forget, Freeze, Kill, Revoke, SlowStore, Stop, Store};
        matches!(self, Kill(_) | Freeze(_) | Stop(_) | Store(..) | SlowStore | Forget | Revoke)
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

/// How much there is to strike.
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

fn draw(random: &mut StdRng, size: Size) -> Fault {
    let instance = random.random_range(0..size.instances);
    let target = random.random_range(0..size.targets);
    let troubles = [Trouble::Silent, Trouble::Busy, Trouble::TooMany, Trouble::Reset, Trouble::AnswersLost];
    let ways = [Mode::Delay(Duration::from_millis(150)), Mode::Silent, Mode::SilentBack, Mode::Reset];
    let misbehaviours = [
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
    match random.random_range(0..16) {
        0 => Fault::Kill(instance),
        1 => Fault::Freeze(instance),
        2 | 3 => Fault::Stop(instance),
        4 => Fault::Reload(instance),
        5 | 6 => Fault::Store(instance, *troubles.choose(random).expect("there are some")),
        7 => Fault::SlowStore,
        8 => [Fault::Forget, Fault::Revoke][random.random_range(0..2)],
        9 | 10 => Fault::Way(target, *ways.choose(random).expect("there are some")),
        11 | 12 => Fault::Misbehave(target, *misbehaviours.choose(random).expect("there are some")),
        13 => {
            [Fault::SlowTarget(target), Fault::Evacuate(random.random_range(0..size.halls))][random.random_range(0..2)]
        }
        14 => Fault::Replace(target),
        _ => Fault::Configure,
    }
}
