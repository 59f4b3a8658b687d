//! Links between entries and agents: in order, whole, until they are cut or fall silent.

use indexmap::IndexMap;

/// One TCP link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The entry that opened it.
    pub entry: usize,
    /// The agent.
    pub agent: usize,
    /// Whether bytes still pass.
    pub carries: bool,
    /// When the last message to the agent arrives; the next is not earlier.
    to_agent_ms: u64,
    /// When the last message to the entry arrives.
    to_entry_ms: u64,
}

/// All links that were ever opened, by number.
#[derive(Debug, Default)]
pub struct Links {
    next: u64,
    links: IndexMap<u64, Link>,
}

impl Links {
    /// Opens a link and returns its number.
    pub fn open(&mut self, entry: usize, agent: usize) -> u64 {
        self.next += 1;
        let link = Link {
            entry,
            agent,
            carries: true,
            to_agent_ms: 0,
            to_entry_ms: 0,
        };
        self.links.insert(self.next, link);
        self.next
    }

    /// The link of this number.
    #[must_use]
    pub fn get(&self, link: u64) -> Option<&Link> {
        self.links.get(&link)
    }

    /// Lets nothing pass any more.
    pub fn cut(&mut self, link: u64) {
        if let Some(link) = self.links.get_mut(&link) {
            link.carries = false;
        }
    }

    /// The links that carry between two processes, or of one of them.
    #[must_use]
    pub fn carrying(&self, entry: Option<usize>, agent: Option<usize>) -> Vec<u64> {
        self.links
            .iter()
            .filter(|(_, link)| {
                link.carries
                    && entry.is_none_or(|entry| link.entry == entry)
                    && agent.is_none_or(|agent| link.agent == agent)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// When a message that is sent now reaches the agent, if it does.
    pub fn arrival_at_agent(&mut self, link: u64, earliest_ms: u64) -> Option<u64> {
        let link = self.links.get_mut(&link).filter(|link| link.carries)?;
        link.to_agent_ms = link.to_agent_ms.max(earliest_ms);
        Some(link.to_agent_ms)
    }

    /// When a message that is sent now reaches the entry, if it does.
    pub fn arrival_at_entry(&mut self, link: u64, earliest_ms: u64) -> Option<u64> {
        let link = self.links.get_mut(&link).filter(|link| link.carries)?;
        link.to_entry_ms = link.to_entry_ms.max(earliest_ms);
        Some(link.to_entry_ms)
    }
}
