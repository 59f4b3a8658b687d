//! What an entry believes of the platform's store: the configuration in force and the list of
//! upstreams, through outages, restarts and late writes. It decides and knows no socket.

pub mod catalog;
pub mod directory;
pub mod replica;
