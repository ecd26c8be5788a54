//! Calls to the store grow with the availability zones, not with the entries: those that start get
//! everything from peers that have it.

use violetline_lab::site::*;

const SEEDS: [&str; 2] = ["127.0.0.2:1", "127.0.0.3:1"];
const LATER_ENTRIES: u8 = 8;

/// Entries that start beside others read neither the list of endpoints nor the configuration from
/// the store, and are ready all the same.
#[actix_rt::test]
async fn started_by_peers() {
    let mut site = Site::start(2).await;
    let ips: Vec<String> = (2..4 + LATER_ENTRIES)
        .map(|i| format!("127.0.0.{i}"))
        .collect();
    let ips: Vec<&str> = ips.iter().map(String::as_str).collect();
    let (link, admin) = (common_port(&ips), common_port(&ips));
    for ip in &ips[..2] {
        let settings = site.settings(ip, link, admin, &SEEDS);
        site.add_entry(&settings).await;
    }
    let read_by_first = site.store.list_reads();
    for ip in &ips[2..] {
        let settings = site.settings(ip, link, admin, &SEEDS);
        site.add_unready(&settings);
    }
    for entry in 2..ips.len() {
        site.wait_ready(entry).await;
    }
    let read_later = site.store.list_reads() - read_by_first;
    assert!(
        read_later <= 1,
        "{read_later} of {LATER_ENTRIES} read the store"
    );
}

/// An entry that starts while the store is silent serves what its peers know.
#[actix_rt::test]
async fn started_in_outage() {
    let mut site = Site::start(2).await;
    let ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];
    let (link, admin) = (common_port(&ips), common_port(&ips));
    for ip in &ips[..2] {
        let settings = site.settings(ip, link, admin, &SEEDS);
        site.add_entry(&settings).await;
    }
    site.store
        .set_condition(violetline_lab::standin::Condition::Busy);
    let settings = site.settings(ips[2], link, admin, &SEEDS);
    site.add_unready(&settings);
    let knows_list = || async {
        let state = site.state(2).await;
        state["endpoints"]
            .as_array()
            .is_some_and(|all| all.len() == 2)
    };
    wait_for("the third entry has the list", knows_list).await;
    site.store
        .set_condition(violetline_lab::standin::Condition::Up);
    site.wait_ready(2).await;
}
