//! Accepts callers' connections, and serves the requests of each connection one after the other.

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::ResponseHead;
use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};

use crate::accept::Acceptor;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{Decision, RequestOutcome};
use crate::direct::entry::Entry;
use crate::direct::handle::handle;
use crate::direct::intake::{IncomingRequest, RequestReadError, RequestReader};
use crate::direct::progress::Progress;
use crate::direct::refuse;

/// Accepts connections until the task is aborted.
pub async fn accept(entry: Rc<Entry>, listener: Rc<TcpListener>) -> anyhow::Result<()> {
    let mut acceptor = Acceptor::new(listener, entry.clock.clone());
    loop {
        let accepted = acceptor.next().await;
        if accepted.closed_unread > 0 {
            record_closed_unread(&entry, accepted.closed_unread);
        }
        actix_rt::spawn(serve(Rc::clone(&entry), accepted.stream));
    }
}

fn record_closed_unread(entry: &Entry, connections: u64) {
    entry.metrics.closed_unread(connections);
    entry.log.state_change(Decision::ConnectionsClosed {
        unread: connections,
    });
}

/// Serves the requests of one connection until it is closed.
async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "TCP_NODELAY not set; small packets may be delayed");
    }
    let (reader, writer) = stream.into_split();
    let mut request_reader = RequestReader::new(reader, &entry.memory);
    let mut answerer = Answerer::new(writer);
    loop {
        let read = request_reader.next(&entry, &mut answerer).await;
        let keep_open = match read {
            Ok(incoming) => serve_one(&entry, &incoming, &mut request_reader, &mut answerer).await,
            Err(RequestReadError::Refused(error)) => {
                let head = entry.dialect.error_response(error, None);
                end_unread(head, &mut request_reader, &mut answerer).await
            }
            Err(RequestReadError::BodyRefused(refusal)) => {
                refuse::record_body(&entry, &refusal);
                let id = &refusal.parsed.id;
                let head = entry.dialect.error_response(refusal.error, Some(id));
                end_unread(head, &mut request_reader, &mut answerer).await
            }
            Err(RequestReadError::Closed) => false,
        };
        if !keep_open {
            answerer.close();
            return;
        }
    }
}

/// Refuses a request that was not read completely; the connection is to be closed.
async fn end_unread(
    head: ResponseHead,
    request_reader: &mut RequestReader,
    answerer: &mut Answerer,
) -> bool {
    let written = answerer.send_response(head, Bytes::new(), true).await;
    if written.is_ok() {
        request_reader.linger_before_close(answerer).await;
    }
    false
}

/// Serves one request; returns false where the connection must be closed after it.
async fn serve_one(
    entry: &Rc<Entry>,
    incoming: &IncomingRequest,
    request_reader: &mut RequestReader,
    answerer: &mut Answerer,
) -> bool {
    let _in_flight = entry.count_in_flight();
    let progress = RefCell::new(Progress::default());
    tokio::select! {
        keep_open = handle(entry, incoming, answerer, &progress) => keep_open,
        () = request_reader.caller_disconnected() => {
            progress.borrow().log_ended(entry, incoming, RequestOutcome::CallerGone, 0);
            false
        }
    }
}
