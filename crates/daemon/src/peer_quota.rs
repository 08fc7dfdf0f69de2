//! Borrows shares of workspaces' rate limits from the daemons that own their buckets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::Incarnation;
use cactushold_quota::Loan;
use cactushold_wire::schema::share;

use crate::clock;
use crate::ingress::bucket_owners;
use crate::peer::{Links, bucket_ownership};
use crate::quota::{DueDemand, Token};
use crate::shared::Shared;
use crate::worker::Worker;

/// How often borrowed shares are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a call to a bucket's owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Thousandths per unit: rates and tokens are sent in thousandths.
const MILLI: f64 = 1_000.0;

/// Requests one token from a bucket's owner. Returns `None` if the daemon does not own the bucket
/// or cannot be reached.
pub async fn take_token(worker: &Rc<Worker>, owner: Incarnation, workspace: &str) -> Option<Token> {
    let shared = &worker.shared;
    let view = shared.view();
    if owner == view.id {
        let taken = shared.quota().take(workspace, bucket_ownership(&view, workspace)?)?;
        return Some(taken);
    }
    let address = view.table.members.get(&owner)?.peer.address;
    let link = worker.links.get(address).await.ok()?;
    let mut call = link.peer.share_request();
    let mut demand = call.get().init_demands(1).get(0);
    demand.set_workspace(workspace);
    demand.set_tokens_milli(MILLI as u64);
    let _open = link.start();
    let results = tokio::time::timeout(CALL_TIMEOUT, call.send().promise).await.ok()?.ok()?;
    let shares = results.get().ok()?.get_shares().ok()?;
    let share = shares.iter().next()?;
    let is_taken = share.get_fresh_milli() > 0;
    let wait = Duration::from_millis(share.get_wait_ms().into());
    Some(if is_taken { Ok(wait) } else { Err(wait) })
}

/// Periodically renews all shares in use. Never returns.
pub async fn renew_shares(shared: Arc<Shared>, links: Rc<Links>) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        let due = shared.quota().demands(clock::now());
        let mut by_owner: BTreeMap<Incarnation, Vec<DueDemand>> = BTreeMap::new();
        let view = shared.view();
        for due in due {
            if let Some(owner) = bucket_owners(&view, &due.workspace).first() {
                by_owner.entry(*owner).or_default().push(due);
            }
        }
        for (owner, due) in by_owner {
            let (shared, links) = (Arc::clone(&shared), Rc::clone(&links));
            tokio::task::spawn_local(async move { renew(&shared, &links, owner, due).await });
        }
    }
}

async fn renew(
    shared: &Shared,
    links: &Links,
    owner: Incarnation,
    due: Vec<DueDemand>,
) -> Option<()> {
    let view = shared.view();
    let sent = clock::now();
    if owner == view.id {
        for due in due {
            let mut quota = shared.quota();
            let owned = bucket_ownership(&view, &due.workspace)?;
            let loan = quota.lend(&due.workspace, view.id, due.demand, owned)?;
            quota.borrow(&due.workspace, loan, sent, clock::now());
        }
        return Some(());
    }
    let address = view.table.members.get(&owner)?.peer.address;
    let link = links.get(address).await.ok()?;
    let mut call = link.peer.share_request();
    let mut demands = call.get().init_demands(due.len() as u32);
    for (index, due) in due.iter().enumerate() {
        let mut demand = demands.reborrow().get(index as u32);
        demand.set_workspace(&due.workspace);
        demand.set_rate_milli((due.demand.rate * MILLI) as u64);
        demand.set_held_milli((due.demand.held.rate * MILLI).round() as u64);
        demand.set_held_depth_milli((due.demand.held.depth * MILLI).round() as u32);
        demand.set_daemon(view.id);
    }
    let _open = link.start();
    let results = tokio::time::timeout(CALL_TIMEOUT, call.send().promise).await.ok()?.ok()?;
    let now = clock::now();
    for share in results.get().ok()?.get_shares().ok()? {
        let workspace = share.get_workspace().ok()?.to_str().ok()?;
        shared.quota().borrow(workspace, loan_of(share), sent, now);
    }
    Some(())
}

fn loan_of(share: share::Reader<'_>) -> Loan {
    Loan {
        rate: share.get_rate_milli() as f64 / MILLI,
        depth: share.get_burst_milli() as f64 / MILLI,
        initial_tokens: share.get_fresh_milli() as f64 / MILLI,
    }
}
