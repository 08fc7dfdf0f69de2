//! Enforces the rate limit of a workspace before a request is forwarded.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_attempt::FailureKind;
use cactushold_lease::{Incarnation, Slice, Time};
use cactushold_placement::{QUOTA, hash_key};

use crate::clock;
use crate::exchange::Refusal;
use crate::peer_quota;
use crate::quota::{Portion, RateDecision, Token};
use crate::shared::View;
use crate::worker::Worker;

/// Interval between attempts to reach the owner of a token bucket.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Takes one token from the bucket of a workspace.
///
/// # Errors
/// The workspace is over its rate, its bucket has no owner until the deadline, the token becomes
/// available only after the deadline, or the daemon is shutting down.
pub async fn spend(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let config = Arc::clone(&worker.shared.view().config);
    if worker.shared.uses_reports() && !config.workspaces.get(workspace).is_some_and(is_limited) {
        return Ok(());
    }
    let outcome = spend_limited(worker, workspace, deadline).await;
    // Adds the limits to the refusal, so that the log shows them.
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
    let local = worker.shared.quota().spend(workspace, clock::now());
    match local {
        RateDecision::Granted => Ok(()),
        RateDecision::Refused(_) | RateDecision::AskOwner
            if take_from_share(worker, workspace, Portion::Own).is_ok() =>
        {
            Ok(())
        }
        RateDecision::Refused(wait) => Err(over_rate(wait)),
        RateDecision::AskOwner if worker.shared.uses_reports() => {
            ask_lender(worker, workspace, deadline).await
        }
        RateDecision::AskOwner => ask_until_deadline(worker, workspace, deadline).await,
    }
}

/// Whether the workspace has a rate limit.
fn is_limited(workspace: &cactushold_config::Workspace) -> bool {
    workspace.rate > 0.0
}

/// Requests a token from the daemon that owns the workspace's bucket. If no owner replies, takes it
/// from this daemon's equal share of the rate.
async fn ask_lender(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let shared = &worker.shared;
    let view = shared.view();
    for lender in bucket_owners(&view, workspace) {
        let is_reachable = !view.unresponsive.contains(&lender);
        if !is_reachable || !shared.quota().is_lender_available(lender, clock::now()) {
            continue;
        }
        match peer_quota::take_token(worker, lender, workspace).await {
            Some(token) => return redeem_token(worker, workspace, token, deadline).await,
            None => shared.quota().mark_lender_unresponsive(lender, clock::now()),
        }
    }
    take_from_share(worker, workspace, Portion::Lent).map_err(over_rate)
}

/// Takes a token from this daemon's equal share of `portion`. Only daemons whose server sends
/// reports have such shares; others always get an error.
fn take_from_share(worker: &Worker, workspace: &str, portion: Portion) -> Result<(), Duration> {
    let shared = &worker.shared;
    if !shared.uses_reports() {
        return Err(Duration::ZERO);
    }
    let view = shared.view();
    let daemons = view.table.members.len();
    let now = clock::now();
    shared.quota().take_even_share(workspace, &view.config, portion, daemons, now)
}

/// Waits until the token becomes available, or refuses the request.
async fn redeem_token(
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
                () = worker.shared.shutdown_limit() => Err(Refusal::new(FailureKind::Draining)),
            }
        }
        Err(wait) => {
            worker.shared.quota().record_refusal(workspace, wait, now);
            Err(over_rate(wait))
        }
    }
}

async fn ask_until_deadline(
    worker: &Rc<Worker>,
    workspace: &str,
    deadline: Time,
) -> Result<(), Refusal> {
    loop {
        if let Some(token) = ask_owners(worker, workspace).await {
            return redeem_token(worker, workspace, token, deadline).await;
        }
        if clock::now() + OWNER_RETRY_INTERVAL >= deadline {
            let refusal = Refusal::new(FailureKind::NoOwner);
            return Err(refusal.with_detail("the workspace's token bucket has no owner"));
        }
        tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
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

/// Daemons that may own the token bucket of a workspace, the most likely one first.
pub fn bucket_owners(view: &View, workspace: &str) -> Vec<Incarnation> {
    let slice = view.table.locate(QUOTA, hash_key(workspace.as_bytes()));
    slice.map(Slice::likely_holders).unwrap_or_default()
}

fn over_rate(wait: Duration) -> Refusal {
    Refusal::new(FailureKind::OverRate).with_retry_after(wait)
}
