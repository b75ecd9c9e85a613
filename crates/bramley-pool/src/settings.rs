//! Limits, intervals and timeouts of pools, relays and claims.

use std::time::Duration;

use crate::mechanism::{DisabledMechanisms, Mechanism};

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Length of a run lease on the worker's clock. It is below the platform's maximum of 1,000 ms
    /// and expires within the 1,300 ms after which a client resends its job.
    pub run_lease: Duration,
    /// Longest run lease that a worker grants, whatever is requested.
    pub max_lease: Duration,
    /// Longest timeout of a long poll to a worker with active runs. A quarter of the run lease, so that one
    /// lost answer does not let the lease expire.
    pub poll_wait: Duration,
    /// Shortest timeout of such a poll.
    pub min_poll_wait: Duration,
    /// Maximum rate error of a worker's clock in thousandths; the platform specifies 2 %.
    pub clock_error_permille: u32,
    /// Time that a disconnected relay has to reconnect before its jobs are cancelled.
    pub relay_grace: Duration,
    /// Time after a change of leader in which relays can adopt unacknowledged ends of runs.
    pub adoption_window: Duration,
    /// Longest time after a change of leader until runs that no relay has adopted are stopped. It
    /// is cut short if their callers were lost so early that `caller_resend_delay` would pass.
    pub orphaned_run_timeout: Duration,
    /// Shortest such time, in which the relays of hosts that are up reconnect and resubmit their
    /// jobs.
    pub min_adoption_time: Duration,
    /// Shortest time after which a caller whose connection has ended resends its job, possibly to
    /// another failure domain; the platform specifies `resend_ms`. Runs end within it.
    pub caller_resend_delay: Duration,
    /// Part of `caller_resend_delay` that is reserved for a stop request and its repetition.
    pub stop_allowance: Duration,
    /// Shortest run lease with which a task is started.
    pub min_start_lease: Duration,
    /// Shortest time after which a start request without an answer is resent: several round trips
    /// within a failure domain.
    pub min_resend_delay: Duration,
    /// Longest time after which a start request without an answer is resent.
    pub max_resend_delay: Duration,
    /// Shortest time after which a start or stop request counts as unanswered.
    pub min_answer_timeout: Duration,
    /// Time that a poll may take beyond its requested wait.
    pub poll_answer_margin: Duration,
    /// Interval between attempts to stop a run.
    pub stop_retry_interval: Duration,
    /// Time after the last end of a run until it is acknowledged to an idle worker.
    pub idle_acknowledgement: Duration,
    /// Delay in the queue order for each step of lower priority.
    pub priority_step: Duration,
    /// Factor on a task's run time when its data is on another rack.
    pub remote_factor: f64,
    /// Largest relative run time of a worker for which the limit of a stalled run is raised.
    pub slow_ratio: f64,
    /// Multiple of the expected run time after which a run counts as stalled.
    pub stall_ratio: f64,
    /// Minimum run time before a run can count as stalled.
    pub min_stall_time: Duration,
    /// Length of the first suspension of a worker.
    pub min_suspension: Duration,
    /// Maximum length of a suspension.
    pub max_suspension: Duration,
    /// Multiple of the latency objective after which a job that has not started is dropped; the
    /// platform gives no credit for later answers.
    pub give_up_factor: f64,
    /// Time after a process pause in which no task is started, long enough to read what arrived
    /// during the pause.
    pub resume_wait: Duration,
    /// Time for which the name of a closed job that had started is kept. Clients may resend a job
    /// until its deadline, and most deadlines are shorter than this.
    pub started_job_retention: Duration,
    /// Time for which crashes under a job's tasks are remembered after the last one. Clients may
    /// resend a job until its deadline.
    pub crash_retention: Duration,
    /// Longest time from a worker's last answer to a sign that its process has ended, for which the
    /// sign shows that its runs ended with it: one long poll and the connection attempt after it.
    pub crash_notice_limit: Duration,
    /// Time after the acknowledgement of an evacuation from which no task may be started in the
    /// failure domain.
    pub evacuation_bound: Duration,
    /// Time in which all workers return to use after an evacuation. It spreads the load that comes
    /// back over some ten heartbeats of 200 ms.
    pub evacuation_return_time: Duration,
    /// Maximum number of waiting jobs considered in one placement round.
    pub scan_limit: usize,
    /// Whether tasks of routes that slow each other down are kept on different workers where there
    /// is room.
    pub keeps_interfering_apart: bool,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            run_lease: Duration::from_millis(800),
            max_lease: Duration::from_millis(1_000),
            poll_wait: Duration::from_millis(200),
            min_poll_wait: Duration::from_millis(40),
            clock_error_permille: 20,
            relay_grace: Duration::from_millis(300),
            adoption_window: Duration::from_millis(800),
            orphaned_run_timeout: Duration::from_millis(400),
            min_adoption_time: Duration::from_millis(100),
            caller_resend_delay: Duration::from_millis(1_300),
            stop_allowance: Duration::from_millis(150),
            min_start_lease: Duration::from_millis(200),
            min_resend_delay: Duration::from_millis(15),
            max_resend_delay: Duration::from_millis(200),
            min_answer_timeout: Duration::from_millis(60),
            poll_answer_margin: Duration::from_millis(200),
            stop_retry_interval: Duration::from_millis(80),
            idle_acknowledgement: Duration::from_millis(300),
            priority_step: Duration::from_millis(100),
            remote_factor: 2.0,
            slow_ratio: 2.2,
            stall_ratio: 3.0,
            min_stall_time: Duration::from_millis(250),
            min_suspension: Duration::from_millis(500),
            max_suspension: Duration::from_secs(8),
            give_up_factor: 3.0,
            resume_wait: Duration::from_millis(100),
            started_job_retention: Duration::from_secs(10),
            crash_retention: Duration::from_secs(30),
            crash_notice_limit: Duration::from_millis(300),
            evacuation_bound: Duration::from_millis(5_000),
            evacuation_return_time: Duration::from_secs(2),
            scan_limit: 64,
            keeps_interfering_apart: false,
            disabled: DisabledMechanisms::default(),
        }
    }
}

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Time after the last message of a lost pool until its runs have certainly ended: the sum of
    /// the idle timeout of its connection, the relay grace period, one run lease and a short pause
    /// of the pool's host.
    pub lost_pool_wait: Duration,
    /// Time after a process pause in which no job is submitted, long enough to read what arrived
    /// during the pause.
    pub resume_wait: Duration,
    /// Time after a process pause in which answers that arrived during it are read before jobs of
    /// callers that may have left are given up. With a tick it is shorter than the time in which pools
    /// start nothing after a pause.
    pub answer_read_wait: Duration,
    /// Shortest time after which a caller whose connection has ended resends its job, possibly to
    /// another host; the platform specifies `resend_ms`.
    pub caller_resend_delay: Duration,
    /// Part of `caller_resend_delay` that is reserved for stopping the job's runs.
    pub stop_allowance: Duration,
    /// Shortest and longest time after which the end of a connection that is not acknowledged is
    /// retransmitted for the first time: the smallest retransmission timeout of common TCP stacks, and
    /// with the round trips of callers and their variance. The delay doubles each time.
    pub first_retransmission: (Duration, Duration),
    /// Minimum `Retry-After` time of a refusal.
    pub min_retry_after: Duration,
    /// Maximum `Retry-After` time of a refusal; most clients stop waiting before.
    pub max_retry_after: Duration,
    /// Maximum number of pools that are asked to serve a job late.
    pub max_late_offers: usize,
    /// Time for which crashes under a job's tasks are remembered after the last one. Clients may
    /// resend a job until its deadline.
    pub crash_retention: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            lost_pool_wait: Duration::from_millis(2_500),
            resume_wait: Duration::from_millis(100),
            answer_read_wait: Duration::from_millis(50),
            caller_resend_delay: Duration::from_millis(1_300),
            stop_allowance: Duration::from_millis(150),
            first_retransmission: (Duration::from_millis(200), Duration::from_millis(300)),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(5),
            max_late_offers: 2,
            crash_retention: Duration::from_secs(30),
        }
    }
}

impl RelaySettings {
    /// Returns the defaults with some mechanisms switched off.
    #[must_use]
    pub fn without(disabled: DisabledMechanisms) -> Self {
        let defaults = Self::default();
        let max_late_offers = match disabled.allows(Mechanism::LateOffers) {
            true => defaults.max_late_offers,
            false => 0,
        };
        Self {
            max_late_offers,
            ..defaults
        }
    }
}

/// Settings of the leader election of a failure domain.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Time to live of the claim's lease in the store; the store grants at least 1,000 ms.
    pub lease_duration: Duration,
    /// Interval between renewals of the lease; a third of its time to live.
    pub renew_interval: Duration,
    /// Delay before a host with little CPU claims, so that larger hosts claim first. Also added for
    /// a host without a connection to any other process, and the retry delay after a failed write.
    pub small_host_wait: Duration,
    /// Delay before a host that had released its claim because it was isolated claims again.
    pub isolated_wait: Duration,
    /// Time without a connection to any other process after which a pool counts as isolated.
    pub isolation_limit: Duration,
    /// Time without contact to the store after which the leader hands over to a host that reaches
    /// it.
    pub store_loss_limit: Duration,
    /// Time for which a stopping process keeps its claim if no host of its size takes over. Half of
    /// the platform's grace period, which leaves the rest to hand over leadership and to serve
    /// callers.
    pub stop_hold: Duration,
    /// CPU in thousandths of a core below which a host counts as small while no claim has been
    /// seen.
    pub large_host_cpu_milli: u32,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_millis(1_500),
            renew_interval: Duration::from_millis(500),
            small_host_wait: Duration::from_millis(150),
            isolated_wait: Duration::from_millis(1_000),
            isolation_limit: Duration::from_millis(1_000),
            store_loss_limit: Duration::from_millis(3_000),
            stop_hold: Duration::from_millis(3_000),
            large_host_cpu_milli: 400,
        }
    }
}
