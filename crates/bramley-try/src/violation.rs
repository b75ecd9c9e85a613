//! Broken promises.

use displaydoc::Display;
use serde::Serialize;

/// One broken promise.
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
    /// the answer under ticket {ticket} is not the whole answer to its job
    WrongAnswer {
        /// Ticket.
        ticket: String,
    },
    /// the answer under ticket {ticket} is complete, but task {index} never ran to its end
    AnsweredWithoutRun {
        /// Ticket.
        ticket: String,
        /// Position of the task in its job.
        index: usize,
    },
    /// task {task} was reported as not run, but it started
    NotRunButStarted {
        /// Task.
        task: String,
    },
    /// worker {worker} started {starts} tasks later than 3 s after it began to leave
    StartedOnLeavingWorker {
        /// Worker.
        worker: String,
        /// Number of starts.
        starts: u32,
    },
    /// host {host} went from generation {from} back to {to}
    GenerationWentBack {
        /// Host.
        host: String,
        /// Generation seen before.
        from: u64,
        /// Generation seen after it.
        to: u64,
    },
    /// generation {generation} was not in force everywhere within 5 s
    ConfigurationLate {
        /// Generation.
        generation: u64,
    },
    /// host {host} counted {count} violated invariants, the first is {first}
    InvariantViolated {
        /// Host.
        host: String,
        /// Number of violations.
        count: u64,
        /// Description of the first.
        first: String,
    },
}
