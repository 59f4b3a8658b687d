//! Chooses which part of an entry's state goes into one heartbeat.
//!
//! A heartbeat is one datagram. An entry with hundreds of engines and even more customers has more
//! state than fits, and a datagram that is too long is not sent at all, so that the entry would
//! count as dead. So each heartbeat contains what fits, and the next ones the rest.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_message::UpstreamLoad;

/// Upstreams in one heartbeat. One takes 13 bytes at most, so that all take half a datagram.
pub const MAX_LOADS: usize = 50;
/// Bytes for customers' spending in one heartbeat. The rest of the datagram is 650 bytes for
/// upstreams, and 200 for the entry itself and for peers' addresses.
const MAX_SPENT_BYTES: usize = 450;
/// Bytes of a customer's spending besides its name: a length and a 64-bit count.
const SPENT_BYTES: usize = 12;
/// Heartbeats that report a figure after a change, so that one lost datagram does no harm.
const SENT_AFTER_CHANGE: u32 = 2;
/// Bytes for figures that have been reported often enough, which repair further losses. All peers
/// pay for these bytes in each heartbeat of each entry, so there are few.
const MAX_REPAIR_BYTES: usize = 60;

/// What an entry runs at the upstreams whose hashes lie within a range. It runs nothing at an
/// upstream within the range that isn't listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChunk {
    /// First hash of the range.
    pub from: u32,
    /// Last hash of the range.
    pub to: u32,
    /// What runs at these upstreams.
    pub loads: Vec<UpstreamLoad>,
}

impl Default for LoadChunk {
    fn default() -> Self {
        Self::whole(Vec::new())
    }
}

impl LoadChunk {
    /// Creates a chunk with everything that an entry runs.
    ///
    /// ```
    /// assert!(sardinewood::direct::membership::heartbeat_payload::LoadChunk::whole(Vec::new()).covers(7));
    /// ```
    #[must_use]
    pub fn whole(loads: Vec<UpstreamLoad>) -> Self {
        Self {
            from: 0,
            to: u32::MAX,
            loads,
        }
    }

    /// Returns the chunk for the heartbeat with this sequence number. All chunks take turns.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::UpstreamLoad;
    /// use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
    ///
    /// let one = UpstreamLoad { upstream: 7, requests: 2, ..UpstreamLoad::default() };
    /// assert_eq!(LoadChunk::of(vec![one], 3), LoadChunk::whole(vec![one]));
    /// ```
    #[must_use]
    pub fn of(mut loads: Vec<UpstreamLoad>, sequence: u64) -> Self {
        if loads.len() <= MAX_LOADS {
            return Self::whole(loads);
        }
        loads.sort_by_key(|loads| loads.upstream);
        let chunks = loads.len().div_ceil(MAX_LOADS);
        let index = usize::try_from(sequence % chunks as u64).unwrap_or_default();
        let first = index * MAX_LOADS;
        let next = loads.get(first + MAX_LOADS);
        Self {
            from: if index == 0 { 0 } else { loads[first].upstream },
            to: next.map_or(u32::MAX, |next| next.upstream - 1),
            loads: loads.iter().skip(first).take(MAX_LOADS).copied().collect(),
        }
    }

    /// Returns whether an upstream lies within the range.
    ///
    /// ```
    /// let part = sardinewood::direct::membership::heartbeat_payload::LoadChunk { from: 5, to: 9, loads: Vec::new() };
    /// assert!(part.covers(9) && !part.covers(10));
    /// ```
    #[must_use]
    pub fn covers(&self, upstream: u32) -> bool {
        (self.from..=self.to).contains(&upstream)
    }
}

/// The last reported spending of a customer.
#[derive(Clone, Copy, Debug, Default)]
struct SentSpending {
    units: u64,
    /// Heartbeats that have contained this figure.
    times: u32,
}

/// Chooses the customers whose spending goes into the next heartbeat: those whose figure has
/// changed, and a few of the others, those sent least often, so that lost datagrams are made up for.
///
/// ```
/// use sardinewood::direct::membership::heartbeat_payload::SpendingReport;
///
/// let mut report = SpendingReport::default();
/// let customer = "c".into();
/// let spent = report.next([(&customer, 5)].into_iter());
/// assert_eq!(spent[0].units, 5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SpendingReport {
    last_sent: IndexMap<Arc<str>, SentSpending>,
}

impl SpendingReport {
    /// Returns the spending for the next heartbeat, given all that customers have spent here.
    ///
    /// ```
    /// let mut report = sardinewood::direct::membership::heartbeat_payload::SpendingReport::default();
    /// assert!(report.next(std::iter::empty()).is_empty());
    /// ```
    pub fn next<'a>(
        &mut self,
        spent: impl Iterator<Item = (&'a Arc<str>, u64)>,
    ) -> Vec<CustomerSpending> {
        for (customer, units) in spent {
            let last_sent = self.last_sent.entry(Arc::clone(customer)).or_default();
            if last_sent.units != units {
                *last_sent = SentSpending { units, times: 0 };
            }
        }
        let mut order: Vec<usize> = (0..self.last_sent.len()).collect();
        order.sort_by_key(|index| self.last_sent[*index].times);
        let mut remaining_bytes = MAX_SPENT_BYTES;
        let mut repair_bytes = MAX_REPAIR_BYTES;
        let mut chosen = Vec::new();
        for index in order {
            let Some((customer, last_sent)) = self.last_sent.get_index_mut(index) else {
                break;
            };
            let bytes = customer.len() + SPENT_BYTES;
            if bytes > remaining_bytes {
                break;
            }
            if last_sent.times >= SENT_AFTER_CHANGE {
                if bytes > repair_bytes {
                    break;
                }
                repair_bytes -= bytes;
            }
            remaining_bytes -= bytes;
            last_sent.times = last_sent.times.saturating_add(1);
            chosen.push(CustomerSpending {
                customer: Arc::clone(customer),
                units: last_sent.units,
            });
        }
        chosen
    }
}
