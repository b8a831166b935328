//! To be filled in.
