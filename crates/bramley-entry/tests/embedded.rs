//! Dropping an embedded daemon closes its connections at once, as a crash of the process would.

use std::time::Duration;

use bramley_entry::EntryDaemon;
use bramley_settings::EntrySettings;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for conditions that the tests wait for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which the server is assumed to have read the headers of a request.
const HEADER_READ_DELAY: Duration = Duration::from_millis(300);

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
    // The body is incomplete, so the server keeps waiting for the rest of it.
    let unfinished = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{";
    stream.write_all(unfinished).await.expect("sends");
    tokio::time::sleep(HEADER_READ_DELAY).await;

    drop(daemon);
    let mut answer = vec![0; 4_096];
    let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut answer)).await;
    assert!(
        matches!(ended, Ok(Ok(0) | Err(_))),
        "the connection was not closed: {ended:?}"
    );
}
