//! Turns answers into messages to callers.

use std::time::Duration;

use bramley_core::errors::DispatchError;
use bramley_core::job::{JobAnswer, JobFailure};
use bramley_core::task::TaskReport;
use bramley_wire::caller::{FailureReport, JobReply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::dispatch::channel::JobReplyState;

/// Body of every HTTP answer.
pub type AnswerBody = Full<Bytes>;

/// An answer as it goes to the caller or back to the host that forwarded the request.
#[derive(Clone, Debug)]
pub struct EncodedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub body: Bytes,
    /// Wait that a refused caller is asked to keep.
    pub retry_after: Duration,
}

impl EncodedAnswer {
    /// Encodes the state of a job.
    #[must_use]
    pub fn of_state(ticket: &str, state: &JobReplyState) -> Self {
        match state {
            JobReplyState::Running => {
                let reply = JobReply {
                    ticket: ticket.to_owned(),
                    outcome: "running".to_owned(),
                    ..JobReply::default()
                };
                Self::of_message(StatusCode::ACCEPTED, &reply)
            }
            JobReplyState::Answered(answer) => Self::of_answer(ticket, answer),
        }
    }

    /// Encodes the answer to a job.
    #[must_use]
    pub fn of_answer(ticket: &str, answer: &JobAnswer) -> Self {
        match answer {
            JobAnswer::Complete(outputs) => {
                let reply = JobReply {
                    ticket: ticket.to_owned(),
                    outcome: "complete".to_owned(),
                    results: outputs.iter().map(|output| output.to_string()).collect(),
                    failure: None,
                };
                Self::of_message(StatusCode::OK, &reply)
            }
            JobAnswer::Failed(failure) => Self::of_failure(ticket, failure),
        }
    }

    /// Encodes a refusal that came before the kernel saw the request.
    #[must_use]
    pub fn of_error(ticket: &str, error: DispatchError) -> Self {
        Self::of_failure(ticket, &JobFailure::refusal(error))
    }

    fn of_failure(ticket: &str, failure: &JobFailure) -> Self {
        let row = failure.answer_row();
        let retry_after = failure.error.retry_after;
        let report = FailureReport {
            code: row.code.to_owned(),
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
        let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self {
            retry_after,
            ..Self::of_message(status, &reply)
        }
    }

    /// Encodes any message.
    #[must_use]
    pub fn of_message(status: StatusCode, message: &impl serde::Serialize) -> Self {
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

    /// Returns the answer as an HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if !self.retry_after.is_zero() {
            // The header counts whole seconds; the exact wait stands in the body.
            let seconds = self.retry_after.as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, hyper::header::HeaderValue::from(seconds));
        }
        response
    }
}
