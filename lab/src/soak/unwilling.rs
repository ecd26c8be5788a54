//! Engines of the soak that leave, ask for rest or name limits in their answers, and what reached them all the same.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::{sleep, Instant};

use super::{Issue, RelayedEngine, Soak};
use crate::limited::{self, Sent};
use crate::standin::{Announcing, Arrival};

/// Time after which an entry that passed on an answer of an engine that leaves sends it nothing more. What it was sent
/// before may still be on its way; the platform's bound is 2 s and more.
const LEAVING_SLACK: Duration = Duration::from_millis(500);
/// Time after which an entry that was asked for rest sends nothing more, as the platform has it.
const REST_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach an engine in the rest of that time.
const MOST_IN_REST: usize = 2;
/// Times of rest, as engines write them.
const RESTS: [&str; 5] = ["0.3", "1", "1.5", "3", "soon"];

/// Limits, as engines write them.
const LIMITS: [&str; 7] = ["0", "0.5", "1", "3.3", "3.3", "20", "few"];

impl Soak {
    /// An engine says in its answers that it leaves; another one comes, and the store hears of neither for a time.
    pub(super) async fn leave_unlisted(&self, engine: usize, time: Duration) -> anyhow::Result<()> {
        self.add_engine().await?;
        let old = self.engines.borrow_mut().remove(engine);
        old.engine.set_leaving(true);
        let store = Rc::clone(&self.site.borrow().store);
        let leaving = Rc::clone(&old.engine);
        old.left_at.set(Some(Instant::now() + time));
        self.gone.borrow_mut().push(old);
        actix_rt::spawn(async move {
            sleep(time).await;
            store.unlist(&leaving);
        });
        Ok(())
    }

    /// An engine turns everything away and asks for rest, and takes requests again before or after that time.
    pub(super) fn rest(&self, engine: usize, rng: &mut SmallRng) {
        let engine = Rc::clone(&self.engines.borrow()[engine].engine);
        engine.set_resting(Some(RESTS[rng.gen_range(0..RESTS.len())]));
        let time = Duration::from_millis(rng.gen_range(100..3_000));
        actix_rt::spawn(async move {
            sleep(time).await;
            engine.set_resting(None);
        });
    }

    /// An engine names a limit in its answers for a time.
    pub(super) fn name_limit(&self, engine: usize, rng: &mut SmallRng) {
        let engine = Rc::clone(&self.engines.borrow()[engine].engine);
        engine.set_limit(Some(LIMITS[rng.gen_range(0..LIMITS.len())]));
        let time = Duration::from_millis(rng.gen_range(2_000..8_000));
        actix_rt::spawn(async move {
            sleep(time).await;
            engine.set_limit(None);
        });
    }

    /// What reached engines against what they had announced to the same entry.
    pub(super) fn check_unwilling(&self) -> Vec<String> {
        let issues = self.issues.borrow();
        let gone = self.gone.borrow();
        let engines = self.engines.borrow();
        let mut findings = Vec::new();
        for relayed in engines.iter().chain(gone.iter()) {
            let arrivals = relayed.engine.arrivals();
            findings.extend(self.sent_to_leaving(&arrivals, &issues));
            findings.extend(self.sent_to_resting(relayed, &arrivals, &issues));
            findings.extend(self.sent_beyond_limit(relayed, &arrivals, &issues));
        }
        findings
    }

    /// A request that was sent after its entry had passed on an answer of the engine that said it leaves.
    fn sent_to_leaving(
        &self,
        arrivals: &[Arrival],
        issues: &HashMap<String, Issue>,
    ) -> Option<String> {
        for told in arrivals.iter().filter(|arrival| arrival.told.leaves) {
            let Some(issue) = issues.get(told.id()) else {
                continue;
            };
            let heard = issue.answer.as_ref().is_some_and(|answer| {
                let says = answer.header("server-leaving").is_some();
                says && answer.header("x-response-seal") == Some(&told.seal())
            });
            let Some(passed_on) = issue.answered.filter(|_| heard) else {
                continue;
            };
            let is_late = |arrival: &&Arrival| {
                let late = issues.get(arrival.id());
                let late = late.is_some_and(|late| {
                    late.entry == issue.entry && late.sent > passed_on + LEAVING_SLACK
                });
                late && is_meant_for(arrival, &told.life)
                    && !self.is_disturbed(issue.entry, passed_on)
            };
            if let Some(late) = arrivals.iter().find(is_late) {
                let (life, told, late) = (&late.life, told.id(), late.id());
                return Some(format!(
                    "{late} reached {life}, which leaves by its answer to {told}"
                ));
            }
        }
        None
    }

    /// Requests that reached an engine within the time of rest that it had asked the same entry for.
    fn sent_to_resting(
        &self,
        relayed: &RelayedEngine,
        arrivals: &[Arrival],
        issues: &HashMap<String, Issue>,
    ) -> Option<String> {
        let entry_of = |arrival: &Arrival| issues.get(arrival.id()).map(|issue| issue.entry);
        for asked in arrivals {
            // What is refused as misdirected is not asked for rest.
            let rest = rest_of(&asked.told).filter(|_| is_meant_for(asked, &asked.life));
            let Some(rest) = rest else {
                continue;
            };
            let is_excused = entry_of(asked).is_none_or(|entry| self.is_disturbed(entry, asked.at));
            if is_excused || relayed.harmed.any_since(asked.at - REST_SLACK) {
                continue;
            }
            let within = asked.at + REST_SLACK..asked.at + rest;
            let is_within = |arrival: &&Arrival| {
                arrival.life == asked.life
                    && within.contains(&arrival.at)
                    && entry_of(arrival) == entry_of(asked)
            };
            let count = arrivals.iter().filter(is_within).count();
            if count > MOST_IN_REST {
                let (engine, id) = (relayed.engine.id(), asked.id());
                return Some(format!("{count} requests reached {engine} in the rest that it asked for in its answer to {id}"));
            }
        }
        None
    }

    /// More requests in a span than an engine allows all entries together that had passed on its limit.
    fn sent_beyond_limit(
        &self,
        relayed: &RelayedEngine,
        arrivals: &[Arrival],
        issues: &HashMap<String, Issue>,
    ) -> Option<String> {
        let lives: BTreeSet<&String> = arrivals.iter().map(|arrival| &arrival.life).collect();
        for life in lives {
            let meant = arrivals.iter().filter(|a| is_meant_for(a, life));
            let sent = meant.filter_map(|arrival| {
                let issue = issues.get(arrival.id())?;
                let answer = issue.answer.as_ref();
                let named = answer.is_some_and(|a| a.header("server-limit").is_some());
                Some(Sent {
                    entry: issue.entry,
                    at: arrival.at,
                    limit: arrival.told.limit_per_s(),
                    passed_on: issue.answered.filter(|_| named),
                })
            });
            let sent: Vec<Sent> = sent.collect();
            let last_trouble = |entry: usize, at| self.entries[entry].disturbed.last_before(at);
            // What a harmed way holds up comes later than it was sent, and together.
            let is_excused = |start: Instant| {
                let harmed = &relayed.harmed;
                harmed.touch(start - limited::SLACK, start + limited::SPAN)
            };
            let worst = limited::worst(&sent, last_trouble, is_excused);
            let worst = worst.filter(limited::Count::is_over);
            if let Some(count) = worst {
                let (requests, allowed) = (count.requests, count.allowed);
                return Some(format!(
                    "{requests} requests reached {life} in 4 s, its limit allows {allowed}"
                ));
            }
        }
        None
    }

    /// Whether an entry was ended, started, frozen or suspended since a time.
    fn is_disturbed(&self, entry: usize, since: Instant) -> bool {
        self.entries[entry].disturbed.any_since(since)
    }
}

/// Whether a request reached a life of an engine that it was meant for. One that is meant for an earlier life at the address, of
/// whose end its entry has not heard, is refused as misdirected, and does not count.
fn is_meant_for(arrival: &Arrival, life: &str) -> bool {
    arrival.life == life && arrival.header("x-expect-instance") == Some(life)
}

/// The rest that an answer asked for.
fn rest_of(told: &Announcing) -> Option<Duration> {
    let seconds: f64 = told.rest.as_ref()?.parse().ok()?;
    Some(Duration::from_secs_f64(seconds))
}
