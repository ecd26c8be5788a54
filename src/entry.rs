//! The process that takes callers' requests: thin, keeps the work until a slot is granted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Response};
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::accept::Acceptor;
use crate::admin::{self, Report};
use crate::answer;
use crate::attempt::{self, Placed};
use crate::audit::{Change, What};
use crate::budget::RerunBudget;
use crate::bundle::Team;
use crate::claims;
use crate::clock::{Clock, Millis};
use crate::delivery;
use crate::gossip;
use crate::ids::RequestId;
use crate::intake::{self, BadRequest, BodyFault, Job};
use crate::limit::Limiter;
use crate::link;
use crate::links::Links;
use crate::listener::{self, CallerSocket};
use crate::memory::{Memory, Purpose};
use crate::node::{self, Life, Node};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::quota::{Claim, QuotaBook, Shares};
use crate::route::{Locality, Router};
use crate::schedule::spread_retry_after;
use crate::settings::EntrySettings;
use crate::supervisor::Supervisor;
use crate::suspicion;
use crate::wire::{GOSSIP_PATH, QUOTA_PATH};

/// Advice to come back to another entry while this one stops or starts.
const ELSEWHERE: Millis = Millis(200);
/// Time between two rounds of housekeeping.
const HOUSEKEEPING: Duration = Duration::from_secs(5);
/// Time between two looks at whether a planned stop has ended.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Time for last bytes to leave before the process ends.
const FLUSH: Duration = Duration::from_millis(300);
/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// Paths that an entry serves on links.
const PATHS: [&str; 2] = [GOSSIP_PATH, QUOTA_PATH];

/// One entry.
#[derive(Debug)]
pub struct Entry {
    /// Common part.
    pub node: Rc<Node>,
    /// Links to sidecars.
    pub links: Links,
    /// What is known of endpoints.
    pub router: RefCell<Router>,
    /// Budget of reruns.
    pub reruns: RefCell<RerunBudget>,
    /// Shares of teams' limits that this entry holds.
    pub shares: RefCell<Shares>,
    /// Shares that this entry has leased to others, for the teams it owns.
    pub book: RefCell<QuotaBook>,
    /// Memory for bodies of requests, and for answers that are sent whole.
    pub memory: Memory,
    limiter: RefCell<Limiter>,
    in_flight: Cell<u64>,
    lingering: Cell<bool>,
}

/// Counts a request as in flight until its answer has been handed over.
#[derive(Debug)]
pub struct Counted(Rc<Entry>);

impl Counted {
    fn new(entry: &Rc<Entry>) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self(Rc::clone(entry))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Entry {
    /// An entry that knows no endpoint yet.
    pub fn new(node: Rc<Node>, settings: &EntrySettings) -> Rc<Self> {
        let place = Locality {
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
        };
        let seed = rand::thread_rng().gen();
        let book = RefCell::new(QuotaBook::new(node.clock.now()));
        Rc::new(Self {
            node,
            shares: RefCell::default(),
            book,
            links: Links::default(),
            router: RefCell::new(Router::new(settings.routing, place, seed)),
            reruns: RefCell::default(),
            memory: Memory::new(settings.memory_mb_or_default()),
            limiter: RefCell::default(),
            in_flight: Cell::new(0),
            lingering: Cell::new(true),
        })
    }

    /// Puts a job under the documents in force now, keeping what the caller asked for; false
    /// when the bundle in force no longer allows it.
    #[must_use]
    pub fn redecide(&self, job: &mut Job) -> bool {
        let Some(policy) = self.node.replica.policy() else {
            return false;
        };
        let old = Rc::clone(&job.policy);
        let class_name = &old.class_at(job.class).name;
        let class = policy.class(class_name);
        let team = policy.team(&old.team_at(job.team).name);
        let pool = policy.pool(&old.pool_at(job.pool).name);
        let (Some(class), Some(team), Some(pool)) = (class, team, pool) else {
            return false;
        };
        let allowed = policy.team_at(team).classes.contains(class_name);
        job.class = class;
        job.team = team;
        job.pool = pool;
        job.policy = policy;
        job.stamps = self.node.replica.stamps();
        allowed
    }

    /// Corrects a team's account when a request has ended.
    pub fn settle(&self, job: &Job, outcome: &Outcome) {
        let output = match outcome {
            Outcome::NotRun { .. } => None,
            Outcome::Completed(usage) => Some(usage.completion_tokens),
            _ => Some(0),
        };
        let team = &job.policy.team_at(job.team).name;
        self.limiter
            .borrow_mut()
            .settle(team, job.est_tokens, job.prompt_tokens, output);
        self.node
            .metrics
            .request(&job.policy.class_at(job.class).name, outcome);
    }

    /// Demand of each limited team at this entry, as a part of its limit.
    pub fn demands(&self, now: Millis) -> Vec<Claim> {
        let Some(policy) = self.node.replica.policy() else {
            return Vec::new();
        };
        let mut limiter = self.limiter.borrow_mut();
        let demand = |team: &Team| {
            let demand = limiter.demand(now, team)?;
            Some(Claim {
                team: team.name.clone(),
                demand,
            })
        };
        policy.bundle.teams.iter().filter_map(demand).collect()
    }

    /// Charges the team, or says that it is over its limit.
    fn admit(&self, job: &mut Job) -> Result<(), Outcome> {
        let team = job.policy.team_at(job.team);
        let now = self.node.clock.now();
        let entries = self.node.replica.members().entries();
        let share = self.shares.borrow().of(now, &team.name, entries);
        let admitted = self
            .limiter
            .borrow_mut()
            .admit(now, team, share, job.prompt_tokens);
        match admitted {
            Ok(estimate) => {
                job.est_tokens = estimate;
                Ok(())
            }
            Err(after) => {
                self.node.metrics.over_limit(&team.name);
                Err(Outcome::not_run(
                    NotRunReason::OverLimit,
                    spread_retry_after(after, job.request),
                ))
            }
        }
    }
}

impl Report for Entry {
    fn is_ready(&self) -> bool {
        true
    }

    fn state(&self) -> Value {
        let now = self.node.clock.now();
        let rows = self.router.borrow().rows(now);
        let endpoints: Vec<Value> = rows
            .into_iter()
            .map(|row| {
                json!({
                    "id": row.id, "load": row.load,
                    "in_flight": row.in_flight, "set_aside": row.aside,
                })
            })
            .collect();
        json!({
            "in_flight": self.in_flight.get(),
            "links": self.links.len(),
            "endpoints": endpoints,
            "shares": self.shares.borrow().rows(now),
            "team_tokens": self.limiter.borrow().used().into_iter().collect::<BTreeMap<_, _>>(),
        })
    }

    fn gauges(&self) {
        self.node.metrics.set("in_flight", "", self.in_flight.get());
        self.node.metrics.set("links", "", self.links.len() as u64);
        self.node
            .metrics
            .set("teams", "", self.limiter.borrow().len() as u64);
    }
}

/// Runs an entry until a planned stop has ended.
pub async fn run(settings: EntrySettings, clock: Clock) -> anyhow::Result<()> {
    let callers = TcpListener::bind(settings.callers).await?;
    let peers = TcpListener::bind(settings.node.listen).await?;
    let admin_listener = TcpListener::bind(settings.node.admin).await?;
    let node = Node::new(settings.node.clone(), clock);
    let addresses = [
        ("callers", &callers),
        ("listen", &peers),
        ("admin", &admin_listener),
    ];
    node::announce("entry", &addresses)?;
    let entry = Entry::new(Rc::clone(&node), &settings);
    let mut supervisor = Supervisor::new("entry");
    node::spawn_common(&mut supervisor, &node);
    let cx = Rc::clone(&entry);
    supervisor.child("housekeeping", move || run_housekeeping(Rc::clone(&cx)));
    actix_rt::spawn(admin::serve(
        Rc::clone(&node),
        Rc::clone(&entry),
        admin_listener,
    ));
    let cx = Rc::clone(&entry);
    supervisor.child("claims", move || claims::keep_claiming(Rc::clone(&cx)));
    actix_rt::spawn(accept_peers(Rc::clone(&entry), peers));
    let cx = Rc::clone(&entry);
    let handler = move |req: Request| handle(Rc::clone(&cx), req);
    let acceptor = Acceptor::new(callers, entry.node.clock.clone());
    actix_rt::spawn(listener::serve_in_time(acceptor, handler));
    wait_for_end(&entry, Millis(settings.linger_ms)).await;
    supervisor.close();
    node.audit
        .record(Change::plain(What::Stop, "planned stop", ""));
    Ok(())
}

/// Serves one caller's request.
async fn handle(entry: Rc<Entry>, mut req: Request) -> Response<BoxBody> {
    let counted = Counted::new(&entry);
    let socket = req.conn_data::<CallerSocket>().cloned();
    let answering = answer(Rc::clone(&entry), &mut req, counted);
    let Some(socket) = socket else {
        return answering.await;
    };
    tokio::select! {
        res = answering => res,
        () = socket.gone() => {
            entry.node.metrics.caller_gone();
            Response::new(actix_http::StatusCode::REQUEST_TIMEOUT).set_body(BoxBody::new(""))
        }
    }
}

async fn answer(entry: Rc<Entry>, req: &mut Request, counted: Counted) -> Response<BoxBody> {
    let mut job = match read(&entry, req).await {
        Ok(job) => job,
        Err(res) => return res,
    };
    entry
        .reruns
        .borrow_mut()
        .deposit(job.policy.bundle.limits.retry_percent);
    let admitted = match suspicion::refusal(&entry, &job) {
        Some(refusal) => Err(refusal),
        None => entry.admit(&mut job),
    };
    if let Err(refusal) = admitted {
        let outcome = attempt::confirm_refusal(&entry, &mut job, refusal).await;
        entry
            .node
            .metrics
            .request(&job.policy.class_at(job.class).name, &outcome);
        return answer::refusal(job.request, &outcome);
    }
    match attempt::place(&entry, &mut job).await {
        Placed::Running(running) => delivery::deliver(entry, job, *running, counted).await,
        Placed::Replay(earlier) => {
            entry.settle(&job, &Outcome::AlreadyRan);
            delivery::replay(&job, earlier, counted)
        }
        Placed::Ended(outcome) => {
            entry.settle(&job, &outcome);
            answer::refusal(job.request, &outcome)
        }
    }
}

/// The answer of an entry that takes no request now. Of a request with a key it can't say that
/// it was not run, since an earlier attempt may have been.
fn reject(reason: NotRunReason, headers: &HeaderMap) -> Response<BoxBody> {
    let request = RequestId::random();
    if intake::has_key(headers) {
        return answer::refusal(request, &Outcome::Unknown(UnknownReason::HomeUnreachable));
    }
    answer::refusal(
        request,
        &Outcome::not_run(reason, spread_retry_after(ELSEWHERE, request)),
    )
}

/// Reads and checks a request; the error is the answer to it.
async fn read(entry: &Entry, req: &mut Request) -> Result<Job, Response<BoxBody>> {
    let refuse = |reason| reject(reason, req.headers());
    let policy = entry
        .node
        .replica
        .policy()
        .filter(|_| entry.node.is_ready());
    let policy = policy.ok_or_else(|| refuse(NotRunReason::NotReady))?;
    if !entry.lingering.get() {
        return Err(refuse(NotRunReason::Stopping));
    }
    let stamps = entry.node.replica.stamps();
    let bad = |bad: BadRequest| {
        entry.node.metrics.bad_request();
        answer::bad_request(&bad)
    };
    let team = intake::team(&policy, req.headers()).map_err(bad)?;
    if req.method() == Method::GET && req.path() == MODELS_PATH {
        return Err(models(&policy));
    }
    intake::method(req).map_err(bad)?;
    let limit = policy.bundle.limits.max_body_bytes as usize;
    let class = intake::class(&policy, team, req.headers()).map_err(bad)?;
    let band = usize::from(policy.class_at(class).priority);
    let held = entry.memory.begin(Purpose::Request { band });
    let declared = intake::declared_length(req.headers());
    let body = intake::body(req.take_payload(), limit, declared, held).await;
    let body = body.map_err(|fault| match fault {
        BodyFault::Bad(fault) => bad(fault),
        BodyFault::NoMemory => reject(NotRunReason::NoMemory, req.headers()),
    })?;
    intake::job(policy, stamps, team, class, req, body).map_err(bad)
}

fn models(policy: &crate::bundle::Policy) -> Response<BoxBody> {
    let names = policy.bundle.pools.iter().flat_map(|pool| &pool.models);
    let data: Vec<Value> = names
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    answer::json(&json!({ "object": "list", "data": data }))
}

async fn run_housekeeping(entry: Rc<Entry>) -> anyhow::Result<()> {
    loop {
        sleep(HOUSEKEEPING).await;
        entry.links.close_idle();
        let members = entry.node.replica.members();
        entry
            .router
            .borrow_mut()
            .retain(|id| members.get(id).is_some());
    }
}

async fn accept_peers(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            sleep(STOP_LOOK).await;
            continue;
        };
        let cx = Rc::clone(&entry);
        actix_rt::spawn(link::serve(tcp, &PATHS, move |incoming| {
            if incoming.path == QUOTA_PATH {
                claims::answer(Rc::clone(&cx), incoming);
            } else {
                gossip::answer(Rc::clone(&cx.node), incoming);
            }
        }));
    }
}

/// Returns when a planned stop was asked for, the balancer has had time to notice, and nothing
/// is left in flight.
async fn wait_for_end(entry: &Entry, linger: Millis) {
    let mut life = entry.node.watch_life();
    let _ = life.wait_for(|life| *life == Life::Draining).await;
    sleep(linger.duration()).await;
    entry.lingering.set(false);
    while entry.in_flight.get() > 0 {
        sleep(STOP_LOOK).await;
    }
    sleep(FLUSH).await;
}
