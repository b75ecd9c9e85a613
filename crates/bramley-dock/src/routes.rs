//! Matches requests to routes.

use std::sync::Arc;
use std::time::Duration;

use bramley_pool::job::{JobPolicy, RouteName};
use rustc_hash::FxHashMap;

/// Route of the configuration.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Host name that requests must have.
    pub host: Arc<str>,
    /// Path prefix that requests must have.
    pub prefix: Arc<str>,
    /// Policy for the jobs of the route.
    pub policy: JobPolicy,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Whether its steps need the approval of another service.
    pub needs_advice: bool,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest head in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving all headers of a request.
    pub header_time: Duration,
    /// Time limit for a connection at rest.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            header_bytes: 16 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
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
    /// Creates a table in which the longest matching prefix wins.
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

    /// Returns the names of all routes.
    #[must_use]
    pub fn route_names(&self) -> Vec<RouteName> {
        let routes = self.by_host.values().flatten();
        routes.map(|route| route.policy.route.clone()).collect()
    }

    /// Returns the route of a request and the path after the route's prefix.
    #[must_use]
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<RouteEntry>, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.by_host.get(host)?.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.prefix)?;
            Some((Arc::clone(route), rest))
        })
    }
}
