//! Where the streams that callers may take up again began: which service and which version of its
//! software wrote their events. These modules do no I/O.

pub mod origin;
pub mod origin_records;
pub mod version_history;
