//! Exchange of documents between processes: stamps are pushed, documents are pulled.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::document::{DocumentKind, Stamp};
use crate::link::{Incoming, Link, LinkError, Reader, Writer};
use crate::node::Node;
use crate::overlay;
use crate::quarantine::{Notice, MAX_NOTICES_PER_MESSAGE};
use crate::replica::Stamps;
use crate::suspicion;
use crate::wire::{Gossip, GOSSIP_PATH};

/// Time between two digests on a quiet link.
const HEARTBEAT: Duration = Duration::from_millis(1_400);
/// Time after which a document that was asked for may be asked for again.
const WANT_AGAIN: Duration = Duration::from_millis(1_000);
/// Time between two looks at the choice of partners.
const REVIEW: Duration = Duration::from_millis(1_000);
/// Reviews after which one partner is given up for another, so that the graph keeps mixing.
const REMIX_REVIEWS: u64 = 60;
/// Time that an entry and a sidecar talk after they disagreed on documents.
const BRIEF_TALK: Duration = Duration::from_millis(1_500);
const KINDS: [DocumentKind; 2] = [DocumentKind::Bundle, DocumentKind::Members];

/// What this process has asked for and from how many peers it has heard.
#[derive(Debug, Default)]
pub struct Exchange {
    wanted: RefCell<HashMap<DocumentKind, (Stamp, Instant)>>,
    heard: RefCell<u64>,
    newest: RefCell<Stamps>,
}

impl Exchange {
    /// Digests heard since the start, over all peers.
    pub fn heard(&self) -> u64 {
        *self.heard.borrow()
    }

    /// The newest stamps that any peer has told of.
    pub fn newest(&self) -> Stamps {
        *self.newest.borrow()
    }

    fn note(&self, theirs: Stamps) {
        *self.heard.borrow_mut() += 1;
        let mut newest = self.newest.borrow_mut();
        newest.bundle = newest.bundle.max(theirs.bundle);
        newest.members = newest.members.max(theirs.members);
    }

    /// Whether to ask for `stamp` now; not while another peer has been asked.
    fn claim(&self, kind: DocumentKind, stamp: Stamp) -> bool {
        let now = Instant::now();
        let mut wanted = self.wanted.borrow_mut();
        let pending = wanted
            .get(&kind)
            .is_some_and(|(asked, at)| *asked >= stamp && now.duration_since(*at) < WANT_AGAIN);
        if !pending {
            wanted.insert(kind, (stamp, now));
        }
        !pending
    }

    fn clear(&self, kind: DocumentKind) {
        self.wanted.borrow_mut().remove(&kind);
    }
}

/// Talks on one gossip stream until it ends.
pub async fn converse(
    node: Rc<Node>,
    mut writer: Writer,
    mut reader: Reader,
    peer: String,
) -> Result<(), LinkError> {
    let mut changed = node.replica.subscribe();
    let mut suspicions = node.suspicions.subscribe();
    send_digest(&mut writer, *changed.borrow_and_update()).await?;
    let now = node.clock.now();
    let refused = node
        .quarantine
        .borrow()
        .refused_notices(MAX_NOTICES_PER_MESSAGE, now);
    send_notices(&mut writer, refused).await?;
    let mut told_up_to = now;
    let mut beat = Box::pin(sleep(HEARTBEAT));
    let mut inbox = Box::pin(next_message(&mut reader));
    loop {
        tokio::select! {
            message = &mut inbox => {
                let (message, reader) = message?;
                inbox.set(next_message(reader));
                hear(&node, &mut writer, message, &peer).await?;
            }
            _ = changed.changed() => {
                let stamps = *changed.borrow_and_update();
                send_digest(&mut writer, stamps).await?;
            }
            _ = suspicions.changed() => {
                let now = node.clock.now();
                let notices = node
                    .quarantine
                    .borrow()
                    .recent().since(told_up_to, false, MAX_NOTICES_PER_MESSAGE, now);
                told_up_to = now;
                send_notices(&mut writer, notices).await?;
            }
            () = &mut beat => {
                let stamps = *changed.borrow();
                send_digest(&mut writer, stamps).await?;
                beat.set(sleep(HEARTBEAT));
            }
        }
    }
}

/// Reads one message and hands the reader back, so that no half-read frame is lost.
async fn next_message(reader: &mut Reader) -> Result<(Gossip, &mut Reader), LinkError> {
    let message = reader.next().await?.ok_or(LinkError::Broken)?;
    Ok((message, reader))
}

async fn hear(
    node: &Node,
    writer: &mut Writer,
    message: Gossip,
    peer: &str,
) -> Result<(), LinkError> {
    match message {
        Gossip::Digest { bundle, members } => {
            let theirs = Stamps { bundle, members };
            node.exchange.note(theirs);
            ask_for_newer(node, writer, theirs).await
        }
        Gossip::Want { kind, have } => match node.replica.update(kind, have) {
            Some(update) => {
                node.metrics.update_sent(update.data.len());
                writer.send(&Gossip::Document(update)).await
            }
            None => Ok(()),
        },
        Gossip::Document(update) => {
            node.exchange.clear(update.kind);
            let is_delta = update.base.is_some();
            if node.replica.offer_update(&update, peer).is_err() && is_delta {
                let want = Gossip::Want {
                    kind: update.kind,
                    have: Stamp::default(),
                };
                return writer.send(&want).await;
            }
            Ok(())
        }
        Gossip::Notices(notices) => {
            suspicion::apply_notices(node, &notices);
            Ok(())
        }
    }
}

async fn send_notices(writer: &mut Writer, notices: Vec<Notice>) -> Result<(), LinkError> {
    if notices.is_empty() {
        return Ok(());
    }
    writer.send(&Gossip::Notices(notices)).await
}

async fn ask_for_newer(node: &Node, writer: &mut Writer, theirs: Stamps) -> Result<(), LinkError> {
    let ours = node.replica.stamps();
    for kind in KINDS {
        if theirs.of(kind) > ours.of(kind) && node.exchange.claim(kind, theirs.of(kind)) {
            writer
                .send(&Gossip::Want {
                    kind,
                    have: ours.of(kind),
                })
                .await?;
        }
    }
    Ok(())
}

async fn send_digest(writer: &mut Writer, stamps: Stamps) -> Result<(), LinkError> {
    writer
        .send(&Gossip::Digest {
            bundle: stamps.bundle,
            members: stamps.members,
        })
        .await
}

/// Serves a gossip stream that a peer opened.
pub fn answer(node: Rc<Node>, incoming: Incoming) {
    actix_rt::spawn(async move {
        let abort = Rc::clone(&incoming.abort);
        let talk = converse(
            Rc::clone(&node),
            incoming.writer,
            incoming.reader,
            "peer".into(),
        );
        if let Err(LinkError::Wire(err)) = talk.await {
            node.metrics.bad_frame(err);
            abort.notify_one();
        }
    });
}

/// Opens a gossip stream on a link and talks on it for [`BRIEF_TALK`], in the background.
pub async fn exchange_on(node: Rc<Node>, link: &Link, peer: String) -> Result<(), LinkError> {
    let (writer, reader) = link.open(GOSSIP_PATH).await?;
    actix_rt::spawn(async move {
        let _ = timeout(BRIEF_TALK, converse(node, writer, reader, peer)).await;
    });
    Ok(())
}

/// Keeps links to the chosen partners; runs for the life of the process.
pub async fn keep_partners(node: Rc<Node>) -> anyhow::Result<()> {
    let mut open: HashMap<String, watch::Receiver<bool>> = HashMap::new();
    let mut reviews = 0_u64;
    loop {
        open.retain(|_, ended| !*ended.borrow());
        reviews += 1;
        let now = node.clock.now();
        node.quarantine.borrow_mut().expire(now);
        for (peer, addr) in wanted_partners(&node, &mut open, reviews) {
            let ended = spawn_partner(Rc::clone(&node), peer.clone(), addr);
            open.insert(peer, ended);
        }
        sleep(REVIEW).await;
    }
}

fn wanted_partners(
    node: &Node,
    open: &mut HashMap<String, watch::Receiver<bool>>,
    reviews: u64,
) -> Vec<(String, SocketAddr)> {
    let members = node.replica.members();
    let mut kept: Vec<String> = open.keys().cloned().collect();
    if reviews % REMIX_REVIEWS == 0 {
        kept.pop();
    }
    let mut rng = rand::thread_rng();
    let chosen = overlay::partners(&node.settings, &members, &kept, &mut rng);
    let mut targets: Vec<(String, SocketAddr)> =
        chosen.into_iter().map(|i| (i.id, i.addr)).collect();
    if targets.is_empty() {
        let seeds = node.settings.seeds.iter();
        targets.extend(seeds.map(|addr| (addr.to_string(), *addr)));
    }
    open.retain(|peer, _| targets.iter().any(|(id, _)| id == peer));
    targets.retain(|(id, _)| !open.contains_key(id));
    targets
}

/// Talks with one partner until it goes or nobody holds the receiver.
fn spawn_partner(node: Rc<Node>, peer: String, addr: SocketAddr) -> watch::Receiver<bool> {
    let (tx, rx) = watch::channel(false);
    actix_rt::spawn(async move {
        let talk = async {
            let link = Link::connect(addr).await?;
            let (writer, reader) = link.open(GOSSIP_PATH).await?;
            converse(node, writer, reader, peer).await
        };
        tokio::select! {
            _ = talk => {}
            () = tx.closed() => {}
        }
        let _ = tx.send(true);
    });
    rx
}
