//! Requests of callers whose outcomes a test compares with the journals.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use super::deployment::{DEADLINE, plan};
use balsam_standins::harness::cluster::{Cluster, ClusterPlan};
use balsam_standins::harness::{Answer, Client, HarnessError, Sent};
use balsam_wire::operator::IdText;
use balsam_wire::upstream::{Execution, ExecutionEnd, JournalResponse};

/// What the caller of one request was told.
#[derive(Clone, Debug)]
pub struct Told {
    /// The key or the order id.
    pub name: String,
    /// The reported outcome, or `broken` without a whole answer.
    pub outcome: String,
    /// The body, as far as it arrived.
    pub body: Vec<u8>,
}

impl Told {
    /// Judges an answer.
    pub fn new(name: impl Into<String>, answer: Result<Answer, HarnessError>) -> Self {
        let (outcome, body) = match answer {
            Ok(answer) if answer.complete => {
                let outcome = answer.header("balsam-outcome").unwrap_or("broken");
                (outcome.to_owned(), answer.body.to_vec())
            }
            Ok(answer) => ("broken".to_owned(), answer.body.to_vec()),
            Err(_) => ("broken".to_owned(), Vec::new()),
        };
        Self {
            name: name.into(),
            outcome,
            body,
        }
    }

    /// Returns whether the outcome is `outcome`.
    pub fn is(&self, outcome: &str) -> bool {
        self.outcome == outcome
    }
}

/// Returns a plan of `daemons` daemons and one service, whose upstreams take further arguments.
pub fn service_plan(daemons: usize, service: &str, arguments: &[&str]) -> ClusterPlan {
    let mut plan = plan(daemons);
    plan.upstreams
        .retain(|upstream| upstream.service.as_str() == service);
    plan.services
        .retain(|planned| planned.name.as_str() == service);
    for upstream in &mut plan.upstreams {
        let arguments = arguments.iter().map(|argument| (*argument).to_owned());
        upstream.arguments.extend(arguments);
    }
    plan
}

/// Returns a client of a daemon's caller listener.
pub fn caller(cluster: &Cluster, daemon: usize) -> Client {
    let address = cluster.daemons[daemon].caller_address().expect("announced");
    Client::new(address, DEADLINE)
}

/// Returns an order of service `ledger` on a key of its own.
pub fn order(id: &str, deadline_ms: u64) -> Sent {
    Sent::post(format!("/ledger/{id}"), "an order")
        .with_header("idempotency-key", id)
        .with_header("balsam-deadline-ms", deadline_ms)
}

/// Sends an order and returns what its caller was told.
pub async fn send_order(client: &Client, id: &str, deadline_ms: u64) -> Told {
    Told::new(id, client.send(order(id, deadline_ms)).await)
}

/// Returns the number of the daemon that dispatches for the owner of a key.
pub async fn dispatcher_of(cluster: &Cluster, service: &str, key: &str) -> usize {
    let service = service.parse().expect("valid name");
    let operator = cluster.daemons[0].operator().expect("announced");
    let owner = operator.owner(&service, key).await.expect("answered");
    let dispatcher = owner.dispatcher.expect("a dispatcher");
    for (number, daemon) in cluster.daemons.iter().enumerate() {
        let operator = daemon.operator().expect("announced");
        let me: IdText = operator.daemons().await.expect("answered").me;
        if me == dispatcher {
            return number;
        }
    }
    panic!("no daemon is the dispatcher");
}

/// Returns whether an execution had its effect, or may still have it.
pub const fn took_effect(execution: &Execution) -> bool {
    match execution.end {
        ExecutionEnd::Committed | ExecutionEnd::Running => true,
        ExecutionEnd::Aborted { after_effect, .. } => after_effect,
    }
}

/// Returns how often requests on a key took effect.
pub fn effects(journals: &[JournalResponse], key: &str) -> usize {
    let executions = journals.iter().flat_map(|journal| &journal.executions);
    let of_key = executions.filter(|execution| execution.key == key);
    of_key.filter(|execution| took_effect(execution)).count()
}

/// Checks what callers of one order were told against the journals: at most one effect, one if an
/// answer was given, and none if all were told that it was not run.
pub fn assert_once(journals: &[JournalResponse], told: &[Told]) {
    let name = &told[0].name;
    let effects = effects(journals, name);
    assert!(effects <= 1, "{name}: {effects} effects, {told:?}");
    let answered = told.iter().any(|told| told.is("answered"));
    assert!(!answered || effects == 1, "{name}: {told:?}");
    let refused = told.iter().all(|told| told.is("not-run"));
    assert!(!refused || effects == 0, "{name}: {told:?}");
    let bodies: Vec<_> = told.iter().filter(|told| told.is("answered")).collect();
    assert!(
        bodies.iter().all(|told| told.body == bodies[0].body),
        "{told:?}"
    );
}
