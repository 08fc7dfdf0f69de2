//! Serves the platform stand-in until it is killed; prints its address.
#![allow(clippy::print_stdout)]

use std::net::SocketAddr;

use bpaf::Parser;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let address = bpaf::long("listen")
        .help("Address to listen on")
        .argument::<SocketAddr>("ADDR")
        .fallback(([127, 0, 0, 1], 0).into());
    let address = address.to_options().run();
    let (local, task) = cactushold_standin::platform::start(address).await?;
    println!("{local}");
    task.await?
}
