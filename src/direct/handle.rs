//! One request from reading to its last byte: allowed here, run by its [`Job`].

use std::cell::RefCell;
use std::rc::Rc;

use crate::direct::answerer::Answerer;
use crate::direct::decision::RefusalReason;
use crate::direct::dialect::Refusal;
use crate::direct::entry::{Entry, Life};
use crate::direct::intake::IncomingRequest;
use crate::direct::job::Job;
use crate::direct::progress::Progress;
use crate::direct::refuse::{self, RETRY_ELSEWHERE_AFTER};
use crate::direct::resolve::Denied;

/// Serves a request; false when the connection is to be closed.
pub async fn handle(
    entry: &Rc<Entry>,
    incoming: &IncomingRequest,
    answerer: &mut Answerer,
    progress: &RefCell<Progress>,
) -> bool {
    let ask = match entry.dialect.parse_request(&incoming.head) {
        Ok(ask) => ask,
        Err(refusal) => return refuse::write(entry, answerer, refusal, None).await,
    };
    progress.borrow_mut().id = ask.id.as_bytes().to_vec();
    if entry.life() == Life::Stopping {
        refuse::log(entry, &ask, incoming, RefusalReason::Stopping, None);
        let refusal = Refusal::NotRun(RETRY_ELSEWHERE_AFTER);
        return refuse::write(entry, answerer, refusal, Some(&ask)).await;
    }
    let allowed = match entry.allow(&ask) {
        Ok(allowed) => allowed,
        Err(denied) => return refuse::deny(entry, answerer, &ask, incoming, denied).await,
    };
    let Some(catalog) = entry.catalog() else {
        return refuse::deny(entry, answerer, &ask, incoming, Denied::NoCatalog).await;
    };
    let mut job = Job::new(entry, incoming, &ask, progress, catalog, allowed);
    job.run(answerer).await
}
