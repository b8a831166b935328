//! Messages of the orders state machine.

use balsam_types::{
    AttemptId, Incarnation, MemberName, OrderId, ResponseHead, ServiceName, TimeMs, UnknownReason,
};

/// Names one order across the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The service.
    pub service: ServiceName,
    /// The member; order ids of different members never meet.
    pub member: MemberName,
    /// The caller's id.
    pub id: OrderId,
}

/// The outcome of an order as later arrivals get it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The upstream answered with this head and this body.
    Answered {
        /// The answer's head.
        head: ResponseHead,
        /// The answer's body; `None` if it was larger than the recorded limit.
        body: Option<Vec<u8>>,
    },
    /// Whether the order ran is unknown.
    Unknown(UnknownReason),
}

/// How far an order has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The order is claimed, and its outcome is not recorded.
    Claimed,
    /// The claim was given up without a run; the next arrival may claim the order.
    ///
    /// Released rows stay in the table: a row's version then only grows, so a transaction that
    /// the table applies late can neither renew a claim nor release that of another daemon.
    Released,
    /// The outcome is recorded.
    Done(RecordedOutcome),
}

/// The row of one order in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// The attempt that claimed the order.
    pub attempt: AttemptId,
    /// The daemon that claimed it.
    pub by: Incarnation,
    /// How far the order has come.
    pub state: OrderState,
}

/// One row of a grouped transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The order.
    pub key: OrderKey,
    /// The version that the row must have; 0 if it must be absent.
    pub version: u64,
    /// The new row.
    pub row: ClaimRow,
}

/// One row of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRow {
    /// The order.
    pub key: OrderKey,
    /// The row's version and content; `None` if it is absent.
    pub row: Option<(u64, ClaimRow)>,
}

/// How a grouped transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxResult {
    /// All rows are written.
    Committed,
    /// Nothing is written; these orders did not have the wanted version.
    Conflicts(Vec<OrderKey>),
    /// The table did not answer; the rows may or may not be written.
    Unsettled,
}

/// An input of the orders machine. `ticket` is chosen by the sender and names one arrival.
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// An order arrived and wants to run.
    Claim {
        /// The arrival.
        ticket: u64,
        /// The order.
        key: OrderKey,
        /// When the caller stops waiting.
        deadline: TimeMs,
    },
    /// A claimed order ended; its outcome is recorded.
    Finished {
        /// The arrival.
        ticket: u64,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// A claimed order was not run; its claim is released.
    NotRun {
        /// The arrival.
        ticket: u64,
    },
    /// A transaction ended.
    TxDone {
        /// The transaction.
        attempt: AttemptId,
        /// How it ended.
        result: TxResult,
    },
    /// A read ended; `None` if the table did not answer.
    ReadDone {
        /// The read.
        attempt: AttemptId,
        /// The wanted orders with their rows.
        rows: Option<Vec<ReadRow>>,
    },
    /// Time has passed.
    Tick,
}

/// An output of the orders machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutput {
    /// Write these rows in one conditional transaction; answer with `TxDone`.
    Transact {
        /// Names the transaction.
        attempt: AttemptId,
        /// The rows.
        writes: Vec<RowWrite>,
    },
    /// Read these rows; answer with `ReadDone`.
    Read {
        /// Names the read.
        attempt: AttemptId,
        /// The orders.
        keys: Vec<OrderKey>,
    },
    /// The arrival holds the claim and may run.
    Claimed {
        /// The arrival.
        ticket: u64,
    },
    /// Another arrival holds or held the claim; this one must not run.
    AlreadyClaimed {
        /// The arrival.
        ticket: u64,
        /// The recorded outcome, if there is one.
        outcome: Option<RecordedOutcome>,
    },
    /// The claim could not be confirmed before the deadline; the arrival must not run.
    Unavailable {
        /// The arrival.
        ticket: u64,
    },
}
