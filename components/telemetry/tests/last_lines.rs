//! Lines logged just before a process exits, and its panics, must reach its standard output.

use std::process::{Command, Output};

/// Environment variable that marks the child process, which logs.
const CHILD_ENV: &str = "LOGS_AND_ENDS";

/// Runs one of the tests below in a child process.
fn run_in_child(test: &str) -> Output {
    let program = std::env::current_exe().expect("the test's own program");
    Command::new(program)
        .args(["--exact", test, "--nocapture", "--test-threads", "1"])
        .env(CHILD_ENV, "yes")
        .output()
        .expect("the program runs")
}

fn lines(output: &Output, message: &str) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text.lines().filter(|line| line.contains(message));
    lines.map(ToOwned::to_owned).collect()
}

fn is_child() -> bool {
    std::env::var_os(CHILD_ENV).is_some()
}

/// More lines than the writer thread writes at once.
const LINES: usize = 1_000;

#[test]
fn lines_logged_last_are_written_before_the_process_exits() {
    if is_child() {
        let _logs = telemetry::logs::start("child", log::LevelFilter::Info).expect("one log");
        for number in 0..LINES {
            log::info!(target: "gateway", number; "one of many");
        }
        return;
    }
    let output = run_in_child("lines_logged_last_are_written_before_the_process_exits");
    assert_eq!(lines(&output, "one of many").len(), LINES);
}

#[test]
fn a_panic_is_logged_with_its_location() {
    if is_child() {
        let _logs = telemetry::logs::start("child", log::LevelFilter::Info).expect("one log");
        let task = std::thread::spawn(|| panic!("a test panic"));
        task.join().expect_err("it panics");
        return;
    }
    let output = run_in_child("a_panic_is_logged_with_its_location");
    let lines = lines(&output, "a task panicked");
    assert_eq!(lines.len(), 1, "{output:?}");
    assert!(lines[0].contains("a test panic"), "{lines:?}");
    assert!(lines[0].contains("last_lines.rs"), "{lines:?}");
}
