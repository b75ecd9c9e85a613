//! Questions of operators where a request would go now: their parameters, errors and limits.

use std::fmt::Write;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::job::{MAX_TASKS, MAX_TIME};
use bramley_pool::resources::TaskResources;
use displaydoc::Display;
use hyper::StatusCode;
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Path of the endpoint.
pub const QUERY_PATH: &str = "/where";

/// Age from which the state of pools does not tell where a request would go: relays do not use
/// published state of this age either.
pub const MAX_STATE_AGE: Duration = bramley_pool::route_gate::MAX_STATE_AGE;

/// Explanations in one second. Each copies the state machines, which takes processor time from
/// callers.
const EXPLANATIONS_PER_S: u32 = 4;

/// Length of the interval of the rate limit.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Largest CPU of a task in thousandths of a core and largest memory in megabytes; far above any
/// worker.
const MAX_RESOURCE: u64 = 1_000_000_000;

/// Reason why a question has no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum QueryError {
    /// the parameter `{0}` is missing
    MissingParameter(&'static str),
    /// unknown parameter `{0}`
    UnknownParameter(String),
    /// the parameter `{0}` is not valid UTF-8
    UnreadableParameter(String),
    /// `{name}` must be a whole number from {min} to {max}, not `{text}`
    MalformedNumber {
        /// Name of the parameter.
        name: &'static str,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Given text.
        text: String,
    },
    /// no route of the configuration (version {version}) serves host `{host}` and path `{path}`
    UnknownRoute {
        /// Version of the configuration.
        version: u64,
        /// Given host name.
        host: String,
        /// Given path.
        path: String,
    },
    /// the host has no configuration yet
    NoConfiguration,
    /// the state of pool {pool} is {age_ms} ms old; it must not be older than {max_ms} ms
    StateTooOld {
        /// Failure domain of the pool.
        pool: String,
        /// Age in milliseconds.
        age_ms: u128,
        /// Largest age in milliseconds.
        max_ms: u128,
    },
    /// the host has answered as many questions in this second as it may; ask again in a second
    TooManyQuestions,
}

impl std::error::Error for QueryError {}

impl QueryError {
    /// Returns the status code and the label of the response.
    #[must_use]
    pub const fn answer(&self) -> (StatusCode, &'static str) {
        match self {
            Self::MissingParameter(_)
            | Self::UnknownParameter(_)
            | Self::UnreadableParameter(_)
            | Self::MalformedNumber { .. } => (StatusCode::BAD_REQUEST, "malformed"),
            Self::UnknownRoute { .. } => (StatusCode::NOT_FOUND, "unknown_route"),
            Self::NoConfiguration => (StatusCode::SERVICE_UNAVAILABLE, "no_configuration"),
            Self::StateTooOld { .. } => (StatusCode::SERVICE_UNAVAILABLE, "state_too_old"),
            Self::TooManyQuestions => (StatusCode::TOO_MANY_REQUESTS, "too_many_questions"),
        }
    }
}

/// Request of which an operator asks where it would go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementQuery {
    /// Host name of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: TaskResources,
    /// Declared run time of a task.
    pub declared: Duration,
}

impl Default for PlacementQuery {
    fn default() -> Self {
        Self {
            host: String::new(),
            path: String::new(),
            tasks: 1,
            resources: TaskResources {
                accelerators: 0,
                cpu_milli: 1_000,
                memory_mb: 64,
            },
            declared: Duration::from_millis(100),
        }
    }
}

impl PlacementQuery {
    /// Reads the parameters from the query of a URI. Those that are not given have the values of
    /// [`PlacementQuery::default`], except for the host and the path, which are required.
    ///
    /// # Errors
    ///
    /// Returns an error if a parameter is missing, unknown or malformed.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let mut query = Self::default();
        for part in text.split('&').filter(|part| !part.is_empty()) {
            let (name, raw) = part.split_once('=').unwrap_or((part, ""));
            let Ok(value) = percent_decode_str(raw).decode_utf8() else {
                return Err(QueryError::UnreadableParameter(String::from(name)));
            };
            query.set(name, &value)?;
        }
        if query.host.is_empty() {
            return Err(QueryError::MissingParameter("host"));
        }
        if query.path.is_empty() {
            return Err(QueryError::MissingParameter("path"));
        }
        Ok(query)
    }

    /// Sets a parameter from its text.
    ///
    /// # Errors
    ///
    /// Returns an error if the parameter is unknown or malformed.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), QueryError> {
        match name {
            "host" => self.host = String::from(value),
            "path" => self.path = String::from(value),
            "tasks" => self.tasks = parse_number("tasks", value, 1, u64::from(MAX_TASKS))?,
            "cpu_milli" => {
                self.resources.cpu_milli = parse_number("cpu_milli", value, 0, MAX_RESOURCE)?;
            }
            "memory_mb" => {
                self.resources.memory_mb = parse_number("memory_mb", value, 0, MAX_RESOURCE)?;
            }
            "run_ms" => {
                let max_ms = u64::try_from(MAX_TIME.as_millis()).unwrap_or(u64::MAX);
                let run_ms: u32 = parse_number("run_ms", value, 0, max_ms)?;
                self.declared = Duration::from_millis(u64::from(run_ms));
            }
            _ => return Err(QueryError::UnknownParameter(String::from(name))),
        }
        Ok(())
    }

    /// Returns the path and query of the endpoint for this question.
    #[must_use]
    pub fn to_uri(&self) -> String {
        let host = utf8_percent_encode(&self.host, NON_ALPHANUMERIC);
        let path = utf8_percent_encode(&self.path, NON_ALPHANUMERIC);
        let mut uri = format!("{QUERY_PATH}?host={host}&path={path}");
        let numbers = [
            ("tasks", u128::from(self.tasks)),
            ("cpu_milli", u128::from(self.resources.cpu_milli)),
            ("memory_mb", u128::from(self.resources.memory_mb)),
            ("run_ms", self.declared.as_millis()),
        ];
        for (name, number) in numbers {
            // Writing to a string does not fail.
            write!(uri, "&{name}={number}").unwrap_or_default();
        }
        uri
    }
}

fn parse_number(name: &'static str, text: &str, min: u64, max: u64) -> Result<u32, QueryError> {
    let number = text.parse().ok();
    let number = number.filter(|number| (min..=max).contains(&u64::from(*number)));
    number.ok_or_else(|| QueryError::MalformedNumber {
        name,
        min,
        max,
        text: String::from(text),
    })
}

/// Age of the state of a pool as a host knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolAge {
    /// Failure domain of the pool.
    pub domain: DomainName,
    /// Whether the pool is connected; others are not asked.
    pub is_connected: bool,
    /// Time since the pool was heard from.
    pub age: Duration,
}

/// Checks that the state of all connected pools is recent, or that of any pool if none is connected.
/// Without any pool, it is certain that a request is refused.
///
/// # Errors
///
/// Returns an error that names the connected pool with the oldest state, or the pool with the latest
/// state if none is connected.
pub fn check_ages(pools: &[PoolAge]) -> Result<(), QueryError> {
    let connected = pools.iter().filter(|pool| pool.is_connected);
    let oldest = connected.max_by_key(|pool| pool.age);
    let decisive = oldest.or_else(|| pools.iter().min_by_key(|pool| pool.age));
    match decisive {
        Some(pool) if pool.age > MAX_STATE_AGE => Err(QueryError::StateTooOld {
            pool: String::from(pool.domain.as_str()),
            age_ms: pool.age.as_millis(),
            max_ms: MAX_STATE_AGE.as_millis(),
        }),
        Some(_) | None => Ok(()),
    }
}

/// Limits the explanations in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExplanationLimit {
    interval_ends_at: UnixTime,
    count: u32,
}

impl ExplanationLimit {
    /// Counts an explanation and returns whether it is within the limit.
    pub fn take(&mut self, now: UnixTime) -> bool {
        if now >= self.interval_ends_at {
            self.interval_ends_at = now.after(LIMIT_INTERVAL);
            self.count = 0;
        }
        self.count += 1;
        self.count <= EXPLANATIONS_PER_S
    }
}
