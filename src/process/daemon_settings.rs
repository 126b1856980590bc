//! The settings file of an entry host's daemon.

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

const DEFAULT_OPERATOR: &str = "127.0.0.1:7402";
const DEFAULT_NOTICE_MS: u64 = 2_000;
const DEFAULT_GRACE_MS: u64 = 30_000;
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_POLL_MS: u64 = 1_000;
const DEFAULT_QUEUE: usize = 256;
const DEFAULT_CONNECTIONS: usize = 4_096;
const DEFAULT_BODY_BYTES: usize = 1024 * 1024;
const TOKEN_LEAST_BYTES: usize = 8;

/// What a daemon is told about itself and its surroundings.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The entry host's name, kept by the host that replaces it.
    pub name: EntryId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators and monitoring are served.
    pub operators: SocketAddr,
    /// Where peers are answered.
    pub peers: SocketAddr,
    /// The address that peers are told to call, if not `peers`.
    pub peers_advertised: Option<SocketAddr>,
    /// The peers that are asked when the platform does not answer.
    pub known_peers: Vec<SocketAddr>,
    /// The platform.
    pub platform: SocketAddr,
    /// How long the platform may take to answer.
    pub platform_timeout: Duration,
    /// The time between two looks at the platform's list and rows.
    pub poll: Duration,
    /// The secret that allows changes.
    pub operator_token: String,
    /// How long readiness fails before accepting ends.
    pub notice: Duration,
    /// How long requests in flight may take after that.
    pub grace: Duration,
    /// The requests of a service that may wait.
    pub queue: usize,
    /// The callers' connections that may be open.
    pub connections: usize,
    /// The greatest body, in bytes.
    pub body_bytes: usize,
    /// The level of log lines.
    pub log_level: LevelFilter,
    /// The file for log lines, if not the standard error output.
    pub log_file: Option<PathBuf>,
}

impl DaemonSettings {
    /// Creates the settings of a daemon on free loopback ports.
    pub fn on_loopback(
        name: EntryId,
        data_centre: DataCentreId,
        platform: SocketAddr,
        operator_token: &str,
    ) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            data_centre,
            callers: any,
            operators: any,
            peers: any,
            peers_advertised: None,
            known_peers: Vec::new(),
            platform,
            platform_timeout: Duration::from_millis(DEFAULT_PLATFORM_TIMEOUT_MS),
            poll: Duration::from_millis(DEFAULT_POLL_MS),
            operator_token: operator_token.to_owned(),
            notice: Duration::from_millis(DEFAULT_NOTICE_MS),
            grace: Duration::from_millis(DEFAULT_GRACE_MS),
            queue: DEFAULT_QUEUE,
            connections: DEFAULT_CONNECTIONS,
            body_bytes: DEFAULT_BODY_BYTES,
            log_level: LevelFilter::Warn,
            log_file: None,
        }
    }

    /// Reads and checks settings; `file` names them in the findings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its place.
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
    /// Returns an error if the file cannot be read or has findings.
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
    let queue = table.or_default("queue", DEFAULT_QUEUE, findings);
    let connections = table.or_default("connections", DEFAULT_CONNECTIONS, findings);
    let body_bytes = table.or_default("body_bytes", DEFAULT_BODY_BYTES, findings);
    let log_level = table.or_default("log_level", LevelFilter::Info, findings);
    let log_file = table.optional("log_file", findings);
    table.finish(findings);
    if let Some(token) = token
        .as_ref()
        .filter(|token| token.value.len() < TOKEN_LEAST_BYTES)
    {
        let reason = format!("'operator_token' has at least {TOKEN_LEAST_BYTES} characters");
        findings.add(source, token.span.clone(), reason);
    }
    Some(DaemonSettings {
        name: name?.value,
        data_centre: data_centre?.value,
        callers: callers?.value,
        operators: match operators {
            Some(operators) => operators.value,
            None => DEFAULT_OPERATOR.parse().ok()?,
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
