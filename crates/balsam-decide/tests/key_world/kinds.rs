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
}
