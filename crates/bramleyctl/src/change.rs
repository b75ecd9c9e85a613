//! Puts a configuration into the store and finds out what became of it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_core::configuration::{ChangeRecord, ConfigurationEnvelope, DeploymentConfiguration};
use bramley_store::StoreError;
use bramley_wire::platform::PutReply;
use rand::Rng;
use tokio::time::Instant;

use crate::error::CommandError;
use crate::repository::{ConfigurationRepository, RetryPause, StoredConfiguration};

/// Largest envelope in bytes, below the platform's limit of a value.
pub const MAX_ENVELOPE_BYTES: usize = 900_000;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Who asks for it.
    pub author: String,
    /// Generation that it starts from; `None` if the operator did not say.
    pub base: Option<u64>,
    /// The new document.
    pub document: DeploymentConfiguration,
    /// Highest generation in force on any host that was asked; 0 if none was.
    pub host_generation: u64,
    /// Longest time to try the store.
    pub time_limit: Duration,
}

/// A change that is in the store.
#[derive(Clone, Debug)]
pub struct AppliedChange {
    /// Record of the change.
    pub change: ChangeRecord,
    /// Record of the change that has replaced it meanwhile, if any.
    pub replaced_by: Option<ChangeRecord>,
    /// Writes that were sent.
    pub attempts: u32,
    /// Reason why the replaced document was not kept in the history, if it was not.
    pub history_lost: Option<StoreError>,
}

/// Why a change was not made, with what the store holds instead.
#[derive(Debug)]
pub struct ChangeRefusal {
    /// The failure.
    pub error: CommandError,
    /// The stored configuration, if it was read.
    pub stored: Option<Box<ConfigurationEnvelope>>,
}

impl From<CommandError> for ChangeRefusal {
    fn from(error: CommandError) -> Self {
        Self {
            error,
            stored: None,
        }
    }
}

/// Puts a change into the store.
///
/// # Errors
///
/// Returns a [`ChangeRefusal`] that says whether nothing was changed or the effect is unknown.
pub async fn apply_change(
    repository: &ConfigurationRepository,
    request: ChangeRequest,
) -> Result<AppliedChange, ChangeRefusal> {
    let deadline = Instant::now() + request.time_limit;
    let stored = repository
        .read(deadline)
        .await
        .map_err(CommandError::NothingChanged)?;
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
    let mut history_lost = None;
    if current.generation() > 0 {
        let kept = repository.keep_history(&current, deadline).await;
        history_lost = kept.err();
    }
    let write = PendingWrite {
        repository,
        base: current.generation(),
        expected_revision: stored.revision,
        envelope,
        text,
    };
    let mut applied = write.settle(deadline).await?;
    applied.history_lost = history_lost;
    Ok(applied)
}

/// Checks that the operator knows what the change replaces, and returns it.
fn check_base(
    stored: &StoredConfiguration,
    base: Option<u64>,
) -> Result<ConfigurationEnvelope, ChangeRefusal> {
    let current = match &stored.envelope {
        None => return Ok(ConfigurationEnvelope::default()),
        // A value that no host obeys may be replaced by an operator who says so.
        Some(Err(_)) if base == Some(0) => return Ok(ConfigurationEnvelope::default()),
        Some(Err(error)) => return Err(CommandError::StoredFaulty(error.clone()).into()),
        Some(Ok(envelope)) => envelope.clone(),
    };
    let generation = current.generation();
    let error = match base {
        Some(base) if base == generation => return Ok(current),
        Some(base) => lose_race(base, &current),
        None => CommandError::BaseNotGiven { generation },
    };
    Err(ChangeRefusal {
        error,
        stored: Some(Box::new(current)),
    })
}

fn lose_race(base: u64, current: &ConfigurationEnvelope) -> CommandError {
    CommandError::RaceLost {
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
    let known = current
        .generation()
        .max(revision)
        .max(request.host_generation);
    // Seconds since the epoch keep the generation rising after the store was set back. The order
    // of changes does not depend on clocks: the write takes effect only on the revision read.
    let generation = (known + 1).max(now_ms / 1_000);
    let change = ChangeRecord {
        generation,
        operation_id: format!("{:032x}", rand::rng().random::<u128>()),
        author: request.author,
        applied_unix_ms: now_ms,
    };
    current.succeed(change, request.document)
}

/// Returns the time by the system's clock, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A write whose effect is to be found out.
struct PendingWrite<'a> {
    repository: &'a ConfigurationRepository,
    base: u64,
    expected_revision: u64,
    envelope: ConfigurationEnvelope,
    text: String,
}

impl PendingWrite<'_> {
    /// Sends the write until its effect is certain.
    ///
    /// The same write is sent again with the same expected revision, so that it takes effect at
    /// most once, also when an earlier copy is still on its way. Reading alone would not settle
    /// the matter, because such a copy could take effect after the read.
    async fn settle(&self, deadline: Instant) -> Result<AppliedChange, ChangeRefusal> {
        let mut pause = RetryPause::new(deadline);
        let mut is_unknown = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let error = match self
                .repository
                .write(&self.text, self.expected_revision)
                .await
            {
                Ok(reply) => return self.judge(&reply, attempts, is_unknown),
                Err(error) => error,
            };
            log::warn!("event=write_failed attempt={attempts} reason=\"{error}\"");
            is_unknown |= error.is_effect_unknown();
            if !error.is_transient() || !pause.wait().await {
                return Err(self.give_up(is_unknown, error).into());
            }
        }
    }

    fn give_up(&self, is_unknown: bool, last: StoreError) -> CommandError {
        if !is_unknown {
            return CommandError::NothingChanged(last);
        }
        CommandError::EffectUnknown {
            operation_id: self.envelope.change.operation_id.clone(),
            last,
        }
    }

    /// Tells from the answer to a write what became of it and of its earlier copies.
    fn judge(
        &self,
        reply: &PutReply,
        attempts: u32,
        is_unknown: bool,
    ) -> Result<AppliedChange, ChangeRefusal> {
        let applied = |replaced_by| AppliedChange {
            change: self.envelope.change.clone(),
            replaced_by,
            attempts,
            history_lost: None,
        };
        if reply.applied {
            return Ok(applied(None));
        }
        let value = reply.current.clone().unwrap_or_default();
        let Some(Ok(current)) = StoredConfiguration::from_value(&value).envelope else {
            let last = StoreError::UnreadableAnswer(String::from(
                "the store holds something that is no configuration now",
            ));
            return Err(self.give_up(is_unknown, last).into());
        };
        if current.change == self.envelope.change {
            return Ok(applied(None));
        }
        let operation_id = &self.envelope.change.operation_id;
        if current.find_change(operation_id).is_some() {
            return Ok(applied(Some(current.change)));
        }
        if is_unknown && !current.records_since(self.base) {
            let last = StoreError::AnswerLost(String::from(
                "so many changes followed that the store no longer records this one",
            ));
            return Err(self.give_up(is_unknown, last).into());
        }
        Err(ChangeRefusal {
            error: lose_race(self.base, &current),
            stored: Some(Box::new(current)),
        })
    }
}
