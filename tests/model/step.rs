//! The steps of the simulation, and how often each is drawn.

use super::process::RELAYS;
use proptest::prelude::*;

/// A step. Instances and slots are given by index, times in milliseconds.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time advances.
    Wait(u16),
    /// A later configuration, small or large.
    Configure(bool),
    /// A target of a service starts at the address of a slot, and replaces the one before.
    StartTarget(u8, u8),
    /// The target of a slot is deregistered.
    EndTarget(u8),
    /// A target writes its registration again.
    Heartbeat(u8),
    /// The hall's evacuation begins or ends.
    Evacuate(bool),
    /// The store compacts its history.
    Compact,
    /// The store takes a snapshot.
    Snapshot,
    /// The store is restored from its last snapshot, if any, with or without the leases in it; the
    /// operator and the targets repeat their lost writes after this delay.
    Restore(bool, u16),
    /// As `Restore`, but the store reports no later era.
    RestoreUnmarked(bool, u16),
    /// The link between an instance and the store is cut.
    Cut(usize),
    /// The link to the store works again.
    Heal(usize),
    /// The store refuses an instance's calls, or accepts them again.
    RefuseCalls(usize, bool),
    /// The bodies of responses to watches, and of the pages of a list, take this long to arrive.
    SlowStore(usize, u16),
    /// Watches take this much longer to reach the store than other calls.
    DelayWatches(usize, u16),
    /// The pages of a list are requested this long after one another.
    PageGap(usize, u16),
    /// Requests of an instance to peers, and the heads and bodies of their responses, take this long to
    /// arrive.
    SlowPeers(usize, u16, u16, u16),
    /// No response of a peer arrives, or all arrive again.
    CutPeers(usize, bool),
    /// A value of the next response of a peer cannot be decoded.
    Corrupt(usize),
    /// The next response to a watch is lost.
    LoseResponse(usize),
    /// The connection of the pending watch stops delivering data without an error; others work.
    SilenceWatch(usize),
    /// The next call other than a watch or a list is sent on a connection that delivers no data, so it
    /// gets no response.
    SilenceCall(usize),
    /// The events of the next response to a watch are duplicated.
    Duplicate(usize),
    /// The process is frozen.
    Freeze(usize),
    /// The process is thawed.
    Thaw(usize),
    /// All instances are suspended while the configuration changes: time advances, but not on their
    /// monotonic clock.
    Suspend(u16),
    /// The process is killed.
    Kill(usize),
    /// A process starts.
    Start(usize),
}

/// Any step.
pub fn step() -> impl Strategy<Value = Step> {
    let index = || 0..RELAYS.len();
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
        2 => index().prop_map(Step::Cut),
        2 => index().prop_map(Step::Heal),
        1 => (index(), any::<bool>()).prop_map(|(index, on)| Step::RefuseCalls(index, on)),
        2 => (index(), 0u16..4_000).prop_map(|(index, body)| Step::SlowStore(index, body)),
        1 => (index(), 0u16..80).prop_map(|(index, delay)| Step::DelayWatches(index, delay)),
        1 => (index(), 0u16..500).prop_map(|(index, gap)| Step::PageGap(index, gap)),
        2 => (index(), 0u16..300, 0u16..300, 0u16..3_000)
            .prop_map(|(index, up, down, body)| Step::SlowPeers(index, up, down, body)),
        1 => (index(), any::<bool>()).prop_map(|(index, on)| Step::CutPeers(index, on)),
        2 => index().prop_map(Step::Corrupt),
        1 => index().prop_map(Step::LoseResponse),
        2 => index().prop_map(Step::SilenceWatch),
        1 => index().prop_map(Step::SilenceCall),
        1 => index().prop_map(Step::Duplicate),
        2 => index().prop_map(Step::Freeze),
        2 => index().prop_map(Step::Thaw),
        1 => (1u16..6_000).prop_map(Step::Suspend),
        1 => index().prop_map(Step::Kill),
        2 => index().prop_map(Step::Start),
    ]
}
