//! Prints instances, what they own and the versions in force.

use std::net::SocketAddr;

use crate::cli::Options;
use crate::error::Error;
use crate::http::Daemons;
use crate::output::{print, print_json, row, table};

/// What the commands read of a daemon's state.
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
    members: Vec<Member>,
}

/// A member, as the slice table names it.
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

#[derive(serde::Serialize)]
struct Line {
    #[serde(flatten)]
    member: Member,
    status: Option<Status>,
}

/// Prints a line for each member, asking each one for its own state.
///
/// # Errors
/// No daemon answers.
pub async fn run(daemons: &Daemons, options: &Options) -> Result<(), Error> {
    let lines = lines(daemons).await?;
    if options.json {
        print_json(&lines);
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
    for Line { member, status } in &lines {
        let number = |read: fn(&Status) -> u64| {
            status.as_ref().map_or_else(|| "?".to_owned(), |status| read(status).to_string())
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
    Ok(())
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

async fn lines(daemons: &Daemons) -> Result<Vec<Line>, Error> {
    let first: Status = daemons.get("/status").await?;
    let mut lines = Vec::new();
    for member in first.members {
        let address = member.admin.parse::<SocketAddr>().ok();
        let status = match address {
            Some(address) => daemons.get_from::<Status>(address, "/status").await,
            None => None,
        };
        // Another process may have taken the address over.
        let status = status.filter(|status| status.incarnation == member.incarnation);
        lines.push(Line { member, status });
    }
    Ok(lines)
}

/// Lists upstreams by service.
///
/// # Errors
/// No daemon answers.
pub async fn list_upstreams(daemons: &Daemons, options: &Options) -> Result<(), Error> {
    let first: Status = daemons.get("/status").await?;
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
