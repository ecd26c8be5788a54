//! When a request is given up because endpoints can't be reached, replayed without a network, and
//! how the log explains it.

mod common;

use common::{events_route, route};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use violetline::clock::Millis;
use violetline::direct::admission::unreachable::{
    ConnectionFailure, GiveUpRule, UnreachableEndpoints,
};
use violetline::direct::catalog::{
    CallerLimits, Catalog, EngineCapacity, Pool, PoolShare, ResponseKind, Route, Teams,
};
use violetline::direct::decision::{Decision, LogLine, RefusalReason, NO_CONNECTION};
use violetline::direct::explain::explain;

use ConnectionFailure::{Refused, Unanswered};

/// Endpoints of the pool.
const ENDPOINTS: usize = 50;
/// Endpoints that crash together, a quarter.
const GONE: usize = 13;
/// Requests that the entry has in flight before any of them reports an endpoint.
const REQUESTS: u64 = 2_000;
/// Target time of the requests.
const TARGET: Millis = Millis(400);
/// Time after which the requests' callers leave.
const DEADLINE: Millis = Millis(15_000);
const PASS_OVER: GiveUpRule = GiveUpRule::PassOver {
    period: TARGET,
    deadline: DEADLINE,
};

/// Number of failures until the request is given up; `None` if it never is.
fn given_up_after(failures: &[ConnectionFailure], rule: GiveUpRule) -> Option<usize> {
    let mut unreachable = UnreachableEndpoints::default();
    let ends = |failure: &ConnectionFailure| {
        !unreachable.may_try_another(Millis(0), *failure, rule, || true)
    };
    failures.iter().position(ends).map(|at| at + 1)
}

/// Number of requests that are given up after a quarter of the pool crashed, before the entry knows
/// of any of it. Each connection takes `connect`.
fn given_up_after_crash(failure: ConnectionFailure, rule: GiveUpRule, connect: Millis) -> usize {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut order: Vec<usize> = (0..ENDPOINTS).collect();
    let is_given_up = |_: &u64| {
        order.shuffle(&mut rng);
        let mut unreachable = UnreachableEndpoints::default();
        let mut now = Millis(0);
        let tried = order.iter().take_while(|endpoint| **endpoint < GONE);
        let mut failed = tried.map(|_| {
            now = now + connect;
            unreachable.may_try_another(now, failure, rule, || true)
        });
        failed.any(|may_try| !may_try)
    };
    (0..REQUESTS).filter(is_given_up).count()
}

/// With the count of four, requests were refused right after engines crashed though most of the
/// pool worked.
#[test]
fn quarter_crashed() {
    let connect = Millis(1);
    let counted = given_up_after_crash(Refused, GiveUpRule::CountAll, connect);
    assert!(counted > 0, "the replay has such requests");
    assert_eq!(given_up_after_crash(Refused, PASS_OVER, connect), 0);
}

/// Connections that hang count as ever: an entry that is cut off must tell its callers soon.
#[test]
fn hanging_counts() {
    let connect = Millis(150);
    let counted = given_up_after_crash(Unanswered, GiveUpRule::CountAll, connect);
    let passed = given_up_after_crash(Unanswered, PASS_OVER, connect);
    assert_eq!(counted, passed);
    assert_eq!(given_up_after(&[Unanswered; 9], PASS_OVER), Some(4));
}

/// Hanging connections add up among refused ones, which don't count.
#[test]
fn mixed_failures() {
    let mut failures = vec![Refused; 20];
    failures.extend([Unanswered; 3]);
    assert_eq!(given_up_after(&failures, PASS_OVER), None);
    failures.extend([Refused, Unanswered]);
    assert_eq!(given_up_after(&failures, PASS_OVER), Some(25));
    assert_eq!(given_up_after(&failures, GiveUpRule::CountAll), Some(4));
    let few = [Unanswered, Refused, Unanswered, Refused, Unanswered];
    assert_eq!(given_up_after(&few, GiveUpRule::CountAll), Some(4));
}

/// Without this bound, an endpoint would be tried for a request that is late in any case.
#[test]
fn target_passed() {
    let mut unreachable = UnreachableEndpoints::default();
    unreachable.start_search(Millis(0));
    let mut at = |ms| unreachable.may_try_another(Millis(ms), Refused, PASS_OVER, || true);
    assert!((0..10).all(|_| at(TARGET.0 - 1)));
    assert!(!at(TARGET.0));
}

/// A request that waited at the entry beyond its target was given up after four endpoints, though
/// its first connection had only just been refused. The time ends with the caller's.
#[test]
fn waited_before() {
    let last_ms = |started: u64| {
        (started..=DEADLINE.0).rfind(|ms| {
            let mut unreachable = UnreachableEndpoints::default();
            unreachable.start_search(Millis(started));
            // A later attempt doesn't start the time anew.
            unreachable.start_search(Millis(*ms));
            (0..10).all(|_| unreachable.may_try_another(Millis(*ms), Refused, PASS_OVER, || true))
        })
    };
    assert_eq!(last_ms(9_000), Some(9_000 + TARGET.0 - 1));
    assert_eq!(last_ms(DEADLINE.0 - 100), Some(DEADLINE.0 - 1));
}

/// The first three failures never end a request, whatever the time, as without the rule.
#[test]
fn first_three() {
    for rule in [GiveUpRule::CountAll, PASS_OVER] {
        let mut unreachable = UnreachableEndpoints::default();
        let mut fail = || unreachable.may_try_another(Millis(9_000), Refused, rule, || false);
        assert_eq!([fail(), fail(), fail(), fail()], [true, true, true, false]);
    }
}

/// A pool whose endpoints are all gone costs each request four connections, not one for each.
#[test]
fn none_left() {
    let mut unreachable = UnreachableEndpoints::default();
    let mut fail =
        |others: bool| unreachable.may_try_another(Millis(0), Refused, PASS_OVER, || others);
    assert!((0..6).all(|_| fail(true)));
    assert!(!fail(false));
    assert_eq!(unreachable.passed_over(), 7);
}

/// A pool that is not mixed reports nothing that it did not report before.
#[test]
fn nothing_passed_over() {
    let mut unreachable = UnreachableEndpoints::default();
    let _ = unreachable.may_try_another(Millis(0), Refused, GiveUpRule::CountAll, || true);
    assert_eq!(unreachable.passed_over(), 0);
}

fn pool(name: &str, is_engine: bool) -> Pool {
    let engine = EngineCapacity {
        slots: 48,
        memory_tokens: 680_000,
        moves: None,
    };
    Pool {
        name: name.into(),
        max_connections: 100,
        engine: is_engine.then_some(engine),
        warm_up: None,
    }
}

fn in_pool(route: Route, pool: &str) -> Route {
    let share = PoolShare {
        pool: pool.into(),
        weight: 1,
    };
    Route {
        shares: vec![share],
        ..route
    }
}

/// Streams of this urgency in a pool, with their time-out.
fn streams(name: &str, pool: &str, priority: u8, timeout: u64) -> Route {
    let route = events_route(name, &format!("/{name}/"), Millis(300));
    Route {
        priority,
        timeout: Millis(timeout),
        ..in_pool(route, pool)
    }
}

/// On in mixed pools, and in the plain pools beside them; off everywhere else.
#[test]
fn only_with_mixed_pool() {
    let pools = || {
        vec![
            pool("mixed", true),
            pool("even", true),
            pool("plain", false),
        ]
    };
    let routes = |patience: u64| {
        vec![
            streams("reply", "mixed", 0, 15_000),
            streams("review", "mixed", 2, patience),
            streams("chat", "even", 0, 15_000),
            in_pool(route("post", "/post/"), "plain"),
        ]
    };
    let limits = CallerLimits::default();
    let passes_over = |patience: u64| {
        let catalog = Catalog::new(1, routes(patience), pools(), Teams::default(), limits);
        ["mixed", "even", "plain", "unknown"].map(|pool| catalog.passes_over_refused(pool))
    };
    assert_eq!(passes_over(15_000), [true, false, true, false]);
    assert_eq!(passes_over(9_999), [false; 4]);
}

/// Routes without a longest pause don't make a pool mixed.
#[test]
fn whole_answers_only() {
    let whole = |name: &str, priority: u8| Route {
        shape: ResponseKind::Whole,
        ..streams(name, "mixed", priority, 15_000)
    };
    let routes = vec![whole("reply", 0), whole("review", 2)];
    let pools = vec![pool("mixed", true)];
    let catalog = Catalog::new(1, routes, pools, Teams::default(), CallerLimits::default());
    assert!(!catalog.passes_over_refused("mixed"));
}

fn line(up: u64, request: Option<&str>, decision: Decision) -> String {
    let line = LogLine {
        at: Millis(0),
        up: Millis(up),
        request: request.map(str::to_owned),
        decision,
    };
    serde_json::to_string(&line).unwrap()
}

fn refused(passed_over: u32) -> Decision {
    Decision::Refused {
        why: RefusalReason::NoEndpoint,
        target: "h.example/chat/".into(),
        catalog: 7,
        proof_age_ms: None,
        held_ms: 17,
        urgency: Some(0),
        free_endpoints: Some(0),
        passed_over,
    }
}

/// The log of a request that passed over endpoints shows which were gone; other requests don't show
/// them, and their lines are as before.
#[test]
fn explained() {
    let ejected = |endpoint: &str, why: &str| Decision::EndpointHealth {
        endpoint: endpoint.into(),
        aside: true,
        why: why.into(),
    };
    let log = [
        line(1_000, None, ejected("i-1", NO_CONNECTION)),
        line(1_001, None, ejected("i-2", "silent")),
        line(1_002, Some("r1"), refused(9)),
        line(1_003, Some("r2"), refused(0)),
    ];
    let log = log.join("\n");
    let text = explain(&log, "r1").unwrap().text;
    assert!(text.contains("i-1") && !text.contains("i-2"), "{text}");
    assert!(text.contains("passed_over=9"), "{text}");
    let text = explain(&log, "r2").unwrap().text;
    assert!(
        !text.contains("i-1") && !text.contains("passed_over"),
        "{text}"
    );
}
