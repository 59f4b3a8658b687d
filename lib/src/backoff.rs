//! Pauses between tries that grow, are bounded, and differ between processes.

/// The pauses before a link is dialled again.
///
/// After a switch comes back, all entries find all agents at once. Pauses that differ
/// spread their dials, and the bound keeps a link that is back from waiting long.
///
/// ```
/// use sardinewood::backoff::Backoff;
///
/// let mut backoff = Backoff::new(100, 400);
/// assert_eq!(backoff.next_ms(u64::MAX), 100, "the most that the first pause can be");
/// assert!(backoff.next_ms(0) >= 100, "at least half of the second one");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct Backoff {
    first_ms: u64,
    most_ms: u64,
    ceiling_ms: u64,
}

impl Backoff {
    /// Pauses that start at `first_ms` and double up to `most_ms`.
    ///
    /// ```
    /// use sardinewood::backoff::Backoff;
    ///
    /// assert!(Backoff::new(100, 400).next_ms(7) <= 100);
    /// ```
    #[must_use]
    pub fn new(first_ms: u64, most_ms: u64) -> Self {
        Self {
            first_ms,
            most_ms,
            ceiling_ms: first_ms,
        }
    }

    /// The next pause: between half of its ceiling and the ceiling, by `random`.
    ///
    /// ```
    /// use sardinewood::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(100, 150);
    /// backoff.next_ms(0);
    /// assert!(backoff.next_ms(u64::MAX) <= 150);
    /// ```
    pub fn next_ms(&mut self, random: u64) -> u64 {
        let ceiling_ms = self.ceiling_ms;
        self.ceiling_ms = (ceiling_ms * 2).min(self.most_ms);
        let half_ms = ceiling_ms / 2;
        let span = ceiling_ms - half_ms;
        if random == u64::MAX {
            ceiling_ms
        } else {
            half_ms + random % (span + 1)
        }
    }

    /// Starts over after a success.
    ///
    /// ```
    /// use sardinewood::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(100, 400);
    /// backoff.next_ms(0);
    /// backoff.reset();
    /// assert!(backoff.next_ms(3) <= 100);
    /// ```
    pub fn reset(&mut self) {
        self.ceiling_ms = self.first_ms;
    }
}
