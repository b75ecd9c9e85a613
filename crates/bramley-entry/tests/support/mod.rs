//! Runs a small deployment of separate processes on the loopback interface.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use bramley_core::configuration::{
    ChangeRecord, ClassConfiguration, ConfigurationEnvelope, DeploymentConfiguration,
    TeamConfiguration,
};
use bramley_wire::caller::{JobReply, JobRequest, TaskSpec, TicketReply, TicketRequest};
use bramley_wire::platform::{PutRequest, WorkerList, WorkerRecord};
use bramley_wire::worker::LedgerReply;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Team that submits the tests' jobs.
pub const TEAM: &str = "booking";

/// Timeout for conditions that the tests wait for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    /// First line of standard output, printed when the process is ready.
    pub ready_line: String,
    _stdin: Option<ChildStdin>,
}

impl TestProcess {
    /// Starts a program of this workspace and waits for its first line of output.
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(program_path(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stdin(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("could not start {program}: {error}"));
        let mut ready_line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut reader = BufReader::new(stdout);
        reader
            .read_line(&mut ready_line)
            .expect("the program prints a line");
        // Keep reading, so that later writes to the pipe neither fail nor block.
        std::thread::spawn(move || {
            let mut rest = String::new();
            while reader.read_line(&mut rest).is_ok_and(|count| count > 0) {
                rest.clear();
            }
        });
        let stdin = child.stdin.take();
        Self {
            child,
            ready_line,
            _stdin: stdin,
        }
    }

    /// Returns the address that the ready line gives as `name=address`.
    pub fn address(&self, name: &str) -> SocketAddr {
        let prefix = format!("{name}=");
        let word = self
            .ready_line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(&prefix))
            .unwrap_or_else(|| panic!("no {name} address in {:?}", self.ready_line));
        word.parse().expect("a socket address")
    }

    /// Returns the peak of the resident memory in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process is there");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("the kernel reports the peak") * 1_024
    }

    /// Returns the number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path)
            .expect("the process is there")
            .count()
    }

    /// Sends a signal, given by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name}");
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for the process to exit"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

fn program_path(program: &str) -> PathBuf {
    let current_exe = PathBuf::from(env!("CARGO_BIN_EXE_bramley-entry"));
    current_exe.with_file_name(program)
}

/// An entry host of the deployment.
#[derive(Debug)]
pub struct EntryHost {
    /// Host name.
    pub name: String,
    /// Process.
    pub process: TestProcess,
    /// Settings file.
    pub settings: PathBuf,
}

impl EntryHost {
    /// Returns the address of the HTTP server for callers.
    pub fn callers(&self) -> SocketAddr {
        self.process.address("callers")
    }
}

/// A worker of the deployment.
#[derive(Debug)]
pub struct WorkerHost {
    /// Host name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Process.
    pub process: TestProcess,
}

/// A deployment of separate processes on the loopback interface.
#[derive(Debug)]
pub struct TestDeployment {
    /// Platform stand-in.
    pub platform: TestProcess,
    /// Worker stand-ins.
    pub workers: Vec<WorkerHost>,
    /// Entry hosts.
    pub entries: Vec<EntryHost>,
    /// `limits` of the entry hosts' settings.
    limits: Value,
    folder: PathBuf,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl TestDeployment {
    /// Starts the platform, the workers and the entry hosts, and waits until the entry hosts know
    /// each other and the workers.
    pub async fn start(name: &str, domains: &[&str], workers: usize, entries: usize) -> Self {
        Self::start_limited(name, domains, workers, entries, json!({})).await
    }

    /// Like [`Self::start`], with limits in the settings of the entry hosts.
    pub async fn start_limited(
        name: &str,
        domains: &[&str],
        workers: usize,
        entries: usize,
        limits: Value,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let platform = TestProcess::start("bramley-platform-stand-in", &[]);
        let http = Client::builder(TokioExecutor::new()).build_http();
        let mut deployment = Self {
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            limits,
            folder,
            http,
        };
        for domain in domains {
            for number in 0..workers {
                deployment.start_worker(domain, number);
            }
        }
        deployment.publish_worker_list().await;
        deployment.store_configuration(1).await;
        for number in 0..entries {
            for domain in domains {
                deployment.start_entry(&format!("{domain}-{number}"), domain);
            }
        }
        deployment.wait_for_members(domains.len() * entries).await;
        deployment
    }

    fn start_worker(&mut self, domain: &str, number: usize) {
        let process = TestProcess::start("bramley-worker-stand-in", &[]);
        let name = format!("worker-{domain}-{number}");
        self.workers.push(WorkerHost {
            name,
            domain: domain.to_owned(),
            process,
        });
    }

    /// Starts a new entry process under the host name of one that has ended.
    pub fn replace_entry(&mut self, index: usize, domain: &str) {
        let ended = self.entries.remove(index);
        self.start_entry(&ended.name, domain);
        let started = self.entries.pop().expect("it was just started");
        self.entries.insert(index, started);
    }

    /// Starts an entry host whose `siblings` are the entry hosts started before it.
    pub fn start_entry(&mut self, name: &str, domain: &str) {
        let siblings: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.process.address("peers")))
            .collect();
        let text = format!(
            r#"// Settings of a test host.
{{
  "host": "{name}",
  "failure_domain": "{domain}",
  "caller_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "control_address": "127.0.0.1:0",
  "platform_address": "{}",
  "siblings": [{}],
  "limits": {},
  "timing": {{ "heartbeat_ms": 100, "worker_list_poll_ms": 200 }},
  "log": "warn"
}}"#,
            self.platform.address("address"),
            siblings.join(", "),
            self.limits,
        );
        let settings = self.folder.join(format!("{name}.jsonc"));
        let mut file = std::fs::File::create(&settings).expect("the settings can be written");
        file.write_all(text.as_bytes())
            .expect("the settings can be written");
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let process = TestProcess::start("bramley-entry", &arguments);
        self.entries.push(EntryHost {
            name: name.to_owned(),
            process,
            settings,
        });
    }

    /// Publishes the list of all workers on the platform.
    pub async fn publish_worker_list(&self) {
        let workers = self.workers.iter().map(|worker| WorkerRecord {
            name: worker.name.clone(),
            address: worker.process.address("address").to_string(),
            failure_domain: worker.domain.clone(),
            rack: "rack-0".to_owned(),
            slots: 8,
            accelerators: 0,
            memory_mib: 65_536,
            state: "live".to_owned(),
        });
        let list = WorkerList {
            revision: 1,
            workers: workers.collect(),
        };
        let address = self.platform.address("address");
        let (status, _) = self.call(Method::POST, address, "/workers", &list).await;
        assert_eq!(status, StatusCode::OK);
    }

    /// Stores a configuration of the given generation in the platform's key-value store.
    pub async fn store_configuration(&self, generation: u64) {
        let team = TeamConfiguration {
            name: TEAM.into(),
            max_running_tasks: 400,
            classes: vec![ClassConfiguration {
                name: "hold".into(),
                answer_within_ms: 20_000,
                ..ClassConfiguration::default()
            }],
            ..TeamConfiguration::default()
        };
        let document = DeploymentConfiguration {
            deployment: "test".to_owned(),
            failure_domains: vec!["north".into(), "south".into()],
            teams: vec![team],
            ..DeploymentConfiguration::default()
        };
        let change = ChangeRecord {
            generation,
            operation_id: format!("test-{generation}"),
            author: "test".to_owned(),
            ..ChangeRecord::default()
        };
        let envelope = ConfigurationEnvelope {
            change,
            document,
            ..ConfigurationEnvelope::default()
        };
        let address = self.platform.address("address");
        let path = "/kv/bramley/configuration";
        let (_, current) = self
            .call_raw(Method::GET, address, path, Bytes::new())
            .await;
        let current: bramley_wire::platform::KeyValue =
            serde_json::from_slice(&current).expect("a value");
        let request = PutRequest {
            value: serde_json::to_string(&envelope).expect("encodes"),
            expected_revision: current.revision,
            lease_ms: 0,
        };
        let (status, _) = self.call(Method::PUT, address, path, &request).await;
        assert_eq!(status, StatusCode::OK);
    }

    /// Waits until every entry host sees `count` live members and all workers and has a
    /// configuration.
    pub async fn wait_for_members(&self, count: usize) {
        for index in 0..self.entries.len() {
            self.wait_for_state(index, |state| {
                let members = state["members"].as_array().map_or(0, |members| {
                    members
                        .iter()
                        .filter(|member| member["record"]["state"] == "alive")
                        .count()
                });
                let listed = state["kernel"]["workers"].as_array().map_or(0, Vec::len);
                // The directory may or may not list the host itself.
                members + 1 >= count && state["generation"] != 0 && listed == self.workers.len()
            })
            .await;
        }
    }

    /// Polls the state dump of an entry host until `condition` holds for it.
    pub async fn wait_for_state(
        &self,
        index: usize,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let state = self.state(index).await;
            if condition(&state) {
                return state;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for the state: {state:#}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the state dump of an entry host.
    pub async fn state(&self, index: usize) -> serde_json::Value {
        let address = self.entries[index].callers();
        let (_, body) = self
            .call_raw(Method::GET, address, "/state", Bytes::new())
            .await;
        serde_json::from_slice(&body).expect("a JSON dump")
    }

    /// Requests one ticket from an entry host.
    pub async fn issue_ticket(&self, index: usize) -> String {
        let request = TicketRequest {
            team: TEAM.to_owned(),
            count: 1,
        };
        let address = self.entries[index].callers();
        let (status, body) = self
            .call(Method::POST, address, "/v1/tickets", &request)
            .await;
        assert_eq!(status, StatusCode::OK);
        let mut reply: TicketReply = serde_json::from_slice(&body).expect("tickets");
        reply.tickets.remove(0)
    }

    /// Submits a job to an entry host.
    pub async fn submit(&self, index: usize, job: &JobRequest) -> (StatusCode, JobReply) {
        let address = self.entries[index].callers();
        self.submit_to(address, job).await
    }

    /// Submits a job to an address.
    pub async fn submit_to(&self, address: SocketAddr, job: &JobRequest) -> (StatusCode, JobReply) {
        let (status, body) = self.call(Method::POST, address, "/v1/jobs", job).await;
        (status, serde_json::from_slice(&body).expect("an answer"))
    }

    /// Returns how often each task was started, according to the workers' ledgers.
    pub async fn starts(&self) -> Vec<(String, u32)> {
        let mut starts = Vec::new();
        for worker in &self.workers {
            let address = worker.process.address("address");
            let (_, body) = self
                .call_raw(Method::GET, address, "/ledger", Bytes::new())
                .await;
            let ledger: LedgerReply = serde_json::from_slice(&body).expect("a ledger");
            starts.extend(
                ledger
                    .entries
                    .into_iter()
                    .map(|entry| (entry.task, entry.starts)),
            );
        }
        starts
    }

    /// Sends a JSON message and returns the status and the body of the response.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> (StatusCode, Bytes) {
        let body = Bytes::from(serde_json::to_vec(message).expect("encodes"));
        self.call_raw(method, address, path, body).await
    }

    /// Sends a body and returns the status and the body of the response.
    pub async fn call_raw(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> (StatusCode, Bytes) {
        self.try_call(method, address, path, body)
            .await
            .expect("the call is answered")
    }

    /// Like [`Self::call_raw`], but returns `None` if there is no response.
    pub async fn try_call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .expect("a request");
        let response = self.http.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> T {
        let (_, body) = self
            .call_raw(Method::GET, address, path, Bytes::new())
            .await;
        serde_json::from_slice(&body).expect("a JSON answer")
    }
}

/// Creates a job whose tasks each run for `run_ms` and return their index.
pub fn echo_job(ticket: &str, tasks: usize, run_ms: u64) -> JobRequest {
    let tasks = (0..tasks)
        .map(|number| TaskSpec {
            payload: format!(r#"{{"run_ms":{run_ms},"echo":"{number}","fail":false}}"#),
            ..TaskSpec::default()
        })
        .collect();
    JobRequest {
        ticket: ticket.to_owned(),
        team: TEAM.to_owned(),
        class: "hold".to_owned(),
        tasks,
        ..JobRequest::default()
    }
}

/// Returns the results of a completed [`echo_job`].
pub fn echo_results(tasks: usize) -> Vec<String> {
    (0..tasks).map(|number| number.to_string()).collect()
}
