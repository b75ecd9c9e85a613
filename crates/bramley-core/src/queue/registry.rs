//! Registry of queue orders.

use std::collections::BTreeMap;

use super::JobOrder;

/// Static description of a queue order.
#[derive(Clone, Copy, Debug)]
pub struct OrderDescriptor {
    /// Name used in the settings.
    pub name: &'static str,
    /// One sentence on what the order favours.
    pub summary: &'static str,
    /// Makes an empty order.
    pub create: fn() -> Box<dyn JobOrder>,
}

/// Queue orders by name.
#[derive(Debug, Default)]
pub struct OrderRegistry {
    descriptors: BTreeMap<&'static str, OrderDescriptor>,
}

impl OrderRegistry {
    /// Enters a queue order; a later one of the same name replaces an earlier one.
    pub fn register(&mut self, descriptor: OrderDescriptor) {
        self.descriptors.insert(descriptor.name, descriptor);
    }

    /// Makes an empty order by its name.
    #[must_use]
    pub fn create(&self, name: &str) -> Option<Box<dyn JobOrder>> {
        self.descriptors
            .get(name)
            .map(|descriptor| (descriptor.create)())
    }

    /// Returns all descriptors by name.
    pub fn iter(&self) -> impl Iterator<Item = &OrderDescriptor> {
        self.descriptors.values()
    }
}

/// Enters every queue order of this crate.
pub fn register_enabled(registry: &mut OrderRegistry) {
    super::fair::register(registry);
    super::fifo::register(registry);
}
