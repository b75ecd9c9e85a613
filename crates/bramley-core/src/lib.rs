//! Dispatch decisions without input or output.
//!
//! The crate takes events together with the present time and returns actions. It opens no
//! sockets, reads no clocks and starts no threads, so that it can be embedded anywhere and driven
//! for millions of steps by randomised runs.
//!
//! - [`configuration`] holds the deployment's configuration document and its generation.
//! - [`digest`] fingerprints submissions.
//! - [`errors`] holds the closed list of error kinds and the table from kind to answer.
//! - [`estimate`] learns run times.
//! - [`health`] judges workers by their failures.
//! - [`invariants`] counts violations of what must always hold.
//! - [`job`] holds submissions and their answers.
//! - [`kernel`] takes the decisions of one entry process.
//! - [`membership`] holds entry hosts, leaving signs of workers and the spread of generations.
//! - [`names`] holds the shared immutable names.
//! - [`outcomes`] keeps the books of submissions.
//! - [`ownership`] finds the incarnation that a ticket names.
//! - [`places`] numbers the sets of failure domains that teams may use.
//! - [`queue`] orders waiting jobs by plug-in policies.
//! - [`slots`] divides, lends and books the slots of workers.
//! - [`task`] holds the life cycle of a task.
//! - [`teams`] looks up teams and classes.
//! - [`ticket`] issues and checks tickets.
//! - [`units`] holds time and identifiers.
//! - [`worker`] holds the workers that are known.

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
