//! A program that is no target: it knows no path that is asked for.

use crate::http::{Wire, response};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

/// Starts the program on a free loopback port.
pub fn start(record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let record = Arc::clone(record);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.read(false) {
                    let id = request
                        .field("x-balsamswitch-attempt-id")
                        .unwrap_or_default();
                    record.line(&format!(
                        "the other program answers 404 to {} {id}",
                        request.first_line
                    ));
                    if wire.write(&response(404, &[], b"no such page")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
