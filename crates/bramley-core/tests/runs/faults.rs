//! Fault injection, two faults at a time.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use super::callers::TEAMS;
use super::messages::{IncarnationNumber, Message, Target};
use super::report::FaultKind;
use super::simulation::{HOST_DOMAINS, Simulation, WORKER_DOMAINS};
use crate::support::configuration_with_quotas;

/// End times of faults that last for a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPeriods {
    pub partition_until: UnixTime,
    pub lossy_until: UnixTime,
    pub silent_until: UnixTime,
    pub store_down_until: UnixTime,
    pub store_lossy_until: UnixTime,
}

/// Number of faults that [`Simulation::inject_fault`] can inject.
const INJECTOR_COUNT: usize = 14;

impl Simulation {
    /// Injects two different faults at once and schedules the next injection.
    pub fn inject_faults(&mut self) {
        if self.settling {
            return;
        }
        let first = self.random_below(INJECTOR_COUNT);
        let second = (first + 1 + self.random_below(INJECTOR_COUNT - 1)) % INJECTOR_COUNT;
        self.report.record_fault(FaultKind::TwoAtOnce);
        self.inject_fault(first);
        self.inject_fault(second);
        let delay = self.random_micros(100_000, 1_500_000);
        self.schedule(delay, Target::Simulation, Message::InjectFaults);
    }

    fn inject_fault(&mut self, injector: usize) {
        let duration = self.random_micros(200_000, 2_000_000);
        let until = self.now.after(duration);
        let host = self.random_below(HOST_DOMAINS.len());
        let worker = self.random_below(WORKER_DOMAINS.len());
        match injector {
            0 => self.kill_host(host),
            1 => self.freeze_host(host, duration * 2, false),
            2 => self.freeze_host(host, duration * 2, true),
            3 => self.drain_host(host),
            4 => {
                self.report.record_fault(FaultKind::Cut);
                self.fault_periods.partition_until = until;
            }
            5 | 6 => self.fault_periods.lossy_until = until,
            7 => self.fault_periods.silent_until = until,
            8 => {
                self.report.record_fault(FaultKind::StoreOutage);
                self.fault_periods.store_down_until = until;
            }
            9 => self.fault_periods.store_lossy_until = until,
            10 => {
                self.report.record_fault(FaultKind::WorkerDeath);
                self.kill_worker(worker);
            }
            11 => {
                let node = &mut self.workers[worker];
                if duration.as_micros().is_multiple_of(2) {
                    node.fails_all = true;
                    self.report.record_fault(FaultKind::WorkerFailsAll);
                } else {
                    node.frozen = true;
                    self.report.record_fault(FaultKind::WorkerFreeze);
                }
            }
            12 => {
                self.workers[worker].leaving = true;
                self.report.record_fault(FaultKind::WorkerLeaving);
                if let Some(incarnation) = self.current[host] {
                    let name = WorkerName::from(format!("worker-{worker}").as_str());
                    self.handle_event(incarnation, KernelEvent::WorkerLeaving(name));
                }
            }
            _ => self.reconfigure(),
        }
        if (10..=12).contains(&injector) {
            self.schedule(
                duration,
                Target::Simulation,
                Message::WorkerRestored(worker),
            );
        }
    }

    /// Applies a configuration with random quotas on all hosts that are not frozen.
    fn reconfigure(&mut self) {
        self.report.record_fault(FaultKind::Reconfiguration);
        let quota = 1 + u32::try_from(self.random_below(12)).expect("small");
        let configuration = configuration_with_quotas(&[(TEAMS[0], 10 * quota), (TEAMS[1], quota)]);
        let incarnations: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for incarnation in incarnations {
            if !self.hosts[&incarnation].frozen {
                let configuration = Arc::clone(&configuration);
                self.handle_event(
                    incarnation,
                    KernelEvent::ConfigurationChanged(configuration),
                );
            }
        }
    }

    fn kill_host(&mut self, host: usize) {
        if let Some(incarnation) = self.current[host] {
            self.report.record_fault(FaultKind::Kill);
            self.remove_host(incarnation);
        }
    }

    /// Removes an incarnation. If it was the current one at its address, a new one starts there.
    pub fn remove_host(&mut self, incarnation: IncarnationNumber) {
        self.check_monitor(incarnation);
        let Some(node) = self.hosts.remove(&incarnation) else {
            return;
        };
        if self.current[node.host] == Some(incarnation) {
            self.current[node.host] = None;
            let delay = self.random_micros(10_000, 800_000);
            self.schedule(delay, Target::Simulation, Message::Restart(node.host));
        }
    }

    /// Freezes a host; if `replaced`, a new incarnation starts at its address before it thaws.
    fn freeze_host(&mut self, host: usize, duration: Duration, replaced: bool) {
        let Some(incarnation) = self.current[host] else {
            return;
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        if node.frozen {
            return;
        }
        node.frozen = true;
        self.report.record_fault(FaultKind::Freeze);
        self.schedule(duration, Target::Incarnation(incarnation), Message::Thaw);
        if replaced {
            self.report.record_fault(FaultKind::ReplacedWhileFrozen);
            self.current[host] = None;
            self.schedule(duration / 4, Target::Simulation, Message::Restart(host));
        }
    }

    /// Thaws a host, which then processes all messages received while it was frozen.
    pub fn thaw(&mut self, incarnation: IncarnationNumber) {
        let now = self.now;
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        node.frozen = false;
        node.thawed_at = now;
        for message in std::mem::take(&mut node.queued_messages) {
            self.on_host_message(incarnation, message);
        }
        self.handle_event(incarnation, KernelEvent::Tick);
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        if self.current[node.host] != Some(incarnation) && !node.draining {
            // The platform terminates a replaced process after some time.
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
        self.report.record_fault(FaultKind::Drain);
        self.handle_event(incarnation, KernelEvent::DrainStarted);
        let duration = self.random_micros(100_000, 3_500_000);
        let target = Target::Incarnation(incarnation);
        self.schedule(duration, target, Message::StopDeadline);
    }

    /// Ends all faults, so that the simulation can settle.
    pub fn end_all_faults(&mut self) {
        self.fault_periods = FaultPeriods::default();
        for worker in 0..WORKER_DOMAINS.len() {
            self.restore_worker(worker);
        }
    }
}
