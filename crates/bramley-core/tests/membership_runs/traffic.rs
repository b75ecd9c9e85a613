//! Control traffic of each host in a deployment of 100 hosts and 700 workers.

use std::time::Duration;

use bramley_core::membership::{MembershipSettings, TeamDemand};
use bramley_core::names::TeamName;

use crate::simulation::{Simulation, worker_name};
use crate::wire::encoded_size;

const DOMAINS: usize = 4;
const HOSTS: usize = 100;
const WORKERS_PER_DOMAIN: usize = 175;
const MEASUREMENT_SECONDS: u64 = 60;
const MAX_BYTES_PER_SECOND: u64 = 8_192;

/// Runs for a minute and returns the highest mean traffic of any host, sent and received, in bytes
/// per second.
fn measure_traffic(simulation: &mut Simulation, name: &str) -> u64 {
    let first = simulation.counts.host_bytes.clone();
    let mut worst_second = 0;
    for _ in 0..MEASUREMENT_SECONDS {
        let before = simulation.counts.host_bytes.clone();
        simulation.run_for(Duration::from_secs(1));
        worst_second = worst_second.max(max_increase(simulation, &before));
    }
    let worst_mean = max_increase(simulation, &first) / MEASUREMENT_SECONDS;
    println!("{name}: worst host mean={worst_mean} B/s, worst second={worst_second} B/s");
    worst_mean
}

/// Returns the largest increase in the traffic of any host.
fn max_increase(simulation: &Simulation, before: &[u64]) -> u64 {
    let hosts = simulation.counts.host_bytes.iter().zip(before);
    hosts
        .map(|(after, before)| after - before)
        .max()
        .unwrap_or_default()
}

#[test]
fn control_traffic_of_100_hosts_stays_within_bound() {
    let mut simulation = Simulation::new(1, DOMAINS, HOSTS, MembershipSettings::default());
    simulation.message_size = encoded_size;
    let demand = |team| TeamDemand {
        team: TeamName::new(format!("team-number-{team:03}")),
        tasks: 1_000,
    };
    for host in 0..HOSTS {
        simulation.drive(host, |kernel, _| {
            kernel.set_demands((0..380).map(demand).collect());
            Vec::new()
        });
    }
    simulation.run_for(Duration::from_secs(60));
    let quiet = measure_traffic(&mut simulation, "quiet");

    let workers: Vec<_> = (0..WORKERS_PER_DOMAIN)
        .map(|index| worker_name(0, index))
        .collect();
    simulation.drive(0, |kernel, now| {
        kernel.on_worker_list(2, &[], &workers, now)
    });
    let leave = measure_traffic(&mut simulation, "175 workers of one domain leave");

    simulation.faults.blocked_links = [(0, 2), (0, 3), (1, 2), (1, 3)].into();
    let partition = measure_traffic(&mut simulation, "regions cut");
    simulation.faults.blocked_links.clear();
    let heal = measure_traffic(&mut simulation, "regions heal");
    for mean in [quiet, leave, partition, heal] {
        assert!(mean <= MAX_BYTES_PER_SECOND);
    }
}
