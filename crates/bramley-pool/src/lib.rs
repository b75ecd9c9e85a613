//! Decisions of a pool that commands the workers of one failure domain, without input or output.
//!
//! A relay keeps callers and hands their jobs to pools; a pool starts the tasks on workers. Both
//! take events together with the present time and return actions, so that tests and virtual runs
//! drive them without a network.
//!
//! - [`claim`] decides which process commands the workers of its failure domain.
//! - [`decision`] describes decisions for the log.
//! - [`job`] holds submitted jobs and their tasks.
//! - [`message`] holds what relays and pools tell each other.
//! - [`pool`] places tasks on workers and follows their runs to the end.
//! - [`refusal`] holds the closed list of refusals and the table from refusal to answer.
//! - [`relay`] follows callers' jobs across pools.
//! - [`room`] counts processors, memory and accelerators.
//! - [`run`] holds the life cycle of a run.
//! - [`settings`] holds the limits and times of both kernels.
//! - [`worker`] holds workers, their clocks and what they report.

pub mod claim;
pub mod decision;
pub mod job;
pub mod message;
pub mod pool;
pub mod refusal;
pub mod relay;
pub mod room;
pub mod run;
pub mod settings;
pub mod worker;
