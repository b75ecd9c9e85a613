//! I/O-free scheduling and leader election for the workers of one failure domain.
//!
//! A relay holds the jobs of the callers connected to its process and submits them to pools; the
//! pool that leads a failure domain schedules their tasks on its workers. Relays, pools and claims
//! are state machines: they take events with the current time and return actions, so that tests and
//! simulations can drive them without a network.
//!
//! - [`claim`]: leader election, which decides the process that controls a domain's workers.
//! - [`crash`]: crashes of workers and the tasks that ran there.
//! - [`decision`]: structured log lines for scheduling decisions.
//! - [`explanation`]: where a submission would go now, and why.
//! - [`exposure`]: routes whose runs overlapped with a run on the same worker.
//! - [`job`]: submitted jobs and their tasks.
//! - [`mechanism`]: mechanisms that can be switched off.
//! - [`message`]: messages between relays and pools.
//! - [`pool`]: placement of tasks on workers and tracking of their runs.
//! - [`pool_connection`]: connections of a relay to pools, and their losses.
//! - `pool_rotation`: distribution of jobs over pools while a failure domain is evacuated.
//! - [`refusal`]: reasons for refusing a job and the responses they map to.
//! - [`relay`]: routing of callers' jobs to pools and failover between pools.
//! - [`resources`]: CPU, memory and accelerator amounts.
//! - [`retry`]: times after which refused callers are told to retry.
//! - [`route_gate`]: admission state that pools publish, and the shares passed by it.
//! - [`run`]: life cycle of a run.
//! - [`settings`]: limits, intervals and timeouts.
//! - [`shedding`]: refusal of new requests while a host is short of processor time.
//! - [`worker`]: workers, their clocks, requests and reports.

pub mod claim;
pub mod crash;
pub mod decision;
pub mod explanation;
pub mod exposure;
pub mod job;
pub mod mechanism;
pub mod message;
pub mod pool;
pub mod pool_connection;
mod pool_rotation;
pub mod refusal;
pub mod relay;
pub mod resources;
pub mod retry;
pub mod route_gate;
pub mod run;
pub mod settings;
pub mod shedding;
pub mod worker;
