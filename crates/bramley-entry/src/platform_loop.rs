//! Follows the platform's list of workers and the stored configuration.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::names::{DomainName, RackName, WorkerName};
use bramley_core::worker::{WorkerProfile, WorkerState};
use bramley_store::{BackoffSettings, RetryBackoff};
use bramley_wire::platform::{WorkerList, WorkerRecord};
use rand::Rng;

use crate::member_channel::{ListedWorkers, MemberHandle, OfferSource};
use crate::shared::SharedState;

/// Longest time that one watch of the configuration waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Bounds of the wait after failed calls, which is spread at random so that hosts do not come
/// together.
const RETRY_BOUNDS: BackoffSettings = BackoffSettings {
    first_delay_ms: 200,
    max_delay_ms: 5_000,
};

/// Word of the platform for a worker that takes no new work.
const LEAVING: &str = "leaving";

/// Watches the stored configuration and offers what it finds.
pub async fn follow_configuration(state: Arc<SharedState>, members: MemberHandle) {
    let key = state.settings.configuration_key.clone();
    let mut backoff = RetryBackoff::new(RETRY_BOUNDS);
    let mut revision = 0;
    loop {
        match state.store.watch(&key, revision, WATCH_WAIT).await {
            Ok(value) => {
                backoff.reset();
                if value.revision != revision && !value.value.is_empty() {
                    members
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

/// Polls the platform's list of workers.
pub async fn follow_workers(state: Arc<SharedState>, members: MemberHandle) {
    let interval = Duration::from_millis(state.settings.timing.worker_list_poll_ms);
    let mut backoff = RetryBackoff::new(RETRY_BOUNDS);
    loop {
        let known = state.workers.load().revision;
        match state.store.workers(known).await {
            Ok(list) => {
                backoff.reset();
                if let Some(list) = list {
                    adopt_workers(&state, &members, list, "platform").await;
                }
                tokio::time::sleep(spread(interval)).await;
            }
            Err(error) => {
                log::debug!("event=worker_list_failed error=\"{error}\"");
                let delay = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Varies a polling interval a little, so that hosts do not poll together.
fn spread(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.9..1.1))
}

/// Puts a worker list into force if it is newer than the present one.
///
/// `source` is named in the log. The list may come from the platform or from a sibling, which
/// helps a host that starts while the platform cannot be reached.
pub async fn adopt_workers(
    state: &SharedState,
    members: &MemberHandle,
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
        report_workers(state, members, list).await;
    }
}

async fn report_workers(state: &SharedState, members: &MemberHandle, list: WorkerList) {
    let mut listed = ListedWorkers {
        revision: list.revision,
        live: Vec::new(),
        leaving: Vec::new(),
    };
    let mut profiles = Vec::with_capacity(list.workers.len());
    for record in list.workers {
        let Some(profile) = make_profile(&record) else {
            log::warn!("event=worker_record_malformed worker={}", record.name);
            continue;
        };
        if record.failure_domain == state.settings.failure_domain {
            let names = if record.state == LEAVING {
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
    members.workers_listed(listed).await;
}

fn make_profile(record: &WorkerRecord) -> Option<WorkerProfile> {
    let state = if record.state == LEAVING {
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
