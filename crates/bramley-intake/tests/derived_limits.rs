//! Limits derived from the memory and descriptors of hosts.

use bramley_intake::HostCapacity;

const CONNECTION_BYTES: usize = 20 * 1024;

/// Hosts of the next letter's size, whose leaders have a relay of each of them.
const HOSTS: usize = 1_000;

/// Guards against limits that ordinary operation of a large deployment meets, and against sums that
/// exceed the host.
#[test]
fn the_limits_fit_the_host_and_the_largest_deployment() {
    for memory_mb in [160, 260] {
        let capacity = HostCapacity {
            memory_bytes: memory_mb * 1_000_000,
            descriptors: 4_100,
        };
        let (callers, relays) = (capacity.caller_intake(), capacity.relay_intake());
        let health = capacity.health_intake();
        assert!(relays.connections >= HOSTS, "{relays:?}");
        assert!(relays.held_bytes >= relays.connections * CONNECTION_BYTES);
        assert!(callers.held_bytes >= callers.connections * CONNECTION_BYTES);
        assert!(health.held_bytes >= health.connections * CONNECTION_BYTES);
        let unread = callers.connections * capacity.receive_buffer();
        // Free blocks between buffers take as much as the buffers.
        let bytes = 2 * callers.held_bytes + unread + capacity.response_bytes();
        assert!(bytes <= capacity.memory_bytes * 2 / 3, "{bytes}");
    }
}

/// Guards against limits of zero on a host with few descriptors.
#[test]
fn a_small_host_has_room_for_each_kind_of_connection() {
    let capacity = HostCapacity {
        memory_bytes: 1_000_000,
        descriptors: 100,
    };
    for settings in [
        capacity.caller_intake(),
        capacity.relay_intake(),
        capacity.health_intake(),
    ] {
        assert!(settings.connections > 0, "{settings:?}");
        assert!(settings.held_bytes >= CONNECTION_BYTES, "{settings:?}");
    }
}
