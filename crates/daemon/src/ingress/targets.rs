//! Which daemons an attempt may go to.

use cactushold_attempt::{
    Candidate, ForecastCandidate, PowerOfTwoChoices, UpstreamScore, pick_soonest,
};
use cactushold_lease::{Incarnation, Slice, SliceId, Time};

use crate::exchange::Request;
use crate::shared::{Shared, View};

/// Upstreams that may send a request back because another one is quicker.
const MOST_SENT_BACK: usize = 2;

/// Where a request may go next.
pub struct Targets {
    slice: Option<SliceId>,
    owners: Vec<Incarnation>,
    turn: usize,
    tried: Vec<Incarnation>,
    may_probe: bool,
    is_moving: bool,
}

impl Targets {
    /// Holders of a keyed request's slice in order of likelihood; nothing fixed for others.
    pub fn of(shared: &Shared, view: &View, request: &Request) -> Targets {
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let hint = slice.and_then(|slice| shared.hints().get(&slice.id).copied());
        let mut owners = Vec::new();
        for owner in hint.into_iter().chain(slice.into_iter().flat_map(Slice::likely_holders)) {
            let is_known = view.table.members.contains_key(&owner);
            if !owners.contains(&owner) && is_known && !view.silent.contains(&owner) {
                owners.push(owner);
            }
        }
        let is_moving = slice.is_some_and(|slice| slice.previous.is_some());
        let slice = slice.map(|slice| slice.id);
        let may_probe = request.idempotent;
        Targets { slice, owners, turn: 0, tried: Vec::new(), may_probe, is_moving }
    }

    /// The same without one holder, and with the others' turns beginning at `turn`.
    pub fn except(
        shared: &Shared,
        view: &View,
        request: &Request,
        holder: Incarnation,
        turn: usize,
    ) -> Targets {
        let mut targets = Targets::of(shared, view, request);
        targets.owners.retain(|owner| *owner != holder);
        targets.turn = turn;
        targets
    }

    /// Whether there is a daemon that wasn't tried yet.
    pub fn has_untried(&self, view: &View, service: &str) -> bool {
        match self.slice {
            Some(_) => !self.owners.is_empty(),
            None => self.serving(view, service).any(|id| !self.tried.contains(&id)),
        }
    }

    /// Whether the key is on its way from one holder to another.
    pub fn is_moving(&self) -> bool {
        self.is_moving
    }

    /// The next daemon to try.
    pub fn next(
        &mut self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        if self.slice.is_some() {
            let owner = self.owners.get(self.turn % self.owners.len().max(1)).copied();
            self.turn += 1;
            return owner;
        }
        let target = match shared.is_told() {
            true => self.pick_soonest(shared, view, request, now, random)?,
            false => self.pick(shared, view, &request.service, now, random)?,
        };
        self.tried.push(target);
        Some(target)
    }

    /// Whether every holder has been asked in this round.
    pub fn is_round_over(&self) -> bool {
        self.slice.is_none() || self.turn.is_multiple_of(self.owners.len().max(1))
    }

    /// Remembers who answered for the slice.
    pub fn learn(&self, shared: &Shared, holder: Incarnation) {
        if let Some(slice) = self.slice {
            let mut hints = shared.hints();
            if self.owners.first() == Some(&holder) && !hints.contains_key(&slice) {
                return;
            }
            hints.insert(slice, holder);
        }
    }

    /// Forgets a holder that turned out wrong.
    pub fn unlearn(&self, shared: &Shared, holder: Incarnation) {
        if let Some(slice) = self.slice {
            let mut hints = shared.hints();
            if hints.get(&slice) == Some(&holder) {
                hints.remove(&slice);
            }
        }
    }

    /// Whether another upstream than the one picked last could run the request.
    pub fn expected_elsewhere(
        &self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
    ) -> Option<Time> {
        if self.slice.is_some() || self.tried.len() >= MOST_SENT_BACK {
            return None;
        }
        let forecasts = shared.forecasts();
        let others = self.serving(view, &request.service).filter(|id| !self.tried.contains(id));
        let expected = |id| forecasts.get(&id).map(|known| known.expected(request.route, now));
        others.filter_map(expected).min().filter(|expected| !expected.is_zero())
    }

    fn serving<'a>(
        &self,
        view: &'a View,
        service: &'a str,
    ) -> impl Iterator<Item = Incarnation> + 'a {
        let members = view.table.members.iter();
        let fit = members
            .filter(move |(id, member)| member.peer.service == service && view.takes_work(**id));
        fit.map(|(id, _)| *id)
    }

    /// The upstream where the request is expected to end first.
    fn pick_soonest(
        &self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut ids: Vec<Incarnation> = self.serving(view, &request.service).collect();
        if ids.iter().any(|id| !self.tried.contains(id)) {
            ids.retain(|id| !self.tried.contains(id));
        }
        let zone = &shared.instance.zone;
        let forecasts = shared.forecasts();
        let prospects: Vec<ForecastCandidate> = ids
            .iter()
            .map(|id| ForecastCandidate {
                expected: forecasts.get(id).map_or(Time::ZERO, |f| f.expected(request.route, now)),
                is_local: view.table.members.get(id).is_some_and(|m| m.peer.zone == *zone),
            })
            .collect();
        let goal = request.goal.saturating_sub(request.arrived);
        pick_soonest(&prospects, goal, random).map(|at| ids[at])
    }

    fn pick(
        &self,
        shared: &Shared,
        view: &View,
        service: &str,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut ids: Vec<Incarnation> = self.serving(view, service).collect();
        let untried: Vec<Incarnation> =
            ids.iter().copied().filter(|id| !self.tried.contains(id)).collect();
        if !untried.is_empty() {
            ids = untried;
        }
        let scores = shared.scores();
        let unknown = UpstreamScore::default();
        let zone = &shared.instance.zone;
        let candidates: Vec<Candidate<'_>> = ids
            .iter()
            .map(|id| Candidate {
                score: scores.get(id).unwrap_or(&unknown),
                is_local: view.table.members.get(id).is_some_and(|m| m.peer.zone == *zone),
            })
            .collect();
        PowerOfTwoChoices::pick(&candidates, self.may_probe, now, random).map(|at| ids[at])
    }
}
