//! Failure modes of a worker stand-in and unresponsive connections.

/// Failure mode of a worker stand-in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerMode {
    /// Runs tasks normally.
    #[default]
    Healthy,
    /// Starts every task and fails it immediately.
    FailAll,
    /// Refuses to start any task.
    RefuseAll,
    /// Starts tasks but never responds on any connection that is open during this mode.
    Silent,
    /// Never responds again on connections open at the switch to this mode; new ones are healthy.
    SilentOpen,
    /// Runs tasks and marks each reply as from a leaving worker.
    Leaving,
}

impl WorkerMode {
    /// Parses the name of a mode as used in switch requests.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "healthy" => Some(Self::Healthy),
            "fail_all" => Some(Self::FailAll),
            "refuse_all" => Some(Self::RefuseAll),
            "silent" => Some(Self::Silent),
            "silent_open" => Some(Self::SilentOpen),
            "leaving" => Some(Self::Leaving),
            _ => None,
        }
    }
}

/// The current mode and the connections affected by it or by earlier modes.
#[derive(Debug, Default)]
pub(super) struct ModeState {
    mode: WorkerMode,
    run_time_percent: u32,
    next_connection_id: u64,
    /// Connections with an ID below this value stay unresponsive, whatever the mode.
    silent_below: u64,
}

impl ModeState {
    /// Registers a connection and returns its ID.
    pub(super) fn register_connection(&mut self) -> u64 {
        let connection_id = self.next_connection_id;
        self.next_connection_id += 1;
        connection_id
    }

    /// Changes the mode. Unresponsive connections stay unresponsive.
    pub(super) fn switch(&mut self, mode: WorkerMode, run_time_percent: u32) {
        if self.mode == WorkerMode::Silent || mode == WorkerMode::SilentOpen {
            self.silent_below = self.next_connection_id;
        }
        self.mode = mode;
        self.run_time_percent = run_time_percent;
    }

    /// Returns the current mode.
    pub(super) fn mode(&self) -> WorkerMode {
        self.mode
    }

    /// Returns the scaling of run times in percent.
    pub(super) fn run_time_percent(&self) -> u32 {
        match self.run_time_percent {
            0 => 100,
            percent => percent,
        }
    }

    /// Returns whether the connection with the given ID is unresponsive.
    pub(super) fn is_silent(&self, connection_id: u64) -> bool {
        self.mode == WorkerMode::Silent || connection_id < self.silent_below
    }
}
