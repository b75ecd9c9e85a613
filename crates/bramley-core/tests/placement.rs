//! Unit tests of queue policies, slot assignment and worker health.

use std::time::Duration;

use bramley_core::health::{HealthSample, HealthSignal, HealthTable, HealthTransition};
use bramley_core::names::{HostName, TeamName, WorkerName};
use bramley_core::queue::{QueueEntry, QueuePolicy, QueuePolicyRegistry, register_enabled};
use bramley_core::slots::assignment::{owner_of_slot, rank_hosts};
use bramley_core::units::{TicketSerial, UnixTime};
use bramley_core::worker::WorkerIndex;
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

const START: UnixTime = UnixTime::from_millis(1_000_000);

/// Under the fair policy, a job can be overtaken only by jobs submitted after it by at most its
/// remaining work divided by this number.
const AGEING_DIVISOR: u32 = 4;

fn create_policy(name: &str) -> Box<dyn QueuePolicy> {
    let mut registry = QueuePolicyRegistry::default();
    register_enabled(&mut registry);
    registry.create(name).expect("the policy is registered")
}

fn entry(serial: u64, team: &str, weight: u32, seconds: u64, work_s: u64) -> QueueEntry {
    QueueEntry {
        serial: TicketSerial(serial),
        team: TeamName::from(team),
        weight,
        submitted: START.after(Duration::from_secs(seconds)),
        remaining: Duration::from_secs(work_s),
    }
}

/// Runs the next job to completion and returns its serial.
fn run_next(policy: &mut dyn QueuePolicy, work: Duration) -> u64 {
    let serial = policy.next().expect("a job waits");
    policy.charge(serial, work);
    policy.remove(serial);
    serial.0
}

#[test]
fn large_job_is_passed_only_by_jobs_of_the_stated_time() {
    let mut policy = create_policy("fair");
    let large = entry(1, "organisers", 1, 0, 160);
    let bound = large.submitted.after(large.remaining / AGEING_DIVISOR);
    policy.insert(large);
    let mut second = 0;
    loop {
        second += 1;
        let small = entry(1 + second, "organisers", 1, second, 1);
        let submitted = small.submitted;
        policy.insert(small);
        if run_next(policy.as_mut(), Duration::from_secs(1)) == 1 {
            break;
        }
        assert!(
            submitted <= bound,
            "overtaken by a job submitted at second {second}"
        );
    }
    assert!(second > 1, "no small job overtook the large one");
}

#[test]
fn teams_share_by_weight_whatever_they_submit() {
    let mut policy = create_policy("fair");
    for serial in 0..400 {
        policy.insert(entry(serial, "busy", 1, 0, 1));
    }
    for serial in 1_000..1_400 {
        policy.insert(entry(serial, "favoured", 3, 0, 1));
    }
    let mut favoured = 0;
    for _ in 0..200 {
        if run_next(policy.as_mut(), Duration::from_secs(1)) >= 1_000 {
            favoured += 1;
        }
    }
    assert!((148..=152).contains(&favoured), "{favoured} of 200");
}

#[test]
fn team_beyond_its_quota_is_passed_over_by_every_order() {
    for name in ["fair", "fifo"] {
        let mut policy = create_policy(name);
        policy.insert(entry(1, "first", 1, 0, 1));
        policy.insert(entry(2, "second", 1, 1, 1));
        policy.set_blocked(&TeamName::from("first"), true);
        assert_eq!(policy.next(), Some(TicketSerial(2)), "{name}");
        policy.set_blocked(&TeamName::from("first"), false);
        assert_eq!(policy.len(), 2, "{name}");
    }
}

fn sample(worker: u32, job: u64, team: &str, signal: HealthSignal) -> HealthSample {
    HealthSample {
        worker: WorkerIndex(worker),
        job: TicketSerial(job),
        team: TeamName::from(team),
        signal,
    }
}

/// Records a successful job of one team on each of ten workers, so that the team is known to
/// succeed in general.
fn record_successes(table: &mut HealthTable) {
    for worker in 0..10 {
        let sample = sample(worker, u64::from(worker), "holds", HealthSignal::Success);
        let transition = table.record(&sample, 10, START);
        assert_eq!(transition, HealthTransition::Unchanged);
    }
}

#[test]
fn worker_that_fails_different_jobs_is_ejected_and_restored() {
    let mut table = HealthTable::default();
    record_successes(&mut table);
    let mut failures = 0;
    while !table.is_ejected(WorkerIndex(3)) {
        failures += 1;
        assert!(failures <= 8, "not ejected after {failures} failures");
        let sample = sample(3, 100 + failures, "holds", HealthSignal::Failure);
        table.record(&sample, 10, START);
    }
    let good = sample(3, 200, "holds", HealthSignal::Success);
    assert_eq!(table.record(&good, 10, START), HealthTransition::Restore);
    assert!(!table.is_ejected(WorkerIndex(3)));
}

#[test]
fn jobs_and_teams_that_fail_everywhere_eject_no_worker() {
    let mut table = HealthTable::default();
    record_successes(&mut table);
    for round in 0..50 {
        for worker in 0..10 {
            let one_job = sample(worker, 1_000 + round, "holds", HealthSignal::Failure);
            let own_job = 10_000 + round * 10 + u64::from(worker);
            let broken_team = sample(worker, own_job, "broken", HealthSignal::Failure);
            table.record(&one_job, 10, START);
            table.record(&broken_team, 10, START);
        }
    }
    assert_eq!(table.counts().ejected, 0);
}

#[test]
fn ejection_is_capped() {
    let mut table = HealthTable::default();
    for worker in 0..20 {
        let job = u64::from(worker);
        table.record(
            &sample(worker, job, "holds", HealthSignal::Unreachable),
            20,
            START,
        );
    }
    assert!(table.counts().ejected <= 6, "{:?}", table.counts());
}

proptest! {
    #[test]
    fn every_slot_has_one_owner_and_shares_are_even(
        hosts in 1_usize..12,
        slots in 1_u32..64,
        worker in 0_u32..1_000,
    ) {
        let hosts: Vec<HostName> = (0..hosts)
            .map(|host| HostName::from(format!("entry-{host}").as_str()))
            .collect();
        let worker = WorkerName::from(format!("worker-{worker}").as_str());
        let ranked = rank_hosts(&worker, &hosts);
        let mut counts = vec![0_u32; hosts.len()];
        for slot in 0..slots {
            let owner = owner_of_slot(&ranked, slot, 0);
            prop_assert!(owner.is_some());
            counts[owner.unwrap_or_default()] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or(0);
        let least = counts.iter().min().copied().unwrap_or(0);
        prop_assert!(most - least <= 1);
        prop_assert_eq!(counts.iter().sum::<u32>(), slots);
    }
}
