//! Errors of the commands and their exit codes.

use std::net::SocketAddr;

use bramley_core::configuration::EnvelopeError;
use bramley_settings::SettingsError;
use bramley_settings::questionnaire::PromptError;
use bramley_store::StoreError;
use displaydoc::Display;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum CommandError {
    /// {0}
    Input(SettingsError),
    /// {0}
    Prompt(PromptError),
    /// failed to read or write the file {file}: {reason}
    File {
        /// Path of the file.
        file: String,
        /// I/O error.
        reason: std::io::Error,
    },
    /// failed to write the output: {0}
    Output(std::io::Error),
    /// failed to read the store: {0}
    StoreReadFailed(StoreError),
    /// nothing was changed: {0}
    NotApplied(StoreError),
    /**
     the effect is unknown: the change {operation_id} may be in the store or may still reach it;
     the last error was: {last}; once the store responds, look for the change {operation_id} in the
     output of `bramleyctl history` before you apply anything else
    */
    EffectUnknown {
        /// ID of the change.
        operation_id: String,
        /// Error of the last attempt.
        last: StoreError,
    },
    /// no log line contains the ID {0}; under load, routine lines of only some jobs are logged
    IdNotInLogs(String),
    /// no log was given; expected the log files of all hosts
    NoLogs,
    /// the store contains no configuration
    NoConfiguration,
    /// the stored configuration is not valid for hosts of this version: {0}
    InvalidStored(EnvelopeError),
    /// nothing was changed: the configuration has {size} bytes, but the limit is {limit} bytes
    TooLarge {
        /// Size of the envelope in bytes.
        size: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /**
     nothing was changed: generation {generation} is in the store, but no base generation was given;
     to replace it, check the differences above and pass `--base {generation}`
    */
    MissingBase {
        /// Generation in the store.
        generation: u64,
    },
    /**
     nothing was changed: the change is based on generation {base}, but the store contains
     generation {current} by {author}; merge the differences listed above and pass
     `--base {current}`
    */
    Conflict {
        /// Generation that the change is based on.
        base: u64,
        /// Generation in the store.
        current: u64,
        /// Author of the generation in the store.
        author: String,
    },
    /// generation {0} is not in the store's history
    GenerationNotInHistory(u64),
    /// the change is in the store, but not in force on {count} of the given hosts
    NotInForceOnHosts {
        /// Number of hosts that are behind or unreachable.
        count: usize,
    },
    /// failed to reach the host {address}: {reason}
    HostUnreachable {
        /// Control address.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
}

impl CommandError {
    /// Returns the exit code: 1 for a failure that changed nothing, 2 for invalid input, 3 for a
    /// conflict with the stored configuration, 4 for an unknown effect, and 5 for a stored change
    /// that is not in force on every given host.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. }
            | Self::Output(_)
            | Self::StoreReadFailed(_)
            | Self::NotApplied(_)
            | Self::NoConfiguration
            | Self::InvalidStored(_)
            | Self::GenerationNotInHistory(_)
            | Self::IdNotInLogs(_)
            | Self::NoLogs
            | Self::HostUnreachable { .. } => 1,
            Self::Input(_) | Self::Prompt(_) | Self::TooLarge { .. } => 2,
            Self::MissingBase { .. } | Self::Conflict { .. } => 3,
            Self::EffectUnknown { .. } => 4,
            Self::NotInForceOnHosts { .. } => 5,
        }
    }
}

impl std::error::Error for CommandError {}

impl From<SettingsError> for CommandError {
    fn from(error: SettingsError) -> Self {
        Self::Input(error)
    }
}

impl From<PromptError> for CommandError {
    fn from(error: PromptError) -> Self {
        Self::Prompt(error)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Output(error)
    }
}
