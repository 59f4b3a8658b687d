//! The proof at the start of a link between entry and agent that both hold a key which
//! all processes share.
//!
//! The entry sends a nonce; the agent answers with its own nonce and a tag over both; the
//! entry answers with its tag. Frames follow. A tag names the role of its sender and covers
//! both nonces, so neither a recorded nor a reflected tag proves anything. What follows is
//! not encrypted: the proof keeps strangers out who can reach a port, not those who can
//! alter the packets of others.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::config::spread_message::PeerKeys;
use crate::config::spread_message::TAG_BYTES;

const NONCE_BYTES: usize = 32;
const ENTRY: &[u8] = b"sardinewood link entry";
const AGENT: &[u8] = b"sardinewood link agent";

/// Random bytes, drawn anew for each link.
pub type Nonce = [u8; NONCE_BYTES];

/// The other end did not prove that it holds a key.
#[derive(Debug, thiserror::Error)]
pub enum ProofError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other end holds no key that is taken here.
    #[error("the other end does not hold a peer key that is taken here")]
    NotProven,
}

/// What a tag covers.
fn statement(role: &[u8], own: &Nonce, other: &Nonce) -> Vec<u8> {
    [role, own, other].concat()
}

/// Proves the entry to the agent and the agent to the entry, at the entry's end.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use sardinewood::link::proof::{prove_as_agent, prove_as_entry};
/// use sardinewood::config::spread_message::PeerKeys;
/// use tokio::net::{TcpListener, TcpStream};
///
/// let keys = PeerKeys::new(&[b"key".as_slice()]);
/// let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let mut entry = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
/// let (mut agent, _) = listener.accept().await.unwrap();
/// let (at_entry, at_agent) = tokio::join!(
///     prove_as_entry(&mut entry, &keys, &[1; 32]),
///     prove_as_agent(&mut agent, &keys, &[2; 32]),
/// );
/// assert!(at_entry.is_ok() && at_agent.is_ok());
/// # });
/// ```
///
/// # Errors
///
/// When the connection fails or the agent holds no key that is taken here.
pub async fn prove_as_entry(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    nonce: &Nonce,
) -> Result<(), ProofError> {
    stream.write_all(nonce).await?;
    let agent_nonce = read_nonce(stream).await?;
    let proof = statement(AGENT, &agent_nonce, nonce);
    expect_tag(stream, keys, &proof).await?;
    let own = keys.tag(&statement(ENTRY, nonce, &agent_nonce));
    stream.write_all(&own).await?;
    Ok(())
}

/// The same at the agent's end.
///
/// The agent speaks first of the two tags, which tells a stranger nothing: a tag over a
/// nonce of the agent's own choice is of no use on another link.
///
/// ```no_run
/// # use sardinewood::link::proof::{ProofError, prove_as_agent};
/// # use sardinewood::config::spread_message::PeerKeys;
/// # async fn serve(mut stream: tokio::net::TcpStream, keys: PeerKeys) -> Result<(), ProofError> {
/// prove_as_agent(&mut stream, &keys, &rand::random()).await?;
/// # Ok(())
/// # }
/// ```
///
/// # Errors
///
/// When the connection fails or the entry holds no key that is taken here.
pub async fn prove_as_agent(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    nonce: &Nonce,
) -> Result<(), ProofError> {
    let entry_nonce = read_nonce(stream).await?;
    let own = keys.tag(&statement(AGENT, nonce, &entry_nonce));
    stream.write_all(&[&nonce[..], &own].concat()).await?;
    let proof = statement(ENTRY, &entry_nonce, nonce);
    expect_tag(stream, keys, &proof).await
}

async fn read_nonce(stream: &mut TcpStream) -> Result<Nonce, ProofError> {
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}

async fn expect_tag(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    proof: &[u8],
) -> Result<(), ProofError> {
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    if keys.proves(proof, &tag) {
        Ok(())
    } else {
        Err(ProofError::NotProven)
    }
}
