//! Language-model engines: token streams, orders, load reports and cache events.

mod adapter;
pub mod prefix;

use protocol::order::{Role, Wanted};
use serde::{Deserialize, Serialize};

pub use adapter::{EngineClient, Frames};

/// One attempt of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Attempt id, echoed in each frame.
    pub attempt: u64,
    /// Model name.
    pub model: String,
    /// Adapter of the model.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens in the answer, including those before `resume_from`.
    pub max_tokens: u64,
    /// Priority; 9 is the highest.
    pub priority: u8,
    /// Number of tokens that earlier attempts have delivered.
    pub resume_from: u64,
    /// The text of those tokens, which the engine prefills as part of the prompt.
    pub resume_text: String,
    /// The engine from which to fetch the prompt's KV cache, if any.
    pub import: Option<KvSource>,
    /// Whether to stop after one token and keep the KV cache for another engine to import.
    pub export: bool,
}

/// Where a KV cache can be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address of the engine that holds the cache.
    pub address: std::net::SocketAddr,
    /// The attempt that created the cache.
    pub attempt: u64,
    /// Number of tokens that the cache covers.
    pub tokens: u64,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached `max_tokens`.
    Length,
    /// The prompt's KV cache is ready to be imported.
    Exported,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Why the answer ended.
    pub reason: FinishReason,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were in the prefix cache.
    pub cached_tokens: u64,
}

/// One frame of an attempt's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: u64,
    /// Number of answer tokens before this frame.
    pub offset: u64,
    /// Number of tokens in this frame.
    pub tokens: u64,
    /// Text of the tokens.
    pub text: String,
    /// Set on the final frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<Done>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the order, which also is its fencing number.
    pub number: u64,
    /// The state that the engine is to reach.
    pub wanted: Wanted,
}

/// Load report of an engine; already outdated when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random number chosen at each start of the engine.
    pub boot: u64,
    /// The current role and what is loaded.
    pub holds: Wanted,
    /// Whether the engine is unavailable because it is carrying out an order.
    pub changing: bool,
    /// The highest order number accepted.
    pub number: u64,
    /// Number of requests running or queued.
    pub requests: u64,
    /// Number of prompt tokens still to prefill.
    pub waiting_prompt_tokens: u64,
    /// Number of requests being decoded.
    pub writing: u64,
    /// The highest sequence number of the cache events.
    pub cache_sequence: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; there may be gaps.
    pub sequence: u64,
    /// Chained hash of the block, see [`prefix`].
    pub block: u64,
    /// Whether the block was added to the cache; otherwise it was evicted.
    pub held: bool,
}

/// Whether an engine in this role prefills prompts.
#[must_use]
pub fn prefills(role: Role) -> bool {
    matches!(role, Role::Prefill | Role::Mixed)
}

/// Whether an engine in this role decodes answers.
#[must_use]
pub fn decodes(role: Role) -> bool {
    matches!(role, Role::Decode | Role::Mixed)
}
