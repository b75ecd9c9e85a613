//! Randomised soak test that runs the real binaries as separate processes on one machine.
//!
//! The platform's store and workers are simulated inside the soak process, and the hosts reach them
//! through loopback proxies. All faults are injected from outside the hosts: by signals, by the
//! proxies, and by faulty behaviour of the simulated store and workers. The guarantees are checked
//! from what callers and workers observe.
//!
//! - [`callers`] submits jobs over persistent connections and retries them as the platform's clients
//!   do.
//! - [`checks`] compares responses with the runs that workers recorded.
//! - [`crowd`] runs clients that do not behave.
//! - [`deployment`] starts the host processes and terminates only the ones it started.
//! - [`evacuations`] evacuates failure domains and checks that no task starts there after the bound.
//! - [`faults`] injects a random sequence of faults that is determined by a seed.
//! - [`odd_writer`] writes odd items to the store, as another program might.
//! - [`proxy`] forwards connections and can delay, stall or reset them.
//! - [`series`] injects series of faults that belong together, as when a domain loses its power.
//! - [`topology`] puts a proxy of its own between each two hosts and each host and worker.
//! - [`traces`] collects the lines of the hosts' logs on the jobs that a violation names.

pub mod callers;
pub mod checks;
pub mod crowd;
pub mod deployment;
pub mod evacuations;
pub mod faults;
pub mod odd_writer;
pub mod proxy;
pub mod series;
pub mod topology;
pub mod traces;
