//! Listeners whose connections hold few unread bytes.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Size that is set for the system's receive buffer of each accepted connection.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// What the system receives at most on a connection before it is read. The system doubles the size that is set.
pub const MAX_UNREAD_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64;

/// Binds a listener where at most `backlog` connections wait to be accepted.
///
/// # Errors
///
/// Returns an error if the address can't be used.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let listener = sardinewood::listener::listen("127.0.0.1:0".parse().unwrap(), 16).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// # });
/// ```
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
