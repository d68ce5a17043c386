//! Which requests have the same fingerprint.

use lockloft::model::fingerprint::{Fingerprint, RequestIdentity};

const REQUEST: RequestIdentity<'static> =
    RequestIdentity { method: "GET", host: "shop.example", path: "/look/a?b=1", affinity_key: Some(b"7") };

fn of(request: &RequestIdentity<'_>) -> Fingerprint {
    Fingerprint::new(request, Some(0), [])
}

#[test]
fn each_part_of_a_request_changes_its_fingerprint() {
    let others = [
        RequestIdentity { method: "HEAD", ..REQUEST },
        RequestIdentity { host: "other.example", ..REQUEST },
        RequestIdentity { path: "/look/a?b=2", ..REQUEST },
        RequestIdentity { affinity_key: Some(b"8"), ..REQUEST },
        RequestIdentity { affinity_key: Some(b""), ..REQUEST },
        RequestIdentity { affinity_key: None, ..REQUEST },
        // The same bytes in a row, divided otherwise.
        RequestIdentity { host: "shop.example/look", path: "/a?b=1", ..REQUEST },
    ];
    for (number, other) in others.iter().enumerate() {
        assert_ne!(of(&REQUEST), of(other), "{number}");
    }
    assert_ne!(of(&REQUEST), Fingerprint::new(&REQUEST, Some(1), [&b"x"[..]]));
    assert_ne!(Fingerprint::new(&REQUEST, None, []), Fingerprint::new(&REQUEST, Some(0), []));
}

#[test]
fn a_body_has_one_fingerprint_however_it_arrived() {
    let whole = Fingerprint::new(&REQUEST, Some(6), [&b"abcdef"[..]]);
    let in_parts = Fingerprint::new(&REQUEST, Some(6), [&b"ab"[..], &b""[..], &b"cdef"[..]]);
    assert_eq!(whole, in_parts);
    assert_ne!(whole, Fingerprint::new(&REQUEST, Some(6), [&b"abcdeg"[..]]));
}

#[test]
fn all_instances_compute_the_same() {
    assert_eq!(of(&REQUEST).to_string(), "ba9d3eec5683430f");
}
