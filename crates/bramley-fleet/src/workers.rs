//! Simulated workers with the platform's fencing tokens, run leases and lists of active and ended
//! runs.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_pool::job::{ServiceName, TaskName};
use bramley_pool::resources::TaskResources;
use bramley_pool::worker::{
    ActiveRun, CallAnswer, CallRefusal, EndedRun, RunEnd, WorkerCall, WorkerClock, WorkerEntry,
    WorkerName, WorkerReport, WorkerRequest,
};

/// Time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(20);

/// Failure domain of all hosts and workers unless a test has several.
pub const FIRST_DOMAIN: &str = "domain-1";

/// Run time of jobs for which the test sets none.
const DEFAULT_RUN: Duration = Duration::from_millis(100);

/// Behaviour of a worker with the tasks that it starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Run times are multiplied by this factor.
    RunTimeFactor(f64),
    /// Runs fail immediately.
    Failing,
    /// Runs never end.
    Hanging,
}

#[derive(Clone, Debug)]
struct VirtualRun {
    task: TaskName,
    number: u32,
    started_at: UnixTime,
    ends_at: UnixTime,
    end: RunEnd,
    cpu_milli: u32,
    /// Factor by which its present neighbours prolong it.
    stretch: f64,
}

/// A worker with 32 cores.
#[derive(Debug)]
pub struct VirtualWorker {
    /// Name, ending in the index of the worker.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Start time of the incarnation in milliseconds.
    pub born_unix_ms: u64,
    /// CPU in thousandths of a core.
    pub capacity_milli: u32,
    /// Whether the process runs.
    pub alive: bool,
    /// Neither receives nor answers requests, but keeps running tasks.
    pub silent: bool,
    /// Additional delay of its answers.
    pub answer_delay: Duration,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is being drained.
    pub leaving: bool,
    /// Time for which its entry says that it is cold.
    pub cold: Duration,
    /// What it does with tasks.
    pub behaviour: Behaviour,
    /// Run times by name of the job, or of the task if it has one of its own.
    pub run_times: BTreeMap<String, Duration>,
    /// Number of starts refused for lack of resources.
    pub starts_refused: u32,
    /// Refuses connections while it is not alive; else it does not respond at all.
    pub refuses_connections: bool,
    /// Starts whatever it is told to, also beyond its capacity.
    pub unguarded: bool,
    /// Starts beyond the capacity that the worker had for at least the time that a pool may take
    /// to learn it.
    pub excess_starts: Vec<String>,
    /// Number of crashes by task during which it ran, or had ended without an acknowledgement.
    pub crashed_under: BTreeMap<String, u32>,
    /// Capacity and the time from which pools have to respect it.
    limit: (u32, UnixTime),
    /// Capacity that pools had to respect before the last change.
    earlier_limit: u32,
    clock_offset: u64,
    token: u64,
    lease_end: u64,
    runs: Vec<VirtualRun>,
    ended: Vec<EndedRun>,
    next_end_position: u64,
    /// Run number by task up to which starts are refused.
    refused_up_to: BTreeMap<TaskName, u32>,
    finished: Vec<(String, UnixTime, UnixTime)>,
    task_cpu: BTreeMap<String, u32>,
    /// Route of each job.
    pub task_routes: BTreeMap<String, &'static str>,
    /// Factors by which runs of the first route are prolonged while runs of the second are active.
    pub slowdowns: BTreeMap<(&'static str, &'static str), f64>,
}

impl VirtualWorker {
    /// Creates a healthy worker with 32 cores.
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("worker-{index}"),
            domain: String::from(FIRST_DOMAIN),
            born_unix_ms: 1,
            capacity_milli: 32_000,
            alive: true,
            silent: false,
            answer_delay: Duration::ZERO,
            listed: true,
            leaving: false,
            cold: Duration::ZERO,
            behaviour: Behaviour::RunTimeFactor(1.0),
            run_times: BTreeMap::new(),
            starts_refused: 0,
            refuses_connections: false,
            unguarded: false,
            excess_starts: Vec::new(),
            crashed_under: BTreeMap::new(),
            limit: (0, UnixTime::default()),
            earlier_limit: 0,
            clock_offset: 17 * (index as u64 + 1),
            token: 0,
            lease_end: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end_position: 1,
            refused_up_to: BTreeMap::new(),
            finished: Vec::new(),
            task_cpu: BTreeMap::new(),
            task_routes: BTreeMap::new(),
            slowdowns: BTreeMap::new(),
        }
    }

    /// Returns its entry in the platform's list.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            name: WorkerName::new(self.name.as_str()),
            born_unix_ms: self.born_unix_ms,
            service: ServiceName::new("service-1"),
            failure_domain: self.domain.as_str().into(),
            address: "10.0.0.1:1".into(),
            leaving: self.leaving,
            capacity: TaskResources {
                accelerators: 0,
                cpu_milli: self.capacity_milli,
                memory_mb: 65_536,
            },
            cold_remaining: self.cold,
            labels: Vec::new(),
        }
    }

    /// Crashes and restarts under the same name.
    pub fn restart(&mut self, now: UnixTime) {
        self.crash(now);
        self.alive = true;
        self.silent = false;
        self.born_unix_ms = now.as_millis();
    }

    /// Starts again under another name, as a new worker at the same address.
    pub fn restart_renamed(&mut self, now: UnixTime) {
        let index = self.name.rsplit('-').next().unwrap_or_default();
        self.name = format!("worker-{}-{index}", now.as_millis());
        self.restart(now);
    }

    /// Changes the capacity. Pools have to respect a smaller one after `notice`.
    pub fn set_capacity(&mut self, cpu_milli: u32, notice: Duration, now: UnixTime) {
        let known = self.limit_at(now).max(cpu_milli);
        self.limit = (cpu_milli, now.after(notice));
        self.earlier_limit = known;
        self.capacity_milli = cpu_milli;
    }

    fn limit_at(&self, now: UnixTime) -> u32 {
        let (limit, since) = self.limit;
        if limit == 0 {
            self.capacity_milli
        } else if now >= since {
            limit
        } else {
            self.earlier_limit
        }
    }

    /// Returns whether a run of the task is active.
    pub fn runs_task(&self, task: &str) -> bool {
        self.runs.iter().any(|run| run.task.to_string() == task)
    }

    /// Ends together with all its runs.
    pub fn crash(&mut self, now: UnixTime) {
        self.advance(now);
        for end in &self.ended {
            *self.crashed_under.entry(end.task.to_string()).or_default() += 1;
        }
        for run in std::mem::take(&mut self.runs) {
            *self.crashed_under.entry(run.task.to_string()).or_default() += 1;
            self.finished
                .push((run.task.to_string(), run.started_at, now));
        }
        self.alive = false;
        self.token = 0;
        self.lease_end = 0;
        self.ended.clear();
        self.next_end_position = 1;
        self.refused_up_to.clear();
        self.clock_offset = 5;
    }

    /// Returns all runs with their start and end times.
    pub fn history(&self, now: UnixTime) -> Vec<(String, UnixTime, UnixTime)> {
        let present = self
            .runs
            .iter()
            .map(|run| (run.task.to_string(), run.started_at, now));
        self.finished.iter().cloned().chain(present).collect()
    }

    /// Returns the number of active runs.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns its clock in milliseconds.
    pub fn clock(&self, now: UnixTime) -> u64 {
        now.as_millis() - 900_000 + self.clock_offset
    }

    /// Ends the runs that are due to end or whose lease has expired.
    pub fn advance(&mut self, now: UnixTime) {
        while !self.slowdowns.is_empty() {
            let next = self.runs.iter().map(|run| run.ends_at).min();
            let Some(next) = next.filter(|next| *next < now) else {
                break;
            };
            self.end_due_runs(next);
            self.update_stretches(next);
        }
        self.end_due_runs(now);
        self.update_stretches(now);
    }

    /// Prolongs or shortens the rest of each run according to its present neighbours.
    fn update_stretches(&mut self, now: UnixTime) {
        if self.slowdowns.is_empty() {
            return;
        }
        for position in 0..self.runs.len() {
            let mut stretch = 1.0;
            for other in (0..self.runs.len()).filter(|other| *other != position) {
                let pair = (self.route_of(position), self.route_of(other));
                stretch *= self.slowdowns.get(&pair).copied().unwrap_or(1.0);
            }
            let run = &mut self.runs[position];
            if run.end != RunEnd::Done {
                continue;
            }
            let rest = run.ends_at.since(now).mul_f64(stretch / run.stretch);
            run.ends_at = now.after(rest);
            run.stretch = stretch;
        }
    }

    fn route_of(&self, position: usize) -> &'static str {
        let job = self.runs[position].task.job.as_str();
        self.task_routes.get(job).copied().unwrap_or_default()
    }

    fn end_due_runs(&mut self, now: UnixTime) {
        let lease_ends_at = UnixTime::from_millis(self.lease_end + 900_000 - self.clock_offset);
        let mut position = 0;
        while position < self.runs.len() {
            let run = &self.runs[position];
            let (ends_at, end) = if lease_ends_at < run.ends_at {
                (lease_ends_at, RunEnd::LeaseEnded)
            } else {
                (run.ends_at, run.end)
            };
            if ends_at > now {
                position += 1;
                continue;
            }
            let run = self.runs.remove(position);
            self.finished
                .push((run.task.to_string(), run.started_at, ends_at));
            let refused_up_to = self.refused_up_to.entry(run.task.clone()).or_default();
            *refused_up_to = (*refused_up_to).max(run.number);
            self.ended.push(EndedRun {
                position: self.next_end_position,
                task: run.task,
                number: run.number,
                end,
            });
            self.next_end_position += 1;
        }
    }

    /// Applies the lease renewal and acknowledgement of a poll; returns the refusal, if any.
    pub fn accept_poll(&mut self, call: &WorkerCall, now: UnixTime) -> Option<CallAnswer> {
        self.advance(now);
        if call.token < self.token {
            let clock = WorkerClock(self.clock(now));
            return Some(CallAnswer::Refused(CallRefusal::Fenced, Some(clock)));
        }
        self.token = call.token;
        if let WorkerRequest::Poll {
            lease_end,
            acknowledged,
            ..
        } = &call.request
        {
            if let Some(end) = lease_end {
                self.lease_end = self.lease_end.max(end.0);
            }
            self.ended.retain(|end| end.position > *acknowledged);
        }
        None
    }

    /// Returns whether a run has ended after this position of the list.
    pub fn has_end_after(&self, position: u64) -> bool {
        self.ended.iter().any(|end| end.position > position)
    }

    /// Returns a report of active and ended runs.
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

    /// Handles a start or stop request.
    pub fn request(&mut self, call: &WorkerCall, now: UnixTime) -> CallAnswer {
        self.advance(now);
        let clock = WorkerClock(self.clock(now));
        if call.token < self.token {
            return CallAnswer::Refused(CallRefusal::Fenced, Some(clock));
        }
        self.token = call.token;
        match &call.request {
            WorkerRequest::Start {
                task,
                number,
                lease_end,
                ..
            } => self.start(task, *number, lease_end.0, now),
            WorkerRequest::Stop { task, number } => {
                let refused_up_to = self.refused_up_to.entry(task.clone()).or_default();
                *refused_up_to = (*refused_up_to).max(*number);
                for run in &mut self.runs {
                    if run.task == *task && run.number <= *number {
                        run.ends_at = run.ends_at.min(now.after(STOP_TIME));
                        run.end = RunEnd::Stopped;
                    }
                }
                CallAnswer::Accepted(clock)
            }
            WorkerRequest::Poll { .. } => CallAnswer::Accepted(clock),
        }
    }

    fn start(&mut self, task: &TaskName, number: u32, lease_end: u64, now: UnixTime) -> CallAnswer {
        let clock = WorkerClock(self.clock(now));
        if lease_end <= clock.0 {
            return CallAnswer::Refused(CallRefusal::TooLate, Some(clock));
        }
        self.lease_end = self.lease_end.max(lease_end);
        if self
            .refused_up_to
            .get(task)
            .is_some_and(|refused_up_to| *refused_up_to >= number)
        {
            return CallAnswer::Refused(CallRefusal::OldNumber, Some(clock));
        }
        if self.runs.iter().any(|run| run.task == *task) {
            return CallAnswer::Accepted(clock);
        }
        let cpu_milli = self
            .task_cpu
            .get(task.job.as_str())
            .copied()
            .unwrap_or(10_000);
        let used: u32 = self.runs.iter().map(|run| run.cpu_milli).sum();
        if used + cpu_milli > self.limit_at(now) {
            let line = format!("{} {task} used={used} needs={cpu_milli}", now.as_millis());
            self.excess_starts.push(line);
        }
        if used + cpu_milli > self.capacity_milli && !self.unguarded {
            self.starts_refused += 1;
            return CallAnswer::Refused(CallRefusal::NoRoom, Some(clock));
        }
        let span = self
            .run_times
            .get(&task.to_string())
            .or_else(|| self.run_times.get(task.job.as_str()))
            .copied()
            .unwrap_or(DEFAULT_RUN);
        let (span, end) = match self.behaviour {
            Behaviour::RunTimeFactor(factor) => (span.mul_f64(factor), RunEnd::Done),
            Behaviour::Failing => (Duration::from_millis(2), RunEnd::Failed),
            Behaviour::Hanging => (Duration::from_secs(3_600), RunEnd::Done),
        };
        self.runs.push(VirtualRun {
            task: task.clone(),
            number,
            started_at: now,
            ends_at: now.after(span),
            end,
            cpu_milli,
            stretch: 1.0,
        });
        self.update_stretches(now);
        CallAnswer::Accepted(clock)
    }

    /// Sets the CPU that a job's tasks need.
    pub fn set_task_cpu(&mut self, job: &str, cpu_milli: u32) {
        self.task_cpu.insert(String::from(job), cpu_milli);
    }
}
