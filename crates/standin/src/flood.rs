//! A proxy before a server or a store that answers chosen requests with bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Bytes that a fast flood writes at a time, and that are relayed at a time.
const BLOCK: usize = 64 << 10;
/// Time between two bytes of a slow flood.
const TRICKLE: Duration = Duration::from_millis(3);

/// An answer without end.
#[derive(Clone, Debug)]
pub struct Flood {
    /// What comes first.
    pub start: String,
    /// What is repeated until the connection is closed.
    pub repeated: &'static str,
    /// Whether the repeated bytes come one at a time.
    pub is_slow: bool,
}

type Choose = dyn Fn(&str) -> Option<Flood> + Send + Sync;

struct State {
    target: SocketAddr,
    choose: Box<Choose>,
    open: AtomicUsize,
}

/// A proxy to one target; it ends when this is dropped.
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy that floods the requests for which `choose` returns something, and passes
    /// on the others.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(
        target: SocketAddr,
        choose: impl Fn(&str) -> Option<Flood> + Send + Sync + 'static,
    ) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let open = AtomicUsize::new(0);
        let state = Arc::new(State { target, choose: Box::new(choose), open });
        let task = tokio::spawn(accept(listener, Arc::clone(&state)));
        Ok(Proxy { address, state, task })
    }

    /// Connections that are flooded now.
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move { serve(stream, &state).await.ok() });
    }
}

async fn serve(mut stream: TcpStream, state: &State) -> std::io::Result<()> {
    let mut onward = TcpStream::connect(state.target).await?;
    stream.set_nodelay(true)?;
    onward.set_nodelay(true)?;
    let (mut request, mut answer) = (vec![0; BLOCK], vec![0; BLOCK]);
    loop {
        tokio::select! {
            read = stream.read(&mut request) => {
                let bytes = &request[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                if let Some(flood) = (state.choose)(&String::from_utf8_lossy(bytes)) {
                    state.open.fetch_add(1, Ordering::Relaxed);
                    let ended = flood.send(&mut stream).await;
                    state.open.fetch_sub(1, Ordering::Relaxed);
                    return ended;
                }
                onward.write_all(bytes).await?;
            }
            read = onward.read(&mut answer) => {
                let bytes = &answer[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                stream.write_all(bytes).await?;
            }
        }
    }
}

impl Flood {
    /// Sends it until the other end closes the connection.
    ///
    /// # Errors
    /// The connection was closed.
    pub async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.start.as_bytes()).await?;
        if self.is_slow {
            for byte in self.repeated.bytes().cycle() {
                stream.write_all(&[byte]).await?;
                tokio::time::sleep(TRICKLE).await;
            }
        }
        let block = self.repeated.repeat(BLOCK.div_ceil(self.repeated.len()));
        loop {
            stream.write_all(block.as_bytes()).await?;
        }
    }
}
