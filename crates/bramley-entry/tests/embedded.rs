//! An embedded daemon that is dropped ends as a crashed process does.

use std::time::Duration;

use bramley_entry::EntryDaemon;
use bramley_settings::EntrySettings;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time in which the server has read the head of a request.
const HEAD_IS_READ: Duration = Duration::from_millis(300);

#[tokio::test]
async fn dropping_the_daemon_cuts_open_requests() {
    let platform = PlatformStandIn::start(PlatformOptions::default())
        .await
        .expect("starts");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let daemon = EntryDaemon::start(EntrySettings {
        host: "north-1".to_owned(),
        failure_domain: "north".to_owned(),
        caller_address: any_port,
        peer_address: any_port,
        control_address: any_port,
        platform_address: platform.address(),
        ..EntrySettings::default()
    })
    .await
    .expect("starts");
    let address = daemon.caller_address();
    let mut stream = TcpStream::connect(address).await.expect("connects");
    // The server waits for the rest of this request's body.
    let unfinished = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{";
    stream.write_all(unfinished).await.expect("sends");
    tokio::time::sleep(HEAD_IS_READ).await;

    drop(daemon);
    let mut answer = vec![0; 4_096];
    let ended = tokio::time::timeout(PATIENCE, stream.read(&mut answer)).await;
    assert!(
        matches!(ended, Ok(Ok(0) | Err(_))),
        "the connection is cut: {ended:?}"
    );
}
