//! The daemon, laid out by life span: request, connection, version, process.
