//! The client and its public methods.

use std::sync::Arc;

use bramley_wire::caller::JobReference;
use hyper::body::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use crate::clock::RequestDeadline;
use crate::entry_hosts::{EntryHost, EntryHosts};
use crate::errors::ClientError;
use crate::job::{JobAnswer, JobSpec, JobState};
use crate::options::ClientOptions;
use crate::reply::{CheckedReply, allows_same_ticket, check_reply, requested_delay_ms};
use crate::retry::RetrySchedule;
use crate::submission::{JobSubmission, SubmissionOutcome};
use crate::transport::TransportError;

/// Request path for querying the state of a job.
const QUERY_PATH: &str = "/v1/jobs/query";
/// Request path for cancelling a job.
const CANCEL_PATH: &str = "/v1/jobs/cancel";

/// Submits jobs to the entry hosts on behalf of one team.
///
/// Clones share connections and prefetched tickets.
#[derive(Clone, Debug)]
pub struct CallerClient {
    core: Arc<ClientCore>,
}

/// State shared by all clones of a client.
#[derive(Debug)]
pub(crate) struct ClientCore {
    /// Configuration of the client.
    pub(crate) options: ClientOptions,
    /// Entry hosts that requests are sent to.
    pub(crate) hosts: EntryHosts,
}

impl CallerClient {
    /// Creates a client. Connections are opened by the first request.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        let core = ClientCore {
            hosts: EntryHosts::new(&options),
            options,
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// Submits a job and waits for the results of all of its tasks.
    ///
    /// If a response is lost, the same body is resubmitted under the same ticket until the
    /// deadline. A new ticket is used only when nothing was submitted under the first one or the
    /// entry host states that no task ran. If the host reports that tasks may have run, the
    /// job is not submitted again.
    ///
    /// # Errors
    ///
    /// [`ClientError::Failed`] carries the entry host's report unchanged. After
    /// [`ClientError::Undetermined`] and [`ClientError::MismatchedAnswer`] the job may still run;
    /// use [`Self::query`] to get its state. After any other error no task runs.
    pub async fn submit(&self, job: JobSpec) -> Result<JobAnswer, ClientError> {
        let deadline = match job.deadline_unix_ms {
            0 => RequestDeadline::from_timeout_ms(self.core.options.request_timeout_ms),
            unix_ms => RequestDeadline::from_unix_ms(unix_ms),
        };
        let mut schedule = RetrySchedule::new(&self.core.options, deadline.instant);
        loop {
            let issued = self.core.acquire_ticket(&mut schedule).await?;
            let submission = JobSubmission::new(&self.core, &job, issued, deadline)?;
            match submission.run(&mut schedule).await? {
                SubmissionOutcome::Complete(answer) => return Ok(answer),
                SubmissionOutcome::NewTicket => {}
            }
        }
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if no entry host responds before the deadline or the response belongs to another
    /// request.
    pub async fn query(&self, ticket: &str) -> Result<JobState, ClientError> {
        self.core.request_job_state(QUERY_PATH, ticket).await
    }

    /// Cancels a job and returns its state.
    ///
    /// # Errors
    ///
    /// Fails if no entry host responds before the deadline or the response belongs to another
    /// request. The job may have been cancelled nevertheless.
    pub async fn cancel(&self, ticket: &str) -> Result<JobState, ClientError> {
        self.core.request_job_state(CANCEL_PATH, ticket).await
    }
}

impl ClientCore {
    /// Sends a request about a job, retrying until an entry host responds or the deadline passes.
    async fn request_job_state(&self, path: &str, ticket: &str) -> Result<JobState, ClientError> {
        let ticket = Arc::from(ticket);
        let request = JobReference {
            ticket: String::from(&*ticket),
            team: self.options.team.to_string(),
        };
        let body = to_body(&request).map_err(|reason| ClientError::NotSubmitted { reason })?;
        let deadline = RequestDeadline::from_timeout_ms(self.options.request_timeout_ms);
        let mut schedule = RetrySchedule::new(&self.options, deadline.instant);
        loop {
            let host = self.hosts.next_host().ok_or(ClientError::NoEntryHost)?;
            let attempt_deadline = schedule.attempt_deadline(self.options.attempt_timeout_ms);
            let response = self
                .send_request(&host, path, body.clone(), attempt_deadline)
                .await;
            let checked = match response {
                Ok(response) => check_reply(&response, &ticket, None),
                Err(error) => CheckedReply::Malformed(error.to_string()),
            };
            let (reason, retry_after_ms) = match checked {
                CheckedReply::State(JobState::Failed(report)) if allows_same_ticket(&report) => {
                    (report.code.clone(), requested_delay_ms(&report))
                }
                CheckedReply::State(state) => return Ok(state),
                CheckedReply::Mismatched => return Err(ClientError::MismatchedAnswer { ticket }),
                CheckedReply::Malformed(reason) => (reason, None),
            };
            if !schedule.wait(retry_after_ms).await {
                return Err(ClientError::Undetermined { ticket, reason });
            }
        }
    }

    /// Sends a request to an entry host.
    ///
    /// A host that can't be reached enters its cooldown. If a response is lost, the prefetched
    /// tickets of the host are discarded, because the process that issued them may have exited.
    ///
    /// # Errors
    ///
    /// Fails if the host can't be reached, the response is lost or the attempt times out.
    pub(crate) async fn send_request(
        &self,
        host: &EntryHost,
        path: &str,
        body: Bytes,
        attempt_deadline: Instant,
    ) -> Result<Bytes, TransportError> {
        let response = host.transport.post(path, body, attempt_deadline).await;
        match &response {
            Ok(_) => {}
            Err(TransportError::NotSent(_)) => host.start_cooldown(self.options.host_cooldown_ms),
            Err(TransportError::ResponseLost(_)) => host.discard_tickets(),
        }
        response
    }

    /// Waits before the next attempt only if every host is in its cooldown. Returns whether there
    /// is time left for another attempt.
    pub(crate) async fn wait_for_host(
        &self,
        schedule: &mut RetrySchedule,
        retry_after_ms: Option<u64>,
    ) -> bool {
        if self.hosts.any_available() {
            return schedule.has_time_left();
        }
        schedule.wait(retry_after_ms).await
    }
}

/// Serialises a message to a JSON request body.
///
/// # Errors
///
/// Returns the serialiser's error message if the message can't be represented in JSON.
pub(crate) fn to_body(message: &impl Serialize) -> Result<Bytes, String> {
    match serde_json::to_vec(message) {
        Ok(bytes) => Ok(Bytes::from(bytes)),
        Err(error) => Err(error.to_string()),
    }
}
