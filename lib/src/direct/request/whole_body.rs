//! Reads the whole body of a plain answer within its bounds.

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::direct::request::answer_bounds::AnswerPart;
use crate::direct::request::connection_pool::Connection;
use crate::direct::request::connection_pool::PartError;
use crate::direct::request::held_bytes::AnswerBuffer;
use crate::direct::request::held_bytes::HeldBytes;
use crate::direct::request::held_bytes::HoldError;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The connection broke.
    Broken,
    /// It is not valid, or exceeds the bound of this part of an answer.
    Invalid(AnswerPart),
    /// All answers that the entry holds are as long as they may be.
    NoneLeft,
}

/// Reads a body that has at most this many bytes. One that declares more fails at once, and nothing is
/// allocated by a declared length.
///
/// # Errors
///
/// Returns why the body could not be read.
pub async fn read_whole(
    connection: &Connection,
    mut body: Incoming,
    held: &HeldBytes,
    max_bytes: u64,
) -> Result<Bytes, ReadBodyError> {
    if body.size_hint().lower() > max_bytes {
        return Err(ReadBodyError::Invalid(AnswerPart::Body));
    }
    let mut buffer = AnswerBuffer::new(held, max_bytes);
    while let Some(part) = connection.next_part(&mut body).await {
        let part = part.map_err(|error| match error {
            PartError::Broken => ReadBodyError::Broken,
            PartError::Invalid(part) => ReadBodyError::Invalid(part),
        })?;
        buffer.push(&part).map_err(|error| match error {
            HoldError::TooLong => ReadBodyError::Invalid(AnswerPart::Body),
            HoldError::NoneLeft => ReadBodyError::NoneLeft,
        })?;
    }
    Ok(buffer.into_bytes())
}
