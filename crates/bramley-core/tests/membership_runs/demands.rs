//! How many of the team demands of the others a host counts at any time.

use std::time::Duration;

use bramley_core::membership::{MembershipSettings, TeamDemand};
use bramley_core::names::TeamName;

use crate::exchange::Exchange;
use crate::traffic::BOUND_BYTES_PER_SECOND;
use crate::wire::encoded_size;

const DOMAINS: usize = 3;
const HOSTS: usize = 6;
const SAMPLES: usize = 60;

/// Returns the part of all demands of other hosts that count, in percent, as the mean of a minute.
fn counting_percent(teams: usize) -> usize {
    let mut exchange = Exchange::new(1, DOMAINS, HOSTS, MembershipSettings::default());
    let mut demands = Vec::new();
    for team in 0..teams {
        demands.push(TeamDemand {
            team: TeamName::new(format!("team-number-{team:03}")),
            tasks: 1_000,
        });
    }
    for host in 0..HOSTS {
        let demands = demands.clone();
        exchange.drive(host, |kernel, _| {
            kernel.set_demands(demands);
            Vec::new()
        });
    }
    exchange.measure = encoded_size;
    exchange.run_for(Duration::from_secs(60));
    let first = exchange.counts.host_bytes.clone();
    let mut counting = 0;
    for _ in 0..SAMPLES {
        exchange.run_for(Duration::from_secs(1));
        for host in 0..HOSTS {
            exchange.drive(host, |kernel, now| {
                counting += kernel.heard_demands(now).len();
                Vec::new()
            });
        }
    }
    let rates = exchange.counts.host_bytes.iter().zip(&first);
    let worst = rates
        .map(|(after, before)| (after - before) / SAMPLES as u64)
        .max();
    assert!(worst <= Some(BOUND_BYTES_PER_SECOND), "{worst:?}");
    println!("teams={teams} worst host mean={worst:?} B/s");
    100 * counting / (SAMPLES * HOSTS * (HOSTS - 1) * teams)
}

#[test]
fn demands_of_some_teams_are_known_everywhere() {
    for teams in [4, 12, 16, 24, 32, 64, 380] {
        println!("teams={teams} counting={} %", counting_percent(teams));
    }
    assert_eq!(counting_percent(12), 100);
}
