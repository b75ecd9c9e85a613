//! Converts between messages of entry processes and the kernels' types.

use bramley_core::kernel::event::NamedSlot;
use bramley_core::membership::{
    HeartbeatNews, MemberLoad, MemberRecord, MemberState, TeamDemand, WorkerNews,
};
use bramley_core::names::{DomainName, HostName, TeamName, WorkerName, is_valid_name};
use bramley_core::units::{IncarnationId, UnixTime};
use bramley_wire::peer;

/// Writes news as a message.
#[must_use]
pub fn news_to_wire(news: HeartbeatNews) -> peer::HeartbeatRequest {
    peer::HeartbeatRequest {
        sender: Some(record_to_wire(&news.sender)),
        members: news.members.iter().map(record_to_wire).collect(),
        workers: news
            .workers
            .iter()
            .map(|sign| peer::WorkerNews {
                worker: sign.worker.as_str().to_owned(),
                leaving: sign.leaving,
                revision: sign.revision,
                given_unix_ms: sign.given.as_millis(),
            })
            .collect(),
        generation: news.generation,
        idle_slots: news.load.idle_slots,
        idle_accelerator_slots: news.load.idle_accelerator_slots,
        queued_tasks: news.load.queued_tasks,
        demands: news
            .demands
            .iter()
            .map(|demand| peer::TeamDemand {
                team: demand.team.as_str().to_owned(),
                tasks: demand.tasks,
            })
            .collect(),
    }
}

/// Reads news; returns `None` if the sender is missing or malformed.
///
/// Malformed records of other members are left out.
#[must_use]
pub fn news_from_wire(news: peer::HeartbeatRequest) -> Option<HeartbeatNews> {
    let sender = record_from_wire(news.sender.as_ref()?)?;
    Some(HeartbeatNews {
        sender,
        members: news.members.iter().filter_map(record_from_wire).collect(),
        workers: news
            .workers
            .iter()
            .map(|sign| WorkerNews {
                worker: WorkerName::from(sign.worker.as_str()),
                leaving: sign.leaving,
                revision: sign.revision,
                given: UnixTime::from_millis(sign.given_unix_ms),
            })
            .collect(),
        generation: news.generation,
        load: MemberLoad {
            idle_slots: news.idle_slots,
            idle_accelerator_slots: news.idle_accelerator_slots,
            queued_tasks: news.queued_tasks,
        },
        demands: news
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

/// Writes slots as messages.
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

/// Reads slots from messages.
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
