//! Crashes of workers and the tasks that ran there.
//!
//! A task may crash each worker that starts it. Its neighbours are lost with it, and workers also
//! crash or are cut off for other reasons, so a lost run alone does not tell which task is to
//! blame. A task that was lost in a likely crash is therefore started again without neighbours. If
//! that worker crashes as well, the task is given up. A task that was lost often without such
//! evidence is held back: neither failed, as it may be sound, nor started, as it may not be.

use std::cmp::Ordering;
use std::time::Duration;

use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::job::JobName;

/// Likely crashes under a task after which it is given up if it was alone in one of them. The
/// platform allows it from the second crash.
const LIKELY_CRASHES_TO_CONVICT: usize = 2;

/// Possible crashes after which a task is held back. The platform does not tolerate three more
/// starts after three crashes.
const POSSIBLE_CRASHES_TO_HOLD: usize = 3;

/// Possible crashes, none of them likely, from which a task is suspected.
const POSSIBLE_CRASHES_TO_SUSPECT: usize = 2;

/// Evidence that a worker crashed while it had a run, in the order of its weight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashEvidence {
    /// A new leader found neither the run nor the incarnation of the worker that was assigned the
    /// task. The worker may have crashed after the run had ended.
    Missing,
    /// The worker had not answered for some time when it was lost, or has not confirmed the run. It
    /// may have been cut off, and the run may have ended before the worker crashed, if it did.
    Silent,
    /// The worker's address refused connections soon after its last answer. A partition can do
    /// that, too.
    ConnectionRefused,
    /// A later incarnation of the worker, or another worker at its address, answered soon after its
    /// last answer.
    Restarted,
    /// The same incarnation has answered again, so it did not crash.
    Survived,
}

impl CrashEvidence {
    /// All kinds of evidence, in declaration order.
    pub const ALL: [Self; 5] = [
        Self::Missing,
        Self::Silent,
        Self::ConnectionRefused,
        Self::Restarted,
        Self::Survived,
    ];

    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Silent => "silent",
            Self::ConnectionRefused => "connection_refused",
            Self::Restarted => "restarted",
            Self::Survived => "survived",
        }
    }

    /// Returns the code used on the wire between processes.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Decodes a wire code. Unrecognized codes map to the weakest evidence.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        Self::ALL
            .into_iter()
            .find(|evidence| evidence.code() == code)
            .unwrap_or(Self::Missing)
    }

    const fn is_possible_crash(self) -> bool {
        !matches!(self, Self::Survived)
    }

    const fn is_likely_crash(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::Restarted)
    }
}

/// A worker lost together with a run of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskCrash {
    /// Index of the task.
    pub index: u32,
    /// Name of the worker.
    pub worker: WorkerName,
    /// Time at which the lost incarnation of the worker started, in milliseconds since the Unix
    /// epoch.
    pub born_unix_ms: u64,
    /// Run number of the lost run; 0 if it is not known.
    pub number: u32,
    /// Whether the worker had no other run.
    pub alone: bool,
    /// Evidence that the worker crashed.
    pub evidence: CrashEvidence,
}

/// Whether a task is held to crash its workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Suspicion {
    /// No sign of it.
    #[default]
    Unsuspected,
    /// The task or one of its neighbours crashed a worker; the task is started without neighbours.
    Suspected,
    /// The task was lost so often that it is not started again unless workers turn out to have
    /// survived. The evidence does not suffice to fail it.
    Held,
    /// The task crashes its workers.
    Convicted,
}

impl Suspicion {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsuspected => "none",
            Self::Suspected => "suspected",
            Self::Held => "held",
            Self::Convicted => "convicted",
        }
    }

    /// Returns whether the task may be started at all.
    #[must_use]
    pub const fn allows_start(self) -> bool {
        matches!(self, Self::Unsuspected | Self::Suspected)
    }
}

/// Workers lost together with tasks of one job. Records of the same loss are merged, so that it
/// does not matter how often and by which way they arrive.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    crashes: Vec<TaskCrash>,
}

impl CrashHistory {
    /// Adds a loss or the stronger evidence on a known one. A later run that was lost with an
    /// incarnation takes the place of an earlier one, which the incarnation has survived. Returns
    /// whether anything is new.
    pub fn record(&mut self, crash: TaskCrash) -> bool {
        let known = self.crashes.iter_mut().find(|known| {
            known.index == crash.index
                && known.worker == crash.worker
                && known.born_unix_ms == crash.born_unix_ms
        });
        let Some(known) = known else {
            self.crashes.push(crash);
            return true;
        };
        match crash.number.cmp(&known.number) {
            Ordering::Less => false,
            Ordering::Equal => {
                let is_new = crash.evidence > known.evidence;
                known.evidence = known.evidence.max(crash.evidence);
                is_new
            }
            Ordering::Greater => {
                *known = crash;
                true
            }
        }
    }

    /// Returns the records in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &TaskCrash> {
        self.crashes.iter()
    }

    /// Returns the possible crashes under a task.
    pub fn possible_crashes(&self, index: u32) -> impl Iterator<Item = &TaskCrash> {
        self.crashes
            .iter()
            .filter(move |crash| crash.index == index && crash.evidence.is_possible_crash())
    }

    /// Judges a task by the workers that were lost under it.
    #[must_use]
    pub fn suspicion(&self, index: u32) -> Suspicion {
        let possible = self.possible_crashes(index).count();
        let likely: Vec<&TaskCrash> = self
            .possible_crashes(index)
            .filter(|crash| crash.evidence.is_likely_crash())
            .collect();
        let was_alone = likely.iter().any(|crash| crash.alone);
        if likely.len() >= LIKELY_CRASHES_TO_CONVICT && was_alone {
            Suspicion::Convicted
        } else if possible >= POSSIBLE_CRASHES_TO_HOLD {
            Suspicion::Held
        } else if !likely.is_empty() || possible >= POSSIBLE_CRASHES_TO_SUSPECT {
            Suspicion::Suspected
        } else {
            Suspicion::Unsuspected
        }
    }
}

impl FromIterator<TaskCrash> for CrashHistory {
    fn from_iter<I: IntoIterator<Item = TaskCrash>>(iter: I) -> Self {
        let mut history = Self::default();
        for crash in iter {
            history.record(crash);
        }
        history
    }
}

/// History of a job with the time until which it is kept.
#[derive(Clone, Debug)]
struct RememberedCrashes {
    history: CrashHistory,
    expires_at: UnixTime,
}

/// Crashes under the tasks of recent jobs. It outlives the jobs, whose clients may send them again.
#[derive(Clone, Debug, Default)]
pub struct CrashMemory {
    jobs: FxHashMap<JobName, RememberedCrashes>,
}

impl CrashMemory {
    /// Adds a record that is kept for `retention`. Returns whether anything is new.
    pub fn record(
        &mut self,
        job: &JobName,
        crash: TaskCrash,
        retention: Duration,
        now: UnixTime,
    ) -> bool {
        let expires_at = now.after(retention);
        let remembered = self
            .jobs
            .entry(job.clone())
            .or_insert_with(|| RememberedCrashes {
                history: CrashHistory::default(),
                expires_at,
            });
        remembered.expires_at = expires_at;
        remembered.history.record(crash)
    }

    /// Returns the history of a job, if workers were lost under its tasks.
    #[must_use]
    pub fn history(&self, job: &JobName) -> Option<&CrashHistory> {
        self.jobs.get(job).map(|remembered| &remembered.history)
    }

    /// Drops histories whose time is over.
    pub fn expire(&mut self, now: UnixTime) {
        self.jobs
            .retain(|_, remembered| remembered.expires_at > now);
    }
}
