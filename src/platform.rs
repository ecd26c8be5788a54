//! The platform's configuration service and instance list: read only, behind one trait.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use rand::Rng;
use tokio::time::sleep;

use crate::document::{DocumentKind, MAX_DOCUMENT_BYTES};
use crate::node::Node;
use crate::overlay;

/// Reads a second that the whole fleet makes: a hundredth of what the service allows, and a
/// change is still found within 50 ms on average.
pub const FLEET_READS_PER_S: u32 = 20;
/// Shortest time between two reads by one process, in ms.
pub const LEAST_INTERVAL_MS: u64 = 1_000;
/// Time for one read.
const READ_TIME: Duration = Duration::from_millis(2_000);

/// Why a document could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// No answer, or not in time.
    Unreachable,
    /// An answer other than the document.
    Status(u16),
    /// Longer than a document may be.
    Oversize,
}

/// Where documents come from; the users' real service takes this place.
pub trait Platform {
    /// Reads a document as it stands there now.
    fn read(&self, kind: DocumentKind) -> LocalBoxFuture<'_, Result<Vec<u8>, ReadError>>;
}

/// The platform over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: awc::Client,
    bundle_url: String,
    members_url: String,
}

impl std::fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("bundle_url", &self.bundle_url)
            .finish()
    }
}

impl HttpPlatform {
    /// A reader of the two addresses.
    pub fn new(bundle_url: &str, members_url: &str) -> Self {
        let client = awc::Client::builder()
            .timeout(READ_TIME)
            .disable_redirects()
            .finish();
        Self {
            client,
            bundle_url: bundle_url.into(),
            members_url: members_url.into(),
        }
    }

    async fn get(&self, url: &str) -> Result<Vec<u8>, ReadError> {
        let sent = self.client.get(url).send().await;
        let mut res = sent.map_err(|_| ReadError::Unreachable)?;
        if res.status() != 200 {
            return Err(ReadError::Status(res.status().as_u16()));
        }
        let body = res.body().limit(MAX_DOCUMENT_BYTES).await;
        body.map(|bytes| bytes.to_vec())
            .map_err(|_| ReadError::Oversize)
    }
}

impl Platform for HttpPlatform {
    fn read(&self, kind: DocumentKind) -> LocalBoxFuture<'_, Result<Vec<u8>, ReadError>> {
        let url = match kind {
            DocumentKind::Bundle => &self.bundle_url,
            DocumentKind::Members => &self.members_url,
        };
        self.get(url).boxed_local()
    }
}

/// Reads both documents for the life of the process, less often the larger the fleet is.
pub async fn keep_reading(node: Rc<Node>, platform: Rc<dyn Platform>) -> anyhow::Result<()> {
    let mut reachable = true;
    loop {
        let mut ok = true;
        for kind in [DocumentKind::Members, DocumentKind::Bundle] {
            match platform.read(kind).await {
                Ok(text) => {
                    let _ = node.replica.offer(kind, &text, "platform");
                }
                Err(err) => {
                    ok = false;
                    node.metrics.platform_error(err);
                }
            }
        }
        if ok != reachable {
            reachable = ok;
            tracing::info!(reachable, "platform");
        }
        node.platform_read.set(true);
        sleep(pause(&node)).await;
    }
}

fn pause(node: &Node) -> Duration {
    let processes = node.replica.members().instances.len();
    let calls_each = 2;
    let mean =
        overlay::read_interval_ms(processes * calls_each, FLEET_READS_PER_S, LEAST_INTERVAL_MS);
    Duration::from_millis(rand::thread_rng().gen_range(mean / 2..=mean * 3 / 2))
}
