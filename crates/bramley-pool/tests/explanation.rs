//! Explanations of where a submission would go now.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::explanation::{OfferEnding, OfferReason, PoolAnswer};
use bramley_pool::message::PoolLoad;
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::Relay;
use bramley_pool::settings::RelaySettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause after which no caller can have sent its job elsewhere before the end of its connection is read.
const SHORT_PAUSE: Duration = Duration::from_millis(350);

/// Compares explanations with what then happens, at loads from idle to overloaded. Guards against
/// an explanation that follows other rules than the pool, or changes its state.
#[test]
fn an_explanation_tells_what_then_happens() {
    let mut world = World::new(1, 4);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut admitted, mut refused, mut started) = (0, 0, 0);
    for number in 0..200 {
        let job = TestJob {
            name: format!("job-{number}"),
            tasks: rng.random_range(1..5),
            run: Duration::from_millis(rng.random_range(50..300)),
            ..TestJob::default()
        };
        let submission = world.submission(&job);
        let before = format!("{:?}", world.hosts[0].pool);
        let explanation = world.hosts[0].pool.explain(&submission, world.now);
        assert_eq!(before, format!("{:?}", world.hosts[0].pool));
        let first_line = world.log.len();
        world.submit_to_pool(0, &job);
        let lines = &world.log[first_line..];
        let of_job = |event: &str| {
            let start = format!("event={event} job={} ", job.name);
            lines.iter().filter(move |line| line.contains(&start))
        };
        match explanation.answer {
            PoolAnswer::Admitted(_) => {
                admitted += 1;
                assert_eq!(of_job("job_admitted").count(), 1, "{lines:#?}");
            }
            PoolAnswer::Refused(refusal) => {
                refused += 1;
                assert_eq!(refusal, Refusal::Overloaded);
                assert!(explanation.wait > Duration::ZERO);
                assert_eq!(of_job("job_refused").count(), 1, "{lines:#?}");
            }
        }
        let placed: Vec<&String> = of_job("task_placed").collect();
        assert_eq!(placed.len(), explanation.starts.len(), "{lines:#?}");
        for (line, start) in placed.iter().zip(&explanation.starts) {
            started += 1;
            let words = format!("task={} run=1 worker={} ", start.index, start.worker);
            assert!(line.contains(&words), "{line} {start:?}");
        }
        world.run_for(Duration::from_millis(rng.random_range(0..60)));
    }
    assert!(admitted > 20 && refused > 20 && started > 20);
}

/// Guards against an explanation that promises something while the pool cannot decide.
#[test]
fn a_pool_that_is_not_the_leader_refuses() {
    let world = World::new(1, 4);
    let submission = world.submission(&TestJob::default());
    let explanation = world.hosts[0].pool.explain(&submission, world.now);
    assert_eq!(explanation.answer, PoolAnswer::Refused(Refusal::NoPool));
}

fn relay_with_pools(free_cpu_milli: &[(&str, u64)], now: UnixTime) -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("domain-1"));
    for (domain, free_cpu_milli) in free_cpu_milli {
        let domain = DomainName::from(*domain);
        let connection = relay.pool_connected(&domain, Some(1), now);
        let load = PoolLoad {
            free_cpu_milli: *free_cpu_milli,
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
    }
    relay
}

/// Guards against offers in another order than the relay's, or left out.
#[test]
fn a_relay_explains_all_its_offers() {
    let world = World::new(1, 1);
    let submission = world.submission(&TestJob::default());
    let pools = [
        ("domain-1", 0),
        ("domain-2", 20_000),
        ("domain-3", 90_000),
        ("domain-4", 5_000),
    ];
    let relay = relay_with_pools(&pools, world.now);
    let before = format!("{relay:?}");
    let explanation = relay.explain(&submission, world.now);
    assert_eq!(before, format!("{relay:?}"));
    let offers: Vec<(&str, OfferReason)> = explanation
        .offers
        .iter()
        .map(|offer| (offer.domain.as_str(), offer.reason))
        .collect();
    let late_offers = offers
        .iter()
        .filter(|(_, reason)| *reason == OfferReason::Late)
        .count();
    let expected = [
        ("domain-1", OfferReason::Local),
        ("domain-3", OfferReason::FreeCpu),
        ("domain-2", OfferReason::FreeCpu),
    ];
    assert_eq!(offers[..3], expected);
    assert_eq!(late_offers, RelaySettings::default().max_late_offers);
    assert_eq!(offers.len(), 3 + late_offers);
    assert!(matches!(
        explanation.ending,
        OfferEnding::Refused {
            refusal: Refusal::Overloaded,
            ..
        }
    ));
    assert_eq!(explanation.pools.len(), pools.len());
}

/// Guards against an explanation that names a pool although the relay would ask none now.
#[test]
fn a_relay_without_pools_or_just_resumed_explains_that() {
    let world = World::new(1, 1);
    let submission = world.submission(&TestJob::default());
    let alone = relay_with_pools(&[], world.now).explain(&submission, world.now);
    assert!(alone.offers.is_empty());
    assert!(matches!(
        alone.ending,
        OfferEnding::Refused {
            refusal: Refusal::NoPool,
            ..
        }
    ));
    let mut paused_relay = relay_with_pools(&[("domain-1", 0)], world.now);
    paused_relay.process_resumed(SHORT_PAUSE, world.now);
    let held = paused_relay.explain(&submission, world.now);
    assert!(held.offers.is_empty());
    assert_eq!(held.ending, OfferEnding::Held);
}
