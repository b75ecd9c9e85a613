//! Control traffic of one host among 100 hosts and 700 workers.

use std::time::Duration;

use bramley_core::membership::{MembershipSettings, TeamDemand};
use bramley_core::names::TeamName;

use crate::exchange::{Exchange, worker_name};
use crate::wire::encoded_size;

const DOMAINS: usize = 4;
const HOSTS: usize = 100;
const DOMAIN_WORKERS: usize = 175;
const SECONDS: u64 = 60;
const BOUND_BYTES_PER_SECOND: u64 = 8_192;

/// Runs for a minute and returns the largest mean rate of any host, in bytes sent and received
/// in a second.
fn measure(exchange: &mut Exchange, name: &str) -> u64 {
    let first = exchange.counts.host_bytes.clone();
    let mut worst_second = 0;
    for _ in 0..SECONDS {
        let before = exchange.counts.host_bytes.clone();
        exchange.run_for(Duration::from_secs(1));
        worst_second = worst_second.max(largest_rise(exchange, &before));
    }
    let worst_mean = largest_rise(exchange, &first) / SECONDS;
    println!("{name}: worst host mean={worst_mean} B/s, worst second={worst_second} B/s");
    worst_mean
}

fn largest_rise(exchange: &Exchange, before: &[u64]) -> u64 {
    let hosts = exchange.counts.host_bytes.iter().zip(before);
    hosts
        .map(|(after, before)| after - before)
        .max()
        .unwrap_or_default()
}

#[test]
fn control_traffic_of_100_hosts_stays_within_bound() {
    let mut exchange = Exchange::new(1, DOMAINS, HOSTS, MembershipSettings::default());
    exchange.measure = encoded_size;
    let demand = |team| TeamDemand {
        team: TeamName::new(format!("team-number-{team:03}")),
        tasks: 1_000,
    };
    for host in 0..HOSTS {
        exchange.drive(host, |kernel, _| {
            kernel.set_demands((0..380).map(demand).collect());
            Vec::new()
        });
    }
    exchange.run_for(Duration::from_secs(60));
    let quiet = measure(&mut exchange, "quiet");

    let workers: Vec<_> = (0..DOMAIN_WORKERS)
        .map(|index| worker_name(0, index))
        .collect();
    exchange.drive(0, |kernel, now| {
        kernel.on_worker_list(2, &[], &workers, now)
    });
    let wave = measure(&mut exchange, "175 workers of one domain leave");

    exchange.faults.cuts = [(0, 2), (0, 3), (1, 2), (1, 3)].into();
    let cut = measure(&mut exchange, "regions cut");
    exchange.faults.cuts.clear();
    let heal = measure(&mut exchange, "regions heal");
    for mean in [quiet, wave, cut, heal] {
        assert!(mean <= BOUND_BYTES_PER_SECOND);
    }
}
