//! From a caller's HTTP request to a job: who calls, in which class, for which pool.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::{HttpMessage, Method, Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde_json::Value;
use tokio::time::timeout;
use uuid::Uuid;

use crate::bundle::{Policy, PoolKind};
use crate::clock::Millis;
use crate::finding::Findings;
use crate::ids::{ClassKey, PoolKey, RequestId, TeamKey};
use crate::keys;
use crate::members::Instance;
use crate::memory::HeldMemory;
use crate::replica::Stamps;

/// Path of chat completions, as OpenAI's API has it.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of calls to plain services: `/v1/pools/{pool}/{path}`.
pub const POOLS_PREFIX: &str = "/v1/pools/";
/// Header that chooses among the team's classes.
pub const CLASS_HEADER: &str = "x-violetline-class";
/// Header `true` or `false`: whether the work may run only once.
pub const ONCE_HEADER: &str = "x-violetline-once";
/// Header with the time in which the caller needs the first token, in ms.
pub const DEADLINE_HEADER: &str = "x-violetline-deadline-ms";
/// Header with the caller's key, a UUIDv7 (the IETF draft "Idempotency-Key HTTP Header Field").
pub const KEY_HEADER: &str = "idempotency-key";
/// Time for a caller to send its body.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Bytes that are held for each byte of a body: as it was read, parsed, and written for the endpoint.
const HELD_PER_BYTE: usize = 3;
/// Bytes of text that make one token, roughly.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of the messages that decide where a cached prefix may be.
const PREFIX_BYTES: usize = 256;

/// A request that may be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id, for this HTTP request only.
    pub request: RequestId,
    /// Policy that it is decided under.
    pub policy: Rc<Policy>,
    /// Stamps of that policy and of the instance list.
    pub stamps: Stamps,
    /// Where it goes.
    pub pool: PoolKey,
    /// Its service level.
    pub class: ClassKey,
    /// Whose it is.
    pub team: TeamKey,
    /// Whether it may run only once.
    pub once: bool,
    /// The caller's key.
    pub key: Option<Uuid>,
    /// Time for the first token.
    pub deadline: Option<Millis>,
    /// Tokens read, estimated.
    pub prompt_tokens: u64,
    /// Tokens read and generated, estimated.
    pub est_tokens: u64,
    /// Hash of the prefix, for cache affinity; 0 for none.
    pub prefix: u64,
    /// Path on a plain service.
    pub path: String,
    /// Body for the endpoint.
    pub body: Bytes,
    /// The memory that is held for it.
    pub held: Rc<HeldMemory>,
    /// Whether the caller wants events.
    pub stream: bool,
    /// Model named, for the answer's head.
    pub model: String,
    /// Tokens that the caller has already, when the stream broke off.
    pub resume_from: u64,
    /// Instances at which the stream broke off.
    pub avoid: Vec<String>,
    /// Software version of the endpoint that began the stream, the only one at which it goes on; `None`
    /// before its first event.
    pub software_version: Option<String>,
}

impl Job {
    /// Whether its stream may be taken up elsewhere: repeatable work of a model pool that resumes.
    pub fn is_resumable(&self) -> bool {
        let pool = self.policy.pool_at(self.pool);
        pool.kind == PoolKind::Model && pool.resumable && !self.once
    }

    /// Whether the work may run at an endpoint, by its software version.
    pub fn may_run_at(&self, instance: &Instance) -> bool {
        let version = self.software_version.as_ref();
        version.is_none_or(|version| *version == instance.software_version)
    }
}

/// A request that is at fault, with the status to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong, with its place.
    pub findings: Findings,
}

impl BadRequest {
    fn new(status: StatusCode, place: &str, message: impl Into<String>) -> Self {
        let mut findings = Findings::default();
        findings.add(place, message);
        Self { status, findings }
    }
}

/// Whether the caller gave a key, so that an earlier attempt may have run.
pub fn has_key(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY_HEADER)
}

/// Refuses paths and methods that no caller may use.
pub fn method(req: &Request) -> Result<(), BadRequest> {
    let known = req.path() == CHAT_PATH || req.path().starts_with(POOLS_PREFIX);
    if !known {
        return Err(BadRequest::new(
            StatusCode::NOT_FOUND,
            "path",
            "no such path",
        ));
    }
    if req.method() != Method::POST {
        return Err(BadRequest::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            "must be POST",
        ));
    }
    Ok(())
}

/// Who calls.
pub fn team(policy: &Policy, headers: &HeaderMap) -> Result<TeamKey, BadRequest> {
    let unauthorized =
        |message: &str| BadRequest::new(StatusCode::UNAUTHORIZED, "authorization", message);
    let value = text_header(headers, "authorization")?;
    let value = value.ok_or_else(|| unauthorized("a bearer key is needed"))?;
    let bearer = value
        .strip_prefix("Bearer ")
        .ok_or_else(|| unauthorized("must be a bearer key"))?;
    policy
        .team_of_key(bearer.trim())
        .ok_or_else(|| unauthorized("unknown key"))
}

/// Length of the body in bytes, as the head names it.
pub fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyFault {
    /// The request is at fault.
    Bad(BadRequest),
    /// There is no memory for it.
    NoMemory,
}

/// Reads the body, bounded in size and time, within the memory that the process has for all that it
/// holds. `declared` is its length as the head names it.
pub async fn body(
    payload: Payload,
    limit: usize,
    declared: Option<usize>,
    mut held: HeldMemory,
) -> Result<(Bytes, HeldMemory), BodyFault> {
    let bad =
        |status, message: &str| BodyFault::Bad(BadRequest::new(status, "body", message.to_owned()));
    let too_long = || {
        bad(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("longer than {limit} bytes"),
        )
    };
    let declared = declared.unwrap_or_default();
    if declared > limit {
        return Err(too_long());
    }
    if !held.grow_to(declared * HELD_PER_BYTE) {
        return Err(BodyFault::NoMemory);
    }
    let reading = async {
        let mut payload = payload;
        let mut whole = BytesMut::with_capacity(declared);
        while let Some(piece) = payload.next().await {
            let cut = |_| bad(StatusCode::BAD_REQUEST, "cut off or malformed");
            let piece = piece.map_err(cut)?;
            let length = whole.len() + piece.len();
            if length > limit {
                return Err(too_long());
            }
            if !held.grow_to(length.max(declared) * HELD_PER_BYTE) {
                return Err(BodyFault::NoMemory);
            }
            whole.extend_from_slice(&piece);
        }
        Ok((whole.freeze(), held))
    };
    let late = |_| bad(StatusCode::REQUEST_TIMEOUT, "not sent in time");
    timeout(BODY_TIME, reading).await.map_err(late)?
}

/// Builds the job of a request whose body has been read.
pub fn job(
    policy: Rc<Policy>,
    stamps: Stamps,
    team: TeamKey,
    class: ClassKey,
    req: &Request,
    body: (Bytes, HeldMemory),
) -> Result<Job, BadRequest> {
    let (body, mut held) = body;
    let target = target(&policy, req, &body)?;
    held.set(target.body.len());
    let headers = req.headers();
    let default_once = policy.pool_at(target.pool).not_repeatable;
    let once = bool_header(headers, ONCE_HEADER)?.unwrap_or(default_once);
    let key = key(headers, once)?;
    let deadline = deadline(headers)?;
    let prompt_tokens = (target.body.len() / BYTES_PER_TOKEN) as u64;
    Ok(Job {
        request: RequestId::random(),
        policy,
        stamps,
        pool: target.pool,
        class,
        team,
        once,
        key,
        deadline,
        prompt_tokens,
        est_tokens: prompt_tokens,
        prefix: target.prefix,
        path: target.path,
        body: target.body,
        held: Rc::new(held),
        stream: target.stream,
        model: target.model,
        resume_from: 0,
        avoid: Vec::new(),
        software_version: None,
    })
}

/// What the path and the body say.
#[derive(Debug)]
struct Target {
    pool: PoolKey,
    path: String,
    body: Bytes,
    prefix: u64,
    stream: bool,
    model: String,
}

fn target(policy: &Policy, req: &Request, body: &Bytes) -> Result<Target, BadRequest> {
    if req.path() == CHAT_PATH {
        return chat(policy, body);
    }
    let no_path = || BadRequest::new(StatusCode::NOT_FOUND, "path", "no such path");
    let rest = req.path().strip_prefix(POOLS_PREFIX).ok_or_else(no_path)?;
    let (name, path) = rest.split_once('/').ok_or_else(no_path)?;
    let pool = policy
        .pool(name)
        .filter(|p| policy.pool_at(*p).kind == PoolKind::Plain);
    let message = format!("no pool {name:?} of plain services");
    let pool = pool.ok_or_else(|| BadRequest::new(StatusCode::NOT_FOUND, "path", message))?;
    let path = format!("/{path}");
    let body = body.clone();
    Ok(Target {
        pool,
        path,
        body,
        prefix: 0,
        stream: false,
        model: String::new(),
    })
}

fn chat(policy: &Policy, body: &Bytes) -> Result<Target, BadRequest> {
    let bad = |place: &str, message: &str| {
        BadRequest::new(StatusCode::BAD_REQUEST, place, message.to_owned())
    };
    let parsed = serde_json::from_slice::<Value>(body);
    let mut chat = parsed.map_err(|err| BadRequest {
        status: StatusCode::BAD_REQUEST,
        findings: Findings::from_json(&err),
    })?;
    let fields = chat
        .as_object_mut()
        .ok_or_else(|| bad("body", "must be an object"))?;
    let model = fields.get("model").and_then(Value::as_str);
    let model = model
        .ok_or_else(|| bad("model", "must be a string"))?
        .to_owned();
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|list| !list.is_empty());
    let messages = messages.ok_or_else(|| bad("messages", "must be a list with an entry"))?;
    let prefix = prefix_hash(&model, messages);
    let stream = match fields.get("stream") {
        None => false,
        Some(value) => value
            .as_bool()
            .ok_or_else(|| bad("stream", "must be true or false"))?,
    };
    fields.insert("stream".into(), Value::Bool(true));
    let unknown = format!("unknown model {model:?}");
    let pool = policy.pool_of_model(&model);
    let pool = pool.ok_or_else(|| BadRequest::new(StatusCode::NOT_FOUND, "model", unknown))?;
    let body = Bytes::from(chat.to_string());
    Ok(Target {
        pool,
        path: String::new(),
        body,
        prefix,
        stream,
        model,
    })
}

fn prefix_hash(model: &str, messages: &[Value]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let first = messages
        .first()
        .and_then(|m| m.get("content"))
        .and_then(Value::as_str);
    let text = first.unwrap_or_default().as_bytes();
    hasher.update(&text[..text.len().min(PREFIX_BYTES)]);
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// The class that a request asks for.
pub fn class(policy: &Policy, team: TeamKey, headers: &HeaderMap) -> Result<ClassKey, BadRequest> {
    let allowed = &policy.team_at(team).classes;
    let name = match text_header(headers, CLASS_HEADER)? {
        None => allowed.first().map(String::as_str).unwrap_or_default(),
        Some(name) => name,
    };
    let known = policy.class(name);
    let known = known.ok_or_else(|| {
        BadRequest::new(
            StatusCode::BAD_REQUEST,
            CLASS_HEADER,
            format!("unknown class {name:?}"),
        )
    })?;
    if allowed.iter().any(|class| class == name) {
        return Ok(known);
    }
    let message = format!("the team may not use class {name:?}");
    Err(BadRequest::new(
        StatusCode::FORBIDDEN,
        CLASS_HEADER,
        message,
    ))
}

fn key(headers: &HeaderMap, once: bool) -> Result<Option<Uuid>, BadRequest> {
    let Some(text) = text_header(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    if !once {
        return Ok(None);
    }
    let parsed = Uuid::parse_str(text.trim_matches('"')).ok();
    let key = parsed.filter(|key| keys::issued_at(*key).is_some());
    let message = "must be a UUIDv7 for work that may run only once";
    key.map(Some)
        .ok_or_else(|| BadRequest::new(StatusCode::BAD_REQUEST, KEY_HEADER, message))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Millis>, BadRequest> {
    let Some(text) = text_header(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let bad = |_| {
        BadRequest::new(
            StatusCode::BAD_REQUEST,
            DEADLINE_HEADER,
            "must be a count of ms",
        )
    };
    text.parse().map(|ms| Some(Millis(ms))).map_err(bad)
}

fn bool_header(headers: &HeaderMap, name: &str) -> Result<Option<bool>, BadRequest> {
    match text_header(headers, name)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(BadRequest::new(
            StatusCode::BAD_REQUEST,
            name,
            "must be true or false",
        )),
    }
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let bad = |_| BadRequest::new(StatusCode::BAD_REQUEST, name, "must be visible ASCII");
    value.to_str().map(Some).map_err(bad)
}
