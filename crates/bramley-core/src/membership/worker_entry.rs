//! What is known about one worker: its listed state and the sign that it gave itself.

use std::time::Duration;

use super::record::WorkerNews;
use super::settings::MembershipSettings;
use crate::names::WorkerName;
use crate::units::UnixTime;

/// Span within which the own signs of one worker count as one; a later one renews the hold.
const SAME_SIGN_SPAN: Duration = Duration::from_secs(5);

/// The sign that a worker gave itself.
#[derive(Clone, Copy, Debug)]
struct OwnSign {
    /// Time at which the worker gave the sign; it tells a new sign from an ended one.
    given: UnixTime,
    /// Newest list revision known where the sign was given; only a newer list may end it.
    base_revision: u64,
    /// Time from which a newer list may end the sign.
    hold_until: UnixTime,
    /// Whether a newer list showed the worker leaving, so that the next change back ends the sign.
    confirmed: bool,
}

/// What is known about one worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    /// Newest list revision that showed the worker.
    revision: u64,
    /// Whether that list showed the worker leaving.
    pub(super) listed_leaving: bool,
    own_sign: Option<OwnSign>,
    /// Newest own sign that has ended; siblings may still pass it on.
    pub(super) ended_sign: UnixTime,
    /// Time at which a leaving worker is forgotten.
    pub(super) forget_at: UnixTime,
    /// Number of messages that still carry the newest change.
    pub(super) sends_left: u32,
}

impl WorkerEntry {
    /// Makes the entry of a worker that nothing is known about yet.
    pub(super) const fn new(forget_at: UnixTime) -> Self {
        Self {
            revision: 0,
            listed_leaving: false,
            own_sign: None,
            ended_sign: UnixTime::from_micros(0),
            forget_at,
            sends_left: 0,
        }
    }

    /// Tells whether the worker is leaving.
    pub(super) const fn is_leaving(&self) -> bool {
        self.listed_leaving || self.own_sign.is_some()
    }

    /// Takes in what a list of the given revision shows; an older one changes nothing.
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
        // Two hosts may read one revision differently only by a fault; leaving is safe.
        let same_revision = revision == self.revision;
        self.listed_leaving = leaving || (same_revision && self.listed_leaving);
        self.revision = revision;
        self.compare_own_sign(leaving, revision, settings, now);
    }

    /// Takes in a sign that the worker gave itself, and tells whether it is a new one.
    pub(super) fn apply_own_sign(
        &mut self,
        given: UnixTime,
        base_revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> bool {
        if let Some(sign) = &mut self.own_sign
            && given <= sign.given.after(SAME_SIGN_SPAN)
        {
            sign.given = sign.given.max(given);
            sign.base_revision = sign.base_revision.max(base_revision);
            return false;
        }
        let hold = Duration::from_millis(settings.worker_sign_hold_ms);
        self.own_sign = Some(OwnSign {
            given,
            base_revision,
            hold_until: now.after(hold),
            confirmed: false,
        });
        true
    }

    /// Confirms or ends the worker's own sign by what a list of the given revision shows.
    fn compare_own_sign(
        &mut self,
        leaving: bool,
        revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let Some(sign) = &mut self.own_sign else {
            return;
        };
        if revision <= sign.base_revision {
            return;
        }
        if leaving {
            sign.confirmed = true;
            return;
        }
        let hold_passed = sign.hold_until <= now || settings.faults.obey_lagging_list;
        if sign.confirmed || hold_passed {
            self.ended_sign = self.ended_sign.max(sign.given);
            self.own_sign = None;
        }
    }

    /// Adds what a message tells about the worker: its own sign, the newest listed state, or both.
    pub(super) fn push_news(&self, worker: &WorkerName, news: &mut Vec<WorkerNews>) {
        if let Some(sign) = self.own_sign {
            news.push(WorkerNews {
                worker: worker.clone(),
                leaving: true,
                revision: sign.base_revision,
                given: sign.given,
            });
        }
        let is_listed = self.revision > 0;
        if is_listed && (self.listed_leaving || self.own_sign.is_none()) {
            news.push(WorkerNews {
                worker: worker.clone(),
                leaving: self.listed_leaving,
                revision: self.revision,
                given: UnixTime::default(),
            });
        }
    }
}
