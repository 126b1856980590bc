//! Relays in front of executors, one for each, on one thread. An executor serves a limited number of
//! channels; further ones wait in the queue of its listener.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// How often a listener at its limit looks for a channel that has ended.
const FULL_POLL: Duration = Duration::from_millis(2);

/// Starts a relay to each target, which serves at most `channels` channels. Returns their addresses.
pub fn start_relays(targets: Vec<SocketAddr>, channels: usize) -> Vec<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        runtime.expect("runtime").block_on(async move {
            for target in targets {
                let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
                sender
                    .send(listener.local_addr().expect("address"))
                    .expect("receiver");
                monoio::spawn(serve(listener, target, channels));
            }
            drop(sender);
            std::future::pending::<()>().await;
        });
    });
    receiver.iter().collect()
}

async fn serve(listener: TcpListener, target: SocketAddr, channels: usize) {
    let open = Rc::new(Cell::new(0));
    loop {
        while open.get() >= channels {
            sleep(FULL_POLL).await;
        }
        let Ok((client, _)) = listener.accept().await else {
            sleep(FULL_POLL).await;
            continue;
        };
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        monoio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                relay(client, server).await;
            }
            open.set(open.get() - 1);
        });
    }
}

/// Copies both directions until one side ends the channel.
async fn relay(client: TcpStream, server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let up = monoio::spawn(copy(client_reader, server_writer));
    copy(server_reader, client_writer).await;
    up.await;
}

async fn copy<R: AsyncReadRent, W: AsyncWriteRent>(mut from: R, mut to: W) {
    let mut buffer = vec![0_u8; 16 * 1024];
    loop {
        let (count, filled) = from.read(buffer).await;
        let count = count.unwrap_or(0);
        buffer = filled;
        if count == 0 {
            break;
        }
        let (written, _) = to.write_all(buffer[..count].to_vec()).await;
        if written.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
