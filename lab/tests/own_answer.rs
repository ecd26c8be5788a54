//! A caller gets the complete answer to its own request, or a clear error.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use violetline::clock::Millis;
use violetline::ids::{GrantId, RequestId};
use violetline::link;
use violetline::outcome::{Outcome, Usage};
use violetline::wire::{FromSidecar, Load, ToSidecar, GOSSIP_PATH, REQUEST_PATH};
use violetline_lab::client::{End, Reply};
use violetline_lab::fleet::Fleet;

#[actix_rt::test]
async fn cut_stream() {
    let fleet = fleet(1, 1).await;
    let engine = &fleet.slots[position(&fleet, MODEL_POOL, 0)].endpoint;
    fleet
        .fault(engine, json!({ "cut_after": 10 }))
        .await
        .unwrap();
    for stream in [true, false] {
        let mut chat = chat(&format!("cut-{stream}"), "annotation", 50);
        chat.stream = stream;
        let reply = fleet.caller.chat(fleet.callers(0), &chat).await;
        assert!(reply.is("failed_after_start"), "{:?}", reply.end);
    }
    fleet.close();
}

#[actix_rt::test]
async fn killed_sidecar() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, MODEL_POOL, 0);
    let stream = spawn_chat(&fleet, 0, chat("killed", "annotation", 3_000));
    let engine = fleet.slots[at].endpoint.addr("listen");
    until(&fleet, engine, "/lab/stats", |s| {
        s["generated"].as_u64() > Some(20)
    })
    .await;
    fleet.slots[at].sidecar.kill();
    let reply = stream.await.unwrap();
    assert!(reply.is("outcome_unknown"), "{:?}", reply.end);
    fleet.close();
}

/// The slot whose engine runs the request now.
async fn running_slot(fleet: &Fleet) -> usize {
    let end = tokio::time::Instant::now() + LONG;
    loop {
        for ordinal in 0..2 {
            let at = position(fleet, MODEL_POOL, ordinal);
            let engine = fleet.slots[at].endpoint.addr("listen");
            let stats = fleet.caller.get(engine, "/lab/stats").await.unwrap();
            if stats["generated"].as_u64() > Some(20) {
                return at;
            }
        }
        assert!(tokio::time::Instant::now() < end, "no engine runs it");
        sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn taken_up_elsewhere() {
    for what in ["engine", "sidecar", "frozen"] {
        let mut fleet = fleet(2, 1).await;
        let stream = spawn_chat(&fleet, 0, chat(what, "annotation", 700));
        let at = running_slot(&fleet).await;
        match what {
            "engine" => fleet.slots[at].endpoint.kill(),
            "sidecar" => fleet.slots[at].sidecar.kill(),
            _ => fleet.slots[at].sidecar.freeze(),
        }
        let reply = stream.await.unwrap();
        assert_eq!(
            reply.end,
            End::Complete,
            "{what}: every token once, in order"
        );
        fleet.close();
    }
}

/// A whole answer that broke off was taken up at an engine that refuses to: its error was added to
/// the text, and the caller got a success.
#[actix_rt::test]
async fn resume_refused() {
    let fleet = fleet(2, 1).await;
    let faults = json!({ "cut_after": 10, "refuses_resumes": true });
    for slot in fleet.slots.iter().filter(|slot| slot.pool == MODEL_POOL) {
        fleet.fault(&slot.endpoint, faults.clone()).await.unwrap();
    }
    for stream in [true, false] {
        let mut chat = chat(&format!("refused-{stream}"), "annotation", 50);
        chat.stream = stream;
        let reply = spawn_chat(&fleet, 0, chat).await.unwrap();
        let is_told = matches!(reply.end, End::Refused(..) | End::Cut);
        assert!(is_told, "stream {stream}: {reply:?}");
    }
    fleet.close();
}

#[actix_rt::test]
async fn broken_everywhere() {
    let mut fleet = fleet(2, 1).await;
    let stream = spawn_chat(&fleet, 0, chat("twice", "annotation", 1_500));
    let first = running_slot(&fleet).await;
    let second = position(&fleet, MODEL_POOL, 0) + position(&fleet, MODEL_POOL, 1) - first;
    fleet.slots[first].sidecar.kill();
    let engine = fleet.slots[second].endpoint.addr("listen");
    until(&fleet, engine, "/lab/stats", |s| s["running"] == 1).await;
    fleet.restart_sidecar(first).unwrap();
    fleet.all_ready().await.unwrap();
    fleet.slots[second].sidecar.kill();
    let reply = stream.await.unwrap();
    assert_eq!(reply.end, End::Complete, "the first endpoint is back");
    fleet.close();
}

#[actix_rt::test]
async fn silent_then_back() {
    let mut fleet = fleet(2, 1).await;
    let stream = spawn_chat(&fleet, 0, chat("waits", "annotation", 1_500));
    let first = running_slot(&fleet).await;
    let second = position(&fleet, MODEL_POOL, 0) + position(&fleet, MODEL_POOL, 1) - first;
    fleet.slots[second].sidecar.freeze();
    fleet.slots[first].endpoint.kill();
    // Longer than an offer waits for its answer.
    sleep(Duration::from_millis(2_000)).await;
    fleet.slots[second].sidecar.thaw();
    let reply = stream.await.unwrap();
    assert_eq!(reply.end, End::Complete, "the endpoint left was silent");
    fleet.close();
}

#[actix_rt::test]
async fn many_taken_up() {
    let mut spec = spec(2, 1);
    spec.bundle["pools"][0]["slots"] = json!(40);
    spec.engine.slots = 80;
    spec.engine.batch_us = 0;
    let mut fleet = Fleet::start(spec).await.unwrap();
    let streams: Vec<_> = (0..30)
        .map(|n| spawn_chat(&fleet, 0, chat(&format!("m{n}"), "annotation", 1_500)))
        .collect();
    let mut running = [0; 2];
    while running.iter().sum::<u64>() < 30 {
        for (ordinal, count) in running.iter_mut().enumerate() {
            let at = position(&fleet, MODEL_POOL, ordinal as u32);
            let engine = fleet.slots[at].endpoint.addr("listen");
            let stats = fleet.caller.get(engine, "/lab/stats").await.unwrap();
            *count = stats["running"].as_u64().unwrap();
        }
    }
    let busier = u32::from(running[1] > running[0]);
    let at = position(&fleet, MODEL_POOL, busier);
    fleet.slots[at].endpoint.kill();
    // Until the last stream has ended: calls that come before the entry has noticed the broken streams find
    // the budget full, and what they would add to it is lost.
    let ended = futures_util::future::join_all(streams);
    let replies = tokio::select! {
        replies = ended => replies,
        never = feed(&fleet) => match never {},
    };
    for (n, reply) in replies.into_iter().enumerate() {
        let reply = reply.unwrap();
        assert_eq!(reply.end, End::Complete, "stream {n} of {running:?}");
    }
    fleet.close();
}

/// Feeds the rerun budget of an entry with calls that are served, 20 at a time; never ends.
async fn feed(fleet: &Fleet) -> std::convert::Infallible {
    for round in 0.. {
        let calls: Vec<_> = (0..20)
            .map(|n| spawn_chat(fleet, 0, chat(&format!("feed{round}-{n}"), "lookup", 1)))
            .collect();
        for call in calls {
            call.await.unwrap();
        }
    }
    unreachable!("the rounds have no end")
}

#[actix_rt::test]
async fn killed_entry() {
    let mut fleet = fleet(1, 1).await;
    let stream = spawn_chat(&fleet, 0, chat("killed", "annotation", 3_000));
    runs_reach(&fleet, "killed", 1).await;
    fleet.entries[0].process.kill();
    let reply = stream.await.unwrap();
    assert!(
        matches!(reply.end, End::Cut | End::NoAnswer),
        "{:?}",
        reply.end
    );
    let engine = fleet.slots[position(&fleet, MODEL_POOL, 0)]
        .endpoint
        .addr("listen");
    until(&fleet, engine, "/lab/stats", |stats| stats["running"] == 0).await;
    fleet.close();
}

/// One slot, so that a lookup must pause the batch run.
async fn one_slot() -> Fleet {
    let mut spec = spec(1, 1);
    spec.bundle["pools"][0]["slots"] = json!(1);
    spec.bundle["pools"][0]["reserved_slots"] = json!(0);
    Fleet::start(spec).await.unwrap()
}

/// Runs a batch request, has a lookup pause it, and returns the batch's answer.
async fn pause_batch(fleet: &Fleet, at: usize) -> Reply {
    let batch = spawn_chat(fleet, 0, chat("batch", "batch", 800));
    let engine = fleet.slots[at].endpoint.addr("listen");
    until(fleet, engine, "/lab/stats", |s| {
        s["generated"].as_u64() > Some(50)
    })
    .await;
    let lookup = fleet
        .caller
        .chat(fleet.callers(1), &chat("lookup", "lookup", 5))
        .await;
    assert_eq!(lookup.end, End::Complete);
    batch.await.unwrap()
}

#[actix_rt::test]
async fn seam_after_pause() {
    let fleet = one_slot().await;
    let at = position(&fleet, MODEL_POOL, 0);
    let batch = pause_batch(&fleet, at).await;
    assert_eq!(batch.end, End::Complete, "every token once, in order");
    let state = fleet
        .caller
        .get(fleet.slots[at].sidecar.addr("admin"), "/v1/state")
        .await
        .unwrap();
    assert!(
        state["tally"]["paused"].as_u64() >= Some(1),
        "it was paused: {state}"
    );
    fleet.close();
}

#[actix_rt::test]
async fn faulty_seam() {
    let fleet = one_slot().await;
    let at = position(&fleet, MODEL_POOL, 0);
    fleet
        .fault(&fleet.slots[at].endpoint, json!({ "skip_at_resume": 3 }))
        .await
        .unwrap();
    let batch = pause_batch(&fleet, at).await;
    let told = End::Refused("failed_after_start".into(), "bad_seam".into());
    assert_eq!(batch.end, told, "tokens that are missing are not hidden");
    fleet.close();
}

/// A sidecar that ends every request with the id of another one.
async fn mixed_up_sidecar() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            actix_rt::spawn(link::serve(
                tcp,
                &[REQUEST_PATH, GOSSIP_PATH],
                |mut incoming| {
                    actix_rt::spawn(async move {
                        let Ok(Some(ToSidecar::Offer(_))) = incoming.reader.next().await else {
                            return;
                        };
                        let load = Load::default();
                        let grant = GrantId(1);
                        let granted = FromSidecar::Granted {
                            grant,
                            valid_ms: 1_000,
                            load,
                        };
                        incoming.writer.send(&granted).await.unwrap();
                        let _ = incoming.reader.next::<ToSidecar>().await;
                        let outcome = Outcome::Completed(Usage::default());
                        let chunk =
                            b"data: {\"choices\":[{\"delta\":{\"content\":\"foreign \"}}]}\n\n";
                        let end = FromSidecar::End {
                            request: RequestId(7),
                            outcome,
                            load,
                        };
                        for message in [
                            FromSidecar::Started,
                            FromSidecar::Chunk {
                                tokens: 1,
                                part: chunk.to_vec(),
                            },
                            end,
                        ] {
                            incoming.writer.send(&message).await.unwrap();
                        }
                        sleep(Duration::from_millis(Millis(200).0)).await;
                    });
                },
            ));
        }
    });
    addr
}

#[actix_rt::test]
async fn foreign_end() {
    let mut fleet = fleet(1, 1).await;
    let addr = mixed_up_sidecar().await;
    fleet.revision += 1;
    let mut members = fleet.members();
    for instance in &mut members.instances {
        if instance.pool == MODEL_POOL {
            instance.addr = addr;
        }
    }
    let text = serde_json::to_string(&members).unwrap();
    fleet
        .caller
        .send(fleet.platform.addr("listen"), "/lab/members", text)
        .await
        .unwrap();
    fleet.members_reached(fleet.revision).await.unwrap();
    for stream in [true, false] {
        let mut chat = chat("mixed", "annotation", 1);
        chat.stream = stream;
        let reply = fleet.caller.chat(fleet.callers(0), &chat).await;
        assert!(reply.is("outcome_unknown"), "{stream}: {:?}", reply.end);
    }
    fleet.close();
}

#[actix_rt::test]
async fn slow_caller() {
    let mut spec = spec(1, 1);
    spec.engine.token_us = 10;
    let fleet = Fleet::start(spec).await.unwrap();
    let at = position(&fleet, MODEL_POOL, 0);
    let mut tcp = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let body = json!({
        "model": "violet-1", "stream": true, "messages": [{ "role": "user", "content": "slow" }],
        "lab": { "id": "slow", "tokens": 2_000_000 },
    })
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer demo-beam-ops\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all(head.as_bytes()).await.unwrap();
    tcp.write_all(body.as_bytes()).await.unwrap();
    let mut buf = [0; 1_024];
    assert!(tcp.read(&mut buf).await.unwrap() > 0);
    let engine = fleet.slots[at].endpoint.addr("listen");
    let mut last = 0;
    loop {
        sleep(Duration::from_millis(700)).await;
        let stats = fleet.caller.get(engine, "/lab/stats").await.unwrap();
        let generated = stats["generated"].as_u64().unwrap();
        assert!(generated < 2_000_000, "nobody holds back the engine");
        if generated == last {
            break;
        }
        last = generated;
    }
    drop(tcp);
    until(&fleet, engine, "/lab/stats", |stats| stats["running"] == 0).await;
    fleet.close();
}
