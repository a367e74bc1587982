//! MessagePack bodies and streams of frames.

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

/// The largest frame, in bytes.
const FRAME_MAX: usize = 16 << 20;

/// Bytes that are not a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message could not be written.
    #[snafu(display("cannot encode a message: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// The message could not be read.
    #[snafu(display("cannot decode a message: {source}"))]
    Decode {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// The stream of frames broke.
    #[snafu(display("a broken stream of frames: {source}"))]
    Stream {
        /// The cause.
        source: std::io::Error,
    },
}

impl From<std::io::Error> for WireError {
    fn from(source: std::io::Error) -> Self {
        WireError::Stream { source }
    }
}

/// Encodes one message, with field names, so that old and new processes understand each other.
///
/// # Errors
///
/// Fails only for a value that MessagePack cannot express.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let bytes = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    Ok(Bytes::from(bytes))
}

/// Decodes one message.
///
/// # Errors
///
/// Fails when `bytes` is not a message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}

/// Length-delimited frames.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX)
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
