//! `POST /v1/chat/completions` and `/v1/completions`, as `OpenAI`'s clients send them.

use endpoint::engine::prefix;
use hyper::{Request, Response, body::Incoming};
use serde::Deserialize;
use settings::tree::resolve::{self, RetryPolicy};
use telemetry::timeline::Kind;

use super::{
    Body, Context, body,
    caller::Caller,
    events::Events,
    generate::{Job, Piece, Stream},
    refusal::{Reason, Refusal},
    reply::{self, Shape},
};
use crate::process::pool::Requirements;

/// Which of the two paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Messages in, a message out.
    Chat,
    /// A text in, a text out.
    Text,
}

/// Tokens that are written when the caller names no bound.
const USUAL_TOKENS: u64 = 512;
const MOST_TOKENS: u64 = 1 << 20;

#[derive(Debug, Deserialize)]
struct Asked {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    prompt: Option<String>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    text: String,
}

/// Serves one completion.
pub async fn serve(
    mut context: Context,
    caller: Caller,
    form: Form,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let bytes = body::read(&mut context, request.into_body()).await?;
    let asked: Asked = serde_json::from_slice(&bytes).map_err(|error| match error.classify() {
        serde_json::error::Category::Data => {
            Reason::BadBody("a field is missing or of a wrong type")
        }
        _ => Reason::BadBody("it is not valid JSON"),
    })?;
    let model = model(&context.version.typed, &caller, &asked.model)?.clone();
    let prompt = prompt(&asked, form)?;
    let most = asked
        .max_completion_tokens
        .or(asked.max_tokens)
        .unwrap_or(USUAL_TOKENS);
    if !(1..=MOST_TOKENS).contains(&most) {
        return Err(Reason::BadBody("max_tokens is out of its range").into());
    }
    let shape = Shape::new(form, &context.id, &asked.model);
    let streamed = asked.stream;
    let job = job(context, caller, &model, prompt, most)?;
    let mut stream = Stream::new(job);
    let first = stream.next().await.map_err(|broken| broken.refusal())?;
    if streamed {
        let events = Events::new(shape, stream, first);
        Ok(reply::events(super::streamed(events.parts())))
    } else {
        whole_reply(&shape, stream, first).await
    }
}

fn model<'a>(
    version: &'a resolve::ResolvedTree,
    caller: &Caller,
    name: &str,
) -> Result<&'a resolve::Model, Refusal> {
    let allowed = &version.groups[caller.group.0].models;
    let may = allowed.is_empty() || allowed.iter().any(|other| other == name);
    version
        .model(name)
        .filter(|_| may)
        .ok_or_else(|| Reason::UnknownModel.into())
}

fn prompt(asked: &Asked, form: Form) -> Result<String, Refusal> {
    match form {
        Form::Text => asked
            .prompt
            .clone()
            .ok_or_else(|| Reason::BadBody("prompt is missing").into()),
        Form::Chat if asked.messages.is_empty() => {
            Err(Reason::BadBody("messages are missing").into())
        }
        Form::Chat => Ok(asked.messages.iter().map(said).collect()),
    }
}

fn said(message: &Message) -> String {
    let text = match &message.content {
        Content::Text(text) => text.clone(),
        Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
    };
    format!("{}: {text}\n", message.role)
}

fn job(
    context: Context,
    caller: Caller,
    model: &resolve::Model,
    prompt: String,
    most: u64,
) -> Result<Job, Refusal> {
    let pool = context
        .process
        .pool(&model.service)
        .ok_or(Reason::UnknownService)?;
    let repeat = context
        .version
        .typed
        .service(&model.service)
        .map_or(RetryPolicy::Never, |service| service.retry_policy);
    let weights = format!("{}/{}/{}", model.name, model.adapter, model.version);
    let need = Requirements {
        group: caller.group,
        blocks: prefix::block_hashes(&weights, &prompt),
        model: (
            model.name.clone(),
            model.adapter.clone(),
            model.version.clone(),
        ),
        prompt_tokens: prefix::estimate_tokens(&prompt),
        max_output_tokens: most,
        priority: caller.priority,
        deadline: caller.deadline,
        start_by: caller.start_by,
        avoid: Vec::new(),
    };
    context.note(
        Kind::Admitted,
        format!("{} for {}", model.name, need.group.1),
    );
    Ok(Job {
        context,
        pool,
        need,
        prompt,
        repeat,
    })
}

async fn whole_reply(
    shape: &Shape,
    mut stream: Stream,
    first: Piece,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut piece = first;
    loop {
        text.push_str(&piece.text);
        if let Some(done) = piece.done {
            return Ok(shape.whole(&text, done, stream.written()));
        }
        piece = stream.next().await.map_err(|broken| broken.refusal())?;
    }
}
