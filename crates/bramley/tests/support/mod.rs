//! Reads `docs/CALLERS.md` and starts a deployment to run its examples against.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bramley::core::configuration::{
    ChangeRecord, ClassConfiguration, ConfigurationEnvelope, DeploymentConfiguration,
    TeamConfiguration,
};
use bramley::settings::EntrySettings;
use bramley::wire::platform::{PutRequest, WorkerRecord};
use bramley_entry::EntryDaemon;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn, WorkerOptions, WorkerStandIn};
use bramley_store::{StoreClient, StoreSettings};

/// Shell commands in the page with the output shown after them.
#[derive(Debug)]
pub struct PageExample {
    /// Shell commands.
    pub commands: String,
    /// Expected output; empty if the page shows none.
    pub expected: String,
    /// Whether the expected output is JSON.
    pub is_json: bool,
}

/// Reads `docs/CALLERS.md`.
pub fn read_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CALLERS.md");
    std::fs::read_to_string(path).expect("docs/CALLERS.md should be readable")
}

/// Returns the text between the begin and end markers of a section.
pub fn section<'a>(page: &'a str, name: &str) -> &'a str {
    let (_, rest) = page
        .split_once(&format!("<!-- {name}: begin -->\n"))
        .expect("the page should have the begin marker of the section");
    let (text, _) = rest
        .split_once(&format!("<!-- {name}: end -->"))
        .expect("the page should have the end marker of the section");
    text
}

/// Extracts the fenced command blocks, each with the output block that follows it.
pub fn read_examples(page: &str) -> Vec<PageExample> {
    let mut examples: Vec<PageExample> = Vec::new();
    // Splitting at fences alternates text and blocks. A block starts with its language.
    for block in page.split("```").skip(1).step_by(2) {
        let (language, text) = block
            .split_once('\n')
            .expect("a fenced block should start with a language line");
        match language {
            "sh" => examples.push(PageExample {
                commands: text.to_owned(),
                expected: String::new(),
                is_json: false,
            }),
            "json" | "text" => {
                let example = examples
                    .last_mut()
                    .expect("an output block should follow a command block");
                example.expected = text.to_owned();
                example.is_json = language == "json";
            }
            other => panic!("unsupported language of a fenced block: {other:?}"),
        }
    }
    examples
}

/// One entry host, one worker stand-in and one platform stand-in, all in this process.
#[derive(Debug)]
pub struct PageDeployment {
    entry: EntryDaemon,
    _platform: PlatformStandIn,
    _worker: WorkerStandIn,
}

impl PageDeployment {
    /// Starts the deployment and waits until the entry host has applied the configuration and lists
    /// the worker.
    pub async fn start() -> Self {
        let worker = WorkerStandIn::start(WorkerOptions::default())
            .await
            .expect("the worker stand-in should start");
        let platform = start_platform(&worker).await;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = EntrySettings {
            host: "entry-1".to_owned(),
            failure_domain: "freising".to_owned(),
            caller_address: any_port,
            peer_address: any_port,
            control_address: any_port,
            platform_address: platform.address(),
            ..EntrySettings::default()
        };
        let entry = EntryDaemon::start(settings)
            .await
            .expect("the entry host should start");
        while !is_ready(&entry).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Self {
            entry,
            _platform: platform,
            _worker: worker,
        }
    }

    /// Returns the base URL of the caller API.
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.entry.caller_address())
    }
}

async fn is_ready(entry: &EntryDaemon) -> bool {
    let state = entry.state();
    let listed = state.kernel.dump().await.map(|dump| dump.workers.len());
    state.configuration.load().generation != 0 && listed.is_ok_and(|count| count == 1)
}

async fn start_platform(worker: &WorkerStandIn) -> PlatformStandIn {
    let record = WorkerRecord {
        name: "worker-1".to_owned(),
        address: worker.address().to_string(),
        failure_domain: "freising".to_owned(),
        rack: "rack-1".to_owned(),
        slots: 8,
        accelerators: 0,
        memory_mib: 65_536,
        state: "live".to_owned(),
    };
    let options = PlatformOptions {
        workers: vec![record],
        ..PlatformOptions::default()
    };
    let platform = PlatformStandIn::start(options)
        .await
        .expect("the platform stand-in should start");
    let store = StoreClient::new(StoreSettings {
        address: platform.address(),
        ..StoreSettings::default()
    });
    let request = PutRequest {
        value: configuration().to_json(),
        expected_revision: 0,
        lease_ms: 0,
    };
    let key = EntrySettings::default().configuration_key;
    let reply = store
        .put(&key, &request)
        .await
        .expect("the store should accept the configuration");
    assert!(reply.applied);
    platform
}

fn configuration() -> ConfigurationEnvelope {
    let class = ClassConfiguration {
        name: "holds".into(),
        ..ClassConfiguration::default()
    };
    let team = TeamConfiguration {
        name: "booking".into(),
        classes: vec![class],
        ..TeamConfiguration::default()
    };
    ConfigurationEnvelope {
        change: ChangeRecord {
            generation: 1,
            operation_id: "page".to_owned(),
            author: "test".to_owned(),
            ..ChangeRecord::default()
        },
        document: DeploymentConfiguration {
            deployment: "landesamt".to_owned(),
            failure_domains: vec!["freising".into()],
            teams: vec![team],
            ..DeploymentConfiguration::default()
        },
        ..ConfigurationEnvelope::default()
    }
}
