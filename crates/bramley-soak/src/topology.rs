//! Ways between the parts of a deployment: a proxy for each host to each other host and worker.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::proxy::{LoopbackProxy, ProxyMode};

/// Port that a soak listens on as long as it uses a loopback address. It lies outside the ranges of
/// the hosts' ports and of ephemeral ports.
const RESERVED_PORT: u16 = 9_997;

/// Attempts to find a loopback address that no other soak uses.
const ADDRESS_ATTEMPTS: u32 = 200;

/// A loopback address that one soak uses alone. Outgoing connections take their ports on 127.0.0.1,
/// so that no other program takes the port of a host while it is down.
#[derive(Debug)]
pub struct LoopbackAddress {
    /// The address.
    pub ip: IpAddr,
    /// Keeps other soaks from the address.
    _listener: TcpListener,
}

impl LoopbackAddress {
    /// Reserves an address that depends on the process and that no other soak uses.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the last attempt if no address can be reserved.
    pub fn reserve() -> std::io::Result<Self> {
        let mut last_error = None;
        for attempt in 0..ADDRESS_ATTEMPTS {
            let [_, high, middle, low] = (std::process::id() + attempt).to_be_bytes();
            // The upper half of the loopback network, without its broadcast address.
            let ip = IpAddr::from(Ipv4Addr::new(127, 128 | (high & 0x3f), middle, low));
            match TcpListener::bind((ip, RESERVED_PORT)) {
                Ok(_listener) => return Ok(Self { ip, _listener }),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }
}

/// End of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkTarget {
    /// Host with this index.
    Host(usize),
    /// Worker with this index.
    Worker(usize),
}

/// Connections that one host opens to another host or to a worker.
#[derive(Clone, Debug)]
pub struct PairLink {
    /// Index of the host that opens the connections.
    pub source: usize,
    /// Where the connections lead.
    pub target: LinkTarget,
    /// Proxy on the way.
    pub proxy: LoopbackProxy,
}

/// All links of a deployment.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: Vec<PairLink>,
}

impl LinkTable {
    /// Adds a link that leads to `server`; returns the address at which its source finds it.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be bound.
    pub async fn add(&mut self, link: PairLink, server: SocketAddr) -> std::io::Result<SocketAddr> {
        let address = link.proxy.serve(server).await?;
        self.links.push(link);
        Ok(address)
    }

    /// Returns the links for which `is_chosen` returns true.
    pub fn select(&self, is_chosen: impl Fn(&PairLink) -> bool) -> Vec<PairLink> {
        let links = self.links.iter();
        links.filter(|link| is_chosen(link)).cloned().collect()
    }

    /// Makes the links to a host refuse connections until its process accepts them.
    pub fn host_went_down(&self, host: usize) {
        for link in &self.links {
            if link.target == LinkTarget::Host(host) {
                link.proxy.mark_server_down();
            }
        }
    }
}

/// Sets how the data on links is treated. Links that refuse new connections lose those that are
/// open as well.
pub fn set_links(links: &[PairLink], mode: ProxyMode) {
    for link in links {
        link.proxy.set_mode(mode);
        if mode == ProxyMode::Refusing {
            link.proxy.reset_all();
        }
    }
}
