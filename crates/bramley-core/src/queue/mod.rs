//! Queue policies, which decide the order in which waiting jobs get slots.
//!
//! Each policy is a plug-in with a static [`QueuePolicyDescriptor`]. [`register_enabled`] adds all
//! of them to a [`QueuePolicyRegistry`], from which they are created by the name given in the
//! settings.

mod fair;
mod fifo;
mod registry;

use std::time::Duration;

use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

pub use registry::{QueuePolicyDescriptor, QueuePolicyRegistry, register_enabled};

/// A job as seen by a queue policy.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Serial of the job's ticket.
    pub serial: TicketSerial,
    /// Team.
    pub team: TeamName,
    /// Weight of the team relative to other teams, at least 1.
    pub weight: u32,
    /// Time at which the job was accepted.
    pub submitted: UnixTime,
    /// Expected run time of all tasks that are not sent yet.
    pub remaining: Duration,
}

/// Expected run time of the tasks sent before a job's last task, including the job's own tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkAhead {
    /// Work of all teams, which is sent before the job's last task.
    AllTeams(Duration),
    /// Work of the job's own team; other teams get their shares concurrently.
    OwnTeam(Duration),
}

/// Orders the jobs that have tasks waiting for one kind of slot.
pub trait QueuePolicy: std::fmt::Debug + Send {
    /// Adds a job that has waiting tasks.
    fn insert(&mut self, entry: QueueEntry);

    /// Removes a job that no longer has waiting tasks. Unknown jobs are ignored.
    fn remove(&mut self, serial: TicketSerial);

    /// Returns the job whose task is sent next, or `None` if no job is eligible.
    fn next(&self) -> Option<TicketSerial>;

    /// Records that a task of the job was sent. `work` is its expected run time.
    fn charge(&mut self, serial: TicketSerial, work: Duration);

    /// Sets whether a team has reached its quota. Jobs of blocked teams are skipped.
    fn set_blocked(&mut self, team: &TeamName, blocked: bool);

    /// Returns the work ahead of a job if it were added now.
    fn work_ahead(&self, entry: &QueueEntry) -> WorkAhead;

    /// Returns the number of queued jobs.
    fn len(&self) -> usize;

    /// Returns whether no job is queued.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
