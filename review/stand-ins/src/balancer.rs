//! The platform's entry, as on the users' page "Ingress": it forwards each new connection to a node
//! that it selects by a hash of the client, among those in rotation.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::record::Record;

/// Misses in a row after which a node gets no new connections.
const MISSES: u32 = 2;

#[derive(Debug)]
struct Node {
    name: String,
    front: SocketAddr,
    readiness: SocketAddr,
    misses: u32,
}

/// Entry of one zone. Clones share the state.
#[derive(Clone, Debug)]
pub struct Balancer {
    nodes: Arc<Mutex<Vec<Node>>>,
    record: Record,
}

impl Balancer {
    /// Creates the entry for the nodes given by name, front and readiness address.
    pub fn new(nodes: Vec<(String, SocketAddr, SocketAddr)>, record: Record) -> Self {
        let nodes = nodes
            .into_iter()
            .map(|(name, front, readiness)| Node {
                name,
                front,
                readiness,
                misses: MISSES,
            })
            .collect();
        let balancer = Self {
            nodes: Arc::new(Mutex::new(nodes)),
            record,
        };
        let polling = balancer.clone();
        tokio::spawn(async move {
            let mut ticks = interval(Duration::from_secs(1));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                polling.poll().await;
            }
        });
        balancer
    }

    async fn poll(&self) {
        let addresses: Vec<SocketAddr> = {
            let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
            nodes.iter().map(|node| node.readiness).collect()
        };
        for (index, address) in addresses.into_iter().enumerate() {
            let asked = timeout(Duration::from_millis(300), is_ready(address)).await;
            let is_ready = asked.unwrap_or(false);
            let mut nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
            let node = &mut nodes[index];
            let was_in = node.misses < MISSES;
            node.misses = if is_ready {
                0
            } else {
                node.misses.saturating_add(1)
            };
            let is_in = node.misses < MISSES;
            if was_in != is_in {
                let change = if is_in { "enters" } else { "leaves" };
                self.record
                    .line(format!("{} {change} the rotation", node.name));
            }
        }
    }

    /// Returns the number of nodes in rotation.
    pub fn in_rotation(&self) -> usize {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.iter().filter(|node| node.misses < MISSES).count()
    }

    /// Returns the node for a new connection of a client whose hash is `hash`.
    pub fn select(&self, hash: usize) -> (String, SocketAddr) {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let is_usable = |node: &Node| node.misses < MISSES;
        let usable = nodes.iter().filter(|node| is_usable(node)).count();
        // "If fewer than half of a zone's nodes are in rotation, the platform uses all of them."
        let uses_all = usable * 2 < nodes.len();
        let count = nodes.len();
        let chosen = (0..count)
            .map(|step| &nodes[(hash + step) % count])
            .find(|node| uses_all || is_usable(node))
            .unwrap_or(&nodes[hash % count]);
        (chosen.name.clone(), chosen.front)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            .await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        std::io::Result::Ok(answer.starts_with(b"HTTP/1.1 200"))
    };
    asked.await.unwrap_or(false)
}
