//! Parts of prompts that may have caused endpoints to end: what this entry saw itself, and what it
//! and its peers tell each other.

use std::net::SocketAddr;

use super::Entry;
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::ends::LostRun;
use crate::direct::peers::{self, SharedKind};
use crate::quarantine::parts::{
    EndpointKind, PartChange, PartEnd, PartId, PartNotice, PartRefusal, SharedParts,
    MAX_PART_NOTICES,
};
use crate::quarantine::IncarnationDigest;

/// Time for which an entry has the turn to try a refused part. Any entry may get the next request
/// with the part, so the turn goes round.
const TRIAL_TURN: Millis = Millis::from_secs(60);

impl Entry {
    /// Puts the parts of runs that were lost with an ended endpoint under suspicion, where the
    /// endpoint may have ended when it began to answer them.
    pub(super) fn suspect_lost_parts(&self, endpoint: IncarnationDigest, lost: &[LostRun]) {
        let now = self.clock.now();
        let mut quarantine = self.part_quarantine.borrow_mut();
        for run in lost.iter().filter(|run| run.may_have_begun_to_answer()) {
            quarantine.record_run(true, now);
            for part in run.parts.iter() {
                let end = PartEnd {
                    endpoint,
                    kind: run.kind,
                    request: PartEnd::request_digest(run.request),
                    began: run.began,
                    ended: run.lost,
                };
                quarantine.record_end(*part, end);
            }
        }
    }

    /// Records that an endpoint wrote an answer to a prompt with these parts.
    pub(super) fn record_harmless_parts(&self, parts: &SharedParts, kind: EndpointKind) {
        let now = self.clock.now();
        self.part_quarantine.borrow_mut().record_run(false, now);
        for part in parts.iter() {
            let mut quarantine = self.part_quarantine.borrow_mut();
            let change = quarantine.record_harmless(*part, kind, now, now);
            drop(quarantine);
            self.handle_part_change(*part, change);
        }
    }

    /// Tells judges of ends that are due, and evaluates the suspected parts where this entry is a judge.
    pub fn update_part_suspicion(&self) {
        let now = self.clock.now();
        let due = self.part_quarantine.borrow_mut().due_reports(now);
        self.tell_judges(due, now);
        let refused = self.part_quarantine.borrow_mut().evaluate(now);
        for part in refused {
            self.handle_part_change(part, PartChange::Refused);
        }
    }

    /// Sends reports to the judges; applies them where this entry is one.
    fn tell_judges(&self, reports: Vec<PartNotice>, now: Millis) {
        if reports.is_empty() {
            return;
        }
        let (judges, is_own) = self.peers.borrow().judges(now);
        for judge in judges {
            for notices in reports.chunks(MAX_PART_NOTICES) {
                self.send_part_datagram(judge, notices);
            }
        }
        if is_own {
            self.handle_part_notices(reports);
        }
    }

    /// Applies notices of peers, or own ones.
    pub(super) fn handle_part_notices(&self, notices: Vec<PartNotice>) {
        let now = self.clock.now();
        for notice in notices {
            let part = notice.part();
            let change = self.part_quarantine.borrow_mut().apply(&notice, now);
            let is_question = matches!(notice, PartNotice::Asked { .. });
            if is_question && change == PartChange::Told {
                let answers = self.part_quarantine.borrow().answers(part, now);
                self.tell_judges(answers, now);
            }
            self.handle_part_change(part, change);
        }
    }

    fn handle_part_change(&self, part: PartId, change: PartChange) {
        match change {
            PartChange::None => {}
            PartChange::Told => self.gossip_requested.notify_one(),
            PartChange::Refused => {
                self.log_part_refused(part);
                self.gossip_requested.notify_one();
            }
            PartChange::Cleared => {
                self.log.state_change(Decision::PartCleared { part });
                self.gossip_requested.notify_one();
            }
            PartChange::ForJudges(notice) => {
                self.tell_judges(vec![notice], self.clock.now());
            }
        }
    }

    fn log_part_refused(&self, part: PartId) {
        let now = self.clock.now();
        let verdict = self.part_quarantine.borrow().verdict(part, now);
        if let Some((refusal, with)) = verdict {
            self.log.state_change(Decision::PartRefused {
                part,
                with,
                ends: refusal.ends,
                for_ms: (refusal.until - now).0,
            });
        }
    }

    /// Sends a peer the notices about parts since a time; `repeats` includes all verdicts in force.
    pub fn send_part_notices(&self, to: SocketAddr, since: Millis, repeats: bool) {
        let now = self.clock.now();
        let notices = self.part_quarantine.borrow().notices(since, repeats, now);
        self.send_part_datagram(to, &notices);
    }

    /// Sends a peer that is new all verdicts in force.
    pub(super) fn greet_with_part_verdicts(&self, to: SocketAddr) {
        self.send_part_notices(to, self.clock.now(), true);
    }

    fn send_part_datagram(&self, to: SocketAddr, notices: &[PartNotice]) {
        if notices.is_empty() {
            return;
        }
        let bytes = peers::encode_shared(SharedKind::Parts, self.id, &notices);
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), bytes) else {
            return;
        };
        // A peer that is down causes an error here; others tell it when it is back.
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "notices about parts not sent");
        }
    }

    /// Why a request with these parts is refused at some or all endpoints; `None` if it is not. Where
    /// this entry is to try one such request now, it is not refused here.
    pub fn part_refusal(&self, parts: &[PartId]) -> Option<PartRefusal> {
        let now = self.clock.now();
        let refusal = self.part_quarantine.borrow().refusal(parts, now)?;
        let is_own_trial = refusal.is_trial_due && self.has_trial_turn(refusal.part, now);
        (!is_own_trial).then_some(refusal)
    }

    /// Records that a request with these parts is about to be sent. If one of them is tried with it,
    /// peers are told.
    pub fn record_part_trial(&self, parts: &[PartId]) {
        let now = self.clock.now();
        let refusal = self.part_quarantine.borrow().refusal(parts, now);
        if let Some(refusal) = refusal.filter(|refusal| refusal.is_trial_due) {
            let mut quarantine = self.part_quarantine.borrow_mut();
            let change = quarantine.record_trial(refusal.part, now);
            drop(quarantine);
            self.handle_part_change(refusal.part, change);
        }
    }

    /// Whether it is this entry's turn to try a refused part. The entries have it one after the
    /// other, by the time since the verdict.
    fn has_trial_turn(&self, part: PartId, now: Millis) -> bool {
        let since = self.part_quarantine.borrow().refused_since(part);
        let turn = since.map_or(0, |since| (now - since).0 / TRIAL_TURN.0);
        self.peers.borrow().is_first(part.0 ^ turn, now)
    }
}
