//! Values, revisions and leases of the key-value store.

use std::collections::HashMap;
use std::time::Duration;

use bramley_wire::platform::{KeyValue, PutReply, PutRequest};
use tokio::time::Instant;

/// A stored value.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    /// End of the lease; `None` if the value does not expire.
    expires_at: Option<Instant>,
}

/// A snapshot of the whole store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    store: KeyValueStore,
}

impl StoreSnapshot {
    /// Takes a snapshot of a store.
    pub(super) fn of(store: &KeyValueStore) -> Self {
        Self {
            store: store.clone(),
        }
    }

    /// Returns the store of the snapshot.
    pub(super) fn into_store(self) -> KeyValueStore {
        self.store
    }
}

/// All keys and their values.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyValueStore {
    values: HashMap<String, StoredValue>,
    /// Last revision assigned to any key. All keys share one counter, so that a key that expires
    /// and is created again never reuses a revision.
    last_revision: u64,
}

impl KeyValueStore {
    /// Reads a key. An expired key is treated as absent.
    pub(super) fn read(&self, key: &str, now: Instant) -> KeyValue {
        let Some(stored) = self.unexpired_value(key, now) else {
            return KeyValue::default();
        };
        KeyValue {
            value: stored.value.clone(),
            revision: stored.revision,
        }
    }

    /// Returns the end of the lease of a key; `None` if the key is absent or does not expire.
    pub(super) fn expiry(&self, key: &str, now: Instant) -> Option<Instant> {
        self.unexpired_value(key, now)
            .and_then(|stored| stored.expires_at)
    }

    /// Writes a key if its current revision is the expected one; an absent key has revision 0.
    pub(super) fn write(&mut self, key: &str, request: PutRequest, now: Instant) -> PutReply {
        let current = self.read(key, now);
        if current.revision != request.expected_revision {
            return PutReply {
                applied: false,
                current: Some(current),
            };
        }
        self.last_revision += 1;
        let stored = StoredValue {
            value: request.value,
            revision: self.last_revision,
            expires_at: lease_end(request.lease_ms, now),
        };
        self.values.insert(key.to_owned(), stored);
        PutReply {
            applied: true,
            current: Some(self.read(key, now)),
        }
    }

    fn unexpired_value(&self, key: &str, now: Instant) -> Option<&StoredValue> {
        let stored = self.values.get(key)?;
        match stored.expires_at {
            Some(expires_at) if expires_at <= now => None,
            Some(_) | None => Some(stored),
        }
    }
}

fn lease_end(lease_ms: u64, now: Instant) -> Option<Instant> {
    match lease_ms {
        0 => None,
        _ => now.checked_add(Duration::from_millis(lease_ms)),
    }
}
