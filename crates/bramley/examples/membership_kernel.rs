//! Embeds two membership kernels that discover each other through heartbeats.

use std::net::SocketAddr;

use bramley::core::membership::{
    MemberRecord, MemberState, MembershipAction, MembershipKernel, MembershipSettings,
};
use bramley::core::names::{DomainName, HostName};
use bramley::core::units::{IncarnationId, UnixTime};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Maximum number of heartbeat rounds.
const MAX_ROUNDS: u32 = 10;

/// Runs the example.
pub fn main() {
    let mut now = UnixTime::from_millis(1_000_000);
    let first_address = SocketAddr::from(([127, 0, 0, 1], 7_402));
    let second_address = SocketAddr::from(([127, 0, 0, 1], 7_412));
    let mut first = make_kernel("entry-1", first_address, None, now);
    let mut second = make_kernel("entry-2", second_address, Some(first_address), now);

    // The second host has applied generation 7 of the configuration.
    let actions = second.set_generation(7, now);
    assert!(actions.is_empty());

    // Exchange heartbeats until each host lists the other as a member.
    for _ in 0..MAX_ROUNDS {
        now = second.next_wakeup();
        let actions = second.on_tick(now);
        deliver(actions, &mut first, &mut second, now);
        if !first.members().is_empty() && !second.members().is_empty() {
            break;
        }
    }

    for kernel in [&first, &second] {
        let members = kernel.members();
        assert_eq!(members.len(), 1);
        println!(
            "member {} is {:?}",
            members[0].record.host, members[0].record.state
        );
        assert_eq!(kernel.counts().violations(), 0);
    }
}

/// Delivers the heartbeats of the second host to the first, and the replies to the second.
fn deliver(
    actions: Vec<MembershipAction>,
    first: &mut MembershipKernel,
    second: &mut MembershipKernel,
    now: UnixTime,
) {
    for action in actions {
        let MembershipAction::SendHeartbeat { address, message } = action else {
            continue;
        };
        println!("entry-2 sends a heartbeat to {address}");
        let follow_ups = first.on_heartbeat(&message, now);
        println!("entry-1 returns the actions {follow_ups:?}");
        let reply = first.heartbeat_reply(&message.sender.domain, now);
        second.on_heartbeat(&reply, now);
    }
}

fn make_kernel(
    host: &str,
    peer_address: SocketAddr,
    seed: Option<SocketAddr>,
    now: UnixTime,
) -> MembershipKernel {
    let own = MemberRecord {
        host: HostName::from(host),
        domain: DomainName::from("freising"),
        incarnation: IncarnationId::from_bits(rand::random()),
        started: now,
        peer_address,
        state: MemberState::Alive,
        heartbeat: 0,
    };
    let settings = MembershipSettings {
        seeds: seed.into_iter().collect(),
        ..MembershipSettings::default()
    };
    MembershipKernel::new(settings, own, &mut StdRng::seed_from_u64(1), now)
}
