//! A whole deployment as child processes on the loopback address.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};
use violetline::members::{Instance, LifeState, Members, Role};
use violetline::route::Routing;
use violetline::schedule::Order;
use violetline::seal;

use crate::client::Caller;
use crate::engine::EngineSettings;
use crate::plain::PlainSettings;
use crate::process::Process;
use crate::relay::Relay;

/// Kereru's bundle, which the demo runs.
pub const KERERU: &str = include_str!("../../bundles/kereru.json");
/// Pampa's bundle.
pub const PAMPA: &str = include_str!("../../bundles/pampa.json");
/// Time for the fleet to come up.
const START_TIME: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// What to start.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The bundle, unsigned.
    pub bundle: Value,
    /// Region.
    pub region: String,
    /// Availability zones, used in turn.
    pub zones: Vec<String>,
    /// Count of entries.
    pub entries: usize,
    /// Model engines.
    pub engine: EngineSettings,
    /// Plain services.
    pub plain: PlainSettings,
    /// Order of service.
    pub order: Order,
    /// Choice of endpoints.
    pub routing: Routing,
    /// Whether entries reach sidecars through relays that can be cut.
    pub relays: bool,
    /// Another build of this binary that runs the product, to compare with.
    pub product: Option<PathBuf>,
}

impl FleetSpec {
    /// A deployment of a bundle in Kereru's zones.
    pub fn new(bundle: &str) -> anyhow::Result<Self> {
        Ok(Self {
            bundle: serde_json::from_str(bundle)?,
            region: "akl".into(),
            zones: ["hall-a", "hall-b", "hall-c"].map(String::from).to_vec(),
            entries: 3,
            engine: EngineSettings::default(),
            plain: PlainSettings::default(),
            order: Order::default(),
            routing: Routing::default(),
            relays: false,
            product: None,
        })
    }

    /// Takes out of the bundle what the first version did not know.
    pub fn forget_new_fields(&mut self) {
        for pool in self.bundle["pools"].as_array_mut().into_iter().flatten() {
            pool.as_object_mut()
                .and_then(|fields| fields.remove("resumable"));
        }
    }

    /// Kereru's bundle cut down to few endpoints, for tests.
    pub fn small(models: u32, plains: u32) -> anyhow::Result<Self> {
        let mut spec = Self::new(KERERU)?;
        spec.bundle["pools"][0]["places"] = models.into();
        spec.bundle["pools"][1]["places"] = plains.into();
        spec.entries = 2;
        Ok(spec)
    }
}

/// An endpoint with the sidecar beside it.
#[derive(Debug)]
pub struct Slot {
    /// Pool.
    pub pool: String,
    /// Ordinal in the pool.
    pub ordinal: u32,
    /// Instance id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// The endpoint.
    pub endpoint: Process,
    /// The sidecar.
    pub sidecar: Process,
    /// Its settings.
    pub settings: Value,
    /// Between entries and the sidecar.
    pub relay: Option<Relay>,
    /// What the instance list says.
    pub state: LifeState,
    /// Software version of the endpoint, as the instance list has it.
    pub software_version: String,
}

impl Slot {
    /// Whether the endpoint is a model engine.
    pub fn is_model(&self) -> bool {
        self.endpoint.addresses.contains_key("listen") && self.pool.starts_with("violet")
    }
}

/// An entry.
#[derive(Debug)]
pub struct EntryNode {
    /// Instance id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// The process.
    pub process: Process,
    /// Its settings.
    pub settings: Value,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// What it was started from.
    pub spec: FleetSpec,
    /// The platform's stand-in.
    pub platform: Process,
    /// Endpoints and sidecars.
    pub slots: Vec<Slot>,
    /// Entries.
    pub entries: Vec<EntryNode>,
    /// For reading pages.
    pub caller: Caller,
    /// The instance list as published.
    pub revision: u64,
    secret: String,
    public: String,
    folder: PathBuf,
    files: u32,
}

impl Fleet {
    /// Starts everything and waits until all are ready.
    pub async fn start(spec: FleetSpec) -> anyhow::Result<Self> {
        let platform = Process::start(&["platform"])?;
        let (secret, public) = seal::key_pair();
        let folder = std::env::temp_dir().join(format!("violetline-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            spec,
            platform,
            slots: Vec::new(),
            entries: Vec::new(),
            caller: Caller::default(),
            revision: 0,
            secret,
            public,
            folder,
            files: 0,
        };
        let bundle = fleet.spec.bundle.clone();
        fleet.publish_bundle(&bundle).await?;
        fleet.start_slots().await?;
        for at in 0..fleet.spec.entries {
            let entry = fleet.start_entry(at)?;
            fleet.entries.push(entry);
        }
        fleet.publish_members().await?;
        fleet.all_ready().await?;
        Ok(fleet)
    }

    async fn start_slots(&mut self) -> anyhow::Result<()> {
        let pools = self.spec.bundle["pools"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        for pool in pools {
            let name = pool["name"].as_str().unwrap_or_default().to_owned();
            let is_model = pool["kind"] == "model";
            for ordinal in 0..pool["places"].as_u64().unwrap_or_default() as u32 {
                let slot = self.start_slot(&name, ordinal, is_model).await?;
                self.slots.push(slot);
            }
        }
        Ok(())
    }

    async fn start_slot(&mut self, pool: &str, ordinal: u32, model: bool) -> anyhow::Result<Slot> {
        let zone = self.spec.zones[ordinal as usize % self.spec.zones.len()].clone();
        let endpoint = if model {
            let settings = serde_json::to_string(&self.spec.engine)?;
            Process::start(&["engine", "--settings", &settings])?
        } else {
            let settings = serde_json::to_string(&self.spec.plain)?;
            Process::start(&["plain", "--settings", &settings])?
        };
        let id = format!("{pool}-{ordinal}");
        let settings = json!({
            "node": self.node_settings(&id, &zone),
            "pool": pool,
            "ordinal": ordinal,
            "endpoint": format!("http://{}", endpoint.addr("listen")),
            "order": self.spec.order,
        });
        let sidecar = self.start_product("sidecar", &settings)?;
        let relay = match self.spec.relays {
            true => Some(Relay::start(sidecar.addr("listen")).await?),
            false => None,
        };
        let pool = pool.to_owned();
        let state = LifeState::Live;
        Ok(Slot {
            pool,
            ordinal,
            id,
            zone,
            endpoint,
            sidecar,
            settings,
            relay,
            state,
            software_version: String::new(),
        })
    }

    /// Starts an entry; it is listed with the next [`Fleet::publish_members`].
    pub fn start_entry(&mut self, at: usize) -> anyhow::Result<EntryNode> {
        let zone = self.spec.zones[at % self.spec.zones.len()].clone();
        let id = format!("entry-{at}");
        let settings = json!({
            "node": self.node_settings(&id, &zone),
            "callers": "127.0.0.1:0",
            "routing": self.spec.routing,
            "linger_ms": 300,
        });
        let process = self.start_product("entry", &settings)?;
        Ok(EntryNode {
            id,
            zone,
            process,
            settings,
        })
    }

    /// Starts a process of the product with some settings.
    pub fn start_product(&mut self, role: &str, settings: &Value) -> anyhow::Result<Process> {
        let path = self.settings_file(role, settings)?;
        let args = ["product", "--", role, "--settings", &path];
        match &self.spec.product {
            Some(program) => Process::start_other(program, &args),
            None => Process::start(&args),
        }
    }

    /// Writes settings to a file and returns its path.
    pub fn settings_file(&mut self, role: &str, settings: &Value) -> anyhow::Result<String> {
        self.files += 1;
        let path = self.folder.join(format!("{role}-{}.json", self.files));
        std::fs::write(&path, settings.to_string())?;
        Ok(path.display().to_string())
    }

    fn node_settings(&self, id: &str, zone: &str) -> Value {
        let platform = self.platform.addr("listen");
        let seeds: Vec<String> = self
            .slots
            .iter()
            .take(3)
            .map(|s| s.sidecar.addr("listen").to_string())
            .collect();
        json!({
            "id": id,
            "region": self.spec.region,
            "zone": zone,
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "bundle_url": format!("http://{platform}/bundle"),
            "members_url": format!("http://{platform}/members"),
            "trusted_keys": [self.public],
            "seeds": seeds,
        })
    }

    /// Signs a bundle as operators do.
    pub fn sign(&self, bundle: &Value) -> anyhow::Result<String> {
        let sealed = seal::sign(&bundle.to_string(), &self.secret).context("signing")?;
        Ok(serde_json::to_string(&sealed)?)
    }

    /// Signs a bundle and puts it into the configuration service.
    pub async fn publish_bundle(&mut self, bundle: &Value) -> anyhow::Result<()> {
        let sealed = self.sign(bundle)?;
        self.caller
            .send(self.platform.addr("listen"), "/lab/bundle", sealed)
            .await?;
        self.spec.bundle = bundle.clone();
        Ok(())
    }

    /// Publishes a next version of the bundle with a change.
    pub async fn change_bundle(&mut self, change: impl FnOnce(&mut Value)) -> anyhow::Result<u64> {
        let mut bundle = self.spec.bundle.clone();
        let version = bundle["version"].as_u64().unwrap_or_default() + 1;
        bundle["version"] = version.into();
        change(&mut bundle);
        self.publish_bundle(&bundle).await?;
        Ok(version)
    }

    /// Publishes the instance list as it is now.
    pub async fn publish_members(&mut self) -> anyhow::Result<()> {
        self.revision += 1;
        let members = self.members();
        let text = serde_json::to_string(&members)?;
        self.caller
            .send(self.platform.addr("listen"), "/lab/members", text)
            .await?;
        Ok(())
    }

    /// The instance list as it is now.
    pub fn members(&self) -> Members {
        let entries = self.entries.iter().map(|entry| Instance {
            id: entry.id.clone(),
            role: Role::Entry,
            addr: entry.process.addr("listen"),
            zone: entry.zone.clone(),
            region: self.spec.region.clone(),
            state: LifeState::Live,
            pool: String::new(),
            ordinal: 0,
            software_version: String::new(),
        });
        let sidecars = self.slots.iter().map(|slot| Instance {
            id: slot.id.clone(),
            role: Role::Sidecar,
            addr: slot
                .relay
                .as_ref()
                .map_or_else(|| slot.sidecar.addr("listen"), |r| r.addr),
            zone: slot.zone.clone(),
            region: self.spec.region.clone(),
            state: slot.state,
            pool: slot.pool.clone(),
            ordinal: slot.ordinal,
            software_version: slot.software_version.clone(),
        });
        Members::new(self.revision, entries.chain(sidecars).collect())
    }

    /// Waits until every process says that it is ready.
    pub async fn all_ready(&self) -> anyhow::Result<()> {
        for addr in self.admins() {
            self.ready(addr).await?;
        }
        self.members_reached(self.revision).await
    }

    /// Administration addresses of all processes of the product.
    pub fn admins(&self) -> Vec<SocketAddr> {
        let slots = self.slots.iter().map(|slot| slot.sidecar.addr("admin"));
        let entries = self.entries.iter().map(|entry| entry.process.addr("admin"));
        slots.chain(entries).collect()
    }

    /// Waits until one process says that it is ready.
    pub async fn ready(&self, admin: SocketAddr) -> anyhow::Result<()> {
        let until = Instant::now() + START_TIME;
        while self.caller.status(admin, "/readyz").await != 200 {
            anyhow::ensure!(Instant::now() < until, "{admin} did not become ready");
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Waits until every process holds at least this bundle.
    pub async fn bundle_reached(&self, version: u64) -> anyhow::Result<()> {
        self.reached("/v1/bundle", &["in_force", "version"], version)
            .await
    }

    /// Waits until every process holds at least this instance list.
    pub async fn members_reached(&self, revision: u64) -> anyhow::Result<()> {
        self.reached("/v1/members", &["revision"], revision).await
    }

    async fn reached(&self, page: &str, path: &[&str], least: u64) -> anyhow::Result<()> {
        let until = Instant::now() + START_TIME;
        for addr in self.admins() {
            loop {
                let found = self.caller.get(addr, page).await.unwrap_or_default();
                let value = path.iter().fold(&found, |value, field| &value[*field]);
                if value.as_u64().unwrap_or_default() >= least {
                    break;
                }
                anyhow::ensure!(Instant::now() < until, "{addr}{page} did not reach {least}");
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Sets faults of a stand-in.
    pub async fn fault(&self, process: &Process, faults: Value) -> anyhow::Result<()> {
        let status = self
            .caller
            .send(process.addr("listen"), "/lab/faults", faults.to_string());
        anyhow::ensure!(status.await? == 200, "faults refused");
        Ok(())
    }

    /// Runs counted by all endpoints for one id.
    pub async fn runs(&self, id: &str) -> u64 {
        let mut runs = 0;
        for slot in &self.slots {
            let addr = slot.endpoint.addr("listen");
            let stats = self
                .caller
                .get(addr, "/lab/stats")
                .await
                .unwrap_or_default();
            let field = if slot.is_model() { "starts" } else { "runs" };
            runs += stats[field][id].as_u64().unwrap_or_default();
        }
        runs
    }

    /// Where callers reach an entry.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].process.addr("callers")
    }

    /// Starts the sidecar of a slot again on its old port, as the platform would.
    pub fn restart_sidecar(&mut self, at: usize) -> anyhow::Result<()> {
        let settings = self.fixed_settings(at);
        self.slots[at].sidecar = self.start_product("sidecar", &settings)?;
        Ok(())
    }

    /// The settings of a slot's sidecar with the ports that it holds now.
    pub fn fixed_settings(&self, at: usize) -> Value {
        let slot = &self.slots[at];
        let mut settings = slot.settings.clone();
        settings["node"]["listen"] = slot.sidecar.addr("listen").to_string().into();
        settings
    }

    /// Ends all processes and removes the files.
    pub fn close(self) {
        let folder = self.folder.clone();
        drop(self);
        let _ = std::fs::remove_dir_all(folder);
    }
}
