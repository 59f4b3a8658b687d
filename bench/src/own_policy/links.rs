//! The links of the own policy: dialled, cut, and found silent.

use std::sync::Arc;

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::LinkId;
use sardinewood::entry::state::EntryEvent;

use super::DIAL_AGAIN_US;
use super::Link;
use super::OwnPolicy;
use crate::message::Message;
use crate::world::World;

impl OwnPolicy {
    pub(super) fn live_link(&self, link: LinkId) -> Option<(usize, usize)> {
        let ends = *self.link_ends.get(&link)?;
        let current = self.links.get(&ends)?;
        (current.id == link && current.is_up).then_some(ends)
    }

    pub(super) fn dial(&mut self, world: &mut World, entry: usize, upstream: usize) {
        let is_wanted = self.wanted.contains(&(entry, upstream));
        if !is_wanted || self.links.contains_key(&(entry, upstream)) {
            return;
        }
        if world.hosts[upstream].lost {
            if world.now_us < world.fleet.end_us {
                world.send_after(DIAL_AGAIN_US, Message::Dial { entry, upstream });
            }
            return;
        }
        self.next_link += 1;
        let id = LinkId(self.next_link);
        self.links
            .insert((entry, upstream), Link { id, is_up: false });
        self.link_ends.insert(id, (entry, upstream));
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_to_agent(upstream, delay_us, Message::Dialled { link: id });
    }

    /// The agent hears hello on a new link.
    pub(super) fn dialled(&mut self, world: &mut World, link: LinkId) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        if world.hosts[upstream].lost {
            self.drop_link(world, entry, upstream);
            return;
        }
        self.agent_event(world, upstream, AgentEvent::LinkUp { link });
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_after(delay_us, Message::LinkOpen { link });
    }

    /// The entry hears hello back.
    pub(super) fn link_open(&mut self, world: &mut World, link: LinkId) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        match self.links.get_mut(&(entry, upstream)) {
            Some(current) if current.id == link => current.is_up = true,
            _ => return,
        }
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        let incarnation = self.incarnations[upstream];
        self.entry_event(world, entry, EntryEvent::LinkUp { agent, incarnation });
    }

    /// The entry gives a link up, and dials again if it wants one.
    pub(super) fn drop_link(&mut self, world: &mut World, entry: usize, upstream: usize) {
        let Some(link) = self.links.swap_remove(&(entry, upstream)) else {
            return;
        };
        let closed = Message::LinkClosed { link: link.id };
        world.send_to_agent(upstream, world.fleet.latency_us(entry, upstream), closed);
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        self.entry_event(world, entry, EntryEvent::LinkLost { agent });
        if self.wanted.contains(&(entry, upstream)) && world.now_us < world.fleet.end_us {
            world.send_after(DIAL_AGAIN_US, Message::Dial { entry, upstream });
        }
    }

    /// The agent sees that a link is closed.
    pub(super) fn link_closed(&mut self, world: &mut World, link: LinkId) {
        let Some((_, upstream)) = self.link_ends.swap_remove(&link) else {
            return;
        };
        for call in self.calls.values_mut() {
            if call.link == Some(link) {
                call.link = None;
            }
        }
        if !world.hosts[upstream].lost {
            self.agent_event(world, upstream, AgentEvent::LinkLost { link });
        }
    }

    pub(super) fn silent(&mut self, world: &mut World, upstream: usize) {
        let host = &world.hosts[upstream];
        if !host.lost && host.paused_until_us <= world.now_us {
            return;
        }
        for entry in 0..self.entries.len() {
            self.drop_link(world, entry, upstream);
        }
    }

    pub(super) fn host_listed(&mut self, world: &mut World, upstream: usize) {
        if !world.hosts[upstream].lost {
            return;
        }
        for entry in 0..self.entries.len() {
            let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
            self.entry_event(world, entry, EntryEvent::HostGone { agent });
        }
    }
}
