//! The steps that a site of the model takes, and how often each is drawn.

use super::life::RELAYS;
use proptest::prelude::*;

/// A step. Instances and slots are numbers; times are milliseconds.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes.
    Wait(u16),
    /// A later configuration, small or large.
    Configure(bool),
    /// A target of a service starts at one of a few addresses; the one before is gone.
    StartTarget(u8, u8),
    /// The target of an address is gone.
    EndTarget(u8),
    /// A target writes its registration again.
    Heartbeat(u8),
    /// The hall's evacuation begins or ends.
    Evacuate(bool),
    /// The store forgets its history.
    Compact,
    /// The store takes a snapshot.
    Snapshot,
    /// The store is restored from its last snapshot, if any, with or without the leases in it; the
    /// operator and the targets repeat their lost writes after this delay.
    Restore(bool, u16),
    /// Nothing passes between an instance and the store.
    Cut(usize),
    /// It passes again.
    Heal(usize),
    /// The store refuses an instance's calls, or no longer.
    Busy(usize, bool),
    /// Large answers of the store are this long under way.
    SlowStore(usize, u16),
    /// A watch on its way to the store is this much later than other calls.
    Reorder(usize, u16),
    /// Time between pages of a list.
    PageGap(usize, u16),
    /// Questions to peers, heads and bodies of the answers are this long under way.
    SlowPeers(usize, u16, u16, u16),
    /// No peer's answer arrives, or each does again.
    CutPeers(usize, bool),
    /// A value of the next answer of a peer cannot be decoded.
    Garble(usize),
    /// The next answer to a watch is lost.
    LoseAnswer(usize),
    /// The connection of the watch under way falls silent, without a word; others work.
    SilenceWatch(usize),
    /// The next call but a watch or a list falls on a silent connection.
    SilenceCall(usize),
    /// The events of the next answer to a watch come twice.
    Double(usize),
    /// The process stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// All instances are suspended while the configuration changes: time passes, but not on their
    /// steady clock.
    Suspend(u16),
    /// The process ends.
    Kill(usize),
    /// A process starts.
    Start(usize),
}

/// Any step.
pub fn step() -> impl Strategy<Value = Step> {
    let one = || 0..RELAYS.len();
    prop_oneof![
        8 => (1u16..1_500).prop_map(Step::Wait),
        2 => (1_500u16..6_000).prop_map(Step::Wait),
        4 => any::<bool>().prop_map(Step::Configure),
        4 => (0u8..3, 0u8..2).prop_map(|(slot, service)| Step::StartTarget(slot, service)),
        3 => (0u8..3).prop_map(Step::EndTarget),
        2 => (0u8..3).prop_map(Step::Heartbeat),
        2 => any::<bool>().prop_map(Step::Evacuate),
        2 => Just(Step::Compact),
        3 => Just(Step::Snapshot),
        3 => (any::<bool>(), 0u16..1_500).prop_map(|(keeps_leases, delay)| Step::Restore(keeps_leases, delay)),
        2 => one().prop_map(Step::Cut),
        2 => one().prop_map(Step::Heal),
        1 => (one(), any::<bool>()).prop_map(|(one, on)| Step::Busy(one, on)),
        2 => (one(), 0u16..4_000).prop_map(|(one, body)| Step::SlowStore(one, body)),
        1 => (one(), 0u16..80).prop_map(|(one, late)| Step::Reorder(one, late)),
        1 => (one(), 0u16..500).prop_map(|(one, gap)| Step::PageGap(one, gap)),
        2 => (one(), 0u16..300, 0u16..300, 0u16..3_000).prop_map(|(o, up, down, body)| Step::SlowPeers(o, up, down, body)),
        1 => (one(), any::<bool>()).prop_map(|(one, on)| Step::CutPeers(one, on)),
        2 => one().prop_map(Step::Garble),
        1 => one().prop_map(Step::LoseAnswer),
        2 => one().prop_map(Step::SilenceWatch),
        1 => one().prop_map(Step::SilenceCall),
        1 => one().prop_map(Step::Double),
        2 => one().prop_map(Step::Freeze),
        2 => one().prop_map(Step::Thaw),
        1 => (1u16..6_000).prop_map(Step::Suspend),
        1 => one().prop_map(Step::Kill),
        2 => one().prop_map(Step::Start),
    ]
}
