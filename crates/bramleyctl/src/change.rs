//! Writes a configuration to the store and determines the outcome of the write.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_core::configuration::{ChangeRecord, ConfigurationEnvelope, DeploymentConfiguration};
use bramley_store::StoreError;
use bramley_wire::platform::PutReply;
use rand::Rng;
use tokio::time::Instant;

use crate::error::CommandError;
use crate::repository::{ConfigurationRepository, DeadlineBackoff, StoredConfiguration};

/// Maximum size of an envelope in bytes, below the platform's limit for a value.
pub const MAX_ENVELOPE_BYTES: usize = 900_000;

/// A configuration change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Author recorded with the change.
    pub author: String,
    /// Generation that the document is based on, if the operator specified one.
    pub base: Option<u64>,
    /// New configuration document.
    pub document: DeploymentConfiguration,
    /// Highest generation in force on any queried host; 0 if none reported one.
    pub host_generation: u64,
    /// Maximum time spent on attempts to reach the store.
    pub time_limit: Duration,
}

/// A change that was written to the store.
#[derive(Clone, Debug)]
pub struct AppliedChange {
    /// Record of the change.
    pub change: ChangeRecord,
    /// Record of a later change that has already replaced this one, if any.
    pub replaced_by: Option<ChangeRecord>,
    /// Number of write requests sent.
    pub attempts: u32,
    /// Why the replaced configuration could not be added to the history, if it could not.
    pub history_error: Option<StoreError>,
}

/// A change that was not made or whose effect is unknown.
#[derive(Debug)]
pub struct ApplyFailure {
    /// Cause of the failure.
    pub error: CommandError,
    /// Stored configuration that conflicts with the change, if that is the cause.
    pub stored: Option<Box<ConfigurationEnvelope>>,
}

impl From<CommandError> for ApplyFailure {
    fn from(error: CommandError) -> Self {
        Self {
            error,
            stored: None,
        }
    }
}

/// Writes a change to the store.
///
/// # Errors
///
/// Returns an [`ApplyFailure`] whose error tells whether nothing was changed or the effect is
/// unknown.
pub async fn apply_change(
    repository: &ConfigurationRepository,
    request: ChangeRequest,
) -> Result<AppliedChange, ApplyFailure> {
    let deadline = Instant::now() + request.time_limit;
    let stored = repository
        .read(deadline)
        .await
        .map_err(CommandError::NotApplied)?;
    let current = check_base(&stored, request.base)?;
    let envelope = make_envelope(&current, stored.revision, request);
    let text = envelope.to_json();
    if text.len() > MAX_ENVELOPE_BYTES {
        let error = CommandError::TooLarge {
            size: text.len(),
            limit: MAX_ENVELOPE_BYTES,
        };
        return Err(error.into());
    }
    let mut history_error = None;
    if current.generation() > 0 {
        let added = repository.add_to_history(&current, deadline).await;
        history_error = added.err();
    }
    let write = PendingWrite {
        repository,
        base: current.generation(),
        expected_revision: stored.revision,
        envelope,
        text,
    };
    let mut applied = write.send_until_resolved(deadline).await?;
    applied.history_error = history_error;
    Ok(applied)
}

/// Checks that the change is based on the stored configuration, and returns that configuration.
fn check_base(
    stored: &StoredConfiguration,
    base: Option<u64>,
) -> Result<ConfigurationEnvelope, ApplyFailure> {
    let current = match &stored.envelope {
        None => return Ok(ConfigurationEnvelope::default()),
        // Hosts ignore an invalid value, so an operator may replace it by passing base 0.
        Some(Err(_)) if base == Some(0) => return Ok(ConfigurationEnvelope::default()),
        Some(Err(error)) => return Err(CommandError::InvalidStored(error.clone()).into()),
        Some(Ok(envelope)) => envelope.clone(),
    };
    let generation = current.generation();
    let error = match base {
        Some(base) if base == generation => return Ok(current),
        Some(base) => conflict_error(base, &current),
        None => CommandError::MissingBase { generation },
    };
    Err(ApplyFailure {
        error,
        stored: Some(Box::new(current)),
    })
}

fn conflict_error(base: u64, current: &ConfigurationEnvelope) -> CommandError {
    CommandError::Conflict {
        base,
        current: current.generation(),
        author: current.change.author.clone(),
    }
}

fn make_envelope(
    current: &ConfigurationEnvelope,
    revision: u64,
    request: ChangeRequest,
) -> ConfigurationEnvelope {
    let now_ms = unix_millis();
    let latest_known = current
        .generation()
        .max(revision)
        .max(request.host_generation);
    // The lower bound by Unix time keeps generations increasing after the store was restored from a
    // backup. The order of changes doesn't depend on clocks: the write takes effect only if the
    // revision is still the one that was read.
    let generation = (latest_known + 1).max(now_ms / 1_000);
    let change = ChangeRecord {
        generation,
        operation_id: format!("{:032x}", rand::rng().random::<u128>()),
        author: request.author,
        applied_unix_ms: now_ms,
    };
    current.next_change(change, request.document)
}

/// Returns the system time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A conditional write that is sent until its effect is known.
struct PendingWrite<'a> {
    repository: &'a ConfigurationRepository,
    base: u64,
    expected_revision: u64,
    envelope: ConfigurationEnvelope,
    text: String,
}

impl PendingWrite<'_> {
    /// Sends the write until its effect is known or the deadline passes.
    ///
    /// Each retry has the same expected revision, so that the write takes effect at most once even
    /// if an earlier request is still in flight. A read alone can't determine the effect, because
    /// such a request could take effect after the read.
    async fn send_until_resolved(&self, deadline: Instant) -> Result<AppliedChange, ApplyFailure> {
        let mut backoff = DeadlineBackoff::new(deadline);
        let mut is_effect_unknown = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let error = match self
                .repository
                .write(&self.text, self.expected_revision)
                .await
            {
                Ok(reply) => return self.interpret_reply(&reply, attempts, is_effect_unknown),
                Err(error) => error,
            };
            log::warn!("event=write_failed attempt={attempts} reason=\"{error}\"");
            is_effect_unknown |= error.is_effect_unknown();
            if !error.is_transient() || !backoff.wait().await {
                return Err(self.final_error(is_effect_unknown, error).into());
            }
        }
    }

    fn final_error(&self, is_effect_unknown: bool, last: StoreError) -> CommandError {
        if !is_effect_unknown {
            return CommandError::NotApplied(last);
        }
        CommandError::EffectUnknown {
            operation_id: self.envelope.change.operation_id.clone(),
            last,
        }
    }

    /// Derives from a reply whether this request or an earlier attempt took effect.
    fn interpret_reply(
        &self,
        reply: &PutReply,
        attempts: u32,
        is_effect_unknown: bool,
    ) -> Result<AppliedChange, ApplyFailure> {
        let applied = |replaced_by| AppliedChange {
            change: self.envelope.change.clone(),
            replaced_by,
            attempts,
            history_error: None,
        };
        if reply.applied {
            return Ok(applied(None));
        }
        let value = reply.current.clone().unwrap_or_default();
        let Some(Ok(current)) = StoredConfiguration::from_value(&value).envelope else {
            let last = StoreError::MalformedResponse(String::from(
                "the stored value is not a valid configuration",
            ));
            return Err(self.final_error(is_effect_unknown, last).into());
        };
        if current.change == self.envelope.change {
            return Ok(applied(None));
        }
        let operation_id = &self.envelope.change.operation_id;
        if current.find_change(operation_id).is_some() {
            return Ok(applied(Some(current.change)));
        }
        if is_effect_unknown && !current.has_history_since(self.base) {
            let last = StoreError::ResponseLost(String::from(
                "too many later changes: the recorded history no longer covers this one",
            ));
            return Err(self.final_error(is_effect_unknown, last).into());
        }
        Err(ApplyFailure {
            error: conflict_error(self.base, &current),
            stored: Some(Box::new(current)),
        })
    }
}
