//! Whether entries of upstreams that live may have disappeared from the store's list.

/// What is known of an outage in which entries of upstreams may have lapsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lapses<T> {
    /// They have not lapsed, as the store answered some entry all the time, or no outage is known.
    #[default]
    Excluded,
    /// They may have. Upstreams that disappear are not used, as they may as well have been removed long
    /// ago.
    Possible,
    /// They may have. Upstreams that disappear are used until this time.
    Until(T),
}

impl<T> Lapses<T> {
    /// Converts the time.
    ///
    /// ```
    /// use sardinewood::direct::store_view::lapses::Lapses;
    ///
    /// assert_eq!(Lapses::Until(2).map(|seconds| seconds * 1_000), Lapses::Until(2_000));
    /// ```
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Lapses<U> {
        match self {
            Self::Excluded => Lapses::Excluded,
            Self::Possible => Lapses::Possible,
            Self::Until(until) => Lapses::Until(convert(until)),
        }
    }
}
