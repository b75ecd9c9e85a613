//! The connection of a client goes silent, and the client sends its job again after its deadline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::client::{job_body, new_job, submit};
use crate::deployment::Deployment;
use crate::overlap::record_overlaps;
use crate::worker::WorkerKind;
use crate::{CaseResult, CaseSettings};

/// Zones of the deployment.
const ZONES: [&str; 2] = ["zone-1", "zone-2"];

/// Number of clients, one after the other.
const ROUNDS: usize = 5;

/// Run time of a task in milliseconds: the longest one of the kind of request.
const RUN_MS: u64 = 3_600;

/// Estimate of the run time in milliseconds.
const ESTIMATE_MS: u64 = 1_300;

/// Time that clients wait for an answer, as the sheet states it.
const DEADLINE_MS: u64 = 1_500;

/// Time until the connection goes silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);

/// `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// Way between a client and a host. Once it is silent, it forwards nothing in either direction, also
/// no end of a connection; the connection to the host stays open until the way is closed.
struct ClientWay {
    address: SocketAddr,
    silence: Arc<Notify>,
    close: Arc<Notify>,
}

impl ClientWay {
    async fn open(front: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(front.ip(), 0)).await?;
        let way = Self {
            address: listener.local_addr()?,
            silence: Arc::new(Notify::new()),
            close: Arc::new(Notify::new()),
        };
        let (silence, close) = (Arc::clone(&way.silence), Arc::clone(&way.close));
        tokio::spawn(async move {
            let Ok((mut client, _)) = listener.accept().await else {
                return;
            };
            let Ok(mut host) = TcpStream::connect(front).await else {
                return;
            };
            tokio::select! {
                () = forward(&mut client, &mut host) => {}
                () = silence.notified() => close.notified().await,
            }
        });
        Ok(way)
    }
}

/// Forwards in both directions until either end closes its connection.
async fn forward(client: &mut TcpStream, host: &mut TcpStream) {
    let (mut request, mut answer) = ([0; 4_096], [0; 4_096]);
    loop {
        tokio::select! {
            read = client.read(&mut request) => match read {
                Ok(count) if count > 0 => {
                    if host.write_all(&request[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            read = host.read(&mut answer) => match read {
                Ok(count) if count > 0 => {
                    if client.write_all(&answer[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}

/// Runs the case.
pub async fn run(settings: &CaseSettings) -> CaseResult {
    let failed = |error: std::io::Error| error.to_string();
    let record = settings.record.clone();
    let mut deployment = Deployment::new(&settings.root, &settings.folder, record.clone(), true)
        .await
        .map_err(failed)?;
    for zone in ZONES {
        for index in 0..4 {
            let id = format!("{zone}-w{index}");
            let kind = WorkerKind::plain();
            deployment
                .add_worker(&id, zone, kind)
                .await
                .map_err(failed)?;
        }
        for _ in 0..2 {
            deployment.add_host(zone, &ZONES).map_err(failed)?;
        }
    }
    if !deployment.wait_until_ready().await {
        return Err(String::from("not ready"));
    }
    sleep(Duration::from_secs(2)).await;
    let (first, other) = (deployment.hosts[0].front, deployment.hosts[2].front);
    let mut body = job_body(RUN_MS, 14_000, &json!({"count": 1}));
    body["steps"][0]["estimate_ms"] = ESTIMATE_MS.into();
    for _ in 0..ROUNDS {
        let job = new_job();
        let way = ClientWay::open(first).await.map_err(failed)?;
        if settings.has_trouble {
            let (silence, record) = (Arc::clone(&way.silence), record.clone());
            tokio::spawn(async move {
                sleep(SILENT_AFTER).await;
                record.line("the client's connection goes silent");
                silence.notify_one();
            });
        }
        // The client closes its connection when its deadline has passed.
        let (status, _) = submit(&record, way.address, &job, &body, DEADLINE_MS).await;
        if status != 0 {
            return Err(format!("the first submission was answered {status}"));
        }
        sleep(RESEND).await;
        submit(&record, other, &job, &body, DEADLINE_MS).await;
        sleep(Duration::from_secs(3)).await;
        way.close.notify_one();
    }
    let overlaps = record_overlaps(&record, &deployment.runs.runs());
    deployment.end();
    record.line(format!("{overlaps} overlaps, {ROUNDS} clients"));
    Ok(overlaps > 0)
}
