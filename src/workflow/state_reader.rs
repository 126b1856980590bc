//! Reads whole tables in pages, however large they are and however slow the link.

use std::time::Duration;

use futures::future::join_all;
use monoio::time::sleep;
use monoio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;
use crate::provider::TableRow;
use crate::workflow::PageSizer;
use crate::workflow::PageSource;
use crate::workflow::RowPage;

/// Delay before a failed read is retried: a few round trips to the table.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Rows that are worth a request. More are requested from several parts at once, since a slow
/// table takes its time for each request and not for each row.
const MIN_PART_ROWS: usize = 100;

/// Reads tables page by page. After a failure it continues behind the last row that arrived.
///
/// All pages on their way together are sized for what the link carries in a tenth of a second, so
/// that the lease can be renewed meanwhile.
pub(crate) struct StateReader<'a, P> {
    platform: &'a P,
    sizer: PageSizer,
    pages: usize,
    rows: usize,
    bytes: usize,
}

/// A part of which rows are still to be read.
struct PartCursor {
    prefix: String,
    /// The last key that was read; empty before the first page.
    after: String,
}

impl<'a, P: PageSource> StateReader<'a, P> {
    pub(crate) fn new(platform: &'a P) -> Self {
        Self {
            platform,
            sizer: PageSizer::new(),
            pages: 0,
            rows: 0,
            bytes: 0,
        }
    }

    /// Passes all rows of a table to `accept`, those of each part in the order of their keys. Rows
    /// that change meanwhile may be passed as they were before or after. Returns a revision from
    /// before the first read.
    pub(crate) async fn read_table(
        &mut self,
        prefix: &str,
        mut accept: impl FnMut(TableRow),
    ) -> Revision {
        // The rows of one table say nothing about the size of another's.
        self.sizer = PageSizer::new();
        let (mut parts, revision) = self.list_parts(prefix).await;
        while !parts.is_empty() {
            let rows = self.sizer.rows();
            let count = (rows / MIN_PART_ROWS).clamp(1, parts.len());
            let platform = self.platform;
            let reads = parts.iter().take(count).map(|part| async move {
                let page = platform.read_page(&part.prefix, &part.after, rows / count);
                (page.await, Instant::now())
            });
            let answers = join_all(reads).await;
            self.record_transfer(&answers);
            let mut failure = None;
            let mut unfinished = Vec::new();
            for (mut part, (answer, _)) in parts.drain(..count).zip(answers) {
                match answer {
                    Ok(page) => {
                        page.rows.into_iter().for_each(&mut accept);
                        let Some(last_key) = page.next else {
                            continue;
                        };
                        part.after = last_key;
                    }
                    Err(error) => failure = Some(error),
                }
                unfinished.push(part);
            }
            parts.splice(..0, unfinished);
            if let Some(error) = failure {
                self.await_retry(prefix, &error).await;
            }
        }
        revision
    }

    /// Returns what was read so far, for the log.
    pub(crate) fn totals(&self) -> String {
        let Self {
            pages, rows, bytes, ..
        } = self;
        format!("pages={pages} rows={rows} bytes={bytes}")
    }

    async fn list_parts(&mut self, prefix: &str) -> (Vec<PartCursor>, Revision) {
        loop {
            match self.platform.part_prefixes(prefix).await {
                Ok((prefixes, revision)) => {
                    let cursor = |prefix| PartCursor {
                        prefix,
                        after: String::new(),
                    };
                    return (prefixes.into_iter().map(cursor).collect(), revision);
                }
                Err(error) => self.await_retry(prefix, &error).await,
            }
        }
    }

    /// Adapts the next requests to the answers of those that were sent together.
    fn record_transfer(&mut self, answers: &[(Result<RowPage>, Instant)]) {
        let (mut rows, mut span, mut failed) = (0, None, false);
        for (answer, ended) in answers {
            match answer {
                Ok(page) => {
                    let started = *ended - page.transfer_time;
                    let (first, last) = span.unwrap_or((started, *ended));
                    span = Some((first.min(started), last.max(*ended)));
                    rows += page.rows.len();
                    self.pages += 1;
                    self.bytes += page.bytes;
                }
                // A refusal says nothing about the size.
                Err(Error::PlatformRefused { .. }) => {}
                Err(_) => failed = true,
            }
        }
        self.rows += rows;
        match span {
            _ if failed => self.sizer.record_failure(),
            Some((first, last)) => self.sizer.record_rows(rows, last - first),
            None => {}
        }
    }

    async fn await_retry(&self, prefix: &str, error: &Error) {
        log::warn!(
            "event=load_retried prefix={prefix} {} next_rows={} reason=\"{error}\"",
            self.totals(),
            self.sizer.rows()
        );
        sleep(RETRY_DELAY).await;
    }
}
