//! Reads, parses and validates a settings file of any process.

use std::path::Path;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Why a settings file could not be read or was rejected.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file could not be read.
    #[display("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is unknown or of the wrong type.
    #[display("{path}: {source}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parser's error, with line and key.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its permitted range.
    #[display("{path}: {key} is out of range: {range}")]
    Range {
        /// Path of the file.
        path: String,
        /// The key with its section, such as `limits.connections`.
        key: &'static str,
        /// Description of the permitted range.
        range: &'static str,
    },
}

/// A key whose value is out of range, and a description of the permitted range.
pub type OutOfRange = (&'static str, &'static str);

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// [`Error`] names the file and, if known, the line and the key.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    validate: impl Fn(&T) -> Option<OutOfRange>,
) -> Result<T, Error> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: name.clone(),
        source,
    })?;
    parse(&text, &name, validate)
}

/// Parses and validates the text of a settings file; errors name it as `name`.
///
/// # Errors
///
/// [`Error`] as for [`load`].
pub fn parse<T: DeserializeOwned>(
    text: &str,
    name: &str,
    validate: impl Fn(&T) -> Option<OutOfRange>,
) -> Result<T, Error> {
    let settings = toml::from_str(text).map_err(|source| Error::Parse {
        path: name.to_owned(),
        source: Box::new(source),
    })?;
    match validate(&settings) {
        Some((key, range)) => Err(Error::Range {
            path: name.to_owned(),
            key,
            range,
        }),
        None => Ok(settings),
    }
}
