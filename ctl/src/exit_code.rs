//! How a run of the program ends; the codes are documented in `docs/ctl.md`.

use std::process::ExitCode;

/// How a run ended.
///
/// ```
/// use sardinewoodctl::exit_code::End;
///
/// assert_eq!(End::Conflict as u8, 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum End {
    /// The answer was printed, or the change was accepted.
    Done = 0,
    /// The change is wrong, and nothing was changed.
    Refused = 1,
    /// The command line is wrong, and nothing was sent.
    Usage = 2,
    /// Somebody else has changed the object, and nothing was changed by this run.
    Conflict = 3,
    /// The change may be in force or come into force; the same change id settles it.
    NotKnownYet = 4,
    /// No entry was reached, or not the store behind it, and nothing was changed.
    NotReachable = 5,
    /// What was asked for does not exist.
    NotFound = 6,
    /// The token is unknown or may not change anything.
    NotAllowed = 7,
    /// The change was accepted, but was not seen in force everywhere in time.
    NotInForceYet = 8,
    /// The entry's answer is not understood.
    BadAnswer = 9,
}

impl From<End> for ExitCode {
    fn from(end: End) -> Self {
        Self::from(end as u8)
    }
}
