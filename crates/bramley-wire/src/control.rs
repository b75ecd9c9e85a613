//! Control service of an entry process, called by the operators' command through `tarpc`.

/// Calls that the operators' command makes to one entry process.
#[tarpc::service]
pub trait ControlService {
    /// Returns the state of the process as a JSON document.
    async fn dump_state() -> String;

    /// Begins a planned stop and returns whether it had not begun before.
    async fn begin_drain() -> bool;

    /// Returns the generation of the configuration in force.
    async fn configuration_generation() -> u64;
}
