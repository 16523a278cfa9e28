//! Client for the operator interface of a daemon.

use tonic::transport::Channel;
use wire::{
    CommitReply, CommitRequest, Edit, LogReply, LogRequest, OrderReply, OrderRequest, ReadRequest,
    StatusReply, StatusRequest, TimelineReply, TimelineRequest, Tree,
    operator_client::OperatorClient,
};

use crate::{cli::Options, error::Error};

/// A connection to a daemon, authenticated by the operator's token.
pub struct Client {
    inner: OperatorClient<Channel>,
    token: String,
}

impl Client {
    /// Connects to the daemon given in the options.
    pub async fn connect(options: &Options) -> Result<Self, Error> {
        let token = read_token(options)?;
        let address = options.daemon;
        let inner = OperatorClient::connect(format!("http://{address}"))
            .await
            .map_err(|source| Error::Unreachable { address, source })?
            .max_decoding_message_size(wire::MAX_MESSAGE_BYTES);
        Ok(Self { inner, token })
    }

    /// Reads the tree in force at the daemon.
    pub async fn read(&mut self) -> Result<Tree, Error> {
        let token = self.token.clone();
        Ok(self.inner.read(ReadRequest { token }).await?.into_inner())
    }

    /// Commits a change, or only checks it with `dry_run`.
    pub async fn commit(
        &mut self,
        base: u64,
        edits: Vec<Edit>,
        dry_run: bool,
    ) -> Result<CommitReply, Error> {
        let request = CommitRequest {
            token: self.token.clone(),
            base,
            edits,
            dry_run,
            operator: std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        };
        Ok(self.inner.commit(request).await?.into_inner())
    }

    /// Reads the accepted changes, starting with a version.
    pub async fn log(&mut self, from: u64) -> Result<LogReply, Error> {
        let token = self.token.clone();
        let request = LogRequest { token, from, to: 0 };
        Ok(self.inner.log(request).await?.into_inner())
    }

    /// Reads the state of the fleet as the daemon sees it.
    pub async fn status(&mut self) -> Result<StatusReply, Error> {
        let token = self.token.clone();
        Ok(self
            .inner
            .status(StatusRequest { token })
            .await?
            .into_inner())
    }

    /// Requests an order to an engine, which its steward carries out.
    pub async fn order(&mut self, mut request: OrderRequest) -> Result<OrderReply, Error> {
        request.token.clone_from(&self.token);
        Ok(self.inner.order(request).await?.into_inner())
    }

    /// Reads the events of all daemons.
    pub async fn timeline(
        &mut self,
        subject: String,
        since_ms: u64,
    ) -> Result<TimelineReply, Error> {
        let request = TimelineRequest {
            token: self.token.clone(),
            subject,
            since_ms,
            local: false,
        };
        Ok(self.inner.timeline(request).await?.into_inner())
    }
}

fn read_token(options: &Options) -> Result<String, Error> {
    match &options.token_file {
        Some(path) => std::fs::read_to_string(path)
            .map(|token| token.trim().to_owned())
            .map_err(|source| Error::Read {
                path: path.display().to_string(),
                source,
            }),
        None => std::env::var("WRENRAMP_TOKEN").map_err(|_| Error::NoToken),
    }
}
