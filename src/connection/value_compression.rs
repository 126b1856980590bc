//! Compression (DEFLATE) of fact values sent between peers.

use std::io::Read;
use std::io::Result;
use std::io::Write;

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// The maximum size of a decompressed value, in bytes; longer values are truncated.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

pub(crate) fn compress(value: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(value)?;
    encoder.finish()
}

/// Decompresses a value, truncating it at [`MAX_VALUE_BYTES`].
pub(crate) fn decompress(compressed: &[u8]) -> Result<Vec<u8>> {
    let mut value = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_VALUE_BYTES)
        .read_to_end(&mut value)?;
    Ok(value)
}
