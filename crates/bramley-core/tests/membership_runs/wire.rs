//! Encoded size of heartbeats on the wire.

use bramley_core::membership::{HeartbeatMessage, MemberRecord};
use bramley_wire::peer;
use prost::Message;

/// Returns the encoded size of a heartbeat in bytes.
pub fn encoded_size(message: &HeartbeatMessage) -> usize {
    let mut workers = Vec::new();
    for update in &message.workers {
        workers.push(peer::WorkerNews {
            worker: update.worker.to_string(),
            leaving: update.leaving,
            revision: update.revision,
            given_unix_ms: update.given.as_millis(),
        });
    }
    let mut demands = Vec::new();
    for demand in &message.demands {
        demands.push(peer::TeamDemand {
            team: demand.team.to_string(),
            tasks: demand.tasks,
        });
    }
    let message = peer::HeartbeatRequest {
        sender: Some(encode_record(&message.sender)),
        members: message.members.iter().map(encode_record).collect(),
        workers,
        generation: 1_000,
        idle_slots: 100,
        idle_accelerator_slots: 100,
        queued_tasks: 1_000,
        demands,
    };
    message.encoded_len()
}

fn encode_record(record: &MemberRecord) -> peer::MemberRecord {
    peer::MemberRecord {
        host: record.host.to_string(),
        failure_domain: record.domain.to_string(),
        incarnation: record.incarnation.to_string(),
        started_unix_ms: record.started.as_millis(),
        peer_address: record.peer_address.to_string(),
        state: record.state.as_str().to_owned(),
        heartbeat: record.heartbeat,
    }
}
