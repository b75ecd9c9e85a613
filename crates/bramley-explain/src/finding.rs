//! Derives causes from a timeline.

use std::fmt;

use crate::line::LogLine;
use crate::timeline::Timeline;

/// Gap between two lines of a job from which it is named as a cause of lateness, in milliseconds.
const NOTABLE_GAP_MS: u64 = 100;

/// Something that made a request fail, late or run again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// A pool refused the job.
    Refused {
        /// Host of the pool or relay.
        host: String,
        /// Reason as logged.
        reason: String,
        /// What decided it.
        inputs: String,
    },
    /// The answer came after the latency objective.
    Late {
        /// Time from the request to the end, in milliseconds.
        age_ms: u64,
        /// Latency objective in milliseconds.
        objective_ms: u64,
    },
    /// The longest time in which nothing was decided on the job.
    Waited {
        /// Its length in milliseconds.
        gap_ms: u64,
        /// Event before it.
        after: String,
        /// Event that ended it.
        until: String,
    },
    /// A run ended otherwise than well.
    RunLost {
        /// Worker.
        worker: String,
        /// How it ended.
        end: String,
        /// What the pool believed of the worker meanwhile.
        beliefs: String,
    },
    /// The relay lost the pool that had the job.
    PoolLost {
        /// Host of the relay.
        host: String,
        /// Failure domain of the pool.
        pool: String,
        /// How the connection ended.
        reason: String,
    },
    /// The job was handed to another pool.
    HandedOver {
        /// Times.
        times: usize,
        /// Failure domains of the pools, in order.
        pools: String,
    },
    /// Its client sent the job again.
    SentAgain,
    /// The client left before the answer.
    CallerLeft,
    /// No answer is logged.
    Unanswered,
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
            Self::Waited {
                gap_ms,
                after,
                until,
            } => write!(f, "longest wait: {gap_ms} ms after {after} until {until}"),
            Self::RunLost {
                worker,
                end,
                beliefs,
            } => write!(f, "run lost on {worker}: {end} (worker: {beliefs})"),
            Self::PoolLost { host, pool, reason } => {
                write!(f, "{host} lost the pool of {pool}: {reason}")
            }
            Self::HandedOver { times, pools } => {
                write!(f, "handed over {times} times, to {pools}")
            }
            Self::SentAgain => write!(f, "its client sent it again"),
            Self::CallerLeft => write!(f, "its client left before the answer"),
            Self::Unanswered => write!(f, "no answer is logged"),
        }
    }
}

/// Returns what made a request fail, late or run again; nothing for one that went well.
#[must_use]
pub fn find_causes(timeline: &Timeline) -> Vec<Finding> {
    let mut found: Vec<Finding> = timeline.events("job_refused").map(refused).collect();
    found.extend(find_lateness(timeline));
    found.extend(find_lost_runs(timeline));
    found.extend(find_handovers(timeline));
    if timeline.events("job_sent_again").next().is_some() {
        found.push(Finding::SentAgain);
    }
    if timeline.events("caller_left").next().is_some() {
        found.push(Finding::CallerLeft);
    } else if timeline.events("request_answered").next().is_none() {
        found.push(Finding::Unanswered);
    }
    found
}

fn refused(line: &LogLine) -> Finding {
    let inputs: Vec<String> = line
        .fields
        .iter()
        .filter(|(key, _)| !matches!(key.as_str(), "job" | "route" | "reason"))
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    Finding::Refused {
        host: line.host.to_string(),
        reason: text_of(line, "reason"),
        inputs: inputs.join(" "),
    }
}

fn find_lateness(timeline: &Timeline) -> Vec<Finding> {
    let Some(end) = timeline.events("job_ended").last() else {
        return Vec::new();
    };
    let (Some(age_ms), Some(objective_ms)) = (end.number("age_ms"), end.number("objective_ms"))
    else {
        return Vec::new();
    };
    if age_ms <= objective_ms {
        return Vec::new();
    }
    let mut found = vec![Finding::Late {
        age_ms,
        objective_ms,
    }];
    let own: Vec<&LogLine> = timeline.own_lines().collect();
    let longest = own
        .windows(2)
        .max_by_key(|pair| pair[1].time_ms.saturating_sub(pair[0].time_ms));
    if let Some([before, after]) = longest {
        let gap_ms = after.time_ms.saturating_sub(before.time_ms);
        if gap_ms >= NOTABLE_GAP_MS {
            found.push(Finding::Waited {
                gap_ms,
                after: before.event.clone(),
                until: after.event.clone(),
            });
        }
    }
    found
}

fn find_lost_runs(timeline: &Timeline) -> Vec<Finding> {
    let lost = timeline
        .events("run_ended")
        .filter(|line| !line.has("end", "done"));
    let unanswered = timeline.events("start_refused");
    let describe = |line: &LogLine, end: String| {
        let worker = text_of(line, "worker");
        let beliefs: Vec<&str> = timeline
            .lines
            .iter()
            .filter(|other| other.event == "worker_changed" && other.has("worker", &worker))
            .filter_map(|other| other.get("belief"))
            .collect();
        let beliefs = if beliefs.is_empty() {
            String::from("no change of belief")
        } else {
            beliefs.join(", ")
        };
        Finding::RunLost {
            worker,
            end,
            beliefs,
        }
    };
    let mut found: Vec<Finding> = unanswered
        .map(|line| describe(line, format!("start {}", text_of(line, "reason"))))
        .collect();
    found.extend(lost.map(|line| describe(line, text_of(line, "end"))));
    found.dedup();
    found
}

fn find_handovers(timeline: &Timeline) -> Vec<Finding> {
    let pools: Vec<&str> = timeline
        .events("job_handed_over")
        .filter_map(|line| line.get("pool"))
        .collect();
    if pools.is_empty() {
        return Vec::new();
    }
    let relays: Vec<&str> = timeline
        .events("job_handed_over")
        .map(|line| &*line.host)
        .collect();
    let lost = timeline
        .lines
        .iter()
        .filter(|line| line.event == "pool_lost" && relays.contains(&&*line.host));
    let mut found: Vec<Finding> = lost
        .map(|line| Finding::PoolLost {
            host: line.host.to_string(),
            pool: text_of(line, "pool"),
            reason: text_of(line, "reason"),
        })
        .collect();
    found.push(Finding::HandedOver {
        times: pools.len(),
        pools: pools.join(", "),
    });
    found
}

fn text_of(line: &LogLine, key: &str) -> String {
    String::from(line.get(key).unwrap_or("not stated"))
}
