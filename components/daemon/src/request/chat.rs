//! `POST /v1/chat/completions` and `/v1/completions`, compatible with `OpenAI`'s API.

use endpoint::engine::prefix;
use hyper::{Request, Response, body::Incoming};
use serde::Deserialize;
use settings::tree::resolve::{self, RetryPolicy};
use telemetry::timeline::Kind;

use super::{
    Body, Context, body,
    caller::Caller,
    events::Events,
    generate::{Chunk, Job, Stream},
    refusal::{Reason, Refusal},
    reply::{self, Envelope},
};
use crate::process::pool::Requirements;

/// API that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`: from messages to a message.
    Chat,
    /// `/v1/completions`: from a text to a text.
    Text,
}

/// Limit on the tokens of an answer if the caller sets none.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// Largest limit that a caller may set.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

#[derive(Debug, Deserialize)]
struct CompletionRequest {
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

/// Serves a completion request.
pub async fn serve(
    mut context: Context,
    caller: Caller,
    api: Api,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let bytes = body::read(&mut context, request.into_body()).await?;
    let completion: CompletionRequest =
        serde_json::from_slice(&bytes).map_err(|error| match error.classify() {
            serde_json::error::Category::Data => {
                Reason::BadBody("a field is missing or of a wrong type")
            }
            _ => Reason::BadBody("it is not valid JSON"),
        })?;
    let model = find_model(&context.version.resolved, &caller, &completion.model)?.clone();
    let prompt = render_prompt(&completion, api)?;
    let max_tokens = completion
        .max_completion_tokens
        .or(completion.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Err(Reason::BadBody("max_tokens is out of its range").into());
    }
    let envelope = Envelope::new(api, &context.id, &completion.model);
    let streamed = completion.stream;
    let job = build_job(context, caller, &model, prompt, max_tokens)?;
    let mut stream = Stream::new(job);
    let first = stream.next().await.map_err(|aborted| aborted.refusal())?;
    if streamed {
        let events = Events::new(envelope, stream, first);
        Ok(reply::event_stream(super::stream_body(
            events.into_stream(),
        )))
    } else {
        collect_reply(&envelope, stream, first).await
    }
}

fn find_model<'a>(
    version: &'a resolve::ResolvedTree,
    caller: &Caller,
    name: &str,
) -> Result<&'a resolve::Model, Refusal> {
    let allowed = &version.groups[caller.group.0].models;
    let is_allowed = allowed.is_empty() || allowed.iter().any(|allowed_name| allowed_name == name);
    version
        .model(name)
        .filter(|_| is_allowed)
        .ok_or_else(|| Reason::UnknownModel.into())
}

fn render_prompt(completion: &CompletionRequest, api: Api) -> Result<String, Refusal> {
    match api {
        Api::Text => completion
            .prompt
            .clone()
            .ok_or_else(|| Reason::BadBody("prompt is missing").into()),
        Api::Chat if completion.messages.is_empty() => {
            Err(Reason::BadBody("messages are missing").into())
        }
        Api::Chat => Ok(completion.messages.iter().map(render_message).collect()),
    }
}

fn render_message(message: &Message) -> String {
    let text = match &message.content {
        Content::Text(text) => text.clone(),
        Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
    };
    format!("{}: {text}\n", message.role)
}

fn build_job(
    context: Context,
    caller: Caller,
    model: &resolve::Model,
    prompt: String,
    max_tokens: u64,
) -> Result<Job, Refusal> {
    let pool = context
        .process
        .pool(&model.service)
        .ok_or(Reason::UnknownService)?;
    let retry_policy = context
        .version
        .resolved
        .service(&model.service)
        .map_or(RetryPolicy::Never, |service| service.retry_policy);
    let model_id = format!("{}/{}/{}", model.name, model.adapter, model.version);
    let requirements = Requirements {
        group: caller.group,
        blocks: prefix::block_hashes(&model_id, &prompt),
        model: (
            model.name.clone(),
            model.adapter.clone(),
            model.version.clone(),
        ),
        prompt_tokens: prefix::estimate_tokens(&prompt),
        received_tokens: 0,
        max_output_tokens: max_tokens,
        priority: caller.priority,
        deadline: caller.deadline,
        start_by: caller.start_by,
        avoid: Vec::new(),
    };
    context.record(
        Kind::Admitted,
        format!("{} for {}", model.name, requirements.group.1),
    );
    Ok(Job {
        context,
        pool,
        requirements,
        prompt,
        retry_policy,
    })
}

async fn collect_reply(
    envelope: &Envelope,
    mut stream: Stream,
    first: Chunk,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut chunk = first;
    loop {
        text.push_str(&chunk.text);
        if let Some(done) = chunk.done {
            return Ok(envelope.full_response(&text, done, stream.tokens_delivered()));
        }
        chunk = stream.next().await.map_err(|aborted| aborted.refusal())?;
    }
}
