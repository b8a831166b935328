//! Random schedules of several daemons that claim the same orders.

#[path = "support/order_table.rs"]
mod order_table;

use balsam_decide::orders::{
    OrderInput, OrderKey, OrderOutput, OrderState, Orders, ReadRow, RowWrite, TxResult,
};
use balsam_types::{AttemptId, Incarnation, TimeMs};
use order_table::{OrderTable, answered, order_key};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 3;
const ORDERS: usize = 3;
const GROUP_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        daemon: usize,
        order: usize,
        timeout_ms: u64,
    },
    /// The transaction in flight reaches the table, is answered, or both.
    Transact {
        daemon: usize,
        delivery: TxDelivery,
    },
    Read {
        daemon: usize,
        answered: bool,
        stale: bool,
    },
    /// A transaction that had timed out reaches the table.
    ApplyLate {
        index: usize,
    },
    End {
        index: usize,
        ran: bool,
    },
    Crash {
        daemon: usize,
    },
    Wait {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum TxDelivery {
    Answered,
    /// The answer arrives, and a second copy of the request reaches the table later.
    Duplicated,
    AnswerLost,
    RequestLost,
    Late,
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let delivery = prop_oneof![
        4 => Just(TxDelivery::Answered),
        1 => Just(TxDelivery::Duplicated),
        2 => Just(TxDelivery::AnswerLost),
        1 => Just(TxDelivery::RequestLost),
        2 => Just(TxDelivery::Late),
    ];
    prop_oneof![
        5 => (daemon(), 0..ORDERS, 1..300_u64).prop_map(|(daemon, order, timeout_ms)| {
            Step::Arrive { daemon, order, timeout_ms }
        }),
        7 => (daemon(), delivery).prop_map(|(daemon, delivery)| Step::Transact { daemon, delivery }),
        5 => (daemon(), prop::bool::weighted(0.8), any::<bool>()).prop_map(
            |(daemon, answered, stale)| Step::Read { daemon, answered, stale }
        ),
        2 => (0..8_usize).prop_map(|index| Step::ApplyLate { index }),
        3 => (0..4_usize, any::<bool>()).prop_map(|(index, ran)| Step::End { index, ran }),
        1 => daemon().prop_map(|daemon| Step::Crash { daemon }),
        4 => (1..60_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

struct Daemon {
    orders: Orders,
    transaction: Option<(AttemptId, Vec<RowWrite>)>,
    /// The read in flight, with the rows at the time it was sent.
    read: Option<(AttemptId, Vec<OrderKey>, Vec<ReadRow>)>,
    last_transaction: Option<u64>,
}

impl Daemon {
    fn new(boot_id: u64) -> Self {
        Self {
            orders: Orders::new(Incarnation(boot_id), boot_id, GROUP_MS),
            transaction: None,
            read: None,
            last_transaction: None,
        }
    }
}

struct World {
    now: u64,
    last_boot_id: u64,
    table: OrderTable,
    daemons: Vec<Daemon>,
    delayed: Vec<Vec<RowWrite>>,
    next_ticket: u64,
    arrivals: BTreeMap<u64, (usize, usize, u64)>,
    replied: BTreeSet<u64>,
    /// Arrivals that hold a claim, with their daemon.
    running: Vec<(u64, usize)>,
    /// Claims of each order that were not released as not run.
    claims: [u64; ORDERS],
    ran: [bool; ORDERS],
    crashed: [bool; ORDERS],
}

impl World {
    fn new() -> Self {
        Self {
            now: 1,
            last_boot_id: DAEMONS as u64,
            table: OrderTable::default(),
            daemons: (0..DAEMONS as u64).map(Daemon::new).collect(),
            delayed: Vec::new(),
            next_ticket: 0,
            arrivals: BTreeMap::new(),
            replied: BTreeSet::new(),
            running: Vec::new(),
            claims: [0; ORDERS],
            ran: [false; ORDERS],
            crashed: [false; ORDERS],
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Arrive {
                daemon,
                order,
                timeout_ms,
            } => self.arrive(daemon, order, timeout_ms),
            Step::Transact { daemon, delivery } => self.transact(daemon, delivery),
            Step::Read {
                daemon,
                answered,
                stale,
            } => self.read(daemon, answered, stale),
            Step::ApplyLate { index } if index < self.delayed.len() => {
                let writes = self.delayed.remove(index);
                self.table.apply(&writes);
            }
            Step::End { index, ran } if index < self.running.len() => self.end(index, ran),
            Step::Crash { daemon } => self.crash(daemon),
            Step::Wait { ms } => {
                self.now += ms;
                for daemon in 0..DAEMONS {
                    self.input(daemon, OrderInput::Tick);
                }
            }
            Step::ApplyLate { .. } | Step::End { .. } => {}
        }
    }

    fn input(&mut self, daemon: usize, input: OrderInput) {
        let outputs = self.daemons[daemon].orders.handle(TimeMs(self.now), input);
        for output in outputs {
            self.output(daemon, output);
        }
    }

    fn output(&mut self, at: usize, output: OrderOutput) {
        let daemon = &mut self.daemons[at];
        match output {
            OrderOutput::Transact { attempt, writes } => {
                assert!(daemon.transaction.is_none(), "two transactions in flight");
                if let Some(last) = daemon.last_transaction {
                    assert!(
                        self.now >= last + GROUP_MS,
                        "transactions started too close together"
                    );
                }
                daemon.last_transaction = Some(self.now);
                daemon.transaction = Some((attempt, writes));
            }
            OrderOutput::Read { attempt, keys } => {
                assert!(daemon.read.is_none(), "two reads in flight");
                let rows = self.table.read(&keys);
                daemon.read = Some((attempt, keys, rows));
            }
            OrderOutput::Claimed { ticket } => {
                self.reply(ticket);
                let (_, order, deadline) = self.arrivals[&ticket];
                assert!(
                    deadline > self.now,
                    "arrival {ticket} runs after its deadline"
                );
                self.claims[order] += 1;
                assert_eq!(self.claims[order], 1, "order {order} runs twice");
                self.running.push((ticket, at));
            }
            OrderOutput::AlreadyClaimed { ticket, outcome } => {
                self.reply(ticket);
                let (_, order, _) = self.arrivals[&ticket];
                let has_run = self.ran[order];
                assert!(
                    outcome.is_none() || has_run,
                    "outcome of an order that never ran"
                );
            }
            OrderOutput::Unavailable { ticket } => self.reply(ticket),
        }
    }

    fn reply(&mut self, ticket: u64) {
        assert!(
            self.replied.insert(ticket),
            "arrival {ticket} got two replies"
        );
    }

    fn arrive(&mut self, daemon: usize, order: usize, timeout_ms: u64) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = self.now + timeout_ms;
        self.arrivals.insert(ticket, (daemon, order, deadline));
        let claim = OrderInput::Claim {
            ticket,
            key: order_key(&format!("o{order}")),
            deadline: TimeMs(deadline),
        };
        self.input(daemon, claim);
    }

    fn transact(&mut self, daemon: usize, delivery: TxDelivery) {
        let Some((attempt, writes)) = self.daemons[daemon].transaction.take() else {
            return;
        };
        let result = match delivery {
            TxDelivery::Answered => self.table.apply(&writes),
            TxDelivery::Duplicated => {
                let result = self.table.apply(&writes);
                self.delayed.push(writes);
                result
            }
            TxDelivery::AnswerLost => {
                self.table.apply(&writes);
                TxResult::Unsettled
            }
            TxDelivery::RequestLost => TxResult::Unsettled,
            TxDelivery::Late => {
                self.delayed.push(writes);
                TxResult::Unsettled
            }
        };
        self.input(daemon, OrderInput::TxDone { attempt, result });
    }

    fn read(&mut self, daemon: usize, answered: bool, stale: bool) {
        let Some((attempt, keys, rows)) = self.daemons[daemon].read.take() else {
            return;
        };
        let rows = if stale { rows } else { self.table.read(&keys) };
        let rows = answered.then_some(rows);
        self.input(daemon, OrderInput::ReadDone { attempt, rows });
    }

    fn end(&mut self, index: usize, ran: bool) {
        let (ticket, daemon) = self.running.remove(index);
        let (_, order, _) = self.arrivals[&ticket];
        if ran {
            self.ran[order] = true;
            let outcome = answered(b"done");
            self.input(daemon, OrderInput::Finished { ticket, outcome });
        } else {
            self.claims[order] -= 1;
            self.input(daemon, OrderInput::NotRun { ticket });
        }
    }

    /// Replaces a daemon by a new incarnation; messages that it had sent may still reach the table.
    fn crash(&mut self, at: usize) {
        self.last_boot_id += 1;
        let lost = std::mem::replace(&mut self.daemons[at], Daemon::new(self.last_boot_id));
        self.delayed
            .extend(lost.transaction.map(|(_, writes)| writes));
        for (ticket, (daemon, order, _)) in &self.arrivals {
            let running = self.running.contains(&(*ticket, at));
            if *daemon == at && (running || !self.replied.contains(ticket)) {
                self.replied.insert(*ticket);
                self.crashed[*order] = true;
            }
        }
        // A release or an outcome that was not yet written is lost with the daemon.
        for order in 0..ORDERS {
            let claimed = self
                .table
                .row(&order_key(&format!("o{order}")))
                .is_some_and(|(_, row)| row.state == OrderState::Claimed);
            self.crashed[order] |= claimed;
        }
        for writes in &self.delayed {
            for write in writes {
                let order = (0..ORDERS).find(|at| order_key(&format!("o{at}")) == write.key);
                self.crashed[order.expect("known order")] = true;
            }
        }
        self.running.retain(|(_, daemon)| *daemon != at);
    }

    /// Ends all faults and delivers all messages in flight.
    fn heal(&mut self) {
        for writes in std::mem::take(&mut self.delayed) {
            self.table.apply(&writes);
        }
        for _ in 0..200 {
            while !self.running.is_empty() {
                self.end(0, true);
            }
            for daemon in 0..DAEMONS {
                self.transact(daemon, TxDelivery::Answered);
                self.read(daemon, true, false);
            }
            self.step(&Step::Wait { ms: 10 });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against orders that run twice, against arrivals that run although they were reported
    /// as not run, and against claims and memory that are never released.
    #[test]
    fn orders_run_at_most_once(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.heal();
        prop_assert_eq!(world.replied.len(), world.arrivals.len(), "some arrivals got no reply");
        for daemon in &world.daemons {
            prop_assert!(daemon.orders.is_empty(), "{:?}", daemon.orders);
        }
        for order in 0..ORDERS {
            if world.claims[order] == 0 && !world.crashed[order] {
                world.arrive(0, order, 1_000);
                world.heal();
                prop_assert_eq!(world.claims[order], 1, "order {} stays claimed without a holder", order);
            }
        }
    }
}
