//! CPU, memory and accelerator amounts of workers and tasks.

use serde::Serialize;

/// Resources that a task needs or a worker provides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TaskResources {
    /// Number of accelerators.
    pub accelerators: u32,
    /// CPU in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl TaskResources {
    /// Returns the larger amount of each resource.
    #[must_use]
    pub const fn at_least(self, other: Self) -> Self {
        self.saturating_sub(other).saturating_add(other)
    }

    /// Returns whether these resources fit into `free`.
    #[must_use]
    pub const fn fits_in(self, free: Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Adds `other`, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns how many tasks that need these resources fit into `free`.
    #[must_use]
    pub fn count_fitting(self, free: Self) -> u32 {
        let by_cpu = div_or_max(free.cpu_milli, self.cpu_milli);
        let by_memory = div_or_max(free.memory_mb, self.memory_mb);
        by_cpu
            .min(by_memory)
            .min(div_or_max(free.accelerators, self.accelerators))
    }
}

/// Divides, with a zero divisor standing for an unlimited number.
fn div_or_max(free: u32, taken: u32) -> u32 {
    free.checked_div(taken).unwrap_or(u32::MAX)
}
