//! Parameters and results of a schedule.

/// A safeguard that is removed, or an assumption that is violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// An upstream's clock runs 60 % slow, so that a grant lasts longer than the leader waits for
    /// it to expire.
    HoldNotWaitedFor,
    /// Upstreams forget the fencing tokens of releases.
    ReleaseWithoutFence,
    /// The store acknowledges assignments that it does not keep.
    OrderBeforeRow,
    /// A leader that is cut off from the store renews its grants for ever.
    EndlessTrust,
    /// A new leader does not wait long enough for grants of its predecessor to expire.
    NoInheritance,
    /// A release counts although an earlier leader may still send orders to the upstream after its
    /// restart.
    EarlyReleaseCounts,
    /// A grant without a response is assumed not to have arrived.
    LateGrantForgotten,
    /// A refused connection is taken as proof that an upstream has ended.
    RefusalIsEnd,
    /// The rows do not tell the next leader that grants last longer than the default.
    LongHoldNotStored,
    /// A leader that was frozen sends its orders without checking whether they have expired.
    NoCheckBeforeSend,
    /// A restored store answers in the same era as before.
    EraHidden,
    /// The rows of a restored store tell that a leader of its era has waited for the grants of
    /// earlier eras.
    NoRestoredWait,
}

/// How soon a crashed upstream restarts under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// Within seconds, while an earlier leader may still send it orders.
    Quick,
    /// Only when no earlier leader can send it orders any more.
    Slow,
}

/// The result of one schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Checks in which two upstreams held a key.
    pub double_holds: u32,
    /// Checks in which some upstream held the key.
    pub held: u64,
    /// All checks.
    pub looks: u64,
    /// Fencing tokens that two owners were granted keys with.
    pub reused_tokens: u32,
    /// The longest time for which a key had no owner, in milliseconds.
    pub longest_gap_ms: u64,
}

/// A scripted event of a schedule without random faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An upstream starts to leave.
    Drain(usize),
    /// A daemon ends and restarts at once.
    RestartDaemon(usize),
    /// All daemons end and restart at once.
    RestartAll,
    /// A daemon is suspended for some milliseconds.
    Freeze(usize, u64),
    /// The store goes back to a copy of some milliseconds ago.
    Restore(u64),
}
