//! Which entries call the store, and how soon.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

/// Live entries up to which each may call the store as often as it likes while nobody watches it.
const ENTRIES_AT_FULL_RATE: u64 = 16;
/// Pause between the calls of one entry of so many. The rate of all stays the same in larger fleets.
const PROBE_PAUSE_MS: u64 = 500;

/// Returns the pause of an entry before it calls a store again that has not answered, in a fleet of so
/// many. The rate of all stays the same in larger fleets.
///
/// ```
/// use sardinewood::direct::membership::store_role::retry_pause_ms;
///
/// assert_eq!(retry_pause_ms(4), 500);
/// assert_eq!(retry_pause_ms(160), 5_000);
/// ```
#[must_use]
pub fn retry_pause_ms(entries: usize) -> u64 {
    PROBE_PAUSE_MS * (entries as u64).max(ENTRIES_AT_FULL_RATE) / ENTRIES_AT_FULL_RATE
}

/// The part of an entry in following the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreRole {
    /// Others watch the store, and this entry hears from them.
    #[default]
    Listens,
    /// Too few others watch the store. This entry is not among the first that should, and calls at
    /// random times, in case the store answers it and not them.
    Probes {
        /// Longest time until its next call.
        pause_ms: u64,
    },
    /// This entry watches the store.
    Watches,
}

impl StoreRole {
    /// Returns the role of an entry that may have to do without the first ones, in a fleet of so
    /// many. `longest_ms` is the time within which it has to be up to date if only it is served.
    ///
    /// ```
    /// use sardinewood::direct::membership::store_role::StoreRole;
    ///
    /// assert_eq!(StoreRole::spare(4, 2_000), StoreRole::Watches);
    /// assert_eq!(StoreRole::spare(357, 13_000), StoreRole::Probes { pause_ms: 11_156 });
    /// assert_eq!(StoreRole::spare(357, 2_000), StoreRole::Probes { pause_ms: 2_000 });
    /// ```
    #[must_use]
    pub fn spare(entries: usize, longest_ms: u64) -> Self {
        let entries = entries as u64;
        if entries <= ENTRIES_AT_FULL_RATE {
            return Self::Watches;
        }
        let pause_ms = PROBE_PAUSE_MS * entries / ENTRIES_AT_FULL_RATE;
        Self::Probes {
            pause_ms: pause_ms.min(longest_ms.max(PROBE_PAUSE_MS)),
        }
    }
}

/// Waits until this entry may call the store. Returns whether it may; otherwise the sender is gone.
pub async fn wait_for_call(role: &mut watch::Receiver<StoreRole>) -> bool {
    loop {
        let current = *role.borrow_and_update();
        let changed = match current {
            StoreRole::Watches => return true,
            StoreRole::Listens => role.changed().await,
            StoreRole::Probes { pause_ms } => {
                let pause = Duration::from_millis(rand::random_range(0..=pause_ms));
                match timeout(pause, role.changed()).await {
                    Ok(changed) => changed,
                    Err(_) => return true,
                }
            }
        };
        if changed.is_err() {
            return false;
        }
    }
}
