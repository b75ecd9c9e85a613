//! What became of the jobs of a day.

use std::fmt::Write;

use serde::Serialize;

/// Numbers of jobs by what became of them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct JobCounts {
    /// Jobs that arrived.
    pub jobs: u32,
    /// Completed within the latency objective.
    pub in_time: u32,
    /// Completed within three times the objective.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Completed later, failed or not answered.
    pub failed: u32,
    /// Jobs of the largest tenth by work.
    pub large_jobs: u32,
    /// Of those, completed at all within three times the objective.
    pub large_served: u32,
}

impl JobCounts {
    /// Returns a number as a share of all jobs.
    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.jobs.max(1))
    }

    /// Returns the share of jobs in time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.share(self.in_time)
    }

    /// Returns the share of jobs that were refused or failed.
    #[must_use]
    pub fn unserved_share(&self) -> f64 {
        self.share(self.refused + self.failed)
    }

    fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.large_jobs += other.large_jobs;
        self.large_served += other.large_served;
    }
}

/// Outcome of one day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DayOutcome {
    /// Counts of each route with its name, in the order of the scenario.
    pub routes: Vec<(String, JobCounts)>,
    /// Tasks that pools have taken over from others.
    pub tasks_taken: u64,
    /// Requests of pools for tasks of others.
    pub steal_requests: u64,
}

impl DayOutcome {
    /// Returns the counts over all routes.
    #[must_use]
    pub fn total(&self) -> JobCounts {
        let mut total = JobCounts::default();
        for (_, counts) in &self.routes {
            total.add(counts);
        }
        total
    }

    /// Returns the sum over days of the same scenario.
    #[must_use]
    pub fn sum_of(days: &[Self]) -> Self {
        let mut sum = Self::default();
        for day in days {
            sum.add(day);
        }
        sum
    }

    /// Adds the counts of another day of the same scenario.
    fn add(&mut self, other: &Self) {
        if self.routes.is_empty() {
            self.routes.clone_from(&other.routes);
        } else {
            for ((_, counts), (_, more)) in self.routes.iter_mut().zip(&other.routes) {
                counts.add(more);
            }
        }
        self.tasks_taken += other.tasks_taken;
        self.steal_requests += other.steal_requests;
    }

    /// Formats the counts as a table.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>14}\n",
            "route", "jobs", "in time", "late", "refused", "failed", "largest served"
        );
        let total = (String::from("all"), self.total());
        for (name, counts) in self.routes.iter().chain([&total]) {
            let share = |count| counts.share(count);
            writeln!(
                text,
                "{name:<16} {:>8} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>14.3}",
                counts.jobs,
                share(counts.in_time),
                share(counts.late),
                share(counts.refused),
                share(counts.failed),
                f64::from(counts.large_served) / f64::from(counts.large_jobs.max(1)),
            )
            .expect("writing to a string should succeed");
        }
        text
    }
}
