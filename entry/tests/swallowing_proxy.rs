//! A proxy between entry and agent that can lose track of its open connections: they stay
//! open and carry nothing any more, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// The proxy.
pub struct SwallowingProxy {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
}

impl SwallowingProxy {
    /// A proxy before `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let generation = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, generation.clone()));
        Self {
            address,
            generation,
        }
    }

    /// Where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections carry nothing from now on.
    pub fn swallow(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, generation: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(carry(client_read, server_write, generation.clone()));
        tokio::spawn(carry(server_read, client_write, generation.clone()));
    }
}

/// Carries bytes one way. What it reads after it lost track is dropped, and the other side
/// is never told.
async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, generation: Arc<AtomicU64>) {
    let own = generation.load(Ordering::SeqCst);
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        let is_lost = generation.load(Ordering::SeqCst) != own;
        if is_lost {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
