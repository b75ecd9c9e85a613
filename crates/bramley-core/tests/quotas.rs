//! Tests of the division of team quotas between hosts.

mod quota_runs;
mod support;

use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::membership::{
    HeartbeatNews, MemberLoad, MemberRecord, MemberState, MembershipKernel, MembershipSettings,
    TeamDemand,
};
use bramley_core::names::{DomainName, HostName, TeamName};
use bramley_core::units::IncarnationId;
use quota_runs::{HOSTS, OTHER_TEAM, QuotaBench, START, STEP};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{TEAM, configuration_of};

const QUOTA: u32 = 60;
const SHARE: u32 = QUOTA / HOSTS as u32;

/// Steps after which a lasting demand has its part: the hold time and two exchanges.
const SETTLING_STEPS: usize = 40;

/// Largest sum of limits: half of the quota above it, and one task for each host by rounding.
const STATED_BOUND: u32 = QUOTA + QUOTA / 2 + HOSTS as u32;

/// Bound that counts only the hosts with an equal share as those that may miss a demand.
fn exact_bound(limits: &[u32]) -> u32 {
    let equal = limits.iter().filter(|limit| **limit == SHARE).count() as u32;
    QUOTA + HOSTS as u32 + equal * QUOTA / (2 * HOSTS as u32)
}

#[test]
fn demand_at_one_host_gets_most_of_the_quota() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 400);
    let mut steps = 0;
    while bench.limits()[0] <= QUOTA / 2 {
        bench.run(1);
        steps += 1;
        assert!(steps <= SETTLING_STEPS, "{:?}", bench.limits());
    }
    println!("most of the quota after {:?}", STEP * steps as u32);
    assert_eq!(bench.limits(), [35, 5, 5, 5, 5, 5]);
    assert_eq!(bench.running(0), 35);
}

#[test]
fn equal_demands_get_equal_limits() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 300);
    bench.submit(3, TEAM, 300);
    bench.run(SETTLING_STEPS);
    assert_eq!(bench.limits(), [20, 5, 5, 20, 5, 5]);
}

#[test]
fn host_that_hears_nobody_keeps_an_equal_share() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 400);
    bench.run(SETTLING_STEPS);
    assert!(bench.limits()[0] > SHARE);
    bench.cut_off(0);
    bench.run(1);
    assert_eq!(bench.limits()[0], SHARE);
    bench.run(SETTLING_STEPS);
    assert_eq!(bench.limits()[0], SHARE);
    let sum: u32 = bench.limits().iter().sum();
    assert!(sum <= QUOTA + HOSTS as u32, "{:?}", bench.limits());
}

#[test]
fn larger_demand_after_a_freeze_is_not_claimed_at_once() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 1);
    bench.submit(3, TEAM, 100);
    bench.run(SETTLING_STEPS);
    assert_eq!(bench.limits(), [6, 5, 5, 35, 5, 5]);
    bench.freeze(Duration::from_secs(60));
    bench.submit(0, TEAM, 400);
    bench.run(4);
    assert_eq!(bench.limits()[0], 6);
}

#[test]
fn host_that_starts_while_cut_off_keeps_an_equal_share() {
    let settings = KernelSettings {
        configured_hosts: HOSTS,
        ..KernelSettings::default()
    };
    let identity = KernelIdentity {
        host: HostName::from("entry-1"),
        domain: DomainName::from("freising"),
        seed: 1,
    };
    let mut kernel = DispatchKernel::new(identity, settings);
    let configuration = configuration_of(&[(TEAM, QUOTA)]);
    kernel.handle(KernelEvent::Configured(configuration), START, &mut vec![]);
    assert_eq!(kernel.team_limit(&TeamName::from(TEAM)), Some(SHARE));
}

#[test]
fn host_without_news_of_demands_keeps_an_equal_share() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.mute = true;
    bench.submit(0, TEAM, 400);
    bench.run(SETTLING_STEPS);
    assert_eq!(bench.limits(), [SHARE; HOSTS]);
}

#[test]
fn limits_stay_within_the_stated_bound_while_views_lag() {
    let mut most = 0;
    let mut largest_limit = 0;
    for seed in 1..=20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = QuotaBench::new(QUOTA);
        for step in 0..400 {
            if rng.random_ratio(1, 8) {
                bench.submit(rng.random_range(0..HOSTS), TEAM, rng.random_range(1..300));
            }
            bench.lag_steps = rng.random_range(0..=quota_runs::MAX_LAG_STEPS);
            bench.lost_percent = if step % 100 < 50 { 5 } else { 60 };
            bench.end_some(&mut rng);
            bench.step(&mut rng);
            let sum = bench.limits().iter().sum();
            assert!(sum <= STATED_BOUND, "seed {seed}: {:?}", bench.limits());
            let bound = exact_bound(&bench.limits());
            assert!(sum <= bound, "seed {seed}: {:?}", bench.limits());
            most = most.max(sum);
            largest_limit = largest_limit.max(bench.limits()[0]);
        }
    }
    println!("largest sum {most} of quota {QUOTA}, largest limit {largest_limit}");
    assert!(largest_limit > 2 * SHARE, "demands never counted");
}

#[test]
fn team_at_its_limit_blocks_no_other_team() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 200);
    bench.submit(0, OTHER_TEAM, 5);
    bench.run(1);
    assert_eq!(bench.running(0), SHARE as usize + 5);
}

#[test]
fn smaller_quota_stops_new_starts_until_enough_tasks_end() {
    let mut bench = QuotaBench::new(QUOTA);
    bench.submit(0, TEAM, 200);
    bench.run(1);
    assert_eq!(bench.running(0), SHARE as usize);
    bench.configure(QUOTA / 2);
    for left in (SHARE / 2..SHARE).rev() {
        bench.end_one(0);
        assert_eq!(bench.running(0), left as usize);
    }
    bench.end_one(0);
    assert_eq!(bench.running(0), SHARE as usize / 2, "one ends, one starts");
}

fn record(host: &str, incarnation: u8) -> MemberRecord {
    MemberRecord {
        host: HostName::from(host),
        domain: DomainName::from("freising"),
        incarnation: IncarnationId::from_bits(u128::from(incarnation)),
        started: START,
        peer_address: ([10, 0, 0, incarnation], 7000).into(),
        state: MemberState::Alive,
        heartbeat: 1,
    }
}

fn demands_news(tasks: u32) -> HeartbeatNews {
    let team = TeamName::from(TEAM);
    HeartbeatNews {
        sender: record("entry-2", 2),
        members: Vec::new(),
        workers: Vec::new(),
        generation: 0,
        load: MemberLoad::default(),
        demands: vec![TeamDemand { team, tasks }],
    }
}

#[test]
fn newest_demand_of_a_member_counts_until_its_deadline() {
    let settings = MembershipSettings::default();
    let life = Duration::from_millis(settings.demand_life_ms);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut kernel = MembershipKernel::new(settings, record("entry-1", 1), &mut rng, START);
    kernel.on_news(&demands_news(7), START);
    let later = START.after(STEP);
    kernel.on_news(&demands_news(0), later);
    let heard = kernel.heard_demands(later);
    assert_eq!(heard.len(), 1);
    assert_eq!((heard[0].tasks, heard[0].heard_at), (0, later));
    assert_eq!(heard[0].until, later.after(life));
    assert_eq!(kernel.heard_demands(later.after(life)), []);
}
