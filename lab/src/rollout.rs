//! Measures how documents spread over many nodes: time, reads of the platform, bytes.

use std::net::TcpListener as StdListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use bpaf::Bpaf;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::sleep;
use violetline::bundle::hash_key;
use violetline::clock::Clock;
use violetline::gossip;
use violetline::link;
use violetline::members::{Instance, LifeState, Members, Role};
use violetline::node::Node;
use violetline::seal;
use violetline::settings::NodeSettings;
use violetline::source::{self, DocumentSource, HttpSource};
use violetline::wire::GOSSIP_PATH;

use crate::client::Caller;
use crate::process::Process;
use crate::usage;

const PATHS: [&str; 1] = [GOSSIP_PATH];
const ZONES: usize = 12;
const REGIONS: usize = 4;
/// Threads over which the nodes are spread.
const THREADS: usize = 6;
const LOOK: Duration = Duration::from_millis(5);
/// Longest wait for a spread before the run is given up.
const BOUND: Duration = Duration::from_secs(30);

/// How many nodes, and how large a bundle.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(rollout_options))]
pub struct RolloutOptions {
    /// Counts of nodes, each a run of its own
    #[bpaf(argument("N"), some("a count"), fallback(vec![30, 100, 300]))]
    pub nodes: Vec<usize>,
    /// Teams in the bundle
    #[bpaf(argument("N"), fallback(800))]
    pub teams: usize,
    /// Changes of the bundle in each run
    #[bpaf(argument("N"), fallback(10))]
    pub changes: u64,
    /// Seconds of quiet over which bytes are counted
    #[bpaf(argument("S"), fallback(10))]
    pub quiet: u64,
}

/// A node that only exchanges documents, on one of a few threads.
struct MiniNode {
    instance: Instance,
    view: Arc<View>,
}

/// What the measuring thread sees of a node.
#[derive(Debug, Default)]
struct View {
    version: AtomicU64,
    update_bytes: AtomicU64,
    stop: AtomicBool,
}

struct Field {
    platform: Process,
    secret: String,
    public: String,
    nodes: Vec<MiniNode>,
    threads: Vec<Arbiter>,
    revision: u64,
    teams: usize,
    caller: Caller,
}

/// Runs the measurement for each count and prints a table.
pub async fn run(options: RolloutOptions) -> anyhow::Result<ExitCode> {
    println!("| nodes | in force everywhere, median / worst ms | platform reads/s quiet | peak reads/s | bytes/s a node quiet | bundle bytes sent a node and change | zone lost: back in force ms | peak reads/s |");
    println!("|---|---|---|---|---|---|---|---|");
    for count in &options.nodes {
        let mut field = Field::start(*count, options.teams).await?;
        let quiet = field.measure_quiet(options.quiet).await?;
        let (times, bytes) = field.measure_changes(options.changes).await?;
        let before_loss = field.stats().await?;
        let back = field.measure_lost_zone().await?;
        let after_loss = field.stats().await?;
        let worst = times.last().copied().unwrap_or_default();
        println!(
            "| {count} | {} / {} | {:.0} | {} | {:.0} | {:.0} | {} | {} |",
            times[times.len() / 2].as_millis(),
            worst.as_millis(),
            quiet.reads_per_s,
            before_loss["peak_per_s"],
            quiet.bytes_per_s,
            bytes,
            back.as_millis(),
            after_loss["peak_per_s"],
        );
        field.close();
    }
    Ok(ExitCode::SUCCESS)
}

struct Quiet {
    reads_per_s: f64,
    bytes_per_s: f64,
}

impl Field {
    async fn start(count: usize, teams: usize) -> anyhow::Result<Self> {
        let platform = Process::start(&["platform"])?;
        let (secret, public) = seal::key_pair();
        let mut field = Self {
            platform,
            secret,
            public,
            nodes: Vec::new(),
            threads: (0..THREADS).map(|_| Arbiter::new()).collect(),
            revision: 0,
            teams,
            caller: Caller::default(),
        };
        field.publish(1).await?;
        for at in 0..count {
            let node = field.start_node(at)?;
            field.nodes.push(node);
        }
        field.publish_members(0..count).await?;
        field.reached(1).await?;
        sleep(Duration::from_secs(3)).await;
        Ok(field)
    }

    fn start_node(&self, at: usize) -> anyhow::Result<MiniNode> {
        let listener = StdListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let base = format!("http://{}", self.platform.addr("listen"));
        let settings = NodeSettings {
            id: format!("node-{at}"),
            region: format!("region-{}", at % REGIONS),
            zone: format!("zone-{}", at % ZONES),
            listen: addr,
            admin: addr,
            bundle_url: format!("{base}/bundle"),
            members_url: format!("{base}/members"),
            trusted_keys: vec![self.public.clone()],
            seeds: self.nodes.iter().take(2).map(|n| n.instance.addr).collect(),
        };
        let instance = Instance {
            id: settings.id.clone(),
            role: Role::Entry,
            addr,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            state: LifeState::Live,
            pool: String::new(),
            ordinal: 0,
            software_version: String::new(),
        };
        let view = Arc::new(View::default());
        let shared = Arc::clone(&view);
        self.threads[at % THREADS].spawn_fn(move || {
            actix_rt::spawn(serve(settings, listener, shared));
        });
        Ok(MiniNode { instance, view })
    }

    fn bundle(&self, version: u64) -> Value {
        let teams: Vec<Value> = (0..self.teams)
            .map(|n| {
                json!({
                    "name": format!("team-{n}"), "classes": ["a"],
                    "key_hashes": [hash_key(&format!("key-{n}"))],
                    "tokens_per_s": if n as u64 == version { 7.0 } else { 1e6 },
                })
            })
            .collect();
        json!({
            "version": version,
            "classes": [{ "name": "a", "priority": 0, "first_token_ms": 1700, "max_wait_ms": 1700 }],
            "teams": teams,
            "pools": [{ "name": "p", "kind": "model", "models": ["m"], "places": 3500, "slots": 8 }],
        })
    }

    async fn publish(&self, version: u64) -> anyhow::Result<()> {
        let sealed = seal::sign(&self.bundle(version).to_string(), &self.secret);
        let text = serde_json::to_string(&sealed)?;
        self.caller
            .send(self.platform.addr("listen"), "/lab/bundle", text)
            .await?;
        Ok(())
    }

    async fn publish_members(&mut self, live: std::ops::Range<usize>) -> anyhow::Result<()> {
        self.revision += 1;
        let instances = self.nodes[live].iter().map(|n| n.instance.clone());
        let members = Members::new(self.revision, instances.collect());
        let text = serde_json::to_string(&members)?;
        self.caller
            .send(self.platform.addr("listen"), "/lab/members", text)
            .await?;
        Ok(())
    }

    /// Waits until all nodes hold a version, and tells how long it took.
    async fn reached(&self, version: u64) -> anyhow::Result<Duration> {
        let began = Instant::now();
        let behind = |n: &MiniNode| n.view.version.load(Ordering::Relaxed) < version;
        while self.nodes.iter().any(behind) {
            anyhow::ensure!(began.elapsed() < BOUND, "version {version} did not spread");
            sleep(LOOK).await;
        }
        Ok(began.elapsed())
    }

    async fn stats(&self) -> anyhow::Result<Value> {
        self.caller
            .get(self.platform.addr("listen"), "/lab/stats")
            .await
    }

    async fn measure_quiet(&self, seconds: u64) -> anyhow::Result<Quiet> {
        let reads = |stats: &Value| stats["reads"].as_u64().unwrap_or_default();
        let (before, bytes) = (self.stats().await?, usage::loopback_bytes());
        sleep(Duration::from_secs(seconds)).await;
        let (after, bytes_after) = (self.stats().await?, usage::loopback_bytes());
        let time = seconds as f64;
        Ok(Quiet {
            reads_per_s: (reads(&after) - reads(&before)) as f64 / time,
            bytes_per_s: (bytes_after - bytes) as f64 / time / self.nodes.len() as f64,
        })
    }

    /// Times of the changes in order of length, and bytes of bundle sent a node and change.
    async fn measure_changes(&self, changes: u64) -> anyhow::Result<(Vec<Duration>, f64)> {
        let before = self.update_bytes();
        let mut times = Vec::new();
        for version in 2..2 + changes {
            self.publish(version).await?;
            times.push(self.reached(version).await?);
        }
        times.sort();
        let sent = (self.update_bytes() - before) as f64;
        Ok((times, sent / self.nodes.len() as f64 / changes as f64))
    }

    fn update_bytes(&self) -> u64 {
        self.nodes
            .iter()
            .map(|n| n.view.update_bytes.load(Ordering::Relaxed))
            .sum()
    }

    /// Ends a twelfth of the nodes, starts as many anew at once, and waits for them.
    async fn measure_lost_zone(&mut self) -> anyhow::Result<Duration> {
        let lost = self.nodes.len() / ZONES;
        let left = self.nodes.len() - lost;
        for gone in self.nodes.drain(left..) {
            gone.close();
        }
        self.publish_members(0..left).await?;
        sleep(Duration::from_secs(2)).await;
        let version = self.nodes[0].view.version.load(Ordering::Relaxed);
        let began = Instant::now();
        for at in 0..lost {
            let node = self.start_node(10_000 + at)?;
            self.nodes.push(node);
        }
        let all = self.nodes.len();
        self.publish_members(0..all).await?;
        self.reached(version).await?;
        Ok(began.elapsed())
    }

    fn close(self) {
        for node in self.nodes {
            node.close();
        }
        for thread in self.threads {
            thread.stop();
        }
    }
}

impl MiniNode {
    fn close(self) {
        self.view.stop.store(true, Ordering::Relaxed);
    }
}

/// Runs a node's tasks and shows its state until it is told to stop.
async fn serve(settings: NodeSettings, listener: StdListener, view: Arc<View>) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let reader: Rc<dyn DocumentSource> =
        Rc::new(HttpSource::new(&settings.bundle_url, &settings.members_url));
    let node = Node::new(settings, Clock::system());
    let tasks = [
        actix_rt::spawn(accept(Rc::clone(&node), listener)),
        actix_rt::spawn(endless(gossip::keep_partners(Rc::clone(&node)))),
        actix_rt::spawn(endless(source::keep_reading(Rc::clone(&node), reader))),
    ];
    while !view.stop.load(Ordering::Relaxed) {
        let version = node.replica.stamps().bundle.version;
        if view.version.swap(version, Ordering::Relaxed) != version {
            view.update_bytes
                .store(update_bytes(&node), Ordering::Relaxed);
        }
        sleep(LOOK).await;
    }
    for task in tasks {
        task.abort();
    }
}

fn update_bytes(node: &Node) -> u64 {
    let text = node.metrics.text();
    let line = text
        .lines()
        .find(|line| line.starts_with("update_bytes_sent_total"));
    let value = line.and_then(|line| line.split_whitespace().last());
    value
        .and_then(|value| value.parse::<f64>().ok())
        .unwrap_or_default() as u64
}

async fn endless(work: impl std::future::Future<Output = anyhow::Result<()>>) {
    let _ = work.await;
}

async fn accept(node: Rc<Node>, listener: TcpListener) {
    while let Ok((tcp, _)) = listener.accept().await {
        let cx = Rc::clone(&node);
        actix_rt::spawn(link::serve(tcp, &PATHS, move |incoming| {
            gossip::answer(Rc::clone(&cx), incoming);
        }));
    }
}
