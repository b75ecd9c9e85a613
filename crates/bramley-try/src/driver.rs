//! Submits the generated jobs and records their outcomes.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_client::{CallerClient, ClientError, JobAnswer, JobSpec, JobState};
use bramley_core::configuration::ClassConfiguration;
use bramley_wire::caller::TaskSpec;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::outcome::{JobOutcome, JobRecord, OutcomeRecorder, classify_error, error_ticket};
use crate::plan::PlannedJob;

/// One in this many answers is sampled and queried again at the end of the run.
const ANSWER_SAMPLE_INTERVAL: usize = 25;

/// Upper limit of a job's deadline, in milliseconds after it is sent.
const MAX_ANSWER_WAIT_MS: u64 = 20_000;

/// Submits the jobs of one user in an open loop: each at its intended time, whether or not earlier
/// jobs have been answered.
#[derive(Clone, Debug)]
pub struct JobDriver {
    /// Client of the user's team.
    pub client: CallerClient,
    /// Classes in the order of the user's workload.
    pub classes: Arc<[ClassConfiguration]>,
    /// Total number of slots in the deployment.
    pub total_slots: u64,
    /// Recorder of outcomes.
    pub recorder: Arc<OutcomeRecorder>,
}

impl JobDriver {
    /// Submits all jobs and returns when each has been answered or has failed.
    pub async fn send_all(self, jobs: Vec<PlannedJob>) {
        let started_at = Instant::now();
        let mut sent = JoinSet::new();
        for (job_number, job) in jobs.into_iter().enumerate() {
            let intended_at = started_at + job.send_offset;
            tokio::time::sleep_until(intended_at).await;
            sent.spawn(self.clone().send(job_number, job, intended_at));
        }
        while sent.join_next().await.is_some() {}
    }

    async fn send(self, job_number: usize, job: PlannedJob, intended_at: Instant) {
        let class = &self.classes[job.class];
        let spec = JobSpec {
            class: Arc::from(class.name.as_str()),
            deadline_unix_ms: deadline_unix_ms(class),
            idempotent: class.idempotent,
            tasks: build_tasks(job_number, &job.run_ms),
        };
        let result = self.client.submit(spec).await;
        let mut record = JobRecord {
            class: job.class,
            tasks: job.run_ms.len(),
            idempotent: class.idempotent,
            ticket: None,
            outcome: JobOutcome::Complete,
            answer_matches: true,
            task_states: Vec::new(),
            response: intended_at.elapsed(),
            ideal: ideal_time(&job.run_ms, self.total_slots),
        };
        match result {
            Ok(answer) => {
                record.answer_matches = results_match(job_number, &answer, record.tasks);
                record.ticket = Some(Arc::clone(&answer.ticket));
                if job_number.is_multiple_of(ANSWER_SAMPLE_INTERVAL) {
                    self.recorder.add_sampled_answer(answer);
                }
            }
            Err(error) => {
                record.outcome = classify_error(&error);
                record.answer_matches = !matches!(error, ClientError::MismatchedAnswer { .. });
                record.ticket = error_ticket(&error);
                if let ClientError::Failed { report, .. } = error {
                    record.task_states = report.tasks;
                }
            }
        }
        self.recorder.add(record);
    }

    /// Queries the sampled answers again, at any host, and returns the tickets whose answers differ.
    /// A failure or a missing answer, as after the loss of the host, is not a difference.
    pub async fn find_changed_answers(&self) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for sampled in self.recorder.take_sampled_answers() {
            let is_unchanged = match self.client.query(&sampled.ticket).await {
                Ok(JobState::Complete(repeated)) => repeated == sampled,
                Ok(JobState::Running) | Err(ClientError::MismatchedAnswer { .. }) => false,
                Ok(JobState::Failed(_)) | Err(_) => true,
            };
            if !is_unchanged {
                changed.push(sampled.ticket);
            }
        }
        changed
    }
}

fn build_tasks(job_number: usize, run_ms: &[u64]) -> Vec<TaskSpec> {
    let mut tasks = Vec::with_capacity(run_ms.len());
    for (index, run_ms) in run_ms.iter().enumerate() {
        let echo = expected_output(job_number, index);
        tasks.push(TaskSpec {
            payload: format!(r#"{{"run_ms":{run_ms},"echo":"{echo}","fail":false}}"#),
            ..TaskSpec::default()
        });
    }
    tasks
}

/// Returns the expected output of a task, which is unique within the run.
fn expected_output(job_number: usize, index: usize) -> String {
    format!("{job_number}-{index}")
}

fn results_match(job_number: usize, answer: &JobAnswer, tasks: usize) -> bool {
    answer.results.len() == tasks
        && answer
            .results
            .iter()
            .enumerate()
            .all(|(index, output)| *output == expected_output(job_number, index))
}

/// Returns the ideal time of a job: the run time of its longest task, or the time to run all tasks
/// on all slots if that is longer.
fn ideal_time(run_ms: &[u64], total_slots: u64) -> Duration {
    let longest_ms = run_ms.iter().copied().max().unwrap_or_default();
    let shared_ms = run_ms.iter().sum::<u64>() / total_slots.max(1);
    Duration::from_millis(longest_ms.max(shared_ms).max(1))
}

fn deadline_unix_ms(class: &ClassConfiguration) -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    now_ms.saturating_add(u64::from(class.answer_within_ms).min(MAX_ANSWER_WAIT_MS))
}
