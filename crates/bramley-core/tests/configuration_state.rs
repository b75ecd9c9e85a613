//! Tests of how hosts adopt configurations, in randomised runs and for single offers.

use std::collections::BTreeMap;

use bramley_core::configuration::{
    ChangeRecord, ConfigurationEnvelope, ConfigurationState, DeploymentConfiguration, OfferOutcome,
};
use bramley_core::names::DomainName;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const HOST_COUNT: usize = 12;
const STEPS_PER_RUN: usize = 20_000;

fn envelope(generation: u64, operation: &str) -> String {
    let envelope = ConfigurationEnvelope {
        change: ChangeRecord {
            generation,
            operation_id: String::from(operation),
            author: String::from("test"),
            applied_unix_ms: 1,
        },
        earlier: Vec::new(),
        document: DeploymentConfiguration {
            deployment: String::from("test"),
            failure_domains: vec![DomainName::from("north")],
            ..DeploymentConfiguration::default()
        },
    };
    envelope.to_json()
}

/// Hosts that receive configurations from each other and from a store that may be rolled back.
struct ConfigurationRun {
    rng: ChaCha8Rng,
    hosts: Vec<ConfigurationState>,
    /// Successive envelopes of the store; the last one is current.
    store: Vec<String>,
    /// Last published generation, including those rolled back.
    last_generation: u64,
}

impl ConfigurationRun {
    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..2 => self.publish_change(),
            2 => self.roll_back_store(),
            3..30 => self.read_store(),
            30..35 => self.offer_invalid(),
            35 => self.replace_host(),
            _ => self.offer_from_peer(),
        }
    }

    fn publish_change(&mut self) {
        self.last_generation += 1;
        let text = envelope(
            self.last_generation,
            &format!("operation-{}", self.last_generation),
        );
        self.store.push(text);
    }

    fn roll_back_store(&mut self) {
        let kept = self.rng.random_range(1..=self.store.len());
        self.store.truncate(kept);
    }

    fn read_store(&mut self) {
        let text = self.store.last().expect("the store is never empty").clone();
        let host = self.rng.random_range(0..HOST_COUNT);
        self.offer(host, &text);
    }

    fn offer_invalid(&mut self) {
        let text = envelope(self.last_generation + 1, "damaged");
        let length = self.rng.random_range(0..text.len());
        let host = self.rng.random_range(0..HOST_COUNT);
        let outcome = self.hosts[host].offer(&text[..length]);
        assert!(matches!(outcome, OfferOutcome::Refused(_)));
        let invalid_name = text.replace("north", "Not a name");
        let outcome = self.hosts[host].offer(&invalid_name);
        assert!(matches!(outcome, OfferOutcome::Refused(_)));
    }

    fn replace_host(&mut self) {
        let host = self.rng.random_range(0..HOST_COUNT);
        self.hosts[host] = ConfigurationState::default();
    }

    fn offer_from_peer(&mut self) {
        let from = self.rng.random_range(0..HOST_COUNT);
        let to = self.rng.random_range(0..HOST_COUNT);
        let text = self.hosts[from]
            .in_force()
            .map(|version| version.text.to_string());
        if let Some(text) = text {
            self.offer(to, &text);
        }
    }

    fn offer(&mut self, host: usize, text: &str) {
        let state = &mut self.hosts[host];
        let before = state.generation();
        state.offer(text);
        assert!(
            state.generation() >= before,
            "the generation of a host decreased"
        );
    }

    /// Checks that all hosts with the same generation hold the same envelope.
    fn check(&self) {
        let mut digests = BTreeMap::new();
        for version in self.hosts.iter().filter_map(ConfigurationState::in_force) {
            let digest = *digests.entry(version.generation).or_insert(version.digest);
            assert_eq!(
                digest, version.digest,
                "hosts with the same generation hold different envelopes"
            );
        }
    }

    fn newest_generation(&self) -> u64 {
        let generations = self.hosts.iter().map(ConfigurationState::generation);
        generations.max().unwrap_or(0)
    }
}

#[test]
fn hosts_never_go_back_and_agree_by_generation() {
    for seed in 1..=20 {
        let mut run = ConfigurationRun {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: vec![ConfigurationState::default(); HOST_COUNT],
            store: Vec::new(),
            last_generation: 0,
        };
        run.publish_change();
        for _ in 0..STEPS_PER_RUN {
            run.step();
            run.check();
        }
        let newest_generation = run.newest_generation();
        for round in 0..HOST_COUNT {
            for host in 0..HOST_COUNT {
                let peer = (host + round) % HOST_COUNT;
                let text = run.hosts[peer]
                    .in_force()
                    .map(|version| version.text.to_string());
                run.offer(host, &text.unwrap_or_default());
            }
        }
        run.check();
        let lagging = run
            .hosts
            .iter()
            .filter(|host| host.generation() != newest_generation);
        assert_eq!(
            lagging.count(),
            0,
            "seed {seed}: a host did not adopt the newest generation"
        );
    }
}

#[test]
fn older_and_conflicting_offers_are_counted_and_not_obeyed() {
    let mut state = ConfigurationState::default();
    assert!(matches!(
        state.offer(&envelope(5, "a")),
        OfferOutcome::Adopted(_)
    ));
    assert_eq!(state.offer(&envelope(5, "a")), OfferOutcome::AlreadyInForce);
    let conflicting = OfferOutcome::Conflicting { generation: 5 };
    assert_eq!(state.offer(&envelope(5, "b")), conflicting);
    let older = OfferOutcome::Older {
        offered: 4,
        in_force: 5,
    };
    assert_eq!(state.offer(&envelope(4, "c")), older);
    assert!(matches!(
        state.offer(&envelope(u64::MAX, "d")),
        OfferOutcome::Refused(_)
    ));
    let counts = state.counts();
    assert_eq!((counts.adopted, counts.repeated, counts.refused), (1, 1, 1));
    assert_eq!((counts.conflicting, counts.older), (1, 1));
    assert_eq!(
        state.in_force().map(|version| &*version.operation_id),
        Some("a")
    );
}
