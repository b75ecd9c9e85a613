//! Two runs of one task at a time: a host is suspended, and its client leaves and sends the job again.
//!
//! While a machine is suspended it acknowledges nothing, so the end of the client's connection reaches
//! it only when the client's system sends it once more, some time after the machine has woken up.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until};

use crate::client;
use crate::deployment::{Deployment, OTHER_ZONE, ZONE, ZoneSize};
use crate::{CaseSetup, Verdict, job_name, submission};

/// Time for which the host is suspended; the largest in the site file is 4 s.
const SUSPENSION: Duration = Duration::from_millis(4_000);

/// Time from the suspension until the client leaves.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Time after which a client sends a job again that was not answered: `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// First delay after which an unacknowledged packet is sent once more; it doubles each time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Run time of the task: a few last several seconds.
const RUN_MS: u64 = 3_000;

/// Runs the case.
pub async fn run(setup: &CaseSetup) -> Result<Verdict, String> {
    let kinds = ["a", "a", "a"];
    let zones = [
        ZoneSize {
            zone: ZONE,
            hosts: 2,
            kinds: &kinds,
        },
        ZoneSize {
            zone: OTHER_ZONE,
            hosts: 1,
            kinds: &kinds,
        },
    ];
    let deployment =
        Deployment::start(setup.scratch.clone(), setup.repository.clone(), &zones).await?;
    let verdict = play(&deployment, setup.has_trouble).await;
    deployment.record.note_runs(&deployment.recorder);
    let written = deployment.record.write(&setup.folder.join("record.txt"));
    if std::env::var_os("KEEP_LOGS").is_some() {
        deployment.keep_logs(&setup.folder);
    }
    written.map_err(|error| error.to_string())?;
    verdict
}

async fn play(deployment: &Deployment, has_trouble: bool) -> Result<Verdict, String> {
    let record = &deployment.record;
    let leader = deployment.leader(ZONE).ok_or("no host leads the zone")?;
    let hosts = deployment.hosts.iter().enumerate();
    let mut beside = hosts.filter(|(index, host)| *index != leader && host.zone == ZONE);
    let (_, host) = beside.next().ok_or("there is no host beside the leader")?;
    let distant = deployment.hosts.len() - 1;
    let link = ClientLink::default();
    let address = link
        .serve(host.caller_address)
        .await
        .map_err(|error| error.to_string())?;
    let job = job_name(1);
    let first = async {
        record.note(format!("client sends POST {job} to {}", host.name));
        let deadline = Duration::from_millis(200) + PATIENCE;
        let request = submission(&job, 1, RUN_MS, 14_000, deadline.as_millis() as u64);
        let outcome = client::send(address, request).await;
        let has_left = outcome.response.is_none();
        record.note(format!("client has left {}: {has_left}", host.name));
        sleep(RESEND).await;
        let request = submission(&job, 1, RUN_MS, 14_000, 6_000);
        deployment.send(distant, request).await
    };
    let suspension = async {
        sleep(Duration::from_millis(200)).await;
        if has_trouble {
            let wakes_at = Instant::now() + SUSPENSION;
            link.suspend_until(wakes_at);
            record.note(format!("{} is suspended", host.name));
            host.signal(Signal::STOP)?;
            sleep(SUSPENSION).await;
            host.signal(Signal::CONT)?;
            record.note(format!("{} wakes up", host.name));
        }
        Ok::<(), String>(())
    };
    let (_answer, suspended) = tokio::join!(first, suspension);
    suspended?;
    if let Some(delivered) = link.delivered_at() {
        record.note_at(
            delivered,
            format!("{} gets the end of the connection", host.name),
        );
    }
    sleep(Duration::from_secs(1)).await;
    let overlaps = deployment.recorder.overlaps();
    Ok(match overlaps.first() {
        None => Verdict::Held,
        Some((earlier, later)) => {
            let ends = [earlier.ended, later.ended].into_iter().flatten().min();
            let end = ends.unwrap_or_else(Instant::now);
            let both = end.saturating_duration_since(later.began).as_millis();
            let seen = format!(
                "task {} ran on {} and on {} at the same time for {both} ms",
                earlier.task, earlier.worker, later.worker
            );
            record.note(format!("TWICE: {seen}"));
            Verdict::Broken(seen)
        }
    })
}

/// Link between a client and a host, which carries the end of a connection as TCP does while the host
/// is suspended.
#[derive(Clone, Debug, Default)]
struct ClientLink {
    wakes_at: Arc<Mutex<Option<Instant>>>,
    delivered_at: Arc<Mutex<Option<Instant>>>,
}

impl ClientLink {
    fn suspend_until(&self, wakes_at: Instant) {
        *self.wakes_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(wakes_at);
    }

    fn delivered_at(&self) -> Option<Instant> {
        *self
            .delivered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, host: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(link.clone().forward(client, host));
            }
        });
        Ok(address)
    }

    async fn forward(self, client: TcpStream, host: SocketAddr) {
        let Ok(server) = TcpStream::connect(host).await else {
            return;
        };
        let (mut client_reader, mut client_writer) = client.into_split();
        let (mut server_reader, mut server_writer) = server.into_split();
        let requests = async {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(length) = client_reader.read(&mut buffer).await {
                if length == 0 || server_writer.write_all(&buffer[..length]).await.is_err() {
                    break;
                }
            }
            let sent_at = Instant::now();
            let wakes_at = *self.wakes_at.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(wakes_at) = wakes_at {
                sleep_until(delivery(sent_at, wakes_at).into()).await;
            }
            let mut delivered = self
                .delivered_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *delivered = Some(Instant::now());
        };
        let responses = async {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(length) = server_reader.read(&mut buffer).await {
                // A client that has left reads nothing.
                if length == 0 || client_writer.write_all(&buffer[..length]).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::select! {
            () = requests => {}
            () = responses => {}
        }
    }
}

/// Returns when a packet that is first sent at `sent_at` reaches a host that wakes up at `wakes_at`.
fn delivery(sent_at: Instant, wakes_at: Instant) -> Instant {
    let mut at = sent_at;
    let mut delay = FIRST_RETRANSMISSION;
    while at < wakes_at {
        at += delay;
        delay *= 2;
    }
    at
}
