//! Focused tests of outcomes: one promise each, on one kernel.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{ErrorKind, ExecutionClaim, RetryAdvice};
use bramley_core::job::{JobAnswer, JobFailure, JobSpec, ReplyToken};
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{AttemptEnd, JobSubmission, KernelEvent};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_core::task::{NotStartedProof, TaskReport};
use bramley_core::units::{TicketSerial, UnixTime};
use support::{TEAM, configuration_of, job, worker};

const START: UnixTime = UnixTime::from_millis(1_000_000);
const TICKET_LIFE: Duration = Duration::from_secs(60);

struct KernelBench {
    kernel: DispatchKernel,
    now: UnixTime,
    expiry: UnixTime,
    last_token: u64,
    actions: Vec<KernelAction>,
}

impl KernelBench {
    fn new(slots: u32) -> Self {
        Self::with(KernelSettings::default(), slots)
    }

    fn with(settings: KernelSettings, slots: u32) -> Self {
        let identity = KernelIdentity {
            host: HostName::from("entry-1"),
            domain: DomainName::from("freising"),
            seed: 1,
        };
        let mut bench = Self {
            kernel: DispatchKernel::new(identity, settings),
            now: START,
            expiry: START.after(TICKET_LIFE),
            last_token: 0,
            actions: Vec::new(),
        };
        bench.handle(KernelEvent::Configured(configuration_of(&[(TEAM, 1_000)])));
        let profile = worker("worker-1", "freising", slots);
        bench.handle(KernelEvent::WorkersListed(vec![profile]));
        bench
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

    fn end(&mut self, start: &TaskStart, end: AttemptEnd) {
        let attempt = start.attempt;
        self.handle(KernelEvent::AttemptEnded { attempt, end });
    }

    fn finish(&mut self, start: &TaskStart, output: &str) {
        self.end(start, AttemptEnd::Finished(Arc::from(output)));
    }

    fn wait(&mut self, span: Duration) {
        self.now = self.now.after(span);
        self.handle(KernelEvent::Ticked);
    }

    /// Takes the starts that were asked for since the last call.
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

    fn only_start(&mut self) -> TaskStart {
        let mut starts = self.starts();
        assert_eq!(starts.len(), 1);
        starts.remove(0)
    }

    /// Takes the answer that was given to a caller.
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
        let answer = self.answer(token).expect("the caller has an answer");
        match &*answer {
            JobAnswer::Complete(outputs) => outputs.iter().map(ToString::to_string).collect(),
            JobAnswer::Failed(failure) => panic!("unexpected {failure:?}"),
        }
    }

    fn failure(&mut self, token: ReplyToken) -> FailureFacts {
        let answer = self.answer(token).expect("the caller has an answer");
        match &*answer {
            JobAnswer::Failed(failure) => FailureFacts::of(failure),
            JobAnswer::Complete(outputs) => panic!("unexpected {outputs:?}"),
        }
    }
}

impl Drop for KernelBench {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(self.kernel.monitor().first_violation(), None);
        }
    }
}

#[derive(Debug, PartialEq)]
struct FailureFacts {
    kind: ErrorKind,
    execution: ExecutionClaim,
    retry: RetryAdvice,
    tasks: Vec<TaskReport>,
}

impl FailureFacts {
    fn of(failure: &JobFailure) -> Self {
        Self {
            kind: failure.error.kind,
            execution: failure.execution,
            retry: failure.retry_advice(),
            tasks: failure.tasks.clone(),
        }
    }
}

fn single(payload: &str) -> JobSpec {
    job(&[payload], UnixTime::NEVER, false)
}

fn balance_check() -> JobSpec {
    job(&["a"], UnixTime::NEVER, true)
}

const CLOSED: FailureFacts = FailureFacts {
    kind: ErrorKind::RefusedEarlier,
    execution: ExecutionClaim::NotRun,
    retry: RetryAdvice::NewTicket,
    tasks: Vec::new(),
};

const REFUSED_START: AttemptEnd = AttemptEnd::NotStarted {
    proof: NotStartedProof::RefusedByWorker,
    leaving: false,
};

#[test]
fn resubmission_joins_the_running_job_and_gets_the_kept_answer() {
    let mut bench = KernelBench::new(4);
    let first = bench.submit(1, &single("a"));
    let second = bench.submit(1, &single("a"));
    let start = bench.only_start();
    bench.finish(&start, "done");
    assert_eq!(bench.outputs(first), ["done"]);
    assert_eq!(bench.outputs(second), ["done"]);

    let third = bench.submit(1, &single("a"));
    assert_eq!(bench.outputs(third), ["done"]);
    assert!(bench.starts().is_empty());
}

#[test]
fn changed_body_is_refused_and_starts_nothing() {
    let mut bench = KernelBench::new(4);
    bench.submit(1, &single("a"));
    bench.starts();
    let changed = bench.submit(1, &single("b"));
    assert_eq!(bench.failure(changed).kind, ErrorKind::ChangedBody);
    assert!(bench.starts().is_empty());
}

#[test]
fn waiting_callers_of_one_job_are_bounded() {
    let mut bench = KernelBench::new(4);
    for _ in 0..1_000 {
        bench.submit(1, &single("a"));
    }
    let start = bench.only_start();
    bench.actions.clear();
    bench.finish(&start, "done");
    assert!(bench.actions.len() <= 64, "{}", bench.actions.len());
}

#[test]
fn refused_submission_is_not_run_and_its_delayed_copy_never_starts() {
    let mut bench = KernelBench::new(4);
    let late = job(&["a"], START, false);
    let refused = bench.submit(1, &late);
    let facts = bench.failure(refused);
    assert_eq!(facts.kind, ErrorKind::DeadlinePassed);
    assert_eq!(facts.execution, ExecutionClaim::NotRun);
    assert_eq!(facts.retry, RetryAdvice::NewTicket);

    let copy = bench.submit(1, &single("a"));
    assert_eq!(bench.failure(copy), CLOSED);
    let query = bench.query(1);
    assert_eq!(bench.failure(query), CLOSED);
    assert!(bench.starts().is_empty());
}

#[test]
fn refusal_that_closes_the_ticket_never_advises_the_same_ticket() {
    let closing = [
        ErrorKind::QuotaExceeded,
        ErrorKind::QueueFull,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NeverRunnable,
        ErrorKind::NoWorkers,
        ErrorKind::NoConfiguration,
        ErrorKind::Draining,
        ErrorKind::OutcomesFull,
    ];
    for kind in closing {
        assert_ne!(kind.answer_row().retry, RetryAdvice::SameTicket, "{kind}");
    }
}

#[test]
fn host_without_the_store_does_not_claim_that_a_key_was_not_run() {
    let row = ErrorKind::StoreUnavailable.answer_row();
    assert_eq!(row.execution, ExecutionClaim::Undetermined);
}

#[test]
fn expired_ticket_starts_nothing() {
    let mut bench = KernelBench::new(4);
    bench.submit(1, &single("a"));
    let start = bench.only_start();
    bench.finish(&start, "done");
    bench.wait(TICKET_LIFE + Duration::from_secs(1));
    let query = bench.query(1);
    let facts = bench.failure(query);
    assert_eq!(facts.kind, ErrorKind::ExpiredTicket);
    assert_eq!(facts.execution, ExecutionClaim::Undetermined);
    let again = bench.submit(1, &single("a"));
    assert_eq!(bench.failure(again).kind, ErrorKind::ExpiredTicket);
    assert!(bench.starts().is_empty());
}

#[test]
fn cancellation_before_the_submission_closes_the_ticket() {
    let mut bench = KernelBench::new(4);
    let cancel = bench.cancel(1);
    let facts = bench.failure(cancel);
    assert_eq!(facts.kind, ErrorKind::Cancelled);
    assert_eq!(facts.execution, ExecutionClaim::NotRun);
    let late = bench.submit(1, &single("a"));
    assert_eq!(bench.failure(late), CLOSED);
    assert!(bench.starts().is_empty());
}

#[test]
fn cancellation_tells_waiting_tasks_from_sent_ones() {
    let mut bench = KernelBench::new(1);
    let submit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let sent = bench.only_start();
    let cancel = bench.cancel(1);
    let facts = bench.failure(cancel);
    assert_eq!(facts.execution, ExecutionClaim::MayHaveRun);
    assert_eq!(facts.tasks, [TaskReport::MayHaveRun, TaskReport::NotRun]);
    assert_eq!(bench.failure(submit), facts);

    bench.finish(&sent, "late");
    let resubmit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    assert_eq!(bench.failure(resubmit), facts);
    assert!(bench.starts().is_empty());
}

#[test]
fn cancellation_after_the_answer_returns_the_answer() {
    let mut bench = KernelBench::new(1);
    bench.submit(1, &single("a"));
    let start = bench.only_start();
    bench.finish(&start, "done");
    let cancel = bench.cancel(1);
    assert_eq!(bench.outputs(cancel), ["done"]);
}

/// Cancels a wave of queued jobs of a hundred tasks each and returns the steps that it took.
///
/// With distinct needs, each job waits in a lane of its own besides the common one.
fn cancel_wave(jobs: u64, distinct_needs: bool) -> u64 {
    let settings = KernelSettings {
        max_waiting_tasks: 1_000_000,
        ..KernelSettings::default()
    };
    let mut bench = KernelBench::with(settings, 1);
    bench.expiry = UnixTime::from_millis(u64::MAX);
    let deadline = bench.expiry.before(Duration::from_secs(1));
    bench.submit(1, &job(&["busy"], deadline, false));
    bench.starts();
    for serial in 2..jobs + 2 {
        let mut spec = job(&["a"; 100], deadline, false);
        if distinct_needs {
            spec.tasks[0].memory_mib = u32::try_from(serial).expect("few jobs");
        }
        bench.submit(serial, &spec);
    }
    assert_eq!(bench.kernel.waiting_tasks() as u64, 100 * jobs);
    for serial in 2..jobs + 2 {
        let cancel = bench.cancel(serial);
        assert_eq!(bench.failure(cancel).execution, ExecutionClaim::NotRun);
        bench.actions.clear();
    }
    assert_eq!(bench.kernel.waiting_tasks(), 0);
    for _ in 0..100 {
        bench.wait(Duration::from_secs(1));
    }
    assert!(bench.starts().is_empty());
    bench.kernel.counters().removal_steps
}

#[test]
fn cancellation_wave_costs_proportional_steps_and_starts_nothing() {
    for distinct_needs in [false, true] {
        let small = cancel_wave(100, distinct_needs);
        let large = cancel_wave(1_000, distinct_needs);
        assert!(small >= 10_000, "{small}");
        assert!(large <= 11 * small, "{small} and {large}");
    }
}

#[test]
fn unknown_outcome_of_a_charge_is_final_and_never_sent_again() {
    let mut bench = KernelBench::new(4);
    let submit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let starts = bench.starts();
    bench.end(&starts[0], AttemptEnd::Unknown);
    let facts = bench.failure(submit);
    assert_eq!(facts.execution, ExecutionClaim::MayHaveRun);
    assert_eq!(facts.retry, RetryAdvice::Never);
    assert_eq!(facts.tasks, [TaskReport::MayHaveRun; 2]);
    bench.wait(Duration::from_secs(1));
    assert!(bench.starts().is_empty());
}

#[test]
fn refused_start_is_sent_again() {
    let mut bench = KernelBench::new(4);
    let submit = bench.submit(1, &single("a"));
    let start = bench.only_start();
    bench.end(&start, REFUSED_START);
    let again = bench.only_start();
    bench.finish(&again, "done");
    assert_eq!(bench.outputs(submit), ["done"]);
}

#[test]
fn retried_balance_check_that_waits_again_is_not_reported_as_not_run() {
    let mut bench = KernelBench::new(1);
    let submit = bench.submit(1, &balance_check());
    let start = bench.only_start();
    bench.end(&start, AttemptEnd::Unknown);
    // The only slot rests, so the task waits again although it may have run.
    assert!(bench.starts().is_empty());
    let cancel = bench.cancel(1);
    let facts = bench.failure(cancel);
    assert_eq!(facts.execution, ExecutionClaim::MayHaveRun);
    assert_eq!(facts.tasks, [TaskReport::MayHaveRun]);
    assert_eq!(bench.failure(submit), facts);
}

#[test]
fn refused_retry_of_a_balance_check_may_still_have_run() {
    let mut bench = KernelBench::new(1);
    let submit = bench.submit(1, &balance_check());
    let start = bench.only_start();
    bench.end(&start, AttemptEnd::Unknown);
    bench.wait(KernelSettings::default().slot_rest);
    let retry = bench.only_start();
    bench.end(&retry, REFUSED_START);
    bench.cancel(1);
    assert_eq!(bench.failure(submit).tasks, [TaskReport::MayHaveRun]);
}

#[test]
fn idempotent_jobs_of_several_tasks_are_not_retried() {
    let mut bench = KernelBench::new(4);
    let submit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, true));
    let starts = bench.starts();
    bench.end(&starts[0], AttemptEnd::Unknown);
    assert_eq!(bench.failure(submit).kind, ErrorKind::UnknownOutcome);
    assert!(bench.starts().is_empty());
}

/// Counts the retries of balance checks whose every accepted attempt is lost.
fn retries_of_lost_checks(checks: u64, refusals_each: u64) -> u64 {
    let mut bench = KernelBench::new(4);
    bench.expiry = UnixTime::NEVER;
    // No more than a third of the workers is ejected for the lost answers.
    let workers = (1..=10).map(|number| worker(&format!("worker-{number}"), "freising", 4));
    bench.handle(KernelEvent::WorkersListed(workers.collect()));
    for serial in 1..=checks {
        bench.submit(serial, &balance_check());
        let mut refusals = 0;
        for _ in 0..50 {
            for start in bench.starts() {
                let end = if refusals < refusals_each {
                    REFUSED_START
                } else {
                    AttemptEnd::Unknown
                };
                refusals += 1;
                bench.end(&start, end);
            }
            bench.wait(Duration::from_millis(10));
        }
    }
    assert_eq!(
        bench.kernel.counters().refused_starts,
        checks * refusals_each
    );
    bench.kernel.counters().retries
}

#[test]
fn retries_stay_within_the_budget() {
    // Ten retries are in hand at first, and every hundred first starts earn ten more.
    let retries = retries_of_lost_checks(100, 0);
    assert!((10..=20).contains(&retries), "{retries}");
}

#[test]
fn refused_starts_earn_no_retries() {
    let retries = retries_of_lost_checks(100, 20);
    assert!((10..=20).contains(&retries), "{retries}");
}

#[test]
fn late_and_repeated_answers_change_nothing() {
    let mut bench = KernelBench::new(4);
    let submit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    let starts = bench.starts();
    bench.finish(&starts[0], "first");
    bench.finish(&starts[0], "again");
    bench.end(&starts[0], AttemptEnd::Failed);
    assert!(bench.answer(submit).is_none());
    bench.finish(&starts[1], "second");
    assert_eq!(bench.outputs(submit), ["first", "second"]);
    bench.end(&starts[1], AttemptEnd::Unknown);
    let query = bench.query(1);
    assert_eq!(bench.outputs(query), ["first", "second"]);
    assert_eq!(bench.kernel.counters().late_answers, 3);
}

#[test]
fn overdue_job_is_answered_and_its_late_answer_changes_nothing() {
    let mut bench = KernelBench::new(1);
    let submit = bench.submit(1, &single("a"));
    let waiting = bench.submit(2, &job(&["b"], START.after(Duration::from_secs(1)), false));
    let start = bench.only_start();
    bench.wait(Duration::from_secs(3));
    assert_eq!(bench.failure(submit).tasks, [TaskReport::MayHaveRun]);
    let facts = bench.failure(waiting);
    assert_eq!(facts.kind, ErrorKind::DeadlinePassed);
    assert_eq!(facts.execution, ExecutionClaim::NotRun);
    bench.finish(&start, "late");
    let query = bench.query(1);
    assert_eq!(bench.failure(query).kind, ErrorKind::DeadlinePassed);
    assert!(bench.starts().is_empty());
    bench.wait(Duration::from_secs(1));
    assert_eq!(bench.kernel.right_counts().busy, 0);
}

#[test]
fn drain_finishes_accepted_work_and_refuses_new_work() {
    let mut bench = KernelBench::new(1);
    let submit = bench.submit(1, &job(&["a", "b"], UnixTime::NEVER, false));
    bench.handle(KernelEvent::DrainStarted);
    let refused = bench.submit(2, &single("c"));
    let facts = bench.failure(refused);
    assert_eq!(facts.kind, ErrorKind::Draining);
    assert_eq!(facts.execution, ExecutionClaim::NotRun);
    for output in ["first", "second"] {
        assert!(!bench.kernel.is_drained());
        let start = bench.only_start();
        bench.finish(&start, output);
    }
    assert_eq!(bench.outputs(submit), ["first", "second"]);
    assert!(bench.kernel.is_drained());
}

#[test]
fn stop_deadline_answers_what_remains_truthfully() {
    let mut bench = KernelBench::new(1);
    let sent = bench.submit(1, &single("a"));
    let waiting = bench.submit(2, &single("b"));
    bench.starts();
    bench.handle(KernelEvent::DrainStarted);
    bench.handle(KernelEvent::StopDeadlineReached);
    assert_eq!(bench.failure(sent).execution, ExecutionClaim::MayHaveRun);
    assert_eq!(bench.failure(waiting).execution, ExecutionClaim::NotRun);
    assert!(bench.kernel.is_drained());
    assert!(bench.starts().is_empty());
}

#[test]
fn full_books_refuse_new_work_and_forget_nothing() {
    let settings = KernelSettings {
        max_kept_outcomes: 3,
        ..KernelSettings::default()
    };
    let mut bench = KernelBench::with(settings, 8);
    for serial in 1..=3 {
        bench.submit(serial, &single("a"));
        let start = bench.only_start();
        bench.finish(&start, "done");
    }
    let refused = bench.submit(4, &single("a"));
    assert_eq!(bench.failure(refused).kind, ErrorKind::OutcomesFull);
    let kept = bench.query(1);
    assert_eq!(bench.outputs(kept), ["done"]);
}

#[test]
fn memory_of_waiting_jobs_counts_towards_the_bound() {
    let settings = KernelSettings {
        max_kept_bytes: 100_000,
        ..KernelSettings::default()
    };
    let mut bench = KernelBench::with(settings, 1);
    bench.expiry = UnixTime::NEVER;
    let payload = "x".repeat(10_000);
    let mut accepted = 0;
    for serial in 1..=50 {
        let token = bench.submit(serial, &job(&[&payload], START.after(TICKET_LIFE), false));
        if bench.answer(token).is_none() {
            accepted += 1;
        }
    }
    assert!(accepted <= 11, "{accepted}");
}

#[test]
fn wakeups_between_an_expiry_and_its_sweep_do_not_spin() {
    let mut bench = KernelBench::new(1);
    bench.submit(1, &single("a"));
    let start = bench.only_start();
    bench.finish(&start, "done");
    let mut wakeups = 0;
    while let Some(time) = bench.kernel.next_wakeup() {
        bench.now = bench.now.max(time);
        bench.handle(KernelEvent::Ticked);
        wakeups += 1;
        assert!(wakeups < 100, "the kernel asks to be woken without an end");
    }
}

#[test]
fn absurd_slot_counts_of_the_platform_are_capped() {
    let mut bench = KernelBench::new(1);
    let profile = worker("worker-2", "freising", u32::MAX);
    bench.handle(KernelEvent::WorkersListed(vec![profile]));
    assert!(bench.kernel.right_counts().owned <= 4_096);
}

#[test]
fn worker_that_stays_after_a_leaving_sign_is_used_again() {
    let mut bench = KernelBench::new(1);
    let profile = worker("worker-1", "freising", 1);
    bench.handle(KernelEvent::WorkerLeaving(profile.name.clone()));
    bench.handle(KernelEvent::WorkersListed(vec![profile.clone()]));
    let soon = bench.submit(1, &single("a"));
    assert!(bench.starts().is_empty());
    bench.wait(Duration::from_secs(5));
    assert_eq!(bench.failure(soon).execution, ExecutionClaim::NotRun);

    // The platform's list never showed the worker as leaving.
    bench.wait(Duration::from_secs(60));
    bench.handle(KernelEvent::WorkersListed(vec![profile]));
    bench.expiry = UnixTime::NEVER;
    bench.submit(2, &single("b"));
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn job_that_no_worker_can_run_fails_at_once() {
    let mut bench = KernelBench::new(0);
    let submit = bench.submit(1, &single("a"));
    let facts = bench.failure(submit);
    assert_eq!(facts.kind, ErrorKind::NeverRunnable);
    assert_eq!(facts.execution, ExecutionClaim::NotRun);
}
