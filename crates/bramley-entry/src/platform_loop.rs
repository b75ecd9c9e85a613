//! Tasks that watch the stored configuration and poll the worker list of the platform.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::names::{DomainName, RackName, WorkerName};
use bramley_core::worker::{WorkerProfile, WorkerState};
use bramley_store::{BackoffSettings, RetryBackoff};
use bramley_wire::platform::{WorkerList, WorkerRecord};
use rand::Rng;

use crate::member_channel::{ListedWorkers, MembershipHandle, OfferSource};
use crate::shared::SharedState;

/// Maximum duration of one watch call on the configuration.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Backoff after failed calls; its random jitter keeps hosts from retrying in lockstep.
const RETRY_BACKOFF: BackoffSettings = BackoffSettings {
    first_delay_ms: 200,
    max_delay_ms: 5_000,
};

/// State of a worker that accepts no new tasks, as the platform names it.
const STATE_LEAVING: &str = "leaving";

/// Watches the stored configuration and offers each new value to the membership task.
pub async fn watch_configuration(state: Arc<SharedState>, membership: MembershipHandle) {
    let key = state.settings.configuration_key.clone();
    let mut backoff = RetryBackoff::new(RETRY_BACKOFF);
    let mut revision = 0;
    loop {
        match state.store.watch(&key, revision, WATCH_TIMEOUT).await {
            Ok(value) => {
                backoff.reset();
                if value.revision != revision && !value.value.is_empty() {
                    membership
                        .offer_configuration(value.value, OfferSource::Store)
                        .await;
                }
                revision = value.revision;
            }
            Err(error) => {
                log::debug!("event=configuration_watch_failed error=\"{error}\"");
                let delay = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Polls the worker list of the platform.
pub async fn poll_workers(state: Arc<SharedState>, membership: MembershipHandle) {
    let interval = Duration::from_millis(state.settings.timing.worker_list_poll_ms);
    let mut backoff = RetryBackoff::new(RETRY_BACKOFF);
    loop {
        let known = state.workers.load().revision;
        match state.store.worker_list(known).await {
            Ok(list) => {
                backoff.reset();
                if let Some(list) = list {
                    apply_worker_list(&state, &membership, list, "platform").await;
                }
                tokio::time::sleep(with_jitter(interval)).await;
            }
            Err(error) => {
                log::debug!("event=worker_list_failed error=\"{error}\"");
                let delay = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Adds jitter to a polling interval, so that hosts do not poll in lockstep.
fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.9..1.1))
}

/// Applies a worker list if it is newer than the current one.
///
/// The list comes from the platform or from a peer; the latter allows a host to start while the
/// platform is unreachable. `source` appears in the log.
pub async fn apply_worker_list(
    state: &SharedState,
    membership: &MembershipHandle,
    list: WorkerList,
    source: &str,
) {
    let present = state.workers.load().revision;
    if list.revision < present {
        let offered = list.revision;
        log::warn!("event=worker_list_older source={source} offered={offered} present={present}");
    }
    if list.revision > present {
        log::info!(
            "event=workers_listed source={source} revision={}",
            list.revision
        );
        state.workers.store(Arc::new(list.clone()));
        report_workers(state, membership, list).await;
    }
}

async fn report_workers(state: &SharedState, membership: &MembershipHandle, list: WorkerList) {
    let mut listed = ListedWorkers {
        revision: list.revision,
        live: Vec::new(),
        leaving: Vec::new(),
    };
    let mut profiles = Vec::with_capacity(list.workers.len());
    for record in list.workers {
        let Some(profile) = worker_profile(&record) else {
            log::warn!("event=worker_record_malformed worker={}", record.name);
            continue;
        };
        if record.failure_domain == state.settings.failure_domain {
            let names = if record.state == STATE_LEAVING {
                &mut listed.leaving
            } else {
                &mut listed.live
            };
            names.push(profile.name.clone());
        }
        profiles.push(profile);
    }
    state
        .kernel
        .report(KernelEvent::WorkersListed(profiles))
        .await;
    membership.report_workers_listed(listed).await;
}

fn worker_profile(record: &WorkerRecord) -> Option<WorkerProfile> {
    let state = if record.state == STATE_LEAVING {
        WorkerState::Leaving
    } else {
        WorkerState::Live
    };
    Some(WorkerProfile {
        name: WorkerName::from(record.name.as_str()),
        address: record.address.parse().ok()?,
        domain: DomainName::from(record.failure_domain.as_str()),
        rack: RackName::from(record.rack.as_str()),
        slots: record.slots,
        accelerators: record.accelerators,
        memory_mib: record.memory_mib,
        state,
    })
}
