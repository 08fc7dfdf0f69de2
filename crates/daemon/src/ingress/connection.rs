//! A caller's connection, down to the last byte of an answer.

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

/// Time in which a caller reads the last answer and closes the connection as well.
const LINGER: Duration = Duration::from_secs(2);

/// Requests of one connection whose answers are complete and not wholly written.
#[derive(Default)]
pub struct Unwritten(RefCell<Vec<OpenRequest>>);

/// A request that stays open until its answer is written.
pub struct Open {
    request: Option<OpenRequest>,
    unwritten: Option<Rc<Unwritten>>,
}

impl Open {
    /// A request whose answer isn't complete.
    pub fn new(request: OpenRequest) -> Open {
        Open { request: Some(request), unwritten: None }
    }

    /// Notes the connection that the answer is written to.
    pub fn set_connection(&mut self, unwritten: &Rc<Unwritten>) {
        self.unwritten = Some(Rc::clone(unwritten));
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(unwritten) = &self.unwritten {
            unwritten.0.borrow_mut().extend(self.request.take());
        }
    }
}

/// The end of a connection: nothing is written any more, and what the caller still sends stays
/// unread, so that it is sent again elsewhere. Closing the socket with unread bytes would reset the
/// connection, and the last answers with it.
struct Closing {
    timer: Pin<Box<Sleep>>,
    _open: OpenRequest,
}

/// A caller's connection.
pub struct Connection {
    stream: TcpStream,
    shared: Arc<Shared>,
    unwritten: Rc<Unwritten>,
    closing: Option<Closing>,
}

impl Connection {
    /// A connection on which nothing was read.
    pub fn new(stream: TcpStream, shared: Arc<Shared>, unwritten: Rc<Unwritten>) -> Connection {
        Connection { stream, shared, unwritten, closing: None }
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
            this.unwritten.0.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        if this.closing.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            let timer = Box::pin(tokio::time::sleep(LINGER));
            this.closing = Some(Closing { timer, _open: this.shared.open_request() });
        }
        let mut byte = [0; 1];
        match this.stream.poll_peek(context, &mut ReadBuf::new(&mut byte)) {
            Poll::Ready(Ok(1..)) | Poll::Pending => {}
            Poll::Ready(_) => return Poll::Ready(Ok(())),
        }
        match &mut this.closing {
            Some(closing) => closing.timer.as_mut().poll(context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
