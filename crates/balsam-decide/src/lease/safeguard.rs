//! Safety rules that tests can disable.

/// A safety rule of a daemon that a test disables to show that its checks detect the absence.
///
/// Daemons in operation never disable one. See
/// [the design page, section 5](../../../../docs/design.md#5-freshness-lease).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A unit moves away from a lost owner only after the leases of older epochs have expired.
    LapseWait,
    /// The wait for older leases starts only after a majority has adopted the new epoch.
    MajorityAdoption,
    /// A lease is dated from the start of its table read or round, not from the reply.
    LeaseDatedFromStart,
    /// Only acknowledgements of the same round count towards a majority.
    SameRound,
    /// A majority of each open roster must adopt an epoch, not only of the current one.
    EveryOpenRoster,
    /// A revocation is sent only after a majority has adopted the epoch that suspended the units.
    AdoptionBeforeRevoke,
    /// A new incarnation of an upstream gets units only under a lease dated after its first answer.
    LeaseAfterRestart,
}
