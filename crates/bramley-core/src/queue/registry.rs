//! Registry of queue policies.

use std::collections::BTreeMap;

use super::QueuePolicy;

/// Static description of a queue policy.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicyDescriptor {
    /// Name used in the settings.
    pub name: &'static str,
    /// One-sentence summary of what the policy favours.
    pub summary: &'static str,
    /// Creates an empty queue with this policy.
    pub create: fn() -> Box<dyn QueuePolicy>,
}

/// Queue policies by name.
#[derive(Debug, Default)]
pub struct QueuePolicyRegistry {
    descriptors: BTreeMap<&'static str, QueuePolicyDescriptor>,
}

impl QueuePolicyRegistry {
    /// Registers a queue policy, replacing any policy of the same name.
    pub fn register(&mut self, descriptor: QueuePolicyDescriptor) {
        self.descriptors.insert(descriptor.name, descriptor);
    }

    /// Creates an empty queue with the named policy, or returns `None` if the name is unknown.
    #[must_use]
    pub fn create(&self, name: &str) -> Option<Box<dyn QueuePolicy>> {
        self.descriptors
            .get(name)
            .map(|descriptor| (descriptor.create)())
    }

    /// Returns all descriptors, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &QueuePolicyDescriptor> {
        self.descriptors.values()
    }
}

/// Registers every queue policy of this crate.
pub fn register_enabled(registry: &mut QueuePolicyRegistry) {
    super::fair::register(registry);
    super::fifo::register(registry);
}
