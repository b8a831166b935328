//! Delivery of orders and of their answers, some of which are lost or late.

use super::world::{UPSTREAMS, name};
use super::{Cluster, Flaw};
use balsam_decide::keys::{AssignerInput, Order, OrderKind, OrderResult};
use rand::RngExt;

impl Cluster {
    /// Executes the orders and commits that are late, and delivers answers.
    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        let keeps_tokens = self.flaw != Flaw::ReleaseWithoutFence;
        let due: Vec<_> = self
            .delayed_orders
            .extract_if(.., |delayed| delayed.0 <= now)
            .collect();
        for (_, arrived_at, to, born, order) in due {
            let upstream = &mut self.upstreams[to];
            if upstream.is_up && upstream.born == born {
                upstream.apply(arrived_at, &order, keeps_tokens, 0);
            }
        }
        let arrived: Vec<_> = self
            .late_answers
            .extract_if(.., |answer| answer.0 <= now)
            .collect();
        for (_, at, incarnation, answer) in arrived {
            if self.daemons[at].incarnation == incarnation {
                self.deliver(at, answer);
            }
        }
        let due: Vec<_> = self
            .delayed_commits
            .extract_if(.., |delayed| delayed.0 <= now)
            .collect();
        for (_, commit) in due {
            self.store.commit(&commit);
        }
    }

    /// Sends an order to its upstream, and delivers the answer now or later.
    pub(super) fn send(&mut self, at: usize, order: Order) {
        let id = order.id;
        if matches!(order.kind, OrderKind::Grant { .. }) {
            let owner = self.token_owners.entry(order.fence);
            let owner = owner.or_insert_with(|| order.to.clone());
            self.reused_tokens += u32::from(*owner != order.to);
        }
        if self.now >= order.send_before && self.flaw != Flaw::NoCheckBeforeSend {
            return self.deliver(
                at,
                AssignerInput::Ordered {
                    id,
                    result: OrderResult::NotSent,
                },
            );
        }
        let to = (0..UPSTREAMS)
            .find(|to| name(*to) == order.to.upstream)
            .expect("a known upstream");
        let is_cut = self.now < self.daemons[at].upstream_cut_until[to];
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        let answer_ms = if self.answers_late {
            self.rng.random_range(0..order.timeout_ms * 3 / 2)
        } else {
            0
        };
        let timeout_ms = order.timeout_ms;
        let result = if is_cut || !self.upstreams[to].is_up {
            OrderResult::NoAnswer
        } else if self.chance(300) {
            if self.flaw == Flaw::RefusalIsEnd {
                OrderResult::Ended {
                    successor: name(to),
                    takes_orders: true,
                }
            } else {
                OrderResult::Unreached
            }
        } else if self.chance(400) {
            let at = self.random_time(500, 12_000);
            let born = self.upstreams[to].born;
            self.delayed_orders.push((at, self.now, to, born, order));
            if self.flaw == Flaw::LateGrantForgotten && is_grant {
                OrderResult::Unreached
            } else {
                OrderResult::NoAnswer
            }
        } else {
            let now = self.now;
            let keeps_tokens = self.flaw != Flaw::ReleaseWithoutFence;
            let executed = self.upstreams[to].apply(now, &order, keeps_tokens, answer_ms);
            if answer_ms < timeout_ms {
                executed
            } else {
                OrderResult::NoAnswer
            }
        };
        let answered_at = self.now.after(answer_ms.min(timeout_ms));
        let answer = AssignerInput::Ordered { id, result };
        if answered_at > self.now {
            let incarnation = self.daemons[at].incarnation;
            self.late_answers
                .push((answered_at, at, incarnation, answer));
        } else {
            self.deliver(at, answer);
        }
    }
}
