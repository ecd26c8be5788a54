//! What the adapter reads of an endpoint's will in the head of its answers.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use violetline::announced::{AnnouncedLimit, Announcement};
use violetline::direct::dialect::Dialect;
use violetline::platform::Platform;
use violetline::rate::Rate;

/// What an answer with a status and headers announces.
fn announced(status: u16, headers: &[(&str, &str)]) -> Announcement {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).unwrap());
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).unwrap();
        head.headers
            .append(name, HeaderValue::from_str(value).unwrap());
    }
    let id = HeaderValue::from_static("9");
    Platform.response_info(&head, &id).announcement
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
        assert!(announced(200, headers).accepts_requests(), "{headers:?}");
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

/// The limit that an endpoint names: a decimal number, the lowest of several. An answer that names none says that there is
/// none only with the endpoint's seal.
#[test]
fn limit_read() {
    let sealed = ("x-response-seal", "s");
    let limit = |told: &str| announced(200, &[("server-limit", told), sealed]).limit;
    assert_eq!(limit("3.3"), AnnouncedLimit::Rate(Rate(3_300)));
    assert_eq!(limit(" 50 "), AnnouncedLimit::Rate(Rate(50_000)));
    assert_eq!(limit("0"), AnnouncedLimit::Rate(Rate(0)));
    assert_eq!(limit("0.0004"), AnnouncedLimit::Rate(Rate(0)));
    assert_eq!(limit("99999999999"), AnnouncedLimit::Rate(Rate(u32::MAX)));
    assert_eq!(limit("4, 2, 3"), AnnouncedLimit::Rate(Rate(2_000)));
    assert_eq!(limit("soon, 2"), AnnouncedLimit::Rate(Rate(2_000)));
    for unreadable in ["", "-1", "NaN", "inf", "1e9", "1.2.3", "few", "."] {
        assert_eq!(
            limit(unreadable),
            AnnouncedLimit::Unreadable,
            "{unreadable}"
        );
    }
    let twice = announced(503, &[("server-limit", "2"), ("server-limit", "1.5")]);
    assert_eq!(twice.limit, AnnouncedLimit::Rate(Rate(1_500)));
    let other = announced(421, &[("server-limit", "2"), sealed]);
    assert_eq!(other.limit, AnnouncedLimit::Unreadable);
    assert_eq!(announced(200, &[sealed]).limit, AnnouncedLimit::None);
    assert_eq!(announced(200, &[]).limit, AnnouncedLimit::Unreadable);
}
