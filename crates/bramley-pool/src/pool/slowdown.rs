//! Slowdown of one route's runs by each route that runs beside them.
//!
//! The logarithm of a run's relative run time is modelled as a constant plus, for each route, the
//! slowdown by that route times the share of the run in which it ran beside. All slowdowns of a
//! route are estimated together, so that a run with several kinds of neighbours does not blame each
//! of them in full.
//!
//! A run that takes long for another reason meets more neighbours, or fewer, than a short one. The
//! shares within the first part of the run do not depend on its length, and serve as instruments
//! for the shares of the whole run.

use crate::exposure::RouteIndex;

/// Maximum number of routes of which a pool learns slowdowns; a deployment has three. Beyond it,
/// routes are not tracked.
pub(super) const MAX_ROUTES: usize = 12;

/// Number of unknowns: the constant and one slowdown for each route.
const UNKNOWNS: usize = MAX_ROUTES + 1;

/// Weight of the assumption that a route causes no slowdown, in observations.
const PRIOR_WEIGHT: f64 = 0.5;

/// Weight of the assumption that the constant is zero, in observations. It only keeps the equations
/// solvable.
const CONSTANT_PRIOR_WEIGHT: f64 = 0.01;

/// Smallest standard deviation that is assumed of the logarithm of run times, as the end of a run
/// is learned with a delay of a few milliseconds.
const MIN_DEVIATION: f64 = 0.03;

/// Smallest pivot with which the equations count as solvable.
const MIN_PIVOT: f64 = 1e-9;

type Vector = [f64; UNKNOWNS];
type Matrix = [Vector; UNKNOWNS];

/// Share of a run in which a route ran beside it, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteShare {
    /// The route.
    pub(super) route: RouteIndex,
    /// Share of the whole run.
    pub(super) total: f64,
    /// Share of the first part of the run.
    pub(super) early: f64,
}

/// Estimated slowdown, as the logarithm of the factor.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowdownEstimate {
    /// Mean.
    pub(super) mean: f64,
    /// Standard error of the mean.
    pub(super) error: f64,
    /// Decayed number of observations: jobs, weighted by the share in which the route ran beside.
    pub(super) observations: f64,
}

/// Estimates from the runs of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteSlowdowns {
    /// Logarithm of the relative run time without neighbours.
    pub(super) constant: f64,
    /// Slowdown by each route.
    pub(super) by_route: Vec<SlowdownEstimate>,
}

/// Decayed sums over the runs of one route, from which the slowdowns are estimated.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowdownStatistics {
    /// Sum of the products of instruments (rows) and shares (columns); the first of each is 1.
    cross: Matrix,
    /// Sum of the products of pairs of instruments.
    instruments: Matrix,
    /// Sum of the products of instruments and logarithmic ratios.
    ratios: Vector,
    squared_errors: f64,
    weight: f64,
}

impl SlowdownStatistics {
    /// Includes a run: the logarithm of its relative run time, and the part of it that the current
    /// estimate leaves unexplained.
    pub(super) fn observe(
        &mut self,
        log_ratio: f64,
        unexplained: f64,
        weight: f64,
        shares: &[RouteShare],
    ) {
        self.weight += weight;
        self.squared_errors += weight * unexplained * unexplained;
        self.cross[0][0] += weight;
        self.instruments[0][0] += weight;
        self.ratios[0] += weight * log_ratio;
        for row in shares {
            let position = usize::from(row.route.0) + 1;
            self.cross[0][position] += weight * row.total;
            self.cross[position][0] += weight * row.early;
            self.instruments[0][position] += weight * row.early;
            self.instruments[position][0] += weight * row.early;
            self.ratios[position] += weight * row.early * log_ratio;
            for column in shares {
                let other_position = usize::from(column.route.0) + 1;
                self.cross[position][other_position] += weight * row.early * column.total;
                self.instruments[position][other_position] += weight * row.early * column.early;
            }
        }
    }

    /// Multiplies the weight of all runs so far by `kept`.
    pub(super) fn decay(&mut self, kept: f64) {
        for row in self.cross.iter_mut().chain(&mut self.instruments) {
            for value in row {
                *value *= kept;
            }
        }
        for value in &mut self.ratios {
            *value *= kept;
        }
        self.squared_errors *= kept;
        self.weight *= kept;
    }

    /// Takes the logarithmic ratios of all runs so far relative to a level that is higher by
    /// `change`.
    pub(super) fn rebase(&mut self, change: f64) {
        for (ratio, row) in self.ratios.iter_mut().zip(&self.cross) {
            *ratio -= change * row[0];
        }
    }

    /// Estimates the constant and the slowdown by each of the first `routes` routes; `None` if too
    /// little is known.
    pub(super) fn estimate(&self, routes: usize) -> Option<RouteSlowdowns> {
        let unknowns = routes + 1;
        if self.weight < 1.0 {
            return None;
        }
        let mut equations = self.cross;
        let mut noise = self.instruments;
        for position in 0..unknowns {
            let prior_weight = if position == 0 {
                CONSTANT_PRIOR_WEIGHT
            } else {
                PRIOR_WEIGHT
            };
            equations[position][position] += prior_weight;
            noise[position][position] += prior_weight;
        }
        let inverse = invert(equations, unknowns)?;
        let variance = (self.squared_errors / self.weight).max(MIN_DEVIATION * MIN_DEVIATION);
        let mut constant = 0.0;
        let mut by_route = Vec::with_capacity(routes);
        let observations = self.cross[0].into_iter();
        for ((row, observations), position) in inverse.iter().zip(observations).zip(0..unknowns) {
            let mut mean = 0.0;
            let mut spread = 0.0;
            for left in 0..unknowns {
                mean += row[left] * self.ratios[left];
                for right in 0..unknowns {
                    spread += row[left] * noise[left][right] * row[right];
                }
            }
            if position == 0 {
                constant = mean;
                continue;
            }
            by_route.push(SlowdownEstimate {
                mean,
                error: (variance * spread.max(0.0)).sqrt(),
                observations,
            });
        }
        Some(RouteSlowdowns { constant, by_route })
    }
}

/// Inverts the upper left square of a matrix by Gauss-Jordan elimination with partial pivoting.
fn invert(mut matrix: Matrix, size: usize) -> Option<Matrix> {
    let mut inverse = Matrix::default();
    for (position, row) in inverse.iter_mut().enumerate().take(size) {
        row[position] = 1.0;
    }
    for column in 0..size {
        let mut pivot_row = column;
        for row in column + 1..size {
            if matrix[row][column].abs() > matrix[pivot_row][column].abs() {
                pivot_row = row;
            }
        }
        let pivot = matrix[pivot_row][column];
        if pivot.abs() < MIN_PIVOT {
            return None;
        }
        matrix.swap(column, pivot_row);
        inverse.swap(column, pivot_row);
        for position in 0..size {
            matrix[column][position] /= pivot;
            inverse[column][position] /= pivot;
        }
        for row in 0..size {
            let factor = matrix[row][column];
            if row == column || factor == 0.0 {
                continue;
            }
            for position in 0..size {
                matrix[row][position] -= factor * matrix[column][position];
                inverse[row][position] -= factor * inverse[column][position];
            }
        }
    }
    Some(inverse)
}
