//! Workers of different speed and tasks that take far longer than declared.

mod world;

use world::burst::{BurstKind, count_answers, submit_burst, uneven_domain};

#[test]
#[ignore = "prints the figures of several loads, to compare two commits"]
fn figures() {
    let cases = [
        ("one speed, mean load", BurstKind::default()),
        (
            "one speed, 1.5x",
            BurstKind {
                jobs_per_s: 421.5,
                ..BurstKind::default()
            },
        ),
        (
            "one speed, 2x",
            BurstKind {
                jobs_per_s: 562.0,
                ..BurstKind::default()
            },
        ),
        (
            "40 % at 1/3, 1x",
            BurstKind {
                factors: vec![1.0, 3.0, 1.0, 3.0, 1.0],
                ..BurstKind::default()
            },
        ),
        (
            "40 % at 1/3, 1.5x",
            BurstKind {
                jobs_per_s: 421.5,
                factors: vec![1.0, 3.0, 1.0, 3.0, 1.0],
                ..BurstKind::default()
            },
        ),
        (
            "0.7 0.7 1.7",
            BurstKind {
                factors: vec![1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7],
                ..BurstKind::default()
            },
        ),
        (
            "0.7 0.7 1.7, 3 % long",
            BurstKind {
                factors: vec![1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7],
                long_share: 0.03,
                ..BurstKind::default()
            },
        ),
        (
            "0.7 0.7 1.7, 3 % long, 1.5x",
            BurstKind {
                jobs_per_s: 421.5,
                factors: vec![1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7],
                long_share: 0.03,
                ..BurstKind::default()
            },
        ),
        (
            "one speed, 3 % long",
            BurstKind {
                long_share: 0.03,
                ..BurstKind::default()
            },
        ),
        (
            "0.8 1.0 1.25, 1.25x",
            BurstKind {
                jobs_per_s: 351.0,
                factors: vec![1.25, 1.0, 0.8],
                ..BurstKind::default()
            },
        ),
    ];
    std::thread::scope(|scope| {
        for chunk in [0, 1, 2] {
            let cases = &cases;
            scope.spawn(move || {
                for (name, kind) in cases.iter().skip(chunk).step_by(3) {
                    for seed in [7, 8] {
                        let kind = BurstKind { seed, ..kind.clone() };
                        let mut world = uneven_domain(&kind);
                        let jobs = submit_burst(&mut world, &kind);
                        let counts = world.hosts[0].pool.counts();
                        let all = count_answers(&world, &jobs, "");
                        let routes: Vec<String> = ["holds", "releases", "allocations"]
                            .iter()
                            .map(|route| {
                                let result = count_answers(&world, &jobs, route);
                                format!("{route} {:.3} (late {} refused {} of {})", result.share_in_time(), result.late, result.refused, result.jobs)
                            })
                            .collect();
                        let suspended = world.log.iter().filter(|line| line.contains("belief=suspended")).count();
                        let stalled = world.log.iter().filter(|line| line.contains("reason=stalled")).count();
                        println!("{name} seed {seed}: {:.3} late {} refused {} | {} | stalled {stalled} suspended {suspended} starts {} scored {}",
                            all.share_in_time(), all.late, all.refused, routes.join(", "), counts.starts, counts.workers_scored);
                        if let Ok(path) = std::env::var("BURST_LOG") {
                            std::fs::write(format!("{path}-{}-{seed}", name.replace([' ', '/', ',', '%'], "_")), world.log.join("\n")).unwrap();
                        }
                    }
                }
            });
        }
    });
}
