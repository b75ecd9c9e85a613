//! Converts between wire messages and the kernels' types.

use bramley_core::kernel::event::NamedSlot;
use bramley_core::membership::{
    HeartbeatMessage, MemberLoad, MemberRecord, MemberState, TeamDemand, WorkerNews,
};
use bramley_core::names::{DomainName, HostName, TeamName, WorkerName, is_valid_name};
use bramley_core::units::{IncarnationId, UnixTime};
use bramley_wire::peer;

/// Converts a heartbeat to its wire message.
#[must_use]
pub fn heartbeat_to_wire(heartbeat: HeartbeatMessage) -> peer::HeartbeatRequest {
    peer::HeartbeatRequest {
        sender: Some(record_to_wire(&heartbeat.sender)),
        members: heartbeat.members.iter().map(record_to_wire).collect(),
        workers: heartbeat
            .workers
            .iter()
            .map(|worker_news| peer::WorkerNews {
                worker: worker_news.worker.as_str().to_owned(),
                leaving: worker_news.leaving,
                revision: worker_news.revision,
                given_unix_ms: worker_news.given.as_millis(),
            })
            .collect(),
        generation: heartbeat.generation,
        idle_slots: heartbeat.load.idle_slots,
        idle_accelerator_slots: heartbeat.load.idle_accelerator_slots,
        queued_tasks: heartbeat.load.queued_tasks,
        demands: heartbeat
            .demands
            .iter()
            .map(|demand| peer::TeamDemand {
                team: demand.team.as_str().to_owned(),
                tasks: demand.tasks,
            })
            .collect(),
    }
}

/// Converts a wire message to a heartbeat.
///
/// Returns `None` if the sender's record is missing or malformed. Malformed records of other
/// members are skipped.
#[must_use]
pub fn heartbeat_from_wire(heartbeat: peer::HeartbeatRequest) -> Option<HeartbeatMessage> {
    let sender = record_from_wire(heartbeat.sender.as_ref()?)?;
    Some(HeartbeatMessage {
        sender,
        members: heartbeat
            .members
            .iter()
            .filter_map(record_from_wire)
            .collect(),
        workers: heartbeat
            .workers
            .iter()
            .map(|worker_news| WorkerNews {
                worker: WorkerName::from(worker_news.worker.as_str()),
                leaving: worker_news.leaving,
                revision: worker_news.revision,
                given: UnixTime::from_millis(worker_news.given_unix_ms),
            })
            .collect(),
        generation: heartbeat.generation,
        load: MemberLoad {
            idle_slots: heartbeat.idle_slots,
            idle_accelerator_slots: heartbeat.idle_accelerator_slots,
            queued_tasks: heartbeat.queued_tasks,
        },
        demands: heartbeat
            .demands
            .iter()
            .map(|demand| TeamDemand {
                team: TeamName::from(demand.team.as_str()),
                tasks: demand.tasks,
            })
            .collect(),
    })
}

fn record_to_wire(record: &MemberRecord) -> peer::MemberRecord {
    peer::MemberRecord {
        host: record.host.as_str().to_owned(),
        failure_domain: record.domain.as_str().to_owned(),
        incarnation: record.incarnation.to_string(),
        started_unix_ms: record.started.as_millis(),
        peer_address: record.peer_address.to_string(),
        state: record.state.as_str().to_owned(),
        heartbeat: record.heartbeat,
    }
}

fn record_from_wire(record: &peer::MemberRecord) -> Option<MemberRecord> {
    if !is_valid_name(&record.host) || !is_valid_name(&record.failure_domain) {
        return None;
    }
    Some(MemberRecord {
        host: HostName::from(record.host.as_str()),
        domain: DomainName::from(record.failure_domain.as_str()),
        incarnation: IncarnationId::parse(&record.incarnation)?,
        started: UnixTime::from_millis(record.started_unix_ms),
        peer_address: record.peer_address.parse().ok()?,
        state: MemberState::parse(&record.state)?,
        heartbeat: record.heartbeat,
    })
}

/// Converts slots to wire messages.
#[must_use]
pub fn slots_to_wire(slots: &[NamedSlot]) -> Vec<peer::SlotRight> {
    let mut rights = Vec::with_capacity(slots.len());
    for slot in slots {
        rights.push(peer::SlotRight {
            worker: slot.worker.as_str().to_owned(),
            slot: slot.slot,
        });
    }
    rights
}

/// Converts wire messages to slots.
#[must_use]
pub fn slots_from_wire(rights: &[peer::SlotRight]) -> Vec<NamedSlot> {
    let mut slots = Vec::with_capacity(rights.len());
    for right in rights {
        slots.push(NamedSlot {
            worker: WorkerName::from(right.worker.as_str()),
            slot: right.slot,
        });
    }
    slots
}
