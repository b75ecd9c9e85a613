//! Asynchronous caller library that takes tickets ahead and resubmits safely.
//!
//! A job is submitted under a ticket. Taking a ticket starts nothing, so the client takes tickets
//! ahead in blocks and a submission usually costs one round trip. When an answer is lost, the
//! client submits the same ticket with the same body again, which joins the first submission or
//! returns its kept answer. It takes another ticket for the same work only when nothing was
//! submitted under the first, or when the answer says that no task ran.
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
//! - [`client`]: the client and its calls.
//! - [`errors`]: the closed list of errors.
//! - [`job`]: jobs and their answers.
//! - [`options`]: settings of a client.
//! - `clock`: conversion between wall-clock and monotonic deadlines.
//! - `entries`: the entry hosts and the stock of tickets of each.
//! - `reply`: checks of answers.
//! - `retry`: times of retries.
//! - `stock`: tickets taken ahead.
//! - `submission`: one job under one ticket.
//! - `tickets`: taking tickets from entry hosts.
//! - `transport`: HTTP calls to entry hosts.

pub mod client;
mod clock;
mod entries;
pub mod errors;
pub mod job;
pub mod options;
mod reply;
mod retry;
mod stock;
mod submission;
mod tickets;
mod transport;

pub use client::CallerClient;
pub use errors::ClientError;
pub use job::{JobAnswer, JobSpec, JobState};
pub use options::ClientOptions;
