//! Requests that can't meet their objective any more while others wait that can.
//!
//! The load that this addresses: more requests of a tier than slots. A request then waits until it
//! is nearly late, and where its queue holds none that is better, a slot is spent on an answer that is
//! worth three tenths, while the next request that comes waits until it is nearly late as well. So the
//! owner of the queue tells a late request that it will not be started before those that can be in
//! time, and the request is refused while its caller can still return. With free slots nothing is
//! refused, since a request that is granted a slot at once never waits.

/// Requests that are worth less than this, in millionths of one of the first tier, give up when they are late:
/// those of the third tier and below. A late
/// answer of a higher tier is worth more than one of the lowest that is in time, and its callers wait
/// long enough to get it. In virtual time, early refusals of all tiers cost 0.010 of the worth in a burst
/// of reports, nearly all of it by large requests of the first tier.
const MAX_LEAVING_WORTH_MICROS: u32 = 100_000;

/// The wait that an owner replies to a late request while one that can be in time waits for the same
/// slots. It is not an estimate and longer than any request waits.
pub const NOT_IN_TIME_WAIT_MS: u32 = u32::MAX;

/// Returns whether a wait that a queue replied is an estimate.
///
/// ```
/// use sardinewood::direct::sharing::late_start::{NOT_IN_TIME_WAIT_MS, is_known_wait};
///
/// assert!(is_known_wait(40) && !is_known_wait(NOT_IN_TIME_WAIT_MS));
/// ```
#[must_use]
pub fn is_known_wait(wait_ms: u32) -> bool {
    wait_ms != NOT_IN_TIME_WAIT_MS
}

/// Returns whether a request of this worth gives up when it is late and others are not.
///
/// ```
/// use sardinewood::direct::sharing::late_start::may_leave;
///
/// assert!(may_leave(50_000) && !may_leave(500_000));
/// ```
#[must_use]
pub fn may_leave(worth_micros: u32) -> bool {
    worth_micros < MAX_LEAVING_WORTH_MICROS
}

/// A waiting request, as the owner of its queue compares it with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Worth of a start now, see [`start_worth`].
    ///
    /// [`start_worth`]: crate::direct::sharing::admission::start_worth
    pub start_worth: f64,
    /// Whether it meets its objective if it starts now.
    pub is_in_time: bool,
}

/// Returns whether a request should leave its queue: it is late, others wait that can be in time, and
/// all of these go before it.
///
/// A late request of a higher tier is worth more than one of a lower tier that is in time. As long as
/// such a one waits, the slot that the late one gives up would go there. In virtual time, requests of
/// all tiers that left as soon as any other went before them cost 0.003 to 0.010 of the worth.
///
/// ```
/// use sardinewood::direct::sharing::late_start::{Waiting, yields};
///
/// let late = Waiting { start_worth: 0.3, is_in_time: false };
/// let in_time = |start_worth| Waiting { start_worth, is_in_time: true };
/// assert!(yields(late, [in_time(1.0)]) && !yields(late, [late]) && !yields(in_time(0.5), [in_time(1.0)]));
/// assert!(!yields(late, [in_time(1.0), in_time(0.05)]));
/// ```
#[must_use]
pub fn yields(own: Waiting, others: impl IntoIterator<Item = Waiting>) -> bool {
    let in_time = others.into_iter().filter(|other| other.is_in_time);
    let least = in_time.map(|other| other.start_worth).reduce(f64::min);
    !own.is_in_time && least.is_some_and(|least| least > own.start_worth)
}
