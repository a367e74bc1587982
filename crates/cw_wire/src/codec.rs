//! Encoding of MessagePack bodies and of frame streams.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Frame;

/// The maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// An error in encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message could not be encoded.
    #[snafu(display("cannot encode a message: {source}"))]
    Encode {
        /// The error of the MessagePack encoder.
        source: rmp_serde::encode::Error,
    },
    /// The message could not be decoded.
    #[snafu(display("cannot decode a message: {source}"))]
    Decode {
        /// The error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
    /// The frame stream could not be split into or built from frames.
    #[snafu(display("invalid frame stream: {source}"))]
    Stream {
        /// The error of the framing codec or of the stream below it.
        source: std::io::Error,
    },
}

impl From<std::io::Error> for WireError {
    fn from(source: std::io::Error) -> Self {
        WireError::Stream { source }
    }
}

/// Encodes a message with its field names, so that processes of different versions are compatible.
///
/// # Errors
///
/// Returns [`WireError::Encode`] if MessagePack cannot represent the value.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let bytes = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`WireError::Decode`] if `bytes` is not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}

/// The codec of a stream of length-delimited [`Frame`]s.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        decode(&bytes).map(Some)
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), WireError> {
        let bytes = encode(frame)?;
        self.inner.encode(bytes, buffer)?;
        Ok(())
    }
}
