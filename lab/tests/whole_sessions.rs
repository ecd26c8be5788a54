//! Golden files of whole sessions over separate processes; times and ids are left out.

mod common;

use std::fmt::Write;

use common::*;
use serde_json::{json, Value};
use violetline_lab::client::{End, Reply};
use violetline_lab::fleet::Fleet;

#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn reply(&mut self, what: &str, reply: &Reply) {
        let text: String = reply.text.chars().take(60).collect();
        let shown = if reply.end == End::Complete {
            text
        } else {
            String::new()
        };
        writeln!(
            self.0,
            "{what}\n  {} {:?} tokens {}",
            reply.status, reply.end, reply.tokens
        )
        .unwrap();
        if !shown.is_empty() {
            writeln!(self.0, "  {shown}").unwrap();
        }
    }

    /// The audit trail without times, incarnations and digests.
    async fn audit(&mut self, fleet: &Fleet, who: &str, addr: std::net::SocketAddr) {
        let trail = fleet.caller.get(addr, "/v1/audit").await.unwrap();
        writeln!(self.0, "audit of {who}").unwrap();
        for change in trail.as_array().unwrap().iter().rev() {
            let from = &change["from"]["version"];
            let to = &change["to"]["version"];
            let note = if change["what"] == "start" {
                &Value::Null
            } else {
                &change["note"]
            };
            writeln!(self.0, "  {} {from} -> {to} {note}", change["what"]).unwrap();
        }
    }
}

#[actix_rt::test]
async fn whole_session() {
    let mut fleet = fleet(1, 1).await;
    let mut out = Transcript::default();
    let entry = fleet.callers(0);
    let plain = call("session-1", Some(&violetline_lab::client::key()));
    out.reply("a plain call", &fleet.caller.call(entry, &plain).await);
    out.reply(
        "the same key again",
        &fleet.caller.call(fleet.callers(1), &plain).await,
    );
    out.reply(
        "a stream",
        &fleet
            .caller
            .chat(entry, &chat("session-2", "annotation", 6))
            .await,
    );
    let mut whole = chat("session-3", "summary", 4);
    whole.stream = false;
    out.reply(
        "a whole completion",
        &fleet.caller.chat(entry, &whole).await,
    );
    let mut refused = chat("session-4", "lookup", 4);
    refused.bearer = "demo-calibration".into();
    out.reply(
        "a class that the team may not use",
        &fleet.caller.chat(entry, &refused).await,
    );
    let version = fleet
        .change_bundle(|b| b["note"] = json!("a second bundle"))
        .await
        .unwrap();
    fleet.bundle_reached(version).await.unwrap();
    let engine = position(&fleet, MODEL_POOL, 0);
    fleet
        .fault(&fleet.slots[engine].endpoint, json!({ "cut_after": 3 }))
        .await
        .unwrap();
    out.reply(
        "a stream that is cut",
        &fleet
            .caller
            .chat(entry, &chat("session-5", "annotation", 6))
            .await,
    );
    fleet.slots[engine].endpoint.kill();
    out.reply(
        "an engine that died",
        &fleet
            .caller
            .chat(entry, &chat("session-6", "annotation", 6))
            .await,
    );
    let service = position(&fleet, PLAIN_POOL, 0);
    let admin = fleet.slots[service].sidecar.addr("admin");
    let stream = spawn_call(&fleet, 0, call("session-7", None));
    out.reply("a call before the drain", &stream.await.unwrap());
    out.audit(&fleet, "the sidecar", admin).await;
    assert_eq!(
        fleet
            .caller
            .send(admin, "/v1/drain", String::new())
            .await
            .unwrap(),
        200
    );
    assert!(fleet.slots[service].sidecar.ended(LONG).await);
    out.reply(
        "a call after the drain",
        &fleet.caller.call(entry, &call("session-8", None)).await,
    );
    fleet.close();
    insta::assert_snapshot!(out.0);
}
