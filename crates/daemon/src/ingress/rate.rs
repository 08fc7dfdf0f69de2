//! Spends a workspace's rate before a request goes anywhere.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_attempt::FailureKind;
use cactushold_lease::{Incarnation, Slice, Time};
use cactushold_placement::{QUOTA, hash_key};

use crate::clock;
use crate::exchange::Refusal;
use crate::peer_quota;
use crate::quota::{Portion, Spend, Token};
use crate::shared::View;
use crate::worker::Worker;

/// Pause before a bucket's owner is looked for again.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes one token for the workspace.
///
/// # Errors
/// The workspace is over its rate, or its bucket has no owner until the deadline.
pub async fn spend(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let config = Arc::clone(&worker.shared.view().config);
    if worker.shared.is_told() && !config.workspaces.get(workspace).is_some_and(is_limited) {
        return Ok(());
    }
    let outcome = spend_limited(worker, workspace, deadline).await;
    // What decided it goes with the refusal into the log.
    outcome.map_err(|refusal| match config.workspaces.get(workspace) {
        Some(limits) if refusal.kind == FailureKind::OverRate => {
            let detail = format!("{workspace}: {}/s, burst {}", limits.rate, limits.burst);
            refusal.with_detail(detail)
        }
        _ => refusal,
    })
}

async fn spend_limited(
    worker: &Rc<Worker>,
    workspace: &str,
    deadline: Time,
) -> Result<(), Refusal> {
    let spent = worker.shared.quota().spend(workspace, clock::now());
    match spent {
        Spend::Granted => Ok(()),
        Spend::Refused(_) | Spend::Ask if takes_part(worker, workspace, Portion::Own).is_ok() => {
            Ok(())
        }
        Spend::Refused(wait) => Err(over_rate(wait)),
        Spend::Ask if worker.shared.is_told() => ask_once(worker, workspace, deadline).await,
        Spend::Ask => ask(worker, workspace, deadline).await,
    }
}

/// Whether a workspace has a limit at all.
fn is_limited(workspace: &cactushold_config::Workspace) -> bool {
    workspace.rate > 0.0
}

/// Asks the daemon that lends the workspace's rate; without its answer, spends this daemon's even
/// part.
async fn ask_once(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let shared = &worker.shared;
    let view = shared.view();
    for lender in bucket_owners(&view, workspace) {
        let is_heard = !view.silent.contains(&lender);
        if !is_heard || !shared.quota().asks_lender(lender, clock::now()) {
            continue;
        }
        match peer_quota::take_token(worker, lender, workspace).await {
            Some(token) => return use_token(worker, workspace, token, deadline).await,
            None => shared.quota().lender_was_silent(lender, clock::now()),
        }
    }
    takes_part(worker, workspace, Portion::Lent).map_err(over_rate)
}

/// Takes a token of this daemon's even part of a portion, where daemons have parts.
fn takes_part(worker: &Worker, workspace: &str, portion: Portion) -> Result<(), Duration> {
    let shared = &worker.shared;
    if !shared.is_told() {
        return Err(Duration::ZERO);
    }
    let view = shared.view();
    let sharers = view.table.members.len();
    let now = clock::now();
    shared.quota().take_part(workspace, &view.config, portion, sharers, now)
}

/// Waits until the token comes in, or refuses.
async fn use_token(
    worker: &Rc<Worker>,
    workspace: &str,
    token: Token,
    deadline: Time,
) -> Result<(), Refusal> {
    let now = clock::now();
    match token {
        Ok(wait) if now + wait >= deadline => Err(Refusal::new(FailureKind::Expired)),
        Ok(wait) => {
            if wait.is_zero() {
                return Ok(());
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => Ok(()),
                () = worker.shared.stop_limit() => Err(Refusal::new(FailureKind::Draining)),
            }
        }
        Err(wait) => {
            worker.shared.quota().refused(workspace, wait, now);
            Err(over_rate(wait))
        }
    }
}

async fn ask(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    loop {
        if let Some(token) = ask_owners(worker, workspace).await {
            return use_token(worker, workspace, token, deadline).await;
        }
        if clock::now() + PAUSE >= deadline {
            let refusal = Refusal::new(FailureKind::NoOwner);
            return Err(refusal.with_detail("the workspace's rate has no owner now"));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn ask_owners(worker: &Rc<Worker>, workspace: &str) -> Option<Token> {
    let view = worker.shared.view();
    for owner in bucket_owners(&view, workspace) {
        let token = peer_quota::take_token(worker, owner, workspace).await;
        if token.is_some() {
            return token;
        }
    }
    None
}

/// Possible owners of a workspace's bucket.
pub fn bucket_owners(view: &View, workspace: &str) -> Vec<Incarnation> {
    let slice = view.table.locate(QUOTA, hash_key(workspace.as_bytes()));
    slice.map(Slice::likely_holders).unwrap_or_default()
}

fn over_rate(wait: Duration) -> Refusal {
    Refusal::new(FailureKind::OverRate).with_retry_after(wait)
}
