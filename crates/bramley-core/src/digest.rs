//! Digests of submissions.

/// A 128-bit digest of the content of a submission or document.
///
/// A resubmission under the same ticket must have the same digest.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ContentDigest(pub [u8; 16]);

impl ContentDigest {
    /// Computes the digest of a list of fields. Each is prefixed with its length, so that moving
    /// bytes between adjacent fields changes the digest.
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
