//! What both users do, cut down to the size of one machine.

use std::ops::RangeInclusive;

/// Work of one class.
#[derive(Clone, Debug)]
pub struct ClassWork {
    /// Task class, as the user's questionnaire names it.
    pub class: &'static str,
    /// Mean number of arrivals in a second outside the rush.
    pub arrivals_per_second: f64,
    /// Jobs that arrive together.
    pub jobs_at_once: u32,
    /// Tasks of one job.
    pub tasks: u32,
    /// Run times of the tasks in milliseconds.
    pub run_ms: RangeInclusive<u64>,
    /// Factor on the arrivals during the evening rush.
    pub rush_factor: f64,
}

impl Default for ClassWork {
    fn default() -> Self {
        Self {
            class: "",
            arrivals_per_second: 1.0,
            jobs_at_once: 1,
            tasks: 1,
            run_ms: 50..=150,
            rush_factor: 1.0,
        }
    }
}

/// One user with the work of its team.
#[derive(Clone, Debug)]
pub struct UserWork {
    /// Name of the questionnaire that the user filled in, shown with faults.
    pub answers_file: &'static str,
    /// Answers of the user.
    pub answers: &'static str,
    /// Work by class.
    pub classes: Vec<ClassWork>,
}

/// Returns the booking service of the Landesamt.
pub fn landesamt() -> UserWork {
    UserWork {
        answers_file: "deployments/landesamt.answers.jsonc",
        answers: include_str!("../../../deployments/landesamt.answers.jsonc"),
        classes: vec![
            ClassWork {
                class: "holds",
                arrivals_per_second: 200.0,
                ..ClassWork::default()
            },
            ClassWork {
                class: "allocations",
                arrivals_per_second: 0.3,
                tasks: 100,
                run_ms: 200..=800,
                ..ClassWork::default()
            },
            ClassWork {
                class: "cancellations",
                arrivals_per_second: 0.2,
                jobs_at_once: 5,
                tasks: 40,
                run_ms: 20..=80,
                ..ClassWork::default()
            },
        ],
    }
}

/// Returns the token sales of Jalakanda with its evening rush.
pub fn jalakanda() -> UserWork {
    const RUSH_FACTOR: f64 = 2.0;
    let top_ups = ClassWork {
        class: "top_ups",
        arrivals_per_second: 80.0,
        run_ms: 100..=200,
        rush_factor: RUSH_FACTOR,
        ..ClassWork::default()
    };
    let bundle_purchases = ClassWork {
        class: "bundle_purchases",
        arrivals_per_second: 30.0,
        run_ms: 100..=300,
        ..top_ups.clone()
    };
    let balance_checks = ClassWork {
        class: "balance_checks",
        arrivals_per_second: 150.0,
        run_ms: 20..=80,
        ..top_ups.clone()
    };
    UserWork {
        answers_file: "deployments/jalakanda.answers.jsonc",
        answers: include_str!("../../../deployments/jalakanda.answers.jsonc"),
        classes: vec![top_ups, bundle_purchases, balance_checks],
    }
}
