//! Service that did not come back in time after all machines had returned at once.

use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::{Condition, Engine};

const ENTRIES: u8 = 3;
const ENGINES: usize = 12;
/// Time after the return within which service is due.
const RECOVERY: Duration = Duration::from_secs(12);
/// Calls of which the store answers one at its worst.
const MOST: u64 = 5;
/// Time for a reading from such a store: several times what its pages take.
const READING: Duration = Duration::from_secs(90);
/// Requests after that time, through all entries.
const REQUESTS: usize = 60;
/// Part of them that is due.
const DUE: f64 = 0.25;

/// A site whose entries know each other by fixed settings, so that each can be started again.
struct Fleet {
    site: Site,
    settings: Vec<serde_json::Value>,
}

impl Fleet {
    async fn start() -> Self {
        let mut site = Site::start(ENGINES).await;
        let settings = site.fleet_settings(ENTRIES);
        for settings in &settings {
            site.add_unready(settings);
        }
        for entry in 0..site.entries.len() {
            site.wait_ready(entry).await;
        }
        Self { site, settings }
    }

    /// All entries lose power at the same moment, right after a change.
    fn power_off(&mut self) {
        self.site.configure(&["k1"]);
        self.site.entries.clear();
    }

    /// The first entries return within 0.3 s.
    async fn power_on(&mut self, entries: usize) {
        for settings in &self.settings[..entries] {
            self.site.add_unready(settings);
            let pause = rand::thread_rng().gen_range(0..100);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Waits until service is due, and checks that it is back.
    async fn check_service(&self, back_at: Instant, what: &str) {
        tokio::time::sleep_until(back_at + RECOVERY).await;
        let mut served = 0;
        for n in 0..REQUESTS {
            let entry = n % self.site.entries.len();
            let callers = self.site.entries[entry].addr("callers");
            let answer = exchange(callers, &request("/safe/ok", &format!("r-{n}"), "k1")).await;
            served += usize::from(answer.status == 200);
        }
        let mut lacks = Vec::new();
        for entry in 0..self.site.entries.len() {
            lacks.push(self.site.state(entry).await["lacks"].clone());
        }
        let due = (REQUESTS as f64 * DUE) as usize;
        assert!(
            served >= due,
            "{what}: {served} of {REQUESTS} served, entries lack {lacks:?}"
        );
    }
}

/// Each answer of the store takes this long, from before the return on.
async fn check_slow_store(ms: u64) {
    let mut fleet = Fleet::start().await;
    fleet.power_off();
    fleet.site.store.slow_down(Duration::from_millis(ms));
    fleet.power_on(ENTRIES.into()).await;
    fleet
        .check_service(Instant::now(), &format!("{ms} ms"))
        .await;
}

#[actix_rt::test]
async fn store_slow() {
    check_slow_store(240).await;
}

#[actix_rt::test]
async fn store_very_slow() {
    check_slow_store(1_100).await;
}

/// The store answers one of so many calls, from the return on.
async fn check_refusing_store(of: u64) {
    let mut fleet = Fleet::start().await;
    fleet.power_off();
    fleet.site.store.turn_away(of);
    fleet.power_on(ENTRIES.into()).await;
    fleet
        .check_service(Instant::now(), &format!("one of {of} answered"))
        .await;
}

#[actix_rt::test]
async fn store_turns_away() {
    check_refusing_store(3).await;
}

/// A reading of several pages began at the first one after each call that failed, and so never ended.
#[actix_rt::test]
async fn reading_goes_on() {
    let mut site = Site::start(ENGINES).await;
    site.store.turn_away(MOST);
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_unready(&settings);
    let until = Instant::now() + READING;
    while !site.is_ready(0).await {
        assert!(Instant::now() < until, "{}", site.state(0).await["lacks"]);
        sleep(Duration::from_millis(100)).await;
    }
}

/// The store answers nothing when the machines return, for a while.
#[actix_rt::test]
async fn store_returns_later() {
    for condition in [Condition::Silent, Condition::Busy] {
        let mut fleet = Fleet::start().await;
        fleet.power_off();
        fleet.site.store.set_condition(condition);
        fleet.power_on(ENTRIES.into()).await;
        sleep(Duration::from_secs(6)).await;
        fleet.site.store.set_condition(Condition::Up);
        fleet
            .check_service(Instant::now(), &format!("{condition:?}"))
            .await;
    }
}

#[actix_rt::test]
async fn store_came_back_older() {
    let mut fleet = Fleet::start().await;
    let before = fleet.site.store.revision();
    fleet.power_off();
    fleet.site.store.restore(before);
    fleet.power_on(ENTRIES.into()).await;
    fleet.check_service(Instant::now(), "restored").await;
}

#[actix_rt::test]
async fn history_forgotten() {
    let mut fleet = Fleet::start().await;
    fleet.power_off();
    fleet.power_on(ENTRIES.into()).await;
    fleet.site.store.forget();
    fleet.check_service(Instant::now(), "forgotten").await;
}

/// One entry of three returns; the others, and all seeds but one, never do.
#[actix_rt::test]
async fn others_never_return() {
    let mut fleet = Fleet::start().await;
    fleet.power_off();
    fleet.settings.reverse();
    fleet.power_on(1).await;
    fleet.check_service(Instant::now(), "one of three").await;
}

/// The engines lost power, too: their entries lapsed, and each is a new life at a new address.
#[actix_rt::test]
async fn engines_born_again() {
    let mut fleet = Fleet::start().await;
    fleet.power_off();
    for engine in &fleet.site.engines {
        fleet.site.store.unlist(engine);
    }
    fleet.power_on(ENTRIES.into()).await;
    sleep(Duration::from_secs(2)).await;
    fleet.site.engines.clear();
    for i in 0..ENGINES {
        let engine = Engine::start(&format!("i-new-{i}")).await.unwrap();
        fleet.site.store.list(&engine, "s1", "ready");
        fleet.site.engines.push(engine);
    }
    fleet
        .check_service(Instant::now(), "engines of another life")
        .await;
}
