//! Processors, memory and accelerators of workers and tasks.

use serde::Serialize;

/// Room that a task takes or a worker offers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TaskRoom {
    /// Accelerators.
    pub accelerators: u32,
    /// Processor share in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl TaskRoom {
    /// Tells whether the room lies inside `free`.
    #[must_use]
    pub const fn fits(self, free: Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Adds the room of another task.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Takes room away, at most all of it.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns how many tasks of this room fit into `free`.
    #[must_use]
    pub fn places_in(self, free: Self) -> u32 {
        let by_cpu = divide_room(free.cpu_milli, self.cpu_milli);
        let by_memory = divide_room(free.memory_mb, self.memory_mb);
        by_cpu
            .min(by_memory)
            .min(divide_room(free.accelerators, self.accelerators))
    }
}

fn divide_room(free: u32, taken: u32) -> u32 {
    free.checked_div(taken).unwrap_or(u32::MAX)
}
