//! This process's replica of the platform's documents: checked, monotone, and watched.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::audit::{Audit, Change};
use crate::bundle::{Bundle, Policy};
use crate::document::{Accepted, DocumentKind, Stamp, Update, Versions, MAX_DOCUMENT_BYTES};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::seal::{Opened, SealError, Trust};

/// Versions of the bundle whose acceptance is remembered.
const HISTORY: usize = 32;

/// The stamps of both documents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stamps {
    /// Bundle in force.
    pub bundle: Stamp,
    /// Instance list in force.
    pub members: Stamp,
}

impl Stamps {
    /// The stamp of one kind.
    pub const fn of(&self, kind: DocumentKind) -> Stamp {
        match kind {
            DocumentKind::Bundle => self.bundle,
            DocumentKind::Members => self.members,
        }
    }
}

/// What a refused document was refused for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is longer than [`MAX_DOCUMENT_BYTES`].
    Oversize,
    /// Its envelope or data are damaged.
    Malformed,
    /// No trusted key signed it.
    NotGenuine,
    /// It is genuine and does not pass validation.
    Invalid,
}

/// The documents in force.
#[derive(Debug)]
pub struct Replica {
    trust: Trust,
    bundle: RefCell<Versions>,
    members: RefCell<Versions>,
    policy: RefCell<Option<Rc<Policy>>>,
    list: RefCell<Rc<Members>>,
    history: RefCell<VecDeque<Stamp>>,
    refused: RefCell<Option<Stamp>>,
    changed: watch::Sender<Stamps>,
    metrics: Rc<Metrics>,
    audit: Rc<Audit>,
}

impl Replica {
    /// An empty replica that accepts bundles signed by `trust`.
    pub fn new(trust: Trust, metrics: Rc<Metrics>, audit: Rc<Audit>) -> Self {
        Self {
            trust,
            bundle: RefCell::default(),
            members: RefCell::default(),
            policy: RefCell::default(),
            list: RefCell::default(),
            history: RefCell::default(),
            refused: RefCell::default(),
            changed: watch::Sender::new(Stamps::default()),
            metrics,
            audit,
        }
    }

    /// The policy in force.
    pub fn policy(&self) -> Option<Rc<Policy>> {
        self.policy.borrow().clone()
    }

    /// The instance list in force.
    pub fn members(&self) -> Rc<Members> {
        Rc::clone(&self.list.borrow())
    }

    /// The stamps in force.
    pub fn stamps(&self) -> Stamps {
        *self.changed.borrow()
    }

    /// Earlier and present bundles, newest first.
    pub fn history(&self) -> Vec<Stamp> {
        self.history.borrow().iter().copied().collect()
    }

    /// Notices every change of the stamps.
    pub fn subscribe(&self) -> watch::Receiver<Stamps> {
        self.changed.subscribe()
    }

    /// Waits until a document is at least at `stamp`; false after `bound`.
    pub async fn reached(&self, kind: DocumentKind, stamp: Stamp, bound: Duration) -> bool {
        let mut rx = self.changed.subscribe();
        let reached = rx.wait_for(|stamps| stamps.of(kind) >= stamp);
        let in_time = timeout(bound, reached).await;
        matches!(in_time, Ok(Ok(_)))
    }

    /// Offers a document from the platform or a peer; `source` goes to the audit trail.
    pub fn offer(
        &self,
        kind: DocumentKind,
        text: &[u8],
        source: &str,
    ) -> Result<Accepted, Refused> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(self.refuse(kind, Refused::Oversize, source));
        }
        match kind {
            DocumentKind::Bundle => self.offer_bundle(text, source),
            DocumentKind::Members => self.offer_members(text, source),
        }
    }

    /// Offers a document that came as a update.
    pub fn offer_update(&self, update: &Update, source: &str) -> Result<Accepted, Refused> {
        let content = self.versions(update.kind).borrow().unpack(update);
        let content = content.ok_or(Refused::Malformed)?;
        self.offer(update.kind, &content, source)
    }

    /// The document for a peer that holds `have`.
    pub fn update(&self, kind: DocumentKind, have: Stamp) -> Option<Update> {
        self.versions(kind).borrow().update(kind, have)
    }

    fn versions(&self, kind: DocumentKind) -> &RefCell<Versions> {
        match kind {
            DocumentKind::Bundle => &self.bundle,
            DocumentKind::Members => &self.members,
        }
    }

    fn offer_bundle(&self, text: &[u8], source: &str) -> Result<Accepted, Refused> {
        let opened = self.trust.open(text).map_err(|err| match err {
            SealError::Malformed => Refused::Malformed,
            SealError::NotGenuine => Refused::NotGenuine,
        });
        let Opened {
            sealed,
            stamp,
            signer,
        } = opened.map_err(|why| self.refuse(DocumentKind::Bundle, why, source))?;
        let verdict = self.bundle.borrow().compare(stamp);
        if verdict != Accepted::Newer {
            self.note_conflict(verdict, stamp, source);
            return Ok(verdict);
        }
        if *self.refused.borrow() == Some(stamp) {
            return Err(Refused::Invalid);
        }
        let by = format!("key {signer} by {source}");
        let bundle = match Bundle::parse(sealed.payload.as_bytes()) {
            Ok(bundle) => bundle,
            Err(findings) => {
                *self.refused.borrow_mut() = Some(stamp);
                self.audit
                    .record(Change::bundle_refused(stamp, &by, findings.to_string()));
                return Err(self.refuse(DocumentKind::Bundle, Refused::Invalid, source));
            }
        };
        let from = self.stamps().bundle;
        let note = bundle.note.clone();
        self.bundle.borrow_mut().put(stamp, text);
        *self.policy.borrow_mut() = Some(Rc::new(Policy::new(bundle)));
        self.remember(stamp);
        self.audit
            .record(Change::bundle_accepted(from, stamp, &by, note));
        self.changed.send_modify(|stamps| stamps.bundle = stamp);
        Ok(Accepted::Newer)
    }

    fn offer_members(&self, text: &[u8], source: &str) -> Result<Accepted, Refused> {
        let parsed = Members::parse(text);
        let members =
            parsed.map_err(|_| self.refuse(DocumentKind::Members, Refused::Malformed, source))?;
        let stamp = Stamp::new(members.revision, text);
        let verdict = self.members.borrow_mut().put(stamp, text);
        if verdict == Accepted::Newer {
            *self.list.borrow_mut() = Rc::new(members);
            self.changed.send_modify(|stamps| stamps.members = stamp);
        }
        Ok(verdict)
    }

    fn remember(&self, stamp: Stamp) {
        let mut history = self.history.borrow_mut();
        history.push_front(stamp);
        history.truncate(HISTORY);
    }

    fn refuse(&self, kind: DocumentKind, why: Refused, source: &str) -> Refused {
        self.metrics.document_refused(kind, why);
        tracing::debug!(?kind, ?why, source, "document refused");
        why
    }

    fn note_conflict(&self, verdict: Accepted, stamp: Stamp, source: &str) {
        match verdict {
            Accepted::Older => self.metrics.bundle_older(),
            Accepted::Conflict => {
                self.metrics.bundle_conflict();
                tracing::debug!(
                    version = stamp.version,
                    source,
                    "two bundles of one version"
                );
            }
            Accepted::Newer | Accepted::Same => {}
        }
    }
}
