//! Limits and times of pools, relays and claims.

use std::time::Duration;

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Length of a run lease on the worker's clock; below the platform's longest lease of 1,000 ms
    /// and short enough to end inside the 1,300 ms after which a client sends again.
    pub run_lease: Duration,
    /// Longest run lease that a worker grants, whatever it is told.
    pub longest_lease: Duration,
    /// Longest wait of one look at a worker with running tasks; a third of the run lease, so that
    /// one lost answer does not end the lease.
    pub look_wait: Duration,
    /// Rate error of a worker's clock in thousandths; the platform states 2 %.
    pub clock_error_permille: u32,
    /// Time that a relay has to come back before its jobs are stopped.
    pub relay_grace: Duration,
    /// Time after a change of command until runs on workers that were not read have surely ended:
    /// the earlier pool meets the new token within one look, and then its last leases end.
    pub takeover_bound: Duration,
    /// Time that relays have after a change of command to claim ends that were not acknowledged.
    pub adoption_window: Duration,
    /// Time after a change of command until runs that no relay has claimed are stopped; with the relay
    /// grace, a stop and its tries it lies inside the 1,300 ms after which a client sends again.
    pub claim_wait: Duration,
    /// Time between two tries to stop a run.
    pub stop_retry: Duration,
    /// Time after which ends are acknowledged to a worker on which nothing runs.
    pub idle_acknowledgement: Duration,
    /// How much later a less urgent job may start for each step of priority.
    pub priority_step: Duration,
    /// Factor on a task's time when its data lies on another rack.
    pub remote_factor: f64,
    /// Run time against the expectation, from which a worker counts as slow.
    pub slow_ratio: f64,
    /// Multiple of the expected run time from which a run counts as stalled.
    pub stall_ratio: f64,
    /// Least run time before a run may count as stalled.
    pub stall_floor: Duration,
    /// First wait before a suspended worker gets a task again.
    pub suspend_first: Duration,
    /// Longest wait before a suspended worker gets a task again.
    pub suspend_longest: Duration,
    /// Multiple of the latency objective after which a job that has not started is given up; the
    /// platform counts later answers for nothing.
    pub give_up_factor: f64,
    /// Time after a pause of the process in which nothing is started: enough to read what arrived
    /// during the pause.
    pub resume_wait: Duration,
    /// Time for which a dropped job that had begun is remembered; clients send again for as long as
    /// their deadlines last, of which most are shorter.
    pub begun_memory: Duration,
    /// Largest number of waiting jobs that one round of placement looks at.
    pub scan_limit: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            run_lease: Duration::from_millis(800),
            longest_lease: Duration::from_millis(1_000),
            look_wait: Duration::from_millis(200),
            clock_error_permille: 20,
            relay_grace: Duration::from_millis(300),
            takeover_bound: Duration::from_millis(1_500),
            adoption_window: Duration::from_millis(800),
            claim_wait: Duration::from_millis(400),
            stop_retry: Duration::from_millis(80),
            idle_acknowledgement: Duration::from_millis(300),
            priority_step: Duration::from_millis(100),
            remote_factor: 2.0,
            slow_ratio: 2.2,
            stall_ratio: 3.0,
            stall_floor: Duration::from_millis(250),
            suspend_first: Duration::from_millis(500),
            suspend_longest: Duration::from_secs(8),
            give_up_factor: 3.0,
            resume_wait: Duration::from_millis(100),
            begun_memory: Duration::from_secs(10),
            scan_limit: 64,
        }
    }
}

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Time after the last message of a lost pool until its runs have surely ended: the pool's
    /// silence limit, the relay grace, one run lease and a short pause of the pool's host.
    pub lost_pool_wait: Duration,
    /// Time after a pause of the process in which no job is sent: enough to read what arrived during
    /// the pause.
    pub resume_wait: Duration,
    /// Least time to come back that a refusal states.
    pub retry_after_least: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            lost_pool_wait: Duration::from_millis(2_500),
            resume_wait: Duration::from_millis(100),
            retry_after_least: Duration::from_secs(1),
        }
    }
}

/// Settings of the claim of a failure domain's workers.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Life of the key's lease in the store without renewal; the store grants 1,000 ms at least.
    pub lease_life: Duration,
    /// Time between two renewals; a third of the lease's life.
    pub renew_every: Duration,
    /// Wait of hosts with a small share of a core before they claim, so that larger hosts go first.
    pub small_host_wait: Duration,
    /// Wait of a host that reaches no other host before it claims.
    pub isolated_wait: Duration,
    /// Time without a relay from another host after which a pool counts as isolated.
    pub isolation_limit: Duration,
    /// Time without the store after which a pool gives its command to a host that reaches it.
    pub store_loss_limit: Duration,
    /// Time for which a stopping process keeps a claim that no host of its size takes over; half of the
    /// platform's grace, so that the rest is left to pass command on and to serve callers.
    pub stop_hold: Duration,
    /// Share of a core, in thousandths, below which a host counts as small while no claim was seen.
    pub large_host_milli: u32,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            lease_life: Duration::from_millis(1_500),
            renew_every: Duration::from_millis(500),
            small_host_wait: Duration::from_millis(150),
            isolated_wait: Duration::from_millis(1_000),
            isolation_limit: Duration::from_millis(1_000),
            store_loss_limit: Duration::from_millis(3_000),
            stop_hold: Duration::from_millis(3_000),
            large_host_milli: 400,
        }
    }
}
