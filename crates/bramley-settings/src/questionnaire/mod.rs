//! Questions about a deployment, from which its configuration is generated.
//!
//! - [`answers`]: answers, from a file or from interactive prompts, and their validation.
//! - [`generate`]: generation of the configuration, with the origin of each value.
//! - [`prompts`]: interactive prompts for all answers.
//! - [`questions`]: the questions and their help texts.

pub mod answers;
pub mod generate;
pub mod prompts;
pub mod questions;

pub use answers::{DeploymentAnswers, RegionAnswers, TeamAnswers, WorkAnswers, WorkerAnswers};
pub use generate::{GeneratedConfiguration, TraceEntry, generate_configuration};
pub use prompts::{PromptError, prompt_for_answers};
pub use questions::{AnswerKind, QUESTIONS, Question};
