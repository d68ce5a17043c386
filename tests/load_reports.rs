//! Parsing of targets' load reports: accepted forms, and the reason for which others are ignored.

use lockloft::decision::capacity::load_report::{LoadReport, LoadReportError, Slowdown};
use proptest::prelude::*;

fn report(running: u32, waiting: u32, slots: u32, slowdown: Option<u16>) -> Result<LoadReport, LoadReportError> {
    Ok(LoadReport { running, waiting, slots, slowdown: slowdown.and_then(Slowdown::from_percent) })
}

#[test]
fn a_load_report_has_three_or_four_fields() {
    assert_eq!(LoadReport::parse("3, 0,8"), report(3, 0, 8, None));
    assert_eq!(LoadReport::parse("3,0,8,100"), report(3, 0, 8, Some(100)));
    assert_eq!(LoadReport::parse(" 3 , 2 , 8 , 250 "), report(3, 2, 8, Some(250)));
    assert_eq!(LoadReport::parse("3,0,8,99.6"), report(3, 0, 8, Some(100)));
}

#[test]
fn an_invalid_load_report_is_ignored_for_the_expected_reason() {
    use LoadReportError::{FieldCount, InvalidField, InvalidSlowdown, NoSlots};
    let table = [
        ("", FieldCount(1)),
        ("3,0", FieldCount(2)),
        ("3,0,8,100,1", FieldCount(5)),
        ("a,0,8", InvalidField(1)),
        ("-1,0,8", InvalidField(1)),
        ("3,1.5,8", InvalidField(2)),
        ("3,0,99999999", InvalidField(3)),
        ("3,0,99999999999999999999", InvalidField(3)),
        ("3,0,0", NoSlots),
        ("3,0,8,0", InvalidSlowdown),
        ("3,0,8,-100", InvalidSlowdown),
        ("3,0,8,nan", InvalidSlowdown),
        ("3,0,8,inf", InvalidSlowdown),
        ("3,0,8,1e9", InvalidSlowdown),
        ("3,0,8,fast", InvalidSlowdown),
        ("3,0,8,", InvalidSlowdown),
    ];
    for (text, reason) in table {
        assert_eq!(LoadReport::parse(text), Err(reason), "{text}");
    }
}

proptest! {
    #[test]
    fn accepted_load_reports_are_within_bounds(text in "[-0-9a-z., ]{0,30}") {
        if let Ok(report) = LoadReport::parse(&text) {
            prop_assert!(report.slots > 0);
            prop_assert!(report.running <= 1 << 20 && report.waiting <= 1 << 20 && report.slots <= 1 << 20);
            prop_assert!(report.slowdown.is_none_or(|slowdown| slowdown.factor() >= 0.01));
        }
    }
}
