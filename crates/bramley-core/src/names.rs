//! Name types with cheap clones that share one allocation.

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns whether a text is a valid name: 1 to 63 lower-case ASCII letters, digits, `-` and `_`.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let length_fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    length_fits && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
}

/// Defines an immutable name type backed by `Arc<str>`. The calling crate must depend on `serde`.
#[macro_export]
macro_rules! arc_str_name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name from a text without validating it.
            #[must_use]
            pub fn new(text: impl Into<std::sync::Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(std::sync::Arc::from(text))
            }
        }
    };
}

arc_str_name! {
    /// Name of an entry host.
    HostName
}

arc_str_name! {
    /// Name of a failure domain.
    DomainName
}

arc_str_name! {
    /// Name of a team.
    TeamName
}

arc_str_name! {
    /// Name of a worker.
    WorkerName
}

arc_str_name! {
    /// Name of a task class; run times are estimated per class.
    ClassName
}

arc_str_name! {
    /// Name of a rack.
    RackName
}
