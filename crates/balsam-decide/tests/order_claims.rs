//! Claims, conflicts, lost answers and recorded outcomes of orders.

#[path = "support/order_table.rs"]
mod order_table;

use balsam_decide::orders::{
    OrderInput, OrderOutput, OrderState, Orders, RecordedOutcome, RowWrite, TxResult,
};
use balsam_types::{AttemptId, Incarnation, TimeMs, UnknownReason};
use order_table::{OrderTable, answered, order_key};

const GROUP_MS: u64 = 20;

fn machine(boot_id: u64) -> Orders {
    Orders::new(Incarnation(boot_id), boot_id, GROUP_MS)
}

fn claim(ticket: u64, id: &str, deadline: u64) -> OrderInput {
    OrderInput::Claim {
        ticket,
        key: order_key(id),
        deadline: TimeMs(deadline),
    }
}

fn transaction(outputs: &[OrderOutput]) -> Option<(AttemptId, Vec<RowWrite>)> {
    outputs.iter().find_map(|output| match output {
        OrderOutput::Transact { attempt, writes } => Some((*attempt, writes.clone())),
        _ => None,
    })
}

/// Answers all table operations of the machine and returns the other outputs.
fn settle(
    orders: &mut Orders,
    table: &mut OrderTable,
    now: u64,
    outputs: Vec<OrderOutput>,
) -> Vec<OrderOutput> {
    let mut replies = Vec::new();
    let mut open = outputs;
    while !open.is_empty() {
        let mut next = Vec::new();
        for output in open {
            let input = match output {
                OrderOutput::Transact { attempt, writes } => OrderInput::TxDone {
                    attempt,
                    result: table.apply(&writes),
                },
                OrderOutput::Read { attempt, keys } => OrderInput::ReadDone {
                    attempt,
                    rows: Some(table.read(&keys)),
                },
                reply => {
                    replies.push(reply);
                    continue;
                }
            };
            next.extend(orders.handle(TimeMs(now), input));
        }
        open = next;
    }
    replies
}

fn run(
    orders: &mut Orders,
    table: &mut OrderTable,
    now: u64,
    input: OrderInput,
) -> Vec<OrderOutput> {
    let outputs = orders.handle(TimeMs(now), input);
    settle(orders, table, now, outputs)
}

/// Guards against running the second arrival of an order, and against outcomes that are not
/// recorded.
#[test]
fn second_arrival_gets_recorded_outcome() {
    let mut table = OrderTable::default();
    let (mut first, mut second) = (machine(1), machine(2));
    let replies = run(&mut first, &mut table, 0, claim(1, "a", 1_000));
    assert_eq!(replies, [OrderOutput::Claimed { ticket: 1 }]);
    let unknown = |ticket| OrderOutput::AlreadyClaimed {
        ticket,
        outcome: None,
    };
    assert_eq!(
        run(&mut second, &mut table, 5, claim(2, "a", 1_000)),
        [unknown(2)]
    );
    assert_eq!(
        run(&mut first, &mut table, 5, claim(3, "a", 1_000)),
        [unknown(3)]
    );
    let outcome = answered(b"body");
    let finished = OrderInput::Finished {
        ticket: 1,
        outcome: outcome.clone(),
    };
    run(&mut first, &mut table, 50, finished);
    let known = OrderOutput::AlreadyClaimed {
        ticket: 4,
        outcome: Some(outcome),
    };
    assert_eq!(
        run(&mut second, &mut table, 80, claim(4, "a", 1_000)),
        [known]
    );
    assert!(first.is_empty() && second.is_empty());
}

/// Guards against one transaction per claim, and against a conflict that delays the other claims of
/// its transaction.
#[test]
fn claims_are_grouped_and_conflicts_split_off() {
    let mut table = OrderTable::default();
    run(&mut machine(9), &mut table, 0, claim(99, "taken", 1_000));
    let mut orders = machine(1);
    let first = orders.handle(TimeMs(0), claim(1, "a", 1_000));
    let (attempt, _) = transaction(&first).expect("an immediate transaction");
    for (ticket, id) in [(2, "b"), (3, "taken"), (4, "c")] {
        let outputs = orders.handle(TimeMs(1), claim(ticket, id, 1_000));
        assert_eq!(outputs, [], "one transaction at a time");
    }
    let result = TxResult::Committed;
    let outputs = orders.handle(TimeMs(5), OrderInput::TxDone { attempt, result });
    assert_eq!(
        outputs,
        [OrderOutput::Claimed { ticket: 1 }],
        "the batch waits"
    );
    assert_eq!(orders.next_wake(TimeMs(5)), Some(TimeMs(20)));
    let outputs = orders.handle(TimeMs(20), OrderInput::Tick);
    assert_eq!(transaction(&outputs).expect("batch").1.len(), 3);
    let replies = settle(&mut orders, &mut table, 22, outputs);
    assert_eq!(
        replies,
        [OrderOutput::AlreadyClaimed {
            ticket: 3,
            outcome: None
        }]
    );
    let replies = run(&mut orders, &mut table, 40, OrderInput::Tick);
    let claimed = [2, 4].map(|ticket| OrderOutput::Claimed { ticket });
    assert_eq!(replies, claimed);
}

/// Guards against losing a claim, or mistaking it for another daemon's, because the answer to its
/// transaction was lost.
#[test]
fn lost_answer_is_read_back() {
    let mut table = OrderTable::default();
    let mut orders = machine(1);
    let outputs = orders.handle(TimeMs(0), claim(1, "a", 1_000));
    let (attempt, writes) = transaction(&outputs).expect("transaction");
    assert_eq!(table.apply(&writes), TxResult::Committed);
    let result = TxResult::Unsettled;
    let lost = OrderInput::TxDone { attempt, result };
    assert_eq!(run(&mut orders, &mut table, 5, lost), []);
    let replies = run(&mut orders, &mut table, 30, OrderInput::Tick);
    assert_eq!(replies, [OrderOutput::Claimed { ticket: 1 }]);
}

/// Guards against running an arrival that was reported as not run, and against an order that then
/// stays claimed without anyone to run it.
#[test]
fn unsettled_claim_is_released_after_deadline() {
    let mut table = OrderTable::default();
    let mut orders = machine(1);
    let outputs = orders.handle(TimeMs(0), claim(1, "a", 100));
    let (attempt, late) = transaction(&outputs).expect("transaction");
    let result = TxResult::Unsettled;
    orders.handle(TimeMs(50), OrderInput::TxDone { attempt, result });
    let outputs = orders.handle(TimeMs(100), OrderInput::Tick);
    let replies = settle(&mut orders, &mut table, 130, outputs);
    assert_eq!(replies, [OrderOutput::Unavailable { ticket: 1 }]);
    // The release is in the table, so the late claim can no longer be applied.
    assert!(matches!(table.apply(&late), TxResult::Conflicts(_)));
    assert!(orders.is_empty());
    let mut second = machine(2);
    run(&mut second, &mut table, 200, claim(2, "a", 1_000));
    let replies = run(&mut second, &mut table, 220, OrderInput::Tick);
    assert_eq!(replies, [OrderOutput::Claimed { ticket: 2 }]);
}

/// Guards against a claim that is kept although its request was not run.
#[test]
fn released_order_can_be_claimed() {
    let mut table = OrderTable::default();
    let (mut first, mut second) = (machine(1), machine(2));
    run(&mut first, &mut table, 0, claim(1, "a", 1_000));
    run(&mut first, &mut table, 30, OrderInput::NotRun { ticket: 1 });
    let row = table.row(&order_key("a")).expect("row");
    assert_eq!(row.1.state, OrderState::Released);
    assert_eq!(run(&mut second, &mut table, 60, claim(2, "a", 1_000)), []);
    let replies = run(&mut second, &mut table, 80, OrderInput::Tick);
    assert_eq!(replies, [OrderOutput::Claimed { ticket: 2 }]);
}

/// Guards against running an order twice when one daemon receives it twice.
#[test]
fn duplicate_arrivals_run_once() {
    let mut table = OrderTable::default();
    let mut orders = machine(1);
    let outputs = orders.handle(TimeMs(0), claim(1, "a", 40));
    assert_eq!(orders.handle(TimeMs(1), claim(2, "a", 1_000)), []);
    // The first arrival times out before the claim is committed, so the second one gets the claim.
    let expired = orders.handle(TimeMs(40), OrderInput::Tick);
    assert_eq!(expired, [OrderOutput::Unavailable { ticket: 1 }]);
    let replies = settle(&mut orders, &mut table, 41, outputs);
    assert_eq!(replies, [OrderOutput::Claimed { ticket: 2 }]);
    let third = run(&mut orders, &mut table, 42, claim(3, "a", 1_000));
    assert_eq!(
        third,
        [OrderOutput::AlreadyClaimed {
            ticket: 3,
            outcome: None
        }]
    );
}

/// Guards against memory that grows during a table outage, and against orders that wait forever.
#[test]
fn outage_is_bounded() {
    let mut orders = machine(1);
    let mut refused = 0;
    let mut now = 0;
    for ticket in 0..40_000 {
        now = ticket / 10;
        let deadline = now + 2_000;
        let outputs = orders.handle(TimeMs(now), claim(ticket, &format!("o{ticket}"), deadline));
        for output in outputs {
            let input = match output {
                OrderOutput::Transact { attempt, .. } => OrderInput::TxDone {
                    attempt,
                    result: TxResult::Unsettled,
                },
                OrderOutput::Read { attempt, .. } => OrderInput::ReadDone {
                    attempt,
                    rows: None,
                },
                OrderOutput::Unavailable { .. } => {
                    refused += 1;
                    continue;
                }
                reply => panic!("{reply:?}"),
            };
            let next = orders.handle(TimeMs(now), input);
            assert!(transaction(&next).is_none(), "claims sent during an outage");
        }
        assert!(orders.len() <= 16_384);
    }
    let outputs = orders.handle(TimeMs(now + 2_000), OrderInput::Tick);
    refused += outputs
        .iter()
        .filter(|output| matches!(output, OrderOutput::Unavailable { .. }))
        .count();
    assert_eq!(refused, 40_000);
    assert!(orders.len() <= 256, "{} orders kept", orders.len());
}

/// Guards against rows that grow with the size of the answers.
#[test]
fn large_bodies_are_not_recorded() {
    let mut table = OrderTable::default();
    let mut orders = machine(1);
    let sizes = [(1, "a", 64 << 10, true), (2, "b", (64 << 10) + 1, false)];
    for (ticket, id, size, kept) in sizes {
        let now = ticket * 1_000;
        run(&mut orders, &mut table, now, claim(ticket, id, now + 500));
        let outcome = answered(&vec![0; size]);
        let finished = OrderInput::Finished { ticket, outcome };
        run(&mut orders, &mut table, now + 100, finished);
        let (_, row) = table.row(&order_key(id)).expect("row");
        let OrderState::Done(RecordedOutcome::Answered { body, .. }) = &row.state else {
            panic!("{row:?}");
        };
        assert_eq!(body.is_some(), kept);
    }
}

/// Guards against losing an unknown outcome, which would let the order run again.
#[test]
fn unknown_outcome_is_kept() {
    let mut table = OrderTable::default();
    let mut orders = machine(1);
    run(&mut orders, &mut table, 0, claim(1, "a", 1_000));
    let outcome = RecordedOutcome::Unknown(UnknownReason::UpstreamLost);
    let finished = OrderInput::Finished {
        ticket: 1,
        outcome: outcome.clone(),
    };
    run(&mut orders, &mut table, 30, finished);
    let replies = run(&mut machine(2), &mut table, 60, claim(2, "a", 1_000));
    let known = OrderOutput::AlreadyClaimed {
        ticket: 2,
        outcome: Some(outcome),
    };
    assert_eq!(replies, [known]);
}
