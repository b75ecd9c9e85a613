//! Follows the store: claims, routes and workers.

use std::rc::Rc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::engine::Engine;
use crate::port::{PlatformPort, StoreFault};

/// Bounds of the wait after a failed call, in milliseconds; random, so that hosts do not return to
/// the store at the same moment.
const RETRY_WAIT_MS: std::ops::Range<u64> = 100..300;

/// Time after the store's return during which missing workers are kept: entries that lapsed
/// meanwhile are back within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Changes that one answer of the store is to hold at most: less than a half of what it puts into one
/// answer.
const USUAL_CHANGES: u32 = 200;

/// Returns the time until the next read of the workers' entries, after one with `changes` changes since
/// `span` before it. With thousands of workers the entries change faster than a usual pause allows, and
/// a worker that leaves would get tasks for seconds.
#[must_use]
pub fn pause_after(changes: usize, span: Duration, usual: Duration) -> Duration {
    let changes = u32::try_from(changes).unwrap_or(u32::MAX).max(1);
    usual.min(span * USUAL_CHANGES / changes)
}

/// Which part of the store is followed.
#[derive(Clone, Copy, Debug)]
enum StorePart {
    Claims,
    Routes,
    Workers,
}

impl StorePart {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Routes => "routes",
            Self::Workers => "workers",
        }
    }
}

/// Whether a part of the store is reached, so that only changes are logged.
#[derive(Debug)]
struct PartHealth {
    part: StorePart,
    lost_at: Option<UnixTime>,
    returned_at: Option<UnixTime>,
}

impl PartHealth {
    const fn new(part: StorePart) -> Self {
        Self {
            part,
            lost_at: None,
            returned_at: None,
        }
    }

    fn succeeded<P: PlatformPort>(&mut self, engine: &Engine<P>, kind: &'static str) {
        engine.store_answered();
        engine.metrics().note_store_call(kind, "ok");
        if let Some(lost_at) = self.lost_at.take() {
            let now = engine.now();
            self.returned_at = Some(now);
            log::info!(
                "event=store_regained part={} away_ms={}",
                self.part.as_str(),
                now.since(lost_at).as_millis(),
            );
        }
    }

    async fn failed<P: PlatformPort>(
        &mut self,
        engine: &Engine<P>,
        kind: &'static str,
        fault: StoreFault,
    ) {
        engine.metrics().note_store_call(kind, fault.as_str());
        if fault.was_heard() {
            engine.store_answered();
            return;
        }
        if self.lost_at.is_none() {
            self.lost_at = Some(engine.now());
            log::warn!(
                "event=store_lost part={} reason={}",
                self.part.as_str(),
                fault.as_str(),
            );
        }
        let wait = rand::rng().random_range(RETRY_WAIT_MS);
        sleep(Duration::from_millis(wait)).await;
    }

    fn is_settling(&self, now: UnixTime) -> bool {
        self.returned_at
            .is_some_and(|returned| now.since(returned) < RETURN_GRACE)
    }
}

/// Follows the claims of all failure domains.
pub async fn follow_claims<P: PlatformPort>(engine: Rc<Engine<P>>) {
    let mut health = PartHealth::new(StorePart::Claims);
    let mut after = None;
    loop {
        let read = match after {
            None => engine.port().read_claims().await,
            Some(revision) => engine.port().watch_claims(revision).await,
        };
        match read {
            Ok(claims) => {
                health.succeeded(&engine, "claims");
                let is_complete = after.is_none();
                after = Some(claims.revision);
                if is_complete || !claims.items.is_empty() {
                    engine.claims_changed(claims.items, is_complete);
                }
            }
            Err(fault) => {
                // What changed while the store was away is read anew.
                after = None;
                health.failed(&engine, "claims", fault).await;
            }
        }
    }
}

/// Follows the configuration.
pub async fn follow_routes<P: PlatformPort>(engine: Rc<Engine<P>>) {
    let mut health = PartHealth::new(StorePart::Routes);
    let mut after = None;
    loop {
        let read = match after {
            None => engine.port().read_routes().await,
            Some(revision) => engine.port().watch_routes(revision).await,
        };
        match read {
            Ok(routes) => {
                health.succeeded(&engine, "routes");
                after = Some(routes.revision);
                for table in routes.items {
                    engine.routes_changed(table);
                }
            }
            Err(fault) => {
                after = None;
                health.failed(&engine, "routes", fault).await;
            }
        }
    }
}

/// Follows the list of workers while the own pool has command.
pub async fn follow_workers<P: PlatformPort>(engine: Rc<Engine<P>>) {
    let mut health = PartHealth::new(StorePart::Workers);
    let mut after = None;
    let mut read_at = engine.now();
    loop {
        if !engine.commands() {
            after = None;
            health = PartHealth::new(StorePart::Workers);
            engine.command_change().await;
            continue;
        }
        let is_complete = after.is_none();
        let mut pause = engine.settings().worker_read_pause;
        let read = match after {
            None => engine.port().read_workers().await,
            Some(revision) => engine.port().watch_workers(revision).await,
        };
        match read {
            Ok(workers) => {
                health.succeeded(&engine, "workers");
                let settling = health.is_settling(engine.now());
                let now = engine.now();
                if !is_complete {
                    pause = pause_after(workers.items.len(), now.since(read_at), pause);
                }
                read_at = now;
                engine.workers_changed(workers.items, is_complete && !settling);
                // While entries may still come back, the whole list is read again afterwards.
                after = (!(is_complete && settling)).then_some(workers.revision);
            }
            Err(fault) => {
                after = None;
                health.failed(&engine, "workers", fault).await;
            }
        }
        if timeout(pause, engine.command_change()).await.is_ok() {
            after = None;
        }
    }
}
