//! The operator commands against running entry processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use bramley_entry::EntryDaemon;
use bramley_settings::EntrySettings;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_wire::platform::PlatformSwitch;

const LANDESAMT: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../deployments/landesamt.answers.jsonc"
);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Output and exit code of a command.
#[derive(Debug)]
struct CommandResult {
    code: i32,
    output: String,
    errors: String,
}

/// A platform and entry processes inside the test, operated through the `bramleyctl` binary.
struct OperatedDeployment {
    platform: PlatformStandIn,
    daemons: Vec<EntryDaemon>,
    directory: PathBuf,
}

impl OperatedDeployment {
    async fn start(name: &str, hosts: usize) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        let platform = PlatformStandIn::start(PlatformOptions::default()).await;
        let mut deployment = Self {
            platform: platform.expect("a free port"),
            daemons: Vec::new(),
            directory,
        };
        for _ in 0..hosts {
            deployment.start_host().await;
        }
        deployment
    }

    async fn start_host(&mut self) {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let siblings = self.daemons.iter().map(EntryDaemon::peer_address);
        let settings = EntrySettings {
            host: format!("entry-{}", self.daemons.len()),
            failure_domain: String::from("muenchen"),
            caller_address: free_port,
            peer_address: free_port,
            control_address: free_port,
            siblings: siblings.collect(),
            platform_address: self.platform.address(),
            ..EntrySettings::default()
        };
        let daemon = EntryDaemon::start(settings).await.expect("free ports");
        self.daemons.push(daemon);
    }

    fn file(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// Writes the file `to` as a copy of `from` in which `before` is replaced by `after`.
    fn write_variant(&self, from: &str, to: &str, before: &str, after: &str) {
        let text = std::fs::read_to_string(self.file(from)).expect("the file was written");
        assert!(text.contains(before));
        let text = text.replace(before, after);
        std::fs::write(self.file(to), text).expect("the directory can be written");
    }

    /// Runs a command with the address of the platform and the control addresses of `hosts`.
    async fn run(&self, arguments: &[&str], hosts: &[SocketAddr]) -> CommandResult {
        let mut arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        arguments.extend([
            String::from("--platform"),
            self.platform.address().to_string(),
        ]);
        for host in hosts {
            arguments.extend([String::from("--host"), host.to_string()]);
        }
        run_program(arguments).await
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let control_addresses = self.daemons.iter().map(EntryDaemon::control_address);
        control_addresses.collect()
    }

    fn generation(&self) -> String {
        let value = self.platform.read("bramley/configuration").value;
        let envelope: serde_json::Value = serde_json::from_str(&value).expect("an envelope");
        envelope["change"]["generation"].to_string()
    }
}

async fn run_program(arguments: Vec<String>) -> CommandResult {
    let run = tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_bramleyctl"))
            .args(arguments)
            .output()
            .expect("the program starts")
    });
    let output = run.await.expect("the program ends");
    CommandResult {
        code: output.status.code().expect("an exit code"),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_deployment_is_configured_from_answers_and_changed() {
    let deployment = OperatedDeployment::start("configured", 4).await;
    let [first, second] = ["first.json", "second.json"].map(|name| deployment.file(name));
    let arguments = ["questionnaire", "--answers", LANDESAMT, "--output", &first];
    let generated = run_program(arguments.map(String::from).to_vec()).await;
    assert_eq!(generated.code, 0, "{generated:?}");
    let checked = run_program(vec![String::from("check"), first.clone()]).await;
    assert_eq!(checked.code, 0, "{checked:?}");

    let control_addresses = deployment.control_addresses();
    let applied = deployment
        .run(&["apply", &first, "--wait"], &control_addresses)
        .await;
    assert_eq!(applied.code, 0, "{applied:?}");
    assert_eq!(applied.output.matches("in force").count(), 4, "{applied:?}");

    // A change without a base is rejected, and the differences are shown.
    deployment.write_variant(
        "first.json",
        "second.json",
        "\"weight\": 1,",
        "\"weight\": 5,",
    );
    let base = deployment.generation();
    let refused = deployment.run(&["apply", &second], &[]).await;
    assert_eq!(refused.code, 3, "{refused:?}");
    let difference = "~ teams[booking].weight: 1 -> 5";
    assert!(refused.output.contains(difference), "{refused:?}");
    let compared = deployment.run(&["diff", &second], &[]).await;
    assert!(compared.output.contains(difference) && compared.output.contains(&base));
    assert_eq!(deployment.generation(), base);

    // An unreachable host is reported, and the change is in force on all others.
    let unused_address = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let unused_address = unused_address.and_then(|listener| listener.local_addr());
    let mut hosts = control_addresses.clone();
    hosts.push(unused_address.expect("a free port"));
    let arguments = [
        "apply",
        &second,
        "--base",
        &base,
        "--wait",
        "--wait-ms",
        "2000",
    ];
    let partial = deployment.run(&arguments, &hosts).await;
    assert_eq!(partial.code, 5, "{partial:?}");
    assert_eq!(partial.output.matches("in force").count(), 4, "{partial:?}");
    assert_eq!(
        partial.output.matches("unreachable").count(),
        1,
        "{partial:?}"
    );

    // A change based on an outdated generation is rejected, and the later changes are shown.
    let lost = deployment
        .run(&["apply", &first, "--base", &base], &[])
        .await;
    assert_eq!(lost.code, 3, "{lost:?}");
    assert!(lost.output.contains("changed since generation"), "{lost:?}");
    assert!(lost.output.contains(difference), "{lost:?}");
    let history = deployment
        .run(&["history", "--generation", &base], &[])
        .await;
    let text = std::fs::read_to_string(&first).expect("the file was written");
    assert_eq!(history.output.trim(), text.trim());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_born_in_an_outage_learns_the_newest_from_a_sibling() {
    let mut deployment = OperatedDeployment::start("outage", 2).await;
    let file = deployment.file("first.json");
    let arguments = ["questionnaire", "--answers", LANDESAMT, "--output", &file];
    run_program(arguments.map(String::from).to_vec()).await;
    let control_addresses = deployment.control_addresses();
    let applied = deployment
        .run(&["apply", &file, "--wait"], &control_addresses)
        .await;
    assert_eq!(applied.code, 0, "{applied:?}");
    let generation = deployment.generation();
    deployment.platform.switch(PlatformSwitch {
        down: true,
        ..PlatformSwitch::default()
    });
    deployment.start_host().await;
    let new_host = deployment.daemons[2].control_address();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let results = bramleyctl::control::query_generations(&[new_host]).await;
        if results[0].generation.as_ref().map(ToString::to_string) == Ok(generation.clone()) {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "the host did not get the configuration: {results:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Commands report that the store can't be read, and hosts keep their configuration.
    let arguments = ["apply", &file, "--base", &generation, "--store-ms", "500"];
    let refused = deployment.run(&arguments, &[]).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(
        refused.errors.contains("nothing was changed"),
        "{refused:?}"
    );
    let shown = deployment
        .run(&["show"], &deployment.control_addresses())
        .await;
    assert_eq!(shown.code, 1, "{shown:?}");
    assert_eq!(shown.output.matches(&generation).count(), 3, "{shown:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_is_dumped_and_drained_and_faulty_input_changes_nothing() {
    let deployment = OperatedDeployment::start("drained", 1).await;
    let control = deployment.control_addresses()[0].to_string();
    let arguments = |command: &str| vec![String::from(command), control.clone()];
    let dump = run_program(arguments("dump")).await;
    assert_eq!(dump.code, 0, "{dump:?}");
    let state: serde_json::Value = serde_json::from_str(&dump.output).expect("a JSON dump");
    assert!(state.is_object());
    let drain = run_program(arguments("drain")).await;
    assert_eq!(drain.code, 0, "{drain:?}");

    let faulty = deployment.file("faulty.jsonc");
    let text = "{\n  \"deployment\": \"x\",\n  \"failure_domains\": [\"A\"],\n  \"team\": []\n}";
    std::fs::write(&faulty, text).expect("the directory can be written");
    let refused = deployment.run(&["apply", &faulty], &[]).await;
    assert_eq!(refused.code, 2, "{refused:?}");
    assert!(
        refused
            .errors
            .contains("faulty.jsonc:3:23: failure_domains[0]"),
        "{refused:?}"
    );
    assert!(
        refused.errors.contains("faulty.jsonc:4:3: team"),
        "{refused:?}"
    );
    assert_eq!(
        deployment.platform.read("bramley/configuration").revision,
        0
    );
}
