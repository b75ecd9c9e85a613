//! The task that owns the dispatch kernel and takes messages from all threads.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bramley_core::job::ReplyToken;
use bramley_core::kernel::DispatchKernel;
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{JobSubmission, KernelEvent, LoanRequest, NamedSlot};
use bramley_core::units::UnixTime;
use tokio::sync::oneshot;

use super::channel::{
    JobReplyState, KernelInbox, KernelMessage, LendRequest, LoanGrant, SubmitRequest,
};
use crate::clock::ProcessClock;

/// Messages that are taken from the channel at once.
const BATCH_MESSAGES: usize = 256;

/// Longest time between two ticks of the kernel.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Carries out what the kernel asks for; implemented by the daemon.
pub trait ActionRunner: Send + 'static {
    /// Starts carrying out an action that needs input or output; it must not wait.
    fn run(&mut self, action: KernelAction);

    /// Learns the state of the kernel after a batch of events, and the time that the batch took.
    fn report_batch(&mut self, kernel: &DispatchKernel, busy_time: Duration);
}

/// The task that owns the kernel.
#[derive(Debug)]
pub struct KernelLoop<Runner> {
    kernel: DispatchKernel,
    clock: ProcessClock,
    inbox: KernelInbox,
    runner: Runner,
    callers: HashMap<ReplyToken, oneshot::Sender<JobReplyState>>,
    borrowers: HashMap<ReplyToken, oneshot::Sender<LoanGrant>>,
    last_token: u64,
    actions: Vec<KernelAction>,
}

impl<Runner: ActionRunner> KernelLoop<Runner> {
    /// Makes the task around a fresh kernel.
    #[must_use]
    pub fn new(
        kernel: DispatchKernel,
        clock: ProcessClock,
        inbox: KernelInbox,
        runner: Runner,
    ) -> Self {
        Self {
            kernel,
            clock,
            inbox,
            runner,
            callers: HashMap::new(),
            borrowers: HashMap::new(),
            last_token: 0,
            actions: Vec::new(),
        }
    }

    /// Takes messages until the channel closes or the planned stop has finished.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(BATCH_MESSAGES);
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                count = self.inbox.receiver.recv_many(&mut batch, BATCH_MESSAGES) => {
                    if count == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wakeup) => {}
            }
            let begun = Instant::now();
            for message in batch.drain(..) {
                self.take(message);
            }
            self.handle(KernelEvent::Ticked);
            self.runner.report_batch(&self.kernel, begun.elapsed());
        }
    }

    fn next_wakeup(&self) -> tokio::time::Instant {
        let latest = self.clock.now().after(LONGEST_SLEEP);
        let time = self.kernel.next_wakeup().unwrap_or(latest).min(latest);
        self.clock.instant_of(time)
    }

    fn take(&mut self, message: KernelMessage) {
        match message {
            KernelMessage::Event(event) => self.handle(event),
            KernelMessage::Submit(request, reply) => self.take_submission(*request, reply),
            KernelMessage::Query(serial, expiry, reply) => {
                let token = self.enter_caller(reply);
                self.handle(KernelEvent::Queried {
                    serial,
                    expiry,
                    token,
                });
            }
            KernelMessage::Cancel(serial, expiry, reply) => {
                let token = self.enter_caller(reply);
                self.handle(KernelEvent::Cancelled {
                    serial,
                    expiry,
                    token,
                });
            }
            KernelMessage::Lend(request, reply) => self.take_lend_request(request, reply),
            KernelMessage::Dump(reply) => {
                // A caller that gave up waiting needs no dump.
                let _gone = reply.send(self.kernel.dump());
            }
        }
    }

    fn take_submission(&mut self, request: SubmitRequest, reply: oneshot::Sender<JobReplyState>) {
        let token = self.enter_caller(reply);
        let submission = JobSubmission {
            serial: request.serial,
            expiry: request.expiry,
            spec: request.spec,
            digest: request.digest,
            token,
        };
        self.handle(KernelEvent::Submitted(submission));
    }

    fn take_lend_request(&mut self, request: LendRequest, reply: oneshot::Sender<LoanGrant>) {
        let token = self.next_token();
        self.borrowers.insert(token, reply);
        let loan = LoanRequest {
            borrower: request.borrower,
            plain: request.plain,
            accelerated: request.accelerated,
            token,
        };
        self.handle(KernelEvent::LoanAsked(loan));
    }

    fn enter_caller(&mut self, reply: oneshot::Sender<JobReplyState>) -> ReplyToken {
        let token = self.next_token();
        self.callers.insert(token, reply);
        token
    }

    fn next_token(&mut self) -> ReplyToken {
        self.last_token += 1;
        ReplyToken(self.last_token)
    }

    fn handle(&mut self, event: KernelEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.kernel.handle(event, self.clock.now(), &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: KernelAction) {
        match action {
            KernelAction::Reply { token, answer } => {
                self.answer_caller(token, JobReplyState::Answered(answer));
            }
            KernelAction::ReplyRunning(token) => self.answer_caller(token, JobReplyState::Running),
            KernelAction::GrantLoan {
                token,
                slots,
                until,
            } => self.answer_borrower(token, slots, until),
            action @ (KernelAction::Start(_)
            | KernelAction::Abandon(_)
            | KernelAction::Stop { .. }
            | KernelAction::AskLoan { .. }
            | KernelAction::ReturnLoan { .. }) => self.runner.run(action),
        }
    }

    fn answer_caller(&mut self, token: ReplyToken, state: JobReplyState) {
        if let Some(reply) = self.callers.remove(&token) {
            // A caller that gave up waiting finds the kept answer under its ticket.
            let _gone = reply.send(state);
        }
    }

    fn answer_borrower(&mut self, token: ReplyToken, slots: Vec<NamedSlot>, until: UnixTime) {
        let idle_slots = self.kernel.right_counts().idle_plain;
        if let Some(reply) = self.borrowers.remove(&token) {
            // A borrower that gave up waiting leaves the slots to the end of the loan.
            let _gone = reply.send(LoanGrant {
                slots,
                until,
                idle_slots,
            });
        }
    }
}
