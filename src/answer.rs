//! Answers to callers: typed JSON errors, whole completions, events, plain answers.

use std::convert::Infallible;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use serde_json::json;

use crate::clock::Millis;
use crate::ids::RequestId;
use crate::intake::{BadRequest, Job};
use crate::outcome::{NotRunReason, Outcome, UnknownReason, Usage};
use crate::wire::Answer;

/// Advice to ask again about an outcome that is not known yet.
const ASK_AGAIN: Millis = Millis(1_000);

/// Bytes of a whole answer that are handed to the connection at a time.
const PART: usize = 16 << 10;

/// The `error` object of every failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// `not_run`, `outcome_unknown`, `failed_after_start`, `already_ran` or `bad_request`.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The reason's name.
    pub reason: String,
    /// A sentence for people.
    pub message: String,
    /// The request's id, also in the header `x-request-id`.
    pub request_id: String,
    /// When to come back, in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// The error of a request that did not complete.
    pub fn of(request: RequestId, outcome: &Outcome) -> Self {
        let (kind, reason, message, retry_after) = match outcome {
            Outcome::NotRun {
                reason,
                retry_after,
            } => (
                "not_run",
                name(reason),
                "The request was not run.",
                Some(*retry_after),
            ),
            Outcome::Unknown(reason) => {
                let message = "The request may have run; ask again with the same key.";
                ("outcome_unknown", name(reason), message, Some(ASK_AGAIN))
            }
            Outcome::Failed(reason) => {
                let message = "The request started and did not complete.";
                ("failed_after_start", name(reason), message, None)
            }
            Outcome::AlreadyRan | Outcome::Completed(_) => {
                let message = "The request ran once under this key; its answer is not kept.";
                ("already_ran", "already_ran".into(), message, None)
            }
        };
        Self {
            kind,
            reason,
            message: message.into(),
            request_id: request.to_string(),
            retry_after_ms: retry_after.map(|after| after.0),
        }
    }
}

/// The answer to a request that did not complete.
pub fn refusal(request: RequestId, outcome: &Outcome) -> Response<BoxBody> {
    let error = ErrorBody::of(request, outcome);
    let mut builder = Response::build(status(outcome));
    builder.insert_header(("content-type", "application/json"));
    builder.insert_header(("x-request-id", error.request_id.clone()));
    if let Some(ms) = error.retry_after_ms {
        builder.insert_header(("retry-after", ms.div_ceil(1_000).max(1).to_string()));
    }
    builder
        .body(json!({ "error": error }).to_string())
        .map_into_boxed_body()
}

/// The answer to a request that is at fault.
pub fn bad_request(bad: &BadRequest) -> Response<BoxBody> {
    let body = json!({ "error": {
        "type": "bad_request",
        "reason": bad.status.canonical_reason().unwrap_or_default(),
        "message": bad.findings.to_string(),
        "findings": bad.findings,
    }});
    Response::build(bad.status)
        .insert_header(("content-type", "application/json"))
        .body(body.to_string())
        .map_into_boxed_body()
}

/// A whole chat completion, as OpenAI's API has it.
pub fn completion<G: 'static>(job: &Job, text: &str, usage: &Usage, guard: G) -> Response<BoxBody> {
    let total = usage.prompt_tokens + usage.completion_tokens;
    let body = json!({
        "id": job.request.to_string(),
        "object": "chat.completion",
        "model": job.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": total,
        },
    });
    let whole = Answer {
        status: 200,
        content_type: "application/json".into(),
        body: body.to_string().into_bytes(),
    };
    passed_on(job.request, whole, guard)
}

/// A whole answer of an endpoint, passed on; `guard` is dropped once all of it has been written.
pub fn passed_on<G: 'static>(request: RequestId, answer: Answer, guard: G) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = Bytes::from(answer.body);
    let len = body.len() as u64;
    let parts = stream::unfold((body, guard), |(mut rest, guard)| async move {
        let part = rest.split_to(rest.len().min(PART));
        (!part.is_empty()).then_some((Ok::<_, Infallible>(part), (rest, guard)))
    });
    Response::build(status)
        .insert_header(("content-type", answer.content_type))
        .insert_header(("x-request-id", request.to_string()))
        .body(SizedStream::new(len, Box::pin(parts)))
        .map_into_boxed_body()
}

/// The event that ends a stream that did not complete.
pub fn error_event(request: RequestId, outcome: &Outcome) -> Bytes {
    let error = json!({ "error": ErrorBody::of(request, outcome) });
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}

/// The head of a stream of events.
pub fn events<B>(request: RequestId, body: B) -> Response<BoxBody>
where
    B: actix_http::body::MessageBody + 'static,
{
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-cache"))
        .insert_header(("x-request-id", request.to_string()))
        .body(body)
        .map_into_boxed_body()
}

/// A small JSON answer.
pub fn json<T: Serialize>(value: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(value).unwrap_or_default();
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_into_boxed_body()
}

fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::NotRun {
            reason: NotRunReason::OverLimit,
            ..
        } => StatusCode::TOO_MANY_REQUESTS,
        Outcome::NotRun {
            reason: NotRunReason::KeyFromFuture,
            ..
        } => StatusCode::BAD_REQUEST,
        Outcome::NotRun {
            reason: NotRunReason::NotAllowed,
            ..
        } => StatusCode::FORBIDDEN,
        Outcome::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::KeyInFlight) | Outcome::AlreadyRan => StatusCode::CONFLICT,
        Outcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Failed(_) | Outcome::Completed(_) => StatusCode::BAD_GATEWAY,
    }
}

/// The snake-case name of a reason.
fn name<T: Serialize>(reason: &T) -> String {
    let value = serde_json::to_value(reason).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
