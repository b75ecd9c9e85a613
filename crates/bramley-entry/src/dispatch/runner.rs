//! Executes the actions of the dispatch kernel.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::DispatchKernel;
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{AttemptResult, KernelEvent};
use bramley_core::membership::MemberLoad;
use tokio_util::sync::CancellationToken;

use super::kernel_loop::ActionRunner;
use super::loans::{request_loan, return_loan};
use crate::member_channel::MembershipHandle;
use crate::shared::SharedState;
use crate::worker_client::AttemptDeadlines;

/// Executes the actions of the dispatch kernel by spawning a task for each.
#[derive(Debug)]
pub struct DaemonActionRunner {
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// Handle to the membership task.
    pub membership: MembershipHandle,
    /// Cancels all spawned tasks.
    pub shutdown: CancellationToken,
}

impl ActionRunner for DaemonActionRunner {
    fn run(&mut self, action: KernelAction) {
        match action {
            KernelAction::Start(start) => {
                let state = Arc::clone(&self.state);
                let membership = self.membership.clone();
                self.spawn(async move { run_attempt(&state, &membership, *start).await });
            }
            // The attempt has the same deadline and closes its connection by itself.
            KernelAction::Abandon(_) => {}
            KernelAction::Stop { address, task } => {
                let state = Arc::clone(&self.state);
                self.spawn(async move { state.worker_client.stop(address, task).await });
            }
            KernelAction::RequestLoan {
                lender,
                plain,
                accelerated,
            } => {
                let state = Arc::clone(&self.state);
                self.spawn(async move { request_loan(&state, lender, plain, accelerated).await });
            }
            KernelAction::ReturnLoan { lender, slots } => {
                let state = Arc::clone(&self.state);
                self.spawn(async move { return_loan(&state, &lender, &slots).await });
            }
            KernelAction::Reply { .. }
            | KernelAction::ReplyRunning(_)
            | KernelAction::GrantLoan { .. } => {
                log::error!("event=unexpected_action");
            }
        }
    }

    fn report_batch(&mut self, kernel: &DispatchKernel, busy_time: Duration) {
        self.state.metrics.add_kernel_time(busy_time);
        let counts = kernel.slot_counts();
        self.state.load.write(MemberLoad {
            idle_slots: counts.idle_plain,
            idle_accelerator_slots: counts.idle_accelerated,
            queued_tasks: u32::try_from(kernel.waiting_tasks()).unwrap_or(u32::MAX),
        });
    }
}

impl DaemonActionRunner {
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = future => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}

/// Sends a task to its worker and reports how the attempt ended.
async fn run_attempt(state: &SharedState, membership: &MembershipHandle, start: TaskStart) {
    let deadlines = AttemptDeadlines {
        reconnect_at: state.clock.instant_of(start.stalled_after),
        reply_deadline: state.clock.instant_of(start.start_deadline),
    };
    let attempt = start.attempt;
    let worker = start.worker.clone();
    let outcome = state.worker_client.start(start, deadlines).await;
    if matches!(outcome.result, AttemptResult::Unknown) {
        log::warn!(
            "event=outcome_unknown worker={worker} attempt={}",
            attempt.0
        );
    }
    let ended = KernelEvent::AttemptEnded {
        attempt,
        result: outcome.result,
    };
    state.kernel.report(ended).await;
    if outcome.leaving {
        membership.report_worker_leaving(worker).await;
    }
}
