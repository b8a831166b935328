//! A TCP proxy whose link can be delayed, cut or made silent.

use super::error::ListenSnafu;
use super::proxy_pump::pump;
use super::{Direction, HarnessError, LinkFaults, LinkMode};
use actix_rt::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// One link between two processes; dropping it closes all of its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
}

impl FaultProxy {
    /// Opens a link without faults to `target` on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be opened.
    pub async fn start(target: SocketAddr) -> Result<Self, HarnessError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let context = || ListenSnafu { address: any_port };
        let listener = TcpListener::bind(any_port)
            .await
            .with_context(|_| context())?;
        let address = listener.local_addr().with_context(|_| context())?;
        let (faults, changes) = watch::channel(LinkFaults::default());
        actix_rt::spawn(accept_loop(listener, target, changes));
        Ok(Self { address, faults })
    }

    /// Returns the address to connect to instead of the target's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the link does with its bytes.
    pub fn set_mode(&self, mode: LinkMode) {
        self.faults.send_modify(|faults| faults.mode = mode);
    }

    /// Sets the delay of each direction, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.faults.send_modify(|faults| faults.delay_ms = delay_ms);
    }
}

async fn accept_loop(
    listener: TcpListener,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = faults.changed() => if changed.is_err() {
                break;
            },
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(carry(stream, target, faults.clone()));
                }
                Err(error) => {
                    log::warn!("proxy accept failed: {error}");
                    break;
                }
            },
        }
    }
}

/// Carries one connection until it ends or the link is cut.
async fn carry(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
) -> io::Result<()> {
    let mut cut = faults.clone();
    tokio::select! {
        carried = carry_both(client, target, faults) => carried,
        _ = cut.wait_for(|faults| faults.mode == LinkMode::Cut) => Ok(()),
    }
}

async fn carry_both(
    mut client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
) -> io::Result<()> {
    let connecting = TcpStream::connect(target);
    let mut server = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    tokio::try_join!(
        pump(
            client_read,
            server_write,
            Direction::ToTarget,
            faults.clone()
        ),
        pump(server_read, client_write, Direction::ToClient, faults),
    )?;
    Ok(())
}
