//! Choice of gossip partners: a random graph over all processes, mostly within a zone.
//!
//! Each process keeps a few links of its own choice and answers those of others, about twice
//! as many in all. On such a graph a change reaches everybody in a logarithmic number of hops
//! and no process has a special part.

use rand::seq::SliceRandom;
use rand::Rng;

use crate::members::{Instance, Members};
use crate::settings::NodeSettings;

/// Partners in the own availability zone.
pub const IN_ZONE: usize = 3;
/// Partners in other zones of the region.
pub const IN_REGION: usize = 2;
/// Partners in other regions.
pub const ELSEWHERE: usize = 1;

/// Partners for a process: kept ones stay while listed, the rest is drawn at random.
pub fn partners<R: Rng>(
    node: &NodeSettings,
    members: &Members,
    kept: &[String],
    rng: &mut R,
) -> Vec<Instance> {
    let others: Vec<&Instance> = members
        .instances
        .iter()
        .filter(|i| i.id != node.id)
        .collect();
    let zone = |i: &&&Instance| i.region == node.region && i.zone == node.zone;
    let region = |i: &&&Instance| i.region == node.region && i.zone != node.zone;
    let abroad = |i: &&&Instance| i.region != node.region;
    let mut chosen = Vec::new();
    let mut spare = 0;
    let groups: [(Vec<&Instance>, usize); 3] = [
        (others.iter().filter(abroad).copied().collect(), ELSEWHERE),
        (others.iter().filter(region).copied().collect(), IN_REGION),
        (others.iter().filter(zone).copied().collect(), IN_ZONE),
    ];
    for (mut group, wanted) in groups {
        group.shuffle(rng);
        group.sort_by_key(|i| !kept.contains(&i.id));
        let wanted = wanted + spare;
        spare = wanted.saturating_sub(group.len());
        chosen.extend(group.into_iter().take(wanted).cloned());
    }
    chosen
}

/// Time between two reads of the platform by one process, so that the whole fleet stays under
/// `reads_per_s` whatever its size.
pub fn read_interval_ms(processes: usize, reads_per_s: u32, least_ms: u64) -> u64 {
    let by_rate = processes as u64 * 1_000 / u64::from(reads_per_s.max(1));
    by_rate.max(least_ms)
}
