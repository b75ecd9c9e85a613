//! Clients that do not behave, beside the callers: they stop before the end of a request, send
//! without end, or only keep connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bramley_fleet_stand_in::recorder::RunRecorder;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{ROUTE_HOST, ROUTE_PREFIX};

/// First digits of the names of the crowd's jobs, which are never complete.
const NAME_PREFIX: &str = "cccc";

/// Longest time for which a client keeps its connection, unless the process ends before.
const MAX_HOLD_MS: u64 = 4_000;

/// Timeout for opening a connection and for sending.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest body in bytes that the configuration of the soak allows.
const MAX_BODY_BYTES: usize = 262_144;

/// Returns what a client sends, in pieces.
fn misbehave(rng: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let name = format!("{NAME_PREFIX}{:012x}", rng.random::<u64>() >> 16);
    let head = |framing: &str| {
        format!(
            "POST {ROUTE_PREFIX}{name} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nDeadline-Ms: 3000\r\n\
             {framing}\r\n\r\n"
        )
        .into_bytes()
    };
    let job = r#"{"spec":"50 1000","best_effort":true,"steps":[{"count":2,"cpu":1000}]}"#;
    match rng.random_range(0..6) {
        0 => Vec::new(),
        // A job that lacks its last byte.
        1 => vec![
            head(&format!("Content-Length: {}", job.len() + 1)),
            job.into(),
        ],
        2 => vec![
            head(&format!("Content-Length: {MAX_BODY_BYTES}")),
            vec![b' '; MAX_BODY_BYTES - 1],
        ],
        3 => {
            let mut pieces = vec![head("Transfer-Encoding: chunked")];
            let chunks = job.bytes().map(|byte| vec![b'1', 13, 10, byte, 13, 10]);
            pieces.extend(chunks);
            pieces
        }
        4 => vec![
            format!("GET {ROUTE_PREFIX} HTTP/1.1\r\nX-Line: ").into_bytes(),
            vec![b'x'; 100_000],
        ],
        _ => vec![b"\r\n".repeat(50_000)],
    }
}

/// Runs one client until `stop` is set.
pub async fn run_crowd_client(seed: u64, hosts: Vec<SocketAddr>, stop: Arc<AtomicBool>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        let host = hosts[rng.random_range(0..hosts.len())];
        let pieces = misbehave(&mut rng);
        let hold = Duration::from_millis(rng.random_range(50..MAX_HOLD_MS));
        let sent = timeout(SEND_TIMEOUT, async {
            let mut stream = TcpStream::connect(host).await?;
            stream.set_nodelay(true)?;
            for piece in pieces {
                stream.write_all(&piece).await?;
            }
            std::io::Result::Ok(stream)
        });
        // The host may be down, or close the connection at any point.
        if let Ok(Ok(mut stream)) = sent.await {
            let mut answer = Vec::new();
            drop(timeout(hold, stream.read_to_end(&mut answer)).await);
        } else {
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Returns a message for every run of a job that was never complete.
#[must_use]
pub fn find_crowd_runs(recorder: &RunRecorder) -> Vec<String> {
    let runs = recorder.entries();
    let crowd_runs = runs.iter().filter(|run| run.task.starts_with(NAME_PREFIX));
    crowd_runs
        .map(|run| format!("a job whose request was cut short has a run: {run:?}"))
        .collect()
}
