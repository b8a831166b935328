//! Limits requests and buffered body bytes by rank and member.

use super::{Arrival, EntryLimits, EntryRank, EntryTicket};
use balsam_types::{Map, MemberName, NotRunReason, new_map};

/// How many requests or bytes a member of weight 1 may hold for each one that is free in its rank.
///
/// A single member can take four fifths of the limit, which leaves the rest to members that arrive
/// later. Members that compete converge to equal shares.
const MAX_HELD_PER_FREE: u64 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u64,
    buffered_bytes: u64,
}

impl Usage {
    fn is_empty(self) -> bool {
        self.requests == 0 && self.buffered_bytes == 0
    }
}

#[derive(Debug, Default)]
struct RankUsage {
    total: Usage,
    members: Map<MemberName, Usage>,
}

#[derive(Debug)]
struct AdmittedRequest {
    rank: EntryRank,
    member: MemberName,
    weight: u64,
    body_bytes: u64,
    buffered_bytes: u64,
}

/// Limits the requests and the buffered bytes of each rank, with a fair share for each member.
#[derive(Debug)]
pub struct EntryAdmission {
    limits: Map<EntryRank, EntryLimits>,
    usage: Map<EntryRank, RankUsage>,
    admitted: Map<EntryTicket, AdmittedRequest>,
    next_ticket: u64,
}

impl EntryAdmission {
    /// Creates the state of an entry daemon without requests.
    pub fn new(limits: Map<EntryRank, EntryLimits>) -> Self {
        Self {
            limits,
            usage: new_map(),
            admitted: new_map(),
            next_ticket: 0,
        }
    }

    /// Changes the limits. Requests that are already admitted stay admitted.
    pub fn set_limits(&mut self, limits: Map<EntryRank, EntryLimits>) {
        self.limits = limits;
    }

    /// Admits a request, which then counts against the limits until [`Self::release`].
    ///
    /// # Errors
    ///
    /// Returns `UnknownRank`, `BodyTooLarge`, or `EntryLimit` if the rank is full or the member
    /// already holds its share.
    pub fn admit(&mut self, arrival: Arrival) -> Result<EntryTicket, NotRunReason> {
        let Arrival {
            rank,
            member,
            weight,
            body_length_bytes,
        } = arrival;
        let limits = self.limits.get(&rank).ok_or(NotRunReason::UnknownRank)?;
        if body_length_bytes.is_some_and(|bytes| bytes > limits.body_max_bytes) {
            return Err(NotRunReason::BodyTooLarge);
        }
        let usage = self.usage.entry(rank.clone()).or_default();
        let own = usage.members.get(&member).copied().unwrap_or_default();
        let free = limits.max_requests.saturating_sub(usage.total.requests);
        if !is_within_share(own.requests, 1, free, weight) {
            return Err(NotRunReason::EntryLimit);
        }
        usage.total.requests += 1;
        usage.members.entry(member.clone()).or_default().requests += 1;
        let ticket = EntryTicket(self.next_ticket);
        self.next_ticket += 1;
        let admitted = AdmittedRequest {
            rank,
            member,
            weight,
            body_bytes: 0,
            buffered_bytes: 0,
        };
        self.admitted.insert(ticket, admitted);
        Ok(ticket)
    }

    /// Reserves buffer space for the next bytes of a body.
    ///
    /// # Errors
    ///
    /// Returns `BodyTooLarge` if the body exceeds its limit, and `EntryLimit` if there is no space
    /// now; the caller must then stop reading until [`Self::release_buffer`] has freed some.
    pub fn buffer(&mut self, ticket: EntryTicket, bytes: u64) -> Result<(), NotRunReason> {
        let admitted = self
            .admitted
            .get_mut(&ticket)
            .ok_or(NotRunReason::Cancelled)?;
        let limits = self
            .limits
            .get(&admitted.rank)
            .ok_or(NotRunReason::UnknownRank)?;
        if admitted.body_bytes.saturating_add(bytes) > limits.body_max_bytes {
            return Err(NotRunReason::BodyTooLarge);
        }
        let usage = self.usage.entry(admitted.rank.clone()).or_default();
        let own = usage.members.entry(admitted.member.clone()).or_default();
        let free = limits
            .max_buffered_bytes
            .saturating_sub(usage.total.buffered_bytes);
        if !is_within_share(own.buffered_bytes, bytes, free, admitted.weight) {
            return Err(NotRunReason::EntryLimit);
        }
        own.buffered_bytes += bytes;
        usage.total.buffered_bytes += bytes;
        admitted.body_bytes += bytes;
        admitted.buffered_bytes += bytes;
        Ok(())
    }

    /// Releases the buffer space of bytes that were forwarded.
    pub fn release_buffer(&mut self, ticket: EntryTicket, bytes: u64) {
        let Some(admitted) = self.admitted.get_mut(&ticket) else {
            return;
        };
        let released_bytes = bytes.min(admitted.buffered_bytes);
        admitted.buffered_bytes -= released_bytes;
        let (rank, member) = (admitted.rank.clone(), admitted.member.clone());
        self.subtract_usage(&rank, &member, 0, released_bytes);
    }

    /// Removes a request that has ended, with the buffer space that it still holds.
    pub fn release(&mut self, ticket: EntryTicket) {
        if let Some(admitted) = self.admitted.remove(&ticket) {
            self.subtract_usage(&admitted.rank, &admitted.member, 1, admitted.buffered_bytes);
        }
    }

    /// Returns the number of admitted requests of all ranks.
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    fn subtract_usage(&mut self, rank: &EntryRank, member: &MemberName, requests: u64, bytes: u64) {
        let Some(usage) = self.usage.get_mut(rank) else {
            return;
        };
        usage.total.requests -= requests;
        usage.total.buffered_bytes -= bytes;
        if let Some(own) = usage.members.get_mut(member) {
            own.requests -= requests;
            own.buffered_bytes -= bytes;
            if own.is_empty() {
                usage.members.remove(member);
            }
        }
        if usage.total.is_empty() {
            self.usage.remove(rank);
        }
    }
}

/// Returns whether a member that holds `own` requests or bytes may take `more` of them, while
/// `free` of them are left in the rank.
const fn is_within_share(own: u64, more: u64, free: u64, weight: u64) -> bool {
    let allowed = free
        .saturating_mul(MAX_HELD_PER_FREE)
        .saturating_mul(weight);
    more <= free && (own < allowed || more == 0)
}
