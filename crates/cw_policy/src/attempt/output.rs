//! The buffered output of one attempt.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use cw_types::TokenIndex;
use cw_wire::Frame;
use cw_wire::Token;

/// The maximum number of tokens in one frame.
const MAX_FRAME_TOKENS: usize = 64;
/// The memory that a buffered part takes beside its content, in bytes.
const PART_OVERHEAD: usize = size_of::<(u64, Part)>();

/// A piece of output from a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// The next tokens.
    Tokens(Vec<Token>),
    /// The response head of a plain HTTP service.
    Head {
        /// The HTTP status code.
        status: u16,
        /// End-to-end headers.
        headers: BTreeMap<String, String>,
    },
    /// The next bytes of the response body.
    Body(Bytes),
}

#[derive(Clone, Debug, PartialEq)]
enum Part {
    Token(Token),
    Body(Bytes),
}

impl Part {
    /// Returns how many indices the part covers.
    fn span(&self) -> u64 {
        match self {
            Part::Token(_) => 1,
            Part::Body(bytes) => bytes.len() as u64,
        }
    }

    fn size(&self) -> usize {
        let content = match self {
            Part::Token(token) => token.text.len(),
            Part::Body(bytes) => bytes.len(),
        };
        PART_OVERHEAD + content
    }
}

/// The output from an index on: tokens, or body bytes of a plain HTTP service.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    head: Option<(u16, BTreeMap<String, String>)>,
    parts: VecDeque<(u64, Part)>,
    /// The lowest index in the buffer.
    base: u64,
    /// The index after the last one produced.
    next: u64,
    /// The memory that the buffer takes, in bytes.
    bytes: usize,
}

impl Output {
    /// Returns an empty output that starts at index `first`.
    pub fn new(first: u64) -> Self {
        Self {
            head: None,
            parts: VecDeque::new(),
            base: first,
            next: first,
            bytes: 0,
        }
    }

    /// Returns the lowest index in the buffer.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Returns the index after the last one produced.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the memory that the buffer takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends output of the target.
    pub fn push(&mut self, chunk: Chunk) {
        match chunk {
            Chunk::Tokens(tokens) => {
                for token in tokens {
                    self.push_part(Part::Token(token));
                }
            }
            Chunk::Head { status, headers } => self.head = Some((status, headers)),
            Chunk::Body(bytes) if bytes.is_empty() => {}
            Chunk::Body(bytes) => self.push_part(Part::Body(bytes)),
        }
    }

    /// Discards the parts that end at or below `index`.
    pub fn trim(&mut self, index: u64) {
        while let Some((first, part)) = self.parts.front() {
            if first + part.span() > index {
                break;
            }
            self.pop();
        }
    }

    /// Discards the oldest parts that end at or below `index` until less than `room` bytes are left.
    pub fn trim_to(&mut self, room: usize, index: u64) {
        while self.bytes >= room {
            match self.parts.front() {
                Some((first, part)) if first + part.span() <= index => self.pop(),
                _ => break,
            }
        }
    }

    /// Discards all parts, but not the response head.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.base = self.next;
        self.bytes = 0;
    }

    /// Returns the response head as a frame.
    pub fn head(&self) -> Option<Frame> {
        let (status, headers) = self.head.clone()?;
        Some(Frame::Head { status, headers })
    }

    /// Returns a frame with the output from `index` on, and the index after it.
    ///
    /// Returns `None` when `index` was discarded or is not produced yet.
    pub fn frame(&self, index: u64) -> Option<(Frame, u64)> {
        if index < self.base {
            return None;
        }
        let at = self
            .parts
            .partition_point(|(first, part)| first + part.span() <= index);
        match self.parts.get(at)? {
            (first, Part::Body(bytes)) => {
                let skip = usize::try_from(index - first).ok()?;
                let bytes = bytes.slice(skip..);
                let end = index + bytes.len() as u64;
                let offset = index;
                Some((Frame::Body { offset, bytes }, end))
            }
            (first, Part::Token(_)) => Some(self.token_frame(at, *first)),
        }
    }

    fn token_frame(&self, at: usize, first: u64) -> (Frame, u64) {
        let token = |part: &(u64, Part)| match &part.1 {
            Part::Token(token) => Some(token.clone()),
            Part::Body(_) => None,
        };
        let parts = self.parts.range(at..).take(MAX_FRAME_TOKENS);
        let tokens: Vec<Token> = parts.map_while(token).collect();
        let end = first + tokens.len() as u64;
        let first = TokenIndex(first);
        (Frame::Tokens { first, tokens }, end)
    }

    fn push_part(&mut self, part: Part) {
        let first = self.next;
        self.next += part.span();
        self.bytes += part.size();
        self.parts.push_back((first, part));
    }

    fn pop(&mut self) {
        if let Some((first, part)) = self.parts.pop_front() {
            self.base = first + part.span();
            self.bytes -= part.size();
        }
    }
}
