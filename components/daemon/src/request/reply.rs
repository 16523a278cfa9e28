//! Answers in the shape that `OpenAI`'s clients read.

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
    chat::Form,
    generate::{Broken, Piece},
    whole,
};

#[derive(Serialize)]
struct Models<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'a str,
    owned_by: &'a str,
}

/// `GET /v1/models`: the models that the caller's group may use.
pub fn models(version: &resolve::ResolvedTree, caller: &Caller) -> Response<Body> {
    let allowed = &version.groups[caller.group.0].models;
    let data = version
        .models
        .iter()
        .filter(|model| allowed.is_empty() || allowed.contains(&model.name))
        .map(|model| Model {
            id: &model.name,
            object: "model",
            owned_by: &model.service,
        })
        .collect();
    json(&Models {
        object: "list",
        data,
    })
}

/// What all parts of one answer have in common.
#[derive(Debug)]
pub struct Shape {
    form: Form,
    id: String,
    model: String,
    created: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
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
    prompt_tokens_details: Details,
}

#[derive(Serialize)]
struct Details {
    cached_tokens: u64,
}

impl Shape {
    /// The shape of one answer.
    pub fn new(form: Form, request: &str, model: &str) -> Self {
        let prefix = match form {
            Form::Chat => "chatcmpl",
            Form::Text => "cmpl",
        };
        Self {
            form,
            id: format!("{prefix}-{request}"),
            model: model.to_owned(),
            created: telemetry::logs::wall_ms() / 1_000,
        }
    }

    /// One part of a streamed answer.
    pub fn event(&self, piece: &Piece) -> Bytes {
        event(&self.part(&piece.text, None, None))
    }

    /// The last part of a streamed answer, with its usage and the mark of a whole stream.
    pub fn last_event(&self, piece: &Piece, written: u64) -> Bytes {
        let mut bytes = Vec::new();
        if let Some(done) = piece.done {
            let usage = Some(usage(done, written));
            bytes.extend_from_slice(&event(&self.part(&piece.text, Some(finish(done)), usage)));
        }
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes.into()
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, done: Done, written: u64) -> Response<Body> {
        let (object, message, plain) = match self.form {
            Form::Chat => ("chat.completion", Some(message(text)), None),
            Form::Text => ("text_completion", None, Some(text)),
        };
        json(&self.answer(
            object,
            Choice {
                index: 0,
                message,
                delta: None,
                text: plain,
                finish_reason: Some(finish(done)),
            },
            Some(usage(done, written)),
        ))
    }

    fn part<'a>(
        &'a self,
        text: &'a str,
        finish_reason: Option<&'a str>,
        usage: Option<Usage>,
    ) -> Answer<'a> {
        let (object, delta, plain) = match self.form {
            Form::Chat => ("chat.completion.chunk", Some(message(text)), None),
            Form::Text => ("text_completion", None, Some(text)),
        };
        self.answer(
            object,
            Choice {
                index: 0,
                message: None,
                delta,
                text: plain,
                finish_reason,
            },
            usage,
        )
    }

    fn answer<'a>(
        &'a self,
        object: &'a str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Answer<'a> {
        Answer {
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

fn finish(done: Done) -> &'static str {
    match done.reason {
        FinishReason::Stop => "stop",
        FinishReason::Length | FinishReason::Exported => "length",
    }
}

fn usage(done: Done, written: u64) -> Usage {
    Usage {
        prompt_tokens: done.prompt_tokens,
        completion_tokens: written,
        total_tokens: done.prompt_tokens + written,
        prompt_tokens_details: Details {
            cached_tokens: done.cached_tokens,
        },
    }
}

fn event<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    // plain fields always have a JSON form, and memory takes any length
    let _ = serde_json::to_writer(&mut bytes, value);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// The event that tells of an answer that can't be finished.
pub fn error_event(broken: &Broken) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    bytes.extend_from_slice(&broken.refusal().json(&broken.request));
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// An answer of events.
pub fn events(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, no_cache);
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    // plain fields always have a JSON form
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
