//! Runs an experiment and prints its report.
#![allow(clippy::print_stdout)]

use std::time::Duration;

use bpaf::{Parser, construct};
use cactushold_standin::bench::{failover, load, slopes};
use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::{COOPERATIVE, Deployment, TANQUELIA};

#[derive(Clone, Debug)]
struct Load {
    deployment: String,
    run_us: u64,
    workers: usize,
    no_retries: bool,
    json: bool,
    plan: load::Plan,
}

#[derive(Clone, Debug)]
enum Experiment {
    Load(Load),
    Failover { losses: usize, outage: bool },
    Slopes { daemons: Vec<usize>, seconds: u64 },
}

fn load_options() -> impl Parser<Experiment> {
    let deployment = bpaf::long("deployment")
        .help("cooperative or tanquelia")
        .argument::<String>("NAME")
        .fallback("cooperative".to_owned());
    let run_us = bpaf::long("run-us").argument::<u64>("US").fallback(3_000);
    let workers = bpaf::long("workers").argument::<usize>("N").fallback(1);
    let no_retries = bpaf::long("no-retries").help("No retries and hedges").switch();
    let json = bpaf::long("json").switch();
    let seconds = bpaf::long("seconds").argument::<u64>("S").fallback(15);
    let fraction = bpaf::long("fraction")
        .help("Part of each workspace's rate that is sent")
        .argument::<f64>("X")
        .fallback(0.7);
    let stragglers = bpaf::long("stragglers")
        .help("Upstreams of each service that are slowed down")
        .argument::<usize>("N")
        .fallback(0);
    let slowdown = bpaf::long("slowdown").argument::<f64>("X").fallback(20.0);
    let zone_out = bpaf::long("zone-out").help("Takes a zone out for the middle third").switch();
    let noisy = bpaf::long("noisy")
        .help("A workspace that sends ten times its rate")
        .argument::<String>("NAME")
        .map(|name| (name, 10.0))
        .optional();
    let direct = bpaf::long("direct").help("Calls the upstreams without daemons").switch();
    let seed = bpaf::long("seed").argument::<u64>("N").fallback(1);
    let plan = construct!(load::Plan {
        seconds,
        fraction,
        stragglers,
        slowdown,
        zone_out,
        noisy,
        direct,
        seed
    });
    construct!(Load { deployment, run_us, workers, no_retries, json, plan })
        .map(Experiment::Load)
        .to_options()
        .descr("Open-loop load on a deployment")
        .command("load")
}

fn options() -> bpaf::OptionParser<Experiment> {
    let load = load_options();
    let losses = bpaf::long("losses").argument::<usize>("N").fallback(50);
    let outage = bpaf::long("outage").help("With the platform out").switch();
    let failover = construct!(Experiment::Failover { losses, outage })
        .to_options()
        .descr("Losses of owners, one after another")
        .command("failover");
    let daemons = bpaf::long("daemons").argument::<usize>("N").many();
    let seconds = bpaf::long("seconds").argument::<u64>("S").fallback(10);
    let slopes = construct!(Experiment::Slopes { daemons, seconds })
        .to_options()
        .descr("Control costs by fleet size")
        .command("slopes");
    construct!([load, failover, slopes]).to_options().descr("Experiments on one machine")
}

#[tokio::main]
async fn main() {
    match options().run() {
        Experiment::Load(load) => run_load(&load).await,
        Experiment::Failover { losses, outage } => {
            let mut environment = Environment::new().await;
            COOPERATIVE.start(&mut environment, Duration::from_millis(3)).await;
            let report = failover::run(&mut environment, losses, outage).await;
            println!("platform out: {outage}; {}", report.line());
        }
        Experiment::Slopes { daemons, seconds } => {
            println!("{}", slopes::Row::heading());
            for count in daemons {
                println!("{}", slopes::run(count, seconds).await.line());
            }
        }
    }
}

async fn run_load(load: &Load) {
    let deployment: Deployment =
        if load.deployment == TANQUELIA.name { TANQUELIA } else { COOPERATIVE };
    let mut environment = Environment::new().await;
    environment.workers = load.workers;
    if load.no_retries {
        environment.extra_settings = "retry_percent = 0\n".to_owned();
    }
    deployment.start(&mut environment, Duration::from_micros(load.run_us)).await;
    let report = load::run(&environment, &deployment, &load.plan).await;
    if load.json {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
}
