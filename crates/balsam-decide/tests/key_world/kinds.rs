//! What a schedule is played with, and what it has shown.

/// A safeguard that is removed, or an assumption that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// An upstream's clock runs 60 % slow, so that holds outlast the wait for them.
    HoldNotWaitedFor,
    /// Upstreams forget the tokens of releases.
    ReleaseWithoutFence,
    /// The store acknowledges assignments that it does not keep.
    OrderBeforeRow,
    /// A leader that is cut off from the store renews for ever.
    EndlessTrust,
    /// A new leader does not wait long enough for grants of its predecessor.
    NoInheritance,
    /// A release counts although an earlier leader may still order the upstream's next life.
    EarlyReleaseCounts,
    /// A grant without an answer is taken for one that did not arrive.
    LateGrantForgotten,
    /// A refused connection is taken for the end of an upstream.
    RefusalIsEnd,
    /// The rows do not tell the next leader of holds that are longer than usual.
    LongHoldNotStored,
    /// Orders of a leader that woke up are sent without a look at the clock.
    NoCheckBeforeSend,
}

/// How soon a crashed upstream starts again under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// Within seconds, while an earlier leader may still order it.
    Quick,
    /// Once no earlier leader can order it any more.
    Slow,
}

/// What one schedule has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Looks at which two upstreams held one key.
    pub double_holds: u32,
    /// Looks at which some upstream held the key.
    pub held: u64,
    /// All looks.
    pub looks: u64,
}
