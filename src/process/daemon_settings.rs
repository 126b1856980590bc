//! Reads and validates the settings file of the entry host's daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::error::Error;
use crate::error::Result;
use crate::finding::FindingList;
use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::toml_reader::parse_toml;
use crate::toml_reader::TableReader;
use log::LevelFilter;

const DEFAULT_OPERATORS_ADDRESS: &str = "127.0.0.1:7402";
const DEFAULT_NOTICE_MS: u64 = 2_000;
const DEFAULT_GRACE_MS: u64 = 30_000;
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_POLL_MS: u64 = 1_000;
const DEFAULT_QUEUE_REQUESTS: usize = 256;
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
const MIN_TOKEN_BYTES: usize = 8;

/// The settings of a daemon: its identity, addresses, limits and logging.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The entry host's name, kept by the host that replaces it.
    pub name: EntryId,
    /// The data centre of the entry host.
    pub data_centre: DataCentreId,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for operators and monitoring.
    pub operators: SocketAddr,
    /// The listen address for other entry hosts.
    pub peers: SocketAddr,
    /// The address at which peers call this entry host, if it differs from `peers`.
    pub peers_advertised: Option<SocketAddr>,
    /// Peers that are contacted at start, in case the platform does not answer.
    pub known_peers: Vec<SocketAddr>,
    /// The address of the platform's API.
    pub platform: SocketAddr,
    /// The timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// The average interval at which the platform's host list and rows are polled.
    pub poll: Duration,
    /// The secret that authorises changes by operators, at least 8 bytes.
    pub operator_token: String,
    /// How long readiness fails at shutdown before connections are refused.
    pub notice: Duration,
    /// How long requests in flight may take after `notice`.
    pub grace: Duration,
    /// The maximum number of waiting requests of each service.
    pub queue: usize,
    /// The maximum number of open connections of callers.
    pub connections: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The log level; less severe lines are dropped.
    pub log_level: LevelFilter,
    /// The log file; standard error if absent.
    pub log_file: Option<PathBuf>,
}

impl DaemonSettings {
    /// Creates settings that listen on free loopback ports and log at `Warn`, with defaults for
    /// the rest.
    pub fn on_loopback(
        name: EntryId,
        data_centre: DataCentreId,
        platform: SocketAddr,
        operator_token: &str,
    ) -> Self {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            data_centre,
            callers: free_port,
            operators: free_port,
            peers: free_port,
            peers_advertised: None,
            known_peers: Vec::new(),
            platform,
            platform_timeout: Duration::from_millis(DEFAULT_PLATFORM_TIMEOUT_MS),
            poll: Duration::from_millis(DEFAULT_POLL_MS),
            operator_token: operator_token.to_owned(),
            notice: Duration::from_millis(DEFAULT_NOTICE_MS),
            grace: Duration::from_millis(DEFAULT_GRACE_MS),
            queue: DEFAULT_QUEUE_REQUESTS,
            connections: DEFAULT_MAX_CONNECTIONS,
            body_bytes: DEFAULT_MAX_BODY_BYTES,
            log_level: LevelFilter::Warn,
            log_file: None,
        }
    }

    /// Parses and checks settings; `file` is the name that findings refer to.
    ///
    /// # Errors
    ///
    /// Returns all findings with their line and column.
    pub fn parse(file: &str, source: &str) -> Result<Self> {
        let mut findings = FindingList::new(file);
        let Some(root) = parse_toml(source, &mut findings) else {
            return Err(Error::Findings(findings));
        };
        let reader = TableReader::new(source, root.get_ref(), root.span());
        let settings = read_settings(reader, source, &mut findings);
        match settings {
            Some(settings) => findings.into_result(settings).map_err(Error::Findings),
            None => Err(Error::Findings(findings)),
        }
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all findings if it is invalid.
    pub fn read(path: &std::path::Path) -> Result<Self> {
        let source = std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &source)
    }
}

fn read_settings(
    mut table: TableReader<'_>,
    source: &str,
    findings: &mut FindingList,
) -> Option<DaemonSettings> {
    let name = table.required("name", findings);
    let data_centre = table.required("data_centre", findings);
    let callers = table.required("callers", findings);
    let peers = table.required("peers", findings);
    let platform = table.required("platform", findings);
    let token = table.required::<String>("operator_token", findings);
    let operators = table.optional("operators", findings);
    let peers_advertised = table.optional("peers_advertised", findings);
    let known_peers = table.list("known_peers", findings);
    let platform_timeout =
        table.or_default("platform_timeout_ms", DEFAULT_PLATFORM_TIMEOUT_MS, findings);
    let poll = table.or_default("poll_ms", DEFAULT_POLL_MS, findings);
    let notice = table.or_default("notice_ms", DEFAULT_NOTICE_MS, findings);
    let grace = table.or_default("grace_ms", DEFAULT_GRACE_MS, findings);
    let queue = table.or_default("queue", DEFAULT_QUEUE_REQUESTS, findings);
    let connections = table.or_default("connections", DEFAULT_MAX_CONNECTIONS, findings);
    let body_bytes = table.or_default("body_bytes", DEFAULT_MAX_BODY_BYTES, findings);
    let log_level = table.or_default("log_level", LevelFilter::Info, findings);
    let log_file = table.optional("log_file", findings);
    table.finish(findings);
    if let Some(token) = token
        .as_ref()
        .filter(|token| token.value.len() < MIN_TOKEN_BYTES)
    {
        let reason = format!("'operator_token' must have at least {MIN_TOKEN_BYTES} bytes");
        findings.add(source, token.span.clone(), reason);
    }
    Some(DaemonSettings {
        name: name?.value,
        data_centre: data_centre?.value,
        callers: callers?.value,
        operators: match operators {
            Some(operators) => operators.value,
            None => DEFAULT_OPERATORS_ADDRESS.parse().ok()?,
        },
        peers: peers?.value,
        peers_advertised: peers_advertised.map(|peers| peers.value),
        known_peers: known_peers.into_iter().map(|peer| peer.value).collect(),
        platform: platform?.value,
        platform_timeout: Duration::from_millis(platform_timeout),
        poll: Duration::from_millis(poll),
        operator_token: token?.value,
        notice: Duration::from_millis(notice),
        grace: Duration::from_millis(grace),
        queue,
        connections,
        body_bytes,
        log_level,
        log_file: log_file.map(|file| file.value),
    })
}
