//! Evacuates failure domains and checks that no task starts there after the bound.

use std::time::Duration;

use bramley_fleet_stand_in::recorder::RunRecorder;
use bramley_fleet_stand_in::store::StoreStandIn;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;

use crate::deployment::EVACUATION_BOUND;

/// Probability that an evacuation begins in a step of the faults, which is about 0.8 s, so that a run
/// of 20 s has about two.
const BEGIN_PROBABILITY: f64 = 0.15;

/// Range of the length of an evacuation in milliseconds. Most reach the bound.
const LENGTH_MS: std::ops::Range<u64> = 3_000..9_000;

/// Time after a fault of the store, of its connections or of a host in which a leader may not have
/// learned of an evacuation: the timeout of a watch that lost its connection, and the read after it.
const NOTICE_TIME: Duration = Duration::from_millis(4_000);

/// A time span; `until` is `None` while it lasts.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Instant,
    until: Option<Instant>,
}

impl Span {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Evacuation of a failure domain.
#[derive(Clone, Debug)]
struct Evacuation {
    domain: usize,
    span: Span,
    ends_at: Instant,
}

/// Evacuates one failure domain at a time and records when leaders may not have learned of it.
#[derive(Debug)]
pub struct EvacuationInjector {
    /// A generator of its own leaves the faults of earlier seeds as they were.
    rng: ChaCha8Rng,
    domains: usize,
    evacuations: Vec<Evacuation>,
    /// Faults during which a leader may not learn of an evacuation.
    disturbances: Vec<Span>,
}

impl EvacuationInjector {
    /// Creates an injector whose evacuations are determined by `seed`.
    #[must_use]
    pub fn new(seed: u64, domains: usize) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(!seed),
            domains,
            evacuations: Vec::new(),
            disturbances: Vec::new(),
        }
    }

    /// Begins or ends an evacuation if it is due; returns a line for the fault log.
    pub fn step(&mut self, store: &StoreStandIn, now: Instant) -> Option<String> {
        if let Some(current) = self.evacuations.last()
            && current.span.until.is_none()
        {
            return (now >= current.ends_at)
                .then(|| self.end(store, now))
                .flatten();
        }
        if self.domains < 2 || !self.rng.random_bool(BEGIN_PROBABILITY) {
            return None;
        }
        let domain = self.rng.random_range(0..self.domains);
        let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
        store.put(&evacuation_key(domain), &json!({}));
        // The acknowledgement follows the write.
        let from = Instant::now();
        self.evacuations.push(Evacuation {
            domain,
            span: Span { from, until: None },
            ends_at: from + length,
        });
        Some(format!("evacuate domain={domain}"))
    }

    /// Ends the current evacuation, if there is one; returns a line for the fault log.
    pub fn end(&mut self, store: &StoreStandIn, now: Instant) -> Option<String> {
        let current = self.evacuations.last_mut()?;
        if current.span.until.is_some() {
            return None;
        }
        current.span.until = Some(now);
        store.remove(&evacuation_key(current.domain));
        Some(format!("take back domain={}", current.domain))
    }

    /// Records the beginning of a fault during which a leader may not learn of an evacuation.
    pub fn disturbance_began(&mut self, now: Instant) {
        self.disturbances.push(Span {
            from: now,
            until: None,
        });
    }

    /// Records the end of such a fault. Faults may overlap, so each one that lasts counts until the
    /// last one has ended.
    pub fn disturbance_ended(&mut self, are_all_over: bool, now: Instant) {
        if are_all_over {
            for span in self.disturbances.iter_mut() {
                span.until.get_or_insert(now);
            }
        }
    }

    /// Returns the number of evacuations.
    #[must_use]
    pub fn count(&self) -> usize {
        self.evacuations.len()
    }

    /// Returns a message for every run that was started in an evacuated domain after the bound,
    /// unless a leader may not have learned of the evacuation, and the number of runs that were
    /// excused in this way.
    #[must_use]
    pub fn find_barred_starts(&self, recorder: &RunRecorder) -> (Vec<String>, usize) {
        let mut found = Vec::new();
        let mut excused = 0;
        for run in recorder.entries() {
            let began = Instant::from_std(run.began);
            let barred_by = self.evacuations.iter().find(|evacuation| {
                let until = evacuation.span.until.unwrap_or(began);
                run.worker.starts_with(&format!("w-{}-", evacuation.domain))
                    && began > evacuation.span.from + EVACUATION_BOUND
                    && began <= until
            });
            let Some(evacuation) = barred_by else {
                continue;
            };
            let noticed_from = began - NOTICE_TIME;
            let is_excused = self
                .disturbances
                .iter()
                .any(|span| span.overlaps(noticed_from, began));
            if is_excused {
                excused += 1;
            } else {
                found.push(format!("started after the bound: {run:?} {evacuation:?}"));
            }
        }
        (found, excused)
    }
}

fn evacuation_key(domain: usize) -> String {
    format!("op/evacuate/domain-{domain}")
}
