//! Reads of the worker list cost few bytes while the list does not change.

use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_store::{StoreClient, StoreSettings};
use bramley_wire::platform::WorkerRecord;

/// Workers on the list, as many as the deployment has in two years.
const WORKERS: usize = 700;

/// Bytes that the body of an answer without news may have.
const NO_NEWS_BYTES: u64 = 0;

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
        .expect("starts");
    platform.replace_workers(make_workers(WORKERS));
    let address = platform.address();
    let client = StoreClient::new(StoreSettings {
        address,
        ..StoreSettings::default()
    });

    let first = client.workers(0).await.expect("answered").expect("a list");
    assert_eq!(first.workers.len(), WORKERS);
    let received = client.counts().snapshot().received_bytes;
    assert_eq!(
        client.workers(first.revision).await.expect("answered"),
        None
    );
    let repeated = client.counts().snapshot().received_bytes - received;
    assert_eq!(repeated, NO_NEWS_BYTES);

    platform.replace_workers(make_workers(1));
    let second = client
        .workers(first.revision)
        .await
        .expect("answered")
        .expect("a list");
    assert_eq!(second.workers.len(), 1);
    assert!(second.revision > first.revision);
}
