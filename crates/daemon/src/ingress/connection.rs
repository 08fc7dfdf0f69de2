//! A caller's connection, which keeps requests open until their responses are flushed and closes
//! without losing the last response.

use std::cell::RefCell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::shared::{OpenRequest, Shared};

/// Time for a caller to read the last response and close its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests of one connection whose responses are complete but not yet flushed to the socket.
#[derive(Default)]
pub struct UnflushedRequests(RefCell<Vec<OpenRequest>>);

/// A response in progress. Its request stays open until the response is flushed.
pub struct PendingResponse {
    request: Option<OpenRequest>,
    unflushed: Option<Rc<UnflushedRequests>>,
}

impl PendingResponse {
    /// Wraps a request whose response is not complete.
    pub fn new(request: OpenRequest) -> PendingResponse {
        PendingResponse { request: Some(request), unflushed: None }
    }

    /// Sets the connection that the response is written to.
    pub fn set_connection(&mut self, unflushed: &Rc<UnflushedRequests>) {
        self.unflushed = Some(Rc::clone(unflushed));
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if let Some(unflushed) = &self.unflushed {
            unflushed.0.borrow_mut().extend(self.request.take());
        }
    }
}

/// State of a connection whose write side is shut down.
///
/// Further bytes from the caller stay unread, so that it resends those requests on another
/// connection. Closing the socket while bytes are unread would reset the connection, and the caller
/// would lose the last responses.
struct Lingering {
    timer: Pin<Box<Sleep>>,
    _open: OpenRequest,
}

/// A caller's connection.
pub struct Connection {
    stream: TcpStream,
    shared: Arc<Shared>,
    unflushed: Rc<UnflushedRequests>,
    lingering: Option<Lingering>,
}

impl Connection {
    /// Wraps a newly accepted connection.
    pub fn new(
        stream: TcpStream,
        shared: Arc<Shared>,
        unflushed: Rc<UnflushedRequests>,
    ) -> Connection {
        Connection { stream, shared, unflushed, lingering: None }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if flushed.is_ready() {
            this.unflushed.0.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        if this.lingering.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            let timer = Box::pin(tokio::time::sleep(LINGER_TIMEOUT));
            this.lingering = Some(Lingering { timer, _open: this.shared.open_request() });
        }
        let mut byte = [0; 1];
        match this.stream.poll_peek(context, &mut ReadBuf::new(&mut byte)) {
            Poll::Ready(Ok(1..)) | Poll::Pending => {}
            Poll::Ready(_) => return Poll::Ready(Ok(())),
        }
        match &mut this.lingering {
            Some(lingering) => lingering.timer.as_mut().poll(context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
