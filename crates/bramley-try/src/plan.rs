//! The jobs of a run, drawn from a seed before the run begins.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::workload::ClassWork;

/// Part of the run at which the evening rush begins.
const RUSH_BEGIN: f64 = 0.3;

/// Part of the run at which the evening rush ends.
const RUSH_END: f64 = 0.8;

/// One job to send.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Time from the begin of the run to the sending.
    pub at: Duration,
    /// Position of the class in the user's work.
    pub class: usize,
    /// Run times of the tasks in milliseconds.
    pub run_ms: Vec<u64>,
}

/// Draws the jobs of all classes, in the order of their times.
pub fn draw_jobs(classes: &[ClassWork], seconds: u32, seed: u64) -> Vec<PlannedJob> {
    let mut jobs = Vec::new();
    for (class, work) in classes.iter().enumerate() {
        let class_seed = seed.wrapping_mul(1_000).wrapping_add(class as u64);
        let mut random = StdRng::seed_from_u64(class_seed);
        draw_class(class, work, f64::from(seconds), &mut random, &mut jobs);
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn draw_class(
    class: usize,
    work: &ClassWork,
    seconds: f64,
    random: &mut StdRng,
    jobs: &mut Vec<PlannedJob>,
) {
    let mut at = 0.0;
    loop {
        let rate = work.arrivals_per_second * rush_factor(work, at / seconds);
        // Gaps between independent arrivals are distributed exponentially.
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= seconds {
            return;
        }
        for _ in 0..work.jobs_at_once {
            let run_ms = (0..work.tasks)
                .map(|_| random.random_range(work.run_ms.clone()))
                .collect();
            jobs.push(PlannedJob {
                at: Duration::from_secs_f64(at),
                class,
                run_ms,
            });
        }
    }
}

fn rush_factor(work: &ClassWork, part: f64) -> f64 {
    if (RUSH_BEGIN..RUSH_END).contains(&part) {
        work.rush_factor
    } else {
        1.0
    }
}
