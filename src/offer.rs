//! One offer of a request to one sidecar; dropping it withdraws the request there.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::entry::Entry;
use crate::ids::GrantId;
use crate::link::{Reader, Writer};
use crate::members::Instance;
use crate::outcome::Outcome;
use crate::suspicion;
use crate::wire::{Answer, FromSidecar, Offer, ToSidecar, REQUEST_PATH};

/// Time for a sidecar to answer an offer, be it only that the request waits.
const OFFER_REPLY: Duration = Duration::from_millis(1_500);
/// Silence after which the request is offered to another sidecar as well. Offers carry no work,
/// so asking twice runs nothing twice.
const HEDGE: Duration = Duration::from_millis(100);

/// What happens to an offer before it is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The sidecar said that the request waits.
    Queued,
    /// The sidecar has not answered yet.
    Silent,
}

/// Counts a request at an endpoint until dropped, since a withdrawn offer is a dropped future.
#[derive(Debug)]
pub struct InFlight {
    entry: Rc<Entry>,
    id: String,
}

impl InFlight {
    fn new(entry: &Rc<Entry>, id: &str) -> Self {
        entry.router.borrow_mut().record_start(id);
        Self {
            entry: Rc::clone(entry),
            id: id.into(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.router.borrow_mut().record_end(&self.id);
    }
}

/// A slot that is held for the request.
#[derive(Debug)]
pub struct Reserved {
    /// Where.
    pub instance: Instance,
    /// Messages to the sidecar.
    pub writer: Writer,
    /// Messages from it.
    pub reader: Reader,
    /// Names the slot.
    pub grant: GrantId,
    /// Counts the request as in flight.
    pub guard: InFlight,
}

/// What a sidecar said to an offer.
#[derive(Debug)]
pub enum Reply {
    /// A slot is held.
    Reserved(Box<Reserved>),
    /// The answer of an earlier run under the same key.
    Replay(Answer),
    /// The sidecar's own word.
    Ended(Outcome),
    /// No word from the sidecar.
    Silent,
}

/// Asks one sidecar for a slot; dropping the future withdraws the offer.
pub async fn ask(
    entry: Rc<Entry>,
    instance: Instance,
    offer: Offer,
    notices: mpsc::UnboundedSender<Notice>,
) -> (Instance, Reply) {
    entry.node.metrics.attempt();
    let guard = InFlight::new(&entry, &instance.id);
    let reply = ask_with(&entry, &instance, offer, notices, guard).await;
    (instance, reply.unwrap_or(Reply::Silent))
}

async fn ask_with(
    entry: &Rc<Entry>,
    instance: &Instance,
    offer: Offer,
    notices: mpsc::UnboundedSender<Notice>,
    guard: InFlight,
) -> Option<Reply> {
    let request = offer.request;
    let opening = async {
        let link = entry.links.get(instance.addr).await.ok()?;
        let (mut writer, mut reader) = link.open(REQUEST_PATH).await.ok()?;
        writer.send(&ToSidecar::Offer(offer)).await.ok()?;
        let first = reader.next::<FromSidecar>().await.ok()??;
        Some((writer, reader, first))
    };
    let mut opening = Box::pin(timeout(OFFER_REPLY, opening));
    let opened = tokio::select! {
        opened = &mut opening => opened,
        () = sleep(HEDGE) => {
            let now = entry.node.clock.now();
            entry.router.borrow_mut().record_failure(now, &instance.id);
            let _ = notices.send(Notice::Silent);
            opening.await
        }
    };
    let (writer, mut reader, mut message) = opened.ok()??;
    loop {
        let now = entry.node.clock.now();
        match message {
            FromSidecar::Queued(load) => {
                entry
                    .router
                    .borrow_mut()
                    .record_load(now, &instance.id, load);
                let _ = notices.send(Notice::Queued);
            }
            FromSidecar::Granted { grant, load, .. } => {
                entry
                    .router
                    .borrow_mut()
                    .record_load(now, &instance.id, load);
                let instance = instance.clone();
                let reserved = Reserved {
                    instance,
                    writer,
                    reader,
                    grant,
                    guard,
                };
                return Some(Reply::Reserved(Box::new(reserved)));
            }
            FromSidecar::Replay(answer) => return Some(Reply::Replay(answer)),
            FromSidecar::End {
                request: ended,
                outcome,
                load,
            } => {
                entry
                    .router
                    .borrow_mut()
                    .record_load(now, &instance.id, load);
                return (ended == request).then_some(Reply::Ended(outcome));
            }
            FromSidecar::Notices(notices) => suspicion::apply_notices(&entry.node, &notices),
            FromSidecar::Started | FromSidecar::Head { .. } | FromSidecar::Chunk { .. } => {
                return None
            }
        }
        message = reader.next::<FromSidecar>().await.ok()??;
    }
}
