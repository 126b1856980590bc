//! `zincpier organisations`: organisations against their shares and caps, from entry hosts' metrics.

use std::net::SocketAddr;

use argh::FromArgs;

use zincpier::error::Result;
use zincpier::operator::OperatorClient;
use zincpier::operator::OrganisationReport;

use crate::printer::print_list;

/// Print what organisations run, wait for and were refused, against share and cap.
///
/// Jobs are counted by each entry host; running, waiting, share and cap are known only to the one
/// that holds the controller's lease. Name all entry hosts for a complete view.
#[derive(FromArgs)]
#[argh(subcommand, name = "organisations")]
pub(crate) struct OrganisationArguments {
    /// metrics address of an entry host (repeatable)
    #[argh(option)]
    pub(crate) metrics: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Prints the organisations; returns whether all entry hosts answered. Those that did are shown
/// anyway, since one is often asked during a fault.
pub(crate) async fn show_organisations(arguments: &OrganisationArguments) -> Result<bool> {
    let mut texts = Vec::new();
    for &address in &arguments.metrics {
        match OperatorClient::new(address).metrics().await {
            Ok(text) => texts.push(text),
            Err(error) => eprintln!("zincpier: {error}"),
        }
    }
    let reports = OrganisationReport::read_all(&texts);
    let headings = [
        "ORGANISATION",
        "RUNNING MILLIS",
        "SHARE MILLIS",
        "CAP MILLIS",
        "WAITING",
        "ACCEPTED",
        "REFUSED",
    ];
    print_list(&reports, arguments.json, &headings, |report| {
        let cap = match report.cap_millis {
            0 => "-".to_owned(),
            cap_millis => cap_millis.to_string(),
        };
        vec![
            report.organisation.clone(),
            report.running_millis.to_string(),
            report.share_millis.to_string(),
            cap,
            report.waiting_jobs.to_string(),
            report.accepted_jobs.to_string(),
            report.refused_jobs.to_string(),
        ]
    });
    Ok(!texts.is_empty() && texts.len() == arguments.metrics.len())
}
