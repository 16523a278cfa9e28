//! A language-model engine: streams of tokens, orders, load reports and cache events.

mod adapter;
pub mod prefix;

use protocol::order::{Role, Wanted};
use serde::{Deserialize, Serialize};

pub use adapter::{Engine, Frames};

/// A request to an engine, one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The attempt, echoed on each frame.
    pub attempt: u64,
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// The version.
    pub version: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to write, those before `resume_from` included.
    pub max_tokens: u64,
    /// Priority; 9 goes first.
    pub priority: u8,
    /// Tokens that an earlier attempt has delivered.
    pub resume_from: u64,
    /// The text of those tokens, which the engine reads as part of the prompt.
    pub resume_text: String,
    /// The KV cache of the prompt on another engine, to be fetched from there.
    pub import: Option<KvSource>,
    /// Whether to keep the KV cache for another engine to import, and to stop after one token.
    pub export: bool,
}

/// Where a KV cache can be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// The engine that holds it.
    pub address: std::net::SocketAddr,
    /// The attempt that made it.
    pub attempt: u64,
    /// How many tokens it covers.
    pub tokens: u64,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached `max_tokens`.
    Length,
    /// The prompt's KV cache is ready to be imported.
    Exported,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Why it ended.
    pub reason: FinishReason,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the prefix cache held.
    pub cached_tokens: u64,
}

/// One frame of an attempt's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that it belongs to.
    pub attempt: u64,
    /// Tokens of the answer before this frame.
    pub offset: u64,
    /// Tokens in this frame.
    pub tokens: u64,
    /// Their text.
    pub text: String,
    /// Set on the final frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<Done>,
}

/// An order, with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its number, which is its fencing number.
    pub number: u64,
    /// The end that it wants.
    pub wanted: Wanted,
}

/// What an engine says of itself; old when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random at each start of the engine.
    pub boot: u64,
    /// Its role and what is loaded.
    pub holds: Wanted,
    /// Whether it is away for a change.
    pub changing: bool,
    /// The highest order number taken.
    pub number: u64,
    /// Requests running or waiting.
    pub requests: u64,
    /// Prompt tokens still to read.
    pub waiting_prompt_tokens: u64,
    /// Requests writing tokens.
    pub writing: u64,
    /// The highest sequence number of its cache events.
    pub cache_sequence: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its sequence number; gaps happen.
    pub sequence: u64,
    /// The block's chained hash, see [`prefix`].
    pub block: u64,
    /// Whether the block is now held.
    pub held: bool,
}

/// Whether an engine in this role reads prompts.
#[must_use]
pub fn prefills(role: Role) -> bool {
    matches!(role, Role::Prefill | Role::Mixed)
}

/// Whether an engine in this role writes answers.
#[must_use]
pub fn decodes(role: Role) -> bool {
    matches!(role, Role::Decode | Role::Mixed)
}
