//! Panics as log lines, since standard error may not be read by anyone.

use std::panic::{self, PanicHookInfo};

/// Installs a panic hook that logs each panic and then calls the previous hook.
pub fn install_hook() {
    let previous_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string);
        log::error!(location, cause = cause(info); "a task panicked");
        previous_hook(info);
    }));
}

fn cause<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no words")
}
