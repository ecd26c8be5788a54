//! A stand-in for a plain service whose calls may not be repeated; it records every run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::time::sleep;
use violetline::listener::{self, CallerSocket};

use crate::endless::Endless;
use crate::web;

/// Speed of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainSettings {
    /// Port; 0 takes any.
    pub port: u16,
    /// Time for a call, in ms.
    pub service_ms: u64,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            port: 0,
            service_ms: 5,
        }
    }
}

/// Faults that a test brings about.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Runs the call and cuts the connection before the answer.
    pub cut_after_run: bool,
    /// Added time for a call, in ms.
    pub delay_ms: u64,
    /// Answers with a redirect to itself, after running the call.
    pub redirect: bool,
    /// Sends bytes without end in place of the answer, after running the call.
    pub endless: Option<Endless>,
}

/// What a plain service has done: runs by the caller's `lab_id`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlainStats {
    /// Runs by id.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Plain {
    settings: PlainSettings,
    faults: Cell<PlainFaults>,
    stats: RefCell<PlainStats>,
}

/// Serves a plain service until the process ends.
pub async fn run(settings: PlainSettings) -> anyhow::Result<()> {
    let listener = web::bind("plain", settings.port).await?;
    let plain = Rc::new(Plain {
        settings,
        faults: Cell::default(),
        stats: RefCell::default(),
    });
    listener::serve(listener, move |req| route(Rc::clone(&plain), req)).await
}

async fn route(plain: Rc<Plain>, mut req: Request) -> Response<BoxBody> {
    match req.path() {
        "/lab/stats" => web::json(&*plain.stats.borrow()),
        "/lab/faults" => match web::json_body(&mut req).await {
            Some(faults) => {
                plain.faults.set(faults);
                web::status(StatusCode::OK)
            }
            None => web::status(StatusCode::BAD_REQUEST),
        },
        _ => call(plain, req).await,
    }
}

async fn call(plain: Rc<Plain>, mut req: Request) -> Response<BoxBody> {
    let socket = req.conn_data::<CallerSocket>().cloned();
    let path = req.path().to_owned();
    let Some(body) = web::json_body::<Value>(&mut req).await else {
        return web::status(StatusCode::BAD_REQUEST);
    };
    let id = body["lab_id"].as_str().unwrap_or_default().to_owned();
    let run = {
        let mut stats = plain.stats.borrow_mut();
        let runs = stats.runs.entry(id.clone()).or_default();
        *runs += 1;
        *runs
    };
    let faults = plain.faults.get();
    sleep(Duration::from_millis(
        plain.settings.service_ms + faults.delay_ms,
    ))
    .await;
    if faults.cut_after_run {
        if let Some(socket) = socket {
            socket.cut();
        }
    }
    if let Some(endless) = faults.endless {
        return endless.answer();
    }
    if faults.redirect {
        let mut builder = Response::build(StatusCode::TEMPORARY_REDIRECT);
        return builder
            .insert_header(("location", path))
            .body("")
            .map_into_boxed_body();
    }
    web::json(&json!({ "echo": id, "run": run }))
}
