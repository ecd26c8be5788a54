//! Handles one request after it has been read: decides whether it is allowed, and lets a [`Job`]
//! run it.

use std::cell::RefCell;
use std::rc::Rc;

use crate::direct::answerer::Answerer;
use crate::direct::decision::RefusalReason;
use crate::direct::dialect::ErrorResponse;
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::intake::IncomingRequest;
use crate::direct::job::Job;
use crate::direct::progress::Progress;
use crate::direct::refuse::{self, RETRY_ELSEWHERE_AFTER};
use crate::direct::resolve::Denied;

/// Handles a request and writes its response; returns false where the connection must be closed
/// after it.
pub async fn handle(
    entry: &Rc<Entry>,
    incoming: &IncomingRequest,
    answerer: &mut Answerer,
    progress: &RefCell<Progress>,
) -> bool {
    let parsed = match &incoming.parsed {
        Ok(parsed) => parsed,
        Err(error) => return refuse::write(entry, answerer, *error, None).await,
    };
    let received_at = incoming.received_at;
    progress.borrow_mut().id = parsed.id.as_bytes().to_vec();
    if entry.process_state() == ProcessState::Stopping {
        refuse::log(entry, parsed, received_at, RefusalReason::Stopping, None);
        let error = ErrorResponse::NotRun(RETRY_ELSEWHERE_AFTER);
        return refuse::write(entry, answerer, error, Some(parsed)).await;
    }
    let allowed = match entry.allow(parsed) {
        Ok(allowed) => allowed,
        Err(denied) => return refuse::deny(entry, answerer, parsed, received_at, denied).await,
    };
    let Some(catalog) = entry.catalog() else {
        return refuse::deny(entry, answerer, parsed, received_at, Denied::NoCatalog).await;
    };
    let mut job = Job::new(entry, incoming, parsed, progress, catalog, allowed);
    job.run(answerer).await
}
