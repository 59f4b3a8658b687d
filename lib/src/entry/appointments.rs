//! The appointments that have started, which are preferred over those that have not.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexSet;

/// The identity of an appointment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Appointment {
    customer: Arc<str>,
    name: Arc<str>,
}

/// A bounded set of the newest appointments of which this entry has dispatched a request.
///
/// An appointment whose requests arrive through several entries counts as started in each
/// entry only after its first dispatch there: the order is only a preference, and asking the
/// other entries would cost each request a round trip.
///
/// ```
/// use sardinewood::entry::appointments::StartedAppointments;
///
/// let mut started = StartedAppointments::new(1);
/// started.insert(&"kowalczyk".into(), &"a-1".into());
/// assert!(started.contains(&"kowalczyk".into(), &"a-1".into()));
/// started.insert(&"kowalczyk".into(), &"a-2".into());
/// assert!(!started.contains(&"kowalczyk".into(), &"a-1".into()), "only one is kept");
/// ```
#[derive(Debug)]
pub struct StartedAppointments {
    capacity: usize,
    known: IndexSet<Appointment>,
    oldest_first: VecDeque<Appointment>,
}

impl StartedAppointments {
    /// Creates an empty set of at most `capacity` appointments.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            known: IndexSet::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Returns whether an appointment has started.
    #[must_use]
    pub fn contains(&self, customer: &Arc<str>, name: &Arc<str>) -> bool {
        self.known.contains(&Appointment {
            customer: customer.clone(),
            name: name.clone(),
        })
    }

    /// Records that an appointment has started.
    pub fn insert(&mut self, customer: &Arc<str>, name: &Arc<str>) {
        let appointment = Appointment {
            customer: customer.clone(),
            name: name.clone(),
        };
        if !self.known.insert(appointment.clone()) {
            return;
        }
        self.oldest_first.push_back(appointment);
        if self.known.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.known.swap_remove(&oldest);
        }
    }
}
