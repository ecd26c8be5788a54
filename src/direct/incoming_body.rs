//! The body of a request while it is read: whether there is memory for it, and until when it must
//! have arrived.

use std::future::Future;

use actix_http::header::CONTENT_LENGTH;
use actix_http::RequestHead;

use crate::body_buffer::BodyBuffer;
use crate::clock::Millis;
use crate::direct::body::RequestBody;
use crate::direct::catalog::CallerLimits;
use crate::direct::decision::RefusalReason;
use crate::direct::dialect::{ErrorResponse, ParsedRequest};
use crate::direct::entry::Entry;
use crate::direct::intake::{BodyRefusal, RequestReadError};
use crate::direct::known::load;
use crate::direct::refuse;
use crate::direct::resolve::Denied;
use crate::direct::uploads::Upload;
use crate::memory::{Purpose, SMALL_BODY_BYTES};

/// Initial capacity for a body whose length is not known, in bytes.
const INITIAL_CAPACITY: usize = 4 << 10;

/// What the route of a request says of its body.
#[derive(Debug, Clone)]
struct BodyRoute {
    /// Its first pool.
    pool: String,
    /// Its urgency; 0 is the highest.
    urgency: u8,
    /// Time for the whole request.
    timeout: Millis,
}

/// The body of a request while it is read.
#[derive(Debug)]
pub struct IncomingBody<'a> {
    entry: &'a Entry,
    /// Head of the request.
    pub head: &'a RequestHead,
    parsed: &'a Result<ParsedRequest, ErrorResponse>,
    received_at: Millis,
    limits: CallerLimits,
    /// Its route, or why no route allows it.
    route: Result<BodyRoute, Denied>,
    /// Urgency band; the least urgent one where no route allows the request.
    band: usize,
    /// When it must have arrived.
    deadline: Millis,
    upload: Upload,
    buf: BodyBuffer,
}

impl<'a> IncomingBody<'a> {
    /// The body of a request whose head has been read; nothing is held for it yet.
    pub fn new(
        entry: &'a Entry,
        head: &'a RequestHead,
        parsed: &'a Result<ParsedRequest, ErrorResponse>,
        received_at: Millis,
        limits: CallerLimits,
    ) -> Self {
        let parsed_ok = parsed.as_ref().ok();
        let route = parsed_ok.map_or(Err(Denied::NoRoute), |ask| find_route(entry, ask));
        let band = load::band(route.as_ref().map_or(u8::MAX, |route| route.urgency));
        let route_time = route.as_ref().map_or(limits.head_time, |r| r.timeout);
        let caller_time = parsed_ok.and_then(|ask| ask.caller_timeout);
        let time = caller_time.map_or(route_time, |time| time.min(route_time));
        let upload = entry.uploads.begin(band, entry.clock.now());
        Self {
            entry,
            head,
            parsed,
            received_at,
            limits,
            route,
            band,
            deadline: received_at + time,
            upload,
            buf: BodyBuffer::default(),
        }
    }

    /// Holds memory for the body where its length is known. Fails where it can't be taken.
    pub fn begin(&mut self) -> Result<(), RequestReadError> {
        match self.declared_length() {
            Some(length) => self.grow_to(length, length),
            None => Ok(()),
        }
    }

    /// Adds bytes that have arrived. Fails where there is no memory for them.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), RequestReadError> {
        let length = self.buf.len() + bytes.len();
        if length > self.buf.capacity() {
            let capacity = length.next_power_of_two().max(INITIAL_CAPACITY);
            self.grow_to(length, capacity)?;
        }
        let appended = self.buf.extend(bytes);
        appended.map_err(|_| self.no_memory(length))?;
        self.upload.arrived(bytes.len(), self.entry.clock.now());
        Ok(())
    }

    /// Waits for more bytes. Fails where they are late, or the body has to give way to another one.
    pub async fn wait_for(
        &self,
        reading: impl Future<Output = Result<(), RequestReadError>>,
    ) -> Result<(), RequestReadError> {
        let until = (self.entry.clock.now() + self.limits.head_time).min(self.deadline);
        let read = async {
            tokio::select! {
                biased;
                () = self.upload.displaced() => Err(self.no_memory(self.buf.capacity())),
                read = reading => read,
            }
        };
        let read = self.entry.clock.timeout_at(until, read).await;
        read.unwrap_or_else(|| {
            let arrived_bytes = self.buf.len() as u64;
            let why = RefusalReason::BodyTooSlow { arrived_bytes };
            Err(self.refusal(why, ErrorResponse::TooSlow))
        })
    }

    /// The body, whose last byte has arrived. Fails where it had to give way before that.
    pub fn complete(self) -> Result<RequestBody, RequestReadError> {
        let given_way = self.no_memory(self.buf.capacity());
        let held = self.upload.complete().ok_or(given_way)?;
        Ok(RequestBody::new(self.buf.freeze(), held))
    }

    /// Length of the body in bytes, as the head names it.
    fn declared_length(&self) -> Option<usize> {
        let length = self.head.headers.get(CONTENT_LENGTH)?;
        length.to_str().ok()?.trim().parse().ok()
    }

    /// Makes room for a body that has at least `length` bytes.
    fn grow_to(&mut self, length: usize, capacity: usize) -> Result<(), RequestReadError> {
        if length > self.limits.body_bytes {
            return Err(RequestReadError::Refused(ErrorResponse::BodyTooLong));
        }
        let capacity = capacity.min(self.limits.body_bytes);
        if capacity > SMALL_BODY_BYTES {
            self.check_allowed()?;
        }
        // Both buffers exist while one is copied to the other.
        let needed = self.buf.len() + capacity;
        let purpose = Purpose::Request { band: self.band };
        if !self.entry.memory.could_hold(purpose, needed) {
            let body_bytes = length as u64;
            let why = RefusalReason::BodyTooLarge { body_bytes };
            return Err(self.refusal(why, ErrorResponse::BodyTooLong));
        }
        let now = self.entry.clock.now();
        if !self.entry.uploads.grow_to(&self.upload, needed, now) {
            return Err(self.no_memory(length));
        }
        self.buf = self
            .buf
            .grown_to(capacity)
            .map_err(|_| self.no_memory(length))?;
        self.upload.hold(capacity);
        Ok(())
    }

    /// Fails where the request will not run. The body of such a request is read only where it is
    /// small, so that its connection can be kept.
    fn check_allowed(&self) -> Result<(), RequestReadError> {
        if let Err(error) = self.parsed {
            return Err(RequestReadError::Refused(*error));
        }
        match self.route {
            Ok(_) => Ok(()),
            Err(denied) => {
                let why = RefusalReason::Denied(denied);
                Err(self.refusal(why, refuse::error_response(denied)))
            }
        }
    }

    fn no_memory(&self, body_bytes: usize) -> RequestReadError {
        let why = RefusalReason::NoMemory {
            body_bytes: body_bytes as u64,
            held_bytes: self.entry.memory.held() as u64,
        };
        let delay = refuse::delay_without_memory(self.band);
        self.refusal(why, ErrorResponse::NotRun(delay))
    }

    fn refusal(&self, why: RefusalReason, error: ErrorResponse) -> RequestReadError {
        let Ok(parsed) = self.parsed else {
            return RequestReadError::Refused(error);
        };
        let route = self.route.as_ref().ok();
        RequestReadError::BodyRefused(Box::new(BodyRefusal {
            parsed: parsed.clone(),
            received_at: self.received_at,
            why,
            error,
            route: route.map(|route| (route.pool.clone(), route.urgency)),
        }))
    }
}

/// The route of a request, or why it may not run.
fn find_route(entry: &Entry, ask: &ParsedRequest) -> Result<BodyRoute, Denied> {
    let allowed = entry.allow(ask)?;
    let catalog = entry.catalog().ok_or(Denied::NoCatalog)?;
    let route = &catalog.routes[allowed.route.0];
    let pool = route.shares.first().map(|share| share.pool.clone());
    Ok(BodyRoute {
        pool: pool.unwrap_or_default(),
        urgency: route.priority,
        timeout: route.timeout,
    })
}
