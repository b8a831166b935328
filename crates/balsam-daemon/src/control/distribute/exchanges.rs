//! The loop that runs a bounded number of exchanges at once.

use crate::control::decide::ControlInput;
use balsam_decide::node::NodeInput;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

/// Runs each exchange with `begin`, at most `limit` at once, and sends its result to `inputs`.
///
/// Ends when all senders of exchanges are gone and the running ones have ended.
pub(super) async fn run_exchanges<E, F>(
    mut exchanges: mpsc::Receiver<E>,
    inputs: mpsc::Sender<ControlInput>,
    limit: usize,
    begin: impl Fn(E) -> F,
) where
    F: Future<Output = Option<NodeInput>>,
{
    let mut running = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(exchange) = exchanges.recv(), if running.len() < limit => {
                running.push(begin(exchange));
            }
            Some(input) = running.next() => {
                if let Some(input) = input {
                    // The control task is gone only while the daemon exits.
                    let _ = inputs.send(ControlInput::Node(input)).await;
                }
            }
            else => return,
        }
    }
}
