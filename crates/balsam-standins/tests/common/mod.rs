//! Servers and clients that several tests use.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use balsam_standins::harness::{Client, UpstreamClient};
use balsam_standins::serve::ServerHandle;
use balsam_standins::upstream::{UpstreamOptions, start_upstream};
use balsam_types::ServiceName;
use clap::Parser;
use std::net::SocketAddr;
use std::time::Duration;

pub const TIMEOUT: Duration = Duration::from_secs(5);

/// An address for which the system chooses the port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[derive(Debug, Parser)]
struct Arguments {
    #[command(flatten)]
    options: UpstreamOptions,
}

/// Starts upstream `u1` of service `lookup` with the given command line.
pub async fn upstream(arguments: &str) -> (ServerHandle, UpstreamClient) {
    let named = "upstream --name u1 --service lookup ".to_owned() + arguments;
    let options = Arguments::parse_from(named.split_whitespace()).options;
    let server = start_upstream(options).await.expect("upstream listens");
    let service = ServiceName::new("lookup").expect("valid name");
    let client = Client::new(server.address(), TIMEOUT);
    (server, UpstreamClient::new(client, service))
}
