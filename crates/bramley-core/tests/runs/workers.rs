//! Workers that run tasks; the checks record each start.

use std::collections::BTreeMap;
use std::sync::Arc;

use bramley_core::kernel::event::AttemptResult;
use bramley_core::names::WorkerName;
use bramley_core::task::NotStartedProof;
use bramley_core::units::TaskKey;
use bramley_core::worker::{WorkerProfile, WorkerState};

use super::messages::{IncarnationNumber, Message, StartCall, Target};
use super::report::FaultKind;
use super::simulation::{DOMAINS, Simulation, WORKER_DOMAINS, WORKER_SLOTS};
use crate::support::live_worker;

/// State of a worker.
#[derive(Default)]
pub struct WorkerNode {
    pub running: BTreeMap<u64, StartCall>,
    /// Start requests received while frozen.
    pub queued_starts: Vec<StartCall>,
    pub dead: bool,
    pub frozen: bool,
    pub leaving: bool,
    pub fails_all: bool,
    last_run: u64,
}

/// Returns the index of a worker, which its name ends in.
pub fn worker_index(name: &WorkerName) -> usize {
    name.as_str()["worker-".len()..]
        .parse()
        .expect("the name ends in the index of a worker")
}

impl Simulation {
    /// Returns the platform's list of workers.
    pub fn worker_profiles(&self) -> Vec<WorkerProfile> {
        let mut list = Vec::new();
        for (number, node) in self.workers.iter().enumerate() {
            let domain = DOMAINS[WORKER_DOMAINS[number]];
            let mut profile = live_worker(&format!("worker-{number}"), domain, WORKER_SLOTS);
            profile
                .address
                .set_port(u16::try_from(number).expect("few workers"));
            if node.leaving {
                profile.state = WorkerState::Leaving;
            }
            list.push(profile);
        }
        list
    }

    /// Sends a task to a worker. If the request is lost, the host sees a failed connection, a reset
    /// or no answer at all.
    pub fn send_start(&mut self, domain: usize, worker: usize, call: StartCall) {
        let to = WORKER_DOMAINS[worker];
        let unreachable = self.is_partitioned(Some(domain), Some(to)) || self.workers[worker].dead;
        if unreachable && self.chance(50) {
            let result = AttemptResult::NotStarted {
                proof: NotStartedProof::ConnectFailed,
                leaving: false,
            };
            self.end_attempt(&call, result);
            return;
        }
        if unreachable || (self.now < self.fault_periods.silent_until && self.chance(10)) {
            self.report.record_fault(FaultKind::SilentConnection);
            return;
        }
        if self.now < self.fault_periods.lossy_until && self.chance(4) {
            self.report.record_fault(FaultKind::LostMessage);
            self.end_attempt(&call, AttemptResult::Unknown);
            return;
        }
        let mut delay = self.network_delay();
        if self.chance(1) {
            self.report.record_fault(FaultKind::StalledStart);
            delay = self.random_micros(200_000, 4_000_000);
        }
        self.schedule(
            delay,
            Target::Simulation,
            Message::StartArrived { worker, call },
        );
    }

    /// Reports the result of an attempt to the host.
    fn end_attempt(&mut self, call: &StartCall, result: AttemptResult) {
        let delay = self.network_delay();
        let message = Message::AttemptEnded {
            attempt: call.attempt,
            result,
        };
        self.schedule(delay, Target::Incarnation(call.from), message);
    }

    /// Starts a task, or refuses to start it.
    pub fn on_start(&mut self, worker: usize, call: StartCall) {
        let node = &mut self.workers[worker];
        if node.dead {
            self.end_attempt(&call, AttemptResult::Unknown);
            return;
        }
        if node.frozen {
            node.queued_starts.push(call);
            return;
        }
        // Only every other worker enforces the latest start time.
        let too_late = worker.is_multiple_of(2) && self.now > call.start_deadline;
        if node.leaving || node.running.len() >= WORKER_SLOTS as usize || too_late {
            let result = AttemptResult::NotStarted {
                proof: NotStartedProof::RefusedByWorker,
                leaving: node.leaving,
            };
            self.end_attempt(&call, result);
            return;
        }
        node.last_run += 1;
        let run = node.last_run;
        self.record_start(&call);
        self.workers[worker].running.insert(run, call);
        let run_time = if self.chance(3) {
            self.random_micros(500_000, 3_000_000)
        } else {
            self.random_micros(5_000, 120_000)
        };
        self.schedule(
            run_time,
            Target::Simulation,
            Message::RunEnded { worker, run },
        );
    }

    /// Ends the run of a task and sends the result to the host.
    pub fn on_run_ended(&mut self, worker: usize, run: u64) {
        let node = &mut self.workers[worker];
        if node.frozen {
            let delay = self.random_micros(100_000, 200_000);
            self.schedule(delay, Target::Simulation, Message::RunEnded { worker, run });
            return;
        }
        let Some(call) = node.running.remove(&run) else {
            return;
        };
        let result = if node.fails_all {
            AttemptResult::Failed
        } else {
            AttemptResult::Finished(Arc::clone(&call.payload))
        };
        self.answer_start(worker, &call, result);
    }

    /// Sends the answer of a worker. It may be lost, repeated late or also be received for another
    /// attempt.
    fn answer_start(&mut self, worker: usize, call: &StartCall, result: AttemptResult) {
        let Some(node) = self.hosts.get(&call.from) else {
            return;
        };
        let cut = self.is_partitioned(Some(WORKER_DOMAINS[worker]), Some(node.domain));
        let last_ended = node.last_ended;
        if cut || (self.now < self.fault_periods.silent_until && self.chance(10)) {
            self.report.record_fault(FaultKind::SilentConnection);
            return;
        }
        if self.now < self.fault_periods.lossy_until && self.chance(4) {
            self.report.record_fault(FaultKind::LostMessage);
            self.end_attempt(call, AttemptResult::Unknown);
            return;
        }
        if self.now < self.fault_periods.lossy_until && self.chance(6) {
            self.report.record_fault(FaultKind::LateAnswer);
            let delay = self.random_micros(50_000, 4_000_000);
            let message = Message::AttemptEnded {
                attempt: call.attempt,
                result: result.clone(),
            };
            self.schedule(delay, Target::Incarnation(call.from), message);
        }
        if self.now < self.fault_periods.lossy_until && self.chance(6) {
            // The answer also arrives on the connection of another attempt, which has ended.
            self.report.record_fault(FaultKind::CrossedAnswer);
            if let Some(attempt) = last_ended {
                let message = Message::AttemptEnded {
                    attempt,
                    result: result.clone(),
                };
                self.schedule(
                    self.min_network_delay(),
                    Target::Incarnation(call.from),
                    message,
                );
            }
        }
        self.end_attempt(call, result);
    }

    /// Returns the minimum delay of a message.
    fn min_network_delay(&self) -> std::time::Duration {
        std::time::Duration::from_micros(200)
    }

    /// Stops a running task.
    pub fn on_stop(&mut self, worker: usize, from: IncarnationNumber, task: TaskKey) {
        let node = &mut self.workers[worker];
        let run = node
            .running
            .iter()
            .find(|(_, call)| call.from == from && call.task == task)
            .map(|(run, _)| *run);
        if let Some(call) = run.and_then(|run| node.running.remove(&run)) {
            self.answer_start(worker, &call, AttemptResult::Failed);
        }
    }

    /// Kills a worker with all its running tasks; some hosts see a reset connection.
    pub fn kill_worker(&mut self, worker: usize) {
        let node = &mut self.workers[worker];
        node.dead = true;
        node.queued_starts.clear();
        for (_, call) in std::mem::take(&mut node.running) {
            if self.chance(50) {
                self.end_attempt(&call, AttemptResult::Unknown);
            }
        }
    }

    /// Ends all faults of a worker; starts received while it was frozen are processed now.
    pub fn restore_worker(&mut self, worker: usize) {
        let node = &mut self.workers[worker];
        node.dead = false;
        node.frozen = false;
        node.leaving = false;
        node.fails_all = false;
        for call in std::mem::take(&mut node.queued_starts) {
            self.on_start(worker, call);
        }
    }
}
