//! Panics as lines of the log: standard error may have no reader.

use std::panic::{self, PanicHookInfo};

/// Has each panic of the process logged, beside what is done about it already.
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
