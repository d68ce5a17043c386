//! Which requests have the same fingerprint.

use lockloft::model::fingerprint::{Fingerprint, RequestIdentity};

const REQUEST: RequestIdentity<'static> =
    RequestIdentity { method: "GET", host: "shop.example", path: "/look/a?b=1", affinity_key: Some(b"7") };

fn fingerprint_of(request: &RequestIdentity<'_>) -> Fingerprint {
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
        // The same bytes, with another boundary between host and path.
        RequestIdentity { host: "shop.example/look", path: "/a?b=1", ..REQUEST },
    ];
    for (number, other) in others.iter().enumerate() {
        assert_ne!(fingerprint_of(&REQUEST), fingerprint_of(other), "{number}");
    }
    assert_ne!(fingerprint_of(&REQUEST), Fingerprint::new(&REQUEST, Some(1), [&b"x"[..]]));
    assert_ne!(Fingerprint::new(&REQUEST, None, []), Fingerprint::new(&REQUEST, Some(0), []));
}

#[test]
fn the_fingerprint_does_not_depend_on_how_a_body_is_split() {
    let whole = Fingerprint::new(&REQUEST, Some(6), [&b"abcdef"[..]]);
    let in_parts = Fingerprint::new(&REQUEST, Some(6), [&b"ab"[..], &b""[..], &b"cdef"[..]]);
    assert_eq!(whole, in_parts);
    assert_ne!(whole, Fingerprint::new(&REQUEST, Some(6), [&b"abcdeg"[..]]));
}

/// Instances share strikes under this value, so a new version must compute it as its predecessors do.
#[test]
fn the_fingerprint_of_a_request_is_stable() {
    assert_eq!(fingerprint_of(&REQUEST).to_string(), "ba9d3eec5683430f");
}
