//! Asynchronous client library that prefetches tickets and retries submissions safely.
//!
//! A job is submitted under a ticket. Requesting a ticket starts no work, so the client prefetches
//! tickets in blocks and a submission usually costs one round trip. When a response is lost, the
//! client resubmits the same ticket with the same body, which either joins the first submission or
//! returns its stored response. It uses a new ticket for the same work only when nothing was
//! submitted under the first one, or when the response states that no task ran.
//!
//! ```no_run
//! use bramley_client::{CallerClient, ClientOptions, JobSpec};
//! use bramley_wire::caller::TaskSpec;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = CallerClient::new(ClientOptions {
//!     entry_addresses: vec!["10.0.1.1:7400".parse()?, "10.0.1.2:7400".parse()?],
//!     team: "booking".into(),
//!     ..ClientOptions::default()
//! });
//! let hold = TaskSpec {
//!     payload: r#"{"pitch":7}"#.to_owned(),
//!     ..TaskSpec::default()
//! };
//! let answer = client
//!     .submit(JobSpec {
//!         class: "hold".into(),
//!         tasks: vec![hold],
//!         ..JobSpec::default()
//!     })
//!     .await?;
//! println!("{}", answer.results[0]);
//! # Ok(())
//! # }
//! ```
//!
//! - [`client`]: the client and its public methods.
//! - [`errors`]: the error type of all client methods.
//! - [`job`]: jobs, their results and their states.
//! - [`options`]: client configuration.
//! - `clock`: conversion between wall-clock and monotonic deadlines.
//! - `entry_hosts`: the entry hosts, each with its ticket pool and cooldown.
//! - `reply`: validation of response bodies.
//! - `retry`: retry delays with exponential backoff and jitter.
//! - `submission`: submission of one job under one ticket.
//! - `ticket_pool`: prefetched tickets of one entry host.
//! - `tickets`: ticket requests and prefetching.
//! - `transport`: HTTP requests to entry hosts.

pub mod client;
mod clock;
mod entry_hosts;
pub mod errors;
pub mod job;
pub mod options;
mod reply;
mod retry;
mod submission;
mod ticket_pool;
mod tickets;
mod transport;

pub use client::CallerClient;
pub use errors::ClientError;
pub use job::{JobAnswer, JobSpec, JobState};
pub use options::ClientOptions;
