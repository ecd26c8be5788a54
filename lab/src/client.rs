//! A caller: sends requests to an entry and checks what comes back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use serde_json::{json, Value};
use uuid::Uuid;
use violetline::sse::{self, Event, Splitter};

use crate::engine;

/// Time for a whole answer.
const ANSWER_TIME: Duration = Duration::from_secs(120);
/// Largest whole answer, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// A request for a chat completion.
#[derive(Debug, Clone)]
pub struct Chat {
    /// Name by which engines count its starts.
    pub id: String,
    /// Bearer key.
    pub bearer: String,
    /// Class; the team's default when empty.
    pub class: String,
    /// Model.
    pub model: String,
    /// The user's message.
    pub prompt: String,
    /// Tokens that the engine will answer with; the router does not know it.
    pub tokens: u64,
    /// Whether to ask for events.
    pub stream: bool,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name by which the service counts its runs.
    pub id: String,
    /// Bearer key.
    pub bearer: String,
    /// Class; the team's default when empty.
    pub class: String,
    /// Pool.
    pub pool: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

/// What both kinds of request say in their headers.
#[derive(Debug, Clone, Copy)]
struct Head<'a> {
    bearer: &'a str,
    class: &'a str,
    headers: &'a [(String, String)],
}

impl Chat {
    fn head(&self) -> Head<'_> {
        Head {
            bearer: &self.bearer,
            class: &self.class,
            headers: &self.headers,
        }
    }
}

impl Call {
    fn head(&self) -> Head<'_> {
        Head {
            bearer: &self.bearer,
            class: &self.class,
            headers: &self.headers,
        }
    }
}

/// How an answer ended, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Complete, and the right one.
    Complete,
    /// Looks complete and is not what was asked for.
    Wrong,
    /// A typed error; its type and reason.
    Refused(String, String),
    /// Cut off without looking complete.
    Cut,
    /// No connection, or no answer.
    NoAnswer,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status, 0 when there was none.
    pub status: u16,
    /// How it ended.
    pub end: End,
    /// The text that came.
    pub text: String,
    /// Time to the first token.
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Tokens that came.
    pub tokens: u64,
    /// Longest silence between two tokens.
    pub longest_gap: Duration,
    /// The header `retry-after`, in s.
    pub retry_after: Option<u64>,
}

/// Sends requests over connections of its own.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Caller")
    }
}

impl Default for Caller {
    fn default() -> Self {
        let connector = Connector::new().timeout(Duration::from_secs(5)).limit(0);
        let builder = Client::builder().connector(connector).timeout(ANSWER_TIME);
        Self {
            client: builder.disable_redirects().finish(),
        }
    }
}

impl Caller {
    /// Asks for a chat completion.
    pub async fn chat(&self, entry: SocketAddr, chat: &Chat) -> Reply {
        let body = json!({
            "model": chat.model,
            "messages": [{ "role": "user", "content": chat.prompt }],
            "stream": chat.stream,
            "lab": { "id": chat.id, "tokens": chat.tokens },
        });
        let mut reply = self
            .post(entry, "/v1/chat/completions", chat.head(), body)
            .await;
        if !chat.stream && reply.end == End::Complete {
            let whole: Value = serde_json::from_str(&reply.text).unwrap_or_default();
            let text = whole["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default();
            reply.tokens = whole["usage"]["completion_tokens"]
                .as_u64()
                .unwrap_or_default();
            reply.text = text.to_owned();
        }
        let wanted = || engine::answer(&chat.prompt, chat.tokens);
        if reply.end == End::Complete && reply.text != wanted() {
            reply.end = End::Wrong;
        }
        reply
    }

    /// Calls a plain service.
    pub async fn call(&self, entry: SocketAddr, call: &Call) -> Reply {
        let path = format!("/v1/pools/{}/run", call.pool);
        let body = json!({ "lab_id": call.id });
        let mut reply = self.post(entry, &path, call.head(), body).await;
        if reply.end == End::Complete {
            let whole: Value = serde_json::from_str(&reply.text).unwrap_or_default();
            if whole["echo"] != call.id.as_str() {
                reply.end = End::Wrong;
            }
        }
        reply
    }

    async fn post(&self, entry: SocketAddr, path: &str, head: Head<'_>, body: Value) -> Reply {
        let began = Instant::now();
        let mut req = self
            .client
            .post(format!("http://{entry}{path}"))
            .insert_header(("authorization", format!("Bearer {}", head.bearer)))
            .insert_header(("content-type", "application/json"));
        if !head.class.is_empty() {
            req = req.insert_header(("x-violetline-class", head.class));
        }
        for (name, value) in head.headers {
            req = req.insert_header((name.as_str(), value.as_str()));
        }
        let Ok(mut res) = req.send_body(body.to_string()).await else {
            return Reply::none(began);
        };
        let status = res.status().as_u16();
        let header = |name: &str| {
            let value = res.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let retry_after = header("retry-after").parse().ok();
        if header("content-type") == "text/event-stream" {
            let mut reply = Reply::none(began);
            reply.status = status;
            read_events(&mut res, &mut reply, began).await;
            return reply;
        }
        let whole = res.body().limit(MAX_ANSWER).await;
        let total = began.elapsed();
        let mut reply = Reply {
            first: total,
            total,
            status,
            retry_after,
            ..Reply::none(began)
        };
        let Ok(whole) = whole else {
            reply.end = End::Cut;
            return reply;
        };
        reply.text = String::from_utf8_lossy(&whole).into_owned();
        reply.end = if status == 200 {
            End::Complete
        } else {
            refused(&reply.text)
        };
        reply
    }

    /// Reads a page of an administration API or a stand-in as JSON.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Value> {
        let sent = self.client.get(format!("http://{addr}{path}")).send().await;
        let mut res = sent.map_err(|err| anyhow::anyhow!("{addr}{path}: {err}"))?;
        let body = res.body().limit(MAX_ANSWER).await?;
        Ok(serde_json::from_slice(&body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned())))
    }

    /// Posts to an administration API or a stand-in; the status.
    pub async fn send(&self, addr: SocketAddr, path: &str, body: String) -> anyhow::Result<u16> {
        let sent = self
            .client
            .post(format!("http://{addr}{path}"))
            .send_body(body)
            .await;
        let res = sent.map_err(|err| anyhow::anyhow!("{addr}{path}: {err}"))?;
        Ok(res.status().as_u16())
    }

    /// Reads a page; the status.
    pub async fn status(&self, addr: SocketAddr, path: &str) -> u16 {
        let sent = self.client.get(format!("http://{addr}{path}")).send().await;
        sent.map_or(0, |res| res.status().as_u16())
    }
}

impl Reply {
    fn none(began: Instant) -> Self {
        Self {
            status: 0,
            end: End::NoAnswer,
            text: String::new(),
            first: began.elapsed(),
            total: began.elapsed(),
            tokens: 0,
            longest_gap: Duration::ZERO,
            retry_after: None,
        }
    }

    /// Whether the answer was refused with this type of error.
    pub fn is(&self, kind: &str) -> bool {
        matches!(&self.end, End::Refused(found, _) if found == kind)
    }
}

async fn read_events<S>(res: &mut awc::ClientResponse<S>, reply: &mut Reply, began: Instant)
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut splitter = Splitter::default();
    let mut last = None;
    reply.end = End::Cut;
    while let Some(Ok(piece)) = res.next().await {
        splitter.push(&piece);
        while let Some(event) = splitter.next_event() {
            match sse::read(&event) {
                Event::Token(text) => {
                    let at = began.elapsed();
                    let gap = last.map_or(Duration::ZERO, |last| at - last);
                    reply.longest_gap = reply.longest_gap.max(gap);
                    if last.is_none() {
                        reply.first = at;
                    }
                    last = Some(at);
                    reply.tokens += 1;
                    reply.text.push_str(&text);
                }
                Event::Done => reply.end = End::Complete,
                Event::Usage(_) => {}
                Event::Other => {
                    if let Some(data) = error_of(&event) {
                        reply.end = refused(&data);
                    }
                }
            }
        }
    }
    reply.total = began.elapsed();
}

fn error_of(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let data = text.strip_prefix("event: error\ndata: ")?;
    Some(data.trim_end().to_owned())
}

fn refused(text: &str) -> End {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    End::Refused(field("type"), field("reason"))
}

/// A fresh key as callers make it.
pub fn key() -> String {
    Uuid::now_v7().to_string()
}
