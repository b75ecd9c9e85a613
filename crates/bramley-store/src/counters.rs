//! Counters of requests and transferred bytes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Cumulative counters of one client, shared between threads.
#[derive(Debug, Default)]
pub struct StoreCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// Values of all counters at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CountersSnapshot {
    /// Read requests sent, for keys and the worker list.
    pub reads: u64,
    /// Write requests sent.
    pub writes: u64,
    /// Watch requests sent.
    pub watches: u64,
    /// Requests without a valid response.
    pub failures: u64,
    /// Bytes sent in request paths and bodies.
    pub sent_bytes: u64,
    /// Bytes received in response bodies.
    pub received_bytes: u64,
}

/// Kind of a request, by which it is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// A read of a key or of the worker list.
    Read,
    /// A write of a key.
    Write,
    /// A long-polling read that waits for a change of a key.
    Watch,
}

impl StoreCounters {
    /// Returns the current values of all counters.
    #[must_use]
    pub fn snapshot(&self) -> CountersSnapshot {
        CountersSnapshot {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_request(&self, kind: RequestKind, bytes: usize) {
        let counter = match kind {
            RequestKind::Read => &self.reads,
            RequestKind::Write => &self.writes,
            RequestKind::Watch => &self.watches,
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
