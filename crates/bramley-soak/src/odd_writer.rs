//! Writes odd items among those of the workers and processes, as another program on the store might.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Probability that an item is written in a step of the faults, which is about 0.8 s.
const WRITE_PROBABILITY: f64 = 0.5;

/// Ends of keys that need escapes in a query or a log line.
const KEY_ENDS: [&str; 8] = [
    " a",
    "+a",
    "&after=servers/a",
    "#a",
    "%41",
    "\"a\"",
    "\na=b",
    "ü",
];

/// Largest depth of nested values.
const MAX_DEPTH: usize = 5_000;

/// Writes odd items at random moments.
#[derive(Debug)]
pub struct OddWriter {
    /// A generator of its own leaves the faults of earlier seeds as they were.
    rng: ChaCha8Rng,
}

impl OddWriter {
    /// Creates a writer whose items are determined by `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
        }
    }

    /// Writes an item if one is due; returns a line for the fault log.
    pub fn step(&mut self, deployment: &Deployment) -> Option<String> {
        if !self.rng.random_bool(WRITE_PROBABILITY) {
            return None;
        }
        let store = &deployment.store;
        let worker = self.rng.random_range(0..deployment.workers.len());
        let worker = &deployment.workers[worker];
        let (key, value) = match self.rng.random_range(0..5) {
            0 => {
                let items = self.rng.random_range(1..5);
                store.set_page_items(items);
                return Some(format!("pages of {items} items"));
            }
            1 => {
                let end = KEY_ENDS.choose(&mut self.rng).copied().unwrap_or_default();
                let start = ["servers/", "servers/z", "pools/", "op/evacuate/"];
                let start = start.choose(&mut self.rng).copied().unwrap_or_default();
                (format!("{start}{end}"), self.odd_bytes())
            }
            2 => (worker.worker.key(), self.odd_bytes()),
            3 => {
                let entry = worker.worker.entry(worker.address, "ready");
                (worker.worker.key(), self.odd_entry(entry).into_bytes())
            }
            _ => {
                let domain = self.rng.random_range(0..2);
                (format!("pools/domain-{domain}"), self.odd_bytes())
            }
        };
        let line = format!("odd item {key:?} of {} bytes", value.len());
        store.put_bytes(&key, value);
        Some(line)
    }

    fn odd_bytes(&mut self) -> Vec<u8> {
        match self.rng.random_range(0..5) {
            0 => Vec::new(),
            1 => (0..self.rng.random_range(1..200))
                .map(|_| self.rng.random())
                .collect(),
            2 => "[".repeat(self.rng.random_range(1..MAX_DEPTH)).into_bytes(),
            3 => b"{\"service\":1e400}".to_vec(),
            _ => vec![b'a'; self.rng.random_range(1..1_000_000)],
        }
    }

    /// Returns an entry with one odd field.
    fn odd_entry(&mut self, mut entry: Value) -> String {
        let fields = [
            ("address", json!("127.0.0.1:99999")),
            ("address", json!(["127.0.0.1:80"])),
            ("born", json!(u64::MAX)),
            ("born", json!(-1)),
            ("capacity", json!({"cpu": 1e20, "mem_mb": 1})),
            ("state", json!("odd\nstate")),
            ("zone", json!("domain-9")),
            ("labels", json!(vec!["label"; 20_000])),
        ];
        if let Some((field, value)) = fields.choose(&mut self.rng) {
            entry[*field] = value.clone();
        }
        entry.to_string()
    }
}
