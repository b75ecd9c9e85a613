//! Control service of an entry process, called by `bramleyctl` through `tarpc`.

/// Control calls that one entry process serves.
#[tarpc::service]
pub trait ControlService {
    /// Returns the state of the process as a JSON document.
    async fn dump_state() -> String;

    /// Begins a graceful shutdown; returns `false` if one had already begun.
    async fn begin_drain() -> bool;

    /// Returns the generation of the active configuration.
    async fn configuration_generation() -> u64;
}
