//! Problems of outside input, collected with their place and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One problem and where it was found.
///
/// ```
/// use sardinewood::findings::Finding;
///
/// let finding = Finding { place: "--heartbeat-ms".into(), problem: "is not a number".into() };
/// assert_eq!(finding.to_string(), "--heartbeat-ms: is not a number");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The flag, variable or field, written so that an operator finds it.
    pub place: String,
    /// What is wrong there, and what would be right.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// All problems of one input, in the order in which they were found.
///
/// ```
/// use sardinewood::findings::Findings;
///
/// let mut findings = Findings::default();
/// findings.add("--host", "is missing");
/// findings.add("--listen", "is not an address");
/// assert_eq!(findings.to_string(), "--host: is missing\n--listen: is not an address\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Records a problem.
    ///
    /// ```
    /// use sardinewood::findings::Findings;
    ///
    /// let mut findings = Findings::default();
    /// findings.add("profiles/lookup: tier", "is over 4");
    /// assert!(!findings.is_empty());
    /// ```
    pub fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.list.push(Finding {
            place: place.into(),
            problem: problem.into(),
        });
    }

    /// Whether nothing was found.
    ///
    /// ```
    /// assert!(sardinewood::findings::Findings::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The findings in the order in which they were found.
    ///
    /// ```
    /// assert_eq!(sardinewood::findings::Findings::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
