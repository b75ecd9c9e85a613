//! Event loop of the task that owns the dispatch kernel.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bramley_core::job::ReplyToken;
use bramley_core::kernel::DispatchKernel;
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{JobSubmission, KernelEvent, LoanRequest, NamedSlot};
use bramley_core::units::UnixTime;
use tokio::sync::oneshot;

use super::channel::{
    JobStatus, KernelInbox, KernelMessage, LendRequest, LoanGrant, SubmitRequest,
};
use crate::clock::ProcessClock;

/// Maximum number of messages received from the channel at once.
const MAX_BATCH_MESSAGES: usize = 256;

/// Maximum time between two ticks of the kernel.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Executes the actions of the dispatch kernel that need I/O.
pub trait ActionRunner: Send + 'static {
    /// Starts an action; must not block.
    fn run(&mut self, action: KernelAction);

    /// Called after each batch of events with the kernel and the time spent on the batch.
    fn report_batch(&mut self, kernel: &DispatchKernel, busy_time: Duration);
}

/// Event loop that owns the dispatch kernel.
#[derive(Debug)]
pub struct KernelLoop<Runner> {
    kernel: DispatchKernel,
    clock: ProcessClock,
    inbox: KernelInbox,
    runner: Runner,
    callers: HashMap<ReplyToken, oneshot::Sender<JobStatus>>,
    borrowers: HashMap<ReplyToken, oneshot::Sender<LoanGrant>>,
    last_token: u64,
    actions: Vec<KernelAction>,
}

impl<Runner: ActionRunner> KernelLoop<Runner> {
    /// Creates the event loop for a new kernel.
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

    /// Handles messages and timers until the channel closes.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                count = self.inbox.receiver.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
                    if count == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wakeup) => {}
            }
            let batch_started = Instant::now();
            for message in batch.drain(..) {
                self.handle_message(message);
            }
            self.handle_event(KernelEvent::Tick);
            self.runner
                .report_batch(&self.kernel, batch_started.elapsed());
        }
    }

    fn next_wakeup(&self) -> tokio::time::Instant {
        let latest = self.clock.now().after(MAX_TICK_INTERVAL);
        let time = self.kernel.next_wakeup().unwrap_or(latest).min(latest);
        self.clock.instant_of(time)
    }

    fn handle_message(&mut self, message: KernelMessage) {
        match message {
            KernelMessage::Event(event) => self.handle_event(event),
            KernelMessage::Submit(request, reply) => self.handle_submission(*request, reply),
            KernelMessage::Query(serial, expiry, reply) => {
                let token = self.register_caller(reply);
                self.handle_event(KernelEvent::Queried {
                    serial,
                    expiry,
                    token,
                });
            }
            KernelMessage::Cancel(serial, expiry, reply) => {
                let token = self.register_caller(reply);
                self.handle_event(KernelEvent::Cancelled {
                    serial,
                    expiry,
                    token,
                });
            }
            KernelMessage::Lend(request, reply) => self.handle_lend_request(request, reply),
            KernelMessage::Dump(reply) => {
                // The receiver may have stopped waiting.
                let _gone = reply.send(self.kernel.dump());
            }
        }
    }

    fn handle_submission(&mut self, request: SubmitRequest, reply: oneshot::Sender<JobStatus>) {
        let token = self.register_caller(reply);
        let submission = JobSubmission {
            serial: request.serial,
            expiry: request.expiry,
            spec: request.spec,
            digest: request.digest,
            token,
        };
        self.handle_event(KernelEvent::Submitted(submission));
    }

    fn handle_lend_request(&mut self, request: LendRequest, reply: oneshot::Sender<LoanGrant>) {
        let token = self.next_token();
        self.borrowers.insert(token, reply);
        let loan = LoanRequest {
            borrower: request.borrower,
            plain: request.plain,
            accelerated: request.accelerated,
            token,
        };
        self.handle_event(KernelEvent::LoanRequested(loan));
    }

    fn register_caller(&mut self, reply: oneshot::Sender<JobStatus>) -> ReplyToken {
        let token = self.next_token();
        self.callers.insert(token, reply);
        token
    }

    fn next_token(&mut self) -> ReplyToken {
        self.last_token += 1;
        ReplyToken(self.last_token)
    }

    fn handle_event(&mut self, event: KernelEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.kernel.handle(event, self.clock.now(), &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: KernelAction) {
        match action {
            KernelAction::Reply { token, answer } => {
                self.reply_to_caller(token, JobStatus::Finished(answer));
            }
            KernelAction::ReplyRunning(token) => self.reply_to_caller(token, JobStatus::Running),
            KernelAction::GrantLoan {
                token,
                slots,
                until,
            } => self.reply_to_borrower(token, slots, until),
            action @ (KernelAction::Start(_)
            | KernelAction::Abandon(_)
            | KernelAction::Stop { .. }
            | KernelAction::RequestLoan { .. }
            | KernelAction::ReturnLoan { .. }) => self.runner.run(action),
        }
    }

    fn reply_to_caller(&mut self, token: ReplyToken, status: JobStatus) {
        if let Some(reply) = self.callers.remove(&token) {
            // If the caller has disconnected, it can still query the kept answer by its ticket.
            let _gone = reply.send(status);
        }
    }

    fn reply_to_borrower(&mut self, token: ReplyToken, slots: Vec<NamedSlot>, until: UnixTime) {
        let idle_slots = self.kernel.slot_counts().idle_plain;
        if let Some(reply) = self.borrowers.remove(&token) {
            // If the borrower has timed out, the slots come back when the loan expires.
            let _gone = reply.send(LoanGrant {
                slots,
                until,
                idle_slots,
            });
        }
    }
}
