//! Events of a simulation and their order.

use std::sync::Arc;

use bramley_core::job::{JobAnswer, ReplyToken};
use bramley_core::kernel::action::TaskStart;
use bramley_core::kernel::event::KernelEvent;
use bramley_core::units::{TaskKey, UnixTime};

use super::simulated_worker::RunOutcome;

/// An event in virtual time. Workloads, hosts, workers and faults are identified by their index.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    /// A job of a workload arrives.
    Arrival(usize),
    /// A host receives a kernel event.
    DeliverToHost(usize, KernelEvent),
    /// A worker receives a request from a host to start a task.
    DeliverStart(usize, usize, Box<TaskStart>),
    /// A worker receives a request from a host to stop a task.
    DeliverStop(usize, usize, TaskKey),
    /// A run on a worker ends with an outcome and an output.
    TaskEnded(usize, u64, RunOutcome, Arc<str>),
    /// A caller receives the answer to its job.
    DeliverAnswer(ReplyToken, Arc<JobAnswer>),
    /// A host sends its heartbeat.
    Heartbeat(usize),
    /// The platform sends its worker list to all hosts.
    PublishWorkerList,
    /// Callers cancel jobs because of a fault.
    CancelWave(usize),
}

/// An event and its time. Simultaneous events are processed in the order of their creation.
#[derive(Debug)]
pub(super) struct TimedEvent {
    pub(super) at: UnixTime,
    pub(super) sequence: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
