//! The platform's configuration service and instance list: read only, behind one trait.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use rand::Rng;
use tokio::time::sleep;

use crate::document::{DocumentKind, Stamp, MAX_DOCUMENT_BYTES};
use crate::node::Node;
use crate::overlay;

/// Reads a second that the whole fleet makes: a hundredth of what the service allows, and a
/// change is still found within 50 ms on average.
pub const FLEET_READS_PER_S: u32 = 20;
/// Shortest time between two reads by one process, in ms.
pub const LEAST_INTERVAL_MS: u64 = 1_000;
/// Bytes a second that one process spends on reads, on average.
const READ_BYTES_PER_S: u64 = 12 << 10;
/// Longest time that a fresh process with seeds leaves to its peers before it reads itself.
const PEERS_FIRST: Duration = Duration::from_millis(1_500);
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

/// What a read brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The document.
    Document(Vec<u8>),
    /// It is the one that this process read last.
    Unchanged,
}

/// Where documents come from; the users' real service takes this place.
pub trait DocumentSource {
    /// Reads a document as it stands there now.
    fn read(&self, kind: DocumentKind) -> LocalBoxFuture<'_, Result<Read, ReadError>>;
}

/// The platform over HTTP, with conditional reads (RFC 9110, 13.1.2) where it offers them.
#[derive(Clone)]
pub struct HttpSource {
    client: awc::Client,
    bundle: Source,
    members: Source,
}

/// One document's address and the entity tag of the last read.
#[derive(Debug, Clone)]
struct Source {
    url: String,
    tag: RefCell<Option<String>>,
}

impl std::fmt::Debug for HttpSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpSource")
            .field("bundle", &self.bundle)
            .finish_non_exhaustive()
    }
}

impl HttpSource {
    /// A reader of the two addresses.
    pub fn new(bundle_url: &str, members_url: &str) -> Self {
        let client = awc::Client::builder()
            .timeout(READ_TIME)
            .disable_redirects()
            .finish();
        let source = |url: &str| Source {
            url: url.into(),
            tag: RefCell::default(),
        };
        Self {
            client,
            bundle: source(bundle_url),
            members: source(members_url),
        }
    }

    async fn get(&self, source: &Source) -> Result<Read, ReadError> {
        let mut req = self.client.get(&source.url);
        if let Some(tag) = source.tag.borrow().as_ref() {
            req = req.insert_header(("if-none-match", tag.as_str()));
        }
        let mut res = req.send().await.map_err(|_| ReadError::Unreachable)?;
        match res.status().as_u16() {
            200 => {}
            304 => return Ok(Read::Unchanged),
            other => return Err(ReadError::Status(other)),
        }
        let tag = res.headers().get("etag").and_then(|tag| tag.to_str().ok());
        let tag = tag.map(str::to_owned);
        let body = res.body().limit(MAX_DOCUMENT_BYTES).await;
        let text = body.map_err(|_| ReadError::Oversize)?.to_vec();
        *source.tag.borrow_mut() = tag;
        Ok(Read::Document(text))
    }
}

impl DocumentSource for HttpSource {
    fn read(&self, kind: DocumentKind) -> LocalBoxFuture<'_, Result<Read, ReadError>> {
        match kind {
            DocumentKind::Bundle => self.get(&self.bundle).boxed_local(),
            DocumentKind::Members => self.get(&self.members).boxed_local(),
        }
    }
}

/// Reads both documents for the life of the process, less often the larger the fleet is.
///
/// A fresh process hears from its peers first, so that a restarted zone does not fall upon the
/// service; it reads at once when it knows of no peer.
pub async fn keep_reading(node: Rc<Node>, platform: Rc<dyn DocumentSource>) -> anyhow::Result<()> {
    if !node.settings.seeds.is_empty() {
        sleep(random_up_to(PEERS_FIRST)).await;
    }
    let stamps = node.replica.stamps();
    if stamps.bundle > Stamp::default() && stamps.members > Stamp::default() {
        sleep(random_up_to(interval(&node, 0) * 2)).await;
    }
    let mut reachable = true;
    loop {
        let mut bytes = 0;
        let mut ok = true;
        for kind in [DocumentKind::Members, DocumentKind::Bundle] {
            match read_one(&node, platform.as_ref(), kind).await {
                Ok(len) => bytes += len,
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
        sleep(random_up_to(interval(&node, bytes) * 2)).await;
    }
}

/// Reads one document and offers it to the replica; the bytes that it took.
async fn read_one(
    node: &Node,
    platform: &dyn DocumentSource,
    kind: DocumentKind,
) -> Result<usize, ReadError> {
    match platform.read(kind).await? {
        Read::Unchanged => Ok(0),
        Read::Document(text) => {
            let _ = node.replica.offer(kind, &text, "platform");
            Ok(text.len())
        }
    }
}

/// Mean time to the next read: bounded by the fleet's rate and by this process's bytes.
fn interval(node: &Node, bytes: usize) -> Duration {
    let calls = 2 * node.replica.members().instances.len();
    let by_rate = overlay::read_interval_ms(calls, FLEET_READS_PER_S, LEAST_INTERVAL_MS);
    let by_bytes = bytes as u64 * 1_000 / READ_BYTES_PER_S;
    Duration::from_millis(by_rate.max(by_bytes))
}

/// A random time, so that the reads of many processes don't fall together.
fn random_up_to(most: Duration) -> Duration {
    rand::thread_rng().gen_range(Duration::ZERO..=most)
}
