//! Reading an unchanged worker list must transfer no body.

use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_store::{StoreClient, StoreSettings};
use bramley_wire::platform::WorkerRecord;

/// Number of workers that the deployment is expected to have in two years.
const WORKER_COUNT: usize = 700;

/// Allowed body size in bytes of a response for an unchanged list.
const NOT_MODIFIED_BYTES: u64 = 0;

fn make_workers(count: usize) -> Vec<WorkerRecord> {
    let name = |number| format!("worker-{number}");
    let record = |number| WorkerRecord {
        name: name(number),
        ..WorkerRecord::default()
    };
    (0..count).map(record).collect()
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let platform = PlatformStandIn::start(PlatformOptions::default())
        .await
        .expect("a started platform");
    platform.replace_workers(make_workers(WORKER_COUNT));
    let address = platform.address();
    let client = StoreClient::new(StoreSettings {
        address,
        ..StoreSettings::default()
    });

    let first = client
        .worker_list(0)
        .await
        .expect("a response")
        .expect("a list");
    assert_eq!(first.workers.len(), WORKER_COUNT);
    let received = client.counters().snapshot().received_bytes;
    assert_eq!(
        client
            .worker_list(first.revision)
            .await
            .expect("a response"),
        None
    );
    let repeated = client.counters().snapshot().received_bytes - received;
    assert_eq!(repeated, NOT_MODIFIED_BYTES);

    platform.replace_workers(make_workers(1));
    let second = client
        .worker_list(first.revision)
        .await
        .expect("a response")
        .expect("a list");
    assert_eq!(second.workers.len(), 1);
    assert!(second.revision > first.revision);
}
