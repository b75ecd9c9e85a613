//! Callers that submit, resubmit, query and cancel jobs.

use std::time::Duration;

use bramley_core::job::{JobAnswer, JobSpec};
use bramley_core::names::TeamName;
use bramley_core::task::TaskReport;
use bramley_core::ticket::JobTicket;
use bramley_core::units::UnixTime;

use super::messages::{CallerRequest, Message, Reply, RequestKind, Target};
use super::report::FaultKind;
use super::simulation::{HOST_DOMAINS, Simulation};
use crate::support::{TEAM, job};

/// Names of the teams; the second team has a small quota.
pub const TEAMS: [&str; 2] = [TEAM, "market"];

/// Lifetime of a ticket.
const TICKET_LIFETIME: Duration = Duration::from_secs(4);

/// Time for which a caller sends requests.
const CALLER_ACTIVE_TIME: Duration = Duration::from_secs(6);

/// Time after which a caller is removed because none of its messages can still be in flight.
const REMOVE_AFTER: Duration = Duration::from_secs(20);

/// The owner's decision on a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    Refused,
    Failed(Vec<TaskReport>),
    Complete,
}

/// A caller and its only job.
#[derive(Debug)]
pub struct CallerState {
    /// Ticket, or `None` if the caller identifies its job by a key.
    pub ticket: Option<JobTicket>,
    pub team: &'static str,
    pub tasks: usize,
    pub idempotent: bool,
    pub deadline: UnixTime,
    pub created: UnixTime,
    pub answered: bool,
    pub decision: Option<Decision>,
    /// Number of starts of each task on any worker.
    pub starts: Vec<u32>,
    /// Whether the caller was told that the task was not run, for each task.
    pub told_not_run: Vec<bool>,
}

impl CallerState {
    /// Returns a variant of the job.
    pub fn spec(&self, caller: u64, variant: u32) -> JobSpec {
        let payloads: Vec<String> = (0..self.tasks)
            .map(|index| format!("{caller}.{index}.{variant}"))
            .collect();
        let payloads: Vec<&str> = payloads.iter().map(String::as_str).collect();
        let mut spec = job(&payloads, self.deadline, self.idempotent);
        spec.team = TeamName::from(self.team);
        spec
    }
}

impl Simulation {
    /// Creates a caller, which obtains a ticket or uses a key, and submits its job.
    pub fn create_caller(&mut self) {
        if self.settling {
            return;
        }
        let delay = self.random_micros(1_000, 24_000);
        self.schedule(delay, Target::Simulation, Message::NewCaller);
        self.last_caller += 1;
        let caller = self.last_caller;
        let ticket = if self.chance(25) {
            None
        } else {
            let host = self.random_below(HOST_DOMAINS.len());
            let Some(ticket) = self.issue_ticket(host) else {
                return;
            };
            Some(ticket)
        };
        let team = TEAMS[self.random_below(TEAMS.len())];
        let idempotent = self.chance(40);
        // Only idempotent jobs with a single task are retried.
        let tasks = if idempotent && self.chance(80) {
            1
        } else {
            1 + self.random_below(4)
        };
        let time_to_deadline = self.random_micros(300_000, 3_000_000);
        let state = CallerState {
            ticket,
            team,
            tasks,
            idempotent,
            deadline: self.now.after(time_to_deadline),
            created: self.now,
            answered: false,
            decision: None,
            starts: vec![0; tasks],
            told_not_run: vec![false; tasks],
        };
        self.callers.insert(caller, state);
        self.submit(caller, 0);
        let delay = self.random_micros(20_000, 900_000);
        self.schedule(delay, Target::Simulation, Message::CallerTimer(caller));
    }

    fn issue_ticket(&self, host: usize) -> Option<JobTicket> {
        let node = self.hosts.get(&self.current[host]?)?;
        let expiry = self.now.after(TICKET_LIFETIME);
        (!node.frozen).then(|| node.issuer.issue(TeamName::from(TEAM), expiry))
    }

    /// Submits a job of each team under a ticket of each host and returns the callers.
    pub fn probe_hosts(&mut self) -> Vec<u64> {
        let mut probes = Vec::new();
        for host in 0..HOST_DOMAINS.len() {
            for team in TEAMS {
                self.last_caller += 1;
                let state = CallerState {
                    ticket: self.issue_ticket(host),
                    team,
                    tasks: 1,
                    idempotent: false,
                    deadline: self.now.after(Duration::from_secs(4)),
                    created: self.now,
                    answered: false,
                    decision: None,
                    starts: vec![0],
                    told_not_run: vec![false],
                };
                self.callers.insert(self.last_caller, state);
                self.submit(self.last_caller, 0);
                probes.push(self.last_caller);
            }
        }
        probes
    }

    /// Sends a request to the owner of the ticket or to a random host.
    fn send_request(&mut self, caller: u64, kind: RequestKind) {
        let ticket = self.callers[&caller].ticket.clone();
        let host = match &ticket {
            Some(ticket) if self.chance(60) => super::hosts::host_index(&ticket.host),
            Some(_) | None => self.random_below(HOST_DOMAINS.len()),
        };
        let request = CallerRequest {
            caller,
            kind,
            ticket,
        };
        self.transmit(None, None, Target::Host(host), Message::Request(request));
    }

    fn submit(&mut self, caller: u64, variant: u32) {
        self.send_request(caller, RequestKind::Submit(variant));
    }

    /// Sends another request of a caller, or removes the caller at the end of its lifetime.
    pub fn on_caller_timer(&mut self, caller: u64) {
        let Some(state) = self.callers.get(&caller) else {
            return;
        };
        if self.now > state.created.after(REMOVE_AFTER) {
            self.callers.remove(&caller);
            return;
        }
        if self.now > state.created.after(CALLER_ACTIVE_TIME) {
            let delay = Duration::from_secs(5);
            self.schedule(delay, Target::Simulation, Message::CallerTimer(caller));
            return;
        }
        let answered = state.answered;
        if answered && self.chance(40) {
            let delay = Duration::from_secs(8);
            self.schedule(delay, Target::Simulation, Message::CallerTimer(caller));
            return;
        }
        match self.random_below(10) {
            0 if self.callers[&caller].ticket.is_some() => {
                self.report.record_fault(FaultKind::Cancellation);
                self.send_request(caller, RequestKind::Cancel);
            }
            1 => {
                self.report.record_fault(FaultKind::ChangedBody);
                self.submit(caller, 1);
            }
            2 if self.callers[&caller].ticket.is_some() => {
                self.send_request(caller, RequestKind::Query)
            }
            3 | 4 => {
                // Two copies at once, possibly to different hosts.
                self.report.record_fault(FaultKind::Resubmission);
                self.submit(caller, 0);
                self.submit(caller, 0);
            }
            _ => {
                let kind = if answered {
                    FaultKind::DelayedCopy
                } else {
                    FaultKind::Resubmission
                };
                self.report.record_fault(kind);
                self.submit(caller, 0);
            }
        }
        let delay = self.random_micros(100_000, 1_500_000);
        self.schedule(delay, Target::Simulation, Message::CallerTimer(caller));
    }

    /// Delivers a reply to a caller.
    pub fn on_answered(&mut self, caller: u64, reply: &Reply) {
        let Some(state) = self.callers.get_mut(&caller) else {
            return;
        };
        if let Reply::Final(answer) = reply {
            state.answered = true;
            if let JobAnswer::Failed(failure) = &**answer
                && failure.tasks.is_empty()
            {
                self.report.record_fault(FaultKind::RefusedSubmission);
            }
        }
    }
}
