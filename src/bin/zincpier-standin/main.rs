//! `zincpier-standin`: simulates the platform or backend servers.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use argh::FromArgs;
use monoio::net::TcpListener;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

use zincpier::connection::accept_connections;
use zincpier::connection::MessageLimits;
use zincpier::id::HostId;
use zincpier::process::ShutdownSignal;
use zincpier::standin::BackendStandin;
use zincpier::standin::PlatformStandin;

const PLATFORM_CONNECTION_LIMIT: usize = 4_096;
const PLATFORM_BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Simulate the platform or backend servers, for tests and measurements.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Backend(BackendRole),
    Platform(PlatformRole),
}

/// Simulate the backend servers of one or more hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendRole {
    /// hosts with their listen addresses: NAME=IP:PORT
    #[argh(positional)]
    hosts: Vec<String>,
    /// concurrent requests per host
    #[argh(option, default = "8")]
    slots: u32,
    /// time to run a request, in milliseconds
    #[argh(option, default = "5.0")]
    service_ms: f64,
    /// don't record executed requests
    #[argh(switch)]
    no_log: bool,
}

/// Simulate the platform: table, object store and host list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformRole {
    /// listen address (default: a free port on 127.0.0.1)
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// time for a host to restart, in milliseconds
    #[argh(option, default = "500")]
    reboot_ms: u64,
    /// maximum table transactions per second
    #[argh(option, default = "400")]
    writes_per_second: u32,
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let result = runtime.and_then(|mut runtime| match arguments.role {
        Role::Backend(role) => runtime.block_on(serve_backends(role)),
        Role::Platform(role) => runtime.block_on(serve_platform(role)),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zincpier-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_backends(role: BackendRole) -> std::io::Result<()> {
    let invalid_host =
        |host: &str| std::io::Error::other(format!("invalid host {host}: expected NAME=IP:PORT"));
    let service_time = Duration::from_secs_f64(role.service_ms / 1_000.0);
    for host in &role.hosts {
        let (name, address) = host.split_once('=').ok_or_else(|| invalid_host(host))?;
        let name = name.parse::<HostId>().map_err(|_| invalid_host(host))?;
        let address = address
            .parse::<SocketAddr>()
            .map_err(|_| invalid_host(host))?;
        let listener = TcpListener::bind(address)?;
        println!("{name} {}", listener.local_addr()?);
        let mut server = BackendStandin::new(name, role.slots, service_time);
        if role.no_log {
            server = server.without_execution_log();
        }
        monoio::spawn(Rc::new(server).serve(listener));
    }
    std::future::pending().await
}

async fn serve_platform(role: PlatformRole) -> std::io::Result<()> {
    let listener = TcpListener::bind(role.listen)?;
    println!("platform {}", listener.local_addr()?);
    let reboot_time = Duration::from_millis(role.reboot_ms);
    let platform = PlatformStandin::new(reboot_time, role.writes_per_second);
    let limits = MessageLimits {
        body_bytes: PLATFORM_BODY_LIMIT_BYTES,
        ..MessageLimits::default()
    };
    accept_connections(
        listener,
        Rc::new(platform),
        limits,
        PLATFORM_CONNECTION_LIMIT,
        ShutdownSignal::new(),
    )
    .await;
    Ok(())
}
