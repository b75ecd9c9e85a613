//! Embeds the dispatch kernel: submits a job, executes the resulting actions and ends the attempt.
//!
//! The kernel opens no sockets and reads no clock. The embedding program passes in events with the
//! current time and executes the actions that the kernel returns.

use std::sync::Arc;
use std::time::Duration;

use bramley::core::configuration::{
    ClassConfiguration, DeploymentConfiguration, TeamConfiguration,
};
use bramley::core::job::{JobAnswer, JobSpec, ReplyToken};
use bramley::core::kernel::action::KernelAction;
use bramley::core::kernel::event::{AttemptResult, JobSubmission, KernelEvent};
use bramley::core::kernel::settings::KernelSettings;
use bramley::core::kernel::{DispatchKernel, KernelIdentity};
use bramley::core::names::{ClassName, DomainName, HostName, RackName, TeamName, WorkerName};
use bramley::core::task::TaskInput;
use bramley::core::units::{TicketSerial, UnixTime};
use bramley::core::worker::{WorkerProfile, WorkerState};

/// Runs the example.
pub fn main() {
    let mut now = UnixTime::from_millis(1_000_000);
    let identity = KernelIdentity {
        host: HostName::from("entry-1"),
        domain: DomainName::from("freising"),
        seed: 1,
    };
    let mut kernel = DispatchKernel::new(identity, KernelSettings::default());
    let mut actions = Vec::new();
    kernel.handle(
        KernelEvent::ConfigurationChanged(configuration()),
        now,
        &mut actions,
    );
    kernel.handle(
        KernelEvent::WorkersListed(vec![worker()]),
        now,
        &mut actions,
    );

    let spec = hold_job(now.after(Duration::from_secs(5)));
    let submission = JobSubmission {
        serial: TicketSerial(1),
        expiry: now.after(Duration::from_secs(60)),
        digest: spec.digest(),
        spec,
        token: ReplyToken(1),
    };
    kernel.handle(KernelEvent::Submitted(submission), now, &mut actions);

    // The kernel returns one start action. A real driver sends it to the worker's address.
    let start = actions.drain(..).find_map(|action| match action {
        KernelAction::Start(start) => Some(start),
        _ => None,
    });
    let start = start.expect("an idle worker should get the task at once");
    println!("send {:?} to {}", &*start.payload, start.worker);

    now = now.after(Duration::from_millis(80));
    let result = AttemptResult::Finished(Arc::from("pitch 17 is held"));
    let attempt = start.attempt;
    kernel.handle(
        KernelEvent::AttemptEnded { attempt, result },
        now,
        &mut actions,
    );

    let answer = actions.drain(..).find_map(|action| match action {
        KernelAction::Reply {
            token: ReplyToken(1),
            answer,
        } => Some(answer),
        _ => None,
    });
    match &*answer.expect("the caller should get its answer") {
        JobAnswer::Complete(outputs) => println!("complete: {outputs:?}"),
        JobAnswer::Failed(failure) => panic!(
            "the job failed although its task finished: {}",
            failure.error
        ),
    }
    assert_eq!(kernel.monitor().violations(), 0);
}

fn configuration() -> Arc<DeploymentConfiguration> {
    let class = ClassConfiguration {
        name: ClassName::from("holds"),
        answer_within_ms: 5_000,
        ..ClassConfiguration::default()
    };
    let team = TeamConfiguration {
        name: TeamName::from("booking"),
        classes: vec![class],
        ..TeamConfiguration::default()
    };
    Arc::new(DeploymentConfiguration {
        deployment: "landesamt".to_owned(),
        teams: vec![team],
        ..DeploymentConfiguration::default()
    })
}

fn worker() -> WorkerProfile {
    WorkerProfile {
        name: WorkerName::from("worker-1"),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: DomainName::from("freising"),
        rack: RackName::from("rack-1"),
        slots: 8,
        accelerators: 0,
        memory_mib: 65_536,
        state: WorkerState::Live,
    }
}

fn hold_job(deadline: UnixTime) -> JobSpec {
    let task = TaskInput {
        payload: Arc::from("hold pitch 17"),
        accelerators: 0,
        memory_mib: 0,
        declared_ms: 0,
    };
    JobSpec {
        team: TeamName::from("booking"),
        class: ClassName::from("holds"),
        deadline,
        idempotent: false,
        tasks: vec![task],
    }
}
