//! The loop that runs a limited number of exchanges concurrently.

use crate::control::decide::ControlInput;
use balsam_decide::node::NodeInput;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

/// Runs each exchange with `start_exchange`, at most `limit` concurrently, and sends its result to
/// `inputs`.
///
/// Returns when all senders of exchanges are dropped and the running exchanges have ended.
pub(super) async fn run_exchanges<E, F>(
    mut exchanges: mpsc::Receiver<E>,
    inputs: mpsc::Sender<ControlInput>,
    limit: usize,
    start_exchange: impl Fn(E) -> F,
) where
    F: Future<Output = Option<NodeInput>>,
{
    let mut running = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(exchange) = exchanges.recv(), if running.len() < limit => {
                running.push(start_exchange(exchange));
            }
            Some(input) = running.next() => {
                if let Some(input) = input {
                    // Sending fails only if the control task has ended, as it does when the daemon
                    // exits.
                    let _ = inputs.send(ControlInput::Node(input)).await;
                }
            }
            else => return,
        }
    }
}
