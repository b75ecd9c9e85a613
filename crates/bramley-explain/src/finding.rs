//! Derives the causes of a failure from a timeline.

use std::fmt;

use crate::line::LogLine;
use crate::timeline::Timeline;

/// Shortest gap between two lines of a late job that is reported as a cause, in milliseconds.
const MIN_REPORTED_WAIT_MS: u64 = 100;

/// A reason why a request failed, was late or was run again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// A pool refused the job.
    Refused {
        /// Host that logged the refusal: the pool or the relay.
        host: String,
        /// Reason as logged.
        reason: String,
        /// Logged values that the decision was based on, as `key=value` pairs.
        inputs: String,
    },
    /// The job ended after its latency objective.
    Late {
        /// Time from the request to the end of the job, in milliseconds.
        age_ms: u64,
        /// Latency objective in milliseconds.
        objective_ms: u64,
    },
    /// No pool could meet the latency objective, and one admitted the job behind others.
    AdmittedLate {
        /// Host of the pool.
        host: String,
        /// Expected wait in milliseconds.
        wait_ms: String,
    },
    /// The job could no longer meet its objective and was moved behind others.
    Deferred {
        /// Host of the pool.
        host: String,
        /// Tasks that waited then.
        waiting: String,
    },
    /// The longest gap between two log lines of a late job.
    LongestWait {
        /// Length of the gap in milliseconds.
        gap_ms: u64,
        /// Event before the gap.
        after: String,
        /// Event after the gap.
        until: String,
    },
    /// A run of a task ended without success or was refused by its worker.
    RunFailed {
        /// Name of the worker.
        worker: String,
        /// Logged end of the run, or the reason of the refused start.
        end: String,
        /// Logged state changes of the worker, separated by commas.
        worker_states: String,
    },
    /// A task was not started again because too many workers were lost under it.
    GivenUp {
        /// Host of the pool.
        host: String,
        /// Index of the task.
        task: String,
        /// Whether it is known to crash workers (`convicted`) or may be sound (`held`).
        suspicion: String,
        /// Number of possible crashes, and in how many of them the task was alone.
        crashes: String,
        /// Names of the crashed workers, separated by commas.
        workers: String,
    },
    /// The relay lost its connection to the pool that held the job.
    PoolLost {
        /// Host of the relay.
        host: String,
        /// Failure domain of the pool.
        pool: String,
        /// Logged reason for the loss of the connection.
        reason: String,
    },
    /// The job was handed to another pool.
    HandedOver {
        /// Number of handovers.
        count: usize,
        /// Failure domains of the new pools, in order, separated by commas.
        pools: String,
    },
    /// The client submitted the job again.
    Resubmitted,
    /// The client disconnected before the response.
    ClientDisconnected,
    /// No response was logged.
    NoResponse,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused {
                host,
                reason,
                inputs,
            } => write!(f, "refused by {host}: {reason} ({inputs})"),
            Self::Late {
                age_ms,
                objective_ms,
            } => write!(
                f,
                "late: {age_ms} ms against an objective of {objective_ms} ms"
            ),
            Self::AdmittedLate { host, wait_ms } => write!(
                f,
                "admitted by {host} to be served late, as no pool could meet the objective \
                 (expected wait {wait_ms} ms)"
            ),
            Self::Deferred { host, waiting } => write!(
                f,
                "deferred by {host} behind jobs that could still meet their objective \
                 ({waiting} tasks waited)"
            ),
            Self::LongestWait {
                gap_ms,
                after,
                until,
            } => write!(f, "longest wait: {gap_ms} ms after {after} until {until}"),
            Self::RunFailed {
                worker,
                end,
                worker_states,
            } => write!(f, "run failed on {worker}: {end} (worker: {worker_states})"),
            Self::GivenUp {
                host,
                task,
                suspicion,
                crashes,
                workers,
            } => write!(
                f,
                "given up by {host}: task {task} lost its workers and is {suspicion} \
                 ({crashes}: {workers})"
            ),
            Self::PoolLost { host, pool, reason } => {
                write!(
                    f,
                    "{host} lost its connection to the pool of {pool}: {reason}"
                )
            }
            Self::HandedOver { count, pools } => {
                write!(f, "handed over {count} times, to {pools}")
            }
            Self::Resubmitted => write!(f, "submitted again by the client"),
            Self::ClientDisconnected => write!(f, "the client disconnected before the response"),
            Self::NoResponse => write!(f, "no response was logged"),
        }
    }
}

/// Returns the reasons why a request failed, was late or was run again; empty if it went well.
#[must_use]
pub fn find_causes(timeline: &Timeline) -> Vec<Finding> {
    let mut findings: Vec<Finding> = timeline
        .job_events("job_refused")
        .map(describe_refusal)
        .collect();
    findings.extend(find_late_admissions(timeline));
    findings.extend(find_lateness(timeline));
    findings.extend(find_failed_runs(timeline));
    findings.extend(find_given_up_tasks(timeline));
    findings.extend(find_handovers(timeline));
    if timeline.job_events("job_sent_again").next().is_some() {
        findings.push(Finding::Resubmitted);
    }
    if timeline.job_events("caller_left").next().is_some() {
        findings.push(Finding::ClientDisconnected);
    } else if !is_answered(timeline) {
        findings.push(Finding::NoResponse);
    }
    findings
}

/// Returns whether a response was logged. A request that is refused before its body is read has no
/// other line than its refusal.
fn is_answered(timeline: &Timeline) -> bool {
    timeline.job_events("request_answered").next().is_some()
        || timeline
            .job_events("job_refused")
            .any(|line| field_text(line, "body") == "unread")
}

fn describe_refusal(line: &LogLine) -> Finding {
    let inputs: Vec<String> = line
        .fields
        .iter()
        .filter(|(key, _)| !matches!(key.as_str(), "job" | "route" | "reason"))
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    Finding::Refused {
        host: line.host.to_string(),
        reason: field_text(line, "reason"),
        inputs: inputs.join(" "),
    }
}

fn find_late_admissions(timeline: &Timeline) -> Vec<Finding> {
    let admitted = timeline
        .job_events("job_admitted")
        .filter(|line| field_text(line, "class") == "late")
        .map(|line| Finding::AdmittedLate {
            host: line.host.to_string(),
            wait_ms: field_text(line, "wait_ms"),
        });
    let deferred = timeline
        .job_events("job_deferred")
        .map(|line| Finding::Deferred {
            host: line.host.to_string(),
            waiting: field_text(line, "waiting"),
        });
    admitted.chain(deferred).collect()
}

fn find_lateness(timeline: &Timeline) -> Vec<Finding> {
    let Some(end) = timeline.job_events("job_ended").last() else {
        return Vec::new();
    };
    let (Some(age_ms), Some(objective_ms)) = (end.get_u64("age_ms"), end.get_u64("objective_ms"))
    else {
        return Vec::new();
    };
    if age_ms <= objective_ms {
        return Vec::new();
    }
    let mut findings = vec![Finding::Late {
        age_ms,
        objective_ms,
    }];
    let lines: Vec<&LogLine> = timeline.job_lines().collect();
    let longest_gap = lines
        .windows(2)
        .max_by_key(|pair| pair[1].time_ms.saturating_sub(pair[0].time_ms));
    if let Some([before, after]) = longest_gap {
        let gap_ms = after.time_ms.saturating_sub(before.time_ms);
        if gap_ms >= MIN_REPORTED_WAIT_MS {
            findings.push(Finding::LongestWait {
                gap_ms,
                after: before.event.clone(),
                until: after.event.clone(),
            });
        }
    }
    findings
}

fn find_failed_runs(timeline: &Timeline) -> Vec<Finding> {
    let failed_runs = timeline
        .job_events("run_ended")
        .filter(|line| !line.field_is("end", "done"));
    let refused_starts = timeline.job_events("start_refused");
    let describe = |line: &LogLine, end: String| {
        let worker = field_text(line, "worker");
        let worker_states: Vec<&str> = timeline
            .lines
            .iter()
            .filter(|other| other.event == "worker_changed" && other.field_is("worker", &worker))
            .filter_map(|other| other.get("belief"))
            .collect();
        let worker_states = if worker_states.is_empty() {
            String::from("no state change logged")
        } else {
            worker_states.join(", ")
        };
        Finding::RunFailed {
            worker,
            end,
            worker_states,
        }
    };
    let mut findings: Vec<Finding> = refused_starts
        .map(|line| describe(line, format!("start {}", field_text(line, "reason"))))
        .collect();
    findings.extend(failed_runs.map(|line| describe(line, field_text(line, "end"))));
    findings.dedup();
    findings
}

fn find_given_up_tasks(timeline: &Timeline) -> Vec<Finding> {
    let given_up = timeline.job_events("task_given_up");
    given_up
        .map(|line| Finding::GivenUp {
            host: line.host.to_string(),
            task: field_text(line, "task"),
            suspicion: field_text(line, "suspicion"),
            crashes: format!(
                "{} crashes, {} alone",
                field_text(line, "crashes"),
                field_text(line, "alone"),
            ),
            workers: field_text(line, "workers"),
        })
        .collect()
}

fn find_handovers(timeline: &Timeline) -> Vec<Finding> {
    let pools: Vec<&str> = timeline
        .job_events("job_handed_over")
        .filter_map(|line| line.get("pool"))
        .collect();
    if pools.is_empty() {
        return Vec::new();
    }
    let relays: Vec<&str> = timeline
        .job_events("job_handed_over")
        .map(|line| &*line.host)
        .collect();
    let lost_pools = timeline
        .lines
        .iter()
        .filter(|line| line.event == "pool_lost" && relays.contains(&&*line.host));
    let mut findings: Vec<Finding> = lost_pools
        .map(|line| Finding::PoolLost {
            host: line.host.to_string(),
            pool: field_text(line, "pool"),
            reason: field_text(line, "reason"),
        })
        .collect();
    findings.push(Finding::HandedOver {
        count: pools.len(),
        pools: pools.join(", "),
    });
    findings
}

fn field_text(line: &LogLine, key: &str) -> String {
    String::from(line.get(key).unwrap_or("not logged"))
}
