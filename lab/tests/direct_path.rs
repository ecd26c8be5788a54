//! Whole requests through direct entries as processes, against engines and a store that misbehave.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use violetline_lab::site::*;
use violetline_lab::standin::Condition;

#[actix_rt::test]
async fn whole_answer() {
    let site = Site::with_entry(1).await;
    let answer = site.ask("/once/x/ok?q=1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer of r1"));
    assert_eq!(answer.header("x-response-seal"), Some("i-0.1"));
    let arrival = &site.engines[0].arrivals()[0];
    assert!(arrival.head.starts_with("POST /once/x/ok?q=1 HTTP/1.1"));
    assert_eq!(arrival.body, b"hello");
    assert_eq!(arrival.header("x-tenant"), Some("team-1"));
    assert_eq!(arrival.header("x-expect-instance"), Some("i-0"));
    assert_eq!(arrival.header("authorization"), None);
    let left: u64 = arrival
        .header("x-request-deadline")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        left <= 4_000,
        "the route's bound is tighter than the caller's"
    );
}

#[actix_rt::test]
async fn empty_body() {
    let site = Site::with_entry(1).await;
    let request = "POST /once/ok HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\
        authorization: Bearer k1\r\ncontent-length: 0\r\n\r\n";
    let answer = exchange(site.entries[0].addr("callers"), request.as_bytes()).await;
    assert_eq!(answer.status, 200);
    let arrival = &site.engines[0].arrivals()[0];
    assert_eq!(arrival.header("content-length"), Some("0"));
}

#[actix_rt::test]
async fn not_run_elsewhere() {
    let site = Site::with_entry(2).await;
    site.engines[0].set_shedding(true);
    for i in 0..6 {
        let answer = site.ask("/once/ok", &format!("r{i}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.runs(), 6);
}

#[actix_rt::test]
async fn refused_everywhere() {
    let site = Site::with_entry(2).await;
    site.engines
        .iter()
        .for_each(|engine| engine.set_shedding(true));
    let answer = site.ask("/once/ok", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(answer.header("x-response-seal").is_none());
    assert_eq!(site.runs(), 0);
}

/// A pool has fewer endpoints than the route allows attempts, and each says that it did not run the request: nothing ran
/// anywhere, and the caller is told so. It got 502, as if something might have run.
#[actix_rt::test]
async fn refused_by_only() {
    let site = Site::with_entry(1).await;
    site.engines[0].set_shedding(true);
    let answer = site.ask("/once/ok", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[actix_rt::test]
async fn lost_once() {
    let site = Site::with_entry(2).await;
    let answer = site.ask("/once/reset", "r1").await;
    assert_eq!(answer.status, 502, "it may have run, so it is not refused");
    assert_eq!(site.runs(), 1);
}

#[actix_rt::test]
async fn lost_repeatable() {
    let site = Site::with_entry(2).await;
    let answer = site.ask("/safe/reset", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(
        site.runs(),
        2,
        "as many as the route's attempts, each at another engine"
    );
    assert!(site.engines.iter().all(|engine| engine.runs() == 1));
}

#[actix_rt::test]
async fn own_error_relayed() {
    let site = Site::with_entry(2).await;
    let answer = site.ask("/once/error", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "answer of r1"));
    assert!(answer.header("x-response-seal").is_some());
    assert_eq!(site.runs(), 1);
}

#[actix_rt::test]
async fn odd_answers() {
    let site = Site::with_entry(1).await;
    let unframed = site.ask("/once/unframed", "r1").await;
    assert_eq!(
        (unframed.status, unframed.body.as_str()),
        (200, "answer of r1")
    );
    for i in 2..6 {
        let id = format!("r{i}");
        let twice = site.ask("/once/twice", &id).await;
        assert_eq!(twice.body, format!("answer of {id}"));
    }
    let unsealed = site.ask("/once/unsealed", "r9").await;
    assert_eq!(unsealed.status, 502);
}

#[actix_rt::test]
async fn stream_whole() {
    let site = Site::with_entry(1).await;
    let answer = site.ask("/stream/events", "r1").await;
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5]);
    assert!(!answer.is_cut);
}

#[actix_rt::test]
async fn stream_broken() {
    let site = Site::with_entry(2).await;
    let answer = site.ask("/stream/cut", "r1").await;
    assert_eq!(event_numbers(&answer.body), [1, 2]);
    assert!(answer.is_cut, "a broken stream must not look complete");
    assert_eq!(site.runs(), 1);
}

#[actix_rt::test]
async fn stream_resumed() {
    let site = Site::with_entry(2).await;
    let answer = site.ask("/resume/cut", "r1").await;
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5]);
    assert!(!answer.is_cut);
    let mut resumed = site.arrivals();
    resumed.retain(|a| a.header("last-event-id").is_some());
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].header("last-event-id"), Some("2"));
}

/// A request with more lines in its head.
fn with_lines(path: &str, id: &str, lines: &str) -> Vec<u8> {
    let text = String::from_utf8(request(path, id, "k1")).unwrap();
    let lines = format!("{lines}\r\ncontent-length");
    text.replace("content-length", &lines).into_bytes()
}

/// A request for a stream whose answer is long beside its prompt.
fn long_answer(path: &str, id: &str) -> Vec<u8> {
    with_lines(path, id, "x-token-usage: 100,400")
}

/// The run of a long answer is copied, and goes on from its copy when its engine dies.
#[actix_rt::test]
async fn stream_taken_over() {
    let site = Site::with_entry(3).await;
    let callers = site.entries[0].addr("callers");
    let answer = exchange(callers, &long_answer("/stream/die", "r1")).await;
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5]);
    assert!(!answer.is_cut);
    let mut arrivals = site.arrivals();
    assert_eq!(arrivals.len(), 2);
    arrivals.sort_by_key(|arrival| arrival.header("kv-from").is_some());
    let [first, second] = &arrivals[..] else {
        unreachable!()
    };
    let copy = first.header("x-kv-backup").unwrap();
    assert_eq!(second.header("kv-from"), Some(&*format!("{copy}/r1")));
    assert_eq!(second.header("last-event-id"), Some("2"));
}

/// An engine that falls silent without a word is asked for, and the run goes on from its copy.
#[actix_rt::test]
async fn silent_taken_over() {
    let site = Site::with_entry(3).await;
    let callers = site.entries[0].addr("callers");
    let answer = exchange(callers, &long_answer("/stream/dark", "r1")).await;
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5]);
    assert!(!answer.is_cut);
}

/// An engine that breaks a stream off and lives may still run it: it goes on nowhere else.
#[actix_rt::test]
async fn broken_but_alive() {
    let site = Site::with_entry(3).await;
    let callers = site.entries[0].addr("callers");
    let answer = exchange(callers, &long_answer("/stream/cut", "r1")).await;
    assert_eq!(event_numbers(&answer.body), [1, 2]);
    assert!(answer.is_cut);
    assert_eq!(site.runs(), 1);
}

/// An engine that left the list may serve on: its streams go on elsewhere only once it is gone.
#[actix_rt::test]
async fn unlisted_but_alive() {
    let site = Site::with_entry(3).await;
    let callers = site.entries[0].addr("callers");
    let stream =
        actix_rt::spawn(
            async move { exchange(callers, &long_answer("/stream/late-cut", "r1")).await },
        );
    wait_for("the stream runs", || async { site.runs() == 1 }).await;
    let engine = site.engines.iter().find(|engine| engine.runs() == 1);
    site.store.unlist(engine.unwrap());
    let answer = stream.await.unwrap();
    assert_eq!(event_numbers(&answer.body), [1, 2]);
    assert!(answer.is_cut);
    assert_eq!(site.runs(), 1);
}

/// A short answer is not worth a copy of its prompt's memory.
#[actix_rt::test]
async fn short_not_copied() {
    let site = Site::with_entry(2).await;
    let callers = site.entries[0].addr("callers");
    let lines = "x-token-usage: 9000,50\r\nx-kv-backup: 127.0.0.1:1";
    let bytes = with_lines("/stream/events", "r1", lines);
    assert_eq!(exchange(callers, &bytes).await.status, 200);
    let arrivals = site.arrivals();
    assert!(arrivals.iter().all(|a| a.header("x-kv-backup").is_none()));
}

/// What one engine has read is taken from its memory by the next one, not read again; a caller's
/// word on it counts nothing.
#[actix_rt::test]
async fn parts_moved() {
    let mut site = Site::start(2).await;
    site.engine_shape = Some(serde_json::json!({"slots": 64, "kv_capacity": 300_000,
        "kv_token_bytes": 327_680, "link_mbps": 740_000.0, "moves": true}));
    site.configure(&["k1"]);
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_entry(&settings).await;
    let callers = site.entries[0].addr("callers");
    let parts = |own: u64| {
        format!("x-prompt-prefix: a1:3000,a2:3000,{own:x}:9000\r\nkv-fetch: 127.0.0.1:1")
    };
    let first = with_lines("/stream/events", "r0", &parts(1));
    assert_eq!(exchange(callers, &first).await.status, 200);
    let keeper = site.engines.iter().find(|e| e.runs() == 1).unwrap();
    let other = site.engines.iter().find(|e| e.runs() == 0).unwrap();
    assert_eq!(keeper.arrivals()[0].header("kv-fetch"), None);
    let mut hanging = Vec::new();
    for n in 1..40 {
        if !other.arrivals().is_empty() {
            break;
        }
        let request = with_lines("/stream/hang", &format!("r{n}"), &parts(n + 1));
        hanging.push(actix_rt::spawn(
            async move { exchange(callers, &request).await },
        ));
        let arrived = n as usize + 1;
        wait_for("it arrives", || async { site.arrivals().len() == arrived }).await;
    }
    let arrivals = other.arrivals();
    let address = keeper.address.to_string();
    assert_eq!(arrivals[0].header("kv-fetch"), Some(&*address));
}

/// An entry that follows another one hears of changes without calls of its own.
#[actix_rt::test]
async fn changes_from_peer() {
    let ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];
    let (link, admin) = (common_port(&ips), common_port(&ips));
    let mut site = Site::start(2).await;
    for ip in ips {
        let settings = site.settings(ip, link, admin, &["127.0.0.2:1"]);
        site.add_entry(&settings).await;
    }
    let one_follows = || async {
        let mut following = 0;
        for entry in 0..3 {
            following += u32::from(site.state(entry).await["watches"] == false);
        }
        following == 1
    };
    // A watch that waits ends with the next change.
    site.store.list(&site.engines[1], "s1", "draining");
    wait_for("two of three watch", one_follows).await;
    site.store.unlist(&site.engines[1]);
    for entry in 0..3 {
        wait_for("the change arrives", || async {
            site.state(entry).await["endpoints"]
                .as_array()
                .map(Vec::len)
                == Some(1)
        })
        .await;
    }
}

#[actix_rt::test]
async fn denied_requests() {
    let site = Site::with_entry(1).await;
    assert_eq!(site.ask_with("/once/ok", "r1", "nobody").await.status, 401);
    assert_eq!(site.ask("/nowhere/ok", "r2").await.status, 404);
    assert_eq!(site.runs(), 0);
}

#[actix_rt::test]
async fn removed_key() {
    let mut site = Site::with_entry(1).await;
    assert_eq!(site.ask("/once/ok", "r1").await.status, 200);
    site.configure(&["k2"]);
    wait_for("the key is refused", || async {
        site.ask("/once/ok", "r2").await.status == 401
    })
    .await;
    assert_eq!(site.ask_with("/once/ok", "r3", "k2").await.status, 200);
}

/// An entry that can't prove its configuration stops keyed work within the bound.
#[actix_rt::test]
async fn store_silent() {
    let site = Site::with_entry(1).await;
    site.store.set_condition(Condition::Silent);
    sleep(Duration::from_millis(KEY_REMOVAL_MS)).await;
    let before = site.runs();
    let answer = site.ask("/once/ok", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(site.runs(), before);
    assert!(!site.is_ready(0).await);
    site.store.set_condition(Condition::Up);
    site.wait_ready(0).await;
    assert_eq!(site.ask("/once/ok", "r2").await.status, 200);
}

#[actix_rt::test]
async fn history_forgotten() {
    let mut site = Site::with_entry(1).await;
    site.configure(&["k3"]);
    site.store.forget();
    wait_for("the new key works", || async {
        site.ask_with("/once/ok", "r1", "k3").await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn draining_engine() {
    let site = Site::with_entry(2).await;
    site.store.list(&site.engines[0], "s1", "draining");
    wait_for("the entry knows", || async {
        let state = site.state(0).await;
        state.to_string().contains("Draining")
    })
    .await;
    let before = site.engines[0].arrivals().len();
    for i in 0..8 {
        assert_eq!(site.ask("/once/ok", &format!("r{i}")).await.status, 200);
    }
    assert_eq!(site.engines[0].arrivals().len(), before);
}

/// Another engine got the address of one that is gone: nothing runs there.
#[actix_rt::test]
async fn reused_address() {
    let site = Site::with_entry(1).await;
    let engine = &site.engines[0];
    let entry = serde_json::json!({"service": "s1", "address": engine.address.to_string(),
        "zone": "hall-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "sequence": 1});
    site.store.put("servers/i-old", &entry);
    site.store.remove("servers/i-0");
    wait_for("the entry knows", || async {
        site.state(0).await.to_string().contains("i-old")
    })
    .await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(site.ask("/once/ok", "r1").await.status, 503);
    assert_eq!(site.runs(), 0);
}

#[actix_rt::test]
async fn caller_leaves() {
    let site = Site::with_entry(1).await;
    let mut stream = TcpStream::connect(site.entries[0].addr("callers"))
        .await
        .unwrap();
    stream
        .write_all(&request("/once/hang", "r1", "k1"))
        .await
        .unwrap();
    wait_for("the engine works", || async { site.runs() == 1 }).await;
    drop(stream);
    wait_for("the engine is told", || async {
        site.engines[0].cancelled() == 1
    })
    .await;
}

#[actix_rt::test]
async fn planned_stop() {
    let mut site = Site::with_entry(1).await;
    let mut idle = TcpStream::connect(site.entries[0].addr("callers"))
        .await
        .unwrap();
    let mut busy = TcpStream::connect(site.entries[0].addr("callers"))
        .await
        .unwrap();
    busy.write_all(&request("/once/long", "r1", "k1"))
        .await
        .unwrap();
    wait_for("the engine works", || async { site.runs() == 1 }).await;
    site.entries[0].terminate();
    wait_for("it is not ready", || async { !site.is_ready(0).await }).await;
    // A kept connection is still served while the balancer notices.
    idle.write_all(&request("/once/ok", "r2", "k1"))
        .await
        .unwrap();
    assert_eq!(read_answer(&mut idle).await.status, 200);
    let answer = read_answer(&mut busy).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer of r1"));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(site.entries[0].ended(LONG).await);
}

/// An entry that never reaches the store has the configuration from its peers.
#[actix_rt::test]
async fn catalog_from_peer() {
    let ips = ["127.0.0.2", "127.0.0.3"];
    let (link, admin) = (common_port(&ips), common_port(&ips));
    let mut site = Site::start(1).await;
    let seeds = ["127.0.0.2:1", "127.0.0.9:1"];
    let first = site.settings(ips[0], link, admin, &seeds);
    site.add_entry(&first).await;
    let mut second = site.settings(ips[1], link, admin, &seeds);
    second["store"] = serde_json::json!("127.0.0.1:9");
    site.add_unready(&second);
    wait_for("the peer's version arrives", || async {
        site.state(1).await["catalog"] == 2
    })
    .await;
    site.configure(&["k2"]);
    wait_for("the next version arrives", || async {
        site.state(1).await["catalog"] == 4
    })
    .await;
    assert_eq!(site.state(0).await["entries"], 2);
}

#[actix_rt::test]
async fn bad_input() {
    let site = Site::with_entry(1).await;
    let address = site.entries[0].addr("callers");
    let long_head = format!(
        "GET /once/ok HTTP/1.1\r\nhost: h.example\r\nx: {}\r\n\r\n",
        "y".repeat(5_000)
    );
    let both = "POST /once/ok HTTP/1.1\r\nhost: h.example\r\nx-request-id: 1\r\n\
        content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    let two = "POST /once/ok HTTP/1.1\r\nhost: h.example\r\nx-request-id: 1\r\n\
        content-length: 5\r\ncontent-length: 6\r\n\r\nhello";
    let chunk = "POST /once/ok HTTP/1.1\r\nhost: h.example\r\nx-request-id: 1\r\n\
        transfer-encoding: chunked\r\n\r\nzz\r\n";
    let long_body = "POST /once/ok HTTP/1.1\r\nhost: h.example\r\nx-request-id: 1\r\n\
        content-length: 70000\r\n\r\n"
        .to_owned()
        + &"x".repeat(70_000);
    let no_id = "GET /once/ok HTTP/1.1\r\nhost: h.example\r\n\r\n";
    let slow = "GET /once/ok HTTP/1.1\r\nhost: h";
    for (status, bytes) in [
        (431, long_head.as_str()),
        (400, both),
        (400, two),
        (400, chunk),
        (413, long_body.as_str()),
        (400, no_id),
        (408, slow),
    ] {
        let answer = exchange(address, bytes.as_bytes()).await;
        assert_eq!(answer.status, status, "{}", &bytes[..60.min(bytes.len())]);
    }
    assert!(site.engines[0].arrivals().is_empty());
    assert_eq!(site.ask("/once/ok", "r1").await.status, 200);
}
