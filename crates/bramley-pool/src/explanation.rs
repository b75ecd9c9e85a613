//! Where a submission would go now, and why.
//!
//! An explanation is taken from a copy of the state machine that handles the submission as it would
//! a real one. So it follows the same rules, and it sends and changes nothing.

use std::time::Duration;

use bramley_core::names::{DomainName, WorkerName};
use bramley_core::units::UnixTime;

use crate::job::{JobName, JobSubmission, QueueClass, RouteName};
use crate::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage};
use crate::refusal::Refusal;
use crate::relay::{JobAnswer, Relay, RelayAction};

/// Largest number of offers of one job that are explained: each of up to 16 pools once in time and
/// once late.
const MAX_OFFERS: usize = 32;

/// Why a relay would offer a job to a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferReason {
    /// It is the pool of the relay's own failure domain.
    Local,
    /// It has reported free CPU for the job.
    FreeCpu,
    /// No pool serves the job in time, and this one may serve it late.
    Late,
}

impl OfferReason {
    /// Returns the label for output.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::FreeCpu => "free_cpu",
            Self::Late => "late",
        }
    }
}

/// Offer of a job to a pool, made if the pools of all earlier offers have refused it for lack of
/// capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOffer {
    /// Failure domain of the pool.
    pub domain: DomainName,
    /// Why the pool is asked.
    pub reason: OfferReason,
}

/// What happens to a job after the last planned offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferEnding {
    /// The caller is refused.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The relay holds the job, because its process has just resumed from a pause.
    Held,
    /// More offers would follow.
    MoreOffers,
}

/// A pool as a relay knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolState {
    /// Failure domain of the pool.
    pub domain: DomainName,
    /// Whether it is the relay's own failure domain.
    pub is_local: bool,
    /// Whether the pool is connected; others are not asked.
    pub is_connected: bool,
    /// Load that it has reported.
    pub load: PoolLoad,
}

/// Where a relay would submit a job now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayExplanation {
    /// Route of the job.
    pub route: RouteName,
    /// Known pools in order of their names.
    pub pools: Vec<PoolState>,
    /// Offers in order.
    pub offers: Vec<PlannedOffer>,
    /// What happens if all pools refuse the job.
    pub ending: OfferEnding,
}

/// Answer of a pool to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolAnswer {
    /// The job is admitted.
    Admitted(QueueClass),
    /// The job is refused.
    Refused(Refusal),
}

/// Start of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedStart {
    /// Index of the task.
    pub index: u32,
    /// Name of the worker.
    pub worker: WorkerName,
    /// Expected run time on the worker, relative to that on an average one.
    pub relative_run_time: f64,
    /// Factor by which the task and its neighbours there are expected to slow each other down; 1
    /// if none interferes.
    pub neighbour_stretch: f64,
    /// CPU left free on the worker, in thousandths of a core.
    pub free_cpu_milli: u32,
}

/// What a pool would do with a submission now.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolExplanation {
    /// Answer to the submission.
    pub answer: PoolAnswer,
    /// Expected wait of the job, or of a similar one if it is refused.
    pub wait: Duration,
    /// Time until the latest start that meets the latency objective.
    pub slack: Duration,
    /// Expected run time of a task.
    pub expected: Duration,
    /// Tasks that would start at once; the others wait.
    pub starts: Vec<PlannedStart>,
    /// Load of the pool before the submission.
    pub load: PoolLoad,
    /// Time since the list of workers was read.
    pub list_age: Duration,
}

/// Returns a submission of the same work under a name that no open job has, as a caller would
/// submit it for the first time now.
pub(crate) fn unnamed_submission(submission: &JobSubmission, now: UnixTime) -> JobSubmission {
    let left = submission.deadline.since(submission.arrived_at);
    let mut submission = submission.clone();
    submission.work.job = JobName::new(format!("explanation-{}", now.as_micros()));
    submission.arrived_at = now;
    submission.deadline = now.after(left);
    submission
}

impl Relay {
    /// Explains where the relay would submit a job now, and to which other pools if that one
    /// refuses it.
    #[must_use]
    pub fn explain(&self, submission: &JobSubmission, now: UnixTime) -> RelayExplanation {
        let route = submission.policy.route.clone();
        let pools = self.pool_states();
        let submission = unnamed_submission(submission, now);
        let name = submission.work.job.clone();
        let mut relay = self.clone();
        drop(relay.take_actions());
        relay.accept(submission, now);
        let mut offers = Vec::new();
        let mut ending = OfferEnding::Held;
        while let Some(next) = next_step(&mut relay, &name) {
            let (domain, accepts_late) = match next {
                NextStep::Offer(domain, accepts_late) => (domain, accepts_late),
                NextStep::Ending(answer) => {
                    ending = answer;
                    break;
                }
            };
            if offers.len() == MAX_OFFERS {
                ending = OfferEnding::MoreOffers;
                break;
            }
            let is_local = pools
                .iter()
                .any(|pool| pool.is_local && pool.domain == domain);
            let reason = if accepts_late {
                OfferReason::Late
            } else if is_local {
                OfferReason::Local
            } else {
                OfferReason::FreeCpu
            };
            offers.push(PlannedOffer {
                domain: domain.clone(),
                reason,
            });
            let message = PoolMessage::Ended {
                job: name.clone(),
                outcome: JobOutcome::Refused(Refusal::Overloaded),
                wait: Duration::ZERO,
            };
            let Some(connection) = relay.connection(&domain) else {
                break;
            };
            relay.handle_pool_message(&connection, message, now);
        }
        RelayExplanation {
            route,
            pools,
            offers,
            ending,
        }
    }
}

/// Next thing that a relay does with a job.
#[derive(Clone, Debug)]
enum NextStep {
    /// Submits it to a pool; the flag tells whether it may be served late.
    Offer(DomainName, bool),
    Ending(OfferEnding),
}

/// Takes the relay's next step with a job from its actions; `None` if it does nothing now.
fn next_step(relay: &mut Relay, name: &JobName) -> Option<NextStep> {
    for action in relay.take_actions() {
        match action {
            RelayAction::Send(domain, RelayMessage::Submit(submission))
                if submission.work.job == *name =>
            {
                return Some(NextStep::Offer(domain, submission.accepts_late));
            }
            RelayAction::Answer(
                job,
                JobAnswer::Refused {
                    refusal,
                    retry_after,
                },
            ) if job == *name => {
                return Some(NextStep::Ending(OfferEnding::Refused {
                    refusal,
                    retry_after,
                }));
            }
            RelayAction::Send(..) | RelayAction::Answer(..) | RelayAction::LogDecision(_) => {}
        }
    }
    None
}
