//! Unit tests of the outcome guarantees, each on a single kernel.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{ErrorKind, ExecutionStatus, RetryAdvice};
use bramley_core::job::{JobAnswer, JobFailure, JobSpec, ReplyToken};
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{AttemptResult, JobSubmission, KernelEvent};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_core::task::{NotStartedProof, TaskReport};
use bramley_core::units::{TicketSerial, UnixTime};
use support::{TEAM, configuration_with_quotas, job, live_worker};

const START: UnixTime = UnixTime::from_millis(1_000_000);
const TICKET_LIFETIME: Duration = Duration::from_secs(60);

/// A kernel with one worker, together with its clock and the actions it returned.
struct KernelFixture {
    kernel: DispatchKernel,
    now: UnixTime,
    expiry: UnixTime,
    last_token: u64,
    actions: Vec<KernelAction>,
}

impl KernelFixture {
    fn new(slots: u32) -> Self {
        Self::with_settings(KernelSettings::default(), slots)
    }

    fn with_settings(settings: KernelSettings, slots: u32) -> Self {
        let identity = KernelIdentity {
            host: HostName::from("entry-1"),
            domain: DomainName::from("freising"),
            seed: 1,
        };
        let mut fixture = Self {
            kernel: DispatchKernel::new(identity, settings),
            now: START,
            expiry: START.after(TICKET_LIFETIME),
            last_token: 0,
            actions: Vec::new(),
        };
        fixture.handle(KernelEvent::ConfigurationChanged(
            configuration_with_quotas(&[(TEAM, 1_000)]),
        ));
        let profile = live_worker("worker-1", "freising", slots);
        fixture.handle(KernelEvent::WorkersListed(vec![profile]));
        fixture
    }

    fn handle(&mut self, event: KernelEvent) {
        self.kernel.handle(event, self.now, &mut self.actions);
    }

    fn token(&mut self) -> ReplyToken {
        self.last_token += 1;
        ReplyToken(self.last_token)
    }

    fn submit(&mut self, serial: u64, spec: &JobSpec) -> ReplyToken {
        let token = self.token();
        self.handle(KernelEvent::Submitted(JobSubmission {
            serial: TicketSerial(serial),
            expiry: self.expiry,
            spec: spec.clone(),
            digest: spec.digest(),
            token,
        }));
        token
    }

    fn query(&mut self, serial: u64) -> ReplyToken {
        let token = self.token();
        self.handle(KernelEvent::Queried {
            serial: TicketSerial(serial),
            expiry: self.expiry,
            token,
        });
        token
    }

    fn cancel(&mut self, serial: u64) -> ReplyToken {
        let token = self.token();
        self.handle(KernelEvent::Cancelled {
            serial: TicketSerial(serial),
            expiry: self.expiry,
            token,
        });
        token
    }

    fn end(&mut self, start: &TaskStart, result: AttemptResult) {
        let attempt = start.attempt;
        self.handle(KernelEvent::AttemptEnded { attempt, result });
    }

    fn finish(&mut self, start: &TaskStart, output: &str) {
        self.end(start, AttemptResult::Finished(Arc::from(output)));
    }

    fn wait(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        self.handle(KernelEvent::Tick);
    }

    /// Removes and returns the starts requested since the last call.
    fn starts(&mut self) -> Vec<TaskStart> {
        let mut starts = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                KernelAction::Start(start) => starts.push(*start),
                other => self.actions.push(other),
            }
        }
        starts
    }

    fn single_start(&mut self) -> TaskStart {
        let mut starts = self.starts();
        assert_eq!(starts.len(), 1);
        starts.remove(0)
    }

    /// Removes and returns the reply to a request, if there is one.
    fn answer(&mut self, token: ReplyToken) -> Option<Arc<JobAnswer>> {
        let position = self.actions.iter().position(
            |action| matches!(action, KernelAction::Reply { token: other, .. } if *other == token),
        )?;
        match self.actions.remove(position) {
            KernelAction::Reply { answer, .. } => Some(answer),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn outputs(&mut self, token: ReplyToken) -> Vec<String> {
        let answer = self.answer(token).expect("the caller has a reply");
        match &*answer {
            JobAnswer::Complete(outputs) => outputs.iter().map(ToString::to_string).collect(),
            JobAnswer::Failed(failure) => panic!("unexpected {failure:?}"),
        }
    }

    fn failure(&mut self, token: ReplyToken) -> FailureSummary {
        let answer = self.answer(token).expect("the caller has a reply");
        match &*answer {
            JobAnswer::Failed(failure) => FailureSummary::of(failure),
            JobAnswer::Complete(outputs) => panic!("unexpected {outputs:?}"),
        }
    }
}

impl Drop for KernelFixture {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(self.kernel.monitor().first_violation(), None);
        }
    }
}

#[derive(Debug, PartialEq)]
struct FailureSummary {
    kind: ErrorKind,
    execution: ExecutionStatus,
    retry: RetryAdvice,
    tasks: Vec<TaskReport>,
}

impl FailureSummary {
    fn of(failure: &JobFailure) -> Self {
        Self {
            kind: failure.error.kind,
            execution: failure.execution,
            retry: failure.retry_advice(),
            tasks: failure.tasks.clone(),
        }
    }
}

fn single_task_job(payload: &str) -> JobSpec {
    job(&[payload], UnixTime::NEVER, false)
}

fn idempotent_job() -> JobSpec {
    job(&["a"], UnixTime::NEVER, true)
}

const TICKET_CLOSED: FailureSummary = FailureSummary {
    kind: ErrorKind::RefusedEarlier,
    execution: ExecutionStatus::NotRun,
    retry: RetryAdvice::NewTicket,
    tasks: Vec::new(),
};

const REFUSED_START: AttemptResult = AttemptResult::NotStarted {
    proof: NotStartedProof::RefusedByWorker,
    leaving: false,
};

#[test]
fn resubmission_joins_the_running_job_and_gets_the_kept_answer() {
    let mut fixture = KernelFixture::new(4);
    let first = fixture.submit(1, &single_task_job("a"));
    let second = fixture.submit(1, &single_task_job("a"));
    let start = fixture.single_start();
    fixture.finish(&start, "done");
    assert_eq!(fixture.outputs(first), ["done"]);
    assert_eq!(fixture.outputs(second), ["done"]);

    let third = fixture.submit(1, &single_task_job("a"));
    assert_eq!(fixture.outputs(third), ["done"]);
    assert!(fixture.starts().is_empty());
}

#[test]
fn changed_body_is_refused_and_starts_nothing() {
    let mut fixture = KernelFixture::new(4);
    fixture.submit(1, &single_task_job("a"));
    fixture.starts();
    let changed = fixture.submit(1, &single_task_job("b"));
    assert_eq!(fixture.failure(changed).kind, ErrorKind::ChangedBody);
    assert!(fixture.starts().is_empty());
}

#[test]
fn waiting_callers_of_one_job_are_bounded() {
    let mut fixture = KernelFixture::new(4);
    for _ in 0..1_000 {
        fixture.submit(1, &single_task_job("a"));
    }
    let start = fixture.single_start();
    fixture.actions.clear();
    fixture.finish(&start, "done");
    assert!(fixture.actions.len() <= 64, "{}", fixture.actions.len());
}

#[test]
fn refused_submission_is_not_run_and_its_delayed_copy_never_starts() {
    let mut fixture = KernelFixture::new(4);
    let expired_job = job(&["a"], START, false);
    let refused = fixture.submit(1, &expired_job);
    let summary = fixture.failure(refused);
    assert_eq!(summary.kind, ErrorKind::DeadlinePassed);
    assert_eq!(summary.execution, ExecutionStatus::NotRun);
    assert_eq!(summary.retry, RetryAdvice::NewTicket);

    let copy = fixture.submit(1, &single_task_job("a"));
    assert_eq!(fixture.failure(copy), TICKET_CLOSED);
    let query = fixture.query(1);
    assert_eq!(fixture.failure(query), TICKET_CLOSED);
    assert!(fixture.starts().is_empty());
}

#[test]
fn refusal_that_closes_the_ticket_never_advises_the_same_ticket() {
    let closing_kinds = [
        ErrorKind::QuotaExceeded,
        ErrorKind::QueueFull,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NeverRunnable,
        ErrorKind::NoWorkers,
        ErrorKind::NoConfiguration,
        ErrorKind::Draining,
        ErrorKind::OutcomesFull,
    ];
    for kind in closing_kinds {
        assert_ne!(
            kind.error_response().retry,
            RetryAdvice::SameTicket,
            "{kind}"
        );
    }
}

#[test]
fn host_without_the_store_does_not_claim_that_a_key_was_not_run() {
    let response = ErrorKind::StoreUnavailable.error_response();
    assert_eq!(response.execution, ExecutionStatus::Undetermined);
}

#[test]
fn expired_ticket_starts_nothing() {
    let mut fixture = KernelFixture::new(4);
    fixture.submit(1, &single_task_job("a"));
    let start = fixture.single_start();
    fixture.finish(&start, "done");
    fixture.wait(TICKET_LIFETIME + Duration::from_secs(1));
    let query = fixture.query(1);
    let summary = fixture.failure(query);
    assert_eq!(summary.kind, ErrorKind::ExpiredTicket);
    assert_eq!(summary.execution, ExecutionStatus::Undetermined);
    let again = fixture.submit(1, &single_task_job("a"));
    assert_eq!(fixture.failure(again).kind, ErrorKind::ExpiredTicket);
    assert!(fixture.starts().is_empty());
}

#[test]
fn cancellation_before_the_submission_closes_the_ticket() {
    let mut fixture = KernelFixture::new(4);
    let cancel = fixture.cancel(1);
    let summary = fixture.failure(cancel);
    assert_eq!(summary.kind, ErrorKind::Cancelled);
    assert_eq!(summary.execution, ExecutionStatus::NotRun);
    let late = fixture.submit(1, &single_task_job("a"));
    assert_eq!(fixture.failure(late), TICKET_CLOSED);
    assert!(fixture.starts().is_empty());
}

#[test]
fn cancellation_tells_waiting_tasks_from_sent_ones() {
    let mut fixture = KernelFixture::new(1);
    let submit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let sent = fixture.single_start();
    let cancel = fixture.cancel(1);
    let summary = fixture.failure(cancel);
    assert_eq!(summary.execution, ExecutionStatus::MayHaveRun);
    assert_eq!(summary.tasks, [TaskReport::MayHaveRun, TaskReport::NotRun]);
    assert_eq!(fixture.failure(submit), summary);

    fixture.finish(&sent, "late");
    let resubmit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    assert_eq!(fixture.failure(resubmit), summary);
    assert!(fixture.starts().is_empty());
}

#[test]
fn cancellation_after_the_answer_returns_the_answer() {
    let mut fixture = KernelFixture::new(1);
    fixture.submit(1, &single_task_job("a"));
    let start = fixture.single_start();
    fixture.finish(&start, "done");
    let cancel = fixture.cancel(1);
    assert_eq!(fixture.outputs(cancel), ["done"]);
}

/// Queues jobs of a hundred tasks each, cancels them all and returns the number of removal steps.
///
/// With distinct requirements, one task of each job is in a queue of its own; the others share one
/// queue.
fn count_removal_steps(jobs: u64, distinct_requirements: bool) -> u64 {
    let settings = KernelSettings {
        max_waiting_tasks: 1_000_000,
        ..KernelSettings::default()
    };
    let mut fixture = KernelFixture::with_settings(settings, 1);
    fixture.expiry = UnixTime::from_millis(u64::MAX);
    let deadline = fixture.expiry.before(Duration::from_secs(1));
    fixture.submit(1, &job(&["busy"], deadline, false));
    fixture.starts();
    for serial in 2..jobs + 2 {
        let mut spec = job(&["a"; 100], deadline, false);
        if distinct_requirements {
            spec.tasks[0].memory_mib = u32::try_from(serial).expect("few jobs");
        }
        fixture.submit(serial, &spec);
    }
    assert_eq!(fixture.kernel.waiting_tasks() as u64, 100 * jobs);
    for serial in 2..jobs + 2 {
        let cancel = fixture.cancel(serial);
        assert_eq!(fixture.failure(cancel).execution, ExecutionStatus::NotRun);
        fixture.actions.clear();
    }
    assert_eq!(fixture.kernel.waiting_tasks(), 0);
    for _ in 0..100 {
        fixture.wait(Duration::from_secs(1));
    }
    assert!(fixture.starts().is_empty());
    fixture.kernel.counters().removal_steps
}

#[test]
fn cancellation_wave_costs_proportional_steps_and_starts_nothing() {
    for distinct_requirements in [false, true] {
        let small = count_removal_steps(100, distinct_requirements);
        let large = count_removal_steps(1_000, distinct_requirements);
        assert!(small >= 10_000, "{small}");
        assert!(large <= 11 * small, "{small} and {large}");
    }
}

#[test]
fn unknown_outcome_of_a_charge_is_final_and_never_sent_again() {
    let mut fixture = KernelFixture::new(4);
    let submit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let starts = fixture.starts();
    fixture.end(&starts[0], AttemptResult::Unknown);
    let summary = fixture.failure(submit);
    assert_eq!(summary.execution, ExecutionStatus::MayHaveRun);
    assert_eq!(summary.retry, RetryAdvice::Never);
    assert_eq!(summary.tasks, [TaskReport::MayHaveRun; 2]);
    fixture.wait(Duration::from_secs(1));
    assert!(fixture.starts().is_empty());
}

#[test]
fn refused_start_is_sent_again() {
    let mut fixture = KernelFixture::new(4);
    let submit = fixture.submit(1, &single_task_job("a"));
    let start = fixture.single_start();
    fixture.end(&start, REFUSED_START);
    let again = fixture.single_start();
    fixture.finish(&again, "done");
    assert_eq!(fixture.outputs(submit), ["done"]);
}

#[test]
fn retried_balance_check_that_waits_again_is_not_reported_as_not_run() {
    let mut fixture = KernelFixture::new(1);
    let submit = fixture.submit(1, &idempotent_job());
    let start = fixture.single_start();
    fixture.end(&start, AttemptResult::Unknown);
    // The only slot is in its cooldown, so the task waits again although it may have run.
    assert!(fixture.starts().is_empty());
    let cancel = fixture.cancel(1);
    let summary = fixture.failure(cancel);
    assert_eq!(summary.execution, ExecutionStatus::MayHaveRun);
    assert_eq!(summary.tasks, [TaskReport::MayHaveRun]);
    assert_eq!(fixture.failure(submit), summary);
}

#[test]
fn refused_retry_of_a_balance_check_may_still_have_run() {
    let mut fixture = KernelFixture::new(1);
    let submit = fixture.submit(1, &idempotent_job());
    let start = fixture.single_start();
    fixture.end(&start, AttemptResult::Unknown);
    fixture.wait(KernelSettings::default().slot_cooldown);
    let retry = fixture.single_start();
    fixture.end(&retry, REFUSED_START);
    fixture.cancel(1);
    assert_eq!(fixture.failure(submit).tasks, [TaskReport::MayHaveRun]);
}

#[test]
fn idempotent_jobs_of_several_tasks_are_not_retried() {
    let mut fixture = KernelFixture::new(4);
    let submit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, true));
    let starts = fixture.starts();
    fixture.end(&starts[0], AttemptResult::Unknown);
    assert_eq!(fixture.failure(submit).kind, ErrorKind::UnknownOutcome);
    assert!(fixture.starts().is_empty());
}

/// Returns the number of retries of idempotent jobs if the outcome of every accepted attempt is
/// lost.
fn count_retries(jobs: u64, refusals_per_job: u64) -> u64 {
    let mut fixture = KernelFixture::new(4);
    fixture.expiry = UnixTime::NEVER;
    // At most 30 percent of the workers are ejected for lost answers, so the others stay usable.
    let workers = (1..=10).map(|number| live_worker(&format!("worker-{number}"), "freising", 4));
    fixture.handle(KernelEvent::WorkersListed(workers.collect()));
    for serial in 1..=jobs {
        fixture.submit(serial, &idempotent_job());
        let mut refusals = 0;
        for _ in 0..50 {
            for start in fixture.starts() {
                let result = if refusals < refusals_per_job {
                    REFUSED_START
                } else {
                    AttemptResult::Unknown
                };
                refusals += 1;
                fixture.end(&start, result);
            }
            fixture.wait(Duration::from_millis(10));
        }
    }
    assert_eq!(
        fixture.kernel.counters().refused_starts,
        jobs * refusals_per_job
    );
    fixture.kernel.counters().retries
}

#[test]
fn retries_stay_within_the_budget() {
    // The budget starts with ten retries, and every hundred first starts add ten more.
    let retries = count_retries(100, 0);
    assert!((10..=20).contains(&retries), "{retries}");
}

#[test]
fn refused_starts_earn_no_retries() {
    let retries = count_retries(100, 20);
    assert!((10..=20).contains(&retries), "{retries}");
}

#[test]
fn late_and_repeated_answers_change_nothing() {
    let mut fixture = KernelFixture::new(4);
    let submit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let starts = fixture.starts();
    fixture.finish(&starts[0], "first");
    fixture.finish(&starts[0], "again");
    fixture.end(&starts[0], AttemptResult::Failed);
    assert!(fixture.answer(submit).is_none());
    fixture.finish(&starts[1], "second");
    assert_eq!(fixture.outputs(submit), ["first", "second"]);
    fixture.end(&starts[1], AttemptResult::Unknown);
    let query = fixture.query(1);
    assert_eq!(fixture.outputs(query), ["first", "second"]);
    assert_eq!(fixture.kernel.counters().late_answers, 3);
}

#[test]
fn overdue_job_is_answered_and_its_late_answer_changes_nothing() {
    let mut fixture = KernelFixture::new(1);
    let submit = fixture.submit(1, &single_task_job("a"));
    let waiting = fixture.submit(2, &job(&["b"], START.after(Duration::from_secs(1)), false));
    let start = fixture.single_start();
    fixture.wait(Duration::from_secs(3));
    assert_eq!(fixture.failure(submit).tasks, [TaskReport::MayHaveRun]);
    let summary = fixture.failure(waiting);
    assert_eq!(summary.kind, ErrorKind::DeadlinePassed);
    assert_eq!(summary.execution, ExecutionStatus::NotRun);
    fixture.finish(&start, "late");
    let query = fixture.query(1);
    assert_eq!(fixture.failure(query).kind, ErrorKind::DeadlinePassed);
    assert!(fixture.starts().is_empty());
    fixture.wait(Duration::from_secs(1));
    assert_eq!(fixture.kernel.slot_counts().busy, 0);
}

#[test]
fn drain_finishes_accepted_work_and_refuses_new_work() {
    let mut fixture = KernelFixture::new(1);
    let submit = fixture.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    fixture.handle(KernelEvent::DrainStarted);
    let refused = fixture.submit(2, &single_task_job("c"));
    let summary = fixture.failure(refused);
    assert_eq!(summary.kind, ErrorKind::Draining);
    assert_eq!(summary.execution, ExecutionStatus::NotRun);
    for output in ["first", "second"] {
        assert!(!fixture.kernel.is_drained());
        let start = fixture.single_start();
        fixture.finish(&start, output);
    }
    assert_eq!(fixture.outputs(submit), ["first", "second"]);
    assert!(fixture.kernel.is_drained());
}

#[test]
fn stop_deadline_answers_what_remains_truthfully() {
    let mut fixture = KernelFixture::new(1);
    let sent = fixture.submit(1, &single_task_job("a"));
    let waiting = fixture.submit(2, &single_task_job("b"));
    fixture.starts();
    fixture.handle(KernelEvent::DrainStarted);
    fixture.handle(KernelEvent::StopDeadlineReached);
    assert_eq!(fixture.failure(sent).execution, ExecutionStatus::MayHaveRun);
    assert_eq!(fixture.failure(waiting).execution, ExecutionStatus::NotRun);
    assert!(fixture.kernel.is_drained());
    assert!(fixture.starts().is_empty());
}

#[test]
fn full_books_refuse_new_work_and_forget_nothing() {
    let settings = KernelSettings {
        max_kept_outcomes: 3,
        ..KernelSettings::default()
    };
    let mut fixture = KernelFixture::with_settings(settings, 8);
    for serial in 1..=3 {
        fixture.submit(serial, &single_task_job("a"));
        let start = fixture.single_start();
        fixture.finish(&start, "done");
    }
    let refused = fixture.submit(4, &single_task_job("a"));
    assert_eq!(fixture.failure(refused).kind, ErrorKind::OutcomesFull);
    let kept = fixture.query(1);
    assert_eq!(fixture.outputs(kept), ["done"]);
}

#[test]
fn memory_of_waiting_jobs_counts_towards_the_bound() {
    let settings = KernelSettings {
        max_kept_bytes: 100_000,
        ..KernelSettings::default()
    };
    let mut fixture = KernelFixture::with_settings(settings, 1);
    fixture.expiry = UnixTime::NEVER;
    let payload = "x".repeat(10_000);
    let mut accepted = 0;
    for serial in 1..=50 {
        let token = fixture.submit(
            serial,
            &job(&[&payload], START.after(TICKET_LIFETIME), false),
        );
        if fixture.answer(token).is_none() {
            accepted += 1;
        }
    }
    assert!(accepted <= 11, "{accepted}");
}

#[test]
fn wakeups_between_an_expiry_and_its_sweep_do_not_spin() {
    let mut fixture = KernelFixture::new(1);
    fixture.submit(1, &single_task_job("a"));
    let start = fixture.single_start();
    fixture.finish(&start, "done");
    let mut wakeups = 0;
    while let Some(time) = fixture.kernel.next_wakeup() {
        fixture.now = fixture.now.max(time);
        fixture.handle(KernelEvent::Tick);
        wakeups += 1;
        assert!(wakeups < 100, "the kernel keeps requesting wakeups");
    }
}

#[test]
fn absurd_slot_counts_of_the_platform_are_capped() {
    let mut fixture = KernelFixture::new(1);
    let profile = live_worker("worker-2", "freising", u32::MAX);
    fixture.handle(KernelEvent::WorkersListed(vec![profile]));
    assert!(fixture.kernel.slot_counts().owned <= 4_096);
}

#[test]
fn worker_that_stays_after_a_leaving_sign_is_used_again() {
    let mut fixture = KernelFixture::new(1);
    let profile = live_worker("worker-1", "freising", 1);
    fixture.handle(KernelEvent::WorkerLeaving(profile.name.clone()));
    fixture.handle(KernelEvent::WorkersListed(vec![profile.clone()]));
    let soon = fixture.submit(1, &single_task_job("a"));
    assert!(fixture.starts().is_empty());
    fixture.wait(Duration::from_secs(5));
    assert_eq!(fixture.failure(soon).execution, ExecutionStatus::NotRun);

    // The platform's list never showed the worker as leaving.
    fixture.wait(Duration::from_secs(60));
    fixture.handle(KernelEvent::WorkersListed(vec![profile]));
    fixture.expiry = UnixTime::NEVER;
    fixture.submit(2, &single_task_job("b"));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn job_that_no_worker_can_run_fails_at_once() {
    let mut fixture = KernelFixture::new(0);
    let submit = fixture.submit(1, &single_task_job("a"));
    let summary = fixture.failure(submit);
    assert_eq!(summary.kind, ErrorKind::NeverRunnable);
    assert_eq!(summary.execution, ExecutionStatus::NotRun);
}
