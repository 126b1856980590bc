//! Outgoing TCP connections that discard unacknowledged bytes on close.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// How long sent bytes may stay unacknowledged before the connection breaks. This is hundreds of
/// round trips within a region, and shorter than the time that the successor of a partitioned
/// controller waits.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connects to `address`, without a timeout of its own.
///
/// Closing the connection resets it (`SO_LINGER` of 0) and discards unacknowledged bytes, so that a
/// request abandoned during a network partition is not delivered when the partition heals.
///
/// # Errors
///
/// Returns an error if the connection is refused or cannot be established.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_linger(Some(Duration::ZERO))?;
    if let Err(error) = socket.connect(&address.into()) {
        let in_progress = error.kind() == io::ErrorKind::WouldBlock
            || error.raw_os_error() == Some(nix::libc::EINPROGRESS);
        if !in_progress {
            return Err(error);
        }
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(true).await?;
    // A refused connection also becomes writable, but has no peer address.
    stream.peer_addr()?;
    Ok(stream)
}
