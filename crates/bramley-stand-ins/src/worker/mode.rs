//! Failure modes of a worker stand-in and the connections that stay silent.

/// Failure mode of a worker stand-in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerMode {
    /// Runs tasks as asked.
    #[default]
    Healthy,
    /// Starts every task and fails it at once.
    FailAll,
    /// Refuses every task before its start.
    RefuseAll,
    /// Starts tasks but never answers on any connection that is open during this mode.
    Silent,
    /// Never answers again on the connections that are open now; new ones are healthy.
    SilentOpen,
    /// Runs tasks and says in each reply that the worker is leaving.
    Leaving,
}

impl WorkerMode {
    /// Reads the name of a mode as a switch call carries it.
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

/// The present mode and the connections that it affects.
#[derive(Debug, Default)]
pub(super) struct ModeState {
    mode: WorkerMode,
    run_time_percent: u32,
    connections_opened: u64,
    /// Connections numbered below this stay silent.
    silent_below: u64,
}

impl ModeState {
    /// Registers a connection and returns its number.
    pub(super) fn open_connection(&mut self) -> u64 {
        let number = self.connections_opened;
        self.connections_opened += 1;
        number
    }

    /// Changes the mode; connections that went silent stay silent.
    pub(super) fn switch(&mut self, mode: WorkerMode, run_time_percent: u32) {
        if self.mode == WorkerMode::Silent || mode == WorkerMode::SilentOpen {
            self.silent_below = self.connections_opened;
        }
        self.mode = mode;
        self.run_time_percent = run_time_percent;
    }

    /// Returns the present mode.
    pub(super) fn mode(&self) -> WorkerMode {
        self.mode
    }

    /// Returns the factor on run times, in percent.
    pub(super) fn run_time_percent(&self) -> u32 {
        match self.run_time_percent {
            0 => 100,
            percent => percent,
        }
    }

    /// Says whether the numbered connection gets no answers.
    pub(super) fn is_silent(&self, connection: u64) -> bool {
        self.mode == WorkerMode::Silent || connection < self.silent_below
    }
}
