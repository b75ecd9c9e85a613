//! What the driver sees of a dispatcher.

use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::KernelEvent;
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::units::UnixTime;

use super::baseline::{BaselineDispatcher, BaselineRule};

/// A dispatcher on one host: the kernel or a baseline.
pub trait Dispatcher: std::fmt::Debug {
    /// Takes an event and appends the actions that follow.
    fn handle(&mut self, event: KernelEvent, now: UnixTime, actions: &mut Vec<KernelAction>);

    /// Returns the time of the next tick that it needs.
    fn next_wakeup(&self) -> Option<UnixTime>;

    /// Returns idle slots without and with an accelerator, for heartbeats.
    fn idle_slots(&self) -> (u32, u32);

    /// Returns violations of invariants that it found itself.
    fn violations(&self) -> u64;
}

impl Dispatcher for DispatchKernel {
    fn handle(&mut self, event: KernelEvent, now: UnixTime, actions: &mut Vec<KernelAction>) {
        Self::handle(self, event, now, actions);
    }

    fn next_wakeup(&self) -> Option<UnixTime> {
        Self::next_wakeup(self)
    }

    fn idle_slots(&self) -> (u32, u32) {
        let counts = self.right_counts();
        (counts.idle_plain, counts.idle_accelerated)
    }

    fn violations(&self) -> u64 {
        self.monitor().violations()
    }
}

/// Static description of a policy that a run can use.
#[derive(Clone, Copy, Debug)]
pub struct PolicyDescriptor {
    /// Name on the command line.
    pub name: &'static str,
    /// One sentence on what it does.
    pub summary: &'static str,
    /// Makes the dispatcher of one host.
    pub create: fn(KernelIdentity) -> Box<dyn Dispatcher>,
}

/// Policies that a run can use; the first is the product's default.
pub const POLICIES: &[PolicyDescriptor] = &[
    PolicyDescriptor {
        name: "fair",
        summary: "The kernel with the fair queue order.",
        create: |identity| Box::new(create_kernel(identity, "fair")),
    },
    PolicyDescriptor {
        name: "fifo",
        summary: "The kernel with the first-in-first-out queue order.",
        create: |identity| Box::new(create_kernel(identity, "fifo")),
    },
    PolicyDescriptor {
        name: "random",
        summary: "Each task goes to a random worker.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::Random)),
    },
    PolicyDescriptor {
        name: "round-robin",
        summary: "Tasks go around the workers.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::RoundRobin)),
    },
    PolicyDescriptor {
        name: "least-outstanding",
        summary: "Each task goes to the worker with fewest tasks of this host.",
        create: |identity| {
            let rule = BaselineRule::LeastOutstanding;
            Box::new(BaselineDispatcher::new(identity, rule))
        },
    },
    PolicyDescriptor {
        name: "two-choices",
        summary: "The less busy of two random workers, within static shares of the slots.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::TwoChoices)),
    },
];

fn create_kernel(identity: KernelIdentity, queue_order: &str) -> DispatchKernel {
    let settings = KernelSettings {
        queue_order: queue_order.to_owned(),
        ..KernelSettings::default()
    };
    DispatchKernel::new(identity, settings)
}

/// Finds a policy by its name.
#[must_use]
pub fn find_policy(name: &str) -> Option<&'static PolicyDescriptor> {
    POLICIES.iter().find(|policy| policy.name == name)
}
