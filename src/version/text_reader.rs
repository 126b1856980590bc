//! Parser and validator of the service text's tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use crate::finding::FindingList;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::JobSize;
use crate::toml_reader::TableReader;
use crate::version::Availability;
use crate::version::DataCentre;
use crate::version::FailureDomain;
use crate::version::ObjectiveWeights;
use crate::version::Pool;
use crate::version::Rack;
use crate::version::Service;
use crate::version::ServiceText;
use crate::version::Team;

/// 30 days.
const DEFAULT_WINDOW_HOURS: u64 = 720;
const DEFAULT_DEADLINE_MS: u64 = 2_000;
const DEFAULT_CALLER_LATENCY_MS: f64 = 1.0;
const DEFAULT_LINK_LATENCY_MS: f64 = 1.0;
const MICROS_PER_MS: f64 = 1_000.0;
/// The prefix of paths that daemons answer themselves instead of forwarding.
const RESERVED_PATH: &str = "/zincpier";
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_CONNECTIONS: u32 = 64;

/// Reads the tables of a service text and records positions for its findings.
pub(super) struct TextReader<'t, 'f> {
    source: &'t str,
    findings: &'f mut FindingList,
    /// The names of all listed services, including invalid ones; references to these get no
    /// finding of their own.
    service_names: BTreeSet<ServiceId>,
    /// The byte ranges of the names of valid services.
    service_spans: BTreeMap<ServiceId, Range<usize>>,
    hosts_in_racks: BTreeSet<HostId>,
    hosts_in_pools: BTreeSet<HostId>,
}

impl<'t, 'f> TextReader<'t, 'f> {
    /// Creates a reader that adds its findings to `findings`.
    pub(super) fn new(source: &'t str, findings: &'f mut FindingList) -> Self {
        Self {
            source,
            findings,
            service_names: BTreeSet::new(),
            service_spans: BTreeMap::new(),
            hosts_in_racks: BTreeSet::new(),
            hosts_in_pools: BTreeSet::new(),
        }
    }

    /// Reads a complete text.
    ///
    /// The result may be used only if no findings were added: invalid items are left out of it,
    /// and invalid optional values have their defaults.
    pub(super) fn read(&mut self, mut root: TableReader<'t>) -> ServiceText {
        let deployment = root
            .required::<String>("deployment", self.findings)
            .map_or_else(String::new, |spanned| spanned.value);
        let link_ms = root.or_default("link_ms", DEFAULT_LINK_LATENCY_MS, self.findings);
        let weights = self.read_weights(&mut root);
        let data_centres = self.read_data_centres(&mut root);
        let services = self.read_services(&mut root);
        let racks = self.read_racks(&mut root, &data_centres);
        let pools = self.read_pools(&mut root);
        let teams = self.read_teams(&mut root);
        root.finish(self.findings);
        let text = ServiceText {
            deployment,
            link_latency_micros: (link_ms * MICROS_PER_MS) as u64,
            weights,
            data_centres,
            services,
            pools,
            racks,
            teams,
        };
        self.check_dependencies(&text);
        self.check_capacity(&text);
        text
    }

    fn read_weights(&mut self, root: &mut TableReader<'t>) -> ObjectiveWeights {
        let default = ObjectiveWeights::default();
        ObjectiveWeights {
            buffer_cost: root.or_default("weight_buffer_cost", default.buffer_cost, self.findings),
            roll_out: root.or_default("weight_roll_out", default.roll_out, self.findings),
            moves: root.or_default("weight_moves", default.moves, self.findings),
        }
    }

    fn read_data_centres(
        &mut self,
        root: &mut TableReader<'t>,
    ) -> BTreeMap<DataCentreId, DataCentre> {
        let mut data_centres = BTreeMap::new();
        for mut table in root.tables("data_centres", self.findings) {
            let name = table.required::<DataCentreId>("name", self.findings);
            let region = table.required::<String>("region", self.findings);
            let caller_ms = table.or_default("caller_ms", DEFAULT_CALLER_LATENCY_MS, self.findings);
            table.finish(self.findings);
            let (Some(name), Some(region)) = (name, region) else {
                continue;
            };
            let data_centre = DataCentre {
                id: name.value.clone(),
                region: region.value,
                caller_latency_micros: (caller_ms * MICROS_PER_MS) as u64,
            };
            if data_centres.insert(name.value, data_centre).is_some() {
                self.add_finding(name.span, "this data centre is listed twice");
            }
        }
        data_centres
    }

    fn read_services(&mut self, root: &mut TableReader<'t>) -> BTreeMap<ServiceId, Service> {
        let mut services = BTreeMap::new();
        let mut paths = BTreeSet::new();
        for table in root.tables("services", self.findings) {
            let Some((service, span)) = self.read_service(table) else {
                continue;
            };
            if !paths.insert(service.path.clone()) {
                self.add_finding(span.clone(), "another service has this path");
            }
            self.service_spans.insert(service.id.clone(), span.clone());
            if services.insert(service.id.clone(), service).is_some() {
                self.add_finding(span, "this service is listed twice");
            }
        }
        if self.service_names.is_empty() {
            self.add_finding(root.span(), "no service is listed");
        }
        services
    }

    fn read_service(&mut self, mut table: TableReader<'t>) -> Option<(Service, Range<usize>)> {
        let name = table.required::<ServiceId>("name", self.findings);
        self.service_names
            .extend(name.as_ref().map(|name| name.value.clone()));
        let availability = table.required::<Availability>("availability", self.findings);
        let path = table.required::<String>("path", self.findings);
        let depends_on = table.list::<ServiceId>("depends_on", self.findings);
        let at_most_once = table.list::<String>("at_most_once", self.findings);
        let urgent = table.list::<String>("urgent", self.findings);
        let window_hours = table.or_default("window_hours", DEFAULT_WINDOW_HOURS, self.findings);
        let failure_domain = table.or_default("loss_domain", FailureDomain::Rack, self.findings);
        let deadline_ms = table.or_default("deadline_ms", DEFAULT_DEADLINE_MS, self.findings);
        let attempt_ms = table.optional::<u64>("attempt_ms", self.findings);
        let slots = table.or_default("slots", DEFAULT_SLOTS, self.findings);
        let connections = table.or_default("connections", DEFAULT_CONNECTIONS, self.findings);
        let echoes_request_id = table.or_default("echoes_request_id", true, self.findings);
        let span = table.span();
        table.finish(self.findings);
        if slots == 0 || connections == 0 {
            self.add_finding(span.clone(), "'slots' and 'connections' are at least 1");
        }
        if let Some(path) = path.as_ref().filter(|path| !path.value.starts_with('/')) {
            self.add_finding(path.span.clone(), "'path' starts with '/'");
        }
        if let Some(path) = path
            .as_ref()
            .filter(|path| path.value.starts_with(RESERVED_PATH))
        {
            let reason = format!("paths under '{RESERVED_PATH}' are zincpier's own");
            self.add_finding(path.span.clone(), reason);
        }
        let name = name?;
        let service = Service {
            id: name.value,
            path: path?.value,
            depends_on: unwrap_values(depends_on),
            availability: availability?.value,
            window: Duration::from_secs(window_hours * 3_600),
            failure_domain,
            deadline: Duration::from_millis(deadline_ms),
            attempt: attempt_ms.map(|spanned| Duration::from_millis(spanned.value)),
            at_most_once: unwrap_values(at_most_once),
            urgent: unwrap_values(urgent),
            slots,
            connections,
            echoes_request_id,
        };
        Some((service, name.span))
    }

    fn read_racks(
        &mut self,
        root: &mut TableReader<'t>,
        data_centres: &BTreeMap<DataCentreId, DataCentre>,
    ) -> BTreeMap<RackId, Rack> {
        let mut racks = BTreeMap::new();
        for mut table in root.tables("racks", self.findings) {
            let name = table.required::<RackId>("name", self.findings);
            let data_centre = table.required::<DataCentreId>("data_centre", self.findings);
            let hosts = table.list::<HostId>("hosts", self.findings);
            table.finish(self.findings);
            let (Some(name), Some(data_centre)) = (name, data_centre) else {
                continue;
            };
            if !data_centres.contains_key(&data_centre.value) {
                self.add_finding(data_centre.span, "no such data centre is listed");
            }
            for host in &hosts {
                if !self.hosts_in_racks.insert(host.value.clone()) {
                    self.add_finding(host.span.clone(), "this host is in two racks");
                }
            }
            let rack = Rack {
                id: name.value.clone(),
                data_centre: data_centre.value,
                hosts: unwrap_values(hosts),
            };
            if racks.insert(name.value, rack).is_some() {
                self.add_finding(name.span, "this rack is listed twice");
            }
        }
        racks
    }

    fn read_pools(&mut self, root: &mut TableReader<'t>) -> BTreeMap<PoolId, Pool> {
        let mut pools = BTreeMap::new();
        for mut table in root.tables("pools", self.findings) {
            let name = table.required::<PoolId>("name", self.findings);
            let service = table.required::<ServiceId>("service", self.findings);
            let role = table.required("role", self.findings);
            let needed = table.required::<usize>("needed", self.findings);
            let cores = table.or_default("cores", 0, self.findings);
            let memory_gb = table.or_default("memory_gb", 0, self.findings);
            let accelerators = table.or_default("accelerators", 0, self.findings);
            let hosts = table.list::<HostId>("hosts", self.findings);
            table.finish(self.findings);
            for host in &hosts {
                self.check_pool_host(host.value.clone(), host.span.clone());
            }
            let (Some(name), Some(service), Some(role), Some(needed)) =
                (name, service, role, needed)
            else {
                continue;
            };
            if !self.service_names.contains(&service.value) {
                self.add_finding(service.span, "no such service is listed");
            }
            let pool = Pool {
                id: name.value.clone(),
                service: service.value,
                role: role.value,
                needed: needed.value,
                cores,
                memory_gb,
                accelerators,
                hosts: unwrap_values(hosts),
            };
            if pools.insert(name.value, pool).is_some() {
                self.add_finding(name.span, "this pool is listed twice");
            }
        }
        pools
    }

    fn read_teams(&mut self, root: &mut TableReader<'t>) -> BTreeMap<TeamId, Team> {
        let mut teams = BTreeMap::new();
        for mut table in root.tables("teams", self.findings) {
            let name = table.required::<TeamId>("name", self.findings);
            let quota = table.required::<JobSize>("quota", self.findings);
            table.finish(self.findings);
            let (Some(name), Some(quota)) = (name, quota) else {
                continue;
            };
            let team = Team {
                id: name.value.clone(),
                quota: quota.value,
            };
            if teams.insert(name.value, team).is_some() {
                self.add_finding(name.span, "this team is listed twice");
            }
        }
        teams
    }

    fn check_pool_host(&mut self, host: HostId, span: Range<usize>) {
        if !self.hosts_in_racks.contains(&host) {
            self.add_finding(span.clone(), "this host is in no rack");
        }
        if !self.hosts_in_pools.insert(host) {
            self.add_finding(span, "this host is in two pools");
        }
    }

    fn check_dependencies(&mut self, text: &ServiceText) {
        for service in text.services.values() {
            let span = self.span_of(&service.id);
            for dependency in &service.depends_on {
                if !self.service_names.contains(dependency) {
                    self.add_finding(
                        span.clone(),
                        format!("it depends on '{dependency}', which is not listed"),
                    );
                }
            }
            let cyclic = service
                .depends_on
                .iter()
                .any(|dependency| text.dependants_of(&service.id).contains(dependency));
            if cyclic {
                self.add_finding(
                    span,
                    format!("'{}' depends on itself, directly or not", service.id),
                );
            }
        }
    }

    /// Checks that each pool has enough hosts after the loss of the failure domain that contains
    /// most of them.
    fn check_capacity(&mut self, text: &ServiceText) {
        let racks = text.racks_by_host();
        for service in text.services.values() {
            let span = self.span_of(&service.id);
            let pools = text
                .pools
                .values()
                .filter(|pool| pool.service == service.id);
            let mut has_pool = false;
            for pool in pools {
                has_pool = true;
                let remaining =
                    pool.hosts.len() - max_hosts_in_domain(pool, service.failure_domain, &racks);
                if remaining < pool.needed {
                    let reason = format!(
                        "the budget of '{}' cannot be met: pool '{}' needs {} hosts and has {remaining} after the loss of one {}",
                        service.id, pool.id, pool.needed, service.failure_domain
                    );
                    self.add_finding(span.clone(), reason);
                }
            }
            if !has_pool {
                self.add_finding(span, format!("'{}' has no pool", service.id));
            }
        }
    }

    fn span_of(&self, service: &ServiceId) -> Range<usize> {
        self.service_spans.get(service).cloned().unwrap_or(0..0)
    }

    fn add_finding(&mut self, span: Range<usize>, reason: impl Into<String>) {
        self.findings.add(self.source, span, reason);
    }
}

/// Returns the number of the pool's hosts in the failure domain that contains most of them.
fn max_hosts_in_domain(
    pool: &Pool,
    domain: FailureDomain,
    racks: &BTreeMap<&HostId, &Rack>,
) -> usize {
    let mut counts = BTreeMap::<&str, usize>::new();
    for rack in pool.hosts.iter().filter_map(|host| racks.get(host)) {
        let name = match domain {
            FailureDomain::Rack => rack.id.as_str(),
            FailureDomain::DataCentre => rack.data_centre.as_str(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn unwrap_values<T>(spanned: Vec<crate::toml_reader::SpannedValue<T>>) -> Vec<T> {
    spanned.into_iter().map(|item| item.value).collect()
}
