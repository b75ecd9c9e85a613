//! Tracks callers that wait for an answer to their job.

use std::rc::Rc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_intake::ConnectionHandle;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, RefusalSource, RouteOffer, RouteRefusal};
use bramley_pool::retry::retry_time;
use bramley_pool::shedding::ShedRequest;
use tokio::sync::oneshot;

use super::{Engine, WaitingCaller};
use crate::platform::Platform;

/// Handle of a submitted job. Dropping it before the answer has arrived reports that the caller has
/// disconnected.
#[derive(Debug)]
pub struct PendingJob<P: Platform> {
    engine: Rc<Engine<P>>,
    job: JobName,
    caller_number: u64,
    answer: oneshot::Receiver<JobAnswer>,
    answered: bool,
}

impl<P: Platform> PendingJob<P> {
    /// Waits for the answer. Returns `None` if another connection has submitted the same job again
    /// and receives the answer instead.
    pub async fn answer(&mut self) -> Option<JobAnswer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl<P: Platform> Drop for PendingJob<P> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine
                .caller_disconnected(&self.job, self.caller_number);
        }
    }
}

impl<P: Platform> Engine<P> {
    /// Decides on a request of a route before its body is read. A refusal is logged and counted
    /// here; any other offer is to be passed to [`Engine::submit`].
    #[must_use]
    pub fn offer_early(
        &self,
        job: &str,
        request_id: &str,
        policy: &JobPolicy,
        deadline: UnixTime,
    ) -> RouteOffer {
        self.detect_pause();
        let now = self.now();
        let route = &policy.route;
        let offer = {
            let mut state = self.state.borrow_mut();
            if state.callers.contains_key(job) || state.relay.may_run(job) {
                return RouteOffer::Ordinary;
            }
            if let Some(change) = state.shedder.request_arrived(now) {
                log::warn!("{change}");
            }
            match state.shedder.shed(policy.priority) {
                Some(request) => RouteOffer::Refused(self.shed(job, request)),
                None => state.relay.offer_early(job, route, deadline, now),
            }
        };
        if let RouteOffer::Refused(refusal) = &offer {
            self.metrics.record_early_refusal(refusal.source);
            if self.should_log_refusal(refusal.refusal.answer().reason) {
                log::warn!(
                    "event=job_refused job={job} request={request_id} route={route} {refusal} \
                     body=unread"
                );
            }
        }
        offer
    }

    fn shed(&self, job: &str, request: ShedRequest) -> RouteRefusal {
        let ShedRequest {
            delay,
            pass_permille,
        } = request;
        RouteRefusal {
            refusal: Refusal::Overloaded,
            source: RefusalSource::HostShedding,
            retry_after: retry_time(&self.settings.relay, delay, pass_permille, job),
            pass_permille,
            wait: delay,
            state_age: Duration::ZERO,
        }
    }

    /// Submits a caller's job to the relay, with the offer that was decided before its body was
    /// read.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a job that was read from a retired connection: its caller may have left
    /// during a pause of the process and have sent it to another host since.
    pub fn submit(
        self: &Rc<Self>,
        submission: JobSubmission,
        early_offer: Option<RouteOffer>,
        connection: &ConnectionHandle,
    ) -> Result<PendingJob<P>, Refusal> {
        self.detect_pause();
        let job = submission.work.job.clone();
        if connection.is_retired() {
            let state = self.state.borrow();
            let may_have_run = state.relay.may_run(job.as_str());
            return Err(match may_have_run {
                true => Refusal::Unknown,
                false => Refusal::OutOfDate,
            });
        }
        let (answer, receiver) = oneshot::channel();
        let caller_number = {
            let mut state = self.state.borrow_mut();
            let caller_number = state.next_caller_number;
            state.next_caller_number += 1;
            let caller = WaitingCaller {
                caller_number,
                answer,
            };
            if state.callers.insert(job.clone(), caller).is_some() {
                log::info!("event=job_sent_again job={job} outcome=answer_moves_to_new_caller");
            }
            let now = self.now();
            state.relay.accept_offered(submission, early_offer, now);
            caller_number
        };
        self.process_actions();
        Ok(PendingJob {
            engine: Rc::clone(self),
            job,
            caller_number,
            answer: receiver,
            answered: false,
        })
    }

    /// Returns whether the process has been suspended at or after a time.
    #[must_use]
    pub fn has_paused_since(&self, time: UnixTime) -> bool {
        self.resumed_at.get() >= time
    }

    /// Cancels a job that a caller waits for and returns whether there was one.
    pub fn cancel(self: &Rc<Self>, job: &JobName) -> bool {
        let had_caller = self.state.borrow_mut().callers.remove(job).is_some();
        if had_caller {
            self.state.borrow_mut().relay.caller_disconnected(job);
            self.process_actions();
        }
        had_caller
    }

    /// Returns whether a caller waits for the answer to the job.
    #[must_use]
    pub fn is_open(&self, job: &str) -> bool {
        self.state.borrow().callers.contains_key(job)
    }

    pub(super) fn caller_disconnected(self: &Rc<Self>, job: &JobName, caller_number: u64) {
        let is_current = {
            let mut state = self.state.borrow_mut();
            let is_current = state
                .callers
                .get(job)
                .is_some_and(|caller| caller.caller_number == caller_number);
            if is_current {
                state.callers.remove(job);
                state.relay.caller_disconnected(job);
            }
            is_current
        };
        if is_current {
            log::info!("event=caller_left job={job}");
            self.process_actions();
        }
    }
}
