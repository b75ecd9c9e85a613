//! The page for callers and a deployment against which its examples run.

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

/// Commands of the page with the output that the page shows after them.
#[derive(Debug)]
pub struct PageExample {
    /// Commands for the shell.
    pub commands: String,
    /// Output; empty if the page shows none.
    pub expected: String,
    /// Whether the output is JSON.
    pub is_json: bool,
}

/// Reads the page for callers.
pub fn read_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CALLERS.md");
    std::fs::read_to_string(path).expect("the page for callers")
}

/// Returns what stands between the marks of a section.
pub fn section<'a>(page: &'a str, name: &str) -> &'a str {
    let (_, rest) = page
        .split_once(&format!("<!-- {name}: begin -->\n"))
        .expect("the begin of the section");
    let (text, _) = rest
        .split_once(&format!("<!-- {name}: end -->"))
        .expect("the end of the section");
    text
}

/// Finds the fenced blocks of commands, each with the block of output after it.
pub fn read_examples(page: &str) -> Vec<PageExample> {
    let mut examples: Vec<PageExample> = Vec::new();
    // Every second part between fences is a block, which begins with its language.
    for block in page.split("```").skip(1).step_by(2) {
        let (language, text) = block.split_once('\n').expect("a block of lines");
        match language {
            "sh" => examples.push(PageExample {
                commands: text.to_owned(),
                expected: String::new(),
                is_json: false,
            }),
            "json" | "text" => {
                let example = examples.last_mut().expect("commands before the output");
                example.expected = text.to_owned();
                example.is_json = language == "json";
            }
            other => panic!("blocks of {other} are not checked"),
        }
    }
    examples
}

/// One entry host with one worker and a platform, in this process.
#[derive(Debug)]
pub struct PageDeployment {
    entry: EntryDaemon,
    _platform: PlatformStandIn,
    _worker: WorkerStandIn,
}

impl PageDeployment {
    /// Starts everything and waits until the entry host has configuration and workers.
    pub async fn start() -> Self {
        let worker = WorkerStandIn::start(WorkerOptions::default())
            .await
            .expect("a free port");
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
        let entry = EntryDaemon::start(settings).await.expect("free ports");
        while !is_ready(&entry).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Self {
            entry,
            _platform: platform,
            _worker: worker,
        }
    }

    /// Returns the address for callers.
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
    let platform = PlatformStandIn::start(options).await.expect("a free port");
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
    let reply = store.put(&key, &request).await.expect("a stored value");
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
