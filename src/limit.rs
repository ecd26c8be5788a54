//! Limits of teams at one entry: token buckets over requests and tokens.
//!
//! The output's length is unknown at admission, so an estimate is charged and corrected at the
//! end; a bucket may go into debt. Each entry holds a share of the fleet-wide rate.

use std::collections::HashMap;

use crate::bundle::Team;
use crate::clock::Millis;

/// Seconds of the rate that a full bucket holds.
const BURST_S: f64 = 2.0;
/// Tokens of output assumed for a team before one of its answers has ended.
const FIRST_ESTIMATE: f64 = 256.0;
/// Weight of the newest answer in a team's mean output.
const OUTPUT_WEIGHT: f64 = 0.05;
/// Time over which a team's demand is averaged, in ms.
const DEMAND_MEMORY_MS: f64 = 3_000.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    rate: f64,
    filled: Millis,
}

impl Bucket {
    fn new(rate: f64, now: Millis) -> Self {
        Self {
            level: (rate * BURST_S).max(1.0),
            rate,
            filled: now,
        }
    }

    fn fill(&mut self, now: Millis, rate: f64) {
        let passed = (now - self.filled).0 as f64 / 1_000.0;
        self.filled = now;
        self.rate = rate;
        self.level = (self.level + passed * rate).min((rate * BURST_S).max(1.0));
    }

    /// Time until the level is back above zero.
    fn wait(&self, need: f64) -> Millis {
        Millis(((need - self.level).max(0.0) / self.rate.max(1e-9) * 1_000.0) as u64)
    }
}

#[derive(Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    mean_output: f64,
    used: f64,
    asked: Asked,
}

/// What a team has asked for lately, admitted or not: an exponential mean.
#[derive(Debug, Clone, Copy)]
struct Asked {
    requests_per_s: f64,
    tokens_per_s: f64,
    at: Millis,
}

impl Asked {
    fn new(now: Millis) -> Self {
        Self {
            requests_per_s: 0.0,
            tokens_per_s: 0.0,
            at: now,
        }
    }

    fn decay(&mut self, now: Millis) {
        let passed = (now - self.at).0 as f64;
        let keep = (-passed / DEMAND_MEMORY_MS).exp();
        self.requests_per_s *= keep;
        self.tokens_per_s *= keep;
        self.at = now;
    }

    fn add(&mut self, now: Millis, tokens: f64) {
        self.decay(now);
        let per_s = 1_000.0 / DEMAND_MEMORY_MS;
        self.requests_per_s += per_s;
        self.tokens_per_s += tokens * per_s;
    }
}

/// The accounts of all teams seen by one entry.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<String, Account>,
}

impl Limiter {
    /// Charges one request with `prompt` tokens, or says when to come back.
    ///
    /// `share` is this entry's part of the fleet-wide rate, from 0 to 1.
    pub fn admit(
        &mut self,
        now: Millis,
        team: &Team,
        share: f64,
        prompt: u64,
    ) -> Result<u64, Millis> {
        let (request_rate, token_rate) = (team.requests_per_s * share, team.tokens_per_s * share);
        let account = self.accounts.entry(team.name.clone());
        let account = account.or_insert_with(|| Account {
            requests: Bucket::new(request_rate, now),
            tokens: Bucket::new(token_rate, now),
            mean_output: FIRST_ESTIMATE,
            used: 0.0,
            asked: Asked::new(now),
        });
        let estimate = prompt + account.mean_output as u64;
        account.asked.add(now, estimate as f64);
        account.requests.fill(now, request_rate);
        account.tokens.fill(now, token_rate);
        if team.requests_per_s > 0.0 && account.requests.level < 1.0 {
            return Err(account.requests.wait(1.0));
        }
        if team.tokens_per_s > 0.0 && account.tokens.level <= 0.0 {
            return Err(account.tokens.wait(1.0));
        }
        account.requests.level -= 1.0;
        account.tokens.level -= estimate as f64;
        Ok(estimate)
    }

    /// Corrects the charge of an ended request; `None` when nothing ran.
    pub fn settle(&mut self, team: &str, estimate: u64, prompt: u64, output: Option<u64>) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        let Some(output) = output else {
            account.tokens.level += estimate as f64;
            account.requests.level += 1.0;
            return;
        };
        account.tokens.level += estimate as f64 - (prompt + output) as f64;
        account.used += (prompt + output) as f64;
        account.mean_output += OUTPUT_WEIGHT * (output as f64 - account.mean_output);
    }

    /// A team's demand here as a part of its fleet-wide limit; `None` without limit or account.
    pub fn demand(&mut self, now: Millis, team: &Team) -> Option<f64> {
        let account = self.accounts.get_mut(&team.name)?;
        account.asked.decay(now);
        let part = |asked: f64, limit: f64| if limit > 0.0 { asked / limit } else { 0.0 };
        let requests = part(account.asked.requests_per_s, team.requests_per_s);
        let tokens = part(account.asked.tokens_per_s, team.tokens_per_s);
        let limited = team.requests_per_s > 0.0 || team.tokens_per_s > 0.0;
        limited.then_some(requests.max(tokens))
    }

    /// Tokens charged to each team so far, for the administration page.
    pub fn used(&self) -> Vec<(String, u64)> {
        self.accounts
            .iter()
            .map(|(team, a)| (team.clone(), a.used as u64))
            .collect()
    }

    /// Teams with an account here.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no team has called yet.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
