//! Values, revisions and leases of the key-value service.

use std::collections::HashMap;
use std::time::Duration;

use bramley_wire::platform::{KeyValue, PutReply, PutRequest};
use tokio::time::Instant;

/// One stored value.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    /// End of the lease; none for a value that is kept for ever.
    expires: Option<Instant>,
}

/// A copy of the whole store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    store: KeyValueStore,
}

impl StoreSnapshot {
    /// Copies a store.
    pub(super) fn of(store: &KeyValueStore) -> Self {
        Self {
            store: store.clone(),
        }
    }

    /// Returns the copied store.
    pub(super) fn into_store(self) -> KeyValueStore {
        self.store
    }
}

/// All values of the service.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyValueStore {
    values: HashMap<String, StoredValue>,
    /// Last revision given to any key. One counter serves all keys, so that a key that expired
    /// and was created again never repeats a revision.
    last_revision: u64,
}

impl KeyValueStore {
    /// Reads a key; an expired one is absent.
    pub(super) fn read(&self, key: &str, now: Instant) -> KeyValue {
        let Some(stored) = self.live_value(key, now) else {
            return KeyValue::default();
        };
        KeyValue {
            value: stored.value.clone(),
            revision: stored.revision,
        }
    }

    /// Returns the end of the lease of a present key.
    pub(super) fn expiry(&self, key: &str, now: Instant) -> Option<Instant> {
        self.live_value(key, now).and_then(|stored| stored.expires)
    }

    /// Writes a key if its revision is the expected one.
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
            expires: lease_end(request.lease_ms, now),
        };
        self.values.insert(key.to_owned(), stored);
        PutReply {
            applied: true,
            current: Some(self.read(key, now)),
        }
    }

    fn live_value(&self, key: &str, now: Instant) -> Option<&StoredValue> {
        let stored = self.values.get(key)?;
        match stored.expires {
            Some(expires) if expires <= now => None,
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
