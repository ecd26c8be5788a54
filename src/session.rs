//! One request stream at a sidecar: agree on documents, wait for a slot, run, tell the end.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::document::DocumentKind;
use crate::ids::ClassKey;
use crate::keys::{self, KeyVerdict};
use crate::link::{Incoming, LinkError, Reader, Writer};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::run::{self, Ran};
use crate::schedule::{SlotRequest, TicketKey};
use crate::sidecar::{Listing, Sidecar, Turn};
use crate::suspicion;
use crate::wire::{Answer, FromSidecar, Offer, Start, ToSidecar};

/// Time for an entry to send its offer once the stream is open.
const OFFER_TIME: Duration = Duration::from_secs(2);
/// Time to catch up with a newer document that an entry has told of.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Advice to come back after a disagreement on documents.
const DISAGREED: Millis = Millis(500);
/// Advice to come back when a key can't be held or its place has moved.
const KEY_RETRY: Millis = Millis(1_000);

/// How a session ends, apart from a run.
#[derive(Debug)]
enum Ending {
    Outcome(Outcome),
    Replay(Answer),
    Gone,
}

/// A request that may wait for a slot.
#[derive(Debug)]
struct Admitted {
    ask: SlotRequest,
    priority: u8,
    stall: Millis,
}

/// Serves one request stream to its end.
pub async fn serve(sidecar: Rc<Sidecar>, incoming: Incoming) {
    let Incoming {
        mut writer,
        mut reader,
        abort,
        ..
    } = incoming;
    let offer = match timeout(OFFER_TIME, reader.next::<ToSidecar>()).await {
        Ok(Ok(Some(ToSidecar::Offer(offer)))) => offer,
        Ok(Err(LinkError::Wire(err))) => {
            sidecar.node.metrics.bad_frame(err);
            abort.notify_one();
            return;
        }
        _ => return,
    };
    let ending = attend(&sidecar, &offer, &mut writer, &mut reader).await;
    let outcome = match ending {
        Ending::Gone => return,
        Ending::Outcome(outcome) => outcome,
        Ending::Replay(answer) => {
            let _ = writer.send(&FromSidecar::Replay(answer)).await;
            Outcome::AlreadyRan
        }
    };
    sidecar.node.metrics.request(&offer.class, &outcome);
    let end = FromSidecar::End {
        request: offer.request,
        outcome,
        load: sidecar.load(),
    };
    if writer.send(&end).await.is_ok() {
        writer.close();
    }
}

async fn attend(
    sidecar: &Rc<Sidecar>,
    offer: &Offer,
    writer: &mut Writer,
    reader: &mut Reader,
) -> Ending {
    if let Err(outcome) = agree(sidecar, offer).await {
        return Ending::Outcome(outcome);
    }
    let admitted = match admit(sidecar, offer) {
        Ok(admitted) => admitted,
        Err(outcome) => return Ending::Outcome(outcome),
    };
    if let Some(ending) = hold_key(sidecar, offer) {
        return ending;
    }
    if offer.query {
        release_key(sidecar, offer);
        return Ending::Outcome(Outcome::not_run(NotRunReason::TooLate, KEY_RETRY));
    }
    let Some((ticket, mut turns)) = sidecar.offer(admitted.ask) else {
        release_key(sidecar, offer);
        return Ending::Outcome(Outcome::not_run(NotRunReason::StaleBundle, DISAGREED));
    };
    let start = match await_start(sidecar, ticket, &mut turns, writer, reader).await {
        Ok(start) => start,
        Err(ending) => {
            sidecar.finish(ticket, 0);
            release_key(sidecar, offer);
            return ending;
        }
    };
    let job = run::Job {
        offer,
        start: &start,
        ticket,
        priority: admitted.priority,
        stall: admitted.stall,
    };
    suspicion::before_run(sidecar).await;
    let began = sidecar.node.clock.now();
    let ran = run::execute(sidecar, job, &mut turns, writer).await;
    let notices = suspicion::after_run(sidecar, offer, &start, began, &ran).await;
    if !notices.is_empty() {
        // An entry that has gone hears it from its peers.
        let _ = writer.send(&FromSidecar::Notices(notices)).await;
    }
    sidecar.finish(ticket, ran.tokens());
    match ran {
        Ran::NeverStarted(outcome) => {
            release_key(sidecar, offer);
            Ending::Outcome(outcome)
        }
        Ran::Ended {
            outcome, answer, ..
        } => {
            settle_key(sidecar, offer, &outcome, answer);
            Ending::Outcome(outcome)
        }
    }
}

/// Brings both sides to the same documents before anything is decided.
async fn agree(sidecar: &Sidecar, offer: &Offer) -> Result<(), Outcome> {
    let replica = &sidecar.node.replica;
    if offer.members > replica.stamps().members {
        let _ = replica
            .reached(DocumentKind::Members, offer.members, CATCH_UP)
            .await;
    }
    if offer.bundle > replica.stamps().bundle {
        let _ = replica
            .reached(DocumentKind::Bundle, offer.bundle, CATCH_UP)
            .await;
    }
    if offer.bundle != replica.stamps().bundle {
        return Err(Outcome::not_run(NotRunReason::StaleBundle, DISAGREED));
    }
    sidecar.apply_documents();
    if sidecar.listing.get() == Listing::Superseded {
        return Err(Outcome::not_run(NotRunReason::Superseded, DISAGREED));
    }
    Ok(())
}

fn admit(sidecar: &Sidecar, offer: &Offer) -> Result<Admitted, Outcome> {
    let disagreed = Outcome::not_run(NotRunReason::StaleBundle, DISAGREED);
    let policy = sidecar.node.replica.policy().ok_or(disagreed)?;
    let pool = sidecar.pool(&policy).ok_or(disagreed)?;
    let class: ClassKey = policy.class(&offer.class).ok_or(disagreed)?;
    let team = policy.team(&offer.team).ok_or(disagreed)?;
    let settings = &sidecar.settings;
    let here = offer.pool == settings.pool && offer.ordinal == settings.ordinal;
    let is_home = match offer.key {
        Some(key) if offer.once => keys::home(key, pool.places) == settings.ordinal,
        _ => true,
    };
    if !here || !is_home {
        return Err(Outcome::not_run(NotRunReason::NotHome, DISAGREED));
    }
    let ask = SlotRequest {
        request: offer.request,
        class,
        team: offer.team.clone(),
        weight: policy.team_at(team).weight,
        est_tokens: offer.est_tokens,
        max_wait: Millis(u64::from(offer.max_wait_ms)),
        preemptible: !offer.once,
    };
    let priority = policy.class_at(class).priority;
    Ok(Admitted {
        ask,
        priority,
        stall: Millis(pool.stall_ms),
    })
}

/// Holds the key of work that may run only once; an ending when it may not run now.
fn hold_key(sidecar: &Sidecar, offer: &Offer) -> Option<Ending> {
    let key = held_key(offer)?;
    if sidecar.may_have_run_elsewhere(key) {
        return Some(Ending::Outcome(Outcome::Unknown(
            UnknownReason::KeyForgotten,
        )));
    }
    let policy = sidecar.node.replica.policy()?;
    let skew = Millis(policy.bundle.limits.clock_skew_ms);
    let wall = sidecar.node.clock.wall();
    let unknown = |reason| Some(Ending::Outcome(Outcome::Unknown(reason)));
    let not_run = |reason| Some(Ending::Outcome(Outcome::not_run(reason, KEY_RETRY)));
    match sidecar.keys.borrow_mut().begin(key, wall, skew) {
        KeyVerdict::Fresh => None,
        KeyVerdict::Done(answer) => Some(Ending::Replay(answer)),
        KeyVerdict::DoneUnkept => Some(Ending::Outcome(Outcome::AlreadyRan)),
        KeyVerdict::InFlight => unknown(UnknownReason::KeyInFlight),
        KeyVerdict::Unknown => unknown(UnknownReason::EarlierAttempt),
        KeyVerdict::Forgotten => unknown(UnknownReason::KeyForgotten),
        KeyVerdict::FromFuture => not_run(NotRunReason::KeyFromFuture),
        KeyVerdict::Full => not_run(NotRunReason::KeyMemoryFull),
    }
}

fn held_key(offer: &Offer) -> Option<uuid::Uuid> {
    offer.key.filter(|_| offer.once)
}

fn release_key(sidecar: &Sidecar, offer: &Offer) {
    if let Some(key) = held_key(offer) {
        sidecar.keys.borrow_mut().release(key);
    }
}

fn settle_key(sidecar: &Sidecar, offer: &Offer, outcome: &Outcome, answer: Option<Answer>) {
    let Some(key) = held_key(offer) else {
        return;
    };
    let mut keys = sidecar.keys.borrow_mut();
    match outcome {
        Outcome::Completed(_) => keys.done(key, answer),
        _ => keys.unknown(key),
    }
}

/// Waits for the grant, tells the entry, and waits for the work.
async fn await_start(
    sidecar: &Sidecar,
    ticket: TicketKey,
    turns: &mut UnboundedReceiver<Turn>,
    writer: &mut Writer,
    reader: &mut Reader,
) -> Result<Start, Ending> {
    let until = match turns.try_recv() {
        Ok(turn) => granted(turn)?,
        Err(_) => {
            let queued = FromSidecar::Queued(sidecar.load());
            writer.send(&queued).await.map_err(|_| Ending::Gone)?;
            tokio::select! {
                turn = turns.recv() => granted(turn.ok_or(Ending::Gone)?)?,
                () = writer.gone() => return Err(Ending::Gone),
            }
        }
    };
    let grant = sidecar.next_grant();
    let valid_ms = (until - sidecar.node.clock.now()).as_u32();
    let message = FromSidecar::Granted {
        grant,
        valid_ms,
        load: sidecar.load(),
    };
    writer.send(&message).await.map_err(|_| Ending::Gone)?;
    let start = tokio::select! {
        message = reader.next::<ToSidecar>() => message,
        turn = turns.recv() => {
            granted(turn.ok_or(Ending::Gone)?)?;
            return Err(Ending::Gone);
        }
        () = writer.gone() => return Err(Ending::Gone),
    };
    let lapsed = Ending::Outcome(Outcome::not_run(NotRunReason::GrantLapsed, KEY_RETRY));
    match start {
        Ok(Some(ToSidecar::Start(start))) if start.grant == grant => {
            if sidecar.start(ticket) {
                Ok(start)
            } else {
                Err(lapsed)
            }
        }
        Ok(Some(_)) => Err(lapsed),
        _ => Err(Ending::Gone),
    }
}

/// The end of the grant, or the refusal as an ending.
fn granted(turn: Turn) -> Result<Millis, Ending> {
    match turn {
        Turn::Granted { until } => Ok(until),
        Turn::Refused {
            reason,
            retry_after,
        } => Err(Ending::Outcome(Outcome::not_run(reason, retry_after))),
        Turn::Pause | Turn::Resume => Err(Ending::Gone),
    }
}
