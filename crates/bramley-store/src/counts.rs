//! Counts of the calls to the platform and of their bytes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Running counts of one client, shared between threads.
#[derive(Debug, Default)]
pub struct StoreCounts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CountsSnapshot {
    /// Reads sent, of keys and of the worker list.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Watches sent.
    pub watches: u64,
    /// Calls that gave no usable answer.
    pub failures: u64,
    /// Bytes of bodies and paths sent.
    pub sent_bytes: u64,
    /// Bytes of bodies received.
    pub received_bytes: u64,
}

/// Kind of a call, for counting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// A read of a key or of the worker list.
    Read,
    /// A write of a key.
    Write,
    /// A read that waits for a change.
    Watch,
}

impl StoreCounts {
    /// Returns the counts at this moment.
    #[must_use]
    pub fn snapshot(&self) -> CountsSnapshot {
        CountsSnapshot {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_call(&self, kind: CallKind, bytes: usize) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }
}
