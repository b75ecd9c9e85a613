//! Actions that the kernel requests from the driver.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::job::{JobAnswer, ReplyToken};
use crate::names::{ClassName, HostName, TeamName, WorkerName};
use crate::units::{AttemptId, TaskKey, UnixTime};

use super::event::NamedSlot;

/// An action that the driver must perform.
#[derive(Debug)]
pub enum KernelAction {
    /// Send a task to a worker and report the result of the attempt.
    Start(Box<TaskStart>),
    /// Drop the connection of an attempt whose result is no longer awaited.
    Abandon(AttemptId),
    /// Ask a worker to stop a task whose job has failed or was cancelled.
    Stop {
        /// Address of the worker.
        address: SocketAddr,
        /// Task.
        task: TaskKey,
    },
    /// Send a caller the answer to its job.
    Reply {
        /// Token of the waiting caller.
        token: ReplyToken,
        /// Answer.
        answer: Arc<JobAnswer>,
    },
    /// Tell a caller that its job is still running.
    ReplyRunning(ReplyToken),
    /// Request slots from another host.
    RequestLoan {
        /// Host to request from.
        lender: HostName,
        /// Number of requested slots without an accelerator.
        plain: u32,
        /// Number of requested slots with an accelerator.
        accelerated: u32,
    },
    /// Reply to another host's loan request.
    GrantLoan {
        /// Token of the waiting request.
        token: ReplyToken,
        /// Lent slots; may be empty.
        slots: Vec<NamedSlot>,
        /// End of the loan.
        until: UnixTime,
    },
    /// Return borrowed slots to their owner.
    ReturnLoan {
        /// Owner of the slots.
        lender: HostName,
        /// Slots.
        slots: Vec<NamedSlot>,
    },
}

/// A task to be sent to a worker.
#[derive(Debug)]
pub struct TaskStart {
    /// Attempt whose result the driver reports.
    pub attempt: AttemptId,
    /// Task.
    pub task: TaskKey,
    /// Worker.
    pub worker: WorkerName,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Team.
    pub team: TeamName,
    /// Task class.
    pub class: ClassName,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Number of accelerators that the task uses.
    pub accelerators: u32,
    /// Latest time at which the task may start.
    pub start_deadline: UnixTime,
    /// Time after which a connection without an answer is considered stalled; later tasks then use
    /// a new connection.
    pub stalled_after: UnixTime,
}
