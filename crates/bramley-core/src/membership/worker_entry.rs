//! State of one worker: as listed by the platform and from the worker's own leave notice.

use std::time::Duration;

use super::record::WorkerNews;
use super::settings::MembershipSettings;
use crate::names::WorkerName;
use crate::units::UnixTime;

/// Time within which repeated leave notices of one worker count as one; a later notice renews the
/// hold time.
const NOTICE_DEDUP_WINDOW: Duration = Duration::from_secs(5);

/// A leave notice that a worker sent itself.
#[derive(Clone, Copy, Debug)]
struct LeaveNotice {
    /// Time of the notice, which distinguishes a new notice from an ended one.
    given: UnixTime,
    /// Latest list revision known to the host that received the notice; only a newer list may end
    /// the notice.
    base_revision: u64,
    /// Time from which a newer list may end the notice.
    hold_until: UnixTime,
    /// Whether a newer list showed the worker as leaving, so that the next list that shows it as
    /// live ends the notice.
    confirmed: bool,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    /// Latest list revision applied to the worker.
    revision: u64,
    /// Whether that list showed the worker as leaving.
    pub(super) listed_leaving: bool,
    leave_notice: Option<LeaveNotice>,
    /// Time of the latest notice that has ended; peers may still send that notice.
    pub(super) ended_notice: UnixTime,
    /// Time at which the entry of a leaving worker is removed.
    pub(super) expires_at: UnixTime,
    /// Number of messages that still have to carry the latest change.
    pub(super) sends_left: u32,
}

impl WorkerEntry {
    /// Creates an entry for a worker without any information yet.
    pub(super) const fn new(expires_at: UnixTime) -> Self {
        Self {
            revision: 0,
            listed_leaving: false,
            leave_notice: None,
            ended_notice: UnixTime::from_micros(0),
            expires_at,
            sends_left: 0,
        }
    }

    /// Returns whether the worker is leaving.
    pub(super) const fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leave_notice.is_some()
    }

    /// Applies the state from a list of the given revision; an older revision is ignored.
    pub(super) fn apply_listed(
        &mut self,
        leaving: bool,
        revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        if revision < self.revision {
            return;
        }
        // Hosts that read the same revision disagree only because of a fault; leaving is the safe
        // state.
        let same_revision = revision == self.revision;
        self.listed_leaving = leaving || (same_revision && self.listed_leaving);
        self.revision = revision;
        self.resolve_notice(leaving, revision, settings, now);
    }

    /// Applies a leave notice from the worker and returns whether it is new.
    pub(super) fn apply_notice(
        &mut self,
        given: UnixTime,
        base_revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> bool {
        if let Some(notice) = &mut self.leave_notice
            && given <= notice.given.after(NOTICE_DEDUP_WINDOW)
        {
            notice.given = notice.given.max(given);
            notice.base_revision = notice.base_revision.max(base_revision);
            return false;
        }
        let hold = Duration::from_millis(settings.leave_notice_hold_ms);
        self.leave_notice = Some(LeaveNotice {
            given,
            base_revision,
            hold_until: now.after(hold),
            confirmed: false,
        });
        true
    }

    /// Confirms or ends the leave notice according to a list of the given revision.
    fn resolve_notice(
        &mut self,
        leaving: bool,
        revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let Some(notice) = &mut self.leave_notice else {
            return;
        };
        if revision <= notice.base_revision {
            return;
        }
        if leaving {
            notice.confirmed = true;
            return;
        }
        let hold_expired = notice.hold_until <= now || settings.faults.accept_stale_list;
        if notice.confirmed || hold_expired {
            self.ended_notice = self.ended_notice.max(notice.given);
            self.leave_notice = None;
        }
    }

    /// Appends the updates to send about the worker: its leave notice, the listed state, or both.
    pub(super) fn push_updates(&self, worker: &WorkerName, updates: &mut Vec<WorkerNews>) {
        if let Some(notice) = self.leave_notice {
            updates.push(WorkerNews {
                worker: worker.clone(),
                leaving: true,
                revision: notice.base_revision,
                given: notice.given,
            });
        }
        let is_listed = self.revision > 0;
        if is_listed && (self.listed_leaving || self.leave_notice.is_none()) {
            updates.push(WorkerNews {
                worker: worker.clone(),
                leaving: self.listed_leaving,
                revision: self.revision,
                given: UnixTime::default(),
            });
        }
    }
}
