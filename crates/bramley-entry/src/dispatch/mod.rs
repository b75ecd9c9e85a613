//! Drives the dispatch kernel.
//!
//! - [`channel`] carries messages from all threads to the task that owns the kernel.
//! - [`construction`] makes the kernel from the settings.
//! - [`kernel_loop`] is that task.
//! - [`loans`] borrows slots from other entry processes.
//! - [`runner`] carries out what the kernel asks for.

pub mod channel;
pub mod construction;
pub mod kernel_loop;
pub mod loans;
pub mod runner;
