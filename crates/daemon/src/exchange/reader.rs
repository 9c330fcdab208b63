//! Reading of responses, for whose bodies memory is reserved.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use cardamomshed_policy::memory::Kind;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;

use super::head::{self, Framing, Head};
use super::message::{Defect, Error, Request};
use crate::memory::{Buffer, Memory};

/// Status after which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Largest number of response heads read for one request, interim responses and
/// responses to earlier requests included.
const MAX_RESPONSES: usize = 4;
/// Largest line with the size of a chunk, and largest trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Largest size of the lines between chunks per byte of data, beside
/// [`MAX_HEAD_BYTES`] for the whole body. A chunk of one byte needs five.
const MAX_FRAMING_PER_BYTE: usize = 8;
const CLOSED_EARLY: &str = "connection closed before the response was complete";
/// Longest wait for memory while a response is read.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// A response that broke off.
fn truncated(detail: impl Into<String>) -> Error {
    Error::broken(Defect::Truncated, detail)
}

/// Malformed framing of a chunked body.
fn bad_chunk(detail: &str) -> Error {
    Error::broken(Defect::Chunk, detail)
}

fn oversized(detail: &str) -> Error {
    Error::broken(Defect::Oversized, detail)
}

/// Reading half of a connection, during one exchange.
pub(super) struct Reader<'a> {
    pub(super) half: tokio::net::tcp::ReadHalf<'a>,
    pub(super) buffer: BytesMut,
    /// Late responses that were skipped.
    pub(super) late: u64,
    /// Whether the request could not be written in full. The failed write consumes the
    /// error of a reset, after which reads report an orderly end of the connection.
    pub(super) upload_failed: bool,
    /// Account in which bodies are reserved.
    pub(super) memory: &'a Memory,
}

impl Reader<'_> {
    /// Reads more bytes into the buffer. Returns zero at the end of the connection.
    async fn fill(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        let read = self.half.read_buf(&mut self.buffer).await;
        read.map_err(|error| truncated(error.to_string()))
    }

    async fn fill_or_fail(&mut self) -> Result<(), Error> {
        if self.fill().await? == 0 {
            return Err(truncated(CLOSED_EARLY));
        }
        Ok(())
    }

    /// Reads the head of the response to `request`. Skips interim responses and
    /// responses to earlier requests, with bodies of up to `limit` bytes.
    pub(super) async fn response_head(
        &mut self,
        request: &Request<'_>,
        limit: usize,
    ) -> Result<Head, Error> {
        for _ in 0..MAX_RESPONSES {
            let head = self.head().await?;
            if head.status == SWITCHING_PROTOCOLS {
                return Err(Error::broken(
                    Defect::Head,
                    "upgrade that was not requested",
                ));
            }
            if (100..200).contains(&head.status) {
                continue;
            }
            let is_match = request
                .correlation
                .is_none_or(|field| field.matches(head.get(field.name)));
            if is_match {
                return Ok(head);
            }
            self.late += 1;
            self.body(&head, false, limit)
                .await
                .map_err(|error| match error {
                    // This is not the response to the request.
                    Error::TooLarge => oversized("late response too large"),
                    other => other,
                })?;
            if matches!(head.framing, Framing::UntilClose) {
                break;
            }
        }
        let detail = "no response to this request";
        Err(Error::broken(Defect::Unmatched, detail))
    }

    async fn head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some((head, length)) = head::parse(&self.buffer)? {
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(oversized("response head too large"));
            }
            let has_begun = !self.buffer.is_empty();
            self.fill_or_fail().await.map_err(|error| match error {
                Error::Sent(loss) if !has_begun => Error::no_response(loss.detail),
                other => other,
            })?;
        }
    }

    pub(super) async fn body(
        &mut self,
        head: &Head,
        head_only: bool,
        limit: usize,
    ) -> Result<Bytes, Error> {
        if head_only || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Bytes::new());
        }
        match head.framing {
            Framing::Length(length) if length > limit => Err(Error::TooLarge),
            Framing::Length(length) => self.sized_body(length).await,
            Framing::Chunked => self.chunked_body(limit).await,
            Framing::UntilClose if self.upload_failed => Err(truncated(
                "connection failed before the end of a response without a length",
            )),
            Framing::UntilClose => {
                let mut body = Buffer::new(self.memory, Kind::Response, limit);
                loop {
                    if self.buffer.len() > limit - body.len() {
                        return Err(Error::TooLarge);
                    }
                    let length = self.buffer.len();
                    self.take(&mut body, length).await?;
                    if self.fill().await? == 0 {
                        return Ok(body.freeze());
                    }
                }
            }
        }
    }

    /// Reads a body of known length, for which memory is reserved first.
    async fn sized_body(&mut self, length: usize) -> Result<Bytes, Error> {
        let mut body = Buffer::new(self.memory, Kind::Response, length);
        let until = Instant::now() + MEMORY_WAIT;
        if !body.reserve_exact_until(length, until).await {
            return Err(Error::NoMemory);
        }
        let buffered = length.min(self.buffer.len());
        self.take(&mut body, buffered).await?;
        while body.len() < length {
            let missing = length - body.len();
            let read = self.half.read_buf(&mut body.data().limit(missing)).await;
            if read.map_err(|error| truncated(error.to_string()))? == 0 {
                return Err(truncated(CLOSED_EARLY));
            }
        }
        Ok(body.freeze())
    }

    /// Moves buffered bytes to a body. Reading stops for up to [`MEMORY_WAIT`] while
    /// there is no memory.
    async fn take(&mut self, body: &mut Buffer, length: usize) -> Result<(), Error> {
        if !body
            .extend_within(&self.buffer[..length], MEMORY_WAIT)
            .await
        {
            return Err(Error::NoMemory);
        }
        self.buffer.advance(length);
        Ok(())
    }

    async fn chunked_body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = Buffer::new(self.memory, Kind::Response, limit);
        let mut framing_bytes = 0;
        loop {
            let (start, length) = self.chunk_size().await?;
            self.buffer.advance(start);
            if length == 0 {
                self.skip_trailers().await?;
                return Ok(body.freeze());
            }
            if length > limit.saturating_sub(body.len()) {
                return Err(Error::TooLarge);
            }
            let mut missing = length;
            while missing > 0 {
                if self.buffer.is_empty() {
                    self.fill_or_fail().await?;
                }
                let part = missing.min(self.buffer.len());
                self.take(&mut body, part).await?;
                missing -= part;
            }
            while self.buffer.len() < 2 {
                self.fill_or_fail().await?;
            }
            if &self.buffer[..2] != b"\r\n" {
                return Err(bad_chunk("chunk longer than its size"));
            }
            self.buffer.advance(2);
            framing_bytes += start + 2;
            if framing_bytes > MAX_HEAD_BYTES + body.len() * MAX_FRAMING_PER_BYTE {
                return Err(oversized("chunk extensions too large"));
            }
        }
    }

    /// Reads the line before a chunk. Returns its length and the size of the chunk,
    /// both in bytes.
    async fn chunk_size(&mut self) -> Result<(usize, usize), Error> {
        loop {
            if let Some(line) = head::parse_chunk_size(&self.buffer)? {
                return Ok(line);
            }
            self.fill_line().await?;
        }
    }

    /// Discards the trailer fields, up to and with the empty line.
    async fn skip_trailers(&mut self) -> Result<(), Error> {
        let mut skipped = 0;
        while skipped <= MAX_HEAD_BYTES {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(());
                }
                Some(end) => {
                    if !head::is_field(&self.buffer[..end]) {
                        return Err(bad_chunk("invalid trailer"));
                    }
                    self.buffer.advance(end + 2);
                    skipped += end + 2;
                }
                None => self.fill_line().await?,
            }
        }
        Err(oversized("trailer too large"))
    }

    /// Reads more of the line that the buffer holds a part of.
    async fn fill_line(&mut self) -> Result<(), Error> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(oversized("line of a chunked body too large"));
        }
        self.fill_or_fail().await
    }
}
