//! Drives the dispatch kernel: one task owns it and takes messages from all threads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bramley_core::digest::BodyDigest;
use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobFailure, JobSpec, ReplyToken};
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{JobSubmission, KernelEvent, LoanRequest, NamedSlot};
use bramley_core::kernel::snapshot::KernelDump;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::HostName;
use bramley_core::units::{TicketSerial, UnixTime};
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot};

use crate::clock::ProcessClock;

/// Messages that may wait for the kernel; more are refused.
const CHANNEL_MESSAGES: usize = 65_536;

/// Messages that are taken from the channel at once.
const BATCH_MESSAGES: usize = 256;

/// Longest time between two ticks of the kernel.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Present answer to a caller.
#[derive(Clone, Debug)]
pub enum JobReplyState {
    /// The job is answered.
    Answered(Arc<JobAnswer>),
    /// The job is still running.
    Running,
}

/// Slots lent to a sibling.
#[derive(Clone, Debug)]
pub struct LoanGrant {
    /// Slots.
    pub slots: Vec<NamedSlot>,
    /// End of the loan.
    pub until: UnixTime,
    /// Idle slots that remain.
    pub idle_slots: u32,
}

/// What threads ask of the kernel's task.
#[derive(Debug)]
enum KernelMessage {
    Event(KernelEvent),
    Submit(Box<SubmitRequest>, oneshot::Sender<JobReplyState>),
    Query(TicketSerial, UnixTime, oneshot::Sender<JobReplyState>),
    Cancel(TicketSerial, UnixTime, oneshot::Sender<JobReplyState>),
    Lend {
        borrower: HostName,
        plain: u32,
        accelerated: u32,
        reply: oneshot::Sender<LoanGrant>,
    },
    Dump(oneshot::Sender<KernelDump>),
}

/// A submission on its way to the kernel.
#[derive(Debug)]
pub struct SubmitRequest {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Expiry of the ticket.
    pub expiry: UnixTime,
    /// Job.
    pub spec: JobSpec,
    /// Fingerprint of the job.
    pub digest: BodyDigest,
}

/// Carries out what the kernel asks for; implemented by the daemon.
pub trait ActionRunner: Send + 'static {
    /// Starts carrying out an action that needs input or output; it must not wait.
    fn run(&mut self, action: KernelAction);

    /// Learns the number of idle slots and waiting tasks after a batch of events.
    fn report_load(&mut self, kernel: &DispatchKernel);
}

/// Sends messages to the kernel's task.
#[derive(Clone, Debug)]
pub struct KernelHandle {
    sender: mpsc::Sender<KernelMessage>,
}

/// Receiving end of a [`KernelHandle`].
#[derive(Debug)]
pub struct KernelInbox {
    receiver: mpsc::Receiver<KernelMessage>,
}

/// Makes the two ends of the channel to the kernel's task.
#[must_use]
pub fn kernel_channel() -> (KernelHandle, KernelInbox) {
    let (sender, receiver) = mpsc::channel(CHANNEL_MESSAGES);
    (KernelHandle { sender }, KernelInbox { receiver })
}

impl KernelHandle {
    /// Reports an event, waiting for room in the channel.
    pub async fn report(&self, event: KernelEvent) {
        // The kernel's task only ends with the process, when events matter no more.
        let _closed = self.sender.send(KernelMessage::Event(event)).await;
    }

    /// Submits a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn submit(&self, request: SubmitRequest) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Submit(Box::new(request), reply), answer)
            .await
    }

    /// Asks for the present state of a job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn query(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Query(serial, expiry, reply), answer)
            .await
    }

    /// Cancels a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn cancel(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Cancel(serial, expiry, reply), answer)
            .await
    }

    /// Asks for slots on behalf of a sibling.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn lend(
        &self,
        borrower: HostName,
        plain: u32,
        accelerated: u32,
    ) -> Result<LoanGrant, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(
            KernelMessage::Lend {
                borrower,
                plain,
                accelerated,
                reply,
            },
            answer,
        )
        .await
    }

    /// Returns the state of the kernel.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn dump(&self) -> Result<KernelDump, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Dump(reply), answer).await
    }

    async fn ask<T>(
        &self,
        message: KernelMessage,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, DispatchError> {
        let ended = || DispatchError::new(ErrorKind::Internal, "the process is ending");
        if self.sender.send(message).await.is_err() {
            return Err(ended());
        }
        match answer.await {
            Ok(value) => Ok(value),
            Err(_) => Err(ended()),
        }
    }
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
    busy_time: Duration,
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
            busy_time: Duration::ZERO,
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
            self.runner.report_load(&self.kernel);
            self.busy_time += begun.elapsed();
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
            KernelMessage::Submit(request, reply) => {
                let token = self.enter_caller(reply);
                let SubmitRequest {
                    serial,
                    expiry,
                    spec,
                    digest,
                } = *request;
                let submission = JobSubmission {
                    serial,
                    expiry,
                    spec,
                    digest,
                    token,
                };
                self.handle(KernelEvent::Submitted(submission));
            }
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
            KernelMessage::Lend {
                borrower,
                plain,
                accelerated,
                reply,
            } => {
                let token = self.next_token();
                self.borrowers.insert(token, reply);
                let request = LoanRequest {
                    borrower,
                    plain,
                    accelerated,
                    token,
                };
                self.handle(KernelEvent::LoanAsked(request));
            }
            KernelMessage::Dump(reply) => {
                // A caller that gave up waiting needs no dump.
                let _gone = reply.send(self.kernel.dump());
            }
        }
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
            } => {
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
}

/// Makes the answer of a request that was refused on the request path.
#[must_use]
pub fn refused(error: DispatchError) -> JobReplyState {
    JobReplyState::Answered(Arc::new(JobAnswer::Failed(JobFailure::refusal(error))))
}

/// Makes the kernel of this process.
#[must_use]
pub fn make_kernel(settings: &bramley_settings::EntrySettings, seed: u64) -> DispatchKernel {
    use bramley_core::kernel::settings::KernelSettings;
    use bramley_core::names::DomainName;
    let defaults = KernelSettings::default();
    let limits = &settings.limits;
    let kernel_settings = KernelSettings {
        max_job_tasks: limits.max_job_tasks as usize,
        max_waiting_tasks: limits.max_queued_tasks as usize,
        max_kept_outcomes: limits.max_kept_outcomes as usize,
        max_kept_bytes: usize::try_from(limits.max_kept_bytes).unwrap_or(usize::MAX),
        queue_order: settings
            .policies
            .queue
            .clone()
            .unwrap_or(defaults.queue_order),
        loan_term: Duration::from_millis(settings.timing.loan_term_ms),
        configured_hosts: count_hosts(settings),
        ..KernelSettings::default()
    };
    let identity = KernelIdentity {
        host: HostName::from(settings.host.as_str()),
        domain: DomainName::from(settings.failure_domain.as_str()),
        seed,
    };
    DispatchKernel::new(identity, kernel_settings)
}

/// Counts the configured hosts; the own address may stand among the siblings.
fn count_hosts(settings: &bramley_settings::EntrySettings) -> usize {
    let mut hosts = 1;
    for sibling in &settings.siblings {
        if *sibling != settings.peer_address {
            hosts += 1;
        }
    }
    hosts
}
