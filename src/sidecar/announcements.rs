//! What the endpoint announces of itself: that it leaves, until its next life begins, or that it wants no calls for a time.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Sidecar;
use crate::announced::Announcement;
use crate::clock::Millis;

/// Longest time for which the word of an endpoint that it wants no requests is believed; it is tried again then.
const LONGEST_REST: Millis = Millis(300_000);
/// Advice to come back to an endpoint that leaves: another one may have begun in its place.
const LEAVING_WAIT: Millis = Millis(1_000);
/// Time between two looks whether an endpoint that leaves has ended: shorter than it takes to start again.
const LOOK_AT_ENDPOINT: Duration = Duration::from_millis(100);

impl Sidecar {
    /// Takes what the endpoint announces in an answer.
    pub fn announced(&self, announcement: Announcement) {
        let now = self.node.clock.now();
        if let Some(rest) = announcement.rest {
            let until = now + rest.min(LONGEST_REST);
            self.breaker.borrow_mut().asked_for_rest(until);
            tracing::info!(rest_ms = rest.0, "the endpoint asks for rest");
            self.tick();
        }
        if announcement.leaves && !self.leaving.send_replace(true) {
            tracing::info!("the endpoint announces that it leaves");
            self.apply_draining();
        }
    }

    /// How long the endpoint wants no requests, by its own word; `None` where it takes them.
    pub fn unwilling(&self) -> Option<Millis> {
        if *self.leaving.borrow() {
            return Some(LEAVING_WAIT);
        }
        let now = self.node.clock.now();
        self.breaker.borrow().rest_left(now)
    }

    /// Waits until the endpoint announces that it leaves.
    pub async fn leaves(&self) {
        let mut leaving = self.leaving.subscribe();
        // The sender lives as long as this.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Another life of the endpoint has begun: what the one before announced holds no more.
    pub fn life_begun(&self) {
        self.breaker.borrow_mut().begin_life();
        self.forget_limit();
        if self.leaving.send_replace(false) {
            tracing::info!("the endpoint has begun another life");
            self.apply_draining();
        }
    }
}

/// Waits for the next life of an endpoint that leaves. One that begins between two looks is not seen, so the endpoint is
/// tried again in any case after the longest time for which its word is believed.
pub(super) async fn follow_endpoint(sidecar: Rc<Sidecar>) -> anyhow::Result<()> {
    loop {
        sidecar.leaves().await;
        // Whether it was seen or the time is over, it is tried again.
        let _ = timeout(LONGEST_REST.duration(), next_life(&sidecar)).await;
        sidecar.life_begun();
    }
}

/// Waits until the endpoint has ended and listens again.
async fn next_life(sidecar: &Sidecar) {
    while !sidecar.endpoint.is_gone().await {
        sleep(LOOK_AT_ENDPOINT).await;
    }
    while sidecar.endpoint.is_gone().await {
        sleep(LOOK_AT_ENDPOINT).await;
    }
}
