//! HTTP/1.1 connections whose clients may send requests before earlier ones are
//! answered.
//!
//! [`Pipeline`] decides which requests may start and which response is next. This
//! module does the I/O: it decodes requests with the codec of the HTTP library, runs
//! their handlers concurrently, and writes the responses in the order of the requests.

mod close;
mod exchange;
mod host;
mod input;
mod monitor;
mod tls;
mod transport;
mod upload;

use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_codec::Decoder;
use actix_http::body::BoxBody;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, Method, Payload, Request, Response};
use actix_web::http::StatusCode;
use bytes::{Buf, BytesMut};
use cardamomshed_policy::pipeline::{Limits, Need, Pipeline, Position};
use futures_util::StreamExt;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use tokio::io::Interest;
use tokio::time::{Instant, Sleep};

use self::close::close;
use self::exchange::{Decoded, Encoded, Exchange};
use self::host::Count;
pub use self::host::{Application, HeadLimit, Host, Timeouts};
use self::input::{Charge, HEAD_BYTES, Head, Input, Part};
pub use self::monitor::Monitor;
pub use self::tls::Tls;
pub use self::transport::{Tcp, Transport};
use self::upload::Upload;

/// Limits on the requests of one connection: 16 open requests, and 256 KiB of responses
/// that wait to be written.
const LIMITS: Limits = Limits {
    requests: 16,
    waiting_bytes: 256 * 1024,
};
/// Bytes of encoded responses above which no more are encoded until some are written.
const OUTPUT_BYTES: usize = 32 * 1024;
/// Capacity of the write buffer of an idle connection, in bytes.
const KEPT_BYTES: usize = 4 * 1024;

/// How a connection ended.
enum End {
    /// The last response has been written, or no further request came in time. Also if
    /// the handshake failed.
    Answered,
    /// The client has closed its side, or failed to read or write.
    Gone,
    /// The connection was closed through the monitor.
    Closed,
}

/// Serves a connection until it ends or is closed through the monitor. Dropping the
/// future cancels its open requests.
pub async fn serve<T: Transport>(
    host: Rc<Host>,
    transport: T,
    peer: SocketAddr,
    monitor: Arc<Monitor>,
) {
    let _count = Count::new(&host);
    let socket = Rc::clone(transport.socket());
    // Responses are small; Nagle's algorithm would only delay them.
    let _ = socket.set_nodelay(true);
    let close_time = host.timeouts.head;
    let mut connection = Connection::new(host, transport, peer, Arc::clone(&monitor));
    let end = tokio::select! {
        () = monitor.closed() => End::Closed,
        end = connection.run() => end,
    };
    let mut transport = connection.into_transport();
    match end {
        // Without the option, the kernel sends the rest for as long as it is read.
        End::Closed => drop(socket.set_zero_linger()),
        // The client may still read the end.
        End::Gone => drop(poll_fn(|cx| transport.poll_close(cx)).now_or_never()),
        // The kernel has the last response, and sends it in any case.
        End::Answered => tokio::select! {
            () = monitor.closed() => {}
            () = close(&mut transport, close_time) => {}
        },
    }
}

struct Connection<T> {
    host: Rc<Host>,
    transport: T,
    peer: SocketAddr,
    monitor: Arc<Monitor>,
    pipeline: Pipeline<Exchange>,
    /// Handlers of the requests that have not been answered.
    running: FuturesUnordered<LocalBoxFuture<'static, (Position, Response<BoxBody>)>>,
    /// Body of the newest request, as long as it is incomplete.
    upload: Option<Upload>,
    /// Codec of the next request. Each request has one of its own, because the state
    /// of a codec belongs to the request that it has decoded last.
    codec: Codec,
    received: Input,
    output: BytesMut,
    /// Number of bytes that have been encoded.
    encoded: u64,
    /// Requests whose responses have been encoded whole and not been written whole, each
    /// with the value of `encoded` at the end of its response.
    unwritten: VecDeque<(u64, Exchange)>,
    /// Resolves once the client has closed its side, also while unread input precedes
    /// the end.
    hangup: LocalBoxFuture<'static, ()>,
    timer: Timer,
    /// Whether the client has closed its side. Nothing more is read or started.
    is_gone: bool,
    /// Whether reading is stopped because there is no memory for more input.
    lacks_memory: bool,
    /// Whether a response could not be completed. No further one is written.
    is_broken: bool,
}

/// Deadline of what the client has to send.
struct Timer {
    need: Need,
    sleep: Pin<Box<Sleep>>,
}

impl<T: Transport> Connection<T> {
    fn new(host: Rc<Host>, transport: T, peer: SocketAddr, monitor: Arc<Monitor>) -> Self {
        let watched = Rc::clone(transport.socket());
        // On Linux, this interest includes the end of the input and no other input.
        let hangup = async move { drop(watched.ready(Interest::PRIORITY).await) };
        let received = Input::new(&host.memory, T::INPUT_BYTES);
        Self {
            codec: Codec::new(host.config.clone()),
            timer: Timer {
                need: Need::Nothing,
                sleep: Box::pin(tokio::time::sleep(host.timeouts.head)),
            },
            host,
            transport,
            peer,
            monitor,
            pipeline: Pipeline::new(LIMITS),
            running: FuturesUnordered::new(),
            upload: None,
            received,
            output: BytesMut::new(),
            encoded: 0,
            unwritten: VecDeque::new(),
            hangup: hangup.boxed_local(),
            is_gone: false,
            lacks_memory: false,
            is_broken: false,
        }
    }

    /// Serves the connection until it ends by itself.
    async fn run(&mut self) -> End {
        let handshake = poll_fn(|cx| self.transport.poll_handshake(cx));
        match tokio::time::timeout(self.host.timeouts.head, handshake).await {
            Ok(Ok(())) => poll_fn(|cx| self.poll(cx)).await,
            Ok(Err(_)) | Err(_) => End::Answered,
        }
    }

    /// The stream of the connection, whose open requests are cancelled.
    fn into_transport(self) -> T {
        self.transport
    }

    /// Bytes of responses that wait to be written: the encoded ones, and bodies of
    /// known length that have not been encoded.
    fn waiting_bytes(&self) -> usize {
        let held = self.pipeline.items().map(Exchange::held_bytes);
        held.fold(self.output.len(), usize::saturating_add)
    }

    /// Makes all progress that is possible without waiting.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        loop {
            self.lacks_memory = false;
            let mut progress = self.poll_read(cx);
            progress |= self.poll_decode(cx);
            if self.is_gone || self.is_broken {
                self.running.clear();
            }
            progress |= self.poll_running(cx);
            progress |= self.poll_encode(cx);
            progress |= self.poll_write(cx);
            self.monitor.set_waiting_bytes(self.waiting_bytes());
            if self.is_gone {
                return Poll::Ready(End::Gone);
            }
            if self.output.is_empty() && (self.pipeline.is_ended() || self.is_broken) {
                return Poll::Ready(End::Answered);
            }
            if progress {
                continue;
            }
            if self.upload.is_none() {
                // An idle connection holds no buffer.
                let is_idle = self.pipeline.items().next().is_none();
                self.received.shrink(if is_idle { 0 } else { HEAD_BYTES });
            }
            match self.poll_timer(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Need::Head) => self.refuse(StatusCode::REQUEST_TIMEOUT),
                Poll::Ready(_) => return Poll::Ready(End::Answered),
            }
        }
    }

    /// Reads once if another part of a request may be processed. Notices the end of the
    /// input in any case.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> bool {
        if self.is_gone {
            return false;
        }
        let wanted = match &mut self.upload {
            Some(upload) => upload.poll_room(cx).is_ready(),
            None => self.pipeline.may_start(self.waiting_bytes()),
        };
        if !wanted {
            return self.poll_hangup(cx);
        }
        loop {
            match self.transport.poll_readable(cx) {
                Poll::Pending => return false,
                Poll::Ready(Err(_)) => break,
                Poll::Ready(Ok(())) => {}
            }
            let part = match &self.upload {
                Some(_) => Part::Body,
                None => Part::Head((self.host.head_limit)()),
            };
            if !self.received.has_room(part, cx) {
                let progress = self.poll_decode(cx) || self.await_memory();
                return progress || self.poll_hangup(cx);
            }
            match self.transport.try_read(self.received.data()) {
                Ok(0) => break,
                Ok(_) => return true,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        self.is_gone = true;
        true
    }

    fn poll_hangup(&mut self, cx: &mut Context<'_>) -> bool {
        self.is_gone = self.hangup.poll_unpin(cx).is_ready();
        self.is_gone
    }

    /// Called when there is no memory for input. Waits for open requests, which release
    /// some when they end. Without any, the next request is refused. Returns whether it
    /// is.
    fn await_memory(&mut self) -> bool {
        self.lacks_memory = self.pipeline.items().next().is_some() || !self.unwritten.is_empty();
        if !self.lacks_memory {
            self.refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        !self.lacks_memory
    }

    /// Decodes what has been received, and starts the requests.
    fn poll_decode(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        loop {
            let decoded = if self.upload.is_some() {
                self.decode_body(cx)
            } else {
                self.decode_head()
            };
            if !decoded {
                return progress;
            }
            progress = true;
        }
    }

    fn decode_head(&mut self) -> bool {
        if !self.pipeline.may_start(self.waiting_bytes()) {
            return false;
        }
        let head = self.received.take_head((self.host.head_limit)());
        if self.received.is_empty() && matches!(head, Head::Partial) {
            return false;
        }
        let (decoded, charge) = match head {
            Head::Whole(mut head, charge) => (self.codec.decode(&mut head), Some(charge)),
            // The beginning may be malformed already.
            Head::Partial => (self.codec.decode(self.received.data()), None),
            Head::TooLarge => (Err(ParseError::TooLarge), None),
            Head::Unreserved => return self.await_memory(),
        };
        match decoded {
            Ok(None) if charge.is_none() => return false,
            Ok(Some(Message::Item(request))) => self.start(request, charge),
            Ok(Some(Message::Chunk(_))) => self.refuse(StatusCode::INTERNAL_SERVER_ERROR),
            Err(ParseError::TooLarge) => self.refuse(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Ok(None) | Err(_) => self.refuse(StatusCode::BAD_REQUEST),
        }
        true
    }

    fn start(&mut self, mut request: Request, charge: Option<Charge>) {
        let next = Codec::new(self.host.config.clone());
        let codec = std::mem::replace(&mut self.codec, next);
        request.head_mut().peer_addr = Some(self.peer);
        let has_body = codec.message_type() != MessageType::None;
        if has_body {
            let (upload, payload) = Upload::new();
            *request.payload() = Payload::Stream { payload };
            self.upload = Some(upload);
        }
        let closes = !codec.keep_alive();
        let is_head = request.method() == Method::HEAD;
        let awaits_continue = has_body && request.head().expect();
        let exchange = Exchange::new(codec, is_head, awaits_continue, charge);
        let position = self.pipeline.start(exchange, closes, has_body);
        let response = (self.host.application)(request);
        self.running.push(
            response
                .map(move |response| (position, response))
                .boxed_local(),
        );
    }

    /// Answers in place of a request that cannot be read. The connection ends after it.
    fn refuse(&mut self, status: StatusCode) {
        let codec = Codec::new(self.host.config.clone());
        let mut refusal = Exchange::new(codec, false, false, None);
        refusal.answer(Response::with_body(status, BoxBody::new(())));
        self.pipeline.reject(refusal);
        // Nothing behind it is decoded.
        self.received.clear();
    }

    fn decode_body(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(mut upload) = self.upload.take() else {
            return false;
        };
        if upload.poll_room(cx).is_pending() {
            self.upload = Some(upload);
            return false;
        }
        let Some(exchange) = self.pipeline.newest_mut() else {
            return false;
        };
        match exchange.decode(self.received.data()) {
            Decoded::Pending => {
                self.upload = Some(upload);
                return false;
            }
            Decoded::Chunk(chunk) => {
                upload.send(self.received.attach(chunk));
                self.upload = Some(upload);
            }
            Decoded::End => {
                upload.end();
                self.pipeline.end_body();
            }
            Decoded::Malformed => {
                upload.fail();
                self.pipeline.fail_body();
            }
        }
        true
    }

    /// Polls the handlers that have been woken.
    fn poll_running(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while let Poll::Ready(Some((position, response))) = self.running.poll_next_unpin(cx) {
            let closes = response.head().connection_type() != ConnectionType::KeepAlive;
            if let Some(exchange) = self.pipeline.get_mut(position) {
                exchange.answer(response);
            }
            self.pipeline.answer(position, closes);
            progress = true;
        }
        progress
    }

    /// Encodes responses in order until the output is full.
    fn poll_encode(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while self.output.len() < OUTPUT_BYTES && !self.is_broken {
            let is_last = self.pipeline.is_first_last();
            let is_body_open = self.pipeline.is_body_open();
            let before = self.output.len();
            let Some(exchange) = self.pipeline.first_mut() else {
                break;
            };
            let encoded = exchange.poll_encode(is_last, &mut self.output, cx);
            let is_pending = matches!(encoded, Encoded::Pending);
            if is_pending && !(is_body_open && exchange.encode_continue(&mut self.output)) {
                break;
            }
            self.encoded += (self.output.len() - before) as u64;
            match encoded {
                Encoded::Part | Encoded::Pending => {}
                Encoded::Whole => {
                    let exchange = self.pipeline.pop_first();
                    self.unwritten
                        .extend(exchange.map(|exchange| (self.encoded, exchange)));
                }
                Encoded::Failed => {
                    self.is_broken = true;
                    self.pipeline.stop();
                }
            }
            progress = true;
        }
        progress
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        // The end of a body may be known only once all of it has been written.
        self.drop_written();
        while !self.output.is_empty() {
            match self.transport.poll_write(cx, &self.output) {
                Poll::Pending => return progress,
                Poll::Ready(Err(_)) => self.is_gone = true,
                Poll::Ready(Ok(length)) => {
                    self.output.advance(length);
                    self.drop_written();
                    let now = self.host.clock.now();
                    self.monitor.record_write(length, now);
                    progress = true;
                }
            }
            if self.is_gone {
                return true;
            }
        }
        if self.output.capacity() > KEPT_BYTES {
            self.output = BytesMut::new();
        }
        progress
    }

    /// Drops the requests whose responses have been written whole.
    fn drop_written(&mut self) {
        let written = self.encoded - self.output.len() as u64;
        while self
            .unwritten
            .front()
            .is_some_and(|(end, _)| *end <= written)
        {
            self.unwritten.pop_front();
        }
    }

    /// Waits until the client has exceeded the time for what it has to send.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Need> {
        let head_begun = !self.received.is_empty() && !self.lacks_memory;
        let need = self.pipeline.need(self.waiting_bytes(), head_begun);
        if need != self.timer.need {
            self.timer.need = need;
            let timeouts = self.host.timeouts;
            let timeout = match need {
                Need::Nothing => return Poll::Pending,
                Need::Head => timeouts.head,
                Need::Request => timeouts.idle,
            };
            self.timer.sleep.as_mut().reset(Instant::now() + timeout);
        }
        if need == Need::Nothing {
            return Poll::Pending;
        }
        self.timer.sleep.poll_unpin(cx).map(|()| need)
    }
}
