//! Settings files: read, parsed and checked whole, whatever process they are for.

use std::path::Path;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Why a settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file could not be read.
    #[display("cannot read {path}: {source}")]
    Read {
        /// The file asked for.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is unknown or of the wrong type.
    #[display("{path}: {source}")]
    Parse {
        /// The file asked for.
        path: String,
        /// What is wrong, with line and key.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its range.
    #[display("{path}: {key} is out of range: {range}")]
    Range {
        /// The file asked for.
        path: String,
        /// The key with its section.
        key: &'static str,
        /// What is allowed.
        range: &'static str,
    },
}

/// A key that is out of its range, and the range.
pub type OutOfRange = (&'static str, &'static str);

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`Error`] names the file and, where there is one, the line and the key.
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

/// Parses and checks the text of a settings file; `name` is told in errors.
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
