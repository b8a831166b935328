//! HTTP listeners for readiness checks, and for metrics and the operators' API.

use crate::metrics::EdgeMetrics;
use crate::operator::OperatorApi;
use crate::request::Phase;
use crate::view::View;
use balsam_http1::{Framing, RequestHead, encode_response, parse_request};
use balsam_log::LostLines;
use balsam_metrics::MetricsText;
use bytes::BytesMut;
use log::{debug, warn};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Upper limit on the head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 8 << 10;

/// How long a connection may be idle, and a request or a response be on its way, before the
/// connection is closed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Endpoint that a listener serves; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) enum AdminEndpoint {
    /// Reports whether the daemon accepts new connections of callers.
    Readiness {
        views: watch::Receiver<Arc<View>>,
        phase: watch::Receiver<Phase>,
    },
    /// Serves the metrics as Prometheus text, and the operators' API.
    Metrics {
        metrics: EdgeMetrics,
        text: MetricsText,
        lost_lines: LostLines,
        operator: OperatorApi,
    },
}

/// Prefix of the paths of the operators' API.
const OPERATOR_PATH_PREFIX: &[u8] = b"/v1/entry";

impl AdminEndpoint {
    /// Returns the status and the body of the response.
    fn answer(&self, head: &RequestHead) -> (u16, String) {
        match self {
            Self::Readiness { views, phase } => {
                let is_ready = views.borrow().is_ready() && *phase.borrow() == Phase::Running;
                (if is_ready { 200 } else { 503 }, String::new())
            }
            Self::Metrics { operator, .. } if head.target.starts_with(OPERATOR_PATH_PREFIX) => {
                operator.answer(head)
            }
            Self::Metrics {
                metrics,
                text,
                lost_lines,
                ..
            } => {
                metrics.lost_lines(lost_lines.count());
                match text.render() {
                    Ok(text) => (200, text),
                    Err(error) => {
                        warn!("metrics cannot be rendered: {error}");
                        (500, String::new())
                    }
                }
            }
        }
    }
}

/// Accepts and serves connections until the process ends.
pub(crate) async fn run(listener: TcpListener, endpoint: AdminEndpoint) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let endpoint = endpoint.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = answer(stream, &endpoint).await {
                        debug!("admin connection: {error}");
                    }
                });
            }
            Err(error) => {
                warn!("admin listener: accept failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(mut stream: TcpStream, endpoint: &AdminEndpoint) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        let head = timeout(EXCHANGE_TIMEOUT, read_head(&mut stream, &mut buffer));
        let Some(head) = head.await?? else {
            return Ok(());
        };
        let (status, body) = endpoint.answer(&head);
        let close_field = [("Connection", "close")];
        let extra_fields = if head.keep_alive {
            &[][..]
        } else {
            &close_field[..]
        };
        let encoded = encode_response(
            status,
            std::iter::empty(),
            extra_fields,
            Framing::Length(body.len() as u64),
        );
        let mut response = encoded.map_err(io::Error::other)?;
        response.extend_from_slice(body.as_bytes());
        timeout(EXCHANGE_TIMEOUT, stream.write_all(&response)).await??;
        if !head.keep_alive {
            return Ok(());
        }
    }
}

/// Reads the head of a request. Returns `None` if the client has closed the connection.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> io::Result<Option<RequestHead>> {
    loop {
        let parsed = parse_request(buffer, HEAD_MAX_BYTES).map_err(io::Error::other)?;
        if parsed.is_some() {
            return Ok(parsed);
        }
        buffer.reserve(1 << 10);
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
