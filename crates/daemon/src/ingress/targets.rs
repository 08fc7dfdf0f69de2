//! Selects the daemon for each attempt of a request.

use cactushold_attempt::{
    Candidate, ForecastCandidate, PowerOfTwoChoices, UpstreamScore, pick_soonest,
};
use cactushold_lease::{Incarnation, Slice, SliceId, Time};

use crate::exchange::Request;
use crate::shared::{Shared, View};

/// Number of tried upstreams from which on a request is no longer returned because another upstream
/// is expected to be faster.
const MAX_RETURNS: usize = 2;

/// Possible targets of a request, and those already tried.
pub struct Targets {
    slice: Option<SliceId>,
    owners: Vec<Incarnation>,
    position: usize,
    tried: Vec<Incarnation>,
    may_probe: bool,
    is_moving: bool,
}

impl Targets {
    /// Collects the likely holders of a keyed request's slice, the most likely one first. Requests
    /// without a key have no fixed targets.
    pub fn of(shared: &Shared, view: &View, request: &Request) -> Targets {
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let hint = slice.and_then(|slice| shared.hints().get(&slice.id).copied());
        let mut owners = Vec::new();
        for owner in hint.into_iter().chain(slice.into_iter().flat_map(Slice::likely_holders)) {
            let is_known = view.table.members.contains_key(&owner);
            if !owners.contains(&owner) && is_known && !view.unresponsive.contains(&owner) {
                owners.push(owner);
            }
        }
        let is_moving = slice.is_some_and(|slice| slice.previous.is_some());
        let slice = slice.map(|slice| slice.id);
        let may_probe = request.idempotent;
        Targets { slice, owners, position: 0, tried: Vec::new(), may_probe, is_moving }
    }

    /// Like [`Targets::of`], but without `holder`, and starting at index `position` of the others.
    pub fn except(
        shared: &Shared,
        view: &View,
        request: &Request,
        holder: Incarnation,
        position: usize,
    ) -> Targets {
        let mut targets = Targets::of(shared, view, request);
        targets.owners.retain(|owner| *owner != holder);
        targets.position = position;
        targets
    }

    /// Whether an untried daemon is left.
    pub fn has_untried(&self, view: &View, service: &str) -> bool {
        match self.slice {
            Some(_) => !self.owners.is_empty(),
            None => self.eligible(view, service).any(|id| !self.tried.contains(&id)),
        }
    }

    /// Whether the slice of the key is moving from one holder to another.
    pub fn is_moving(&self) -> bool {
        self.is_moving
    }

    /// Picks the next daemon to try.
    pub fn next(
        &mut self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        if self.slice.is_some() {
            let owner = self.owners.get(self.position % self.owners.len().max(1)).copied();
            self.position += 1;
            return owner;
        }
        let target = match shared.uses_reports() {
            true => self.pick_soonest(shared, view, request, now, random)?,
            false => self.pick_by_score(shared, view, &request.service, now, random)?,
        };
        self.tried.push(target);
        Some(target)
    }

    /// Whether every holder was tried equally often. Always true for requests without a key.
    pub fn is_round_over(&self) -> bool {
        self.slice.is_none() || self.position.is_multiple_of(self.owners.len().max(1))
    }

    /// Remembers the daemon that replied for the slice, unless the table already names it first.
    pub fn remember_holder(&self, shared: &Shared, holder: Incarnation) {
        if let Some(slice) = self.slice {
            let mut hints = shared.hints();
            if self.owners.first() == Some(&holder) && !hints.contains_key(&slice) {
                return;
            }
            hints.insert(slice, holder);
        }
    }

    /// Forgets a remembered holder after a failed attempt.
    pub fn forget_holder(&self, shared: &Shared, holder: Incarnation) {
        if let Some(slice) = self.slice {
            let mut hints = shared.hints();
            if hints.get(&slice) == Some(&holder) {
                hints.remove(&slice);
            }
        }
    }

    /// Returns the lowest expected latency of the untried upstreams; `None` for keyed requests,
    /// after several attempts, and if no other upstream has a latency estimate.
    pub fn expected_elsewhere(
        &self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
    ) -> Option<Time> {
        if self.slice.is_some() || self.tried.len() >= MAX_RETURNS {
            return None;
        }
        let forecasts = shared.forecasts();
        let others = self.eligible(view, &request.service).filter(|id| !self.tried.contains(id));
        let expected = |id| forecasts.get(&id).map(|known| known.expected(request.route, now));
        others.filter_map(expected).min().filter(|expected| !expected.is_zero())
    }

    /// Members that serve `service` and accept new work.
    fn eligible<'a>(
        &self,
        view: &'a View,
        service: &'a str,
    ) -> impl Iterator<Item = Incarnation> + 'a {
        let members = view.table.members.iter();
        let eligible = members
            .filter(move |(id, member)| member.peer.service == service && view.accepts_work(**id));
        eligible.map(|(id, _)| *id)
    }

    /// Picks among the upstreams with the lowest expected latency.
    fn pick_soonest(
        &self,
        shared: &Shared,
        view: &View,
        request: &Request,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut ids: Vec<Incarnation> = self.eligible(view, &request.service).collect();
        if ids.iter().any(|id| !self.tried.contains(id)) {
            ids.retain(|id| !self.tried.contains(id));
        }
        let zone = &shared.instance.zone;
        let forecasts = shared.forecasts();
        let candidates: Vec<ForecastCandidate> = ids
            .iter()
            .map(|id| ForecastCandidate {
                expected: forecasts.get(id).map_or(Time::ZERO, |f| f.expected(request.route, now)),
                is_local: view.table.members.get(id).is_some_and(|m| m.peer.zone == *zone),
            })
            .collect();
        let goal = request.goal.saturating_sub(request.arrived);
        pick_soonest(&candidates, goal, random).map(|at| ids[at])
    }

    /// Picks an upstream by power of two choices, untried ones first.
    fn pick_by_score(
        &self,
        shared: &Shared,
        view: &View,
        service: &str,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut ids: Vec<Incarnation> = self.eligible(view, service).collect();
        let untried: Vec<Incarnation> =
            ids.iter().copied().filter(|id| !self.tried.contains(id)).collect();
        if !untried.is_empty() {
            ids = untried;
        }
        let scores = shared.scores();
        let default_score = UpstreamScore::default();
        let zone = &shared.instance.zone;
        let candidates: Vec<Candidate<'_>> = ids
            .iter()
            .map(|id| Candidate {
                score: scores.get(id).unwrap_or(&default_score),
                is_local: view.table.members.get(id).is_some_and(|m| m.peer.zone == *zone),
            })
            .collect();
        PowerOfTwoChoices::pick(&candidates, self.may_probe, now, random).map(|at| ids[at])
    }
}
