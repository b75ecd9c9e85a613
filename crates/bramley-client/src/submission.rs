//! One job under one ticket.

use std::sync::Arc;

use bramley_core::errors::{ErrorKind, ExecutionClaim};
use bramley_wire::caller::{FailureReport, JobRequest};
use hyper::body::Bytes;

use crate::client::{ClientCore, to_body};
use crate::clock::RequestDeadline;
use crate::entries::EntryHost;
use crate::errors::ClientError;
use crate::job::{JobAnswer, JobSpec, JobState};
use crate::reply::{CheckedReply, allows_new_ticket, allows_same_ticket, check_reply, stated_wait};
use crate::retry::RetrySchedule;
use crate::tickets::TakenTicket;
use crate::transport::TransportError;

/// Path of submissions.
const JOBS_PATH: &str = "/v1/jobs";

/// How a submission ended without an error.
#[derive(Debug)]
pub(crate) enum SubmissionEnd {
    /// The job is complete.
    Complete(JobAnswer),
    /// No task ran under this ticket, and the work may be submitted under another.
    NewTicket,
}

/// What follows from one attempt.
#[derive(Debug)]
enum AttemptEnd {
    /// The submission is settled.
    Settled(Result<SubmissionEnd, ClientError>),
    /// The same ticket is to be submitted again.
    Resubmit(ResubmitCause),
    /// Another ticket may be taken after the stated time.
    NewTicket(FailureReport),
}

/// Why the same ticket is to be submitted again.
#[derive(Debug)]
enum ResubmitCause {
    /// The host could not be reached.
    NotSent(String),
    /// The answer was lost or is no answer of an entry host.
    AnswerLost(String),
    /// The job still runs.
    Running,
    /// The entry host advises it.
    Advised(FailureReport),
}

/// One job under one ticket. Its body never changes.
#[derive(Debug)]
pub(crate) struct JobSubmission<'a> {
    core: &'a ClientCore,
    ticket: Arc<str>,
    issuer: Arc<EntryHost>,
    tasks: usize,
    body: Bytes,
}

impl<'a> JobSubmission<'a> {
    /// Creates a submission that was not sent yet.
    ///
    /// # Errors
    ///
    /// Fails if the job can't be serialised.
    pub(crate) fn new(
        core: &'a ClientCore,
        job: &JobSpec,
        taken: TakenTicket,
        deadline: RequestDeadline,
    ) -> Result<Self, ClientError> {
        let request = JobRequest {
            ticket: taken.ticket.to_string(),
            key: String::new(),
            team: core.options.team.to_string(),
            class: job.class.to_string(),
            deadline_unix_ms: deadline.unix_ms,
            idempotent: job.idempotent,
            tasks: job.tasks.clone(),
        };
        let body = to_body(&request).map_err(|reason| ClientError::NotSubmitted { reason })?;
        Ok(Self {
            core,
            ticket: taken.ticket,
            issuer: taken.issuer,
            tasks: job.tasks.len(),
            body,
        })
    }

    /// Submits the job until it is settled or no retry fits before the deadline.
    ///
    /// # Errors
    ///
    /// Returns the entry host's final failure, a crossed answer or the lack of an answer.
    pub(crate) async fn run(
        &self,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionEnd, ClientError> {
        let mut host = Arc::clone(&self.issuer);
        let mut lost_answers = 0_u32;
        let mut maybe_sent = false;
        loop {
            let cause = match self.attempt(&host, schedule).await {
                AttemptEnd::Settled(settled) => return settled,
                AttemptEnd::NewTicket(report) => return self.end_ticket(report, schedule).await,
                AttemptEnd::Resubmit(cause) => cause,
            };
            maybe_sent |= !matches!(cause, ResubmitCause::NotSent(_));
            if !maybe_sent {
                return self.give_up_unsent(cause, schedule).await;
            }
            lost_answers += u32::from(matches!(cause, ResubmitCause::AnswerLost(_)));
            if !schedule.wait(cause.retry_after_ms()).await {
                return Err(self.unanswered(cause));
            }
            if cause.wants_another_host(lost_answers) {
                host = self.core.table.next_host().unwrap_or(host);
            }
        }
    }

    async fn attempt(&self, host: &EntryHost, schedule: &RetrySchedule) -> AttemptEnd {
        let attempt_end = schedule.attempt_end(self.core.options.attempt_timeout_ms);
        let body = self.body.clone();
        let answer = match self.core.call(host, JOBS_PATH, body, attempt_end).await {
            Ok(answer) => answer,
            Err(TransportError::NotSent(reason)) => {
                return AttemptEnd::Resubmit(ResubmitCause::NotSent(reason));
            }
            Err(TransportError::AnswerLost(reason)) => {
                return AttemptEnd::Resubmit(ResubmitCause::AnswerLost(reason));
            }
        };
        match check_reply(&answer, &self.ticket, Some(self.tasks)) {
            CheckedReply::State(state) => self.judge(state),
            CheckedReply::Crossed => AttemptEnd::Settled(Err(ClientError::CrossedAnswer {
                ticket: Arc::clone(&self.ticket),
            })),
            CheckedReply::Unreadable(reason) => {
                AttemptEnd::Resubmit(ResubmitCause::AnswerLost(reason))
            }
        }
    }

    fn judge(&self, state: JobState) -> AttemptEnd {
        match state {
            JobState::Running => AttemptEnd::Resubmit(ResubmitCause::Running),
            JobState::Complete(answer) => AttemptEnd::Settled(Ok(SubmissionEnd::Complete(answer))),
            JobState::Failed(report) if allows_same_ticket(&report) => {
                AttemptEnd::Resubmit(ResubmitCause::Advised(report))
            }
            JobState::Failed(report) if allows_new_ticket(&report) => AttemptEnd::NewTicket(report),
            JobState::Failed(report) => AttemptEnd::Settled(Err(self.failed(report))),
        }
    }

    /// Gives up a ticket that nothing was submitted under, as its issuer can't be reached.
    async fn give_up_unsent(
        &self,
        cause: ResubmitCause,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionEnd, ClientError> {
        if self.core.wait_for_host(schedule, None).await {
            return Ok(SubmissionEnd::NewTicket);
        }
        Err(ClientError::NotSubmitted {
            reason: cause.reason(),
        })
    }

    /// Gives up a ticket under which no task ran, or reports the failure if it is too late for
    /// another. The issuer is passed over for the time that it stated.
    async fn end_ticket(
        &self,
        report: FailureReport,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionEnd, ClientError> {
        let retry_after_ms = stated_wait(&report);
        let avoid_ms = retry_after_ms.unwrap_or(self.core.options.avoid_ms);
        self.issuer.avoid(avoid_ms);
        if self.core.wait_for_host(schedule, retry_after_ms).await {
            return Ok(SubmissionEnd::NewTicket);
        }
        Err(self.failed(report))
    }

    fn failed(&self, report: FailureReport) -> ClientError {
        if report.code == ErrorKind::OwnerGone.answer_row().code {
            self.issuer.forget_tickets();
        }
        ClientError::Failed {
            ticket: Arc::clone(&self.ticket),
            report: Box::new(report),
        }
    }

    fn unanswered(&self, cause: ResubmitCause) -> ClientError {
        if let ResubmitCause::Advised(report) = cause {
            return self.failed(report);
        }
        ClientError::Undetermined {
            ticket: Arc::clone(&self.ticket),
            reason: cause.reason(),
        }
    }
}

impl ResubmitCause {
    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Advised(report) => stated_wait(report),
            Self::NotSent(_) | Self::AnswerLost(_) | Self::Running => None,
        }
    }

    fn reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::AnswerLost(reason) => reason,
            Self::Running => "the job still runs".to_owned(),
            Self::Advised(report) => format!("{}: {}", report.code, report.message),
        }
    }

    /// Says whether another host may answer better than the one that was asked.
    ///
    /// After the first lost answer the same host is asked on a fresh connection, because it is
    /// likely the one that runs the job.
    fn wants_another_host(&self, lost_answers: u32) -> bool {
        match self {
            Self::NotSent(_) => true,
            Self::AnswerLost(_) => lost_answers > 1,
            Self::Running => false,
            Self::Advised(report) => report.execution == ExecutionClaim::Undetermined.as_str(),
        }
    }
}
