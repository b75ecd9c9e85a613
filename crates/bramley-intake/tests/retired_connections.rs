//! Connections that clients have set up before a server retires them, over real sockets.

use std::net::SocketAddr;

use bramley_intake::{
    ConnectionLedger, IntakeListener, IntakeSettings, ListenSettings, OpenConnection, PhaseTimes,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

async fn listen(settings: ListenSettings) -> (IntakeListener, ConnectionLedger, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").await;
    let socket = socket.expect("a port is free");
    let address = socket.local_addr().expect("it is bound");
    let ledger = ConnectionLedger::new("test", IntakeSettings::default());
    let listener = IntakeListener::new(socket, ledger.clone(), b"", settings);
    (listener, ledger, address)
}

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await;
    stream.expect("the server listens")
}

async fn accept(listener: &mut IntakeListener) -> OpenConnection {
    listener.accept(PhaseTimes::default).await.1
}

/// Guards against a connection that was set up before a pause, is accepted after it and counts as new.
#[tokio::test]
async fn a_connection_that_waits_to_be_accepted_is_retired() {
    let (mut listener, ledger, address) = listen(ListenSettings::default()).await;
    let _first = connect(address).await;
    let first = accept(&mut listener).await;
    let _second = connect(address).await;
    assert_eq!(ledger.retire_connections(), 1);
    let second = accept(&mut listener).await;
    let accepts = accept(&mut listener);
    let connects = async {
        // Lets the listener open its new socket.
        tokio::task::yield_now().await;
        connect(address).await
    };
    let (third, _third) = tokio::join!(accepts, connects);
    let are_retired = [&first, &second, &third].map(|open| open.handle().is_retired());
    assert_eq!(are_retired, [true, true, false]);
    assert_eq!(ledger.report().open, 3);
}

/// Guards against a listener that stays at its former socket, whose connections are all refused, because
/// clients connect to it without end. Those that it no longer accepts are reset.
#[tokio::test]
async fn the_socket_is_replaced_although_more_connections_wait() {
    let settings = ListenSettings {
        backlog: 2,
        ..ListenSettings::default()
    };
    let (mut listener, ledger, address) = listen(settings).await;
    let _open = connect(address).await;
    accept(&mut listener).await;
    ledger.retire_connections();
    let mut waiting = Vec::new();
    for _ in 0..4 {
        waiting.push(connect(address).await);
    }
    for _ in 0..settings.backlog {
        assert!(accept(&mut listener).await.handle().is_retired());
    }
    let accepts = accept(&mut listener);
    let connects = async {
        tokio::task::yield_now().await;
        connect(address).await
    };
    let (accepted, _stream) = tokio::join!(accepts, connects);
    assert!(!accepted.handle().is_retired());
    let mut last = waiting.pop().expect("it was opened");
    let read = last.read(&mut [0; 1]).await;
    assert!(read.is_err(), "{read:?}");
}

/// Guards against requests that are refused for ever after two retirements in a row.
#[tokio::test]
async fn connections_after_the_last_retirement_are_used() {
    let (mut listener, ledger, address) = listen(ListenSettings::default()).await;
    for _ in 0..2 {
        let _stream = connect(address).await;
        let accepted = accept(&mut listener).await;
        ledger.retire_connections();
        accepted.retired().await;
    }
    ledger.retire_connections();
    let connects = async {
        tokio::task::yield_now().await;
        connect(address).await
    };
    let (accepted, _stream) = tokio::join!(accept(&mut listener), connects);
    assert!(!accepted.handle().is_retired());
}
