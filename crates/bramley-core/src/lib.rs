//! Sans-I/O dispatch logic.
//!
//! The crate processes events together with the current time and returns actions. It opens no
//! sockets, reads no clocks and spawns no threads, so it can be embedded in any runtime and tested
//! by randomised simulations of millions of steps.
//!
//! - [`configuration`] defines the deployment's configuration document and its generation.
//! - [`digest`] computes digests of submissions.
//! - [`errors`] defines the error kinds and the response for each kind.
//! - [`estimate`] estimates run times from observations.
//! - [`health`] ejects workers that fail more often than their peers.
//! - [`invariants`] checks invariants at run time and counts violations.
//! - [`job`] defines submissions, active jobs and answers.
//! - [`kernel`] is the dispatch state machine of one entry process.
//! - [`membership`] implements the gossip between entry hosts about members, leaving workers and
//!   generations.
//! - [`names`] defines cheaply cloneable name types.
//! - [`outcomes`] stores active jobs and retained answers by ticket.
//! - [`ownership`] routes a request to the incarnation that issued its ticket.
//! - [`places`] assigns numbers to the sets of failure domains that teams may use.
//! - [`queue`] orders waiting jobs by pluggable policies.
//! - [`slots`] partitions, lends and reserves the slots of workers.
//! - [`task`] implements the life cycle of a task.
//! - [`teams`] looks up teams and classes.
//! - [`ticket`] issues and checks tickets.
//! - [`units`] defines time and identifier types.
//! - [`worker`] holds the table of known workers.

pub mod configuration;
pub mod digest;
pub mod errors;
pub mod estimate;
pub mod health;
pub mod invariants;
pub mod job;
pub mod kernel;
pub mod membership;
pub mod names;
pub mod outcomes;
pub mod ownership;
pub mod places;
pub mod queue;
pub mod slots;
pub mod task;
pub mod teams;
pub mod ticket;
pub mod units;
pub mod worker;
