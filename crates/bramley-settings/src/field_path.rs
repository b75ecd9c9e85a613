//! Paths of values in a settings file.

use std::fmt;

use serde_path_to_error::{Path, Segment};

/// One component of a path.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FieldStep {
    /// Name of an object field.
    Field(String),
    /// Index of a list element, counted from 0.
    Index(usize),
}

/// Path from the root of a file to a value, formatted like `teams[0].classes[2].name`.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FieldPath(pub Vec<FieldStep>);

impl FieldPath {
    /// Parses a formatted path. An index that is not a number is treated as a field name.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut steps = Vec::new();
        for part in text.split(['.', '[']).filter(|part| !part.is_empty()) {
            let index = part
                .strip_suffix(']')
                .and_then(|digits| digits.parse().ok());
            steps.push(match index {
                Some(index) => FieldStep::Index(index),
                None => FieldStep::Field(String::from(part)),
            });
        }
        Self(steps)
    }

    /// Returns the path of a field of the value at this path.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        self.join(FieldStep::Field(String::from(name)))
    }

    /// Returns the path of a list element of the value at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.join(FieldStep::Index(index))
    }

    fn join(&self, step: FieldStep) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    /// Returns whether this path is `outer` or a path below it.
    #[must_use]
    pub fn is_within(&self, outer: &Self) -> bool {
        self.0.starts_with(&outer.0)
    }
}

impl From<&Path> for FieldPath {
    fn from(path: &Path) -> Self {
        let mut steps = Vec::new();
        for segment in path {
            match segment {
                Segment::Seq { index } => steps.push(FieldStep::Index(*index)),
                Segment::Map { key } => steps.push(FieldStep::Field(key.clone())),
                Segment::Enum { variant } => steps.push(FieldStep::Field(variant.clone())),
                Segment::Unknown => {}
            }
        }
        Self(steps)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("(whole file)");
        }
        for (position, step) in self.0.iter().enumerate() {
            match step {
                FieldStep::Index(index) => write!(f, "[{index}]")?,
                FieldStep::Field(name) if position == 0 => f.write_str(name)?,
                FieldStep::Field(name) => write!(f, ".{name}")?,
            }
        }
        Ok(())
    }
}
