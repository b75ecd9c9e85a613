//! Workers that run tasks and keep ledgers of what they started.

use std::collections::BTreeMap;
use std::sync::Arc;

use bramley_core::kernel::event::AttemptEnd;
use bramley_core::names::WorkerName;
use bramley_core::task::NotStartedProof;
use bramley_core::units::TaskKey;
use bramley_core::worker::{WorkerProfile, WorkerState};

use super::messages::{IncarnationNumber, Message, StartCall, Target};
use super::report::FaultKind;
use super::world::{DOMAINS, WORKER_DOMAINS, WORKER_SLOTS, World};
use crate::support::worker;

/// One worker.
#[derive(Default)]
pub struct WorkerNode {
    pub running: BTreeMap<u64, StartCall>,
    pub held: Vec<StartCall>,
    pub dead: bool,
    pub frozen: bool,
    pub leaving: bool,
    pub fails_all: bool,
    last_run: u64,
}

pub fn worker_of(name: &WorkerName) -> usize {
    name.as_str()["worker-".len()..]
        .parse()
        .expect("a worker of the run")
}

impl World {
    /// Returns the platform's list of workers.
    pub fn worker_list(&self) -> Vec<WorkerProfile> {
        let mut list = Vec::new();
        for (number, node) in self.workers.iter().enumerate() {
            let domain = DOMAINS[WORKER_DOMAINS[number]];
            let mut profile = worker(&format!("worker-{number}"), domain, WORKER_SLOTS);
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

    /// Sends a task to a worker; what is lost ends as a failed connection, a reset or in silence.
    pub fn send_start(&mut self, domain: usize, worker: usize, call: StartCall) {
        let to = WORKER_DOMAINS[worker];
        let unreachable = self.is_cut(Some(domain), Some(to)) || self.workers[worker].dead;
        if unreachable && self.chance(50) {
            let end = AttemptEnd::NotStarted {
                proof: NotStartedProof::ConnectFailed,
                leaving: false,
            };
            self.end_attempt(&call, end);
            return;
        }
        if unreachable || (self.now < self.periods.silent_until && self.chance(10)) {
            self.report.injected(FaultKind::SilentConnection);
            return;
        }
        if self.now < self.periods.lossy_until && self.chance(4) {
            self.report.injected(FaultKind::LostMessage);
            self.end_attempt(&call, AttemptEnd::Unknown);
            return;
        }
        let mut delay = self.network_delay();
        if self.chance(1) {
            self.report.injected(FaultKind::StalledStart);
            delay = self.micros(200_000, 4_000_000);
        }
        self.schedule(delay, Target::World, Message::StartArrived { worker, call });
    }

    /// Lets a host learn how an attempt ended.
    fn end_attempt(&mut self, call: &StartCall, end: AttemptEnd) {
        let delay = self.network_delay();
        let message = Message::AttemptEnded {
            attempt: call.attempt,
            end,
        };
        self.schedule(delay, Target::Incarnation(call.from), message);
    }

    /// Starts a task, or refuses it before its start.
    pub fn on_start(&mut self, worker: usize, call: StartCall) {
        let node = &mut self.workers[worker];
        if node.dead {
            self.end_attempt(&call, AttemptEnd::Unknown);
            return;
        }
        if node.frozen {
            node.held.push(call);
            return;
        }
        // Only every other worker minds the latest start time.
        let too_late = worker.is_multiple_of(2) && self.now > call.start_before;
        if node.leaving || node.running.len() >= WORKER_SLOTS as usize || too_late {
            let end = AttemptEnd::NotStarted {
                proof: NotStartedProof::RefusedByWorker,
                leaving: node.leaving,
            };
            self.end_attempt(&call, end);
            return;
        }
        node.last_run += 1;
        let run = node.last_run;
        self.record_start(&call);
        self.workers[worker].running.insert(run, call);
        let span = if self.chance(3) {
            self.micros(500_000, 3_000_000)
        } else {
            self.micros(5_000, 120_000)
        };
        self.schedule(span, Target::World, Message::RunEnded { worker, run });
    }

    /// Ends a run and answers the host that asked for it.
    pub fn on_run_ended(&mut self, worker: usize, run: u64) {
        let node = &mut self.workers[worker];
        if node.frozen {
            let delay = self.micros(100_000, 200_000);
            self.schedule(delay, Target::World, Message::RunEnded { worker, run });
            return;
        }
        let Some(call) = node.running.remove(&run) else {
            return;
        };
        let end = if node.fails_all {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Finished(Arc::clone(&call.payload))
        };
        self.answer_start(worker, &call, end);
    }

    /// Sends the answer of a worker, which may be lost, late, repeated or crossed.
    fn answer_start(&mut self, worker: usize, call: &StartCall, end: AttemptEnd) {
        let Some(node) = self.hosts.get(&call.from) else {
            return;
        };
        let cut = self.is_cut(Some(WORKER_DOMAINS[worker]), Some(node.domain));
        let last_ended = node.last_ended;
        if cut || (self.now < self.periods.silent_until && self.chance(10)) {
            self.report.injected(FaultKind::SilentConnection);
            return;
        }
        if self.now < self.periods.lossy_until && self.chance(4) {
            self.report.injected(FaultKind::LostMessage);
            self.end_attempt(call, AttemptEnd::Unknown);
            return;
        }
        if self.now < self.periods.lossy_until && self.chance(6) {
            self.report.injected(FaultKind::LateAnswer);
            let delay = self.micros(50_000, 4_000_000);
            let message = Message::AttemptEnded {
                attempt: call.attempt,
                end: end.clone(),
            };
            self.schedule(delay, Target::Incarnation(call.from), message);
        }
        if self.now < self.periods.lossy_until && self.chance(6) {
            // The answer reaches the connection of another attempt as well, which has ended.
            self.report.injected(FaultKind::CrossedAnswer);
            if let Some(attempt) = last_ended {
                let message = Message::AttemptEnded {
                    attempt,
                    end: end.clone(),
                };
                self.schedule(
                    self.network_floor(),
                    Target::Incarnation(call.from),
                    message,
                );
            }
        }
        self.end_attempt(call, end);
    }

    fn network_floor(&self) -> std::time::Duration {
        std::time::Duration::from_micros(200)
    }

    /// Stops a task that is running.
    pub fn on_stop(&mut self, worker: usize, from: IncarnationNumber, task: TaskKey) {
        let node = &mut self.workers[worker];
        let run = node
            .running
            .iter()
            .find(|(_, call)| call.from == from && call.task == task)
            .map(|(run, _)| *run);
        if let Some(call) = run.and_then(|run| node.running.remove(&run)) {
            self.answer_start(worker, &call, AttemptEnd::Failed);
        }
    }

    /// Lets a worker die with everything that it runs.
    pub fn kill_worker(&mut self, worker: usize) {
        let node = &mut self.workers[worker];
        node.dead = true;
        node.held.clear();
        for (_, call) in std::mem::take(&mut node.running) {
            if self.chance(50) {
                self.end_attempt(&call, AttemptEnd::Unknown);
            }
        }
    }

    /// Ends all faults of a worker; what it held while frozen arrives now.
    pub fn restore_worker(&mut self, worker: usize) {
        let node = &mut self.workers[worker];
        node.dead = false;
        node.frozen = false;
        node.leaving = false;
        node.fails_all = false;
        for call in std::mem::take(&mut node.held) {
            self.on_start(worker, call);
        }
    }
}
