//! Output for operators.

use std::process::ExitCode;

use serde::Serialize;
use wire::{CommitReply, Conflict, Edit, Event, StatusReply};

use crate::error::Error;

/// Exit code of a command that was refused or failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command that succeeded in part, or whose outcome is not known.
pub const EXIT_PARTIAL_OR_UNKNOWN: u8 = 3;

/// Prints why a command failed and returns the exit code.
pub fn report_error(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_FAILED)
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    // values of this client can always be serialized
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

/// Prints one line.
pub fn print_line(text: impl std::fmt::Display) {
    println!("{text}");
}

/// Prints the outcome of a change and returns the exit code.
pub fn report_commit(reply: &CommitReply, dry_run: bool) -> ExitCode {
    match reply {
        CommitReply { unknown: true, .. } => {
            eprintln!("it is not known whether the change was accepted");
            print_problems(reply);
            ExitCode::from(EXIT_PARTIAL_OR_UNKNOWN)
        }
        CommitReply {
            conflict: Some(winner),
            ..
        } => {
            eprintln!("not accepted: another change was committed first");
            eprintln!("{}", format_change(winner));
            ExitCode::from(EXIT_FAILED)
        }
        reply if !reply.problems.is_empty() => {
            eprintln!("not accepted:");
            print_problems(reply);
            ExitCode::from(EXIT_FAILED)
        }
        _ if dry_run => {
            println!("the change would be accepted");
            ExitCode::SUCCESS
        }
        reply => {
            println!("accepted as version {}", reply.version);
            ExitCode::SUCCESS
        }
    }
}

fn print_problems(reply: &CommitReply) {
    for problem in &reply.problems {
        eprintln!("  {problem}");
    }
}

/// Formats an accepted change, with a line for each edit.
pub fn format_change(change: &Conflict) -> String {
    let edits: Vec<String> = change.edits.iter().map(format_edit).collect();
    format!(
        "version {} by {}\n{}",
        change.version,
        change.operator,
        edits.join("\n")
    )
}

/// Formats an edit of a change.
pub fn format_edit(edit: &Edit) -> String {
    match &edit.value {
        _ if edit.remove_node => format!("  remove {}", edit.path),
        Some(value) => format!("  set {} {}={value}", edit.path, edit.key),
        None => format!("  unset {} {}", edit.path, edit.key),
    }
}

/// Prints the state of the fleet as one daemon sees it.
pub fn print_status(status: &StatusReply) {
    let store = if status.store_up {
        "answers"
    } else {
        "does not answer"
    };
    println!("table service: {store}");
    println!("settings: version {}", status.settings_version);
    println!("\ndaemons:");
    for daemon in &status.daemons {
        let member = daemon.member.clone().unwrap_or_default();
        let state = match (daemon.answered, daemon.leaving) {
            (false, _) => "silent",
            (true, true) => "leaving",
            (true, false) => "serving",
        };
        println!(
            "  {:016x} {} {} version {} {state}",
            member.incarnation, member.data_centre, member.address, daemon.settings_version
        );
    }
    println!("\nendpoints:");
    for endpoint in &status.endpoints {
        println!(
            "  {}/{} {} {} {} in flight {} report {} ms old",
            endpoint.data_centre,
            endpoint.endpoint,
            endpoint.service,
            endpoint.role,
            endpoint.state,
            endpoint.in_flight,
            endpoint.report_age_ms
        );
    }
    println!("\nstewards:");
    for steward in &status.stewards {
        println!(
            "  {} in {}: {:016x}, epoch {}",
            steward.service, steward.data_centre, steward.holder, steward.epoch
        );
    }
}

/// Formats an event of the timeline.
pub fn format_event(event: &Event) -> String {
    format!(
        "{}.{:03} {:016x} {} {} {} {}",
        event.physical_ms,
        event.logical,
        event.incarnation,
        event.process,
        event.kind,
        event.subject,
        event.detail
    )
}
