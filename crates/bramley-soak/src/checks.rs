//! Compares the responses that callers got with the runs that workers recorded.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bramley_fleet_stand_in::recorder::{RunRecord, RunRecorder};

use crate::callers::JobOutcome;

/// Totals of one soak run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoakCounts {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs with a 200 response, whatever job state it reports.
    pub completed: usize,
    /// Jobs refused with a 503, which guarantees that no task was run.
    pub refused: usize,
    /// Jobs without a conclusive response within the deadline.
    pub unanswered: usize,
    /// Task runs that workers started.
    pub runs: usize,
}

/// Returns a message with the evidence for every violated guarantee: no task has overlapping runs,
/// no task of a refused job was started, and every task of a job reported as completed
/// has a finished run.
#[must_use]
pub fn find_violations(recorder: &RunRecorder, outcomes: &[JobOutcome]) -> Vec<String> {
    let mut found = Vec::new();
    for (first, second) in recorder.overlaps() {
        let (first, second) = (describe_run(&first), describe_run(&second));
        found.push(format!("overlapping runs of one task: {first}; {second}"));
    }
    for outcome in outcomes {
        let runs = recorder.runs_of(&outcome.name);
        if outcome.refused && !runs.is_empty() {
            found.push(format!("refused, but has runs: {outcome:?} {runs:?}"));
        }
        let is_completed = outcome
            .state
            .as_deref()
            .is_some_and(|text| text.contains("completed"));
        if !is_completed {
            continue;
        }
        for task in 0..outcome.tasks {
            let name = format!("{}.0.0.{task}", outcome.name);
            let is_done = runs.iter().any(|run| run.task == name && run.how == "done");
            if !is_done {
                found.push(format!(
                    "reported completed, but task {task} has no finished run: {outcome:?} {runs:?}"
                ));
            }
        }
    }
    found
}

/// Describes a run with times in Unix milliseconds, as in the logs of the hosts.
fn describe_run(run: &RunRecord) -> String {
    let now = Instant::now();
    let now_unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now_unix.map_or(0, |span| span.as_millis());
    let unix_ms = |at: Instant| now_ms.saturating_sub(now.duration_since(at).as_millis());
    format!(
        "task={} worker={} spec={:?} began={} ended={:?} how={}",
        run.task,
        run.worker,
        run.spec,
        unix_ms(run.began),
        run.ended.map(unix_ms),
        run.how
    )
}

/// Crashes of workers under a task after which the platform lets its job fail.
const CRASHES_TO_FAIL: usize = 2;

/// Crashes of workers under a task after which the platform does not tolerate another start.
const TOLERATED_CRASHES: usize = 5;

/// Failed runs of a task after which its job has failed, as the configuration says.
const ATTEMPTS: usize = 3;

/// Returns a message for every task that crashed more workers than the platform tolerates, and for
/// every job that was reported as failed without a task that has failed or crashed its workers
/// often enough.
#[must_use]
pub fn find_misjudged_crashes(recorder: &RunRecorder, outcomes: &[JobOutcome]) -> Vec<String> {
    let mut found = Vec::new();
    for outcome in outcomes {
        let runs = recorder.runs_of(&outcome.name);
        let is_failed = outcome
            .state
            .as_deref()
            .is_some_and(|text| text.contains("failed"));
        let mut has_cause = false;
        for task in 0..outcome.tasks {
            let name = format!("{}.0.0.{task}", outcome.name);
            let count = |how: &str| {
                let ended = runs.iter().filter(|run| run.task == name);
                ended.filter(|run| run.how == how).count()
            };
            let crashes = count("crashed");
            if crashes > TOLERATED_CRASHES {
                found.push(format!("{crashes} workers crashed under {name}: {runs:?}"));
            }
            has_cause |= crashes >= CRASHES_TO_FAIL || count("failed") >= ATTEMPTS;
        }
        if is_failed && !has_cause {
            found.push(format!("failed without cause: {outcome:?} {runs:?}"));
        }
    }
    found
}

/// Returns a message for every job with a request that was cut off. Planned operations must not
/// cause any.
#[must_use]
pub fn find_cut_offs(outcomes: &[JobOutcome]) -> Vec<String> {
    outcomes
        .iter()
        .filter(|outcome| outcome.cuts > 0)
        .map(|outcome| format!("request cut off during planned operations: {outcome:?}"))
        .collect()
}

/// Computes the totals of a soak run.
#[must_use]
pub fn count_outcomes(recorder: &RunRecorder, outcomes: &[JobOutcome]) -> SoakCounts {
    let mut counts = SoakCounts {
        jobs: outcomes.len(),
        runs: recorder.entries().len(),
        ..SoakCounts::default()
    };
    for outcome in outcomes {
        match (&outcome.state, outcome.refused) {
            (Some(_), _) => counts.completed += 1,
            (None, true) => counts.refused += 1,
            (None, false) => counts.unanswered += 1,
        }
    }
    counts
}
