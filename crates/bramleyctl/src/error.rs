//! The closed list of failures with their exit codes.

use std::net::SocketAddr;

use bramley_core::configuration::EnvelopeError;
use bramley_settings::SettingsError;
use bramley_settings::questionnaire::InterviewError;
use bramley_store::StoreError;
use displaydoc::Display;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum CommandError {
    /// {0}
    Input(SettingsError),
    /// {0}
    Interview(InterviewError),
    /// the file {file} can't be read or written: {reason}
    File {
        /// Name of the file.
        file: String,
        /// Reason given by the system.
        reason: std::io::Error,
    },
    /// the output can't be written: {0}
    Output(std::io::Error),
    /// the store can't be read: {0}
    StoreUnread(StoreError),
    /// nothing was changed: {0}
    NothingChanged(StoreError),
    /**
     the effect is unknown: the change {operation_id} may be in the store or may still reach it;
     the last answer was: {last}; see `bramleyctl history` for the change {operation_id} once the
     store answers, before you apply anything else
    */
    EffectUnknown {
        /// Identity of the change.
        operation_id: String,
        /// Failure of the last attempt.
        last: StoreError,
    },
    /// none of the logs names {0}; lines of routine are sampled by job under load
    NotInLogs(String),
    /// the store holds no configuration
    NoConfiguration,
    /// the store holds a configuration that hosts of this version refuse: {0}
    StoredFaulty(EnvelopeError),
    /// nothing was changed: the configuration has {size} bytes; expected at most {limit}
    TooLarge {
        /// Size of the envelope in bytes.
        size: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /**
     nothing was changed: generation {generation} is in the store, and the command does not say
     that it is to be replaced; look at the differences above and give `--base {generation}`
    */
    BaseNotGiven {
        /// Generation in the store.
        generation: u64,
    },
    /**
     nothing was changed: the change starts from generation {base}, but generation {current} is in
     the store, made by {author}; what it changed is listed above; work it in and give
     `--base {current}`
    */
    RaceLost {
        /// Generation that the change started from.
        base: u64,
        /// Generation in the store.
        current: u64,
        /// Author of the generation in the store.
        author: String,
    },
    /// generation {0} is not in the store's history
    GenerationNotKept(u64),
    /// the change is in the store, but it is not in force on {count} of the hosts
    NotInForce {
        /// Number of hosts that are behind or unreachable.
        count: usize,
    },
    /// the host {address} can't be reached: {reason}
    HostUnreachable {
        /// Control address.
        address: SocketAddr,
        /// Reason.
        reason: String,
    },
}

impl CommandError {
    /// Returns the exit code: 1 nothing changed, 2 faulty input, 3 lost race, 4 unknown effect,
    /// 5 stored but not in force everywhere.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. }
            | Self::Output(_)
            | Self::StoreUnread(_)
            | Self::NothingChanged(_)
            | Self::NoConfiguration
            | Self::StoredFaulty(_)
            | Self::GenerationNotKept(_)
            | Self::NotInLogs(_)
            | Self::HostUnreachable { .. } => 1,
            Self::Input(_) | Self::Interview(_) | Self::TooLarge { .. } => 2,
            Self::BaseNotGiven { .. } | Self::RaceLost { .. } => 3,
            Self::EffectUnknown { .. } => 4,
            Self::NotInForce { .. } => 5,
        }
    }
}

impl std::error::Error for CommandError {}

impl From<SettingsError> for CommandError {
    fn from(error: SettingsError) -> Self {
        Self::Input(error)
    }
}

impl From<InterviewError> for CommandError {
    fn from(error: InterviewError) -> Self {
        Self::Interview(error)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Output(error)
    }
}
