//! What the adapter reads of an endpoint's will in the head of its answers.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use violetline::announced::Announcement;
use violetline::direct::dialect::Dialect;
use violetline::platform::Platform;

/// What an answer with a status and headers announces.
fn announced(status: u16, headers: &[(&str, &str)]) -> Announcement {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).unwrap());
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).unwrap();
        head.headers
            .append(name, HeaderValue::from_str(value).unwrap());
    }
    let id = HeaderValue::from_static("9");
    Platform.verdict(&head, &id).announcement
}

/// What an endpoint announces in the head of any answer.
#[test]
fn announcements_read() {
    for status in [200, 400, 429, 500, 503, 504] {
        assert!(
            announced(status, &[("server-leaving", "1")]).leaves,
            "{status}"
        );
    }
    for headers in [
        &[("server-leaving", "0")][..],
        &[("server-leaving", "")],
        &[],
    ] {
        assert!(announced(200, headers).is_empty(), "{headers:?}");
    }
    let other = announced(421, &[("server-leaving", "1")]);
    assert!(!other.leaves, "another endpoint than the one meant says it");
}

/// For how long an endpoint wants no requests: whole seconds, a fraction, a date by its own clock, and what is none.
#[test]
fn rest_read() {
    let rest = |status, told: &str| {
        let headers = [
            ("retry-after", told),
            ("date", "Wed, 02 Dec 2026 08:00:00 GMT"),
        ];
        announced(status, &headers).rest.map(|rest| rest.0)
    };
    assert_eq!(rest(503, "3"), Some(3_000));
    assert_eq!(rest(503, " 0.2504 "), Some(251));
    assert_eq!(rest(503, "604800"), Some(604_800_000));
    assert_eq!(rest(503, "Wed, 02 Dec 2026 08:00:07 GMT"), Some(7_000));
    for none in [
        "0",
        "-1",
        "soon",
        "",
        "inf",
        "NaN",
        "Wed, 02 Dec 2026 07:59:59 GMT",
    ] {
        assert_eq!(rest(503, none), None, "{none}");
    }
    for status in [200, 429, 500, 502, 421] {
        assert_eq!(rest(status, "3"), None, "{status}");
    }
    let undated = announced(503, &[("retry-after", "Wed, 02 Dec 2026 08:00:07 GMT")]);
    assert_eq!(undated.rest, None);
}
