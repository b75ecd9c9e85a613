//! The operators' command as a library, so that tests and other programs can embed it.
//!
//! - [`change`] puts a configuration into the store and finds out what became of it.
//! - [`cli`] holds the command line.
//! - [`commands`] runs the commands.
//! - [`control`] calls the control service of entry processes.
//! - [`difference`] compares configurations.
//! - [`error`] holds the closed list of failures with their exit codes.
//! - [`repository`] reads and writes the stored configuration and its history.

pub mod change;
pub mod cli;
pub mod commands;
pub mod control;
pub mod difference;
pub mod error;
pub mod repository;
