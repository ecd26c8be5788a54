//! What the tests of direct entries share.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::StatusCode;
use bytes::Bytes;
use violetline::clock::{Clock, Millis};
use violetline::direct::catalog::{
    CallerLimits, Catalog, PoolShare, RepeatPolicy, ResponseKind, Route, Team, Teams,
};
use violetline::direct::decision::DecisionLog;
use violetline::direct::dialect::StoreAnswer;
use violetline::direct::directory::{ListedEndpoint, Revision};
use violetline::direct::entry::Entry;
use violetline::direct::peers::{GossipMessage, PeerId, WorkScope};
use violetline::direct::settings::{Bounds, DirectSettings};
use violetline::platform::Platform;

/// A route of one pool with whole answers that may run once.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        repeat: RepeatPolicy::Once,
        shape: ResponseKind::Whole,
        timeout: Millis(1_000),
        target: Millis(100),
        priority: 2,
        shares: vec![PoolShare {
            pool: "pool".into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
        regions: Vec::new(),
    }
}

/// A route with streams of events.
pub fn events_route(name: &str, prefix: &str, pause: Millis) -> Route {
    Route {
        shape: ResponseKind::Events {
            resumable: false,
            pause,
        },
        ..route(name, prefix)
    }
}

/// A catalog with one team that holds two keys.
pub fn catalog(version: u64, routes: Vec<Route>) -> Catalog {
    let team = Team {
        name: "beam-ops".into(),
        keys: vec!["key-1".into(), "key-2".into()],
        priority: None,
        regions: Vec::new(),
    };
    let limits = CallerLimits::default();
    let teams = Teams::Listed(vec![team]);
    Catalog::new(version, routes, Vec::new(), teams, limits)
}

/// An endpoint of the pool as listed at a revision.
pub fn listed(id: &str, revision: impl Into<Revision>) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "hall-a".into(),
        slots: 64,
        draining: false,
        warming: Millis(0),
        born: None,
        software_version: "v1".into(),
        revision: revision.into(),
    }
}

/// An entry that knows nothing yet, at 1,000 ms of its clock.
pub fn entry() -> (Clock, Rc<Entry>) {
    let address = ([127, 0, 0, 1], 1).into();
    let settings = DirectSettings {
        name: "entry-1".into(),
        zone: "hall-a".into(),
        callers: address,
        readiness: address,
        admin: address,
        link: address,
        seeds: Vec::new(),
        store: address,
        link_mbps: 0.0,
        memory_mb: 0,
        regions: BTreeMap::new(),
        bounds: Bounds::default(),
    };
    let clock = Clock::manual(Millis(1_000));
    let sink = Box::new(std::io::sink());
    let log = DecisionLog::new(clock.clone(), sink, Box::new(|| 0));
    let entry = Entry::new(settings, Rc::new(Platform), clock.clone(), log);
    (clock, entry)
}

/// A response of a store that names no era.
pub fn store_answer(status: StatusCode, body: impl AsRef<[u8]>) -> StoreAnswer {
    StoreAnswer {
        status,
        era: None,
        body: Bytes::copy_from_slice(body.as_ref()),
    }
}

/// A datagram of an entry that tells nothing but itself.
pub fn hello(from: u64, number: u64, echo: Option<u64>) -> GossipMessage {
    GossipMessage {
        from: PeerId(from),
        number,
        echo,
        version: 1,
        proof_age_ms: None,
        revision: 0.into(),
        changes_after: 0.into(),
        catalog_revision: 0.into(),
        leaving: false,
        watches: false,
        reads_large: false,
        link_mbps: 0,
        zone: None,
        zone_entries: 1,
        wants_reply: false,
        peer_addresses: Vec::new(),
        work_scope: WorkScope::Sender,
        work: Vec::new(),
        placements: Vec::new(),
        version_era: None,
        names_eras: false,
    }
}
