//! Callers that may have left while the process was paused.
//!
//! A host that stands still acknowledges nothing. The end of a connection that a caller has sent
//! meanwhile is retransmitted with doubling delays and can arrive as late after the pause as the pause
//! was long. Nothing that the host could ask for sooner tells whether the caller still waits, and the
//! caller sends its job to another host a fixed time after it has left. So a job that could run beside
//! its second submission before the end of the connection is read is not submitted any more, and it is
//! cancelled in time where it runs. Its caller is answered and can send it again at once.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::{JobAnswer, JobState, Relay, RelayAction, RelayJob};
use crate::decision::Decision;
use crate::job::JobName;
use crate::message::{JobOutcome, PoolMessage};
use crate::refusal::Refusal;
use crate::settings::RelaySettings;

/// Pauses of the process, of which each began before all ends of connections of those before it had
/// arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseSeries {
    /// Time at which the process last ran before the first pause.
    began_at: UnixTime,
    /// Time by which all ends of connections have arrived that were sent during the pauses.
    heard_by: UnixTime,
}

impl PauseSeries {
    /// Moves the times after time that the process's clock did not count.
    pub(super) fn clock_skipped(&mut self, span: Duration) {
        self.began_at = self.began_at.before(span);
        self.heard_by = self.heard_by.before(span);
    }
}

impl RelaySettings {
    /// Returns the time by which the end of a connection has arrived that was sent at `sent_at` or
    /// later to a host that has run again since `ended_at`.
    fn heard_by(&self, sent_at: UnixTime, ended_at: UnixTime) -> UnixTime {
        ended_at.after(self.longest_retransmission(ended_at.since(sent_at)))
    }

    /// Returns the longest time from the end of a pause until a packet is retransmitted that was first
    /// sent during it. The transmission before, after `2^n - 1` first delays, has just missed the end.
    fn longest_retransmission(&self, pause: Duration) -> Duration {
        let (shortest, longest) = self.first_retransmission;
        let mut wait = longest;
        let mut doublings = 1_u32;
        loop {
            let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
            let first = (pause / (factor - 1)).min(longest);
            if first < shortest {
                return wait;
            }
            wait = wait.max(first.saturating_mul(factor));
            doublings += 1;
        }
    }

    /// Returns the time by which the runs of a caller who left at `left_at` are to be stopped, so that
    /// they have ended before it sends its job to another host.
    fn stop_by(&self, left_at: UnixTime) -> UnixTime {
        let usable = self.caller_resend_delay.saturating_sub(self.stop_allowance);
        left_at.after(usable)
    }
}

impl Relay {
    /// Handles that the process has run again since `now` after a pause. Submissions are delayed, so
    /// that what arrived during the pause is read first, and callers that may have left unheard are
    /// marked.
    ///
    /// Returns whether requests that were sent during the pause may arrive so late that their callers
    /// can have sent them to another host. The connections of callers are to be retired then, before the
    /// next job is accepted.
    pub fn process_resumed(&mut self, pause: Duration, now: UnixTime) -> bool {
        self.sending_paused_until = now.after(self.settings.resume_wait);
        self.giving_up_from = now.after(self.settings.answer_read_wait);
        let began_at = now.before(pause);
        let earlier = self.pauses.filter(|series| began_at < series.heard_by);
        let began_at = earlier.map_or(began_at, |series| series.began_at);
        self.pauses = Some(PauseSeries {
            began_at,
            heard_by: self.settings.heard_by(began_at, now),
        });
        for job in self.jobs.values_mut() {
            let left_at = began_at.max(job.caller_seen_at);
            let stop_by = self.settings.stop_by(left_at);
            if self.settings.heard_by(left_at, now) > stop_by {
                job.doubted_from.get_or_insert(left_at);
            }
        }
        let sent_at = began_at.max(self.callers_connected_since);
        let retires_connections =
            self.settings.heard_by(sent_at, now) > self.settings.stop_by(sent_at);
        if retires_connections {
            self.callers_connected_since = now;
        }
        retires_connections
    }

    /// Returns the earliest time at which a request can have been sent that is read now. What was sent
    /// during a pause is retransmitted as late as the end of a connection.
    pub(super) fn earliest_sending(&self, now: UnixTime) -> UnixTime {
        match &self.pauses {
            Some(series) if now < series.heard_by => {
                series.began_at.max(self.callers_connected_since)
            }
            _ => now,
        }
    }

    /// Returns whether a caller of the job may have left unheard and sent it to another host.
    pub(super) fn is_caller_doubted(&self, name: &JobName) -> bool {
        let job = self.jobs.get(name);
        job.is_some_and(|job| job.doubted_from.is_some())
    }

    /// Gives up the jobs of doubted callers that would have to be submitted again, and others in time
    /// before the caller can have sent them elsewhere.
    pub(super) fn give_up_doubted_jobs(&mut self, now: UnixTime) {
        let Some(series) = self.pauses else {
            return;
        };
        if now < self.giving_up_from {
            return;
        }
        let settings = &self.settings;
        let is_due = |job: &RelayJob| {
            let stop_by = job.doubted_from.map(|left_at| settings.stop_by(left_at));
            stop_by.is_some_and(|stop_by| stop_by <= now || !job.is_all_at_pools())
        };
        let due = self.jobs.iter().filter(|(_, job)| is_due(job));
        let due: Vec<JobName> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let is_held = self.jobs.get(&name).is_some_and(RelayJob::is_held);
            let refusal = match is_held {
                true => Refusal::NoPool,
                false => Refusal::Unknown,
            };
            self.give_up_doubted(&name, refusal, now);
        }
        if series.heard_by <= now {
            self.pauses = None;
        }
    }

    /// Gives up a job of a doubted caller that a pool has ended or released tasks of.
    pub(super) fn give_up_moved_job(
        &mut self,
        name: &JobName,
        message: &PoolMessage,
        now: UnixTime,
    ) {
        let may_have_run = self
            .jobs
            .get(name)
            .is_some_and(|job| job.started || job.submission.resumed);
        let refusal = match message {
            PoolMessage::Ended {
                outcome: JobOutcome::Refused(refusal),
                ..
            } if !may_have_run => *refusal,
            _ => Refusal::Unknown,
        };
        self.give_up_doubted(name, refusal, now);
    }

    /// Cancels a job of a doubted caller and answers the caller.
    fn give_up_doubted(&mut self, name: &JobName, refusal: Refusal, now: UnixTime) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        if refusal == Refusal::Unknown {
            self.remember_started(name);
        }
        self.cancel_elsewhere(name, &job, None);
        let text = format!(
            "event=job_given_up job={name} reason=caller_doubted caller_unheard_ms={} answer={}",
            now.since(job.doubted_from.unwrap_or(now)).as_millis(),
            refusal.answer().reason,
        );
        let decision = Decision::Text {
            job: Some(name.as_str().into()),
            text,
        };
        self.actions.push(RelayAction::LogDecision(decision));
        let answer = JobAnswer::Refused {
            refusal,
            retry_after: self.settings.min_retry_after,
        };
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }
}

impl RelayJob {
    /// Returns whether connected pools hold all unfinished tasks of the job.
    fn is_all_at_pools(&self) -> bool {
        let is_rest_held = match self.state {
            JobState::AtPool(_) | JobState::Elsewhere => true,
            JobState::Held | JobState::InDoubt { .. } => false,
        };
        is_rest_held && !self.has_part_in_doubt()
    }

    /// Moves the times at which the caller was seen and until which it waits, after time that the
    /// process's clock did not count.
    pub(super) fn clock_skipped(&mut self, span: Duration) {
        self.caller_seen_at = self.caller_seen_at.before(span);
        self.doubted_from = self.doubted_from.map(|left_at| left_at.before(span));
        let submission = &mut self.submission;
        submission.arrived_at = submission.arrived_at.before(span);
        submission.deadline = submission.deadline.before(span);
    }
}
