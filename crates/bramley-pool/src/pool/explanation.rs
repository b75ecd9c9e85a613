//! What the pool would do with a submission now, and why.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::{Pool, PoolAction};
use crate::decision::Decision;
use crate::explanation::{PlannedStart, PoolAnswer, PoolExplanation, unnamed_submission};
use crate::job::{JobName, JobSubmission};
use crate::message::{JobOutcome, PoolMessage, RelayId, RelayMessage};
use crate::refusal::Refusal;

/// Identifies the relay of an explained submission; real relays have random identifiers.
const EXPLAINING_RELAY: RelayId = RelayId(u64::MAX);

impl Pool {
    /// Explains what the pool would do with a submission now. It copies the pool's state, which is
    /// meant for single requests of operators.
    #[must_use]
    pub fn explain(&self, submission: &JobSubmission, now: UnixTime) -> PoolExplanation {
        let submission = unnamed_submission(submission, now);
        let name = submission.work.job.clone();
        let expected = if submission.is_valid() {
            self.expected_run_time(&submission.policy, &submission.work)
        } else {
            submission.work.declared
        };
        let mut explanation = PoolExplanation {
            answer: PoolAnswer::Refused(Refusal::NoPool),
            wait: Duration::ZERO,
            slack: Duration::ZERO,
            expected,
            starts: Vec::new(),
            load: self.load(now),
            list_age: self.list_age(now),
        };
        let mut pool = self.clone();
        drop(pool.take_actions());
        let message = RelayMessage::Submit(Box::new(submission));
        pool.handle_relay_message(EXPLAINING_RELAY, message, now);
        for action in pool.take_actions() {
            match action {
                PoolAction::LogDecision(decision) => {
                    pool.explain_decision(&name, decision, &mut explanation, now);
                }
                PoolAction::Send(
                    relay,
                    PoolMessage::Ended {
                        job,
                        outcome: JobOutcome::Refused(refusal),
                        wait,
                    },
                ) if relay == EXPLAINING_RELAY && job == name => {
                    explanation.answer = PoolAnswer::Refused(refusal);
                    explanation.wait = wait;
                }
                PoolAction::Send(..)
                | PoolAction::Broadcast(_)
                | PoolAction::ReadEntries
                | PoolAction::SendToPool(..)
                | PoolAction::Publish(_)
                | PoolAction::Call(_)
                | PoolAction::LostLeadership => {}
            }
        }
        explanation
    }

    /// Adds what a decision on the explained job tells. `self` is the copy that took it.
    fn explain_decision(
        &self,
        name: &JobName,
        decision: Decision,
        explanation: &mut PoolExplanation,
        now: UnixTime,
    ) {
        match decision {
            Decision::Admitted {
                job,
                queue_class,
                wait,
                slack,
                ..
            } if job == *name => {
                explanation.answer = PoolAnswer::Admitted(queue_class);
                explanation.wait = wait;
                explanation.slack = slack;
            }
            Decision::Placed {
                task,
                number,
                worker,
                free_cpu_milli,
                ..
            } if task.job == *name => {
                let Some(index) = self.by_name.get(&worker) else {
                    return;
                };
                let record = self.worker(*index);
                // The slowdown is that beside the runs that were there before.
                let mut earlier = record.clone();
                if let Some(position) = earlier.find_run(&task, number) {
                    earlier.runs.truncate(position);
                }
                let stretch = self
                    .jobs
                    .get(name)
                    .map_or(1.0, |job| self.neighbour_stretch(&earlier, job, now));
                explanation.starts.push(PlannedStart {
                    index: task.index,
                    worker,
                    relative_run_time: record.relative_run_time,
                    neighbour_stretch: stretch,
                    free_cpu_milli,
                });
            }
            _ => {}
        }
    }
}
