//! Links between hosts and workers behave as the faults on them say.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bramley_soak::proxy::{LoopbackProxy, ProxyMode};
use bramley_soak::topology::{LinkTable, LinkTarget, LoopbackAddress, PairLink, set_links};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Serves connections that send back what they receive, after a greeting byte.
async fn serve_echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            if stream.write_all(b"!").await.is_err() {
                return;
            }
            let mut byte = [0];
            while matches!(stream.read(&mut byte).await, Ok(1)) {
                if stream.write_all(&byte).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn bind_any() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    (listener, address)
}

/// Connects, trying again while the connection is refused or closed before the greeting.
async fn connect_until_greeted(address: SocketAddr) -> TcpStream {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let mut byte = [0];
            if stream.read_exact(&mut byte).await.is_ok() {
                return stream;
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until connections are refused.
async fn wait_until_refused(address: SocketAddr) {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return,
            _ => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Guards against a link at which a killed host seems to accept connections, which hides that its
/// process is gone.
#[tokio::test]
async fn a_link_refuses_connections_while_its_host_is_down() {
    let (listener, server) = bind_any().await;
    let echo = tokio::spawn(serve_echo(listener));
    let proxy = LoopbackProxy::default();
    let address = proxy.serve(server).await.expect("serves");
    drop(connect_until_greeted(address).await);
    echo.abort();
    drop(echo.await);
    proxy.mark_server_down();
    wait_until_refused(address).await;
    let listener = TcpListener::bind(server).await.expect("binds again");
    tokio::spawn(serve_echo(listener));
    drop(connect_until_greeted(address).await);
}

/// Guards against a cut in one direction that also holds back the other one.
#[tokio::test]
async fn a_stall_in_one_direction_leaves_the_other_open() {
    let (listener, server) = bind_any().await;
    tokio::spawn(serve_echo(listener));
    let proxy = LoopbackProxy::default();
    let address = proxy.serve(server).await.expect("serves");
    proxy.set_mode(ProxyMode::RequestsStalled);
    // The greeting comes through although no request does.
    let mut stream = connect_until_greeted(address).await;
    stream.write_all(b"a").await.expect("writes");
    let mut byte = [0];
    timeout(RETRY_INTERVAL, stream.read_exact(&mut byte))
        .await
        .expect_err("the request is held back");
    proxy.set_mode(ProxyMode::Open);
    stream.read_exact(&mut byte).await.expect("reads");
    assert_eq!(byte, *b"a");
}

/// Guards against links that a fault of the whole worker does not reach.
#[tokio::test]
async fn a_link_obeys_the_proxy_of_the_whole_worker() {
    let (listener, server) = bind_any().await;
    tokio::spawn(serve_echo(listener));
    let whole = LoopbackProxy::default();
    let link = LoopbackProxy::with_parent(&whole);
    let address = link.serve(server).await.expect("serves");
    let mut stream = connect_until_greeted(address).await;
    whole.reset_all();
    let mut byte = [0];
    stream
        .read_exact(&mut byte)
        .await
        .expect_err("the connection is reset");
    whole.set_mode(ProxyMode::Refusing);
    wait_until_refused(address).await;
    whole.set_mode(ProxyMode::Open);
    drop(connect_until_greeted(address).await);
}

/// Guards against a cut of one pair that reaches others.
#[tokio::test]
async fn a_cut_reaches_the_chosen_links_only() {
    let (listener, server) = bind_any().await;
    tokio::spawn(serve_echo(listener));
    let mut links = LinkTable::default();
    let mut addresses = Vec::new();
    for source in [0, 1] {
        let proxy = LoopbackProxy::default();
        let link = PairLink {
            source,
            target: LinkTarget::Host(2),
            proxy: proxy.clone(),
        };
        addresses.push(links.add(link, server).await.expect("serves"));
    }
    let cut = links.select(|link| link.source == 0);
    set_links(&cut, ProxyMode::Refusing);
    wait_until_refused(addresses[0]).await;
    drop(connect_until_greeted(addresses[1]).await);
    links.host_went_down(1);
    drop(connect_until_greeted(addresses[1]).await);
}

/// Guards against two soaks that take each other's ports.
#[test]
fn two_soaks_never_share_an_address() {
    let first = LoopbackAddress::reserve().expect("reserves");
    let second = LoopbackAddress::reserve().expect("reserves");
    assert_ne!(first.ip, second.ip);
    assert!(first.ip.is_loopback() && second.ip.is_loopback());
}
