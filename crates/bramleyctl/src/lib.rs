//! The command-line tool for operators as a library, so that tests and other programs can embed it.
//!
//! - [`change`] writes a configuration to the store and determines the outcome of the write.
//! - [`cli`] defines the command-line arguments.
//! - [`commands`] runs the commands.
//! - [`control`] is a client of the control service of entry processes.
//! - [`difference`] compares configurations.
//! - [`error`] defines all errors and their exit codes.
//! - [`repository`] reads and writes the stored configuration and its history.

pub mod change;
pub mod cli;
pub mod commands;
pub mod control;
pub mod difference;
pub mod error;
pub mod repository;
