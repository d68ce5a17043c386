use super::BlockTable;
use crate::key::CallerKey;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The longest block that covers the address, by looking at each.
fn naive(blocks: &[(IpNet, CallerKey)], address: IpAddr) -> Option<CallerKey> {
    let covering = blocks.iter().filter(|(net, _)| net.contains(&address));
    covering.max_by_key(|(net, _)| net.prefix_len()).map(|(_, key)| *key)
}

/// Distinct blocks that nest often: few leading bits vary.
fn narrow() -> impl Strategy<Value = Vec<(IpNet, CallerKey)>> {
    let block = (0_u32..1 << 12, 0_u8..=32, 0_u16..6).prop_map(|(head, len, key)| {
        let address = Ipv4Addr::from(head << 20 | head.wrapping_mul(77));
        (IpNet::V4(Ipv4Net::new(address, len).unwrap().trunc()), CallerKey(key))
    });
    proptest::collection::vec(block, 0..60).prop_map(distinct)
}

fn wide() -> impl Strategy<Value = Vec<(IpNet, CallerKey)>> {
    let block = (0_u128..1 << 8, 0_u8..=128, 0_u16..6).prop_map(|(head, len, key)| {
        let address = Ipv6Addr::from(head << 120 | head);
        (IpNet::V6(Ipv6Net::new(address, len).unwrap().trunc()), CallerKey(key))
    });
    proptest::collection::vec(block, 0..40).prop_map(distinct)
}

fn distinct(blocks: Vec<(IpNet, CallerKey)>) -> Vec<(IpNet, CallerKey)> {
    blocks.into_iter().collect::<BTreeMap<_, _>>().into_iter().collect()
}

proptest! {
    #[test]
    fn the_table_finds_the_longest_ipv4_block(blocks in narrow(), addresses in proptest::collection::vec(any::<u32>(), 1..40)) {
        let table = BlockTable::new(&blocks);
        let edges = blocks.iter().flat_map(|(net, _)| [net.network(), net.broadcast()]);
        let drawn = addresses.into_iter().map(|a| IpAddr::V4(Ipv4Addr::from(a)));
        for address in edges.chain(drawn).collect::<Vec<_>>() {
            prop_assert_eq!(table.find(address), naive(&blocks, address), "{}", address);
        }
    }

    #[test]
    fn the_table_finds_the_longest_ipv6_block(blocks in wide(), addresses in proptest::collection::vec(any::<u128>(), 1..40)) {
        let table = BlockTable::new(&blocks);
        let edges = blocks.iter().flat_map(|(net, _)| [net.network(), net.broadcast()]);
        let drawn = addresses.into_iter().map(|a| IpAddr::V6(Ipv6Addr::from(a)));
        for address in edges.chain(drawn).filter(|a| !matches!(a, IpAddr::V6(a) if a.to_ipv4_mapped().is_some())).collect::<Vec<_>>() {
            prop_assert_eq!(table.find(address), naive(&blocks, address), "{}", address);
        }
    }
}

#[test]
fn a_mapped_address_is_looked_up_as_ipv4() {
    let blocks = [("10.0.0.0/8".parse().unwrap(), CallerKey(3))];
    let table = BlockTable::new(&blocks);
    assert_eq!(table.find("::ffff:10.1.2.3".parse().unwrap()), Some(CallerKey(3)));
}
