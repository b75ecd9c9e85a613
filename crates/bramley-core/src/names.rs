//! Shared immutable names.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Largest length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Tells whether a text may be a name: 1 to 63 lower-case letters, digits, `-` and `_`.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let length_fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    length_fits && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
}

macro_rules! shared_name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes the name from a text without checking it.
            #[must_use]
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

shared_name! {
    /// Name of an entry host.
    HostName
}

shared_name! {
    /// Name of a failure domain.
    DomainName
}

shared_name! {
    /// Name of a team.
    TeamName
}

shared_name! {
    /// Name of a worker.
    WorkerName
}

shared_name! {
    /// Name of a task class, under which run times are learned.
    ClassName
}

shared_name! {
    /// Name of a rack.
    RackName
}
