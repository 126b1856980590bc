//! Framing and encoding of calls between peers.

use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// The maximum size of a message from a peer, in bytes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Wraps a connection in length-delimited Bincode frames.
pub(crate) fn peer_transport<I, S>(stream: TcpStream) -> Transport<TcpStream, I, S, Bincode<I, S>>
where
    I: for<'de> Deserialize<'de>,
    S: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}
