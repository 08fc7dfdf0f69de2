//! `stall::timeout` on a thread that stalls while it waits.

use std::time::Duration;

use cactushold_daemon::stall;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout under test.
const LIMIT: Duration = Duration::from_millis(100);
/// A stall longer than the timeout.
const STALL: Duration = Duration::from_millis(400);

/// Reads one byte with a timeout, while the thread stalls after the byte was written.
async fn read_across_stall(before: Duration) -> Option<u8> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let mut reader = TcpStream::connect(address).await.expect("connects");
    let (mut writer, _) = listener.accept().await.expect("a connection");
    tokio::task::spawn_local(async move {
        tokio::time::sleep(before).await;
        writer.write_all(&[7]).await.expect("written");
        std::thread::sleep(STALL);
        writer.shutdown().await.expect("closed");
    });
    let mut byte = [0];
    let read = async { reader.read_exact(&mut byte).await.map(|_| ()) };
    stall::timeout(LIMIT, read).await.map(|read| read.map(|()| byte[0]).expect("a byte"))
}

#[tokio::test(flavor = "local")]
async fn data_that_arrived_during_a_stall_is_read_before_the_timeout() {
    for before in [0, 30, 60, 90, 98] {
        assert_eq!(read_across_stall(Duration::from_millis(before)).await, Some(7), "{before}");
    }
}

#[tokio::test(flavor = "local")]
async fn a_thread_that_stalls_repeatedly_still_times_out() {
    let stalling = tokio::task::spawn_local(async {
        loop {
            std::thread::sleep(Duration::from_millis(60));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let start = std::time::Instant::now();
    assert_eq!(stall::timeout(LIMIT, std::future::pending::<()>()).await, None);
    stalling.abort();
    assert!(start.elapsed() < LIMIT * 10, "after {:?}", start.elapsed());
}
