//! Callers: address blocks, where they are, and the table that finds them.

use crate::key::{CallerKey, Key, RegionKey};
use crate::label::LabelSet;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::Duration;

/// A declared group of caller address blocks.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name, unique among caller groups.
    pub name: String,
    /// The region these callers are nearest to.
    pub region: RegionKey,
    /// One-way delay to that region.
    pub delay: Duration,
    /// Own labels with the implicit `caller`.
    pub labels: LabelSet,
}

/// No group: the address is in no declared block.
const NOBODY: u16 = u16::MAX;
/// Positions of the first-level index: one for each leading 16 bits.
const HEADS: usize = 1 << 16;

/// Finds the group of an address by its longest declared prefix.
///
/// Nested blocks are flattened into disjoint runs at build time, so a look-up
/// is one index step and a binary search among the runs of 16 leading bits.
/// IPv4 runs take 6 bytes each, IPv6 runs 18.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    heads: Vec<u32>,
    starts: Vec<u32>,
    groups: Vec<u16>,
    wide_starts: Vec<u128>,
    wide_groups: Vec<u16>,
    blocks: usize,
}

impl BlockTable {
    /// Builds the table from blocks in any order. Of two equal blocks the
    /// later wins; the declaration check refuses such pairs before.
    pub fn new(blocks: &[(IpNet, CallerKey)]) -> Self {
        let mut narrow = Vec::new();
        let mut wide = Vec::new();
        for (net, caller) in blocks {
            match net {
                IpNet::V4(n) => {
                    narrow.push(Span::new(u32::from(n.network()).into(), u32::from(n.broadcast()).into(), *caller))
                }
                IpNet::V6(n) => wide.push(Span::new(u128::from(n.network()), u128::from(n.broadcast()), *caller)),
            }
        }
        let narrow = flatten(narrow, u128::from(u32::MAX));
        let wide = flatten(wide, u128::MAX);
        let starts: Vec<u32> = narrow.iter().map(|r| r.start as u32).collect();
        Self {
            heads: index_heads(&starts),
            groups: narrow.iter().map(|r| r.group).collect(),
            starts,
            wide_starts: wide.iter().map(|r| r.start).collect(),
            wide_groups: wide.iter().map(|r| r.group).collect(),
            blocks: blocks.len(),
        }
    }

    /// The group of `address`, `None` where no block covers it.
    pub fn find(&self, address: IpAddr) -> Option<CallerKey> {
        let group = match address {
            IpAddr::V4(a) => self.find_narrow(a.into()),
            IpAddr::V6(a) => match a.to_ipv4_mapped() {
                Some(v4) => self.find_narrow(v4.into()),
                None => self.find_wide(a.into()),
            },
        };
        (group != NOBODY).then_some(CallerKey(group))
    }

    fn find_narrow(&self, address: u32) -> u16 {
        if self.starts.is_empty() {
            return NOBODY;
        }
        let head = (address >> 16) as usize;
        let from = self.heads[head] as usize;
        let to = self.heads[head + 1] as usize;
        let after = from + self.starts[from..to].partition_point(|s| *s <= address);
        if after == 0 { NOBODY } else { self.groups[after - 1] }
    }

    fn find_wide(&self, address: u128) -> u16 {
        let after = self.wide_starts.partition_point(|s| *s <= address);
        if after == 0 { NOBODY } else { self.wide_groups[after - 1] }
    }

    /// The number of blocks the table was built from.
    pub fn len(&self) -> usize {
        self.blocks
    }

    /// Whether no block was declared.
    pub fn is_empty(&self) -> bool {
        self.blocks == 0
    }

    /// Heap memory of the table, in bytes.
    pub fn bytes(&self) -> usize {
        self.heads.len() * 4
            + self.starts.len() * 4
            + self.groups.len() * 2
            + self.wide_starts.len() * 16
            + self.wide_groups.len() * 2
    }
}

#[derive(Clone, Copy)]
struct Span {
    start: u128,
    end: u128,
    group: u16,
}

impl Span {
    fn new(start: u128, end: u128, caller: CallerKey) -> Self {
        Self { start, end, group: caller.index() as u16 }
    }
}

struct Run {
    start: u128,
    group: u16,
}

/// Turns nested spans into runs: each run holds from its start to the next.
/// Prefix blocks either nest or are disjoint, so a stack of open ones is enough.
fn flatten(mut spans: Vec<Span>, last: u128) -> Vec<Run> {
    spans.sort_by_key(|s| (s.start, std::cmp::Reverse(s.end)));
    let mut runs: Vec<Run> = Vec::with_capacity(spans.len() + 1);
    let mut open: Vec<Span> = Vec::new();
    for span in spans {
        close_before(&mut open, &mut runs, span.start, last);
        push_run(&mut runs, span.start, span.group);
        open.push(span);
    }
    close_before(&mut open, &mut runs, u128::MAX, last);
    runs
}

fn close_before(open: &mut Vec<Span>, runs: &mut Vec<Run>, start: u128, last: u128) {
    while let Some(top) = open.last().copied() {
        if top.end >= start && start != u128::MAX {
            return;
        }
        open.pop();
        if top.end == last {
            continue;
        }
        let outer = open.last().map_or(NOBODY, |s| s.group);
        push_run(runs, top.end + 1, outer);
    }
}

fn push_run(runs: &mut Vec<Run>, start: u128, group: u16) {
    match runs.last_mut() {
        Some(run) if run.start == start => run.group = group,
        Some(run) if run.group == group => {}
        _ => runs.push(Run { start, group }),
    }
}

fn index_heads(starts: &[u32]) -> Vec<u32> {
    if starts.is_empty() {
        return Vec::new();
    }
    let mut heads = vec![0; HEADS + 1];
    let mut i = 0;
    for (head, slot) in heads.iter_mut().enumerate() {
        while i < starts.len() && ((starts[i] >> 16) as usize) < head {
            i += 1;
        }
        *slot = i as u32;
    }
    heads
}

#[cfg(test)]
mod tests;
