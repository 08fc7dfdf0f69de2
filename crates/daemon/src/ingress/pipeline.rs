//! HTTP/1.1 pipelining: an idempotent request that arrives while an earlier one is in progress is
//! started at once, while its response waits for the responses that precede it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::Empty;
use hyper::Request;
use hyper::http::request::Builder;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use crate::ingress::MAX_HEADERS;

/// Maximum number of requests of a connection that run early.
const MAX_STARTED_EARLY: usize = 8;

/// Maximum number of bytes that are read ahead of the HTTP server.
const MAX_READ_AHEAD: usize = 16 << 10;
/// Size of one such read, in bytes.
const READ_AHEAD: usize = 4 << 10;

/// A request without a body, as it was read from a connection.
pub type BodilessRequest = Request<Empty<Bytes>>;

/// Zero-based index of a request on its connection.
type RequestIndex = u64;

/// Pipelined requests of one connection.
pub struct Pipeline<T> {
    start: Box<dyn Fn(BodilessRequest) -> AbortOnDropHandle<T>>,
    started: RefCell<HashMap<RequestIndex, AbortOnDropHandle<T>>>,
    /// Number of requests that the HTTP server has read.
    received: Cell<RequestIndex>,
    /// Number of requests that have a response.
    responded: Cell<RequestIndex>,
    is_closing: Cell<bool>,
    /// Notified when no early request is left in `started`.
    became_empty: Notify,
}

impl<T> Pipeline<T> {
    /// Creates the pipeline of a connection; `start` spawns an early request.
    pub fn new(
        start: impl Fn(BodilessRequest) -> AbortOnDropHandle<T> + 'static,
    ) -> Rc<Pipeline<T>> {
        Rc::new(Pipeline {
            start: Box::new(start),
            started: RefCell::default(),
            received: Cell::new(0),
            responded: Cell::new(0),
            is_closing: Cell::new(false),
            became_empty: Notify::new(),
        })
    }

    /// Advances to the next request and returns its task, if it was started early.
    pub fn take_next(&self) -> Option<AbortOnDropHandle<T>> {
        let index = self.received.get();
        self.received.set(index + 1);
        let task = self.started.borrow_mut().remove(&index);
        if self.is_empty() {
            self.became_empty.notify_one();
        }
        task
    }

    /// Whether no early request waits for its turn to respond.
    pub fn is_empty(&self) -> bool {
        self.started.borrow().is_empty()
    }

    /// Stops starting requests early, and waits until every early request was taken.
    pub async fn finish_started(&self) {
        self.is_closing.set(true);
        while !self.is_empty() {
            self.became_empty.notified().await;
        }
    }

    /// Whether a request that was read waits for its response.
    fn has_open_request(&self) -> bool {
        self.received.get() > self.responded.get() || !self.is_empty()
    }

    /// Records that the current request has its response.
    pub fn record_response(&self) {
        self.responded.set(self.responded.get() + 1);
    }

    /// Starts a request early if an earlier request on the connection has no response yet.
    fn start_early(&self, index: RequestIndex, request: BodilessRequest) {
        let is_blocked = index > self.received.get() || self.received.get() > self.responded.get();
        let is_received = index < self.received.get();
        let mut started = self.started.borrow_mut();
        let can_start = !self.is_closing.get() && started.len() < MAX_STARTED_EARLY;
        if is_blocked && !is_received && can_start {
            started.insert(index, (self.start)(request));
        }
    }
}

/// Expected next part of the byte stream.
enum Expected {
    Head(Vec<u8>),
    Body(usize),
    /// Request boundaries are no longer known, so nothing more is parsed.
    Unknown,
}

/// Incremental parser that finds the requests in the bytes of a connection.
struct Scanner {
    expected: Expected,
    index: RequestIndex,
    max_head_bytes: usize,
}

/// Length of a request's body.
enum BodyLength {
    Known(usize),
    /// Chunked, or the `Content-Length` is repeated or invalid.
    Unknown,
}

impl Scanner {
    fn new(max_head_bytes: usize) -> Scanner {
        Scanner { expected: Expected::Head(Vec::new()), index: 0, max_head_bytes }
    }

    /// Parses the next bytes, and calls `on_request` for each complete request without a body.
    fn feed(
        &mut self,
        mut bytes: &[u8],
        mut on_request: impl FnMut(RequestIndex, BodilessRequest),
    ) {
        while !bytes.is_empty() {
            match &mut self.expected {
                Expected::Unknown => return,
                Expected::Body(remaining) => {
                    let skipped = bytes.len().min(*remaining);
                    bytes = &bytes[skipped..];
                    *remaining -= skipped;
                    if *remaining == 0 {
                        self.expected = Expected::Head(Vec::new());
                    }
                }
                Expected::Head(head) => {
                    let head_len = head.len();
                    head.extend_from_slice(bytes);
                    let Some((end, length, request)) = parse(head) else {
                        let is_malformed =
                            head.len() > self.max_head_bytes || !is_valid_prefix(head);
                        if is_malformed {
                            self.expected = Expected::Unknown;
                        }
                        return;
                    };
                    bytes = &bytes[end - head_len..];
                    if let Some(request) = request {
                        on_request(self.index, request);
                    }
                    self.index += 1;
                    self.expected = match length {
                        BodyLength::Known(0) => Expected::Head(Vec::new()),
                        BodyLength::Known(remaining) => Expected::Body(remaining),
                        BodyLength::Unknown => Expected::Unknown,
                    };
                }
            }
        }
    }
}

fn is_valid_prefix(head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    httparse::Request::new(&mut headers).parse(head).is_ok()
}

/// Parses the request head at the start of `bytes`. Returns the offset of its end, the length of
/// the body, and the request if it has no body; `None` if the head is incomplete or malformed.
fn parse(bytes: &[u8]) -> Option<(usize, BodyLength, Option<BodilessRequest>)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(end) = parsed.parse(bytes).ok()? else { return None };
    let length = body_length(parsed.headers);
    let request = match length {
        BodyLength::Known(0) => build_request(&parsed),
        _ => None,
    };
    Some((end, length, request))
}

fn body_length(headers: &[httparse::Header<'_>]) -> BodyLength {
    let is_named = |header: &httparse::Header<'_>, name| header.name.eq_ignore_ascii_case(name);
    let mut lengths = headers.iter().filter(|header| is_named(header, "content-length"));
    let (first, second) = (lengths.next(), lengths.next());
    let has_transfer_encoding = headers.iter().any(|header| is_named(header, "transfer-encoding"));
    if has_transfer_encoding || second.is_some() {
        return BodyLength::Unknown;
    }
    let Some(header) = first else { return BodyLength::Known(0) };
    let length = std::str::from_utf8(header.value).ok().and_then(|text| text.trim().parse().ok());
    length.map_or(BodyLength::Unknown, BodyLength::Known)
}

fn build_request(parsed: &httparse::Request<'_, '_>) -> Option<BodilessRequest> {
    let builder = Builder::new().method(parsed.method?).uri(parsed.path?);
    let builder = parsed
        .headers
        .iter()
        .fold(builder, |builder, header| builder.header(header.name, header.value));
    builder.body(Empty::new()).ok()
}

/// A caller's stream with the requests that were found in it.
struct Input<S, T> {
    stream: S,
    scanner: Scanner,
    pipeline: Rc<Pipeline<T>>,
    /// What was read ahead of the HTTP server.
    ahead: BytesMut,
    /// Whether the HTTP server waits for bytes, and so notices the end of the stream itself.
    is_awaited: bool,
}

impl<S: AsyncRead + Unpin, T> Input<S, T> {
    /// Reads from the stream and starts the pipelined requests.
    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = &read {
            let pipeline = &self.pipeline;
            let on_request = |index, request| pipeline.start_early(index, request);
            self.scanner.feed(&buffer.filled()[filled_before..], on_request);
        }
        read
    }

    /// Completes when the caller has closed the connection while a request is open. The HTTP server
    /// doesn't read on while it has a further request in its buffer.
    fn poll_left(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.is_awaited
            && self.pipeline.has_open_request()
            && !self.pipeline.is_closing.get()
            && self.ahead.len() < MAX_READ_AHEAD
        {
            let mut bytes = [0; READ_AHEAD];
            let mut buffer = ReadBuf::new(&mut bytes);
            match self.poll_stream(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.ahead.extend_from_slice(buffer.filled());
                }
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }
}

/// A stream that passes its bytes through and starts the pipelined requests that it finds in them.
pub struct PipelineReader<S, T> {
    input: Rc<RefCell<Input<S, T>>>,
}

/// Watches for a caller that leaves while the HTTP server doesn't read from its connection.
pub struct LeaveWatch<S, T> {
    input: Rc<RefCell<Input<S, T>>>,
}

impl<S: AsyncRead + Unpin, T> LeaveWatch<S, T> {
    /// Drives a connection to its end, or until its caller has left. Returns whether it ended.
    pub async fn drive(&self, mut connection: Pin<&mut impl Future>) -> bool {
        std::future::poll_fn(|context| {
            // Also after the connection, which may just have read the last request.
            let has_left = self.input.borrow_mut().poll_left(context).is_ready();
            if !has_left && connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(true);
            }
            match has_left || self.input.borrow_mut().poll_left(context).is_ready() {
                true => Poll::Ready(false),
                false => Poll::Pending,
            }
        })
        .await
    }
}

impl<S, T> PipelineReader<S, T> {
    /// Wraps a stream. Parsing stops at a request head longer than `max_head_bytes` bytes.
    pub fn new(
        stream: S,
        max_head_bytes: usize,
        pipeline: Rc<Pipeline<T>>,
    ) -> PipelineReader<S, T> {
        let input = Input {
            stream,
            scanner: Scanner::new(max_head_bytes),
            pipeline,
            ahead: BytesMut::new(),
            is_awaited: false,
        };
        PipelineReader { input: Rc::new(RefCell::new(input)) }
    }

    /// Watches for the caller to leave. Must be polled by the task that polls the connection.
    pub fn watch(&self) -> LeaveWatch<S, T> {
        LeaveWatch { input: Rc::clone(&self.input) }
    }
}

impl<S: AsyncRead + Unpin, T> AsyncRead for PipelineReader<S, T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let mut input = self.get_mut().input.borrow_mut();
        if !input.ahead.is_empty() {
            let length = input.ahead.len().min(buffer.remaining());
            buffer.put_slice(&input.ahead.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let read = input.poll_stream(context, buffer);
        input.is_awaited = read.is_pending();
        read
    }
}

impl<S: AsyncWrite + Unpin, T> AsyncWrite for PipelineReader<S, T> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().input.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().input.borrow_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.input.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().input.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().input.borrow_mut().stream).poll_shutdown(context)
    }
}
