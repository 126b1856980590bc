//! Values of facts, packed for the way between peers.

use std::io::Read;
use std::io::Result;
use std::io::Write;

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// The largest value that is unpacked, in bytes.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// Packs a value.
pub(crate) fn compress(value: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(value)?;
    encoder.finish()
}

/// Unpacks a value, up to a bound on its size.
pub(crate) fn decompress(compressed: &[u8]) -> Result<Vec<u8>> {
    let mut value = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_VALUE_BYTES)
        .read_to_end(&mut value)?;
    Ok(value)
}
