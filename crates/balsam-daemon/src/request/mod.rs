//! The request path: a chain of filters from the caller to the upstream and back.
//!
//! `accept` → `identify` → `admit` → `locate` → `relay` → `dispatch` → `forward` → `answer` →
//! `record`; `chain` passes a request through them. Tasks beside the chain claim orders (`orders`),
//! decide on retries (`retry`) and find requests that crash upstreams (`quarantine`). See
//! [the design page, section 2.2](../../../../docs/design.md#22-request-path).

mod accept;
mod admit;
mod answer;
mod chain;
mod clock;
mod dispatch;
mod forward;
mod identify;
mod locate;
mod message;
mod orders;
mod quarantine;
mod record;
mod relay;
mod retry;
mod settings;

pub use settings::{RequestChannels, RequestHandles, RequestSettings};

use accept::{AcceptSettings, Phase, run_listener};
use balsam_decide::node::View;
use chain::EntryContext;
use dispatch::DispatchContext;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Starts the tasks of the request path. Must be called on the thread of an `actix-rt` system.
///
/// # Errors
///
/// Returns an I/O error if the caller address cannot be bound.
pub async fn start(
    settings: RequestSettings,
    views: watch::Receiver<Arc<View>>,
    channels: RequestChannels,
) -> io::Result<RequestHandles> {
    let listener = TcpListener::bind(settings.caller_address).await?;
    let caller_address = listener.local_addr()?;
    let RequestChannels {
        control,
        table,
        peers,
        relays,
        metrics,
    } = channels;
    let (phase, phases) = watch::channel(Phase::Running);
    let (crash_reporter, refused_fingerprints) =
        quarantine::start_quarantine(&views, &control, &table);
    let dispatchers = dispatch::start_dispatchers(DispatchContext {
        views: views.clone(),
        control,
        crashes: crash_reporter,
        refused: refused_fingerprints.clone(),
        metrics: metrics.clone(),
    });
    relay::start_relay_server(relays, dispatchers.clone());
    let entry = EntryContext {
        phase: phases,
        peers,
        dispatchers,
        admission: admit::start_admission(&views),
        orders: orders::start_orders(&views, &table, rand::random()),
        retries: retry::start_retries(&views, rand::random()),
        metrics,
        header_max_bytes: settings.header_max_bytes,
        refused: refused_fingerprints,
        views,
    };
    let accept = AcceptSettings {
        connections_max: settings.connections_max,
        keep_alive_ms: settings.keep_alive_ms,
        drain_ms: settings.drain_ms,
    };
    actix_rt::spawn(run_listener(listener, entry, accept));
    Ok(RequestHandles {
        caller_address,
        phase,
        grace_ms: settings.grace_ms,
    })
}
