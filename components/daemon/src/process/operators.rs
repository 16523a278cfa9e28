//! The server for calls from operators.

use std::sync::Arc;

use cloud::table::{Outcome, Read, Transaction};
use protocol::order::{Role, Wanted};
use settings::tree::{Change, Edit, Problem, Tree, resolve};
use telemetry::timeline::Kind;
use tonic::{Request, Response, Status};
use wire::{
    CommitReply, CommitRequest, Conflict, LogReply, LogRequest, OrderReply, OrderRequest,
    ReadRequest, StatusReply, StatusRequest, TimelineReply, TimelineRequest,
    operator_server::Operator,
};

use super::{
    Phase, Process, orders,
    settings_sync::{self, HEAD_KEY, Head, NODE_PREFIX},
    store::{self, by_keys},
};

/// The operators' service.
pub struct Operators(pub Arc<Process>);

/// Maximum number of attempts to commit a change that names no base version, when other changes are committed
/// in between.
const MAX_COMMIT_ATTEMPTS: u32 = 8;
/// Maximum number of changes in one reply.
const MAX_LOG_CHANGES: u64 = 200;
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

impl Operators {
    fn authenticate(&self, token: &str) -> Result<(), Status> {
        let digest = &self.0.settings.daemon.operator_token_sha256;
        if resolve::secret_matches(token, digest) {
            Ok(())
        } else {
            Err(Status::unauthenticated("the operator's token is wrong"))
        }
    }

    fn current_settings(&self) -> Result<Arc<crate::version::Snapshot>, Status> {
        self.0
            .current
            .get()
            .ok_or_else(|| Status::unavailable("this daemon has no settings yet"))
    }
}

#[tonic::async_trait]
impl Operator for Operators {
    async fn read(&self, request: Request<ReadRequest>) -> Result<Response<wire::Tree>, Status> {
        self.authenticate(&request.get_ref().token)?;
        Ok(Response::new(settings_sync::to_wire(
            &self.current_settings()?.tree,
        )))
    }

    async fn commit(
        &self,
        request: Request<CommitRequest>,
    ) -> Result<Response<CommitReply>, Status> {
        self.authenticate(&request.get_ref().token)?;
        let request = request.into_inner();
        let edits: Vec<Edit> = request.edits.iter().map(edit_from_wire).collect();
        if !settings_sync::update_from_table(&self.0).await {
            return Err(Status::unavailable(
                "the table service does not answer; nothing was changed, try again later",
            ));
        }
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let current = self.current_settings()?;
            if request.base != 0 && request.base != current.tree.version {
                return Ok(Response::new(
                    conflict_reply(&self.0, request.base + 1).await,
                ));
            }
            match current.tree.apply(&edits) {
                Err(problems) => return Ok(Response::new(rejection_reply(&problems))),
                Ok(_) if request.dry_run => return Ok(Response::new(CommitReply::default())),
                Ok(next) => {
                    if let Some(reply) = try_commit(&self.0, next, &edits, &request.operator).await
                    {
                        return Ok(Response::new(reply));
                    }
                }
            }
            settings_sync::update_from_table(&self.0).await;
        }
        let newest = self.0.current.number();
        Ok(Response::new(conflict_reply(&self.0, newest).await))
    }

    async fn log(&self, request: Request<LogRequest>) -> Result<Response<LogReply>, Status> {
        self.authenticate(&request.get_ref().token)?;
        let request = request.into_inner();
        let newest = self.0.current.number();
        let to = if request.to == 0 {
            newest
        } else {
            request.to.min(newest)
        };
        let from = request
            .from
            .max((to + 1).saturating_sub(MAX_LOG_CHANGES))
            .max(1);
        let read = Read {
            keys: (from..=to).map(settings_sync::log_key).collect(),
            prefixes: Vec::new(),
        };
        let rows = self
            .0
            .store
            .read(read)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        let changes = rows
            .iter()
            .filter_map(|row| store::parse::<Change>(Some(row)))
            .map(|change| change_to_wire(&change));
        Ok(Response::new(LogReply {
            changes: changes.collect(),
        }))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.authenticate(&request.get_ref().token)?;
        Ok(Response::new(status(&self.0)))
    }

    async fn order(&self, request: Request<OrderRequest>) -> Result<Response<OrderReply>, Status> {
        self.authenticate(&request.get_ref().token)?;
        let request = request.into_inner();
        let role: Role = request
            .role
            .parse()
            .map_err(|error| Status::invalid_argument(format!("{}: {error}", request.role)))?;
        let current = self.current_settings()?;
        if current
            .resolved
            .endpoint(&request.data_centre, request.endpoint)
            .is_none()
        {
            return Err(Status::not_found("there is no such endpoint"));
        }
        let wanted = Wanted {
            role,
            model: request.model,
            adapter: request.adapter,
            version: request.version,
        };
        let key = format!(
            "{}{}/{}",
            orders::REQUEST_PREFIX,
            request.data_centre,
            request.endpoint
        );
        let transaction = Transaction::default().write(&key, store::to_json(&wanted));
        match self.0.store.commit(transaction).await {
            Ok(_) => Ok(Response::new(OrderReply {
                accepted: true,
                reason: "the steward will carry it out".to_owned(),
            })),
            Err(error) => Err(Status::unavailable(error.to_string())),
        }
    }

    async fn timeline(
        &self,
        request: Request<TimelineRequest>,
    ) -> Result<Response<TimelineReply>, Status> {
        self.authenticate(&request.get_ref().token)?;
        let request = request.into_inner();
        Ok(Response::new(timeline(&self.0, request).await))
    }
}

/// Commits a validated tree; `None` if another change was committed first.
async fn try_commit(
    process: &Arc<Process>,
    next: Tree,
    edits: &[Edit],
    operator: &str,
) -> Option<CommitReply> {
    let version = next.version;
    let change = Change {
        version,
        operator: operator.to_owned(),
        edits: edits.to_vec(),
        token: rand::random(),
    };
    let Ok(head_rows) = process.store.read(by_keys(&[HEAD_KEY])).await else {
        return Some(unavailable());
    };
    let head_row = store::find(&head_rows, HEAD_KEY);
    let head: Head = store::parse(head_row).unwrap_or_default();
    if head.version + 1 != version {
        return None;
    }
    let log_key = settings_sync::log_key(version);
    let log_text = store::to_json(&change);
    let mut transaction = Transaction::default()
        .check(HEAD_KEY, store::version_of(head_row))
        .write(
            HEAD_KEY,
            store::to_json(&Head {
                version,
                token: change.token,
            }),
        )
        .write(&log_key, log_text.clone());
    let mut paths: Vec<&str> = edits.iter().map(Edit::path).collect();
    paths.sort_unstable();
    paths.dedup();
    for path in paths {
        let key = format!("{NODE_PREFIX}{path}");
        transaction = match next.node(path) {
            Some(node) => transaction.write(&key, store::to_json(node)),
            None => transaction.remove(&key),
        };
    }
    let outcome = process
        .store
        .commit_confirmed(transaction, &log_key, &log_text)
        .await;
    match outcome {
        Ok(Outcome::Committed(_)) => {
            let subject = format!("settings/{version}");
            process
                .timeline
                .record(Kind::SettingsAccepted, subject, operator);
            settings_sync::apply(process, next);
            process.heartbeat_due.notify_one();
            Some(CommitReply {
                version,
                ..CommitReply::default()
            })
        }
        Ok(Outcome::Conflict(_)) => None,
        Err(cloud::table::Error::NotApplied) => Some(unavailable()),
        Err(cloud::table::Error::OutcomeUnknown) => Some(CommitReply {
            unknown: true,
            problems: vec![format!(
                "the table service did not answer; look at version {version} in the history"
            )],
            ..CommitReply::default()
        }),
    }
}

fn unavailable() -> CommitReply {
    CommitReply {
        problems: vec!["the table service does not answer; nothing was changed".to_owned()],
        ..CommitReply::default()
    }
}

fn rejection_reply(problems: &[Problem]) -> CommitReply {
    CommitReply {
        problems: problems.iter().map(ToString::to_string).collect(),
        ..CommitReply::default()
    }
}

/// Returns the reply that shows the change which was committed first.
async fn conflict_reply(process: &Process, version: u64) -> CommitReply {
    let key = settings_sync::log_key(version);
    let rows = process
        .store
        .read(by_keys(&[&key]))
        .await
        .unwrap_or_default();
    let change: Option<Change> = store::parse(store::find(&rows, &key));
    CommitReply {
        conflict: Some(change.as_ref().map_or(
            Conflict {
                version,
                ..Conflict::default()
            },
            change_to_wire,
        )),
        ..CommitReply::default()
    }
}

fn change_to_wire(change: &Change) -> Conflict {
    Conflict {
        version: change.version,
        operator: change.operator.clone(),
        edits: change.edits.iter().map(edit_to_wire).collect(),
    }
}

fn edit_from_wire(edit: &wire::Edit) -> Edit {
    let path = edit.path.clone();
    let key = edit.key.clone();
    match &edit.value {
        _ if edit.remove_node => Edit::Remove { path },
        Some(value) => Edit::Set {
            path,
            key,
            value: value.clone(),
        },
        None => Edit::Unset { path, key },
    }
}

fn edit_to_wire(edit: &Edit) -> wire::Edit {
    let (key, value) = match edit {
        Edit::Set { key, value, .. } => (key.clone(), Some(value.clone())),
        Edit::Unset { key, .. } => (key.clone(), None),
        Edit::Remove { .. } => (String::new(), None),
    };
    wire::Edit {
        path: edit.path().to_owned(),
        key,
        value,
        remove_node: matches!(edit, Edit::Remove { .. }),
    }
}

fn status(process: &Process) -> StatusReply {
    let own = wire::DaemonStatus {
        member: Some(process.member()),
        settings_version: process.current.number(),
        answered: true,
        leaving: *process.phase.borrow() != Phase::Serving,
    };
    let members = process.members.all();
    let others = members.iter().map(|member| wire::DaemonStatus {
        member: Some(super::peers::to_wire(member)),
        settings_version: member.settings_version,
        answered: process.members.is_reachable(member),
        leaving: member.leaving,
    });
    let pools = process.all_pools();
    let endpoints = pools.iter().flat_map(|pool| {
        let service = pool.service.clone();
        let entries = pool.snapshot();
        entries
            .into_iter()
            .map(move |entry| endpoint_status(process, &service, &entry))
    });
    let data_centre = &process.settings.daemon.data_centre;
    let stewards = process.stewardships.statuses().into_iter();
    StatusReply {
        daemons: std::iter::once(own).chain(others).collect(),
        endpoints: endpoints.collect(),
        stewards: stewards
            .map(|report| wire::StewardStatus {
                service: report.service,
                data_centre: data_centre.clone(),
                epoch: report.lease.map_or(0, |lease| lease.epoch),
                holder: report
                    .lease
                    .and_then(|lease| lease.holder)
                    .map_or(0, |holder| holder.0),
            })
            .collect(),
        store_up: process.store.is_available(),
        settings_version: process.current.number(),
    }
}

fn endpoint_status(
    process: &Process,
    service: &str,
    entry: &super::pool::Entry,
) -> wire::EndpointStatus {
    let state = match () {
        () if entry.endpoint.drain => "drained",
        () if entry.leaving => "leaving",
        () if !process.gates.is_open(&entry.id) => "closed",
        () if entry
            .report
            .as_ref()
            .is_some_and(|(report, _)| report.changing) =>
        {
            "changing"
        }
        () if entry.accepts_requests() => "open",
        () => "silent",
    };
    let age = entry
        .report
        .as_ref()
        .map(|(_, at)| at.elapsed().as_millis());
    wire::EndpointStatus {
        endpoint: entry.id.number,
        data_centre: entry.id.data_centre.to_string(),
        service: service.to_owned(),
        state: state.to_owned(),
        role: entry.role().to_string(),
        in_flight: process.gates.in_flight(&entry.id),
        report_age_ms: age.and_then(|age| u64::try_from(age).ok()).unwrap_or(0),
    }
}

async fn timeline(process: &Process, request: TimelineRequest) -> TimelineReply {
    let subject = Some(request.subject.as_str()).filter(|subject| !subject.is_empty());
    let own = process
        .timeline
        .events(request.since_ms, subject)
        .into_iter()
        .map(|event| wire::Event {
            physical_ms: event.time.physical_ms,
            logical: event.time.logical,
            incarnation: process.incarnation.0,
            process: process.settings.daemon.name.clone(),
            kind: event.kind.to_string(),
            subject: event.subject,
            detail: event.detail,
        });
    let mut reply = TimelineReply {
        events: own.collect(),
        silent: Vec::new(),
    };
    if request.local {
        return reply;
    }
    let addresses = process.members.addresses(process.addresses.peers);
    let fetches = addresses.into_iter().map(|address| {
        let request = TimelineRequest {
            local: true,
            ..request.clone()
        };
        async move { (address, fetch_timeline(address, request).await) }
    });
    for (address, answer) in futures::future::join_all(fetches).await {
        match answer {
            Some(events) => reply.events.extend(events),
            None => reply.silent.push(address.to_string()),
        }
    }
    reply
        .events
        .sort_by_key(|event| (event.physical_ms, event.logical, event.incarnation));
    reply
}

async fn fetch_timeline(
    address: std::net::SocketAddr,
    request: TimelineRequest,
) -> Option<Vec<wire::Event>> {
    let call = async {
        let mut client =
            wire::operator_client::OperatorClient::connect(format!("http://{address}"))
                .await
                .ok()?;
        let reply = client.timeline(request).await.ok()?;
        Some(reply.into_inner().events)
    };
    tokio::time::timeout(PEER_TIMEOUT, call).await.ok()?
}
