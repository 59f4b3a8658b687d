//! Links to agents: opens and closes them, and handles their loss.

use super::AnswerEnd;
use super::Arc;
use super::Catalog;
use super::EntryMessage;
use super::EntryState;
use super::EntryStep;
use super::Incarnation;
use super::LoggedDecision;
use super::Phase;
use super::RequestId;

impl EntryState {
    pub(super) fn link_up(&mut self, now_ms: u64, agent: &Arc<str>, incarnation: Incarnation) {
        self.link_lost(now_ms, agent);
        let Some(known) = self.agents.get_mut(agent) else {
            return;
        };
        known.linked = Some(incarnation);
        known.backoff_until_ms = 0;
        let running: Vec<_> = known.running.iter().copied().collect();
        for request in running {
            self.query_attempt(request);
        }
        self.place_unplaced(now_ms, agent);
    }

    /// Asks the agent for the state of the request's attempt. Repeats the cancel message if
    /// nobody waits for the attempt.
    pub(super) fn query_attempt(&mut self, request: RequestId) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        let Some(attempt) = run.phase.attempt().cloned() else {
            return;
        };
        let cancel = matches!(run.phase, Phase::Abandoned(_)) && !run.submission.non_idempotent;
        let queried = LoggedDecision::QueriedAttempt {
            agent: attempt.agent.clone(),
        };
        self.record(request, queried);
        let message = EntryMessage::Settle {
            attempt: attempt.id,
            grant: attempt.grant,
        };
        self.send(&attempt.agent, message);
        if cancel && !self.is_followed(&attempt) {
            let message = EntryMessage::Cancel {
                attempt: attempt.id,
            };
            self.send(&attempt.agent, message);
        }
    }

    /// Asks for reservations for the requests without any that this agent can serve.
    fn place_unplaced(&mut self, now_ms: u64, agent: &Arc<str>) {
        let Some(upstream) = self.agents.get(agent).map(|known| known.upstream.clone()) else {
            return;
        };
        let waiting: Vec<_> = self
            .unplaced
            .iter()
            .filter(|request| {
                self.runs
                    .get(*request)
                    .is_some_and(|run| upstream.can_serve(&run.submission.target))
            })
            .copied()
            .collect();
        for request in waiting {
            self.reserve(now_ms, request);
        }
    }

    /// Handles the loss of a link. Its reservations and unanswered grants are lost with it; its
    /// attempts are queried when it is back.
    pub(super) fn link_lost(&mut self, now_ms: u64, agent: &Arc<str>) {
        let Some(known) = self.agents.get_mut(agent) else {
            return;
        };
        known.linked = None;
        self.reserve_elsewhere(now_ms, agent);
    }

    /// Drops the reservations at an agent and asks other agents instead.
    fn reserve_elsewhere(&mut self, now_ms: u64, agent: &Arc<str>) {
        let Some(known) = self.agents.get_mut(agent) else {
            return;
        };
        let reserved = std::mem::take(&mut known.reserved);
        let linked = known.linked.is_some();
        for request in reserved {
            if linked {
                self.send(agent, EntryMessage::Withdraw { request });
            }
            self.drop_held_grant(request, agent);
            if let Some(run) = self.runs.get_mut(&request) {
                run.reserved.swap_remove(agent);
            }
            self.reserve(now_ms, request);
        }
    }

    fn drop_held_grant(&mut self, request: RequestId, agent: &Arc<str>) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let Some((_, grant)) = run.held_grant.take_if(|(held_by, _)| held_by == agent) else {
            return;
        };
        self.send(agent, EntryMessage::Decline { grant });
    }

    /// Ends all attempts on a host that is permanently gone: nothing runs there any more.
    pub(super) fn host_gone(&mut self, now_ms: u64, agent: &Arc<str>) {
        self.agents.forget_prefixes(agent);
        let Some(known) = self.agents.get(agent) else {
            return;
        };
        let running: Vec<_> = known.running.iter().copied().collect();
        for request in running {
            let Some(run) = self.runs.get(&request) else {
                continue;
            };
            let end = AnswerEnd::Broken {
                reason: "the upstream's host is gone".into(),
            };
            match run.phase.clone() {
                Phase::Running(attempt) => self.steps.push(EntryStep::End {
                    attempt: attempt.id,
                    end,
                }),
                Phase::InDoubt(attempt) | Phase::Abandoned(attempt) => {
                    self.ended(now_ms, attempt.id, &end, false);
                }
                Phase::Following(_) => self.follower_ended(now_ms, request, &end, false),
                Phase::Waiting => {}
            }
        }
    }

    pub(super) fn catalog_changed(&mut self, now_ms: u64, catalog: &Catalog) {
        self.revision = catalog.revision;
        let before: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.reserved.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        self.agents.replace_catalog(catalog);
        for agent in before {
            let closed = self
                .agents
                .get(&agent)
                .is_none_or(|known| !known.takes_work(now_ms));
            if closed {
                self.reserve_elsewhere(now_ms, &agent);
            }
        }
        self.links_changed = false;
        self.update_links(now_ms);
        let parked = self.parked.values().flatten();
        let unplaced: Vec<_> = self.unplaced.iter().chain(parked).copied().collect();
        for request in unplaced {
            self.reserve(now_ms, request);
        }
    }

    /// Opens and closes links so that they match the wanted ones.
    pub(super) fn update_links(&mut self, now_ms: u64) {
        self.agents.forget_gone();
        let wanted = self.agents.wanted_links();
        let unwanted: Vec<_> = self
            .dialled
            .iter()
            .filter(|(agent, address)| wanted.get(*agent) != Some(*address))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in unwanted {
            self.link_lost(now_ms, &agent);
            self.steps.push(EntryStep::CloseLink { agent });
        }
        for (agent, address) in &wanted {
            if self.dialled.get(agent) != Some(address) {
                self.steps.push(EntryStep::Dial {
                    agent: agent.clone(),
                    address: *address,
                });
            }
        }
        self.dialled = wanted;
    }
}
