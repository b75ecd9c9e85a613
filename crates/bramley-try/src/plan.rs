//! Generates the jobs of a run from a seed, before the run starts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::workload::ClassWorkload;

/// Fraction of the run at which the evening peak begins.
const PEAK_START: f64 = 0.3;

/// Fraction of the run at which the evening peak ends.
const PEAK_END: f64 = 0.8;

/// A generated job.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Intended send time, relative to the start of the run.
    pub send_offset: Duration,
    /// Index of the class in the user's workload.
    pub class: usize,
    /// Run times of the tasks in milliseconds.
    pub run_ms: Vec<u64>,
}

/// Generates the jobs of all classes, ordered by send time.
pub fn generate_jobs(classes: &[ClassWorkload], seconds: u32, seed: u64) -> Vec<PlannedJob> {
    let mut jobs = Vec::new();
    for (class, workload) in classes.iter().enumerate() {
        let class_seed = seed.wrapping_mul(1_000).wrapping_add(class as u64);
        let mut rng = StdRng::seed_from_u64(class_seed);
        generate_class_jobs(class, workload, f64::from(seconds), &mut rng, &mut jobs);
    }
    jobs.sort_by_key(|job| job.send_offset);
    jobs
}

fn generate_class_jobs(
    class: usize,
    workload: &ClassWorkload,
    seconds: f64,
    rng: &mut StdRng,
    jobs: &mut Vec<PlannedJob>,
) {
    let mut send_offset = 0.0;
    loop {
        let rate = workload.arrivals_per_second * peak_factor(workload, send_offset / seconds);
        // Poisson arrivals: inter-arrival times are exponentially distributed.
        send_offset += -(1.0 - rng.random::<f64>()).ln() / rate;
        if send_offset >= seconds {
            return;
        }
        for _ in 0..workload.jobs_per_arrival {
            let run_ms = (0..workload.tasks)
                .map(|_| rng.random_range(workload.run_ms.clone()))
                .collect();
            jobs.push(PlannedJob {
                send_offset: Duration::from_secs_f64(send_offset),
                class,
                run_ms,
            });
        }
    }
}

fn peak_factor(workload: &ClassWorkload, run_fraction: f64) -> f64 {
    if (PEAK_START..PEAK_END).contains(&run_fraction) {
        workload.peak_factor
    } else {
        1.0
    }
}
