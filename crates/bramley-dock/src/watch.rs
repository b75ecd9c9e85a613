//! Keeps claims, routes, workers and evacuations in sync with the store.

use std::rc::Rc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rand::Rng;
use tokio::time::sleep;

use crate::engine::Engine;
use crate::platform::{Platform, StoreError};

/// Range of the delay after a failed call in milliseconds. The delay is random so that the hosts do
/// not all return to the store at the same moment.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;

/// Time after the store's recovery in which missing workers are kept. Entries that expired during
/// the outage are written again within about two seconds.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Number of changes that one response of the store should hold at most. It is less than half of
/// what the store puts into one response.
const TARGET_CHANGES_PER_READ: u32 = 200;

/// Longest time for which one response of the store should occupy the host's link. Starts and their
/// answers wait behind it, and the slack of the shortest jobs is some tens of milliseconds.
const MAX_LINK_OCCUPANCY: Duration = Duration::from_millis(15);

/// Shortest delay between two reads of the worker entries, which bounds the calls to the store.
const MIN_READ_DELAY: Duration = Duration::from_millis(60);

/// Read of the changes of worker entries.
#[derive(Clone, Copy, Debug)]
pub struct EntryRead {
    /// Number of changes.
    pub changes: usize,
    /// Size of the response in bytes.
    pub bytes: usize,
    /// Time in which the changes were made.
    pub span: Duration,
}

/// Returns the delay before the next read of the worker entries, given the last one and the host's
/// link in bytes per second.
///
/// With thousands of workers, more entries change during the usual delay than one response of the
/// store holds. Reads would fall behind, and a leaving worker would still get tasks for several
/// seconds. On a narrow link, a large response would hold up the requests of callers.
#[must_use]
pub fn next_read_delay(read: EntryRead, usual_delay: Duration, link_bytes_per_s: u64) -> Duration {
    let changes = u32::try_from(read.changes).unwrap_or(u32::MAX).max(1);
    let span_for_changes = read.span * TARGET_CHANGES_PER_READ / changes;
    let seconds_on_link = read.bytes.max(1) as f64 / link_bytes_per_s.max(1) as f64;
    let occupied_share = MAX_LINK_OCCUPANCY.as_secs_f64() / seconds_on_link;
    // The usual delay bounds the result, so that larger factors make no difference.
    let span_for_link = read.span.mul_f64(occupied_share.min(1_000.0));
    usual_delay
        .min(span_for_changes)
        .min(span_for_link.max(MIN_READ_DELAY))
}

/// Part of the store that is kept in sync.
#[derive(Clone, Copy, Debug)]
enum StorePart {
    Claims,
    Evacuations,
    Routes,
    Workers,
}

impl StorePart {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Evacuations => "evacuations",
            Self::Routes => "routes",
            Self::Workers => "workers",
        }
    }
}

/// Tracks whether a part of the store is available, so that only transitions are logged.
#[derive(Debug)]
struct PartAvailability {
    part: StorePart,
    unavailable_since: Option<UnixTime>,
    recovered_at: Option<UnixTime>,
}

impl PartAvailability {
    const fn new(part: StorePart) -> Self {
        Self {
            part,
            unavailable_since: None,
            recovered_at: None,
        }
    }

    fn record_success<P: Platform>(&mut self, engine: &Engine<P>, kind: &'static str) {
        engine.store_answered();
        engine.metrics().record_store_call(kind, "ok");
        if let Some(unavailable_since) = self.unavailable_since.take() {
            let now = engine.now();
            self.recovered_at = Some(now);
            log::info!(
                "event=store_regained part={} away_ms={}",
                self.part.as_str(),
                now.since(unavailable_since).as_millis(),
            );
        }
    }

    /// Records a failed call and waits before the next one if the store is unavailable.
    async fn record_failure<P: Platform>(
        &mut self,
        engine: &Engine<P>,
        kind: &'static str,
        error: StoreError,
    ) {
        engine.metrics().record_store_call(kind, error.as_str());
        if error.store_responded() {
            engine.store_answered();
            return;
        }
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(engine.now());
            log::warn!(
                "event=store_lost part={} reason={}",
                self.part.as_str(),
                error.as_str(),
            );
        }
        let delay = rand::rng().random_range(RETRY_DELAY_MS);
        sleep(Duration::from_millis(delay)).await;
    }

    /// Returns whether the store has recovered so recently that entries may still be missing.
    fn is_settling(&self, now: UnixTime) -> bool {
        self.recovered_at
            .is_some_and(|recovered_at| now.since(recovered_at) < RECOVERY_GRACE)
    }
}

/// Keeps the claims of all failure domains in sync.
pub async fn sync_claims<P: Platform>(engine: Rc<Engine<P>>) {
    let mut availability = PartAvailability::new(StorePart::Claims);
    let mut after = None;
    loop {
        let read = match after {
            None => engine.platform().read_claims().await,
            Some(revision) => engine.platform().watch_claims(revision).await,
        };
        match read {
            Ok(claims) => {
                availability.record_success(&engine, "claims");
                let is_complete = after.is_none();
                after = Some(claims.revision);
                if is_complete || !claims.items.is_empty() {
                    engine.claims_changed(claims.items, is_complete);
                }
            }
            Err(error) => {
                // Changes made while the store was unavailable are picked up by a full read.
                after = None;
                availability.record_failure(&engine, "claims", error).await;
            }
        }
    }
}

/// Keeps the configuration in sync.
pub async fn sync_routes<P: Platform>(engine: Rc<Engine<P>>) {
    let mut availability = PartAvailability::new(StorePart::Routes);
    let mut after = None;
    loop {
        let read = match after {
            None => engine.platform().read_routes().await,
            Some(revision) => engine.platform().watch_routes(revision).await,
        };
        match read {
            Ok(routes) => {
                availability.record_success(&engine, "routes");
                after = Some(routes.revision);
                for table in routes.items {
                    engine.routes_changed(table);
                }
            }
            Err(error) => {
                after = None;
                availability.record_failure(&engine, "routes", error).await;
            }
        }
    }
}

/// Keeps the worker list in sync while the local pool is the leader.
pub async fn sync_workers<P: Platform>(engine: Rc<Engine<P>>) {
    let mut availability = PartAvailability::new(StorePart::Workers);
    let mut after = None;
    let mut read_at = engine.now();
    loop {
        if !engine.is_leader() {
            after = None;
            availability = PartAvailability::new(StorePart::Workers);
            engine.wait_for_leadership_change().await;
            continue;
        }
        let is_complete = after.is_none();
        let mut delay = engine.settings().worker_read_pause;
        let read = async {
            match after {
                None => engine.platform().read_workers().await,
                Some(revision) => engine.platform().watch_workers(revision).await,
            }
        };
        // A list that an earlier term has requested must not count as the first one of the current
        // term, whose leader relies on it to know all workers with runs.
        let read = tokio::select! {
            biased;
            () = engine.wait_for_leadership_change() => {
                after = None;
                continue;
            }
            read = read => read,
        };
        match read {
            Ok(workers) => {
                availability.record_success(&engine, "workers");
                let is_settling = availability.is_settling(engine.now());
                let now = engine.now();
                if !is_complete {
                    let entry_read = EntryRead {
                        changes: workers.items.len(),
                        bytes: workers.bytes,
                        span: now.since(read_at),
                    };
                    let link_bytes_per_s = engine.settings().host.link_bytes_per_s;
                    delay = next_read_delay(entry_read, delay, link_bytes_per_s);
                }
                read_at = now;
                engine.workers_changed(workers.items, is_complete && !is_settling);
                // Entries may still reappear, so the full list is read again later.
                after = (!(is_complete && is_settling)).then_some(workers.revision);
            }
            Err(error) => {
                after = None;
                availability.record_failure(&engine, "workers", error).await;
            }
        }
        tokio::select! {
            () = engine.wait_for_leadership_change() => after = None,
            () = read_pause(&engine, delay) => {}
        }
    }
}

/// Waits before the next read of the worker entries, less if the pool waits for one of them.
async fn read_pause<P: Platform>(engine: &Engine<P>, delay: Duration) {
    if delay <= MIN_READ_DELAY {
        return sleep(delay).await;
    }
    sleep(MIN_READ_DELAY).await;
    tokio::select! {
        () = engine.wait_for_wanted_entries() => {}
        () = sleep(delay - MIN_READ_DELAY) => {}
    }
}

/// Keeps the evacuations in sync while the local pool is the leader. Each term begins with a read of
/// all of them, before which the pool starts no task; an unavailable store leaves the last state in
/// force.
pub async fn sync_evacuations<P: Platform>(engine: Rc<Engine<P>>) {
    let mut availability = PartAvailability::new(StorePart::Evacuations);
    let mut after = None;
    loop {
        if !engine.is_leader() {
            after = None;
            availability = PartAvailability::new(StorePart::Evacuations);
            engine.wait_for_leadership_change().await;
            continue;
        }
        let requested_at = engine.now();
        let read = async {
            match after {
                None => engine.platform().read_evacuations().await,
                Some(revision) => engine.platform().watch_evacuations(revision).await,
            }
        };
        // A response to a request of an earlier term must not count as the first read of the
        // current one, and a process that is not the leader must have no watch pending.
        let read = tokio::select! {
            biased;
            () = engine.wait_for_leadership_change() => None,
            read = read => Some(read),
        };
        match read {
            None => after = None,
            Some(Ok(evacuations)) => {
                availability.record_success(&engine, "evacuations");
                let is_complete = after.is_none();
                after = Some(evacuations.revision);
                engine.evacuations_changed(evacuations.items, is_complete, requested_at);
            }
            Some(Err(error)) => {
                after = None;
                availability
                    .record_failure(&engine, "evacuations", error)
                    .await;
            }
        }
    }
}
