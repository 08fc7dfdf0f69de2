//! Serves calls from other daemons.

use std::cell::RefCell;
use std::io::{Read as _, Write as _};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::{Report, SliceId};
use cactushold_placement::{QUOTA, hash_key};
use cactushold_quota::{Demand, Loan};
use cactushold_wire::schema::{Document, body, peer, share};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::guard::Handover;
use crate::peer::attempt_log::AttemptLog;
use crate::peer::convert;
use crate::peer::inbound::{Inbound, InboundReader};
use crate::quota::{BucketOwnership, Token};
use crate::shared::{Command, OpenRequest, Shared, View};
use crate::upstream::{BodyStream, Upstream};
use crate::{clock, guard};

/// Thousandths per unit: rates and tokens are sent in thousandths.
const MILLI: f64 = 1_000.0;

/// How long a fetch waits for a newer version to arrive here.
const MAX_FETCH_WAIT: Duration = Duration::from_millis(250);
/// How long the fetch of a configuration waits for a newer version if the caller doesn't tell which
/// zones it has: it is sent also without one, since its zones may be newer.
const CONFIG_WAIT: Duration = Duration::from_millis(100);
/// Revision of the zones of a caller that doesn't tell it.
const UNKNOWN_ZONES: u64 = u64::MAX;
/// Time between two looks for it.
const FETCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed accept, such as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Handles the calls of one connection.
struct Server {
    shared: Arc<Shared>,
    upstream: Rc<Upstream>,
    inbound: Rc<Inbound>,
}

/// The rest of an answer's body, until the calling daemon releases it.
struct Body {
    stream: RefCell<Option<BodyStream>>,
    _open: OpenRequest,
}

/// Accepts connections from other daemons. Never returns.
pub async fn serve_peers(listener: TcpListener, shared: Arc<Shared>, upstream: Rc<Upstream>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let server = Server {
            shared: Arc::clone(&shared),
            upstream: Rc::clone(&upstream),
            inbound: Rc::default(),
        };
        tokio::task::spawn_local(serve(stream, server));
    }
}

async fn serve(stream: TcpStream, server: Server) {
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.into_split();
    let reader = InboundReader::new(reader, Rc::clone(&server.inbound));
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    let client: peer::Client = capnp_rpc::new_client(server);
    RpcSystem::new(Box::new(network), Some(client.client)).await.ok();
}

/// Exposes the rest of an answer's body to the calling daemon.
pub fn serve_body(stream: BodyStream, open: OpenRequest) -> body::Client {
    capnp_rpc::new_client(Body { stream: RefCell::new(Some(stream)), _open: open })
}

impl body::Server for Body {
    async fn read(
        self: Rc<Self>,
        _: body::ReadParams,
        mut results: body::ReadResults,
    ) -> Result<(), capnp::Error> {
        let stream = self.stream.borrow_mut().take();
        let mut stream = stream.ok_or_else(|| {
            capnp::Error::failed("the body was already read to its end".to_owned())
        })?;
        let chunk = stream.next().await;
        let chunk = chunk.map_err(|refusal| capnp::Error::failed(refusal.detail))?;
        let mut out = results.get();
        match chunk {
            Some(chunk) => {
                out.set_chunk(&chunk);
                *self.stream.borrow_mut() = Some(stream);
            }
            None => out.set_end(true),
        }
        Ok(())
    }
}

impl Server {
    /// Waits a moment until a document newer than version `have`, or than the zones of revision
    /// `have_zones`, is in force here: a daemon asks as soon as it hears of it, possibly sooner than
    /// it has arrived here. Returns the version and the compressed content, which is empty if there
    /// is nothing newer.
    async fn newer_document(
        &self,
        document: Document,
        have: u64,
        have_zones: u64,
    ) -> Result<(u64, Vec<u8>), capnp::Error> {
        let failed = |error: serde_json::Error| capnp::Error::failed(error.to_string());
        let asked_at = clock::now();
        loop {
            let view = self.shared.view();
            let (version, agreed) = match (document, &view.agreed_table) {
                (Document::Table, Some(agreed)) => (agreed.version, Some(agreed)),
                (Document::Table, None) => (view.table.version, None),
                (Document::Config, _) => (view.config.version, None),
            };
            let waited = clock::now().saturating_sub(asked_at);
            let has_newer_zones = document == Document::Config
                && match have_zones {
                    UNKNOWN_ZONES => waited > CONFIG_WAIT,
                    known => view.config.zones_revision > known,
                };
            if version > have || has_newer_zones {
                let content = match (document, agreed) {
                    (Document::Table, Some(agreed)) => {
                        compress(&view.history.encode_since(have, agreed))
                    }
                    (Document::Table, None) => {
                        compress(&serde_json::to_vec(&*view.table).map_err(failed)?)
                    }
                    (Document::Config, _) => encoded_config(&view).map_err(failed)?,
                };
                return Ok((version, content));
            }
            if waited > MAX_FETCH_WAIT {
                return Ok((version, Vec::new()));
            }
            tokio::time::sleep(FETCH_POLL_INTERVAL).await;
        }
    }
}

/// Maximum size of a document from another daemon, in bytes, so that a small message can't fill the
/// memory.
const MAX_DOCUMENT_BYTES: u64 = 32 << 20;

/// The compressed configuration in force. Many daemons ask for the same version at the same time, so
/// it is encoded once.
fn encoded_config(view: &View) -> serde_json::Result<Vec<u8>> {
    if let Some(encoded) = view.encoded_config.get() {
        return Ok(encoded.clone());
    }
    let encoded = compress(&serde_json::to_vec(&*view.config)?);
    Ok(view.encoded_config.get_or_init(|| encoded).clone())
}

fn compress(content: &[u8]) -> Vec<u8> {
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    // Writing to a `Vec` never fails.
    encoder.write_all(content).ok();
    encoder.finish().unwrap_or_default()
}

/// Decompresses a document from another daemon; `None` if it is malformed or too large.
pub fn decompress(content: &[u8]) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let mut decoder = flate2::read::DeflateDecoder::new(content).take(MAX_DOCUMENT_BYTES + 1);
    decoder.read_to_end(&mut out).ok()?;
    (out.len() as u64 <= MAX_DOCUMENT_BYTES).then_some(out)
}

impl peer::Server for Server {
    async fn forward(
        self: Rc<Self>,
        params: peer::ForwardParams,
        mut results: peer::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let now = clock::now();
        self.shared.record_forward(now);
        let request = convert::read_request(params.get()?.get_request()?, now)?;
        let request = self.shared.with_shutdown_limit(&request).into_owned();
        self.inbound.wait_until_drained().await;
        let log = AttemptLog::new(&self.shared, &request, now);
        let answer = guard::serve(&self.shared, &self.upstream, &request, &log.progress).await;
        log.finish(&answer);
        let estimate = self.shared.guard().estimate(request.route, clock::now());
        let out = results.get().init_answer();
        convert::write_answer(out, &self.shared, request.attempt, answer, estimate);
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (document, have) = (params.get_document()?, params.get_have());
        if params.get_compact() {
            let have_zones = params.get_have_zones();
            let (version, content) = self.newer_document(document, have, have_zones).await?;
            let mut out = results.get();
            out.set_version(version);
            out.set_content(&content);
            out.set_compact(true);
            return Ok(());
        }
        let view = self.shared.view();
        let (version, content) = match document {
            Document::Table => match &view.agreed_table {
                Some(agreed) => (agreed.version, serde_json::to_vec(&**agreed)),
                None => (view.table.version, serde_json::to_vec(&*view.table)),
            },
            Document::Config => (view.config.version, serde_json::to_vec(&*view.config)),
        };
        let mut out = results.get();
        out.set_version(version);
        out.set_content(&content.map_err(|error| capnp::Error::failed(error.to_string()))?);
        Ok(())
    }

    async fn patch(
        self: Rc<Self>,
        params: peer::PatchParams,
        mut results: peer::PatchResults,
    ) -> Result<(), capnp::Error> {
        let content = params.get()?.get_content()?.to_vec();
        let (sender, outcome) = oneshot::channel();
        self.shared.commands.send(Command::Decide(content, sender)).ok();
        let outcome = outcome.await;
        let outcome = outcome
            .map_err(|_| capnp::Error::failed("this daemon is not the leader".to_owned()))?;
        results.get().set_outcome(&outcome);
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> Result<(), capnp::Error> {
        let report: Report = serde_json::from_slice(params.get()?.get_content()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let leads = self.shared.view().leads;
        if leads {
            self.shared.commands.send(Command::Report(report)).ok();
        }
        results.get().set_accepted(leads);
        Ok(())
    }

    async fn records(
        self: Rc<Self>,
        params: peer::RecordsParams,
        mut results: peer::RecordsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (slice, since) = (params.get_slice(), params.get_since());
        let (sender, answer) = oneshot::channel();
        let command = Command::HasReleased(slice, since, sender);
        self.shared.commands.send(command).ok();
        if answer.await != Ok(true) {
            return Ok(());
        }
        let view = self.shared.view();
        let mut handover = Handover::collect(&self.shared.guard(), &view, slice, clock::now());
        if let Some(handover) = &mut handover {
            let is_moved = |name: &str| is_bucket_of(&view, name, slice);
            handover.buckets = self.shared.quota().export(slice, since, is_moved, clock::now());
        }
        let content = serde_json::to_vec(&handover.unwrap_or_default());
        results.get().set_content(&content.map_err(|e| capnp::Error::failed(e.to_string()))?);
        Ok(())
    }

    async fn share(
        self: Rc<Self>,
        params: peer::ShareParams,
        mut results: peer::ShareResults,
    ) -> Result<(), capnp::Error> {
        let demands = params.get()?.get_demands()?;
        let view = self.shared.view();
        let mut answers = Vec::new();
        for demand in demands {
            let workspace = demand.get_workspace()?.to_str()?.to_owned();
            let Some(owned) = bucket_ownership(&view, &workspace) else { continue };
            let held = Loan {
                rate: demand.get_held_milli() as f64 / MILLI,
                depth: f64::from(demand.get_held_depth_milli()) / MILLI,
                initial_tokens: 0.0,
            };
            if demand.get_tokens_milli() > 0 {
                let taken = self.shared.quota().take(&workspace, owned);
                answers.push((workspace, taken.map(ShareAnswer::Token)));
            } else {
                let demanded = Demand { rate: demand.get_rate_milli() as f64 / MILLI, held };
                let mut quota = self.shared.quota();
                let loan = quota.lend(&workspace, demand.get_daemon(), demanded, owned);
                answers.push((workspace, loan.map(ShareAnswer::Loan)));
            }
        }
        answers.retain(|(_, answer)| answer.is_some());
        results.get().set_accepted(!answers.is_empty());
        let mut shares = results.get().init_shares(answers.len() as u32);
        for (index, (workspace, answer)) in answers.into_iter().enumerate() {
            let mut out = shares.reborrow().get(index as u32);
            out.set_workspace(&workspace);
            if let Some(answer) = answer {
                answer.write(out);
            }
        }
        Ok(())
    }
}

/// Answer to a demand for a share of a rate or for a token.
enum ShareAnswer {
    Loan(Loan),
    Token(Token),
}

impl ShareAnswer {
    fn write(self, mut out: share::Builder<'_>) {
        match self {
            ShareAnswer::Loan(loan) => {
                out.set_rate_milli((loan.rate * MILLI).round() as u64);
                out.set_burst_milli((loan.depth * MILLI).round() as u64);
                out.set_fresh_milli((loan.initial_tokens * MILLI) as u64);
            }
            ShareAnswer::Token(Ok(wait)) => {
                out.set_fresh_milli(MILLI as u64);
                // Rounded up: a token must not be used before it is available.
                out.set_wait_ms(wait.as_micros().div_ceil(1_000) as u32);
            }
            ShareAnswer::Token(Err(wait)) => out.set_wait_ms(wait.as_millis() as u32 + 1),
        }
    }
}

/// Whether a slice holds the bucket of a workspace.
fn is_bucket_of(view: &View, workspace: &str, slice: SliceId) -> bool {
    let holder = view.table.locate(QUOTA, hash_key(workspace.as_bytes()));
    holder.is_some_and(|holder| holder.id == slice)
}

/// Returns the terms under which this daemon owns a workspace's bucket now, if it does.
pub fn bucket_ownership<'a>(view: &'a View, workspace: &str) -> Option<BucketOwnership<'a>> {
    let now = clock::now();
    let slice = view.table.locate(QUOTA, hash_key(workspace.as_bytes()))?.id;
    let fence = view.own_fence(slice, now)?;
    let acquired = view.acquired.get(&slice).copied()?;
    let valid_until = view.authority_until;
    let sharers = view.agreed_table.as_ref().map(|_| view.table.members.len());
    Some(BucketOwnership {
        slice,
        fence,
        acquired,
        valid_until,
        config: &view.config,
        now,
        sharers,
    })
}
