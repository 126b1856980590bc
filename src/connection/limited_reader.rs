//! A reader that limits the size and duration of messages.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use monoio::buf::IoBufMut;
use monoio::buf::IoVecBufMut;
use monoio::io::AsyncReadRent;
use monoio::io::CancelableAsyncReadRent;
use monoio::io::Canceller;
use monoio::time::timeout;
use monoio::time::timeout_at;
use monoio::time::Instant;
use monoio::BufResult;

use crate::connection::AnswerClock;
use crate::connection::MessageLimits;

/// The maximum number of bytes of a refused message that are read and discarded: several times
/// any size limit that a well-behaved caller might assume.
const MAX_DISCARD_BYTES: usize = 8 * 1024 * 1024;

/// The maximum time for discarding a refused message.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The time without a byte after which the other side is assumed to have sent everything:
/// several round trips between data centres.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// The buffer size for reads of discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// How long a response is read for after its deadline. The wait lets the driver look for bytes that
/// have arrived, which a process short of processor time may not have noticed in time.
const LATE_READ_TIME: Duration = Duration::from_millis(2);

/// How long after its deadline a response is given up, though bytes of it have arrived.
const MAX_READ_DELAY: Duration = Duration::from_secs(1);

/// The part of a message that is being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessagePart {
    /// No byte of the next message has arrived.
    Idle,
    /// The head is being read.
    Head,
    /// The body is being read.
    Body,
    /// The message was refused; the next read discards the rest of it.
    Refused,
    /// The rest of a refused message has been discarded.
    Discarded,
}

/// Why a read was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadRefusal {
    /// The part exceeds its size limit.
    TooLarge(MessagePart),
    /// The part exceeds its time limit.
    TooSlow(MessagePart),
}

/// The limits on the part being read, shared by a reader and its connection.
#[derive(Debug)]
pub(crate) struct ReadBudget {
    limits: MessageLimits,
    part: Cell<MessagePart>,
    bytes_left: Cell<usize>,
    deadline: Cell<Instant>,
    /// The deadline of the whole response, which replaces the time limit of each part; `None` when
    /// reading requests.
    response_deadline: Cell<Option<Instant>>,
    /// The pause between bytes that a response may outlast its deadline by.
    silence: Cell<Option<Duration>>,
    /// Where the arrival of a response's bytes is recorded.
    clock: RefCell<Option<Rc<AnswerClock>>>,
    refusal: Cell<Option<ReadRefusal>>,
}

impl ReadBudget {
    pub(crate) fn new(limits: MessageLimits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            part: Cell::new(MessagePart::Idle),
            bytes_left: Cell::new(limits.head_bytes),
            deadline: Cell::new(Instant::now() + limits.idle),
            response_deadline: Cell::new(None),
            silence: Cell::new(None),
            clock: RefCell::new(None),
            refusal: Cell::new(None),
        })
    }

    /// Starts waiting for the next message, within the idle limit.
    pub(crate) fn start_idle(&self) {
        self.response_deadline.set(None);
        self.silence.set(None);
        self.report_to(None);
        self.start_message();
    }

    fn start_message(&self) {
        self.start(MessagePart::Idle, self.limits.head_bytes, self.limits.idle);
    }

    /// Starts waiting for a response, all of which must arrive before `deadline`, or, given a
    /// `silence`, without a longer pause between its bytes and within the body's time limit after
    /// `deadline`. Returns, given a `silence`, the time at which it must have arrived in any case.
    pub(crate) fn start_response(
        &self,
        deadline: Instant,
        silence: Option<Duration>,
    ) -> Option<Instant> {
        self.response_deadline.set(Some(deadline));
        self.silence.set(silence);
        self.report_to(None);
        self.start_message();
        silence.map(|_| deadline + self.limits.body)
    }

    /// Records the response that has begun, and the arrival of its bytes, in `clock`.
    pub(crate) fn report_to(&self, clock: Option<Rc<AnswerClock>>) {
        clock.iter().for_each(|clock| clock.record());
        self.clock.replace(clock);
    }

    /// Starts reading a body, within its size and time limits.
    pub(crate) fn start_body(&self) {
        self.start(MessagePart::Body, self.limits.body_bytes, self.limits.body);
    }

    /// Makes the next read discard the rest of a refused message.
    pub(crate) fn start_discard(&self) {
        self.part.set(MessagePart::Refused);
    }

    /// Marks the message as discarded and returns the error that ends the decoder's read.
    fn end_discard(&self) -> io::Error {
        self.part.set(MessagePart::Discarded);
        io::Error::from(io::ErrorKind::InvalidData)
    }

    pub(crate) fn part(&self) -> MessagePart {
        self.part.get()
    }

    /// Returns the limit that a read exceeded, if any.
    pub(crate) fn refusal(&self) -> Option<ReadRefusal> {
        self.refusal.get()
    }

    fn start(&self, part: MessagePart, bytes: usize, time: Duration) {
        self.part.set(part);
        self.bytes_left.set(bytes);
        self.set_deadline(time);
    }

    fn set_deadline(&self, time: Duration) {
        let deadline = self.response_deadline.get();
        self.deadline
            .set(deadline.unwrap_or_else(|| Instant::now() + time));
    }

    fn check_size(&self) -> io::Result<()> {
        if self.bytes_left.get() > 0 {
            return Ok(());
        }
        Err(self.refuse(ReadRefusal::TooLarge(self.part.get())))
    }

    /// Records the exceeded limit and returns the error for the decoder.
    fn refuse(&self, refusal: ReadRefusal) -> io::Error {
        self.refusal.set(Some(refusal));
        match refusal {
            ReadRefusal::TooLarge(_) => io::Error::from(io::ErrorKind::InvalidData),
            ReadRefusal::TooSlow(_) => io::Error::from(io::ErrorKind::TimedOut),
        }
    }

    /// Returns whether the deadline of a response lies so far back that it must be given up.
    fn is_overdue(&self) -> bool {
        let deadline = self.response_deadline.get();
        deadline.is_some_and(|deadline| deadline + MAX_READ_DELAY < Instant::now())
    }

    /// Counts bytes read; the first byte of a message starts the time limit of its head.
    fn consume(&self, bytes: usize) {
        if self.part.get() == MessagePart::Idle {
            self.part.set(MessagePart::Head);
            self.set_deadline(self.limits.head);
        }
        let left = self.bytes_left.get().saturating_sub(bytes);
        self.bytes_left.set(left);
        if bytes > 0 {
            self.record_progress();
        }
    }

    fn record_progress(&self) {
        if let Some(clock) = self.clock.borrow().as_ref() {
            clock.record();
        }
        let deadlines = self.silence.get().zip(self.response_deadline.get());
        if let Some((silence, deadline)) = deadlines {
            let deadline = deadline.max(Instant::now() + silence);
            self.response_deadline.set(Some(deadline));
            self.deadline.set(deadline);
        }
    }
}

/// Reads from `R` within a [`ReadBudget`].
#[derive(Debug)]
pub(crate) struct LimitedReader<R> {
    inner: R,
    budget: Rc<ReadBudget>,
}

impl<R> LimitedReader<R> {
    pub(crate) fn new(inner: R, budget: Rc<ReadBudget>) -> Self {
        Self { inner, budget }
    }

    fn count_read<T>(&self, (result, buffer): BufResult<usize, T>) -> BufResult<usize, T> {
        if let Ok(count) = result {
            self.budget.consume(count);
        }
        (result, buffer)
    }
}

impl<R: CancelableAsyncReadRent> LimitedReader<R> {
    /// Reads and discards what the other side still sends, within the discard limits.
    async fn discard(&mut self) {
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        let mut left = MAX_DISCARD_BYTES;
        while left > 0 {
            let idle_deadline = Instant::now() + DISCARD_IDLE_TIMEOUT;
            let buffer = vec![0; DISCARD_BUFFER_BYTES];
            match read_until(&mut self.inner, buffer, idle_deadline.min(deadline)).await {
                Ok((Ok(count), _)) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
        }
    }
}

impl<R: CancelableAsyncReadRent> AsyncReadRent for LimitedReader<R> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if self.budget.part() == MessagePart::Refused {
            self.discard().await;
            return (Err(self.budget.end_discard()), buffer);
        }
        if let Err(error) = self.budget.check_size() {
            return (Err(error), buffer);
        }
        if self.budget.is_overdue() {
            let refusal = ReadRefusal::TooSlow(self.budget.part());
            return (Err(self.budget.refuse(refusal)), buffer);
        }
        let deadline = self.budget.deadline.get();
        match read_until(&mut self.inner, buffer, deadline).await {
            Ok(result) => self.count_read(result),
            Err(buffer) => {
                let refusal = ReadRefusal::TooSlow(self.budget.part());
                (Err(self.budget.refuse(refusal)), buffer)
            }
        }
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if let Err(error) = self.budget.check_size() {
            return (Err(error), buffer);
        }
        let result = self.inner.readv(buffer).await;
        self.count_read(result)
    }
}

/// Reads until a deadline, and for [`LATE_READ_TIME`] after it was noticed; then cancels the read and
/// returns the buffer.
async fn read_until<R, T>(
    reader: &mut R,
    buffer: T,
    deadline: Instant,
) -> Result<BufResult<usize, T>, T>
where
    R: CancelableAsyncReadRent,
    T: IoBufMut,
{
    let canceller = Canceller::new();
    let mut read = pin!(reader.cancelable_read(buffer, canceller.handle()));
    if let Ok(result) = timeout_at(deadline, &mut read).await {
        return Ok(result);
    }
    if let Ok(result) = timeout(LATE_READ_TIME, &mut read).await {
        return Ok(result);
    }
    canceller.cancel();
    let (_, buffer) = read.await;
    Err(buffer)
}
