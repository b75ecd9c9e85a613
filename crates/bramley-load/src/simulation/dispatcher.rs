//! Interface between the simulation and a dispatcher.

use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::KernelEvent;
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::units::UnixTime;

use super::baseline::{BaselineDispatcher, BaselineRule};

/// The dispatcher of one host: the kernel or a baseline.
pub trait Dispatcher: std::fmt::Debug {
    /// Handles an event and appends the resulting actions.
    fn handle(&mut self, event: KernelEvent, now: UnixTime, actions: &mut Vec<KernelAction>);

    /// Returns the time of the next tick that the dispatcher needs.
    fn next_wakeup(&self) -> Option<UnixTime>;

    /// Returns the numbers of idle slots without and with an accelerator, as sent in heartbeats.
    fn idle_slots(&self) -> (u32, u32);

    /// Returns the number of invariant violations that the dispatcher itself detected.
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
        let counts = self.slot_counts();
        (counts.idle_plain, counts.idle_accelerated)
    }

    fn violations(&self) -> u64 {
        self.monitor().violations()
    }
}

/// A dispatch policy that a simulation can use.
#[derive(Clone, Copy, Debug)]
pub struct PolicyDescriptor {
    /// Name on the command line.
    pub name: &'static str,
    /// One-sentence description.
    pub summary: &'static str,
    /// Creates the dispatcher of one host.
    pub create: fn(KernelIdentity) -> Box<dyn Dispatcher>,
}

/// Available policies; the first is the product's default.
pub const POLICIES: &[PolicyDescriptor] = &[
    PolicyDescriptor {
        name: "fair",
        summary: "Kernel with the fair queue order.",
        create: |identity| Box::new(create_kernel(identity, "fair")),
    },
    PolicyDescriptor {
        name: "fifo",
        summary: "Kernel with the first-in-first-out queue order.",
        create: |identity| Box::new(create_kernel(identity, "fifo")),
    },
    PolicyDescriptor {
        name: "random",
        summary: "Sends each task to a random worker.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::Random)),
    },
    PolicyDescriptor {
        name: "round-robin",
        summary: "Sends tasks to the workers in turn.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::RoundRobin)),
    },
    PolicyDescriptor {
        name: "least-outstanding",
        summary: "Sends each task to the worker with the fewest outstanding tasks of this host.",
        create: |identity| {
            let rule = BaselineRule::LeastOutstanding;
            Box::new(BaselineDispatcher::new(identity, rule))
        },
    },
    PolicyDescriptor {
        name: "two-choices",
        summary: "Sends each task to the less loaded of two random workers, within static shares of slots.",
        create: |identity| Box::new(BaselineDispatcher::new(identity, BaselineRule::TwoChoices)),
    },
];

fn create_kernel(identity: KernelIdentity, queue_policy: &str) -> DispatchKernel {
    let settings = KernelSettings {
        queue_policy: queue_policy.to_owned(),
        ..KernelSettings::default()
    };
    DispatchKernel::new(identity, settings)
}

/// Finds a policy by its name.
#[must_use]
pub fn find_policy(name: &str) -> Option<&'static PolicyDescriptor> {
    POLICIES.iter().find(|policy| policy.name == name)
}
