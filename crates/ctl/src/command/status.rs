//! The `status` command and the list of upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::cli::Options;
use crate::error::Error;
use crate::http::DaemonClient;
use crate::output::{print, print_json, row, table};

/// State of a daemon, as far as the commands use it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Status {
    instance: String,
    incarnation: u64,
    zone: String,
    service: String,
    leads: bool,
    is_valid: bool,
    is_leaving: bool,
    is_fresh: bool,
    config_version: u64,
    table_version: u64,
    slices: u64,
    running: u64,
    waiting: u64,
    limit: u64,
    /// Parts of the store's objects that the daemon can't read.
    #[serde(default)]
    unreadable: Vec<String>,
    members: Vec<Member>,
}

/// An instance in the slice table.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Member {
    instance: String,
    incarnation: u64,
    zone: String,
    service: String,
    peers: String,
    admin: String,
    owns: u64,
    moving: u64,
    sponsors: Vec<String>,
}

/// An instance with its daemon's own state; `None` if the daemon didn't respond.
#[derive(serde::Serialize)]
struct MemberStatus {
    #[serde(flatten)]
    member: Member,
    status: Option<Status>,
}

/// Prints the state of each instance, which is requested from its own daemon.
///
/// # Errors
/// No daemon responds.
pub async fn run(client: &DaemonClient, options: &Options) -> Result<(), Error> {
    let members = members(client).await?;
    if options.json {
        print_json(&members);
        return Ok(());
    }
    let mut rows = vec![row(&[
        &"INSTANCE",
        &"INCARNATION",
        &"ZONE",
        &"SERVICE",
        &"STATE",
        &"OWNS",
        &"SERVES",
        &"MOVING",
        &"RUNNING",
        &"WAITING",
        &"CONFIG",
        &"TABLE",
        &"SPONSORS",
    ])];
    for MemberStatus { member, status } in &members {
        let number = |field: fn(&Status) -> u64| {
            status.as_ref().map_or_else(|| "?".to_owned(), |status| field(status).to_string())
        };
        rows.push(row(&[
            &member.instance,
            &member.incarnation,
            &member.zone,
            &member.service,
            &state(status.as_ref()),
            &member.owns,
            &number(|status| status.slices),
            &member.moving,
            &number(|status| status.running),
            &number(|status| status.waiting),
            &number(|status| status.config_version),
            &number(|status| status.table_version),
            &member.sponsors.join(","),
        ]));
    }
    print(&table(&rows));
    for line in unreadable(&members) {
        print(&line);
    }
    Ok(())
}

/// What daemons can't read of the store's objects, with the number of daemons.
fn unreadable(members: &[MemberStatus]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for status in members.iter().filter_map(|member| member.status.as_ref()) {
        for part in &status.unreadable {
            *counts.entry(part).or_default() += 1;
        }
    }
    let lines = counts.iter().map(|(part, count)| format!("unreadable at {count}: {part}\n"));
    lines.collect()
}

fn state(status: Option<&Status>) -> &'static str {
    match status {
        None => "no answer",
        Some(status) if status.is_leaving => "leaving",
        Some(status) if !status.is_valid => "no lease",
        Some(status) if !status.is_fresh => "not fresh",
        Some(status) if status.leads => "leads",
        Some(_) => "serves",
    }
}

/// Gets the instances from the first daemon that responds, and the state of each from its own daemon.
async fn members(client: &DaemonClient) -> Result<Vec<MemberStatus>, Error> {
    let first: Status = client.get("/status").await?;
    let mut members = Vec::new();
    for member in first.members {
        let address = member.admin.parse::<SocketAddr>().ok();
        let status = match address {
            Some(address) => client.get_from::<Status>(address, "/status").await,
            None => None,
        };
        // The address may now belong to another process.
        let status = status.filter(|status| status.incarnation == member.incarnation);
        members.push(MemberStatus { member, status });
    }
    Ok(members)
}

/// Lists the upstreams, ordered by service.
///
/// # Errors
/// No daemon responds.
pub async fn list_upstreams(client: &DaemonClient, options: &Options) -> Result<(), Error> {
    let first: Status = client.get("/status").await?;
    if options.json {
        print_json(&first.members);
        return Ok(());
    }
    let mut members = first.members;
    members.sort_by(|a, b| (&a.service, &a.instance).cmp(&(&b.service, &b.instance)));
    let mut rows = vec![row(&[&"SERVICE", &"INSTANCE", &"ZONE", &"OWNS"])];
    for member in &members {
        rows.push(row(&[&member.service, &member.instance, &member.zone, &member.owns]));
    }
    print(&table(&rows));
    Ok(())
}
