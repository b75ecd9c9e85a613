//! State dump of a process.

use bramley_core::configuration::ConfigurationCounts;
use bramley_core::kernel::snapshot::KernelDump;
use bramley_core::membership::{MemberSnapshot, MembershipCounts};
use bramley_core::names::HostName;
use bramley_core::units::IncarnationId;
use serde::Serialize;

use crate::shared::SharedState;

/// State of an entry process, as shown to operators.
#[derive(Debug, Serialize)]
pub struct ProcessDump {
    /// Host.
    pub host: HostName,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Whether a graceful shutdown has begun.
    pub draining: bool,
    /// Generation of the active configuration.
    pub generation: u64,
    /// Control messages sent and received.
    pub control_messages: u64,
    /// Bytes of control messages sent and received.
    pub control_bytes: u64,
    /// Configuration offers, counted by outcome.
    pub configuration: ConfigurationCounts,
    /// Counters of the membership kernel.
    pub membership: MembershipCounts,
    /// Known entry hosts.
    pub members: Vec<MemberSnapshot>,
    /// Dispatch kernel; absent if the process is shutting down.
    pub kernel: Option<KernelDump>,
}

/// Returns the state of the process as a JSON document.
pub async fn dump_state(state: &SharedState) -> String {
    let kernel = state.kernel.dump().await.ok();
    let (control_messages, control_bytes) = state.metrics.control_counts();
    let counts = state.control_counts.load();
    let mut members = state.members.load().members.clone();
    members.sort_by(|left, right| left.record.host.cmp(&right.record.host));
    let dump = ProcessDump {
        host: state.host.clone(),
        failure_domain: state.settings.failure_domain.clone(),
        incarnation: state.issuer.incarnation(),
        draining: state.is_draining(),
        generation: state.configuration.load().generation,
        control_messages,
        control_bytes,
        configuration: counts.configuration,
        membership: counts.membership.clone(),
        members,
        kernel,
    };
    serde_json::to_string_pretty(&dump).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
