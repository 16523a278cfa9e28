//! Responses in the format of `OpenAI`'s API.

use bytes::Bytes;
use endpoint::engine::{Done, FinishReason};
use hyper::{
    Response,
    header::{self, HeaderValue},
};
use serde::Serialize;
use settings::tree::resolve;

use super::{
    Body,
    caller::Caller,
    chat::Api,
    full_body,
    generate::{Aborted, Chunk},
};

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    owned_by: &'a str,
}

/// `GET /v1/models`: lists the models that the caller's group may use.
pub fn models(version: &resolve::ResolvedTree, caller: &Caller) -> Response<Body> {
    let allowed = &version.groups[caller.group.0].models;
    let data = version
        .models
        .iter()
        .filter(|model| allowed.is_empty() || allowed.contains(&model.name))
        .map(|model| ModelEntry {
            id: &model.name,
            object: "model",
            owned_by: &model.service,
        })
        .collect();
    json_response(&ModelList {
        object: "list",
        data,
    })
}

/// Fields that all chunks of one answer have in common.
#[derive(Debug)]
pub struct Envelope {
    api: Api,
    id: String,
    model: String,
    created: u64,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Serialize)]
struct PromptTokensDetails {
    cached_tokens: u64,
}

impl Envelope {
    /// Creates the common fields of one answer.
    pub fn new(api: Api, request: &str, model: &str) -> Self {
        let prefix = match api {
            Api::Chat => "chatcmpl",
            Api::Text => "cmpl",
        };
        Self {
            api,
            id: format!("{prefix}-{request}"),
            model: model.to_owned(),
            created: telemetry::logs::wall_ms() / 1_000,
        }
    }

    /// Encodes a chunk of a streamed answer.
    pub fn event(&self, chunk: &Chunk) -> Bytes {
        sse_event(&self.chunk(&chunk.text, None, None))
    }

    /// Encodes the last chunk of a streamed answer, with its usage, followed by `[DONE]`, which
    /// marks the stream as complete.
    pub fn last_event(&self, chunk: &Chunk, completion_tokens: u64) -> Bytes {
        let mut bytes = Vec::new();
        if let Some(done) = chunk.done {
            let usage = Some(usage(done, completion_tokens));
            bytes.extend_from_slice(&sse_event(&self.chunk(
                &chunk.text,
                Some(finish_reason(done)),
                usage,
            )));
        }
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes.into()
    }

    /// Builds the response of an answer that isn't streamed.
    pub fn full_response(&self, text: &str, done: Done, completion_tokens: u64) -> Response<Body> {
        let (object, message, completion_text) = match self.api {
            Api::Chat => ("chat.completion", Some(message(text)), None),
            Api::Text => ("text_completion", None, Some(text)),
        };
        json_response(&self.completion(
            object,
            Choice {
                index: 0,
                message,
                delta: None,
                text: completion_text,
                finish_reason: Some(finish_reason(done)),
            },
            Some(usage(done, completion_tokens)),
        ))
    }

    fn chunk<'a>(
        &'a self,
        text: &'a str,
        finish_reason: Option<&'a str>,
        usage: Option<Usage>,
    ) -> Completion<'a> {
        let (object, delta, completion_text) = match self.api {
            Api::Chat => ("chat.completion.chunk", Some(message(text)), None),
            Api::Text => ("text_completion", None, Some(text)),
        };
        self.completion(
            object,
            Choice {
                index: 0,
                message: None,
                delta,
                text: completion_text,
                finish_reason,
            },
            usage,
        )
    }

    fn completion<'a>(
        &'a self,
        object: &'a str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Completion<'a> {
        Completion {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

fn message(content: &str) -> Message<'_> {
    Message {
        role: "assistant",
        content,
    }
}

fn finish_reason(done: Done) -> &'static str {
    match done.reason {
        FinishReason::Stop => "stop",
        FinishReason::Length | FinishReason::Exported => "length",
    }
}

fn usage(done: Done, completion_tokens: u64) -> Usage {
    Usage {
        prompt_tokens: done.prompt_tokens,
        completion_tokens,
        total_tokens: done.prompt_tokens + completion_tokens,
        prompt_tokens_details: PromptTokensDetails {
            cached_tokens: done.cached_tokens,
        },
    }
}

fn sse_event<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    // strings and integers always serialize, and writing to a `Vec` can't fail
    let _ = serde_json::to_writer(&mut bytes, value);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Encodes the error event that is sent when an answer is aborted.
pub fn error_event(aborted: &Aborted) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    bytes.extend_from_slice(&aborted.refusal().json(&aborted.request));
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Builds a response of server-sent events.
pub fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, content_type);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, no_cache);
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    // strings and integers always serialize
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
