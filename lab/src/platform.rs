//! A stand-in for the platform: configuration service and instance list, read only for others.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use violetline::listener;

use crate::web;

/// Limits of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Port; 0 takes any.
    pub port: u16,
    /// Reads a second over all readers; more are refused with 429.
    pub reads_per_s: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            port: 0,
            reads_per_s: 2_000,
        }
    }
}

/// Faults that a test brings about.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Answers 503 to every read.
    pub down: bool,
    /// Answers with the first bundle that it ever held.
    pub stale: bool,
}

/// Calls counted since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads answered.
    pub reads: u64,
    /// Reads refused by the rate.
    pub refused: u64,
    /// Most reads in one second.
    pub peak_per_s: u64,
}

#[derive(Debug)]
struct Platform {
    settings: PlatformSettings,
    faults: Cell<PlatformFaults>,
    stats: Cell<PlatformStats>,
    window: Cell<(Instant, u64)>,
    bundles: RefCell<Vec<Bytes>>,
    members: RefCell<Bytes>,
}

/// Serves the platform until the process ends.
pub async fn run(settings: PlatformSettings) -> anyhow::Result<()> {
    let listener = web::bind("platform", settings.port).await?;
    let platform = Rc::new(Platform {
        settings,
        faults: Cell::default(),
        stats: Cell::default(),
        window: Cell::new((Instant::now(), 0)),
        bundles: RefCell::default(),
        members: RefCell::default(),
    });
    listener::serve(listener, move |req| route(Rc::clone(&platform), req)).await
}

async fn route(platform: Rc<Platform>, mut req: Request) -> Response<BoxBody> {
    let path = req.path().to_owned();
    if req.method() == Method::GET && path == "/lab/stats" {
        return web::json(&platform.stats.get());
    }
    if req.method() == Method::GET {
        let known = web::header(&req, "if-none-match").map(str::to_owned);
        return read(&platform, &path, known.as_deref());
    }
    let body = web::body(&mut req).await;
    match path.as_str() {
        "/lab/bundle" => platform.bundles.borrow_mut().push(body),
        "/lab/members" => *platform.members.borrow_mut() = body,
        "/lab/faults" => match serde_json::from_slice(&body) {
            Ok(faults) => platform.faults.set(faults),
            Err(_) => return web::status(StatusCode::BAD_REQUEST),
        },
        _ => return web::status(StatusCode::NOT_FOUND),
    }
    web::status(StatusCode::OK)
}

fn read(platform: &Platform, path: &str, known: Option<&str>) -> Response<BoxBody> {
    if !platform.count() {
        return web::status(StatusCode::TOO_MANY_REQUESTS);
    }
    let faults = platform.faults.get();
    if faults.down {
        return web::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let held = match path {
        "/bundle" => {
            let bundles = platform.bundles.borrow();
            let found = if faults.stale {
                bundles.first()
            } else {
                bundles.last()
            };
            found.cloned()
        }
        "/members" => Some(platform.members.borrow().clone()).filter(|m| !m.is_empty()),
        _ => None,
    };
    let Some(text) = held else {
        return web::status(StatusCode::NOT_FOUND);
    };
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    let tag = format!("\"{:x}\"", hasher.finish());
    if known == Some(tag.as_str()) {
        return web::status(StatusCode::NOT_MODIFIED);
    }
    let mut builder = Response::build(StatusCode::OK);
    builder
        .insert_header(("etag", tag))
        .body(text)
        .map_into_boxed_body()
}

impl Platform {
    /// Counts a read; false when the second's allowance is spent.
    fn count(&self) -> bool {
        let now = Instant::now();
        let (began, mut used) = self.window.get();
        let mut stats = self.stats.get();
        if now.duration_since(began) >= Duration::from_secs(1) {
            self.window.set((now, 1));
            used = 1;
        } else {
            used += 1;
            self.window.set((began, used));
        }
        let allowed = used <= self.settings.reads_per_s;
        stats.reads += u64::from(allowed);
        stats.refused += u64::from(!allowed);
        stats.peak_per_s = stats.peak_per_s.max(used);
        self.stats.set(stats);
        allowed
    }
}
