//! Borrows shares of workspaces' rates from the owners of their buckets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_lease::Incarnation;
use cactushold_quota::Loan;
use cactushold_wire::schema::share;

use crate::clock;
use crate::ingress::bucket_owners;
use crate::peer::{Links, owned};
use crate::quota::{Due, Token};
use crate::shared::Shared;
use crate::worker::Worker;

/// How often shares are renewed.
const RENEWAL: Duration = Duration::from_millis(1_000);
/// How long an owner may take to answer.
const ANSWER: Duration = Duration::from_millis(300);
/// Thousandths in a whole.
const MILLI: f64 = 1_000.0;

/// Asks a bucket's owner for one token; nothing if it isn't the owner or can't be reached.
pub async fn take_token(worker: &Rc<Worker>, owner: Incarnation, workspace: &str) -> Option<Token> {
    let shared = &worker.shared;
    let view = shared.view();
    if owner == view.id {
        let taken = shared.quota().take(workspace, owned(&view, workspace)?)?;
        return Some(taken);
    }
    let address = view.table.members.get(&owner)?.peer.address;
    let link = worker.links.get(address).await.ok()?;
    let mut call = link.peer.share_request();
    let mut demand = call.get().init_demands(1).get(0);
    demand.set_workspace(workspace);
    demand.set_tokens_milli(MILLI as u64);
    let _open = link.start();
    let results = tokio::time::timeout(ANSWER, call.send().promise).await.ok()?.ok()?;
    let shares = results.get().ok()?.get_shares().ok()?;
    let share = shares.iter().next()?;
    let is_taken = share.get_fresh_milli() > 0;
    let wait = Duration::from_millis(share.get_wait_ms().into());
    Some(if is_taken { Ok(wait) } else { Err(wait) })
}

/// Renews all shares in use, for as long as the daemon runs.
pub async fn renew_shares(shared: Arc<Shared>, links: Rc<Links>) {
    loop {
        tokio::time::sleep(RENEWAL).await;
        let due = shared.quota().demands(clock::now());
        let mut by_owner: BTreeMap<Incarnation, Vec<Due>> = BTreeMap::new();
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

async fn renew(shared: &Shared, links: &Links, owner: Incarnation, due: Vec<Due>) -> Option<()> {
    let view = shared.view();
    let sent = clock::now();
    if owner == view.id {
        for due in due {
            let mut ledger = shared.quota();
            let owned = owned(&view, &due.workspace)?;
            let loan = ledger.lend(&due.workspace, view.id, due.demand, owned)?;
            ledger.borrow(&due.workspace, loan, sent, clock::now());
        }
        return Some(());
    }
    let address = view.table.members.get(&owner)?.peer.address;
    let link = links.get(address).await.ok()?;
    let mut call = link.peer.share_request();
    let mut demands = call.get().init_demands(due.len() as u32);
    for (at, due) in due.iter().enumerate() {
        let mut demand = demands.reborrow().get(at as u32);
        demand.set_workspace(&due.workspace);
        demand.set_rate_milli((due.demand.rate * MILLI) as u64);
        demand.set_held_milli((due.demand.held.rate * MILLI).round() as u64);
        demand.set_held_depth_milli((due.demand.held.depth * MILLI).round() as u32);
        demand.set_daemon(view.id);
    }
    let _open = link.start();
    let results = tokio::time::timeout(ANSWER, call.send().promise).await.ok()?.ok()?;
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
