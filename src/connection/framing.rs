//! Checks that the framing of an HTTP message is unambiguous.

use http::header::CONTENT_LENGTH;
use http::header::HOST;
use http::header::TRANSFER_ENCODING;
use http::HeaderMap;
use http::Version;
use thiserror::Error;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has the stated length, in bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
}

/// Framing that two implementations could interpret differently (request smuggling).
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FramingError {
    /// More than one `Content-Length`, or one that is a list.
    #[error("more than one Content-Length")]
    RepeatedLength,
    /// A `Content-Length` that is not a plain number.
    #[error("Content-Length is not a number")]
    BadLength,
    /// Both `Content-Length` and `Transfer-Encoding`.
    #[error("Content-Length beside Transfer-Encoding")]
    LengthAndCoding,
    /// A `Transfer-Encoding` other than one `chunked`.
    #[error("Transfer-Encoding other than chunked")]
    UnknownCoding,
    /// `Transfer-Encoding` in a version of HTTP that does not define it.
    #[error("Transfer-Encoding before HTTP/1.1")]
    CodingBeforeHttp11,
    /// More than one `Host`.
    #[error("more than one Host")]
    RepeatedHost,
}

/// Returns how the body that follows a head is framed.
///
/// # Errors
///
/// Returns the reason why the framing is ambiguous.
pub fn check_framing(version: Version, headers: &HeaderMap) -> Result<BodyFraming, FramingError> {
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(FramingError::RepeatedHost);
    }
    let coded = headers.contains_key(TRANSFER_ENCODING);
    if coded && headers.contains_key(CONTENT_LENGTH) {
        return Err(FramingError::LengthAndCoding);
    }
    if coded {
        return check_coding(version, headers);
    }
    check_length(headers)
}

fn check_coding(version: Version, headers: &HeaderMap) -> Result<BodyFraming, FramingError> {
    if version < Version::HTTP_11 {
        return Err(FramingError::CodingBeforeHttp11);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next().map(http::HeaderValue::as_bytes);
    let chunked = first.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"));
    if !chunked || codings.next().is_some() {
        return Err(FramingError::UnknownCoding);
    }
    Ok(BodyFraming::Chunked)
}

fn check_length(headers: &HeaderMap) -> Result<BodyFraming, FramingError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(BodyFraming::Empty);
    };
    if lengths.next().is_some() || length.as_bytes().contains(&b',') {
        return Err(FramingError::RepeatedLength);
    }
    let digits = length.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::BadLength);
    }
    length
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(BodyFraming::Length)
        .ok_or(FramingError::BadLength)
}
