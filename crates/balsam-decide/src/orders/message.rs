//! Inputs, outputs and rows of the state machine of orders.

use balsam_types::{
    AttemptId, Incarnation, MemberName, OrderId, ResponseHead, ServiceName, TimeMs, UnknownReason,
};

/// Identifies one order across the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The service.
    pub service: ServiceName,
    /// The workspace; orders of different workspaces are distinct even if their ids are equal.
    pub member: MemberName,
    /// The id that the caller chose.
    pub id: OrderId,
}

/// The outcome of an order, as it is returned to later arrivals of the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The upstream answered with this head and this body.
    Answered {
        /// The head of the answer.
        head: ResponseHead,
        /// The body of the answer; `None` if it exceeded the size limits for recorded bodies.
        body: Option<Vec<u8>>,
    },
    /// It is unknown whether the order was run.
    Unknown(UnknownReason),
}

/// The state of an order in its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The order is claimed, and its outcome is not recorded yet.
    Claimed,
    /// The claim was released without a run; the next arrival may claim the order.
    ///
    /// Released rows stay in the table, so that a row's version only grows. A transaction that the
    /// table applies late then has an old version and can neither renew a claim nor release the
    /// claim of another daemon.
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
    /// The state of the order.
    pub state: OrderState,
}

/// The write of one row in a batched transaction.
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

/// The result of a batched transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxResult {
    /// All rows are written.
    Committed,
    /// Nothing is written, because the rows of these orders did not have the expected version.
    Conflicts(Vec<OrderKey>),
    /// The table did not answer, so it is unknown whether the rows are written.
    Unsettled,
}

/// An input of the state machine of orders.
///
/// A `ticket` is chosen by the sender and identifies one arrival, which is one request with the
/// order's id.
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// A request with an order id arrived and asks for the claim.
    Claim {
        /// The arrival.
        ticket: u64,
        /// The order.
        key: OrderKey,
        /// When the caller stops waiting.
        deadline: TimeMs,
    },
    /// A claimed order has ended, and its outcome must be recorded.
    Finished {
        /// The arrival.
        ticket: u64,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// A claimed order was not run, and its claim must be released.
    NotRun {
        /// The arrival.
        ticket: u64,
    },
    /// A transaction has ended.
    TxDone {
        /// The transaction.
        attempt: AttemptId,
        /// The result of the transaction.
        result: TxResult,
    },
    /// A read has ended.
    ReadDone {
        /// The read.
        attempt: AttemptId,
        /// The requested orders with their rows; `None` if the table did not answer.
        rows: Option<Vec<ReadRow>>,
    },
    /// Time has passed.
    Tick,
}

/// An output of the state machine of orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutput {
    /// Write these rows in one conditional transaction; answered by `TxDone`.
    Transact {
        /// Identifies the transaction.
        attempt: AttemptId,
        /// The rows.
        writes: Vec<RowWrite>,
    },
    /// Read the rows of these orders; answered by `ReadDone`.
    Read {
        /// Identifies the read.
        attempt: AttemptId,
        /// The orders.
        keys: Vec<OrderKey>,
    },
    /// The arrival holds the claim and may run.
    Claimed {
        /// The arrival.
        ticket: u64,
    },
    /// Another arrival holds or held the claim, so this one must not run.
    AlreadyClaimed {
        /// The arrival.
        ticket: u64,
        /// The recorded outcome, if there is one.
        outcome: Option<RecordedOutcome>,
    },
    /// The claim could not be confirmed before the deadline, so the arrival must not run.
    Unavailable {
        /// The arrival.
        ticket: u64,
    },
}
