//! How faults strike the fleet in virtual time, and how they heal.

use std::sync::Arc;

use rand::Rng;
use sardinewood::entry::state::EntryEvent;
use sardinewood::ids::Incarnation;

use super::checker::Heard;
use super::checker::Seen;
use super::fleet_agent::AgentInput;
use super::fleet_entry::EntryInput;
use super::fleet_entry::catalog_event;
use super::fleet_store::Trouble;
use super::plan::Fault;
use super::plan::FaultKind;
use super::world::Event;
use super::world::World;

/// How long a link may be silent before its ends give it up.
const SILENT_MS: u64 = 2_000;
/// How long a shutting entry waits before it hands back what waits.
const GRACE_MS: u64 = 3_000;
/// The pause between two looks at whether it is drained.
const DRAIN_LOOK_MS: u64 = 100;

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        if self.gone[fault.agent] && fault.kind != FaultKind::EntryKilled {
            return;
        }
        *self.faults.entry(fault.kind).or_default() += 1;
        self.lives.meet(fault);
        match fault.kind {
            FaultKind::EntryKilled => self.kill_entry(fault),
            FaultKind::AgentKilled => self.kill_agent(fault),
            FaultKind::EntryPaused => self.pause_entry(fault),
            FaultKind::AgentPaused => self.pause_agent(fault),
            FaultKind::LinkCut => self.cut_links(fault, false),
            FaultKind::LinkSilent => self.cut_links(fault, true),
            FaultKind::UpstreamKilled => {
                self.kill_upstream(fault.agent);
                self.heal_after(fault);
            }
            FaultKind::UpstreamSlow => {
                self.upstreams[fault.agent].part_ms = 400;
                self.heal_after(fault);
            }
            FaultKind::UpstreamLeaving => {
                self.set_leaving(fault.agent, true);
                let later = Fault {
                    lasts_ms: fault.lasts_ms + 7_000,
                    ..fault
                };
                self.heal_after(later);
            }
            FaultKind::HostGone => self.lose_host(fault),
            FaultKind::CallerGone => self.lose_caller(fault.entry),
            FaultKind::EntryShutDown => self.shut_entry_down(fault),
            FaultKind::StoreDown => self.trouble_store(fault, Trouble::Down),
            FaultKind::StoreSlow => self.trouble_store(fault, Trouble::Slow),
            FaultKind::StoreForgetful => self.trouble_store(fault, Trouble::Forgetful),
            FaultKind::StoreStale => self.trouble_store(fault, Trouble::Stale),
        }
    }

    pub(super) fn heal_after(&mut self, fault: Fault) {
        self.schedule(self.now_ms + fault.lasts_ms, Event::Heal(fault));
    }

    pub(super) fn heal(&mut self, fault: Fault) {
        let Fault { entry, agent, .. } = fault;
        match fault.kind {
            FaultKind::EntryKilled => self.restart_entry(entry),
            FaultKind::AgentKilled if !self.gone[agent] => self.restart_agent(agent),
            FaultKind::EntryPaused => self.resume_entry(entry),
            FaultKind::AgentPaused => self.resume_agent(agent),
            FaultKind::UpstreamKilled if !self.gone[agent] => self.upstreams[agent].is_up = true,
            FaultKind::UpstreamSlow => self.upstreams[agent].part_ms = 20,
            FaultKind::UpstreamLeaving => self.set_leaving(agent, false),
            FaultKind::EntryShutDown => self.end_drained(fault),
            FaultKind::StoreDown
            | FaultKind::StoreSlow
            | FaultKind::StoreForgetful
            | FaultKind::StoreStale => self.store.trouble = Trouble::None,
            _ => {}
        }
    }

    pub(super) fn kill_entry(&mut self, fault: Fault) {
        let entry = fault.entry;
        if self.entries[entry].process.condition == super::process::Condition::Dead {
            return;
        }
        // The requests that waited in the socket of a paused process are lost with it.
        let unread: Vec<_> = self.entries[entry].process.inbox.drain(..).collect();
        for input in unread {
            if let EntryInput::Submit { request, .. } = input {
                self.hear(request, Heard::ConnectionLost);
            }
        }
        self.entries[entry].process.kill();
        let callers: Vec<_> = self.entries[entry].callers.drain(..).collect();
        for (request, _) in callers {
            self.hear(request, Heard::ConnectionLost);
        }
        for link in self.links.carrying(Some(entry), None) {
            let after_ms = self.random.random_range(1..=SILENT_MS);
            self.cut(link, 0, after_ms);
        }
        self.heal_after(fault);
    }

    pub(super) fn restart_entry(&mut self, entry: usize) {
        if self.entries[entry].process.condition != super::process::Condition::Dead {
            return;
        }
        let seed = self.random.random();
        self.entries[entry].restart(entry, seed);
        self.post_to_entry(entry, 0, EntryInput::Event(catalog_event(&self.catalog)));
    }

    pub(super) fn kill_agent(&mut self, fault: Fault) {
        self.agents[fault.agent].process.kill();
        for link in self.links.carrying(None, Some(fault.agent)) {
            let after_ms = self.random.random_range(1..=SILENT_MS);
            self.cut(link, after_ms, 0);
        }
        self.heal_after(fault);
    }

    pub(super) fn restart_agent(&mut self, agent: usize) {
        if self.agents[agent].process.condition != super::process::Condition::Dead {
            return;
        }
        let incarnation = Incarnation(self.random.random());
        self.agents[agent].restart(incarnation);
        self.start_agent(agent);
    }

    pub(super) fn pause_entry(&mut self, fault: Fault) {
        let process = &mut self.entries[fault.entry].process;
        if !process.is_running() {
            return;
        }
        process.condition = super::process::Condition::Paused;
        if fault.lasts_ms > SILENT_MS {
            for link in self.links.carrying(Some(fault.entry), None) {
                self.cut_later(link, fault.lasts_ms);
            }
        }
        self.heal_after(fault);
    }

    pub(super) fn pause_agent(&mut self, fault: Fault) {
        let process = &mut self.agents[fault.agent].process;
        if !process.is_running() {
            return;
        }
        process.condition = super::process::Condition::Paused;
        if fault.lasts_ms > SILENT_MS {
            for link in self.links.carrying(None, Some(fault.agent)) {
                self.cut_later(link, fault.lasts_ms);
            }
        }
        self.heal_after(fault);
    }

    /// The end that still runs gives the link up when it has been silent for too long; the
    /// other learns of it when it goes on, after what had reached it before.
    pub(super) fn cut_later(&mut self, link: u64, paused_ms: u64) {
        let Some((entry, agent)) = self.links.get(link).map(|one| (one.entry, one.agent)) else {
            return;
        };
        let (entry_ms, agent_ms) = if self.entries[entry].process.is_running() {
            (SILENT_MS, paused_ms + 5)
        } else {
            (paused_ms + 5, SILENT_MS)
        };
        self.post_to_entry(entry, entry_ms, EntryInput::LinkLost { agent, link });
        self.post_to_agent(agent, agent_ms, AgentInput::LinkLost { link });
    }

    pub(super) fn resume_entry(&mut self, entry: usize) {
        if self.entries[entry].process.condition != super::process::Condition::Paused {
            return;
        }
        self.entries[entry].process.condition = super::process::Condition::Running;
        let inbox = std::mem::take(&mut self.entries[entry].process.inbox);
        for input in inbox {
            self.take_entry_input(entry, input);
        }
    }

    pub(super) fn resume_agent(&mut self, agent: usize) {
        if self.agents[agent].process.condition != super::process::Condition::Paused {
            return;
        }
        self.agents[agent].process.condition = super::process::Condition::Running;
        let inbox = std::mem::take(&mut self.agents[agent].process.inbox);
        for input in inbox {
            self.take_agent_input(agent, input);
        }
    }

    pub(super) fn cut_links(&mut self, fault: Fault, is_silent: bool) {
        for link in self.links.carrying(Some(fault.entry), Some(fault.agent)) {
            let least_ms = if is_silent { SILENT_MS } else { 1 };
            let entry_ms = least_ms + self.random.random_range(0..500);
            let agent_ms = least_ms + self.random.random_range(0..1_500);
            self.cut(link, entry_ms, agent_ms);
        }
    }

    pub(super) fn lose_host(&mut self, fault: Fault) {
        self.gone[fault.agent] = true;
        self.agents[fault.agent].process.kill();
        self.kill_upstream(fault.agent);
        for link in self.links.carrying(None, Some(fault.agent)) {
            self.cut(link, SILENT_MS, 0);
        }
        let name = self.agents[fault.agent].object.name.clone();
        for entry in 0..self.entries.len() {
            let after_ms = self.random.random_range(2_000..6_000);
            let gone = EntryEvent::HostGone {
                agent: name.clone(),
            };
            self.post_to_entry(entry, after_ms, EntryInput::Event(gone));
        }
    }

    pub(super) fn lose_caller(&mut self, entry: usize) {
        let count = self.entries[entry].callers.len();
        if count == 0 || !self.entries[entry].process.is_running() {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let Some((request, _)) = self.entries[entry].callers.swap_remove_index(chosen) else {
            return;
        };
        self.hear(request, Heard::ConnectionLost);
        let event = EntryEvent::CallerGone { request };
        self.take_entry_input(entry, EntryInput::Event(event));
    }

    pub(super) fn shut_entry_down(&mut self, fault: Fault) {
        let entry = fault.entry;
        self.post_to_entry(entry, 0, EntryInput::Event(EntryEvent::ShutDown));
        let over = EntryInput::Event(EntryEvent::GracePeriodEnded);
        self.post_to_entry(entry, GRACE_MS, over);
        self.schedule(self.now_ms + DRAIN_LOOK_MS, Event::Heal(fault));
    }

    /// Ends an entry that was told to shut down once nothing is in flight there.
    pub(super) fn end_drained(&mut self, fault: Fault) {
        let entry = &self.entries[fault.entry];
        let is_shutting = entry.process.is_running() && !entry.state.is_ready();
        if is_shutting && entry.state.is_drained() {
            let cut: Vec<_> = entry.callers.keys().copied().collect();
            for request in cut {
                self.record.note(self.now_ms, Seen::CutOff { request });
            }
            self.kill_entry(Fault {
                kind: FaultKind::EntryKilled,
                lasts_ms: 500,
                ..fault
            });
        } else if is_shutting {
            self.schedule(self.now_ms + DRAIN_LOOK_MS, Event::Heal(fault));
        }
    }

    /// Everybody learns of it within a few seconds.
    pub(super) fn set_leaving(&mut self, agent: usize, leaving: bool) {
        use sardinewood::config::objects::Activity;
        let activity = if leaving {
            Activity::Draining
        } else {
            Activity::Active
        };
        let seen = Seen::Leaving {
            upstream: agent,
            leaving,
        };
        self.record.note(self.now_ms, seen);
        self.agents[agent].object.activity = activity;
        let object = self.agents[agent].object.clone();
        self.catalog.revision = self.catalog.revision.following();
        self.catalog
            .upstreams
            .insert(object.name.clone(), Arc::new(object.clone()));
        let revision = self.catalog.revision;
        let after_ms = self.random.random_range(10..4_000);
        self.post_to_agent(agent, after_ms, AgentInput::Object { revision, object });
        for entry in 0..self.entries.len() {
            let after_ms = self.random.random_range(10..4_000);
            let event = catalog_event(&self.catalog);
            self.post_to_entry(entry, after_ms, EntryInput::Event(event));
        }
    }

    pub(super) fn trouble_store(&mut self, fault: Fault, trouble: Trouble) {
        self.store.trouble = trouble;
        self.heal_after(fault);
    }
}
