//! Faults, injected two at a time.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use super::callers::TEAMS;
use super::messages::{IncarnationNumber, Message, Target};
use super::report::FaultKind;
use super::world::{HOST_DOMAINS, WORKER_DOMAINS, World};
use crate::support::configuration_of;

/// Faults that hold for a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPeriods {
    pub cut_until: UnixTime,
    pub lossy_until: UnixTime,
    pub silent_until: UnixTime,
    pub store_down_until: UnixTime,
    pub store_loses_until: UnixTime,
}

/// Kinds of faults that [`World::inject`] knows.
const INJECTORS: usize = 14;

impl World {
    /// Injects two different faults at once, now and then.
    pub fn on_inject(&mut self) {
        if self.settling {
            return;
        }
        let first = self.below(INJECTORS);
        let second = (first + 1 + self.below(INJECTORS - 1)) % INJECTORS;
        self.report.injected(FaultKind::TwoAtOnce);
        self.inject(first);
        self.inject(second);
        let pause = self.micros(100_000, 1_500_000);
        self.schedule(pause, Target::World, Message::Inject);
    }

    fn inject(&mut self, injector: usize) {
        let span = self.micros(200_000, 2_000_000);
        let until = self.now.after(span);
        let host = self.below(HOST_DOMAINS.len());
        let worker = self.below(WORKER_DOMAINS.len());
        match injector {
            0 => self.kill_host(host),
            1 => self.freeze_host(host, span * 2, false),
            2 => self.freeze_host(host, span * 2, true),
            3 => self.drain_host(host),
            4 => {
                self.report.injected(FaultKind::Cut);
                self.periods.cut_until = until;
            }
            5 | 6 => self.periods.lossy_until = until,
            7 => self.periods.silent_until = until,
            8 => {
                self.report.injected(FaultKind::StoreOutage);
                self.periods.store_down_until = until;
            }
            9 => self.periods.store_loses_until = until,
            10 => {
                self.report.injected(FaultKind::WorkerDeath);
                self.kill_worker(worker);
            }
            11 => {
                let node = &mut self.workers[worker];
                if span.as_micros().is_multiple_of(2) {
                    node.fails_all = true;
                    self.report.injected(FaultKind::WorkerFailsAll);
                } else {
                    node.frozen = true;
                    self.report.injected(FaultKind::WorkerFreeze);
                }
            }
            12 => {
                self.workers[worker].leaving = true;
                self.report.injected(FaultKind::WorkerLeaving);
                if let Some(incarnation) = self.current[host] {
                    let name = WorkerName::from(format!("worker-{worker}").as_str());
                    self.feed(incarnation, KernelEvent::WorkerLeaving(name));
                }
            }
            _ => self.reconfigure(),
        }
        if (10..=12).contains(&injector) {
            self.schedule(span, Target::World, Message::WorkerRestored(worker));
        }
    }

    /// Brings a configuration with other quotas into force on the hosts that run.
    fn reconfigure(&mut self) {
        self.report.injected(FaultKind::Reconfiguration);
        let quota = 1 + u32::try_from(self.below(12)).expect("small");
        let configuration = configuration_of(&[(TEAMS[0], 10 * quota), (TEAMS[1], quota)]);
        let numbers: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for number in numbers {
            if !self.hosts[&number].frozen {
                let configuration = Arc::clone(&configuration);
                self.feed(number, KernelEvent::Configured(configuration));
            }
        }
    }

    fn kill_host(&mut self, host: usize) {
        if let Some(incarnation) = self.current[host] {
            self.report.injected(FaultKind::Kill);
            self.remove_host(incarnation);
        }
    }

    /// Removes an incarnation; a fresh one starts at its address if it was the present one.
    pub fn remove_host(&mut self, incarnation: IncarnationNumber) {
        self.check_monitor(incarnation);
        let Some(node) = self.hosts.remove(&incarnation) else {
            return;
        };
        if self.current[node.host] == Some(incarnation) {
            self.current[node.host] = None;
            let pause = self.micros(10_000, 800_000);
            self.schedule(pause, Target::World, Message::Restart(node.host));
        }
    }

    /// Freezes a host, perhaps replacing it at its address before it wakes.
    fn freeze_host(&mut self, host: usize, span: Duration, replaced: bool) {
        let Some(incarnation) = self.current[host] else {
            return;
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        if node.frozen {
            return;
        }
        node.frozen = true;
        self.report.injected(FaultKind::Freeze);
        self.schedule(span, Target::Incarnation(incarnation), Message::Thaw);
        if replaced {
            self.report.injected(FaultKind::ReplacedWhileFrozen);
            self.current[host] = None;
            self.schedule(span / 4, Target::World, Message::Restart(host));
        }
    }

    /// Wakes a host, which then sees all that came while it was frozen.
    pub fn thaw(&mut self, incarnation: IncarnationNumber) {
        let now = self.now;
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        node.frozen = false;
        node.thawed = now;
        for message in std::mem::take(&mut node.inbox) {
            self.on_host_message(incarnation, message);
        }
        self.feed(incarnation, KernelEvent::Ticked);
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        if self.current[node.host] != Some(incarnation) && !node.draining {
            // The platform ends a process that it has replaced, some time later.
            node.draining = true;
            let target = Target::Incarnation(incarnation);
            self.schedule(Duration::from_secs(3), target, Message::StopDeadline);
        }
    }

    fn drain_host(&mut self, host: usize) {
        let Some(incarnation) = self.current[host] else {
            return;
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        if node.frozen || node.draining {
            return;
        }
        node.draining = true;
        self.report.injected(FaultKind::Drain);
        self.feed(incarnation, KernelEvent::DrainStarted);
        let span = self.micros(100_000, 3_500_000);
        let target = Target::Incarnation(incarnation);
        self.schedule(span, target, Message::StopDeadline);
    }

    /// Ends all faults, so that the run can settle.
    pub fn end_all_faults(&mut self) {
        self.periods = FaultPeriods::default();
        for worker in 0..WORKER_DOMAINS.len() {
            self.restore_worker(worker);
        }
    }
}
