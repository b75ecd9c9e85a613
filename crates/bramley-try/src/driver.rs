//! Sends the jobs of a plan and records how they end.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_client::{CallerClient, ClientError, JobAnswer, JobSpec, JobState};
use bramley_core::configuration::ClassConfiguration;
use bramley_wire::caller::TaskSpec;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::outcome::{JobOutcome, JobRecord, OutcomeLog, outcome_of, ticket_of};
use crate::plan::PlannedJob;

/// One of so many answers is kept and asked for again at the end of the run.
const KEEP_EVERY: usize = 25;

/// Longest time that a run waits for one answer, in milliseconds.
const MAX_ANSWER_MS: u64 = 20_000;

/// Sends the jobs of one user, each at its intended time whether or not earlier ones are answered.
#[derive(Clone, Debug)]
pub struct JobDriver {
    /// Client of the user's team.
    pub client: CallerClient,
    /// Classes in the order of the user's work.
    pub classes: Arc<[ClassConfiguration]>,
    /// Slots of the whole deployment.
    pub total_slots: u64,
    /// Where outcomes are recorded.
    pub log: Arc<OutcomeLog>,
}

impl JobDriver {
    /// Sends all jobs and returns when every one is answered or given up.
    pub async fn send_all(self, jobs: Vec<PlannedJob>) {
        let begun = Instant::now();
        let mut sent = JoinSet::new();
        for (number, job) in jobs.into_iter().enumerate() {
            let intended = begun + job.at;
            tokio::time::sleep_until(intended).await;
            sent.spawn(self.clone().send(number, job, intended));
        }
        while sent.join_next().await.is_some() {}
    }

    async fn send(self, number: usize, job: PlannedJob, intended: Instant) {
        let class = &self.classes[job.class];
        let spec = JobSpec {
            class: Arc::from(class.name.as_str()),
            deadline_unix_ms: deadline_unix_ms(class),
            idempotent: class.idempotent,
            tasks: make_tasks(number, &job.run_ms),
        };
        let result = self.client.submit(spec).await;
        let mut record = JobRecord {
            class: job.class,
            tasks: job.run_ms.len(),
            idempotent: class.idempotent,
            ticket: None,
            outcome: JobOutcome::Complete,
            answer_fits: true,
            task_states: Vec::new(),
            response: intended.elapsed(),
            ideal: ideal_time(&job.run_ms, self.total_slots),
        };
        match result {
            Ok(answer) => {
                record.answer_fits = fits(number, &answer, record.tasks);
                record.ticket = Some(Arc::clone(&answer.ticket));
                if number.is_multiple_of(KEEP_EVERY) {
                    self.log.keep_answer(answer);
                }
            }
            Err(error) => {
                record.outcome = outcome_of(&error);
                record.answer_fits = !matches!(error, ClientError::CrossedAnswer { .. });
                record.ticket = ticket_of(&error);
                if let ClientError::Failed { report, .. } = error {
                    record.task_states = report.tasks;
                }
            }
        }
        self.log.add(record);
    }

    /// Asks about the kept answers again, at any host, and returns the tickets whose answers
    /// differ. No answer at all, as after the loss of the host, is no difference.
    pub async fn find_changed_answers(&self) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for kept in self.log.take_answers() {
            let is_same = match self.client.query(&kept.ticket).await {
                Ok(JobState::Complete(repeated)) => repeated == kept,
                Ok(JobState::Running) | Err(ClientError::CrossedAnswer { .. }) => false,
                Ok(JobState::Failed(_)) | Err(_) => true,
            };
            if !is_same {
                changed.push(kept.ticket);
            }
        }
        changed
    }
}

fn make_tasks(number: usize, run_ms: &[u64]) -> Vec<TaskSpec> {
    let mut tasks = Vec::with_capacity(run_ms.len());
    for (index, run_ms) in run_ms.iter().enumerate() {
        let echo = output_of(number, index);
        tasks.push(TaskSpec {
            payload: format!(r#"{{"run_ms":{run_ms},"echo":"{echo}","fail":false}}"#),
            ..TaskSpec::default()
        });
    }
    tasks
}

/// Returns the output of a task, which no other task of the run has.
fn output_of(number: usize, index: usize) -> String {
    format!("{number}-{index}")
}

fn fits(number: usize, answer: &JobAnswer, tasks: usize) -> bool {
    answer.results.len() == tasks
        && answer
            .results
            .iter()
            .enumerate()
            .all(|(index, output)| *output == output_of(number, index))
}

/// Returns the time of the longest task, or of all tasks on all slots if that is longer.
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
    now_ms.saturating_add(u64::from(class.answer_within_ms).min(MAX_ANSWER_MS))
}
