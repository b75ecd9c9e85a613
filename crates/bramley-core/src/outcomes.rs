//! Books of submissions: active jobs, kept answers and closed tickets.
//!
//! An outcome is kept until its ticket expires, and nothing is forgotten before. Memory is
//! bounded because new work is refused at the bound. A refused ticket costs one bit: it is closed
//! for good, so that a delayed copy of the refused submission can never start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::digest::BodyDigest;
use crate::job::{JobAnswer, JobRecord};
use crate::units::{TicketSerial, UnixTime};

/// Tickets whose closed marks share one block of the bitmap.
const TICKETS_PER_BLOCK: u64 = 4_096;

/// Words of 64 bits in a block of the bitmap.
const WORDS_PER_BLOCK: usize = (TICKETS_PER_BLOCK / 64) as usize;

/// One submission under a ticket.
#[derive(Debug)]
pub struct OutcomeEntry {
    /// Fingerprint that a resubmission must repeat.
    pub digest: BodyDigest,
    /// Time until which the entry is kept.
    pub expiry: UnixTime,
    /// Present state of the job.
    pub record: JobRecord,
}

/// Marks of refused tickets, one bit for each issued serial number.
#[derive(Debug, Default)]
struct ClosedMarks {
    blocks: BTreeMap<u64, ClosedBlock>,
}

#[derive(Debug)]
struct ClosedBlock {
    words: Box<[u64; WORDS_PER_BLOCK]>,
    latest_expiry: UnixTime,
}

impl ClosedMarks {
    fn close(&mut self, serial: TicketSerial, expiry: UnixTime) {
        let block = self
            .blocks
            .entry(serial.0 / TICKETS_PER_BLOCK)
            .or_insert_with(|| ClosedBlock {
                words: Box::new([0; WORDS_PER_BLOCK]),
                latest_expiry: expiry,
            });
        block.latest_expiry = block.latest_expiry.max(expiry);
        let (word, bit) = locate(serial);
        block.words[word] |= bit;
    }

    fn is_closed(&self, serial: TicketSerial) -> bool {
        let Some(block) = self.blocks.get(&(serial.0 / TICKETS_PER_BLOCK)) else {
            return false;
        };
        let (word, bit) = locate(serial);
        block.words[word] & bit != 0
    }

    fn forget_expired(&mut self, now: UnixTime) {
        self.blocks.retain(|_, block| block.latest_expiry >= now);
    }
}

const fn locate(serial: TicketSerial) -> (usize, u64) {
    let offset = serial.0 % TICKETS_PER_BLOCK;
    ((offset / 64) as usize, 1 << (offset % 64))
}

/// All submissions of one incarnation, by ticket serial.
#[derive(Debug, Default)]
pub struct OutcomeBook {
    entries: FxHashMap<TicketSerial, OutcomeEntry>,
    expiries: BTreeSet<(UnixTime, TicketSerial)>,
    closed: ClosedMarks,
    kept_bytes: usize,
}

impl OutcomeBook {
    /// Returns the entry of a ticket.
    #[must_use]
    pub fn get(&self, serial: TicketSerial) -> Option<&OutcomeEntry> {
        self.entries.get(&serial)
    }

    /// Returns the entry of a ticket for a change of its active job.
    pub fn get_mut(&mut self, serial: TicketSerial) -> Option<&mut OutcomeEntry> {
        self.entries.get_mut(&serial)
    }

    /// Enters an accepted job.
    pub fn insert(&mut self, serial: TicketSerial, entry: OutcomeEntry) {
        self.kept_bytes += entry.record.kept_bytes();
        self.expiries.insert((entry.expiry, serial));
        self.entries.insert(serial, entry);
    }

    /// Replaces an active job by its answer and returns the record that it replaces.
    pub fn answer(&mut self, serial: TicketSerial, answer: Arc<JobAnswer>) -> Option<JobRecord> {
        let entry = self.entries.get_mut(&serial)?;
        self.kept_bytes += answer.kept_bytes();
        let former = std::mem::replace(&mut entry.record, JobRecord::Answered(answer));
        self.kept_bytes -= former.kept_bytes();
        Some(former)
    }

    /// Closes a ticket whose submission was refused before any task started.
    pub fn close(&mut self, serial: TicketSerial, expiry: UnixTime) {
        self.closed.close(serial, expiry);
    }

    /// Tells whether a submission under the ticket was refused.
    #[must_use]
    pub fn is_closed(&self, serial: TicketSerial) -> bool {
        self.closed.is_closed(serial)
    }

    /// Forgets answered submissions whose tickets have expired.
    pub fn forget_expired(&mut self, now: UnixTime) {
        while let Some(&(expiry, serial)) = self.expiries.first() {
            if expiry >= now {
                break;
            }
            self.expiries.remove(&(expiry, serial));
            self.forget(serial);
        }
        self.closed.forget_expired(now);
    }

    fn forget(&mut self, serial: TicketSerial) {
        let Some(entry) = self.entries.remove(&serial) else {
            return;
        };
        self.kept_bytes -= entry.record.kept_bytes();
    }

    /// Forgets an answer before its time, which only a deliberate fault does.
    pub(crate) fn forget_answer(&mut self, serial: TicketSerial) {
        if let Some(OutcomeEntry {
            record: JobRecord::Answered(_),
            ..
        }) = self.entries.get(&serial)
        {
            self.forget(serial);
        }
    }

    /// Returns the number of submissions in the books.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the books hold no submission.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an estimate of the memory that active jobs and kept answers take, in bytes.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the serials of all active jobs in ascending order.
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

    /// Returns the first expiry that is still to come.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixTime> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }
}
