//! Spends a workspace's rate before a request goes anywhere.

use std::rc::Rc;
use std::time::Duration;

use cactushold_attempt::Kind;
use cactushold_lease::{Incarnation, Time};
use cactushold_placement::{QUOTA, hash_key};

use crate::clock;
use crate::exchange::Refusal;
use crate::peer_quota::{self, Token};
use crate::quota::Spend;
use crate::shared::View;
use crate::worker::Worker;

/// A token that will be there this soon is waited for, once.
const WORTH_WAITING: Duration = Duration::from_millis(100);
/// Pause before a bucket's owner is looked for again.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes one token for the workspace.
///
/// # Errors
/// The workspace is over its rate, or its bucket has no owner until the deadline.
pub async fn spend(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let spent = worker.shared.quota().spend(workspace, clock::now());
    match spent {
        Spend::Granted => Ok(()),
        Spend::Refused(wait) => Err(over_rate(wait)),
        Spend::Ask => ask(worker, workspace, deadline).await,
    }
}

async fn ask(worker: &Rc<Worker>, workspace: &str, deadline: Time) -> Result<(), Refusal> {
    let mut has_waited = false;
    loop {
        let token = ask_owners(worker, workspace).await;
        let now = clock::now();
        let pause = match token {
            Some(Token::Taken) => return Ok(()),
            Some(Token::None(wait)) if has_waited || wait > WORTH_WAITING => {
                worker.shared.quota().refused(workspace, wait, now);
                return Err(over_rate(wait));
            }
            Some(Token::None(wait)) => {
                has_waited = true;
                wait
            }
            None => PAUSE,
        };
        if now + pause >= deadline {
            let refusal = Refusal::new(Kind::NoOwner);
            return Err(refusal.with_detail("the workspace's rate has no owner now"));
        }
        tokio::time::sleep(pause).await;
    }
}

async fn ask_owners(worker: &Rc<Worker>, workspace: &str) -> Option<Token> {
    let view = worker.shared.view();
    for owner in owners(&view, workspace) {
        let token = peer_quota::take_token(worker, owner, workspace).await;
        if token.is_some() {
            return token;
        }
    }
    None
}

/// Possible owners of a workspace's bucket.
pub fn owners(view: &View, workspace: &str) -> Vec<Incarnation> {
    let slice = view.table.locate(QUOTA, hash_key(workspace.as_bytes()));
    let mut owners: Vec<Incarnation> = slice
        .map(|slice| {
            let earlier = slice.previous.map(|previous| previous.assignment);
            let mut all = vec![slice.current.owner, slice.current.successor];
            all.extend(earlier.into_iter().flat_map(|earlier| [earlier.owner, earlier.successor]));
            all
        })
        .unwrap_or_default();
    let mut seen = Vec::new();
    owners.retain(|owner| {
        let is_new = !seen.contains(owner);
        seen.push(*owner);
        is_new
    });
    owners
}

fn over_rate(wait: Duration) -> Refusal {
    Refusal { kind: Kind::OverRate, detail: String::new(), retry: Some(wait) }
}
