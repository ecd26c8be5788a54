//! The exchange of claims and leases between entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::document::Stamp;
use crate::entry::Entry;
use crate::link::Incoming;
use crate::members::{Instance, LifeState, Members, Role};
use crate::quota::{Claim, Lease};
use crate::wire::QUOTA_PATH;

/// Time between two looks at which claims are due.
const ROUND: Duration = Duration::from_millis(1_000);
/// Time for an owner to answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Claims of one entry on one owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// The claiming entry's instance id.
    pub entry: String,
    /// Its teams.
    pub claims: Vec<Claim>,
}

/// The owner's answer, in the order of the claims.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    /// A lease for each claim.
    pub leases: Vec<Lease>,
}

/// Owners of teams, worked out once for each instance list.
#[derive(Debug, Default)]
pub struct Owners {
    stamp: Stamp,
    by_team: HashMap<String, Option<usize>>,
}

impl Owners {
    /// The entry that owns a team: the highest of all hashes over live entries (rendezvous).
    pub fn of<'a>(
        &mut self,
        stamp: Stamp,
        members: &'a Members,
        team: &str,
    ) -> Option<&'a Instance> {
        if self.stamp != stamp {
            self.stamp = stamp;
            self.by_team.clear();
        }
        let found = match self.by_team.get(team) {
            Some(found) => *found,
            None => {
                let found = highest(members, team);
                self.by_team.insert(team.to_owned(), found);
                found
            }
        };
        found.map(|at| &members.instances[at])
    }
}

fn highest(members: &Members, team: &str) -> Option<usize> {
    let weight = |id: &str| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(team.as_bytes());
        hasher.update(id.as_bytes());
        *hasher.finalize().as_bytes()
    };
    let entries = members.instances.iter().enumerate();
    let live = entries.filter(|(_, i)| i.role == Role::Entry && i.state == LifeState::Live);
    live.max_by_key(|(_, i)| weight(&i.id)).map(|(at, _)| at)
}

/// Claims what is due once a second, for the life of the process.
pub async fn keep_claiming(entry: Rc<Entry>) -> anyhow::Result<()> {
    let owners = RefCell::new(Owners::default());
    loop {
        sleep(ROUND).await;
        for (owner, claims) in due(&entry, &owners) {
            actix_rt::spawn(claim(Rc::clone(&entry), owner, claims));
        }
    }
}

/// Claims that are due, by owner.
fn due(entry: &Entry, owners: &RefCell<Owners>) -> Vec<(Instance, Vec<Claim>)> {
    let members = entry.node.replica.members();
    let stamp = entry.node.replica.stamps().members;
    let now = entry.node.clock.now();
    let mut by_owner: BTreeMap<String, (Instance, Vec<Claim>)> = BTreeMap::new();
    for claim in entry.demands(now) {
        if !entry
            .shares
            .borrow()
            .is_due(now, &claim.team, claim.demand, members.entries())
        {
            continue;
        }
        if let Some(owner) = owners.borrow_mut().of(stamp, &members, &claim.team) {
            let slot = by_owner.entry(owner.id.clone());
            slot.or_insert_with(|| (owner.clone(), Vec::new()))
                .1
                .push(claim);
        }
    }
    by_owner.into_values().collect()
}

async fn claim(entry: Rc<Entry>, owner: Instance, claims: Vec<Claim>) {
    let asked = entry.node.clock.now();
    let id = entry.node.settings.id.clone();
    let claims = Claims { entry: id, claims };
    let leases = if owner.id == claims.entry {
        Some(lease(&entry, &claims))
    } else {
        timeout(ANSWER_TIME, ask(&entry, &owner, &claims))
            .await
            .ok()
            .flatten()
    };
    for lease in leases.into_iter().flat_map(|leases| leases.leases) {
        entry.shares.borrow_mut().note(asked, &lease);
    }
}

async fn ask(entry: &Rc<Entry>, owner: &Instance, claims: &Claims) -> Option<Leases> {
    let link = entry.links.get(owner.addr).await.ok()?;
    let (mut writer, mut reader) = link.open(QUOTA_PATH).await.ok()?;
    writer.send(claims).await.ok()?;
    reader.next().await.ok()?
}

fn lease(entry: &Entry, claims: &Claims) -> Leases {
    let now = entry.node.clock.now();
    let entries = entry.node.replica.members().entries();
    let mut book = entry.book.borrow_mut();
    let leases = claims
        .claims
        .iter()
        .map(|claim| book.lease(now, &claims.entry, claim, entries));
    Leases {
        leases: leases.collect(),
    }
}

/// Serves the claims of another entry.
pub fn answer(entry: Rc<Entry>, mut incoming: Incoming) {
    actix_rt::spawn(async move {
        match timeout(ANSWER_TIME, incoming.reader.next::<Claims>()).await {
            Ok(Ok(Some(claims))) => {
                let leases = lease(&entry, &claims);
                if incoming.writer.send(&leases).await.is_ok() {
                    incoming.writer.close();
                }
            }
            Ok(Err(crate::link::LinkError::Wire(err))) => {
                entry.node.metrics.bad_frame(err);
                incoming.abort.notify_one();
            }
            _ => {}
        }
    });
}
