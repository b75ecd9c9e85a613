//! Finds the route of a request.

use std::sync::Arc;
use std::time::Duration;

use bramley_pool::job::JobPolicy;
use rustc_hash::FxHashMap;

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Host name of its requests.
    pub host: Arc<str>,
    /// Beginning of the paths of its requests.
    pub prefix: Arc<str>,
    /// How its jobs are run.
    pub policy: JobPolicy,
    /// Time that the route gives a request.
    pub timeout: Duration,
    /// Whether its steps need the approval of another service.
    pub needs_advice: bool,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time until the headers of a request are complete.
    pub header_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            header_time: Duration::from_secs(3),
        }
    }
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits of requests.
    pub limits: RequestLimits,
    by_host: FxHashMap<Arc<str>, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Makes a table; the longest prefix is found first.
    #[must_use]
    pub fn new(version: u64, limits: RequestLimits, routes: Vec<RouteEntry>) -> Self {
        let mut by_host: FxHashMap<Arc<str>, Vec<Arc<RouteEntry>>> = FxHashMap::default();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            by_host,
        }
    }

    /// Returns the route of a request and the rest of its path.
    #[must_use]
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<RouteEntry>, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.by_host.get(host)?.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.prefix)?;
            Some((Arc::clone(route), rest))
        })
    }
}
