//! Tests of the stand-in binaries.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use hyper::StatusCode;
use serde_json::Value;
use support::TestConnection;

/// A running binary, which is killed when dropped.
struct RunningBinary {
    child: Child,
    address: SocketAddr,
}

impl RunningBinary {
    fn start(path: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(path)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("stdout is readable");
        let address = line.trim().strip_prefix("listening address=");
        let address = address
            .expect("the first line states the address")
            .parse()
            .expect("the address is valid");
        Self { child, address }
    }
}

impl Drop for RunningBinary {
    fn drop(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }
}

async fn expect_json_object(address: SocketAddr, path: &str) {
    let mut connection = TestConnection::open(address).await;
    let (status, body) = connection.send_json::<Value>("GET", path, &()).await;
    assert_eq!(status, StatusCode::OK);
    assert!(body.is_object());
}

#[tokio::test]
async fn worker_binary_states_its_address() {
    let path = env!("CARGO_BIN_EXE_bramley-worker-stand-in");
    let arguments = ["--slots", "2", "--accelerators", "1"];
    let binary = RunningBinary::start(path, &arguments);
    expect_json_object(binary.address, "/ledger").await;
}

#[tokio::test]
async fn platform_binary_states_its_address() {
    let path = env!("CARGO_BIN_EXE_bramley-platform-stand-in");
    let arguments = ["--listen", "127.0.0.1:0", "--list-lag-ms", "5"];
    let binary = RunningBinary::start(path, &arguments);
    expect_json_object(binary.address, "/workers").await;
}
