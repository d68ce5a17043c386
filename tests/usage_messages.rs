//! Messages about usage: instances of two versions read each other's.

use lockloft::model::usage::{
    Details, RegionDemand, ShortKey, TargetLoad, TargetSlowdown, UsageAnswer, decode, encode,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The answer as it was before details were added.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct OlderAnswer {
    passes: Vec<(String, f32)>,
    loads: Vec<TargetLoad>,
}

fn loads() -> Vec<TargetLoad> {
    vec![TargetLoad::new(ShortKey([1, 2, 3, 4]), 7, Duration::from_millis(40))]
}

fn details() -> Details {
    Details {
        slowdowns: vec![TargetSlowdown { target: ShortKey([1, 2, 3, 4]), percent: 250, age: 3 }],
        demands: vec![RegionDemand { service: ShortKey([5; 4]), region: ShortKey([6; 4]), slots: 12.5 }],
    }
}

#[test]
fn details_arrive_as_they_were_told() {
    let answer = UsageAnswer { passes: Vec::new(), loads: loads(), details: details() };
    assert_eq!(decode::<UsageAnswer>(&encode(&answer)).unwrap(), answer);
}

#[test]
fn an_older_instance_reads_all_but_the_details() {
    let answer = UsageAnswer { passes: Vec::new(), loads: loads(), details: details() };
    let older: OlderAnswer = decode(&encode(&answer)).unwrap();
    assert_eq!(older, OlderAnswer { passes: Vec::new(), loads: loads() });
}

#[test]
fn a_message_of_an_older_instance_has_no_details() {
    let older = OlderAnswer { passes: vec![("t".into(), 0.5)], loads: loads() };
    let answer: UsageAnswer = decode(&encode(&older)).unwrap();
    assert_eq!(answer, UsageAnswer { passes: older.passes, loads: loads(), details: Details::default() });
}

#[test]
fn a_message_without_details_is_as_long_as_before() {
    let answer = UsageAnswer { passes: Vec::new(), loads: loads(), details: Details::default() };
    assert_eq!(encode(&answer), encode(&OlderAnswer { passes: Vec::new(), loads: loads() }));
}
