//! Callers whose host was paused: the end of a connection that was sent during the pause is
//! retransmitted with doubling delays and read long after it, while the caller has sent its job to
//! another host.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::JobName;
use bramley_pool::message::{JobOutcome, PoolMessage, RelayMessage};
use bramley_pool::pool_connection::{LossCause, PoolLoss};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_pool::settings::RelaySettings;

const TICK: Duration = Duration::from_millis(25);

/// Time after which a client that has left sends its job to another host.
const RESEND: Duration = Duration::from_millis(1_300);

/// What a relay did about its job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayStep {
    Submitted,
    Cancelled,
    Answered(JobAnswer),
}

/// A relay with one job at its only pool.
struct PausedRelay {
    relay: Relay,
    now: UnixTime,
}

impl PausedRelay {
    fn new() -> Self {
        let world = World::new(1, 0);
        let mut relay = Relay::new(RelaySettings::default(), home());
        relay.pool_connected(&home(), Some(1), world.now);
        relay.accept(world.submission(&TestJob::default()), world.now);
        let mut paused = Self {
            relay,
            now: world.now,
        };
        assert_eq!(paused.take_steps(), [RelayStep::Submitted]);
        paused
    }

    fn pause(&mut self, span_ms: u64) {
        let span = Duration::from_millis(span_ms);
        self.now = self.now.after(span);
        self.relay.process_resumed(span, self.now);
    }

    /// Pauses for a time that the process's clock does not count.
    fn suspend(&mut self, span: Duration) {
        self.relay.clock_skipped(span);
        self.relay.process_resumed(span, self.now);
    }

    /// Loses the connection to the pool and opens it again, as after a long pause.
    fn reconnect(&mut self, heard_at: UnixTime) {
        let loss = PoolLoss {
            cause: LossCause::ConnectionEnded,
            last_message_at: heard_at,
        };
        let connection = self.relay.connection(&home()).expect("a connection");
        self.relay.pool_lost(&connection, loss);
        self.relay.pool_connected(&home(), Some(1), self.now);
    }

    fn receive(&mut self, message: PoolMessage) {
        let connection = self.relay.connection(&home()).expect("a connection");
        self.relay
            .handle_pool_message(&connection, message, self.now);
    }

    /// Runs for a time and returns what the relay does, with the time of each step.
    fn run_for(&mut self, span: Duration) -> Vec<(UnixTime, RelayStep)> {
        let end = self.now.after(span);
        let mut steps = Vec::new();
        while self.now < end {
            self.now = self.now.after(TICK);
            self.relay.tick(self.now);
            let taken = self.take_steps().into_iter();
            steps.extend(taken.map(|step| (self.now, step)));
        }
        steps
    }

    fn take_steps(&mut self) -> Vec<RelayStep> {
        let actions = self.relay.take_actions().into_iter();
        let steps = actions.filter_map(|action| match action {
            RelayAction::Send(_, RelayMessage::Submit(_)) => Some(RelayStep::Submitted),
            RelayAction::Send(_, RelayMessage::Cancel(_)) => Some(RelayStep::Cancelled),
            RelayAction::Answer(_, answer) => Some(RelayStep::Answered(answer)),
            RelayAction::Send(..) | RelayAction::LogDecision(_) => None,
        });
        steps.collect()
    }
}

fn home() -> DomainName {
    DomainName::from("home")
}

fn refused(refusal: Refusal) -> RelayStep {
    RelayStep::Answered(JobAnswer::Refused {
        refusal,
        retry_after: Duration::from_secs(1),
    })
}

fn ended(outcome: JobOutcome) -> PoolMessage {
    PoolMessage::Ended {
        job: JobName::from("job-1"),
        outcome,
        wait: Duration::ZERO,
    }
}

fn without_times(steps: &[(UnixTime, RelayStep)]) -> Vec<RelayStep> {
    steps.iter().map(|(_, step)| *step).collect()
}

/// Guards against a job that is started again beside the run of its second submission: the caller has
/// left during the pause, and the end of its connection has not arrived yet.
#[test]
fn a_resumed_relay_submits_no_job_whose_caller_may_have_sent_it_elsewhere() {
    for pause_ms in [701, 900, 1_400, 2_500, 4_000, 9_000] {
        let mut paused = PausedRelay::new();
        let heard_at = paused.now;
        paused.pause(pause_ms);
        paused.reconnect(heard_at);
        let steps = paused.run_for(Duration::from_secs(20));
        let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
        assert_eq!(without_times(&steps), expected, "paused for {pause_ms} ms");
    }
}

/// Guards against a run that goes on beside that of the second submission, where the pool has not lost
/// the relay during the pause.
#[test]
fn a_job_that_runs_on_is_cancelled_before_its_caller_can_send_it_elsewhere() {
    for pause_ms in [560, 600, 650, 699] {
        let mut paused = PausedRelay::new();
        let may_resend_at = paused.now.after(RESEND);
        paused.pause(pause_ms);
        let steps = paused.run_for(Duration::from_secs(5));
        let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
        assert_eq!(without_times(&steps), expected, "paused for {pause_ms} ms");
        let stop_allowance = Duration::from_millis(100);
        let cancelled_at = steps.first().map(|(at, _)| at.after(stop_allowance));
        assert!(cancelled_at <= Some(may_resend_at), "{steps:?}");
    }
}

/// Guards against the same where two short pauses hide the caller as long as a longer one.
#[test]
fn pauses_in_a_row_count_as_one() {
    let mut paused = PausedRelay::new();
    let may_resend_at = paused.now.after(RESEND);
    paused.pause(400);
    assert_eq!(paused.run_for(TICK * 4), []);
    paused.pause(400);
    let steps = paused.run_for(Duration::from_secs(5));
    let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
    assert_eq!(without_times(&steps), expected);
    assert!(steps.iter().all(|(at, _)| *at <= may_resend_at));
}

/// Guards against a run that outlasts two suspensions by the length of the second: the clock counts
/// neither, and the start of the first was taken for later than it was.
#[test]
fn suspensions_in_a_row_count_as_one() {
    let mut paused = PausedRelay::new();
    let span = Duration::from_millis(400);
    let may_resend_at = paused.now.after(RESEND).before(span * 2);
    paused.suspend(span);
    assert_eq!(paused.run_for(TICK * 4), []);
    paused.suspend(span);
    let steps = paused.run_for(Duration::from_secs(5));
    let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
    assert_eq!(without_times(&steps), expected);
    assert!(steps.iter().all(|(at, _)| *at <= may_resend_at));
}

/// Guards against a request that counts as sent when it arrives, between two pauses: its client may have
/// sent it during the first and have left unheard during the second.
#[test]
fn a_request_between_two_pauses_may_have_been_sent_during_the_first() {
    let mut paused = PausedRelay::new();
    paused.receive(ended(JobOutcome::Completed));
    let expected = [RelayStep::Answered(JobAnswer::Completed)];
    assert_eq!(paused.take_steps(), expected);
    let may_resend_at = paused.now.after(RESEND);
    paused.pause(400);
    assert_eq!(paused.run_for(TICK * 6), []);
    let job = World::new(1, 0).submission(&TestJob::default());
    paused.relay.accept(job, paused.now);
    assert_eq!(paused.take_steps(), [RelayStep::Submitted]);
    paused.pause(400);
    let steps = paused.run_for(Duration::from_secs(5));
    let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
    assert_eq!(without_times(&steps), expected);
    assert!(steps.iter().all(|(at, _)| *at <= may_resend_at));
}

/// Guards against work that is thrown away where the end of each connection is read in time.
#[test]
fn a_short_pause_costs_no_job() {
    for pause_ms in [310, 400, 500, 545] {
        let mut paused = PausedRelay::new();
        paused.pause(pause_ms);
        assert_eq!(paused.run_for(Duration::from_secs(5)), []);
        paused.receive(ended(JobOutcome::Completed));
        let expected = [RelayStep::Answered(JobAnswer::Completed)];
        assert_eq!(paused.take_steps(), expected);
    }
}

/// Guards against an answer that is thrown away although it arrived during the pause.
#[test]
fn a_job_that_has_ended_during_the_pause_is_answered() {
    let mut paused = PausedRelay::new();
    let heard_at = paused.now;
    paused.pause(4_000);
    paused.receive(ended(JobOutcome::Completed));
    paused.reconnect(heard_at);
    let expected = [RelayStep::Answered(JobAnswer::Completed)];
    assert_eq!(paused.take_steps(), expected);
    assert_eq!(paused.run_for(Duration::from_secs(5)), []);
}

/// Guards against a job that is given up although its caller has shown after the pause that it waits.
#[test]
fn a_caller_that_sends_its_job_again_is_served() {
    let mut paused = PausedRelay::new();
    let heard_at = paused.now;
    paused.pause(4_000);
    let job = World::new(1, 0).submission(&TestJob::default());
    paused.relay.accept(job, paused.now);
    paused.reconnect(heard_at);
    let steps = paused.run_for(Duration::from_secs(5));
    assert_eq!(without_times(&steps), [RelayStep::Submitted]);
}

/// Guards against a job that is reported as possibly run although its only pool has refused it.
#[test]
fn a_job_that_was_refused_during_the_pause_has_not_run() {
    let mut paused = PausedRelay::new();
    paused.pause(4_000);
    paused.receive(ended(JobOutcome::Refused(Refusal::Overloaded)));
    let expected = [RelayStep::Cancelled, refused(Refusal::Overloaded)];
    assert_eq!(paused.take_steps(), expected);
    assert_eq!(paused.run_for(Duration::from_secs(5)), []);
}

/// Guards against a job that is submitted after a suspension that the process's clock has not counted.
#[test]
fn time_that_the_clock_did_not_count_is_part_of_the_pause() {
    let mut paused = PausedRelay::new();
    let heard_at = paused.now;
    let span = Duration::from_secs(4);
    paused.suspend(span);
    paused.reconnect(heard_at);
    let steps = paused.run_for(Duration::from_secs(5));
    let expected = [RelayStep::Cancelled, refused(Refusal::Unknown)];
    assert_eq!(without_times(&steps), expected);
}
