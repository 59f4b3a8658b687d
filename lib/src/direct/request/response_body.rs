//! Body of a response to a caller.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::direct::request::caller_io::ConnectionActivity;
use crate::direct::request::caller_io::OpenStream;
use crate::direct::request::open_requests::OpenRequest;
use crate::direct::request::relay::StreamError;

type Events = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>>>>;

/// A response body that is known as a whole, or a stream that is still arriving.
pub enum ResponseBody {
    /// The whole body.
    Whole(Bytes),
    /// Parts of the body as they arrive. An error closes the caller's connection without ending the
    /// body, so a response that was cut short never looks complete.
    Stream(Events),
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Stream(_) => write!(f, "Stream"),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(events) => events
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// The body of a response on a caller's connection. Its request is open until the response is written.
#[derive(Debug)]
pub struct CallerBody {
    body: ResponseBody,
    request: Option<Rc<OpenRequest>>,
    activity: Rc<ConnectionActivity>,
    /// Counts the body as a stream, if it is one.
    _stream: Option<OpenStream>,
}

impl CallerBody {
    /// Creates the body of the response to a request.
    #[must_use]
    pub fn new(
        body: ResponseBody,
        request: Rc<OpenRequest>,
        activity: &Rc<ConnectionActivity>,
    ) -> Self {
        let is_stream = matches!(body, ResponseBody::Stream(_));
        Self {
            _stream: is_stream.then(|| OpenStream::new(activity)),
            body,
            request: Some(request),
            activity: Rc::clone(activity),
        }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.activity.keep_until_written(request);
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
