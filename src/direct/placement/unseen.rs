//! Prompts that other entries have just sent and that are not visible here yet.
//!
//! Made for pools where some dozen to some hundred entries choose at the same time by knowledge that
//! is some hundred ms old: without these prompts all of them would choose the endpoint that was
//! idle last. Each request assumes a random number of unseen prompts at each endpoint, so that the
//! requests spread over endpoints whose prices differ by less than what may be unseen there.

use crate::direct::placement::candidate::CandidateState;
use crate::direct::placement::demand::Demand;
use crate::direct::placement::pause_risk;
use crate::direct::placement::room::PoolRoom;

/// Ratio of the assumed mean number of unseen prompts at an endpoint to their mean over all
/// endpoints: entries with similar knowledge prefer the same endpoints.
const CONCENTRATION: f64 = 3.0;

/// Sets the unseen tokens of all endpoints, where the capacity of the pool is learned.
pub fn assume_unseen(demand: &Demand<'_>, states: &mut [CandidateState<'_>], room: &PoolRoom) {
    let is_sensitive = pause_risk::counted_sensitivity(demand) > 0;
    if demand.capacity.is_none() || !is_sensitive {
        return;
    }
    let usable = states.iter().filter(|state| room.may_use(state)).count();
    let mean = unseen_tokens(demand) * CONCENTRATION / usable.max(1) as f64;
    for state in states {
        let draw = demand.unseen_draw(state.candidate.endpoint.digest);
        state.unseen_tokens = -draw.max(f64::MIN_POSITIVE).ln() * mean;
    }
}

/// Tokens of the prompts like this one that other entries are assumed to have sent within the
/// visibility delay, without the shared segments: as many by each as by this one.
fn unseen_tokens(demand: &Demand<'_>) -> f64 {
    let others = demand.room.entries.saturating_sub(1) as f64;
    let prompts = demand.room.recent.arrivals_per_ms * demand.visibility_delay.0 as f64 * others;
    prompts * (demand.prompt_tokens() - demand.shared_tokens()) as f64
}
