//! A proxy before a server that answers chosen requests itself, whole or in part.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Most that is relayed at a time, in bytes.
const BLOCK: usize = 64 << 10;

/// What is done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The target answers it.
    Pass,
    /// The target answers it. Until then, whether the caller has left isn't looked at, as in a
    /// server with a thread for each connection.
    Finish,
    /// The target answers it; these bytes are written before.
    Precede(Vec<u8>),
    /// These bytes are written; the target sees nothing.
    Answer(Vec<u8>),
    /// These bytes are written and the connection is closed.
    Close(Vec<u8>),
    /// These bytes are written and the connection is reset.
    Reset(Vec<u8>),
}

type Choose = dyn Fn(usize, &str) -> Action + Send + Sync;

/// A proxy to one target; it ends when this is dropped.
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    open: Arc<()>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy that does with each request what `choose` tells for it and the number of
    /// its connection.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(
        target: SocketAddr,
        choose: impl Fn(usize, &str) -> Action + Send + Sync + 'static,
    ) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let open = Arc::new(());
        let task = tokio::spawn(accept(listener, target, Arc::new(choose), Arc::clone(&open)));
        Ok(Proxy { address, open, task })
    }

    /// Connections that its callers keep open.
    pub fn open_connections(&self) -> usize {
        // One each is held by the proxy and by the task that accepts.
        Arc::strong_count(&self.open) - 2
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, choose: Arc<Choose>, open: Arc<()>) {
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let (choose, open) = (Arc::clone(&choose), Arc::clone(&open));
        tokio::spawn(async move {
            let _open = open;
            let choose = |request: &str| choose(number, request);
            serve(stream, target, choose).await.ok();
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    target: SocketAddr,
    choose: impl Fn(&str) -> Action,
) -> std::io::Result<()> {
    let mut onward = TcpStream::connect(target).await?;
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
                match choose(&String::from_utf8_lossy(bytes)) {
                    Action::Pass => onward.write_all(bytes).await?,
                    Action::Finish => {
                        onward.write_all(bytes).await?;
                        let size = onward.read(&mut answer).await?;
                        stream.write_all(&answer[..size]).await?;
                    }
                    Action::Precede(written) => {
                        onward.write_all(bytes).await?;
                        stream.write_all(&written).await?;
                    }
                    Action::Answer(written) => stream.write_all(&written).await?,
                    Action::Close(written) => return stream.write_all(&written).await,
                    Action::Reset(written) => {
                        stream.write_all(&written).await?;
                        return stream.set_zero_linger();
                    }
                }
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
