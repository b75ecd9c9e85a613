//! Checks that compare the answers to callers with the starts on the workers.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::ExecutionStatus;
use bramley_core::job::{JobAnswer, JobFailure};
use bramley_core::task::TaskReport;

use super::callers::Decision;
use super::messages::{IncarnationNumber, Message, RequestKind, StartCall, Target};
use super::report::ViolationKind;
use super::simulation::{Simulation, WORKER_DOMAINS, WORKER_SLOTS};

/// Time by which an answer may exceed the deadline of its job: the driver ticks at intervals.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// Parses the caller, the task index and the variant from the payload of a task.
fn parse_payload(payload: &str) -> (u64, usize, u32) {
    let mut parts = payload.split('.');
    let mut next = || parts.next().expect("a payload has three parts");
    let caller = next().parse().expect("a caller");
    let index = next().parse().expect("an index");
    let variant = next().parse().expect("a variant");
    (caller, index, variant)
}

impl Simulation {
    /// Records the start of a task and checks that it was allowed.
    pub fn record_start(&mut self, call: &StartCall) {
        self.report.starts += 1;
        let (caller, index, _) = parse_payload(&call.payload);
        let Some(state) = self.callers.get_mut(&caller) else {
            self.report
                .record_violation(ViolationKind::StartedAfterExpiry, || format!("{call:?}"));
            return;
        };
        state.starts[index] += 1;
        let retried = state.idempotent && state.tasks == 1;
        if state.starts[index] > 1 && !retried {
            self.report
                .record_violation(ViolationKind::StartedTwice, || format!("{call:?}"));
        }
        if state.told_not_run[index] {
            self.report
                .record_violation(ViolationKind::StartedAfterNotRun, || format!("{call:?}"));
        }
    }

    /// Checks an answer when the host decides it.
    pub fn check_answer(&mut self, caller: u64, kind: RequestKind, answer: &Arc<JobAnswer>) {
        if !self.callers.contains_key(&caller) {
            return;
        }
        let decision = match &**answer {
            JobAnswer::Complete(outputs) => {
                self.report.complete += 1;
                self.check_outputs(caller, kind, outputs);
                Some(Decision::Complete)
            }
            JobAnswer::Failed(failure) => {
                self.report.failed += 1;
                self.check_not_run(caller, failure);
                match (failure.tasks.is_empty(), failure.execution) {
                    (false, _) => Some(Decision::Failed(failure.tasks.clone())),
                    (true, ExecutionStatus::NotRun) => Some(Decision::Refused),
                    (true, ExecutionStatus::MayHaveRun | ExecutionStatus::Undetermined) => None,
                }
            }
        };
        let Some(decision) = decision else {
            return;
        };
        let state = self.callers.get_mut(&caller).expect("the caller is known");
        let earlier = state.decision.get_or_insert_with(|| decision.clone());
        if *earlier != decision {
            let detail = format!("caller {caller}: {earlier:?} and {decision:?}");
            self.report
                .record_violation(ViolationKind::DifferentAnswers, || detail);
        }
    }

    fn check_outputs(&mut self, caller: u64, kind: RequestKind, outputs: &[Arc<str>]) {
        let state = &self.callers[&caller];
        let variant = match (kind, outputs.first()) {
            (RequestKind::Submit(variant), _) => variant,
            (_, Some(output)) => parse_payload(output).2,
            (_, None) => 0,
        };
        let expected = (0..state.tasks).map(|index| format!("{caller}.{index}.{variant}"));
        let own = outputs.len() == state.tasks
            && expected
                .zip(outputs)
                .all(|(expected, output)| *expected == **output);
        if !own || state.starts.contains(&0) {
            let detail = format!("caller {caller}: {outputs:?}");
            self.report
                .record_violation(ViolationKind::ForeignOutput, || detail);
        }
    }

    fn check_not_run(&mut self, caller: u64, failure: &JobFailure) {
        let state = self.callers.get_mut(&caller).expect("the caller is known");
        for index in 0..state.tasks {
            let is_reported = match failure.tasks.get(index) {
                Some(report) => *report == TaskReport::NotRun,
                None => failure.execution == ExecutionStatus::NotRun,
            };
            if !is_reported {
                continue;
            }
            state.told_not_run[index] = true;
            if state.starts[index] > 0 {
                self.report
                    .record_violation(ViolationKind::NotRunHadStarted, || {
                        format!("caller {caller} task {index}: {failure:?}")
                    });
            }
        }
    }

    /// Checks all running hosts and schedules the next check.
    pub fn check_hosts(&mut self) {
        let incarnations: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for incarnation in incarnations {
            self.check_monitor(incarnation);
            self.check_host(incarnation);
        }
        self.schedule(
            Duration::from_millis(100),
            Target::Simulation,
            Message::CheckHosts,
        );
    }

    fn check_host(&mut self, incarnation: IncarnationNumber) {
        let node = &self.hosts[&incarnation];
        if node.frozen || self.now < node.thawed_at.after(ANSWER_GRACE) {
            return;
        }
        let overdue = node
            .pending
            .values()
            .find(|pending| pending.answer_by.after(ANSWER_GRACE) < self.now)
            .map(|pending| pending.caller);
        let dump = node.kernel.dump();
        if let Some(caller) = overdue {
            self.report
                .record_violation(ViolationKind::AnswerOverdue, || {
                    format!("incarnation {incarnation} caller {caller}")
                });
        }
        if dump.attempts != dump.rights.busy as usize {
            self.report
                .record_violation(ViolationKind::SlotsNotConserved, || {
                    format!("{} attempts, {:?}", dump.attempts, dump.rights)
                });
        }
    }

    /// Reports violations that the kernel's own monitor detected.
    pub fn check_monitor(&mut self, incarnation: IncarnationNumber) {
        let Some(node) = self.hosts.get(&incarnation) else {
            return;
        };
        if let Some(first) = node.kernel.monitor().first_violation() {
            let detail = format!("incarnation {incarnation}: {first}");
            self.report
                .record_violation(ViolationKind::KernelMonitor, || detail);
        }
    }

    /// Checks at the end that the probe jobs are complete, no work is left and no slot is lost.
    pub fn check_settled(&mut self, probes: &[u64]) {
        for probe in probes {
            let decision = self.callers[probe].decision.clone();
            if decision != Some(Decision::Complete) {
                self.report.record_violation(ViolationKind::NotServing, || {
                    format!("caller {probe}: {decision:?}")
                });
            }
        }
        let mut idle = 0;
        let incarnations: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for incarnation in incarnations {
            let dump = self.hosts[&incarnation].kernel.dump();
            let slots = dump.rights;
            idle += slots.idle_plain;
            let remaining = dump.active_jobs + dump.waiting_tasks + dump.attempts;
            if remaining > 0 || slots.busy + slots.lent + slots.borrowed > 0 {
                self.report
                    .record_violation(ViolationKind::SlotsNotConserved, || {
                        format!(
                            "incarnation {incarnation} has {remaining} items left and {slots:?}"
                        )
                    });
            }
        }
        let all = WORKER_SLOTS * u32::try_from(WORKER_DOMAINS.len()).expect("few workers");
        let ejected: usize = self
            .hosts
            .values()
            .map(|node| node.kernel.dump().health.ejected)
            .sum();
        if idle > all || (idle < all && ejected == 0) {
            self.report
                .record_violation(ViolationKind::SlotsNotConserved, || {
                    format!("{idle} of {all} slots are idle at the end")
                });
        }
    }
}
