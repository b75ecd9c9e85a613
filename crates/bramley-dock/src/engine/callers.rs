//! Keeps the callers that wait for answers.

use std::rc::Rc;

use bramley_pool::job::{JobName, JobSubmission};
use bramley_pool::relay::JobAnswer;
use tokio::sync::oneshot;

use super::{Engine, WaitingCaller};
use crate::port::PlatformPort;

/// A caller's place; dropping it before the answer tells that the caller has left.
#[derive(Debug)]
pub struct CallerTicket<P: PlatformPort> {
    engine: Rc<Engine<P>>,
    job: JobName,
    number: u64,
    answer: oneshot::Receiver<JobAnswer>,
    answered: bool,
}

impl<P: PlatformPort> CallerTicket<P> {
    /// Waits for the answer; none if another connection of the caller has taken the job over.
    pub async fn answer(&mut self) -> Option<JobAnswer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl<P: PlatformPort> Drop for CallerTicket<P> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.caller_left(&self.job, self.number);
        }
    }
}

impl<P: PlatformPort> Engine<P> {
    /// Hands a caller's job to the relay.
    pub fn submit(self: &Rc<Self>, submission: JobSubmission) -> CallerTicket<P> {
        self.detect_pause();
        let job = submission.work.job.clone();
        let (answer, receiver) = oneshot::channel();
        let number = {
            let mut state = self.state.borrow_mut();
            let number = state.next_caller;
            state.next_caller += 1;
            let caller = WaitingCaller { number, answer };
            if state.callers.insert(job.clone(), caller).is_some() {
                log::info!("event=job_sent_again job={job} outcome=answer_moves_to_new_caller");
            }
            state.relay.accept(submission, self.now());
            number
        };
        self.carry_out();
        CallerTicket {
            engine: Rc::clone(self),
            job,
            number,
            answer: receiver,
            answered: false,
        }
    }

    /// Cancels an open job; returns whether there was one.
    pub fn cancel(self: &Rc<Self>, job: &JobName) -> bool {
        let was_open = self.state.borrow_mut().callers.remove(job).is_some();
        if was_open {
            self.state.borrow_mut().relay.caller_left(job);
            self.carry_out();
        }
        was_open
    }

    /// Tells whether the job is open and whether a task of it was started.
    #[must_use]
    pub fn is_open(&self, job: &JobName) -> bool {
        self.state.borrow().callers.contains_key(job)
    }

    pub(super) fn caller_left(self: &Rc<Self>, job: &JobName, number: u64) {
        let is_current = {
            let mut state = self.state.borrow_mut();
            let is_current = state
                .callers
                .get(job)
                .is_some_and(|caller| caller.number == number);
            if is_current {
                state.callers.remove(job);
                state.relay.caller_left(job);
            }
            is_current
        };
        if is_current {
            log::info!("event=caller_left job={job}");
            self.carry_out();
        }
    }
}
