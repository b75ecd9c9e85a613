//! Order in which waiting jobs get slots.
//!
//! Each order is a plug-in with a static [`OrderDescriptor`]. All plug-ins are entered into an
//! [`OrderRegistry`] by [`register_enabled`] and looked up by name from the settings.

mod fair;
mod fifo;
mod registry;

use std::time::Duration;

use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

pub use registry::{OrderDescriptor, OrderRegistry, register_enabled};

/// A job as the order sees it.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Serial of the job's ticket.
    pub serial: TicketSerial,
    /// Team.
    pub team: TeamName,
    /// Share of the team against others, at least 1.
    pub weight: u32,
    /// Time at which the job was accepted.
    pub submitted: UnixTime,
    /// Expected run time of all tasks that are not sent yet.
    pub remaining: Duration,
}

/// Expected run time of the tasks that are sent up to the end of a job, its own included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkAhead {
    /// All waiting work goes first, whatever team it is of.
    OfAll(Duration),
    /// Work of the job's team; the other teams take their shares beside it.
    OfTeam(Duration),
}

/// Order of the jobs that have tasks waiting for one kind of slot.
pub trait JobOrder: std::fmt::Debug + Send {
    /// Enters a job that has waiting tasks.
    fn insert(&mut self, entry: QueueEntry);

    /// Removes a job that has no waiting tasks any more; unknown jobs are ignored.
    fn remove(&mut self, serial: TicketSerial);

    /// Returns the job whose task goes next, or `None` if no team may run more.
    fn next(&self) -> Option<TicketSerial>;

    /// Records that a task of the job was sent, with its expected run time.
    fn charge(&mut self, serial: TicketSerial, work: Duration);

    /// Sets whether a team has used up its quota; its jobs are passed over while it has.
    fn set_blocked(&mut self, team: &TeamName, blocked: bool);

    /// Returns the work that is sent up to the end of a job that would be entered now.
    fn work_ahead(&self, entry: &QueueEntry) -> WorkAhead;

    /// Returns the number of jobs in the order.
    fn len(&self) -> usize;

    /// Tells whether no job waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
