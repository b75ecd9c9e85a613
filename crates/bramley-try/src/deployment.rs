//! The deployment of one user: platform, workers and entry hosts.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::configuration::{ChangeRecord, ConfigurationEnvelope, DeploymentConfiguration};
use bramley_entry::EntryDaemon;
use bramley_settings::{EntrySettings, EntryTiming};
use bramley_stand_ins::{PlatformOptions, PlatformStandIn, WorkerOptions, WorkerStandIn};
use bramley_store::{StoreClient, StoreSettings};
use bramley_wire::platform::{PutRequest, WorkerRecord, WorkerStateChange};
use tokio::time::Instant;

/// Number of workers in each failure domain.
pub const WORKERS_PER_DOMAIN: u32 = 4;

/// Number of tasks that a worker can run concurrently.
pub const SLOTS_PER_WORKER: u32 = 8;

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: u32 = 2;

/// Delay of changes in the platform's worker list, in milliseconds.
const WORKER_LIST_DELAY_MS: u64 = 500;

/// Timeout for all hosts to become ready, and for the addresses of a lost host to become free.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A worker of the deployment.
#[derive(Debug)]
pub struct TestWorker {
    /// Name.
    pub name: String,
    /// The stand-in worker.
    pub stand_in: WorkerStandIn,
}

/// An entry host of the deployment.
#[derive(Debug)]
pub struct TestHost {
    /// Settings, with the addresses that the host bound at its first start.
    pub settings: EntrySettings,
    /// The entry daemon; `None` while the host is lost.
    pub daemon: Option<EntryDaemon>,
}

/// The deployment of one user.
#[derive(Debug)]
pub struct TestDeployment {
    /// Configuration of the user.
    pub document: DeploymentConfiguration,
    /// Workers.
    pub workers: Vec<TestWorker>,
    /// Entry hosts.
    pub hosts: Vec<TestHost>,
    platform: PlatformStandIn,
    store: StoreClient,
}

impl TestDeployment {
    /// Starts the deployment and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the configuration cannot be stored or the hosts are not
    /// ready in time.
    pub async fn start(document: DeploymentConfiguration) -> io::Result<Self> {
        let (workers, records) = start_workers(&document).await?;
        let options = PlatformOptions {
            list_lag_ms: WORKER_LIST_DELAY_MS,
            workers: records,
            ..PlatformOptions::default()
        };
        let platform = PlatformStandIn::start(options).await?;
        let store = StoreClient::new(StoreSettings {
            address: platform.address(),
            ..StoreSettings::default()
        });
        let mut deployment = Self {
            document,
            workers,
            hosts: Vec::new(),
            platform,
            store,
        };
        deployment.store_generation(1).await?;
        deployment.start_hosts().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the total number of slots.
    pub fn total_slots(&self) -> u64 {
        self.workers.len() as u64 * u64::from(SLOTS_PER_WORKER)
    }

    /// Returns the addresses on which the hosts serve callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.settings.caller_address).collect()
    }

    /// Stores the configuration with a new generation.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the write.
    pub async fn store_generation(&self, generation: u64) -> io::Result<()> {
        let key = EntrySettings::default().configuration_key;
        let envelope = ConfigurationEnvelope {
            change: ChangeRecord {
                generation,
                operation_id: format!("try-{generation}"),
                author: "bramley-try".to_owned(),
                ..ChangeRecord::default()
            },
            document: self.document.clone(),
            ..ConfigurationEnvelope::default()
        };
        let request = PutRequest {
            value: envelope.to_json(),
            expected_revision: self.platform.read(&key).revision,
            lease_ms: 0,
        };
        let reply = self.store.put(&key, &request).await;
        match reply {
            Ok(reply) if reply.applied => Ok(()),
            Ok(_) => Err(io::Error::other(
                "the configuration was changed concurrently",
            )),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// Marks a worker as leaving on the platform.
    ///
    /// # Errors
    ///
    /// Fails if the worker is not listed.
    pub fn mark_worker_leaving(&self, worker: &str) -> io::Result<()> {
        let change = WorkerStateChange {
            name: worker.to_owned(),
            state: "leaving".to_owned(),
        };
        self.platform
            .change_worker_state(&change)
            .map_err(io::Error::other)
    }

    /// Restarts a lost host under its name and addresses, as a new incarnation.
    ///
    /// # Errors
    ///
    /// Fails if the host still cannot be started when the timeout expires, for example because its
    /// addresses are still in use.
    pub async fn replace_host(&mut self, position: usize) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let host = &mut self.hosts[position];
        loop {
            match EntryDaemon::start(host.settings.clone()).await {
                Ok(daemon) => {
                    host.daemon = Some(daemon);
                    return Ok(());
                }
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn start_hosts(&mut self) -> io::Result<()> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 1..=HOSTS_PER_DOMAIN {
            for domain in &self.document.failure_domains {
                let siblings = self.hosts.iter().map(|host| host.settings.peer_address);
                let mut settings = EntrySettings {
                    host: format!("{domain}-{number}"),
                    failure_domain: domain.to_string(),
                    caller_address: any_port,
                    peer_address: any_port,
                    control_address: any_port,
                    platform_address: self.platform.address(),
                    siblings: siblings.collect(),
                    timing: EntryTiming {
                        worker_list_poll_ms: WORKER_LIST_DELAY_MS,
                        ..EntryTiming::default()
                    },
                    ..EntrySettings::default()
                };
                let daemon = EntryDaemon::start(settings.clone()).await?;
                settings.caller_address = daemon.caller_address();
                settings.peer_address = daemon.peer_address();
                self.hosts.push(TestHost {
                    settings,
                    daemon: Some(daemon),
                });
            }
        }
        Ok(())
    }

    /// Waits until every host has the configuration and knows the workers and the other hosts.
    async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() >= deadline {
                return Err(io::Error::other(
                    "the entry hosts were not ready before the timeout",
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let daemons = self.hosts.iter().filter_map(|host| host.daemon.as_ref());
        for daemon in daemons {
            let state = daemon.state();
            // The member directory excludes the host itself.
            let knows_peers = state.members.load().members.len() + 1 >= self.hosts.len();
            let listed = state.kernel.dump().await.map(|dump| dump.workers.len());
            let knows_workers = listed.is_ok_and(|count| count == self.workers.len());
            if state.configuration.load().generation == 0 || !knows_peers || !knows_workers {
                return false;
            }
        }
        true
    }
}

async fn start_workers(
    document: &DeploymentConfiguration,
) -> io::Result<(Vec<TestWorker>, Vec<WorkerRecord>)> {
    let mut workers = Vec::new();
    let mut records = Vec::new();
    for domain in &document.failure_domains {
        for number in 1..=WORKERS_PER_DOMAIN {
            let stand_in = WorkerStandIn::start(WorkerOptions {
                slots: SLOTS_PER_WORKER,
                ..WorkerOptions::default()
            })
            .await?;
            let name = format!("worker-{domain}-{number}");
            records.push(WorkerRecord {
                name: name.clone(),
                address: stand_in.address().to_string(),
                failure_domain: domain.to_string(),
                rack: format!("{domain}-1"),
                slots: SLOTS_PER_WORKER,
                accelerators: 0,
                memory_mib: document.sizes.memory_mib_per_worker,
                state: "live".to_owned(),
            });
            workers.push(TestWorker { name, stand_in });
        }
    }
    Ok((workers, records))
}
