//! Asks about a deployment and generates its configuration.
//!
//! - [`answers`] holds the answers, as a file or an interview gives them.
//! - [`generate`] makes the configuration and traces each value to its answers.
//! - [`interview`] asks the questions one by one.
//! - [`questions`] holds the questions with their help.

pub mod answers;
pub mod generate;
pub mod interview;
pub mod questions;

pub use answers::{DeploymentAnswers, RegionAnswers, TeamAnswers, WorkAnswers, WorkerAnswers};
pub use generate::{GeneratedConfiguration, TraceEntry, generate_configuration};
pub use interview::{InterviewError, hold_interview};
pub use questions::{AnswerKind, QUESTIONS, Question};
