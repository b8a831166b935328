//! Safety rules that tests can remove.

/// A safety rule of a daemon that a test removes to show that its checks notice the loss.
///
/// Daemons never remove one. See
/// [the design page, section 5](../../../../docs/design.md#5-freshness-right).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A move away from a lost owner waits until the rights of older epochs have lapsed.
    LapseWait,
    /// A majority must adopt an epoch before the wait for older rights begins.
    MajorityAdoption,
    /// A right is dated from before its table read or round began.
    LeaseDatedFromStart,
    /// Only statements of the same round count towards a quorum.
    SameRound,
    /// A majority of each open roster must adopt an epoch, not only of the current one.
    EveryOpenRoster,
    /// A revocation is sent only after a majority has adopted the epoch that suspended the units.
    AdoptionBeforeRevoke,
    /// An incarnation of an upstream gets units only under a right dated after its first answer.
    LeaseAfterRestart,
}
