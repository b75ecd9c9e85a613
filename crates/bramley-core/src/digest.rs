//! Fingerprints of submissions.

/// A 128-bit fingerprint of a submission's content.
///
/// A resubmission under the same ticket must have the same fingerprint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyDigest(pub [u8; 16]);

impl BodyDigest {
    /// Computes the fingerprint of fields, each prefixed by its length so that the borders count.
    #[must_use]
    pub fn of_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}
