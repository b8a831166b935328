//! Places and buffers by rank and member.

use super::{Arrival, EntryLimits, EntryRank, EntryTicket};
use balsam_types::{Map, MemberName, NotRunReason, new_map};

/// What a member of weight 1 may hold for each free place or byte.
///
/// A member alone gets four fifths and leaves the rest to members that arrive later; members that
/// compete converge to equal shares.
const HELD_PER_FREE: u64 = 4;

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
struct Held {
    rank: EntryRank,
    member: MemberName,
    weight: u64,
    body_bytes: u64,
    buffered_bytes: u64,
}

/// Bounds the requests and the buffered bytes of each rank, with a fair share for each member.
#[derive(Debug)]
pub struct EntryAdmission {
    limits: Map<EntryRank, EntryLimits>,
    usage: Map<EntryRank, RankUsage>,
    held: Map<EntryTicket, Held>,
    next_ticket: u64,
}

impl EntryAdmission {
    /// Makes bounds without requests.
    pub fn new(limits: Map<EntryRank, EntryLimits>) -> Self {
        Self {
            limits,
            usage: new_map(),
            held: new_map(),
            next_ticket: 0,
        }
    }

    /// Changes the limits; held requests keep their places.
    pub fn set_limits(&mut self, limits: Map<EntryRank, EntryLimits>) {
        self.limits = limits;
    }

    /// Gives a request a place until [`Self::release`].
    ///
    /// # Errors
    ///
    /// Returns `UnknownRank`, `BodyTooLarge`, or `EntryLimit` if the rank is full or the member
    /// holds its share.
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
        if !fits(own.requests, 1, free, weight) {
            return Err(NotRunReason::EntryLimit);
        }
        usage.total.requests += 1;
        usage.members.entry(member.clone()).or_default().requests += 1;
        let ticket = EntryTicket(self.next_ticket);
        self.next_ticket += 1;
        let held = Held {
            rank,
            member,
            weight,
            body_bytes: 0,
            buffered_bytes: 0,
        };
        self.held.insert(ticket, held);
        Ok(ticket)
    }

    /// Takes buffer space for the next bytes of a body.
    ///
    /// # Errors
    ///
    /// Returns `BodyTooLarge` if the body exceeds its limit, and `EntryLimit` if there is no space
    /// now; the caller then stops reading until [`Self::unbuffer`] has made space.
    pub fn buffer(&mut self, ticket: EntryTicket, bytes: u64) -> Result<(), NotRunReason> {
        let held = self.held.get_mut(&ticket).ok_or(NotRunReason::Cancelled)?;
        let limits = self
            .limits
            .get(&held.rank)
            .ok_or(NotRunReason::UnknownRank)?;
        if held.body_bytes.saturating_add(bytes) > limits.body_max_bytes {
            return Err(NotRunReason::BodyTooLarge);
        }
        let usage = self.usage.entry(held.rank.clone()).or_default();
        let own = usage.members.entry(held.member.clone()).or_default();
        let free = limits
            .max_buffered_bytes
            .saturating_sub(usage.total.buffered_bytes);
        if !fits(own.buffered_bytes, bytes, free, held.weight) {
            return Err(NotRunReason::EntryLimit);
        }
        own.buffered_bytes += bytes;
        usage.total.buffered_bytes += bytes;
        held.body_bytes += bytes;
        held.buffered_bytes += bytes;
        Ok(())
    }

    /// Gives back buffer space of bytes that were passed on.
    pub fn unbuffer(&mut self, ticket: EntryTicket, bytes: u64) {
        let Some(held) = self.held.get_mut(&ticket) else {
            return;
        };
        let released = bytes.min(held.buffered_bytes);
        held.buffered_bytes -= released;
        let (rank, member) = (held.rank.clone(), held.member.clone());
        self.give_back(&rank, &member, 0, released);
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self, ticket: EntryTicket) {
        if let Some(held) = self.held.remove(&ticket) {
            self.give_back(&held.rank, &held.member, 1, held.buffered_bytes);
        }
    }

    /// Returns the number of held requests of all ranks.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn give_back(&mut self, rank: &EntryRank, member: &MemberName, requests: u64, bytes: u64) {
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

/// Returns whether a member that holds `own` of something may take `more` while `free` is left.
const fn fits(own: u64, more: u64, free: u64, weight: u64) -> bool {
    let allowed = free.saturating_mul(HELD_PER_FREE).saturating_mul(weight);
    more <= free && (own < allowed || more == 0)
}
