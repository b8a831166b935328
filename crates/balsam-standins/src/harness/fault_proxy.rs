//! A TCP proxy whose links can be delayed, cut or made silent.

use super::error::ListenSnafu;
use super::link_source::{LinkPorts, LinkSource};
use super::proxy_pump::pump;
use super::{Direction, HarnessError, LinkFaults, LinkMode};
use actix_rt::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, Default)]
struct Switches {
    target: Option<SocketAddr>,
    all: LinkFaults,
    /// Faults of the connections that certain processes opened, in place of `all`.
    by_process: BTreeMap<u32, LinkFaults>,
}

impl Switches {
    async fn of_link(&self, source: &mut LinkSource) -> LinkFaults {
        let candidates = self.by_process.keys().copied().collect();
        let process = source.find(candidates).await;
        let found = process.and_then(|process| self.by_process.get(&process));
        found.copied().unwrap_or(self.all)
    }
}

/// The links to one process; dropping it closes all of its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    switches: watch::Sender<Switches>,
    carried_bytes: watch::Sender<u64>,
}

impl FaultProxy {
    /// Opens links without faults on a port that the system chooses.
    ///
    /// Without a target, connections are closed until [`Self::set_target`] gives one.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be opened.
    pub async fn start(target: impl Into<Option<SocketAddr>>) -> Result<Self, HarnessError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let context = || ListenSnafu { address: any_port };
        let listener = TcpListener::bind(any_port)
            .await
            .with_context(|_| context())?;
        let address = listener.local_addr().with_context(|_| context())?;
        let (switches, changes) = watch::channel(Switches {
            target: target.into(),
            ..Switches::default()
        });
        let carried_bytes = watch::Sender::new(0);
        let counting = carried_bytes.clone();
        actix_rt::spawn(accept_loop(listener, address.port(), changes, counting));
        Ok(Self {
            address,
            switches,
            carried_bytes,
        })
    }

    /// Returns the address to connect to instead of the target's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes that arrived on the links so far, in both directions together.
    pub fn carried_bytes(&self) -> u64 {
        *self.carried_bytes.borrow()
    }

    /// Sets the address that new connections are carried to.
    pub fn set_target(&self, target: SocketAddr) {
        self.switches
            .send_modify(|switches| switches.target = Some(target));
    }

    /// Sets what the links do with their bytes.
    pub fn set_mode(&self, mode: LinkMode) {
        self.switches
            .send_modify(|switches| switches.all.mode = mode);
    }

    /// Sets the delay of each direction, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.switches
            .send_modify(|switches| switches.all.delay_ms = delay_ms);
    }

    /// Sets the faults of the link from one process, or `None` to treat it like all others.
    pub fn set_process_faults(&self, process: u32, faults: Option<LinkFaults>) {
        self.switches.send_modify(|switches| {
            match faults {
                Some(faults) => switches.by_process.insert(process, faults),
                None => switches.by_process.remove(&process),
            };
        });
    }
}

async fn accept_loop(
    listener: TcpListener,
    own_port: u16,
    mut switches: watch::Receiver<Switches>,
    carried_bytes: watch::Sender<u64>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = switches.changed() => if changed.is_err() {
                break;
            },
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, source)) => {
                    let ports = LinkPorts {
                        local: source.port(),
                        remote: own_port,
                    };
                    let source = LinkSource::new(ports);
                    connections.spawn_local(carry(
                        stream,
                        source,
                        switches.clone(),
                        carried_bytes.clone(),
                    ));
                }
                Err(error) => {
                    log::warn!("proxy accept failed: {error}");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

/// Carries one connection until it ends or its link is cut.
async fn carry(
    client: TcpStream,
    mut source: LinkSource,
    mut switches: watch::Receiver<Switches>,
    carried_bytes: watch::Sender<u64>,
) -> io::Result<()> {
    let current = switches.borrow_and_update().clone();
    let Some(target) = current.target else {
        return Ok(());
    };
    let faults = current.of_link(&mut source).await;
    let (publish, faults) = watch::channel(faults);
    let mut cut = faults.clone();
    tokio::select! {
        carried = carry_both(client, target, faults, carried_bytes) => carried,
        _ = cut.wait_for(|faults| faults.mode == LinkMode::Cut) => Ok(()),
        () = follow(switches, source, publish) => Ok(()),
    }
}

/// Publishes the faults of one connection as the switches change.
async fn follow(
    mut switches: watch::Receiver<Switches>,
    mut source: LinkSource,
    publish: watch::Sender<LinkFaults>,
) {
    while switches.changed().await.is_ok() {
        let current = switches.borrow_and_update().clone();
        let faults = current.of_link(&mut source).await;
        publish.send_if_modified(|current| std::mem::replace(current, faults) != faults);
    }
}

async fn carry_both(
    mut client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
    carried_bytes: watch::Sender<u64>,
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
            faults.clone(),
            carried_bytes.clone(),
        ),
        pump(
            server_read,
            client_write,
            Direction::ToClient,
            faults,
            carried_bytes,
        ),
    )?;
    Ok(())
}
