//! Encodes responses to callers.

use std::time::Duration;

use bramley_core::errors::DispatchError;
use bramley_core::job::{JobAnswer, JobFailure};
use bramley_core::task::TaskReport;
use bramley_wire::caller::{FailureReport, JobReply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::dispatch::channel::JobStatus;

/// Body of an HTTP response.
pub type ResponseBody = Full<Bytes>;

/// An encoded response to a caller, or to the host that forwarded a caller's request.
#[derive(Clone, Debug)]
pub struct EncodedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub body: Bytes,
    /// Time for which the caller should wait before a retry; zero if there is no such advice.
    pub retry_after: Duration,
}

impl EncodedResponse {
    /// Encodes the status of a job.
    #[must_use]
    pub fn from_job_status(ticket: &str, status: &JobStatus) -> Self {
        match status {
            JobStatus::Running => {
                let reply = JobReply {
                    ticket: ticket.to_owned(),
                    outcome: "running".to_owned(),
                    ..JobReply::default()
                };
                Self::from_message(StatusCode::ACCEPTED, &reply)
            }
            JobStatus::Finished(answer) => Self::from_answer(ticket, answer),
        }
    }

    /// Encodes the final answer to a job.
    #[must_use]
    pub fn from_answer(ticket: &str, answer: &JobAnswer) -> Self {
        match answer {
            JobAnswer::Complete(outputs) => {
                let reply = JobReply {
                    ticket: ticket.to_owned(),
                    outcome: "complete".to_owned(),
                    results: outputs.iter().map(|output| output.to_string()).collect(),
                    failure: None,
                };
                Self::from_message(StatusCode::OK, &reply)
            }
            JobAnswer::Failed(failure) => Self::from_failure(ticket, failure),
        }
    }

    /// Encodes an error for a request that was refused before it reached the dispatch kernel.
    #[must_use]
    pub fn from_error(ticket: &str, error: DispatchError) -> Self {
        Self::from_failure(ticket, &JobFailure::refusal(error))
    }

    fn from_failure(ticket: &str, failure: &JobFailure) -> Self {
        let response = failure.error_response();
        let retry_after = failure.error.retry_after;
        let report = FailureReport {
            code: response.code.to_owned(),
            message: failure.error.to_string(),
            retry: failure.retry_advice().as_str().to_owned(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            execution: failure.execution.as_str().to_owned(),
            tasks: failure
                .tasks
                .iter()
                .map(|report| TaskReport::as_str(*report).to_owned())
                .collect(),
        };
        let reply = JobReply {
            ticket: ticket.to_owned(),
            outcome: "failed".to_owned(),
            results: Vec::new(),
            failure: Some(report),
        };
        let status =
            StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self {
            retry_after,
            ..Self::from_message(status, &reply)
        }
    }

    /// Encodes a message as JSON.
    #[must_use]
    pub fn from_message(status: StatusCode, message: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(message) {
            Ok(body) => Self {
                status,
                body: Bytes::from(body),
                retry_after: Duration::ZERO,
            },
            Err(error) => {
                log::error!("event=encoding_failed error=\"{error}\"");
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Self {
                    status,
                    body: Bytes::new(),
                    retry_after: Duration::ZERO,
                }
            }
        }
    }

    /// Converts this into an HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if !self.retry_after.is_zero() {
            // The header has whole seconds only; the exact delay is in the body.
            let seconds = self.retry_after.as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, hyper::header::HeaderValue::from(seconds));
        }
        response
    }
}
