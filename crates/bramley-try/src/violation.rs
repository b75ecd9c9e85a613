//! Violations of guarantees.

use displaydoc::Display;
use serde::Serialize;

/// A violation of a guarantee.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Violation {
    /// task {task} of a non-idempotent job started {starts} times
    StartedTwice {
        /// Task.
        task: String,
        /// Number of starts.
        starts: u32,
    },
    /// answer under ticket {ticket} is not the complete answer to its job
    WrongAnswer {
        /// Ticket.
        ticket: String,
    },
    /// answer under ticket {ticket} is complete, but task {index} never finished
    AnsweredWithoutRun {
        /// Ticket.
        ticket: String,
        /// Index of the task in its job.
        index: usize,
    },
    /// task {task} was reported as not run, but was started
    NotRunButStarted {
        /// Task.
        task: String,
    },
    /// worker {worker} started {starts} tasks more than 3 s after it was marked as leaving
    StartedOnLeavingWorker {
        /// Worker.
        worker: String,
        /// Number of starts.
        starts: u32,
    },
    /// host {host} reverted from configuration generation {from} to {to}
    GenerationWentBack {
        /// Host.
        host: String,
        /// Generation before.
        from: u64,
        /// Generation after.
        to: u64,
    },
    /// configuration generation {generation} was not in force on every host within 5 s
    ConfigurationLate {
        /// Generation.
        generation: u64,
    },
    /// host {host} reported {count} invariant violations, the first: {first}
    InvariantViolated {
        /// Host.
        host: String,
        /// Number of violations.
        count: u64,
        /// Description of the first violation.
        first: String,
    },
}
