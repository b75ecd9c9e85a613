//! Distribution of jobs over pools in proportion to their free CPU.

use std::collections::BTreeMap;

use bramley_core::names::DomainName;

/// Distributes jobs over pools by a smooth weighted round robin. It needs no random numbers, and
/// between two load reports it does not send all jobs to the pool that reported the most free CPU.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolRotation {
    /// Jobs that each pool is due less those that it got, in parts of a job.
    credits: BTreeMap<DomainName, f64>,
}

impl PoolRotation {
    /// Returns the pool for the next job, given the free CPU of the eligible pools in thousandths
    /// of a core. If none has any, all count the same.
    pub(crate) fn choose(&mut self, pools: &[(DomainName, u64)]) -> Option<DomainName> {
        let total: u64 = pools.iter().map(|(_, free_cpu_milli)| free_cpu_milli).sum();
        let mut best: Option<(f64, &DomainName)> = None;
        for (domain, free_cpu_milli) in pools {
            let share = if total == 0 {
                1.0 / pools.len() as f64
            } else {
                *free_cpu_milli as f64 / total as f64
            };
            let credit = self.credits.entry(domain.clone()).or_default();
            *credit += share;
            if share > 0.0 && best.is_none_or(|(highest, _)| *credit > highest) {
                best = Some((*credit, domain));
            }
        }
        let (_, domain) = best?;
        *self.credits.entry(domain.clone()).or_default() -= 1.0;
        Some(domain.clone())
    }
}
