//! Formatting of log records as JSON lines: fixed fields, then the fields of the record.

use std::time::{SystemTime, UNIX_EPOCH};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Formats a record as one line of JSON.
pub fn json(process: &str, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time_ms".to_owned(), wall_ms().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("process".to_owned(), process.into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    let mut fields = Fields(&mut line);
    // inserting into a map does not fail
    let _ = record.key_values().visit(&mut fields);
    Json::Object(line).to_string()
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Returns the wall-clock time in milliseconds since 1970, for display only.
#[must_use]
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|elapsed| u64::try_from(elapsed.as_millis()).ok())
        .unwrap_or(0)
}
