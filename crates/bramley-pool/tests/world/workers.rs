//! Workers as the platform's behave: tokens, run leases, lists of runs and ends.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_pool::job::{ServiceName, TaskName};
use bramley_pool::room::TaskRoom;
use bramley_pool::worker::{
    ActiveRun, CallAnswer, CallRefusal, EndedRun, RunEnd, WorkerCall, WorkerClock, WorkerEntry,
    WorkerName, WorkerOrder, WorkerReport,
};

/// Time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(20);

/// Run time of a job that the test did not state.
const DEFAULT_RUN: Duration = Duration::from_millis(100);

/// How a worker treats what it is told to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Soundness {
    /// Runs take their time times this factor.
    Paced(f64),
    /// Runs fail at once.
    Failing,
    /// Runs never end.
    Hanging,
}

#[derive(Clone, Debug)]
struct VirtualRun {
    task: TaskName,
    number: u32,
    began: UnixTime,
    ends: UnixTime,
    end: RunEnd,
    room: u32,
}

/// A worker with 32 cores.
#[derive(Debug)]
pub struct VirtualWorker {
    pub name: String,
    pub born_unix_ms: u64,
    pub capacity_milli: u32,
    pub alive: bool,
    /// Hears and says nothing, but runs on.
    pub silent: bool,
    /// Time by which its answers are late.
    pub answer_delay: Duration,
    pub listed: bool,
    pub leaving: bool,
    pub soundness: Soundness,
    pub run_times: BTreeMap<String, Duration>,
    pub starts_refused: u32,
    clock_offset: u64,
    token: u64,
    lease_end: u64,
    runs: Vec<VirtualRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    barred: BTreeMap<TaskName, u32>,
    past: Vec<(String, UnixTime, UnixTime)>,
    rooms: BTreeMap<String, u32>,
}

impl VirtualWorker {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("worker-{index}"),
            born_unix_ms: 1,
            capacity_milli: 32_000,
            alive: true,
            silent: false,
            answer_delay: Duration::ZERO,
            listed: true,
            leaving: false,
            soundness: Soundness::Paced(1.0),
            run_times: BTreeMap::new(),
            starts_refused: 0,
            clock_offset: 17 * (index as u64 + 1),
            token: 0,
            lease_end: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
            past: Vec::new(),
            rooms: BTreeMap::new(),
        }
    }

    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            name: WorkerName::new(self.name.as_str()),
            born_unix_ms: self.born_unix_ms,
            service: ServiceName::new("service-1"),
            failure_domain: "domain-1".into(),
            address: "10.0.0.1:1".into(),
            leaving: self.leaving,
            capacity: TaskRoom {
                accelerators: 0,
                cpu_milli: self.capacity_milli,
                memory_mb: 65_536,
            },
            labels: Vec::new(),
        }
    }

    /// Crashes and starts again under its name.
    pub fn reborn(&mut self, now: UnixTime) {
        self.crash(now);
        self.alive = true;
        self.silent = false;
        self.born_unix_ms = now.as_millis();
    }

    /// Ends with everything that runs on it.
    pub fn crash(&mut self, now: UnixTime) {
        self.advance(now);
        for run in std::mem::take(&mut self.runs) {
            self.past.push((run.task.to_string(), run.began, now));
        }
        self.alive = false;
        self.token = 0;
        self.lease_end = 0;
        self.ended.clear();
        self.next_end = 1;
        self.barred.clear();
        self.clock_offset = 5;
    }

    /// Returns every run with its begin and end.
    pub fn history(&self, now: UnixTime) -> Vec<(String, UnixTime, UnixTime)> {
        let present = self
            .runs
            .iter()
            .map(|run| (run.task.to_string(), run.began, now));
        self.past.iter().cloned().chain(present).collect()
    }

    /// Returns the number of runs under way.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    pub fn clock(&self, now: UnixTime) -> u64 {
        now.as_millis() - 900_000 + self.clock_offset
    }

    /// Ends what has ended or whose lease is over.
    pub fn advance(&mut self, now: UnixTime) {
        let lapse_at = UnixTime::from_millis(self.lease_end + 900_000 - self.clock_offset);
        let mut position = 0;
        while position < self.runs.len() {
            let run = &self.runs[position];
            let (ends, end) = if lapse_at < run.ends {
                (lapse_at, RunEnd::LeaseEnded)
            } else {
                (run.ends, run.end)
            };
            if ends > now {
                position += 1;
                continue;
            }
            let run = self.runs.remove(position);
            self.past.push((run.task.to_string(), run.began, ends));
            let barred = self.barred.entry(run.task.clone()).or_default();
            *barred = (*barred).max(run.number);
            self.ended.push(EndedRun {
                position: self.next_end,
                task: run.task,
                number: run.number,
                end,
            });
            self.next_end += 1;
        }
    }

    /// Carries out a look's renewal and acknowledgement; returns a refusal.
    pub fn accept_look(&mut self, call: &WorkerCall, now: UnixTime) -> Option<CallAnswer> {
        self.advance(now);
        if call.token < self.token {
            let clock = WorkerClock(self.clock(now));
            return Some(CallAnswer::Refused(CallRefusal::Fenced, Some(clock)));
        }
        self.token = call.token;
        if let WorkerOrder::Look {
            lease_end,
            acknowledged,
            ..
        } = &call.order
        {
            if let Some(end) = lease_end {
                self.lease_end = self.lease_end.max(end.0);
            }
            self.ended.retain(|end| end.position > *acknowledged);
        }
        None
    }

    pub fn has_end_after(&self, position: u64) -> bool {
        self.ended.iter().any(|end| end.position > position)
    }

    pub fn report(&self, now: UnixTime) -> WorkerReport {
        WorkerReport {
            born_unix_ms: Some(self.born_unix_ms),
            clock: WorkerClock(self.clock(now)),
            active: self
                .runs
                .iter()
                .map(|run| ActiveRun {
                    task: run.task.clone(),
                    number: run.number,
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }

    /// Carries out a start or a stop.
    pub fn order(&mut self, call: &WorkerCall, now: UnixTime) -> CallAnswer {
        self.advance(now);
        let clock = WorkerClock(self.clock(now));
        if call.token < self.token {
            return CallAnswer::Refused(CallRefusal::Fenced, Some(clock));
        }
        self.token = call.token;
        match &call.order {
            WorkerOrder::Start {
                task,
                number,
                lease_end,
                ..
            } => self.start(task, *number, lease_end.0, now),
            WorkerOrder::Stop { task, number } => {
                let barred = self.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(*number);
                for run in &mut self.runs {
                    if run.task == *task && run.number <= *number {
                        run.ends = run.ends.min(now.after(STOP_TIME));
                        run.end = RunEnd::Stopped;
                    }
                }
                CallAnswer::Accepted(clock)
            }
            WorkerOrder::Look { .. } => CallAnswer::Accepted(clock),
        }
    }

    fn start(&mut self, task: &TaskName, number: u32, lease_end: u64, now: UnixTime) -> CallAnswer {
        let clock = WorkerClock(self.clock(now));
        if lease_end <= clock.0 {
            return CallAnswer::Refused(CallRefusal::TooLate, Some(clock));
        }
        self.lease_end = self.lease_end.max(lease_end);
        if self
            .barred
            .get(task)
            .is_some_and(|barred| *barred >= number)
        {
            return CallAnswer::Refused(CallRefusal::OldNumber, Some(clock));
        }
        if self.runs.iter().any(|run| run.task == *task) {
            return CallAnswer::Accepted(clock);
        }
        let room = self.rooms.get(task.job.as_str()).copied().unwrap_or(10_000);
        let taken: u32 = self.runs.iter().map(|run| run.room).sum();
        if taken + room > self.capacity_milli {
            self.starts_refused += 1;
            return CallAnswer::Refused(CallRefusal::NoRoom, Some(clock));
        }
        let span = self
            .run_times
            .get(task.job.as_str())
            .copied()
            .unwrap_or(DEFAULT_RUN);
        let (span, end) = match self.soundness {
            Soundness::Paced(factor) => (span.mul_f64(factor), RunEnd::Done),
            Soundness::Failing => (Duration::from_millis(2), RunEnd::Failed),
            Soundness::Hanging => (Duration::from_secs(3_600), RunEnd::Done),
        };
        self.runs.push(VirtualRun {
            task: task.clone(),
            number,
            began: now,
            ends: now.after(span),
            end,
            room,
        });
        CallAnswer::Accepted(clock)
    }

    /// States the room that a job's tasks take.
    pub fn set_room(&mut self, job: &str, cpu_milli: u32) {
        self.rooms.insert(String::from(job), cpu_milli);
    }
}
