//! Callers that submit, resubmit, ask and cancel.

use std::time::Duration;

use bramley_core::job::{JobAnswer, JobSpec};
use bramley_core::names::TeamName;
use bramley_core::task::TaskReport;
use bramley_core::ticket::JobTicket;
use bramley_core::units::UnixTime;

use super::messages::{CallerRequest, Message, Reply, RequestKind, Target};
use super::report::FaultKind;
use super::world::{HOST_DOMAINS, World};
use crate::support::{TEAM, job};

/// Teams; the second has a small quota.
pub const TEAMS: [&str; 2] = [TEAM, "market"];

/// Life of a ticket.
const TICKET_LIFE: Duration = Duration::from_secs(4);

/// Time for which a caller goes on asking.
const CALLER_LIFE: Duration = Duration::from_secs(6);

/// Time after which nothing of a caller can be under way any more.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// What the owner said of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    Refused,
    Failed(Vec<TaskReport>),
    Complete,
}

/// One caller with one job.
#[derive(Debug)]
pub struct CallerState {
    /// Ticket, or `None` for a caller with a key of its own.
    pub ticket: Option<JobTicket>,
    pub team: &'static str,
    pub tasks: usize,
    pub idempotent: bool,
    pub deadline: UnixTime,
    pub created: UnixTime,
    pub answered: bool,
    pub decision: Option<Decision>,
    /// Starts of each task by the ledgers of the workers.
    pub starts: Vec<u32>,
    /// Whether the caller was told that a task was not run.
    pub told_not_run: Vec<bool>,
}

impl CallerState {
    /// Makes the body of a submission.
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

impl World {
    /// Lets a new caller take a ticket and submit.
    pub fn on_caller_arrives(&mut self) {
        if self.settling {
            return;
        }
        let pause = self.micros(1_000, 24_000);
        self.schedule(pause, Target::World, Message::CallerArrives);
        self.last_caller += 1;
        let caller = self.last_caller;
        let ticket = if self.chance(25) {
            None
        } else {
            let host = self.below(HOST_DOMAINS.len());
            let Some(ticket) = self.take_ticket(host) else {
                return;
            };
            Some(ticket)
        };
        let team = TEAMS[self.below(TEAMS.len())];
        let idempotent = self.chance(40);
        // Only single idempotent requests are ever retried.
        let tasks = if idempotent && self.chance(80) {
            1
        } else {
            1 + self.below(4)
        };
        let span = self.micros(300_000, 3_000_000);
        let state = CallerState {
            ticket,
            team,
            tasks,
            idempotent,
            deadline: self.now.after(span),
            created: self.now,
            answered: false,
            decision: None,
            starts: vec![0; tasks],
            told_not_run: vec![false; tasks],
        };
        self.callers.insert(caller, state);
        self.submit_somewhere(caller, 0);
        let pause = self.micros(20_000, 900_000);
        self.schedule(pause, Target::World, Message::CallerActs(caller));
    }

    fn take_ticket(&self, host: usize) -> Option<JobTicket> {
        let node = self.hosts.get(&self.current[host]?)?;
        let expiry = self.now.after(TICKET_LIFE);
        (!node.frozen).then(|| node.issuer.issue(TeamName::from(TEAM), expiry))
    }

    /// Submits one more job of each team to each host and returns the callers.
    pub fn probe_hosts(&mut self) -> Vec<u64> {
        let mut probes = Vec::new();
        for host in 0..HOST_DOMAINS.len() {
            for team in TEAMS {
                self.last_caller += 1;
                let state = CallerState {
                    ticket: self.take_ticket(host),
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
                self.submit_somewhere(self.last_caller, 0);
                probes.push(self.last_caller);
            }
        }
        probes
    }

    /// Sends a request to the owner of the ticket or to any other host.
    fn ask(&mut self, caller: u64, kind: RequestKind) {
        let ticket = self.callers[&caller].ticket.clone();
        let host = match &ticket {
            Some(ticket) if self.chance(60) => super::hosts::host_of(&ticket.host),
            Some(_) | None => self.below(HOST_DOMAINS.len()),
        };
        let request = CallerRequest {
            caller,
            kind,
            ticket,
        };
        self.transmit(None, None, Target::Host(host), Message::Request(request));
    }

    fn submit_somewhere(&mut self, caller: u64, variant: u32) {
        self.ask(caller, RequestKind::Submit(variant));
    }

    /// Lets a caller do something more about its job.
    pub fn on_caller_acts(&mut self, caller: u64) {
        let Some(state) = self.callers.get(&caller) else {
            return;
        };
        if self.now > state.created.after(FORGET_AFTER) {
            self.callers.remove(&caller);
            return;
        }
        if self.now > state.created.after(CALLER_LIFE) {
            let pause = Duration::from_secs(5);
            self.schedule(pause, Target::World, Message::CallerActs(caller));
            return;
        }
        let answered = state.answered;
        if answered && self.chance(40) {
            let pause = Duration::from_secs(8);
            self.schedule(pause, Target::World, Message::CallerActs(caller));
            return;
        }
        match self.below(10) {
            0 if self.callers[&caller].ticket.is_some() => {
                self.report.injected(FaultKind::Cancellation);
                self.ask(caller, RequestKind::Cancel);
            }
            1 => {
                self.report.injected(FaultKind::ChangedBody);
                self.submit_somewhere(caller, 1);
            }
            2 if self.callers[&caller].ticket.is_some() => self.ask(caller, RequestKind::Query),
            3 | 4 => {
                // Two copies at once, at two hosts perhaps.
                self.report.injected(FaultKind::Resubmission);
                self.submit_somewhere(caller, 0);
                self.submit_somewhere(caller, 0);
            }
            _ => {
                let kind = if answered {
                    FaultKind::DelayedCopy
                } else {
                    FaultKind::Resubmission
                };
                self.report.injected(kind);
                self.submit_somewhere(caller, 0);
            }
        }
        let pause = self.micros(100_000, 1_500_000);
        self.schedule(pause, Target::World, Message::CallerActs(caller));
    }

    /// Lets a caller see an answer.
    pub fn on_answered(&mut self, caller: u64, reply: &Reply) {
        let Some(state) = self.callers.get_mut(&caller) else {
            return;
        };
        if let Reply::Final(answer) = reply {
            state.answered = true;
            if let JobAnswer::Failed(failure) = &**answer
                && failure.tasks.is_empty()
            {
                self.report.injected(FaultKind::RefusedSubmission);
            }
        }
    }
}
