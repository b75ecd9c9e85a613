//! The workloads of both users, scaled down to one machine.

use std::ops::RangeInclusive;

/// Workload of one task class.
#[derive(Clone, Debug)]
pub struct ClassWorkload {
    /// Task class, as named in the user's questionnaire.
    pub class: &'static str,
    /// Mean number of arrivals per second outside the evening peak.
    pub arrivals_per_second: f64,
    /// Number of jobs that arrive together.
    pub jobs_per_arrival: u32,
    /// Number of tasks per job.
    pub tasks: u32,
    /// Range of run times of a task in milliseconds.
    pub run_ms: RangeInclusive<u64>,
    /// Factor by which arrivals increase during the evening peak.
    pub peak_factor: f64,
}

impl Default for ClassWorkload {
    fn default() -> Self {
        Self {
            class: "",
            arrivals_per_second: 1.0,
            jobs_per_arrival: 1,
            tasks: 1,
            run_ms: 50..=150,
            peak_factor: 1.0,
        }
    }
}

/// A user and the workload of its team.
#[derive(Clone, Debug)]
pub struct UserWorkload {
    /// File name of the user's questionnaire, for error messages.
    pub answers_file: &'static str,
    /// Contents of the questionnaire file.
    pub answers: &'static str,
    /// Workload by class.
    pub classes: Vec<ClassWorkload>,
}

/// Returns the workload of the Landesamt's booking service.
pub fn landesamt() -> UserWorkload {
    UserWorkload {
        answers_file: "deployments/landesamt.answers.jsonc",
        answers: include_str!("../../../deployments/landesamt.answers.jsonc"),
        classes: vec![
            ClassWorkload {
                class: "holds",
                arrivals_per_second: 200.0,
                ..ClassWorkload::default()
            },
            ClassWorkload {
                class: "allocations",
                arrivals_per_second: 0.3,
                tasks: 100,
                run_ms: 200..=800,
                ..ClassWorkload::default()
            },
            ClassWorkload {
                class: "cancellations",
                arrivals_per_second: 0.2,
                jobs_per_arrival: 5,
                tasks: 40,
                run_ms: 20..=80,
                ..ClassWorkload::default()
            },
        ],
    }
}

/// Returns the workload of Jalakanda's token sales, which has an evening peak.
pub fn jalakanda() -> UserWorkload {
    const PEAK_FACTOR: f64 = 2.0;
    let top_ups = ClassWorkload {
        class: "top_ups",
        arrivals_per_second: 80.0,
        run_ms: 100..=200,
        peak_factor: PEAK_FACTOR,
        ..ClassWorkload::default()
    };
    let bundle_purchases = ClassWorkload {
        class: "bundle_purchases",
        arrivals_per_second: 30.0,
        run_ms: 100..=300,
        ..top_ups.clone()
    };
    let balance_checks = ClassWorkload {
        class: "balance_checks",
        arrivals_per_second: 150.0,
        run_ms: 20..=80,
        ..top_ups.clone()
    };
    UserWorkload {
        answers_file: "deployments/jalakanda.answers.jsonc",
        answers: include_str!("../../../deployments/jalakanda.answers.jsonc"),
        classes: vec![top_ups, bundle_purchases, balance_checks],
    }
}
