//! Drives the dispatch kernel.
//!
//! - [`channel`] carries messages to the task that owns the kernel.
//! - [`construction`] creates the kernel from the settings.
//! - [`kernel_loop`] is the event loop of that task.
//! - [`loans`] borrows slots from other entry processes and returns them.
//! - [`runner`] executes the kernel's actions.

pub mod channel;
pub mod construction;
pub mod kernel_loop;
pub mod loans;
pub mod runner;
