//! Sends waiting tasks to workers with idle slots.

use std::collections::BTreeSet;

use std::time::Duration;

use smallvec::SmallVec;

use crate::invariants::InvariantKind;
use crate::slots::{SlotAccess, SlotNumber};
use crate::task::TaskPhase;
use crate::units::{AttemptId, TaskKey, TicketSerial, UnixTime};
use crate::worker::{TaskRequirements, WorkerIndex, WorkerState};

use super::DispatchKernel;
use super::action::{KernelAction, TaskStart};
use super::attempts::AttemptRecord;
use super::quota::QuotaChange;
use super::waiting::ReadyQueues;

/// Multiple of the expected run time for which the loan of a borrowed slot must last.
const LOAN_RUN_FACTOR: u32 = 2;

/// Multiple of the expected run time after which a connection without an answer is considered stalled.
const STALL_RUN_FACTOR: u32 = 4;

/// Minimum time after which a connection without an answer is considered stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Worker and slots chosen for a task.
struct SlotChoice {
    worker: WorkerIndex,
    slots: SmallVec<[SlotNumber; 1]>,
}

impl DispatchKernel {
    /// Sends waiting tasks until no task fits an idle slot.
    pub(super) fn dispatch(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        if self.waiting.len() == 0 {
            return;
        }
        let counts = self.slots.counts();
        if counts.idle_plain == 0 && counts.idle_accelerated == 0 {
            return;
        }
        for queues in self.waiting.ready_queues() {
            self.dispatch_queues(queues, now, actions);
        }
    }

    /// Sends tasks from queues that differ only in their places, fairly between the queues.
    fn dispatch_queues(
        &mut self,
        mut queues: ReadyQueues,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        while let Some((requirements, serial)) = self.waiting.next(&queues) {
            if !self.has_idle_slot(requirements)
                || !self.send_next(requirements, serial, now, actions)
            {
                queues.retain(|other| *other != requirements);
            }
        }
    }

    /// Returns whether any slot of the kind that a task needs is idle.
    const fn has_idle_slot(&self, requirements: TaskRequirements) -> bool {
        let counts = self.slots.counts();
        if requirements.accelerators > 0 {
            counts.idle_accelerated > 0
        } else {
            counts.idle_plain > 0
        }
    }

    /// Sends the next task of a job. Returns `false` if no idle slot fits.
    fn send_next(
        &mut self,
        requirements: TaskRequirements,
        serial: TicketSerial,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) -> bool {
        let Some(job) = self.active_job(serial) else {
            self.monitor.check(InvariantKind::AnsweredOnce, false, || {
                format!("answered ticket {} still has queued tasks", serial.0)
            });
            self.waiting
                .remove_job(serial, &BTreeSet::from([requirements]));
            return true;
        };
        let expected = job.expected_run;
        let single_task = job.inputs.len() == 1;
        let attempt = self.attempts.next_id();
        let needed_until = now.after(expected.saturating_mul(LOAN_RUN_FACTOR));
        let Some(choice) = self.choose_slots(requirements, single_task, attempt, needed_until)
        else {
            return false;
        };
        let Some(index) = self.waiting.take(requirements, serial, expected) else {
            self.slots
                .release(choice.worker, &choice.slots, attempt, None, now);
            return false;
        };
        self.send(TaskKey { serial, index }, attempt, choice, now, actions);
        true
    }

    /// Occupies slots on the least busy worker that fits.
    ///
    /// An ejected worker is probed with one-task jobs only, so that a failed probe cannot fail a
    /// larger job.
    fn choose_slots(
        &mut self,
        requirements: TaskRequirements,
        single_task: bool,
        attempt: AttemptId,
        needed_until: UnixTime,
    ) -> Option<SlotChoice> {
        let accelerated = requirements.accelerators > 0;
        let count = requirements.accelerators.max(1);
        let candidates: SmallVec<[WorkerIndex; 4]> = self
            .slots
            .candidates(accelerated)
            .filter(|worker| self.is_place_allowed(requirements, *worker))
            .filter(|worker| self.workers.get(*worker).fits(requirements))
            .filter(|worker| self.slots.idle_slots_on(*worker, accelerated) >= count)
            .filter(|worker| single_task || self.slots.access(*worker) == SlotAccess::Open)
            .take(4)
            .collect();
        for worker in candidates {
            if let Some(slots) =
                self.slots
                    .occupy(worker, accelerated, count, attempt, needed_until)
            {
                return Some(SlotChoice { worker, slots });
            }
        }
        None
    }

    /// Returns whether a worker's failure domain belongs to the place of a task.
    fn is_place_allowed(&self, requirements: TaskRequirements, worker: WorkerIndex) -> bool {
        let domain = self.slots.domain(worker);
        self.places.allows(requirements.place, domain) || self.settings.faults.ignore_places
    }

    /// Marks a task as sent, records its attempt and requests the start from the driver.
    fn send(
        &mut self,
        task: TaskKey,
        attempt: AttemptId,
        choice: SlotChoice,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some(job) = self.active_job(task.serial) else {
            return;
        };
        // Only a queued task can be sent; the typestate enforces it.
        let phase = &mut job.phases[task.index as usize];
        let record = match std::mem::replace(phase, TaskPhase::Queued(Default::default())) {
            TaskPhase::Queued(record) => record,
            other => {
                *phase = other;
                self.monitor
                    .check(InvariantKind::StartedAtMostOnce, false, || {
                        format!("{task:?}")
                    });
                self.slots
                    .release(choice.worker, &choice.slots, attempt, None, now);
                return;
            }
        };
        let permitted = job.idempotent || !record.may_have_run();
        let first_start = !record.was_sent_before();
        *phase = TaskPhase::Sent(record.send(attempt));
        job.in_flight += 1;
        let input = job.inputs[task.index as usize].clone();
        let (team, class, deadline) = (job.team.clone(), job.class.clone(), job.deadline);
        let expected = job.expected_run;
        let stall_timeout = expected
            .saturating_mul(STALL_RUN_FACTOR)
            .max(MIN_STALL_TIMEOUT);

        self.monitor
            .check(InvariantKind::StartedAtMostOnce, permitted, || {
                format!("{task:?} was sent again")
            });
        let profile = self.workers.get(choice.worker);
        let live = profile.state == WorkerState::Live;
        self.monitor
            .check(InvariantKind::NoStartOnLeavingWorker, live, || {
                format!("worker {}", profile.name)
            });
        // Checks against the configuration, independently of the place table used to choose the
        // worker.
        let team_settings = self.teams.team(team.as_str());
        let allowed = team_settings.is_none_or(|team| {
            let domains = &team.failure_domains;
            domains.is_empty() || domains.contains(&profile.domain)
        });
        self.monitor
            .check(InvariantKind::NoStartOutsidePlace, allowed, || {
                format!("team {team} on worker {}", profile.name)
            });
        actions.push(KernelAction::Start(Box::new(TaskStart {
            attempt,
            task,
            worker: profile.name.clone(),
            address: profile.address,
            team: team.clone(),
            class,
            payload: input.payload,
            accelerators: input.accelerators,
            start_deadline: deadline,
            stalled_after: now.after(stall_timeout),
        })));
        let record = AttemptRecord {
            task,
            team: team.clone(),
            worker: choice.worker,
            slots: choice.slots,
            sent_at: now,
            answer_by: deadline,
        };
        self.attempts.insert(attempt, record);
        let weight = self.teams.team(team.as_str()).map_or(1, |team| team.weight);
        self.recent_work.record(&team, weight, expected, now);
        self.counters.starts += 1;
        if first_start {
            self.retry_budget.deposit();
        }
        if self.quotas.record_start(&team) == QuotaChange::Reached {
            self.waiting.set_blocked(&team, true);
        }
    }
}
