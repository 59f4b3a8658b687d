//! Whole numbers to floating point and back, where the loss does not matter, and figures by tier.

use std::time::Duration;

/// A count or a time as a floating point number; exact below 2^53.
///
/// ```
/// assert!((sardinewood::numbers::as_f64(7) - 7.0).abs() < 1e-9);
/// ```
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times are far below 2^53"
)]
pub fn as_f64(number: u64) -> f64 {
    number as f64
}

/// A part of a whole, of counts.
///
/// ```
/// assert!((sardinewood::numbers::ratio(1, 4) - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn ratio(part: usize, whole: usize) -> f64 {
    as_f64(part as u64) / as_f64(whole as u64)
}

/// A time or a count with a sign; the greatest for what is too great.
///
/// ```
/// assert_eq!(sardinewood::numbers::signed(7), 7);
/// ```
#[must_use]
pub fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// The whole part of a number; 0 for what is negative or no number, the greatest for what is
/// too great.
///
/// ```
/// use sardinewood::numbers::whole_u64;
///
/// assert_eq!((whole_u64(7.9), whole_u64(-1.0), whole_u64(f64::NAN)), (7, 0, 0));
/// ```
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is what is said above"
)]
pub fn whole_u64(number: f64) -> u64 {
    number as u64
}

/// The same in 32 bits.
///
/// ```
/// assert_eq!(sardinewood::numbers::whole_u32(1e12), u32::MAX);
/// ```
#[must_use]
pub fn whole_u32(number: f64) -> u32 {
    u32::try_from(whole_u64(number)).unwrap_or(u32::MAX)
}

/// The figure of a tier, which is the last one for all tiers beyond.
///
/// ```
/// use sardinewood::numbers::of_tier;
///
/// assert_eq!([0, 1, 7].map(|tier| of_tier(&[3.0, 2.0], tier)), [3.0, 2.0, 2.0]);
/// ```
#[must_use]
pub fn of_tier<const COUNT: usize>(figures: &[f64; COUNT], tier: u8) -> f64 {
    figures[usize::from(tier).min(COUNT - 1)]
}

/// Returns the whole milliseconds of a duration, or the largest number if there are more.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(sardinewood::numbers::whole_ms(Duration::from_micros(1_900)), 1);
/// ```
#[must_use]
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
