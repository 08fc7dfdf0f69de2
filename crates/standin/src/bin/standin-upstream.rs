//! Serves one upstream stand-in until it is killed; prints its address.
#![allow(clippy::print_stdout)]

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct};
use cactushold_standin::upstream::{Shape, start};

fn options() -> bpaf::OptionParser<(SocketAddr, Shape)> {
    let address = bpaf::long("listen")
        .help("Address to listen on")
        .argument::<SocketAddr>("ADDR")
        .fallback(([127, 0, 0, 1], 0).into());
    let slots =
        bpaf::long("slots").help("Requests run at a time").argument::<u32>("N").fallback(12);
    let run = bpaf::long("run-us")
        .help("Mean time of a run in microseconds")
        .argument::<u64>("US")
        .fallback(3_000)
        .map(Duration::from_micros);
    let cold = bpaf::long("cold").help("Start cold").switch();
    let seed = bpaf::long("seed").help("Seed of the run times").argument::<u64>("N").fallback(1);
    let shape = construct!(Shape { slots, run, cold, seed });
    construct!(address, shape).to_options().descr("Stand-in for an upstream that owns keys")
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let (address, shape) = options().run();
    let (local, task) = start(address, shape).await?;
    println!("{local}");
    task.await?
}
