//! Tests of how the client classifies failures of the platform, and of the retry backoff.

use std::net::SocketAddr;
use std::time::Duration;

use bramley_store::{BackoffSettings, RetryBackoff, StoreClient, StoreError, StoreSettings};
use bramley_wire::platform::PutRequest;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Behaviour of the test platform after it has read a request.
#[derive(Clone, Copy, Debug)]
enum PlatformBehaviour {
    /// Responds with a status line, headers and a body.
    Respond(&'static str, &'static str),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Silent,
}

async fn start_platform(behaviour: PlatformBehaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, behaviour));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, behaviour: PlatformBehaviour) {
    let mut buffer = [0; 4096];
    // The requests of these tests are small enough to arrive in a single read.
    let count = stream.read(&mut buffer).await.unwrap_or(0);
    if count == 0 {
        return;
    }
    match behaviour {
        PlatformBehaviour::Respond(head, body) => {
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {head}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            stream.write_all(text.as_bytes()).await.unwrap_or_default();
        }
        PlatformBehaviour::Close => {}
        PlatformBehaviour::Silent => std::future::pending().await,
    }
}

fn make_client(address: SocketAddr) -> StoreClient {
    StoreClient::new(StoreSettings {
        address,
        response_timeout_ms: 300,
        ..StoreSettings::default()
    })
}

async fn put_error(behaviour: PlatformBehaviour) -> StoreError {
    let client = make_client(start_platform(behaviour).await);
    let result = client.put("a/b", &PutRequest::default()).await;
    assert_eq!(client.counters().snapshot().writes, 1);
    assert_eq!(client.counters().snapshot().failures, 1);
    result.expect_err("the platform sends no valid response")
}

#[tokio::test]
async fn a_value_is_read() {
    let response = PlatformBehaviour::Respond("200 OK", r#"{"value":"x","revision":4}"#);
    let client = make_client(start_platform(response).await);
    let value = client.get("a/b").await.expect("a valid response");
    assert_eq!((value.value.as_str(), value.revision), ("x", 4));
    let wait = Duration::from_millis(10);
    let watched = client
        .watch("a/b", 3, wait)
        .await
        .expect("a valid response");
    assert_eq!(watched.revision, 4);
    let counts = client.counters().snapshot();
    assert_eq!((counts.reads, counts.watches, counts.failures), (1, 1, 0));
}

#[tokio::test]
async fn refusals_prove_that_nothing_was_changed() {
    let response = PlatformBehaviour::Respond("429 Too Many Requests\r\nretry-after: 2", "");
    let expected = StoreError::Refused {
        status: 429,
        retry_after: Some(Duration::from_secs(2)),
    };
    assert_eq!(put_error(response).await, expected);
    let outage = put_error(PlatformBehaviour::Respond("503 Service Unavailable", "")).await;
    assert!(!outage.is_effect_unknown() && outage.is_transient());
    let rejected = put_error(PlatformBehaviour::Respond("400 Bad Request", "bad")).await;
    assert!(!rejected.is_effect_unknown() && !rejected.is_transient());
}

#[tokio::test]
async fn lost_answers_leave_the_effect_unknown() {
    let behaviours = [
        PlatformBehaviour::Close,
        PlatformBehaviour::Silent,
        PlatformBehaviour::Respond("200 OK", "{\"appl"),
        PlatformBehaviour::Respond("500 Internal Server Error", ""),
    ];
    for behaviour in behaviours {
        let error = put_error(behaviour).await;
        assert!(error.is_effect_unknown(), "{behaviour:?}: {error}");
    }
}

#[tokio::test]
async fn an_unreached_platform_was_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let error = make_client(address).get("a").await;
    assert!(
        matches!(error, Err(StoreError::Unreachable(_))),
        "{error:?}"
    );
    let invalid = make_client(address).get("a b").await;
    assert!(matches!(invalid, Err(StoreError::InvalidKey(_))));
}

#[test]
fn retries_of_many_hosts_are_spread() {
    let settings = BackoffSettings {
        first_delay_ms: 100,
        max_delay_ms: 1_600,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut buckets = [0; 8];
    for _ in 0..800 {
        let mut backoff = RetryBackoff::new(settings);
        let mut delay = Duration::ZERO;
        for failures in 0..8_u32 {
            let bound = Duration::from_millis((100 << failures.min(4)).min(1_600));
            delay = backoff.next_delay(&mut rng);
            assert!(delay <= bound && delay >= bound / 2);
        }
        let position = (delay.as_millis() - 800) * 8 / 801;
        buckets[usize::try_from(position).expect("a bucket index")] += 1;
    }
    // 800 delays in 8 buckets of equal width: 100 are expected in each.
    assert!(
        buckets.iter().all(|count| (60..=140).contains(count)),
        "{buckets:?}"
    );
}

#[test]
fn hosts_do_not_come_back_from_an_outage_together() {
    const HOST_COUNT: usize = 100;
    const OUTAGE: Duration = Duration::from_secs(60);
    const BUCKET: Duration = Duration::from_millis(100);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut calls_per_bucket = [0; 21];
    for _ in 0..HOST_COUNT {
        // At the start of the outage the watches of all hosts fail at the same time.
        let mut backoff = RetryBackoff::new(BackoffSettings::default());
        let mut next_call = Duration::ZERO;
        while next_call < OUTAGE {
            next_call += backoff.next_delay(&mut rng);
        }
        let bucket = (next_call - OUTAGE).as_millis() / BUCKET.as_millis();
        calls_per_bucket[usize::try_from(bucket).expect("a bucket index")] += 1;
    }
    println!("requests in each 100 ms after the outage: {calls_per_bucket:?}");
    let most = calls_per_bucket.iter().max().copied().unwrap_or(0);
    assert!(
        most <= HOST_COUNT / 5,
        "{most} of {HOST_COUNT} hosts reconnect within {BUCKET:?}"
    );
}
