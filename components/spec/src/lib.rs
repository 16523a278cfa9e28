//! Model checker of the core protocol.
