//! Differences between two variants, paired by seed, with their intervals.

use std::fmt::Write;

use statrs::distribution::{ContinuousCDF, StudentsT};

use super::outcome::DayOutcome;

/// Probability with which an interval contains the true difference.
const CONFIDENCE: f64 = 0.95;

/// Mean of paired differences and half the width of its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairedDifference {
    /// Mean.
    pub mean: f64,
    /// Half the width of the 95 % interval.
    pub half_width: f64,
}

/// Computes the mean of differences with its interval by Student's distribution. Returns `None` for
/// fewer than two differences.
#[must_use]
pub fn paired_difference(differences: &[f64]) -> Option<PairedDifference> {
    let count = differences.len() as f64;
    if differences.len() < 2 {
        return None;
    }
    let mean = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences.iter().map(|value| (value - mean).powi(2)).sum();
    let error = (squares / (count - 1.0) / count).sqrt();
    let distribution = StudentsT::new(0.0, 1.0, count - 1.0).ok()?;
    let quantile = distribution.inverse_cdf(f64::midpoint(CONFIDENCE, 1.0));
    Some(PairedDifference {
        mean,
        half_width: quantile * error,
    })
}

/// Formats the differences of `changed` to `base`, by seed, as a table of shares in time by route and
/// of jobs not served.
#[must_use]
pub fn compare_days(base: &[DayOutcome], changed: &[DayOutcome]) -> String {
    let mut text = String::new();
    let pairs = || base.iter().zip(changed);
    let routes = base.first().map_or(0, |day| day.routes.len());
    for position in 0..routes {
        let differences: Vec<f64> = pairs()
            .map(|(base, changed)| {
                let share = |day: &DayOutcome| day.routes[position].1.in_time_share();
                share(changed) - share(base)
            })
            .collect();
        let name = &base[0].routes[position].0;
        write_difference(&mut text, &format!("{name} in time"), &differences);
    }
    let in_time: Vec<f64> = pairs()
        .map(|(base, changed)| changed.total().in_time_share() - base.total().in_time_share())
        .collect();
    write_difference(&mut text, "all in time", &in_time);
    let unserved: Vec<f64> = pairs()
        .map(|(base, changed)| changed.total().unserved_share() - base.total().unserved_share())
        .collect();
    write_difference(&mut text, "refused or failed", &unserved);
    text
}

fn write_difference(text: &mut String, name: &str, differences: &[f64]) {
    let line = match paired_difference(differences) {
        Some(PairedDifference { mean, half_width }) => {
            format!("{name:<28} {mean:>+8.4} +- {half_width:.4}")
        }
        None => format!("{name:<28} not enough seeds"),
    };
    writeln!(text, "{line}").expect("writing to a string should succeed");
}
