//! Settings that name another address of the store, through entries as processes.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use violetline_lab::relay::Relay;
use violetline_lab::site::*;

/// How the former address of the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Former {
    /// Nothing listens there any more.
    Gone,
    /// It takes requests and answers none.
    Silent,
}

/// An entry stayed with the address of its start for good, and ran keys that were removed at the
/// other one.
#[actix_rt::test]
async fn former_address_kept() {
    for former in [Former::Gone, Former::Silent] {
        let mut site = Site::start(1).await;
        let relay = Relay::start(site.store_address).await.unwrap();
        let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
        settings["store"] = json!(relay.addr.to_string());
        settings["bounds"] = json!({});
        site.add_entry(&settings).await;
        assert_eq!(site.ask("/once/ok", "before").await.status, 200);
        settings["store"] = json!(site.store_address.to_string());
        std::fs::write(site.settings_path(0), settings.to_string()).unwrap();
        match former {
            Former::Gone => {
                relay.listen(false);
                relay.cut();
            }
            Former::Silent => relay.swallow_answers(true),
        }
        // The file is looked at once a second.
        sleep(Duration::from_millis(1_500)).await;
        site.configure(&["k2"]);
        wait_for("the version at the other address", || async {
            site.state(0).await["catalog"] == json!(site.version)
        })
        .await;
        assert_eq!(
            site.ask("/once/ok", "after").await.status,
            401,
            "{former:?}"
        );
        let answer = site.ask_with("/once/ok", "new", "k2").await;
        assert_eq!(answer.status, 200, "{former:?}");
    }
}
