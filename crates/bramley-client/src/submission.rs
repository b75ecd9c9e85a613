//! Submission of one job under one ticket.

use std::sync::Arc;

use bramley_core::errors::{ErrorKind, ExecutionStatus};
use bramley_wire::caller::{FailureReport, JobRequest};
use hyper::body::Bytes;

use crate::client::{ClientCore, to_body};
use crate::clock::RequestDeadline;
use crate::entry_hosts::EntryHost;
use crate::errors::ClientError;
use crate::job::{JobAnswer, JobSpec, JobState};
use crate::reply::{
    CheckedReply, allows_new_ticket, allows_same_ticket, check_reply, requested_delay_ms,
};
use crate::retry::RetrySchedule;
use crate::tickets::IssuedTicket;
use crate::transport::TransportError;

/// Request path for submitting a job.
const JOBS_PATH: &str = "/v1/jobs";

/// Result of a submission that ended without an error.
#[derive(Debug)]
pub(crate) enum SubmissionOutcome {
    /// The job completed.
    Complete(JobAnswer),
    /// No task ran under this ticket, so the job may be submitted under a new one.
    NewTicket,
}

/// Result of one attempt to submit a job.
#[derive(Debug)]
enum AttemptOutcome {
    /// The submission has its final result.
    Finished(Result<SubmissionOutcome, ClientError>),
    /// The same ticket has to be submitted again.
    Resubmit(ResubmitCause),
    /// The job may be submitted under a new ticket after the delay in the report.
    NewTicket(FailureReport),
}

/// Reason for submitting the same ticket again.
#[derive(Debug)]
enum ResubmitCause {
    /// The host could not be reached.
    NotSent(String),
    /// The response was lost, or it is not a valid entry host reply.
    ResponseLost(String),
    /// The job is still running.
    Running,
    /// The entry host reported a failure and advised to retry with the same ticket.
    Advised(FailureReport),
}

/// Submission of one job under one ticket. All attempts send the same body.
#[derive(Debug)]
pub(crate) struct JobSubmission<'a> {
    core: &'a ClientCore,
    ticket: Arc<str>,
    issuer: Arc<EntryHost>,
    task_count: usize,
    body: Bytes,
}

impl<'a> JobSubmission<'a> {
    /// Creates a submission and serialises its body.
    ///
    /// # Errors
    ///
    /// Fails if the job can't be serialised.
    pub(crate) fn new(
        core: &'a ClientCore,
        job: &JobSpec,
        issued: IssuedTicket,
        deadline: RequestDeadline,
    ) -> Result<Self, ClientError> {
        let request = JobRequest {
            ticket: issued.ticket.to_string(),
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
            ticket: issued.ticket,
            issuer: issued.issuer,
            task_count: job.tasks.len(),
            body,
        })
    }

    /// Submits the job, with retries, until it has a final result or no retry fits before the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Fails if the entry host reports a final failure, if a response belongs to another request, or
    /// if no final response arrived in time.
    pub(crate) async fn run(
        &self,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionOutcome, ClientError> {
        let mut host = Arc::clone(&self.issuer);
        let mut lost_responses = 0_u32;
        let mut maybe_sent = false;
        loop {
            let cause = match self.attempt(&host, schedule).await {
                AttemptOutcome::Finished(result) => return result,
                AttemptOutcome::NewTicket(report) => {
                    return self.abandon_ticket(report, schedule).await;
                }
                AttemptOutcome::Resubmit(cause) => cause,
            };
            maybe_sent |= !matches!(cause, ResubmitCause::NotSent(_));
            if !maybe_sent {
                return self.abandon_unsent_ticket(cause, schedule).await;
            }
            lost_responses += u32::from(matches!(cause, ResubmitCause::ResponseLost(_)));
            if !schedule.wait(cause.retry_after_ms()).await {
                return Err(self.no_response_error(cause));
            }
            if cause.should_switch_host(lost_responses) {
                host = self.core.hosts.next_host().unwrap_or(host);
            }
        }
    }

    async fn attempt(&self, host: &EntryHost, schedule: &RetrySchedule) -> AttemptOutcome {
        let attempt_deadline = schedule.attempt_deadline(self.core.options.attempt_timeout_ms);
        let body = self.body.clone();
        let response = match self
            .core
            .send_request(host, JOBS_PATH, body, attempt_deadline)
            .await
        {
            Ok(response) => response,
            Err(TransportError::NotSent(reason)) => {
                return AttemptOutcome::Resubmit(ResubmitCause::NotSent(reason));
            }
            Err(TransportError::ResponseLost(reason)) => {
                return AttemptOutcome::Resubmit(ResubmitCause::ResponseLost(reason));
            }
        };
        match check_reply(&response, &self.ticket, Some(self.task_count)) {
            CheckedReply::State(state) => self.classify_state(state),
            CheckedReply::Mismatched => {
                AttemptOutcome::Finished(Err(ClientError::MismatchedAnswer {
                    ticket: Arc::clone(&self.ticket),
                }))
            }
            CheckedReply::Malformed(reason) => {
                AttemptOutcome::Resubmit(ResubmitCause::ResponseLost(reason))
            }
        }
    }

    /// Converts a reported job state to the outcome of the attempt.
    fn classify_state(&self, state: JobState) -> AttemptOutcome {
        match state {
            JobState::Running => AttemptOutcome::Resubmit(ResubmitCause::Running),
            JobState::Complete(answer) => {
                AttemptOutcome::Finished(Ok(SubmissionOutcome::Complete(answer)))
            }
            JobState::Failed(report) if allows_same_ticket(&report) => {
                AttemptOutcome::Resubmit(ResubmitCause::Advised(report))
            }
            JobState::Failed(report) if allows_new_ticket(&report) => {
                AttemptOutcome::NewTicket(report)
            }
            JobState::Failed(report) => AttemptOutcome::Finished(Err(self.failure_error(report))),
        }
    }

    /// Abandons a ticket under which nothing was submitted, because its issuer can't be reached.
    async fn abandon_unsent_ticket(
        &self,
        cause: ResubmitCause,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionOutcome, ClientError> {
        if self.core.wait_for_host(schedule, None).await {
            return Ok(SubmissionOutcome::NewTicket);
        }
        Err(ClientError::NotSubmitted {
            reason: cause.reason(),
        })
    }

    /// Abandons a ticket under which no task ran. Returns the failure if the deadline leaves no time
    /// for a new ticket. The issuer is skipped for the delay that it requested.
    async fn abandon_ticket(
        &self,
        report: FailureReport,
        schedule: &mut RetrySchedule,
    ) -> Result<SubmissionOutcome, ClientError> {
        let retry_after_ms = requested_delay_ms(&report);
        let cooldown_ms = retry_after_ms.unwrap_or(self.core.options.host_cooldown_ms);
        self.issuer.start_cooldown(cooldown_ms);
        if self.core.wait_for_host(schedule, retry_after_ms).await {
            return Ok(SubmissionOutcome::NewTicket);
        }
        Err(self.failure_error(report))
    }

    /// Returns the error for a final failure reported by an entry host.
    fn failure_error(&self, report: FailureReport) -> ClientError {
        if report.code == ErrorKind::OwnerGone.error_response().code {
            self.issuer.discard_tickets();
        }
        ClientError::Failed {
            ticket: Arc::clone(&self.ticket),
            report: Box::new(report),
        }
    }

    /// Returns the error for a submission that ran out of time before a final response.
    fn no_response_error(&self, cause: ResubmitCause) -> ClientError {
        if let ResubmitCause::Advised(report) = cause {
            return self.failure_error(report);
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
            Self::Advised(report) => requested_delay_ms(report),
            Self::NotSent(_) | Self::ResponseLost(_) | Self::Running => None,
        }
    }

    fn reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::ResponseLost(reason) => reason,
            Self::Running => "the job is still running".to_owned(),
            Self::Advised(report) => format!("{}: {}", report.code, report.message),
        }
    }

    /// Returns whether the next attempt should use another host.
    ///
    /// After the first lost response the same host is retried on a new connection, because it is
    /// likely the owner of the job.
    fn should_switch_host(&self, lost_responses: u32) -> bool {
        match self {
            Self::NotSent(_) => true,
            Self::ResponseLost(_) => lost_responses > 1,
            Self::Running => false,
            Self::Advised(report) => report.execution == ExecutionStatus::Undetermined.as_str(),
        }
    }
}
