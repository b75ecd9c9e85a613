//! Events of a virtual run and their order.

use std::sync::Arc;

use bramley_core::job::{JobAnswer, ReplyToken};
use bramley_core::kernel::action::TaskStart;
use bramley_core::kernel::event::KernelEvent;
use bramley_core::units::{TaskKey, UnixTime};

use super::fake_worker::RunOutcome;

/// Something that happens at a point of virtual time.
#[derive(Debug)]
pub(super) enum RunEvent {
    Arrival(usize),
    ToHost(usize, KernelEvent),
    ToWorker(usize, usize, Box<TaskStart>),
    ToStop(usize, usize, TaskKey),
    RunEnd(usize, u64, RunOutcome, Arc<str>),
    ToCaller(ReplyToken, Arc<JobAnswer>),
    Heartbeat(usize),
    List,
    CancelWave(usize),
}

/// An event with its time; events of one time keep the order in which they were made.
#[derive(Debug)]
pub(super) struct TimedEvent {
    pub(super) at: UnixTime,
    pub(super) order: u64,
    pub(super) event: RunEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
