//! Counts of what happened to connections, for logs and metrics.

use crate::admission::CloseCause;

/// Connections to one address at a moment, and counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IntakeReport {
    /// Open connections.
    pub open: usize,
    /// Bytes that they hold.
    pub held_bytes: usize,
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that were refused because no other could be closed.
    pub refused: u64,
    /// Connections that were closed, by cause in the order of [`CloseCause::ALL`].
    pub closed: [u64; CloseCause::ALL.len()],
}

impl IntakeReport {
    /// Returns the number of connections that were closed for a cause.
    #[must_use]
    pub const fn closed_for(&self, cause: CloseCause) -> u64 {
        self.closed[cause as usize]
    }

    /// Returns the number of connections that were closed or refused to keep the limits.
    #[must_use]
    pub const fn pressed(&self) -> u64 {
        self.closed_for(CloseCause::Connections)
            + self.closed_for(CloseCause::HeldBytes)
            + self.refused
    }
}
