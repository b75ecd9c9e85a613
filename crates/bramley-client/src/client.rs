//! The client and its calls.

use std::sync::Arc;

use bramley_wire::caller::JobReference;
use hyper::body::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use crate::clock::RequestDeadline;
use crate::entries::{EntryHost, EntryTable};
use crate::errors::ClientError;
use crate::job::{JobAnswer, JobSpec, JobState};
use crate::options::ClientOptions;
use crate::reply::{CheckedReply, allows_same_ticket, check_reply, stated_wait};
use crate::retry::RetrySchedule;
use crate::submission::{JobSubmission, SubmissionEnd};
use crate::transport::TransportError;

/// Path of questions about jobs.
const QUERY_PATH: &str = "/v1/jobs/query";
/// Path of cancellations.
const CANCEL_PATH: &str = "/v1/jobs/cancel";

/// Submits jobs to the entry hosts on behalf of one team. Clones share connections and tickets.
#[derive(Clone, Debug)]
pub struct CallerClient {
    core: Arc<ClientCore>,
}

/// State that the clones of a client share.
#[derive(Debug)]
pub(crate) struct ClientCore {
    /// Settings.
    pub(crate) options: ClientOptions,
    /// Entry hosts.
    pub(crate) table: EntryTable,
}

impl CallerClient {
    /// Creates a client. It opens no connection before its first call.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        let core = ClientCore {
            table: EntryTable::new(&options),
            options,
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// Submits a job and waits for its whole answer.
    ///
    /// A lost answer is asked for again under the same ticket with the same body until the
    /// deadline. Another ticket is taken only when nothing was submitted under the first or the
    /// entry host states that no task ran. A job whose tasks may have run is never repeated.
    ///
    /// # Errors
    ///
    /// [`ClientError::Failed`] carries the entry host's report unchanged. After
    /// [`ClientError::Undetermined`] and [`ClientError::CrossedAnswer`] the job may run; ask with
    /// [`Self::query`]. After any other error no task runs.
    pub async fn submit(&self, job: JobSpec) -> Result<JobAnswer, ClientError> {
        let deadline = match job.deadline_unix_ms {
            0 => RequestDeadline::from_limit_ms(self.core.options.request_deadline_ms),
            unix_ms => RequestDeadline::from_unix_ms(unix_ms),
        };
        let mut schedule = RetrySchedule::new(&self.core.options, deadline.instant);
        loop {
            let taken = self.core.take_ticket(&mut schedule).await?;
            let submission = JobSubmission::new(&self.core, &job, taken, deadline)?;
            match submission.run(&mut schedule).await? {
                SubmissionEnd::Complete(answer) => return Ok(answer),
                SubmissionEnd::NewTicket => {}
            }
        }
    }

    /// Asks for the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if no entry host answers in time or the answer belongs to another request.
    pub async fn query(&self, ticket: &str) -> Result<JobState, ClientError> {
        self.core.ask(QUERY_PATH, ticket).await
    }

    /// Cancels a job and returns its state.
    ///
    /// # Errors
    ///
    /// Fails if no entry host answers in time or the answer belongs to another request; the job
    /// may be cancelled all the same.
    pub async fn cancel(&self, ticket: &str) -> Result<JobState, ClientError> {
        self.core.ask(CANCEL_PATH, ticket).await
    }
}

impl ClientCore {
    /// Asks about a job until an entry host answers or the deadline passes.
    async fn ask(&self, path: &str, ticket: &str) -> Result<JobState, ClientError> {
        let ticket = Arc::from(ticket);
        let request = JobReference {
            ticket: String::from(&*ticket),
            team: self.options.team.to_string(),
        };
        let body = to_body(&request).map_err(|reason| ClientError::NotSubmitted { reason })?;
        let deadline = RequestDeadline::from_limit_ms(self.options.request_deadline_ms);
        let mut schedule = RetrySchedule::new(&self.options, deadline.instant);
        loop {
            let host = self.table.next_host().ok_or(ClientError::NoEntryHost)?;
            let attempt_end = schedule.attempt_end(self.options.attempt_timeout_ms);
            let answer = self.call(&host, path, body.clone(), attempt_end).await;
            let checked = match answer {
                Ok(answer) => check_reply(&answer, &ticket, None),
                Err(error) => CheckedReply::Unreadable(error.to_string()),
            };
            let (reason, retry_after_ms) = match checked {
                CheckedReply::State(JobState::Failed(report)) if allows_same_ticket(&report) => {
                    (report.code.clone(), stated_wait(&report))
                }
                CheckedReply::State(state) => return Ok(state),
                CheckedReply::Crossed => return Err(ClientError::CrossedAnswer { ticket }),
                CheckedReply::Unreadable(reason) => (reason, None),
            };
            if !schedule.wait(retry_after_ms).await {
                return Err(ClientError::Undetermined { ticket, reason });
            }
        }
    }

    /// Calls an entry host. One that can't be reached is passed over for a while, and the tickets
    /// of one that did not answer are thrown away, as its process may be gone.
    ///
    /// # Errors
    ///
    /// Fails if the host can't be reached or the answer is lost or late.
    pub(crate) async fn call(
        &self,
        host: &EntryHost,
        path: &str,
        body: Bytes,
        attempt_end: Instant,
    ) -> Result<Bytes, TransportError> {
        let answer = host.transport.post(path, body, attempt_end).await;
        match &answer {
            Ok(_) => {}
            Err(TransportError::NotSent(_)) => host.avoid(self.options.avoid_ms),
            Err(TransportError::AnswerLost(_)) => host.forget_tickets(),
        }
        answer
    }

    /// Goes on at once while some host is not to be avoided, else waits as stated. Says whether
    /// there is time for another attempt.
    pub(crate) async fn wait_for_host(
        &self,
        schedule: &mut RetrySchedule,
        retry_after_ms: Option<u64>,
    ) -> bool {
        if self.table.any_ready() {
            return schedule.is_open();
        }
        schedule.wait(retry_after_ms).await
    }
}

/// Serialises a message.
///
/// # Errors
///
/// Returns the reason if the message has no JSON form.
pub(crate) fn to_body(message: &impl Serialize) -> Result<Bytes, String> {
    match serde_json::to_vec(message) {
        Ok(bytes) => Ok(Bytes::from(bytes)),
        Err(error) => Err(error.to_string()),
    }
}
