//! Which other daemons there are.

mod book;

pub use book::PeerBook;
