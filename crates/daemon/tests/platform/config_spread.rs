//! Changes of the configuration reach each daemon in time, whoever of them learns of a change.

use std::time::Duration;

use cactushold_config::Config;
use cactushold_standin::environment::Environment;
use cactushold_wire::schema::{Document, peer};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::future::join_all;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::cases::{config, deployment, deployment_with_doors, leader, until};

/// Time within which a change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after a disturbance of the store from which bounds hold again.
const STABLE: Duration = Duration::from_secs(3);
/// Time from which a server that joined has to get requests.
const JOINED: Duration = Duration::from_secs(4);

/// The time that each daemon but one takes until a version is in force.
async fn times_in_force(environment: &Environment, except: usize, version: u64) -> Vec<Duration> {
    let others = (0..environment.daemons.len()).filter(|index| *index != except);
    join_all(others.map(async |index| {
        until(&format!("version {version} at daemon {index}"), async || {
            environment.status(index).await["config_version"].as_u64() >= Some(version)
        })
        .await
    }))
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_while_the_leader_is_turned_away_and_watches_went_silent() {
    let environment = deployment_with_doors().await;
    let all = 0..environment.daemons.len();
    for index in all.clone() {
        environment.door_faults(index, json!({ "mute": true })).await;
    }
    // The answers to the watches are lost.
    environment.store("config", "main", &config(2)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for index in all.clone() {
        environment.door_faults(index, json!({})).await;
    }
    times_in_force(&environment, all.end, 2).await;
    let leader = leader(&environment).await;
    environment.door_faults(leader, json!({ "mute": true })).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    environment.store("config", "main", &config(3)).await;
    let times = times_in_force(&environment, leader, 3).await;
    assert!(times.iter().all(|time| *time < IN_FORCE), "{times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_joins_after_the_leaders_watch_went_silent_becomes_a_member() {
    let mut environment = deployment_with_doors().await;
    let leader = leader(&environment).await;
    environment.door_faults(leader, json!({ "mute": true })).await;
    // The answer to the leader's watch is lost.
    environment.store("cactushold-members", "other", &json!({})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    environment.door_faults(leader, json!({})).await;
    tokio::time::sleep(STABLE).await;
    environment.add_reporting("ruling-3", "c", "ruling").await;
    let time = until("it is a member", async || {
        let status = environment.status(leader).await;
        status["members"].as_array().is_some_and(|members| members.len() == 6)
    })
    .await;
    assert!(time < JOINED, "{time:?}");
}

/// Fetches the configuration from a daemon as one that has a version and zones of a revision;
/// `None` if there is nothing newer.
async fn fetch(environment: &Environment, index: usize, have: &Config) -> Option<Config> {
    let stream = TcpStream::connect(environment.daemons[index].peers).await.expect("a daemon");
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = system.bootstrap(Side::Server);
    let running = tokio::task::spawn_local(system);
    let mut call = peer.fetch_request();
    call.get().set_document(Document::Config);
    call.get().set_have(have.version);
    call.get().set_have_zones(have.zones_revision);
    call.get().set_compact(true);
    let results = call.send().promise.await.expect("an answer");
    let content = results.get().expect("results").get_content().expect("content").to_vec();
    running.abort();
    let decoder = flate2::read::DeflateDecoder::new(content.as_slice());
    (!content.is_empty()).then(|| serde_json::from_reader(decoder).expect("a configuration"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_asked_before_a_change_has_reached_it_waits_for_the_change() {
    let environment = deployment().await;
    LocalSet::new()
        .run_until(async {
            let nothing = Config::default();
            let first = fetch(&environment, 1, &nothing).await.expect("the configuration");
            assert_eq!(fetch(&environment, 1, &first).await, None, "nothing is newer");
            let change = async {
                tokio::time::sleep(Duration::from_millis(150)).await;
                environment.store("config", "main", &config(2)).await;
            };
            let (second, ()) = tokio::join!(fetch(&environment, 1, &first), change);
            assert_eq!(second.expect("the change").version, 2);
        })
        .await;
}
