//! The network before one daemon: it can be cut, one way or both, and connections can go silent.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Largest datagram passed on, in bytes.
const MAX_DATAGRAM: usize = 2_048;
/// Ports tried to find one that is free for both TCP and UDP.
const PORT_TRIES: usize = 50;

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    /// Nothing passes in either direction.
    is_cut: bool,
    /// Senders whose datagrams are dropped.
    blocked: BTreeSet<SocketAddr>,
    /// Connections made before this count are silent.
    silent_before: usize,
    connections: usize,
}

/// A relay of datagrams and connections to one target.
#[derive(Clone)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay; it drops everything until it has a target.
    ///
    /// # Panics
    /// No port is free.
    pub async fn start() -> Relay {
        for _ in 0..PORT_TRIES {
            let datagrams = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a free port");
            let address = datagrams.local_addr().expect("a bound socket");
            if let Ok(listener) = TcpListener::bind(address).await {
                let relay = Relay { address, state: Arc::default() };
                tokio::spawn(relay.clone().pass_datagrams(Arc::new(datagrams)));
                tokio::spawn(relay.clone().accept(listener));
                return relay;
            }
        }
        panic!("no port is free for TCP and UDP");
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().expect("no holder panics"))
    }

    /// Sets where everything goes.
    pub fn set_target(&self, target: SocketAddr) {
        self.with(|state| state.target = Some(target));
    }

    /// Cuts or heals everything to the target, and connections both ways.
    pub fn cut(&self, is_cut: bool) {
        self.with(|state| state.is_cut = is_cut);
    }

    /// Drops or passes datagrams of one sender.
    pub fn block(&self, sender: SocketAddr, is_blocked: bool) {
        self.with(|state| {
            if is_blocked {
                state.blocked.insert(sender);
            } else {
                state.blocked.remove(&sender);
            }
        });
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.with(|state| state.silent_before = state.connections);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.with(|state| state.connections)
    }

    async fn pass_datagrams(self, socket: Arc<UdpSocket>) {
        let mut ways: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, sender)) = socket.recv_from(&mut buffer).await else { continue };
            let target = self.with(|state| {
                let passes = !state.is_cut && !state.blocked.contains(&sender);
                state.target.filter(|_| passes)
            });
            let Some(target) = target else { continue };
            let way = match ways.entry(sender) {
                Entry::Occupied(way) => Arc::clone(way.get()),
                Entry::Vacant(place) => {
                    let way = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a free port");
                    let way = Arc::clone(place.insert(Arc::new(way)));
                    let back =
                        self.clone().pass_back(Arc::clone(&way), Arc::clone(&socket), sender);
                    tokio::spawn(back);
                    way
                }
            };
            way.send_to(&buffer[..len], target).await.ok();
        }
    }

    async fn pass_back(self, way: Arc<UdpSocket>, socket: Arc<UdpSocket>, sender: SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        while let Ok((len, _)) = way.recv_from(&mut buffer).await {
            if !self.with(|state| state.is_cut) {
                socket.send_to(&buffer[..len], sender).await.ok();
            }
        }
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (number, target) = self.with(|state| {
                state.connections += 1;
                (state.connections, state.target)
            });
            let Some(target) = target else { continue };
            let relay = self.clone();
            tokio::spawn(async move {
                let Ok(onward) = TcpStream::connect(target).await else { return };
                stream.set_nodelay(true).ok();
                onward.set_nodelay(true).ok();
                let (from, back) = stream.into_split();
                let (answers, to) = onward.into_split();
                tokio::spawn(relay.clone().pump(from, to, number));
                relay.pump(answers, back, number).await;
            });
        }
    }

    async fn pump(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: usize) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(len) = from.read(&mut buffer).await {
            let is_silent = self.with(|state| state.is_cut || number <= state.silent_before);
            if is_silent {
                // Kept open: the ends must not notice.
                std::future::pending::<()>().await;
            }
            if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
                return;
            }
        }
    }
}
