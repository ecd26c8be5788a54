//! What the failure tests share: a small fleet, a caller's requests, and a bare link.
#![allow(dead_code)]

use std::time::Duration;

use serde_json::Value;
use tokio::time::{sleep, Instant};
use uuid::Uuid;
use violetline::document::Stamp;
use violetline::ids::{GrantId, RequestId};
use violetline::keys::home;
use violetline::link::{Link, Reader, Writer};
use violetline::outcome::{NotRunReason, Outcome};
use violetline::wire::{FromSidecar, Offer, Start, ToSidecar, REQUEST_PATH};
use violetline_lab::client::{Call, Caller, Chat, Reply};
use violetline_lab::fleet::{Fleet, FleetSpec, Slot};

pub const PLAIN_POOL: &str = "crate-api";
pub const MODEL_POOL: &str = "violet-pool";
/// Bound on waits for an outcome; a test that needs all of it fails.
pub const LONG: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

pub fn spec(models: u32, plains: u32) -> FleetSpec {
    let mut spec = FleetSpec::small(models, plains).unwrap();
    spec.bundle["limits"] = serde_json::json!({ "clock_skew_ms": 100 });
    spec
}

pub async fn fleet(models: u32, plains: u32) -> Fleet {
    Fleet::start(spec(models, plains)).await.unwrap()
}

pub fn call(id: &str, key: Option<&str>) -> Call {
    Call {
        id: id.into(),
        bearer: "demo-beam-ops".into(),
        class: "lookup".into(),
        pool: PLAIN_POOL.into(),
        headers: key
            .iter()
            .map(|k| ("idempotency-key".into(), (*k).into()))
            .collect(),
    }
}

pub fn chat(id: &str, class: &str, tokens: u64) -> Chat {
    Chat {
        id: id.into(),
        bearer: "demo-beam-ops".into(),
        class: class.into(),
        model: "violet-1".into(),
        prompt: format!("prompt of {id}"),
        tokens,
        stream: true,
        headers: Vec::new(),
    }
}

/// Sends a call in the background.
pub fn spawn_call(fleet: &Fleet, entry: usize, call: Call) -> actix_rt::task::JoinHandle<Reply> {
    let addr = fleet.callers(entry);
    actix_rt::spawn(async move { Caller::default().call(addr, &call).await })
}

/// Sends a chat in the background.
pub fn spawn_chat(fleet: &Fleet, entry: usize, chat: Chat) -> actix_rt::task::JoinHandle<Reply> {
    let addr = fleet.callers(entry);
    actix_rt::spawn(async move { Caller::default().chat(addr, &chat).await })
}

/// Position in `fleet.slots` of a key's home.
pub fn home_of(fleet: &Fleet, key: &str) -> usize {
    let places = fleet.slots.iter().filter(|s| s.pool == PLAIN_POOL).count() as u32;
    let ordinal = home(Uuid::parse_str(key).unwrap(), places);
    position(fleet, PLAIN_POOL, ordinal)
}

pub fn position(fleet: &Fleet, pool: &str, ordinal: u32) -> usize {
    fleet
        .slots
        .iter()
        .position(|s| s.pool == pool && s.ordinal == ordinal)
        .unwrap()
}

/// Waits until a test on a page's JSON holds.
pub async fn until(
    fleet: &Fleet,
    addr: std::net::SocketAddr,
    page: &str,
    test: fn(&Value) -> bool,
) {
    let end = Instant::now() + LONG;
    loop {
        let found = fleet.caller.get(addr, page).await.unwrap_or_default();
        if test(&found) {
            return;
        }
        assert!(Instant::now() < end, "{page} stays at {found}");
        sleep(LOOK).await;
    }
}

pub async fn runs_reach(fleet: &Fleet, id: &str, runs: u64) {
    let end = Instant::now() + LONG;
    while fleet.runs(id).await < runs {
        assert!(Instant::now() < end, "{id} did not run");
        sleep(LOOK).await;
    }
}

/// Stamp of the bundle in force at a sidecar.
pub async fn stamp_of(fleet: &Fleet, slot: &Slot) -> Stamp {
    let admin = slot.sidecar.addr("admin");
    let page = fleet.caller.get(admin, "/v1/bundle").await.unwrap();
    serde_json::from_value(page["in_force"].clone()).unwrap()
}

/// A link of the test's own to a sidecar, to send what an entry would, when it likes.
pub struct Bare {
    pub writer: Writer,
    pub reader: Reader,
    _link: Link,
}

impl Bare {
    pub async fn offer(fleet: &Fleet, slot: &Slot, key: Option<Uuid>) -> Self {
        let bundle = stamp_of(fleet, slot).await;
        Self::offer_under(bundle, slot, key).await
    }

    /// Offers under a bundle of the test's choice.
    pub async fn offer_under(bundle: Stamp, slot: &Slot, key: Option<Uuid>) -> Self {
        let link = Link::connect(slot.sidecar.addr("listen")).await.unwrap();
        let (mut writer, reader) = link.open(REQUEST_PATH).await.unwrap();
        let offer = Offer {
            request: RequestId::random(),
            bundle,
            members: Stamp::default(),
            pool: slot.pool.clone(),
            ordinal: slot.ordinal,
            class: "lookup".into(),
            team: "beam-ops".into(),
            est_tokens: 1,
            max_wait_ms: 1_000,
            once: key.is_some(),
            key,
            query: false,
        };
        writer.send(&ToSidecar::Offer(offer)).await.unwrap();
        Self {
            writer,
            reader,
            _link: link,
        }
    }

    pub async fn next(&mut self) -> Option<FromSidecar> {
        self.reader.next().await.ok().flatten()
    }

    /// Why the next message says that nothing ran; fails on any other message.
    pub async fn refused(&mut self) -> NotRunReason {
        match self.next().await {
            Some(FromSidecar::End {
                outcome: Outcome::NotRun { reason, .. },
                ..
            }) => reason,
            other => panic!("no refusal but {other:?}"),
        }
    }

    pub async fn granted(&mut self) -> GrantId {
        loop {
            match self.next().await {
                Some(FromSidecar::Granted { grant, .. }) => return grant,
                Some(FromSidecar::Queued(_)) => {}
                other => panic!("no grant but {other:?}"),
            }
        }
    }

    pub async fn start(&mut self, grant: GrantId, id: &str) {
        let body = format!("{{\"lab_id\":\"{id}\"}}").into_bytes();
        let start = Start {
            grant,
            path: "/run".into(),
            body,
            resume_from: 0,
        };
        self.writer.send(&ToSidecar::Start(start)).await.unwrap();
    }
}
