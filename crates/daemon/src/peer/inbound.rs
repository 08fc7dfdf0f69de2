//! Whether all messages that a connection has received were handled.

use std::cell::Cell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

/// Turns of the event loop after which a call goes on even if more messages keep arriving.
const MAX_TURNS: u32 = 32;

/// The messages that a connection has received. A call is handled before the messages behind it are
/// read, and one of them may cancel it.
#[derive(Default)]
pub struct Inbound {
    has_more: Cell<bool>,
}

impl Inbound {
    /// Waits until all that has arrived was handled. After a stall, calls and their cancellations
    /// arrive together; the future of a call that was cancelled is dropped here.
    pub async fn wait_until_drained(&self) {
        for _ in 0..MAX_TURNS {
            tokio::task::yield_now().await;
            if !self.has_more.get() {
                return;
            }
        }
    }
}

/// The receiving half of a connection, which notes whether it has more to read.
pub struct InboundReader {
    half: OwnedReadHalf,
    inbound: Rc<Inbound>,
}

impl InboundReader {
    /// Wraps `half`.
    pub fn new(half: OwnedReadHalf, inbound: Rc<Inbound>) -> InboundReader {
        InboundReader { half, inbound }
    }
}

impl AsyncRead for InboundReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.half).poll_read(context, buffer);
        // Only a read that finds nothing shows that every message before was handled.
        self.inbound.has_more.set(polled.is_ready());
        polled
    }
}
