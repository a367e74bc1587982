//! The kept output of one attempt.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use cw_types::TokenIndex;
use cw_wire::Frame;
use cw_wire::Token;

/// The most tokens in one frame.
const TOKENS_MAX: usize = 64;
/// What a kept part costs beside its text, in bytes.
const PART_BYTES: usize = size_of::<(u64, Part)>();

/// What a target produced.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// Tokens that follow the earlier ones.
    Tokens(Vec<Token>),
    /// The head of a plain service's answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: BTreeMap<String, String>,
    },
    /// Bytes that follow the earlier ones.
    Body(Bytes),
}

#[derive(Clone, Debug, PartialEq)]
enum Part {
    Token(Token),
    Body(Bytes),
}

impl Part {
    /// Returns how many indices it spans.
    fn span(&self) -> u64 {
        match self {
            Part::Token(_) => 1,
            Part::Body(bytes) => bytes.len() as u64,
        }
    }

    fn bytes(&self) -> usize {
        let content = match self {
            Part::Token(token) => token.text.len(),
            Part::Body(bytes) => bytes.len(),
        };
        PART_BYTES + content
    }
}

/// Output from an index on: tokens, or the bytes of a plain service's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    head: Option<(u16, BTreeMap<String, String>)>,
    parts: VecDeque<(u64, Part)>,
    base: u64,
    next: u64,
    bytes: usize,
}

impl Output {
    /// Returns an empty output whose first index is `first`.
    pub fn new(first: u64) -> Self {
        Self {
            head: None,
            parts: VecDeque::new(),
            base: first,
            next: first,
            bytes: 0,
        }
    }

    /// Returns the lowest index that is kept.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Returns the index after the last.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many bytes it keeps.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds what a target produced.
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

    /// Forgets what lies wholly below `index`.
    pub fn trim(&mut self, index: u64) {
        while let Some((first, part)) = self.parts.front() {
            if first + part.span() > index {
                break;
            }
            self.pop();
        }
    }

    /// Forgets the oldest parts that lie wholly below `index` until less than `room` is kept.
    pub fn trim_to(&mut self, room: usize, index: u64) {
        while self.bytes >= room {
            match self.parts.front() {
                Some((first, part)) if first + part.span() <= index => self.pop(),
                _ => break,
            }
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.base = self.next;
        self.bytes = 0;
    }

    /// Returns the head as a frame.
    pub fn head(&self) -> Option<Frame> {
        let (status, headers) = self.head.clone()?;
        Some(Frame::Head { status, headers })
    }

    /// Returns a frame with the output from `index` on, and the index after it.
    ///
    /// There is none when `index` is not kept, or not produced yet.
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
            (first, Part::Token(_)) => Some(self.tokens(at, *first)),
        }
    }

    fn tokens(&self, at: usize, first: u64) -> (Frame, u64) {
        let token = |part: &(u64, Part)| match &part.1 {
            Part::Token(token) => Some(token.clone()),
            Part::Body(_) => None,
        };
        let parts = self.parts.range(at..).take(TOKENS_MAX);
        let tokens: Vec<Token> = parts.map_while(token).collect();
        let end = first + tokens.len() as u64;
        let first = TokenIndex(first);
        (Frame::Tokens { first, tokens }, end)
    }

    fn push_part(&mut self, part: Part) {
        let first = self.next;
        self.next += part.span();
        self.bytes += part.bytes();
        self.parts.push_back((first, part));
    }

    fn pop(&mut self) {
        if let Some((first, part)) = self.parts.pop_front() {
            self.base = first + part.span();
            self.bytes -= part.bytes();
        }
    }
}
