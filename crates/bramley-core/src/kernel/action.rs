//! What the kernel asks the driver to do.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::job::{JobAnswer, ReplyToken};
use crate::names::{ClassName, HostName, TeamName, WorkerName};
use crate::units::{AttemptId, TaskKey, UnixTime};

use super::event::NamedSlot;

/// Something that the driver must do.
#[derive(Debug)]
pub enum KernelAction {
    /// Send a task to a worker and report how the attempt ended.
    Start(Box<TaskStart>),
    /// Drop the connection of an attempt; its end is no longer waited for.
    Abandon(AttemptId),
    /// Ask a worker to stop a task whose job was given up.
    Stop {
        /// Address of the worker.
        address: SocketAddr,
        /// Task.
        task: TaskKey,
    },
    /// Give a caller the answer to its job.
    Reply {
        /// Waiting caller.
        token: ReplyToken,
        /// Answer.
        answer: Arc<JobAnswer>,
    },
    /// Tell a caller that its job is still running.
    ReplyRunning(ReplyToken),
    /// Ask a host to lend slots.
    AskLoan {
        /// Host to ask.
        lender: HostName,
        /// Slots without an accelerator wanted.
        plain: u32,
        /// Slots with an accelerator wanted.
        accelerated: u32,
    },
    /// Answer another host's request to borrow slots.
    GrantLoan {
        /// Waiting request.
        token: ReplyToken,
        /// Slots lent.
        slots: Vec<NamedSlot>,
        /// End of the loan.
        until: UnixTime,
    },
    /// Give borrowed slots back.
    ReturnLoan {
        /// Owner of the slots.
        lender: HostName,
        /// Slots.
        slots: Vec<NamedSlot>,
    },
}

/// One sending of a task to a worker.
#[derive(Debug)]
pub struct TaskStart {
    /// Attempt to report the end of.
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
    /// Input.
    pub payload: Arc<str>,
    /// Accelerators.
    pub accelerators: u32,
    /// Latest time at which the task may start.
    pub start_before: UnixTime,
    /// Time from which the connection counts as silent: what follows takes a fresh one.
    pub silent_after: UnixTime,
}
