//! Crowds of clients that do not behave, against a real process with low limits: it lives, keeps its
//! memory and descriptors and answers an ordinary request beside the crowd and after it.

mod support;

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use support::{TestDeployment, WAIT_TIMEOUT, echo_job};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Only one crowd at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// Body size in bytes that the settings allow.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Connections that the settings allow.
const MAX_CONNECTIONS: usize = 100;

/// Memory in bytes that the settings allow for requests.
const MAX_INTAKE_BYTES: u64 = 16 << 20;

/// Memory in bytes of a process besides requests.
const PROCESS_BYTES: u64 = 64_000_000;

/// Descriptors of a process besides callers' connections.
const PROCESS_DESCRIPTORS: usize = 64;

/// Crowds that follow each other on one process.
const ROUNDS: usize = 2;

/// Longest time for which a client of a crowd tries to send.
const SEND_TIME: Duration = Duration::from_secs(8);

/// Connects clients that each send these pieces and then stay open.
fn join(deployment: &TestDeployment, clients: usize, pieces: &[Bytes]) -> Vec<JoinHandle<()>> {
    let address = deployment.entries[0].callers();
    let connect = |_| {
        let pieces = pieces.to_vec();
        tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else {
                return;
            };
            drop(stream.set_nodelay(true));
            let sent = timeout(SEND_TIME, async {
                for piece in pieces {
                    stream.write_all(&piece).await?;
                }
                std::io::Result::Ok(())
            });
            // The process may close the connection at any point.
            drop(sent.await);
            std::future::pending::<()>().await;
            drop(stream);
        })
    };
    (0..clients).map(connect).collect()
}

fn assert_within_limits(deployment: &TestDeployment, moment: &str) {
    let process = &deployment.entries[0].process;
    let (peak, limit) = (process.peak_memory(), MAX_INTAKE_BYTES + PROCESS_BYTES);
    assert!(peak <= limit, "{moment}: {peak} bytes resident of {limit}");
    let descriptors = process.open_descriptors();
    let limit = MAX_CONNECTIONS + PROCESS_DESCRIPTORS;
    assert!(
        descriptors <= limit,
        "{moment}: {descriptors} descriptors of {limit}"
    );
}

/// Sends an ordinary job until it is answered.
async fn answer_ordinary_request(deployment: &TestDeployment) {
    let address = deployment.entries[0].callers();
    let answered = timeout(WAIT_TIMEOUT, async {
        loop {
            let request = Bytes::from_static(b"{\"team\":\"booking\",\"count\":1}");
            let reply = deployment
                .try_call(hyper::Method::POST, address, "/v1/tickets", request)
                .await;
            if let Some((status, body)) = reply
                && status.is_success()
            {
                let reply: serde_json::Value = serde_json::from_slice(&body).expect("tickets");
                let ticket = reply["tickets"][0].as_str().expect("a ticket");
                let job = serde_json::to_vec(&echo_job(ticket, 1, 10)).expect("encodes");
                let answer = deployment
                    .try_call(hyper::Method::POST, address, "/v1/jobs", Bytes::from(job))
                    .await;
                if answer.is_some_and(|(status, _)| status.is_success()) {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    assert!(answered.await.is_ok(), "no ordinary request is answered");
}

async fn meet(name: &str, clients: usize, pieces: Vec<Vec<u8>>) {
    let _alone = ONE_CROWD.lock().await;
    let limits = json!({
        "max_body_bytes": MAX_BODY_BYTES,
        "max_connections": MAX_CONNECTIONS,
        "max_intake_bytes": MAX_INTAKE_BYTES,
    });
    let deployment = TestDeployment::start_limited(name, &["north"], 1, 1, limits).await;
    answer_ordinary_request(&deployment).await;
    let pieces: Vec<Bytes> = pieces.into_iter().map(Bytes::from).collect();
    for round in 0..ROUNDS {
        let crowd = join(&deployment, clients, &pieces);
        for _ in 0..20 {
            sleep(Duration::from_millis(100)).await;
            assert_within_limits(&deployment, &format!("{name}, round {round}, beside it"));
        }
        answer_ordinary_request(&deployment).await;
        for client in crowd {
            client.abort();
        }
        answer_ordinary_request(&deployment).await;
        assert_within_limits(&deployment, &format!("{name}, round {round}, after it"));
    }
}

fn head(framing: &str) -> Vec<u8> {
    format!("POST /v1/jobs HTTP/1.1\r\nHost: entry.example\r\n{framing}\r\n\r\n").into_bytes()
}

/// Guards against descriptors that idle connections take from workers and other hosts.
#[tokio::test]
async fn idle_callers() {
    meet("idle_callers", 300, Vec::new()).await;
}

/// Guards against memory held by bodies that stop before their end.
#[tokio::test]
async fn submissions_short_of_their_end() {
    let mut bytes = head(&format!("Content-Length: {MAX_BODY_BYTES}"));
    bytes.extend(vec![b' '; MAX_BODY_BYTES - 1]);
    meet("short_submissions", 200, vec![bytes]).await;
}

/// Guards against chunks that each keep a read buffer.
#[tokio::test]
async fn submissions_in_chunks_of_one_byte() {
    let mut pieces = vec![head("Transfer-Encoding: chunked")];
    pieces.extend(std::iter::repeat_n(b"1\r\n \r\n".to_vec(), 1_000));
    meet("single_chunks", 200, pieces).await;
}

/// Guards against heads that are read far beyond their limit.
#[tokio::test]
async fn heads_without_end() {
    let start = b"GET /health HTTP/1.1\r\nHost: entry.example\r\nX-Line: ".to_vec();
    let mut pieces = vec![start];
    pieces.extend(std::iter::repeat_n(vec![b'x'; 65_536], 6));
    meet("endless_heads", 300, pieces).await;
}
