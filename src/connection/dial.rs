//! Connections whose unsent bytes do not outlive them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// How long sent bytes may stay unacknowledged before the connection breaks: hundreds of
/// round trips within a region, and less than a successor of a cut controller waits.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connects to `address`.
///
/// Closing the connection discards what the other side has not acknowledged, so that a
/// request that was given up behind a cut is not delivered when the cut heals.
///
/// # Errors
///
/// Returns an error if the connection was refused or cannot be made.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
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
    // A connection that was refused has no peer.
    stream.peer_addr()?;
    Ok(stream)
}
