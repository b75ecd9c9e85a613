//! Runs every example as a test. Each example asserts its own results.

#[path = "../examples/caller_client.rs"]
mod caller_client;
#[path = "../examples/checked_settings.rs"]
mod checked_settings;
#[path = "../examples/dispatch_kernel.rs"]
mod dispatch_kernel;
#[path = "../examples/membership_kernel.rs"]
mod membership_kernel;
#[path = "../examples/tickets.rs"]
mod tickets;

#[test]
fn caller_client_submits_a_job_and_asks_for_it_again() {
    caller_client::main();
}

#[test]
fn checked_settings_report_each_fault() {
    checked_settings::main();
}

#[test]
fn dispatch_kernel_answers_a_job() {
    dispatch_kernel::main();
}

#[test]
fn membership_kernels_learn_about_each_other() {
    membership_kernel::main();
}

#[test]
fn tickets_are_recognised_again() {
    tickets::main();
}
