//! Store of submissions: active jobs, retained answers and closed tickets.
//!
//! An outcome is retained until its ticket expires and never evicted earlier. Memory is bounded
//! because new work is refused at the limit. A refused ticket takes one bit: it is closed
//! permanently, so that a delayed duplicate of the refused submission can never start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::digest::ContentDigest;
use crate::job::{JobAnswer, JobRecord};
use crate::units::{TicketSerial, UnixTime};

/// Number of tickets in one block of the bitmap.
const TICKETS_PER_BLOCK: u64 = 4_096;

/// Number of 64-bit words in one block of the bitmap.
const WORDS_PER_BLOCK: usize = (TICKETS_PER_BLOCK / 64) as usize;

/// A submission under a ticket.
#[derive(Debug)]
pub struct OutcomeEntry {
    /// Digest that a resubmission must match.
    pub digest: ContentDigest,
    /// Time until which the entry is retained.
    pub expiry: UnixTime,
    /// Current state of the job.
    pub record: JobRecord,
}

/// Sparse bitmap of closed tickets, with one bit per issued serial number.
#[derive(Debug, Default)]
struct ClosedTicketBitmap {
    blocks: BTreeMap<u64, BitmapBlock>,
}

#[derive(Debug)]
struct BitmapBlock {
    words: Box<[u64; WORDS_PER_BLOCK]>,
    latest_expiry: UnixTime,
}

impl ClosedTicketBitmap {
    fn close(&mut self, serial: TicketSerial, expiry: UnixTime) {
        let block = self
            .blocks
            .entry(serial.0 / TICKETS_PER_BLOCK)
            .or_insert_with(|| BitmapBlock {
                words: Box::new([0; WORDS_PER_BLOCK]),
                latest_expiry: expiry,
            });
        block.latest_expiry = block.latest_expiry.max(expiry);
        let (word, bit) = bit_position(serial);
        block.words[word] |= bit;
    }

    fn is_closed(&self, serial: TicketSerial) -> bool {
        let Some(block) = self.blocks.get(&(serial.0 / TICKETS_PER_BLOCK)) else {
            return false;
        };
        let (word, bit) = bit_position(serial);
        block.words[word] & bit != 0
    }

    fn remove_expired(&mut self, now: UnixTime) {
        self.blocks.retain(|_, block| block.latest_expiry >= now);
    }
}

const fn bit_position(serial: TicketSerial) -> (usize, u64) {
    let offset = serial.0 % TICKETS_PER_BLOCK;
    ((offset / 64) as usize, 1 << (offset % 64))
}

/// All submissions of one incarnation, by ticket serial.
#[derive(Debug, Default)]
pub struct OutcomeStore {
    entries: FxHashMap<TicketSerial, OutcomeEntry>,
    expiries: BTreeSet<(UnixTime, TicketSerial)>,
    closed: ClosedTicketBitmap,
    kept_bytes: usize,
}

impl OutcomeStore {
    /// Returns the entry of a ticket.
    #[must_use]
    pub fn get(&self, serial: TicketSerial) -> Option<&OutcomeEntry> {
        self.entries.get(&serial)
    }

    /// Returns a mutable reference to the entry of a ticket.
    pub fn get_mut(&mut self, serial: TicketSerial) -> Option<&mut OutcomeEntry> {
        self.entries.get_mut(&serial)
    }

    /// Inserts an accepted job.
    pub fn insert(&mut self, serial: TicketSerial, entry: OutcomeEntry) {
        self.kept_bytes += entry.record.kept_bytes();
        self.expiries.insert((entry.expiry, serial));
        self.entries.insert(serial, entry);
    }

    /// Replaces an active job with its answer and returns the previous record.
    pub fn answer(&mut self, serial: TicketSerial, answer: Arc<JobAnswer>) -> Option<JobRecord> {
        let entry = self.entries.get_mut(&serial)?;
        self.kept_bytes += answer.kept_bytes();
        let previous = std::mem::replace(&mut entry.record, JobRecord::Answered(answer));
        self.kept_bytes -= previous.kept_bytes();
        Some(previous)
    }

    /// Closes a ticket whose submission was refused before any task started.
    pub fn close(&mut self, serial: TicketSerial, expiry: UnixTime) {
        self.closed.close(serial, expiry);
    }

    /// Returns whether the ticket was closed because its submission was refused.
    #[must_use]
    pub fn is_closed(&self, serial: TicketSerial) -> bool {
        self.closed.is_closed(serial)
    }

    /// Removes submissions whose tickets have expired, and closed marks that are no longer needed.
    pub fn remove_expired(&mut self, now: UnixTime) {
        while let Some(&(expiry, serial)) = self.expiries.first() {
            if expiry >= now {
                break;
            }
            self.expiries.remove(&(expiry, serial));
            self.remove(serial);
        }
        self.closed.remove_expired(now);
    }

    fn remove(&mut self, serial: TicketSerial) {
        let Some(entry) = self.entries.remove(&serial) else {
            return;
        };
        self.kept_bytes -= entry.record.kept_bytes();
    }

    /// Removes an answer before its ticket expires; only used by fault injection.
    pub(crate) fn remove_answer(&mut self, serial: TicketSerial) {
        if let Some(OutcomeEntry {
            record: JobRecord::Answered(_),
            ..
        }) = self.entries.get(&serial)
        {
            self.remove(serial);
        }
    }

    /// Returns the number of stored submissions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no submission is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated memory use of active jobs and retained answers, in bytes.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the ticket serials of all active jobs in ascending order.
    #[must_use]
    pub fn active_serials(&self) -> Vec<TicketSerial> {
        let mut serials: Vec<TicketSerial> = self
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry.record, JobRecord::Active(_)))
            .map(|(serial, _)| *serial)
            .collect();
        serials.sort_unstable();
        serials
    }

    /// Returns the earliest expiry of a stored submission.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixTime> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }
}
