//! Many endpoints of a pool crash at once while the store still lists them. Guards against refusals
//! of requests that found four of them in a row, though others of the pool work.

use std::rc::Rc;

use futures_util::future::join_all;
use tokio::net::TcpSocket;
use violetline_lab::process::Process;
use violetline_lab::site::*;
use violetline_lab::standin::{Engine, Room, WhenFull};

/// Endpoints that crash, and that stay.
const GONE: usize = 12;
const LEFT: usize = 2;
/// Requests sent at once after the crash.
const REQUESTS: usize = 8;
/// An urgent stream, and one whose callers have time; together they make a pool mixed.
const CHAT: ModelKind = ModelKind {
    name: "chat",
    service: "s2",
    priority: 0,
    attempts: 1,
    prompt_tokens: 400,
    answer_tokens: 20,
    target_ms: 1_000,
    patience_ms: 8_000,
};
const REVIEW: ModelKind = ModelKind {
    name: "review",
    priority: 2,
    target_ms: 2_000,
    patience_ms: 15_000,
    ..CHAT
};
/// A review whose callers have less time, so that the pool is not mixed.
const HASTY_REVIEW: ModelKind = ModelKind {
    patience_ms: 9_000,
    ..REVIEW
};

/// A site with one entry, whose service has endpoints in the entry's zone, and two in another one.
async fn site_with(kinds: [ModelKind; 2], service: &str) -> Site {
    let mut site = Site::start(0).await;
    site.kinds = kinds.to_vec();
    site.configure(&["k1"]);
    for i in 0..GONE + LEFT {
        let engine = Engine::start(&format!("i-{i}")).await.unwrap();
        let zone = if i < GONE { "hall-a" } else { "hall-b" };
        engine.zone.set(zone);
        if service == "s2" {
            engine.set_room(Some(Room {
                slots: MODEL_SLOTS,
                queue: 4,
                memory_tokens: 300_000,
                when_full: WhenFull::TurnsAway,
            }));
        }
        site.store.list(&engine, service, "ready");
        site.engines.push(engine);
    }
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_entry(&settings).await;
    site
}

/// Requests of the service's routes, with ids that begin with `name`.
fn requests(service: &str, name: &str, count: usize) -> Vec<Vec<u8>> {
    let request = |i: usize| {
        let id = format!("{name}-{i}");
        match (service, i % 2) {
            ("s1", _) => request("/once/ok", &id, "k1"),
            (_, 0) => model_request(&CHAT, &id, "k1"),
            _ => model_request(&REVIEW, &id, "k1"),
        }
    };
    (0..count).map(request).collect()
}

/// Crashes the endpoints that an entry chooses first, all but [`LEFT`], and starts another entry,
/// which knows nothing of that and chooses in the same order. Returns the ports of those that
/// crashed.
async fn crash_preferred(site: &mut Site, service: &str) -> Vec<TcpSocket> {
    let mut held = Vec::new();
    for i in 0..GONE {
        ask_until_served(site, service, &format!("before-{i}")).await;
        let is_last = |engine: &&Rc<Engine>| !engine.is_down() && engine.runs() > 0;
        let last = site.engines.iter().find(is_last);
        held.push(crash(last.unwrap()).await);
    }
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_entry(&settings).await;
    held
}

/// Crashes an endpoint and holds its port, which refuses connections then. Otherwise, another
/// process that listens at any free port could answer there.
async fn crash(engine: &Engine) -> TcpSocket {
    engine.crash().await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    // A process that another test is starting has a copy of the listener until it executes its own
    // program.
    wait_for("the port is free", || async {
        socket.bind(engine.address).is_ok()
    })
    .await;
    socket.set_reuseaddr(false).unwrap();
    socket
}

/// Crashes all endpoints.
async fn crash_all(site: &Site) -> Vec<TcpSocket> {
    join_all(site.engines.iter().map(|engine| crash(engine))).await
}

/// Asks until one request is served: one that is sent on a connection of an endpoint that has just
/// crashed is lost.
async fn ask_until_served(site: &Site, service: &str, name: &str) {
    for attempt in 0.. {
        let request = requests(service, &format!("{name}-{attempt}"), 1);
        if ask_all(site, &request).await == [200] {
            return;
        }
        assert!(attempt < 10, "{name} was never served");
    }
}

fn newest(site: &Site) -> &Process {
    site.entries.last().unwrap()
}

/// Sends requests together to the newest entry; the statuses.
async fn ask_all(site: &Site, requests: &[Vec<u8>]) -> Vec<u16> {
    let address = newest(site).addr("callers");
    let asking = requests.iter().map(|request| exchange(address, request));
    let answers = join_all(asking).await;
    answers.iter().map(|answer| answer.status).collect()
}

/// Number of endpoints of a service that requests at the newest entry passed over.
async fn passed_over(site: &Site, service: &str) -> u64 {
    let name = format!("direct_endpoints_passed_over_total{{pool=\"{service}\"}} ");
    metric(site, &name).await
}

/// Number of connections that the newest entry opened, or tried to open, to endpoints.
async fn connections(site: &Site) -> u64 {
    metric(site, "direct_endpoint_connections_total ").await
}

/// The value of a metric of the newest entry; 0 if there is none.
async fn metric(site: &Site, name: &str) -> u64 {
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let page = exchange(newest(site).addr("admin"), request).await.body;
    let value = page.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0, |value| value.parse().unwrap())
}

/// No request is refused, in a mixed pool and in a plain one beside it. Each runs once at an
/// endpoint that works, and none counts as a retry: the streams' route allows one attempt.
#[actix_rt::test]
async fn many_crash() {
    for service in ["s1", "s2"] {
        let mut site = site_with([CHAT, REVIEW], service).await;
        let _held = crash_preferred(&mut site, service).await;
        let before = site.runs();
        let requests = requests(service, "after", REQUESTS);
        let statuses = ask_all(&site, &requests).await;
        assert_eq!(statuses, [200; REQUESTS], "{service}");
        assert_eq!(site.runs() - before, REQUESTS, "{service}");
        assert_eq!(site.arrivals().len(), site.runs(), "{service}");
        let passed_over = passed_over(&site, service).await;
        assert!(passed_over >= GONE as u64, "{service}: {passed_over}");
    }
}

/// Without a mixed pool, a request is given up after four endpoints as ever, and nothing is counted.
#[actix_rt::test]
async fn no_mixed_pool() {
    for service in ["s1", "s2"] {
        let site = site_with([CHAT, HASTY_REVIEW], service).await;
        let _held = crash_all(&site).await;
        let statuses = ask_all(&site, &requests(service, "after", 1)).await;
        assert_eq!(statuses, [503], "{service}");
        assert_eq!(connections(&site).await, 4, "{service}");
        assert_eq!(passed_over(&site, service).await, 0, "{service}");
    }
}

/// A service that is gone altogether costs a request four connections once the entry knows it, and
/// its callers are told at once.
#[actix_rt::test]
async fn all_gone() {
    let site = site_with([CHAT, REVIEW], "s2").await;
    let _held = crash_all(&site).await;
    let requests = requests("s2", "after", 2);
    assert_eq!(ask_all(&site, &requests[..1]).await, [503]);
    let first = (GONE + LEFT) as u64;
    assert_eq!(passed_over(&site, "s2").await, first);
    assert_eq!(ask_all(&site, &requests[1..]).await, [503]);
    assert_eq!(passed_over(&site, "s2").await, first + 4);
    assert_eq!(connections(&site).await, first + 4);
}
