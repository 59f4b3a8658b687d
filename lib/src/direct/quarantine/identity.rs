//! What identifies a request to the quarantine.

use std::cell::OnceCell;

use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::fingerprint::FingerprintInput;
use crate::direct::quarantine::prompt_part::PromptPart;

/// The features of a request.
///
/// ```
/// use std::cell::OnceCell;
/// use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
/// use sardinewood::direct::quarantine::identity::RequestIdentity;
///
/// let identity = RequestIdentity {
///     content: FingerprintInput { method: "POST", path: "/", customer: None, body: b"text" },
///     cached_fingerprint: &OnceCell::new(),
///     shared_parts: &[],
/// };
/// assert_eq!(identity.features().len(), 1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// What the fingerprint is made of.
    pub content: FingerprintInput<'a>,
    /// The fingerprint, computed at the first use, since most requests never need it.
    pub cached_fingerprint: &'a OnceCell<Fingerprint>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: &'a [PromptPart],
}

impl RequestIdentity<'_> {
    /// Returns the fingerprint, which is the same for all retries of a request by its caller.
    ///
    /// ```
    /// # use std::cell::OnceCell;
    /// # use sardinewood::direct::quarantine::fingerprint::{Fingerprint, FingerprintInput};
    /// # use sardinewood::direct::quarantine::identity::RequestIdentity;
    /// # let content = FingerprintInput { method: "POST", path: "/", customer: None, body: b"text" };
    /// let identity = RequestIdentity { content, cached_fingerprint: &OnceCell::new(), shared_parts: &[] };
    /// assert_eq!(identity.fingerprint(), Fingerprint::of(content));
    /// ```
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .cached_fingerprint
            .get_or_init(|| Fingerprint::of(self.content))
    }

    /// Returns the features that need no hash of the body.
    ///
    /// ```
    /// # use std::cell::OnceCell;
    /// # use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
    /// # use sardinewood::direct::quarantine::identity::RequestIdentity;
    /// # let content = FingerprintInput { method: "POST", path: "/", customer: None, body: b"text" };
    /// let identity = RequestIdentity { content, cached_fingerprint: &OnceCell::new(), shared_parts: &[] };
    /// assert_eq!(identity.parts().count(), 0);
    /// ```
    pub fn parts(&self) -> impl Iterator<Item = Feature> {
        self.shared_parts.iter().map(|part| Feature::Part(*part))
    }

    /// Returns all features.
    ///
    /// ```
    /// # use std::cell::OnceCell;
    /// # use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
    /// # use sardinewood::direct::quarantine::identity::RequestIdentity;
    /// # let content = FingerprintInput { method: "POST", path: "/", customer: None, body: b"text" };
    /// let identity = RequestIdentity { content, cached_fingerprint: &OnceCell::new(), shared_parts: &[] };
    /// assert_eq!(identity.features()[0].kind(), "content");
    /// ```
    #[must_use]
    pub fn features(&self) -> Vec<Feature> {
        let content = Feature::Content(self.fingerprint());
        self.parts().chain([content]).collect()
    }
}
