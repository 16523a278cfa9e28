//! Stand-ins and daemons in this process, each on its own ports.

use std::{error::Error, net::SocketAddr, time::Duration};

use daemon::Running;
use protocol::order::{Role, Wanted};
use settings::{daemon::Settings, tree::resolve};
use standin::{
    batch::Speed,
    engine::{Engine, Setup},
    platform::Platform,
    service::Service,
};
use wire::{CommitRequest, Edit, operator_client::OperatorClient};

/// The operators' token of the demo.
pub const TOKEN: &str = "demo-operator";
/// The callers' key of the demo.
pub const KEY: &str = "demo-key";
const DATA_CENTRE: &str = "sala-a";
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The daemons and the stand-ins.
pub struct Fleet {
    /// The stand-in for the platform, kept so that it runs as long as the fleet.
    pub _platform: Platform,
    /// The engines: two for prefill, two for decode and a mixed one.
    pub engines: Vec<Engine>,
    pub service: Service,
    pub daemons: Vec<Running>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts the fleet and commits the initial settings as an operator would.
    pub async fn start() -> Result<Self, Box<dyn Error>> {
        let platform = Platform::start(any_port()).await?;
        let service = Service::start(any_port()).await?;
        let mut engines = Vec::new();
        let roles = [
            Role::Prefill,
            Role::Prefill,
            Role::Decode,
            Role::Decode,
            Role::Mixed,
        ];
        for role in roles {
            let setup = Setup {
                speed: Speed::quick(),
                fences: true,
                holds: Wanted {
                    role,
                    ..Wanted::default()
                },
            };
            engines.push(Engine::start(any_port(), setup).await?);
        }
        let mut daemons: Vec<Running> = Vec::new();
        for number in 0..3 {
            let seeds: Vec<SocketAddr> = daemons.iter().map(|d| d.addresses().peers).collect();
            let settings = settings(number, platform.address(), &seeds)?;
            daemons.push(daemon::start(settings).await?);
        }
        let fleet = Self {
            _platform: platform,
            engines,
            service,
            daemons,
        };
        tokio::time::timeout(START_TIMEOUT, fleet.commit_settings()).await??;
        Ok(fleet)
    }

    /// Returns the address at which a daemon serves callers.
    pub fn callers(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].addresses().callers
    }

    /// Prints the daemons' addresses and commands to try.
    pub fn print_commands(&self) {
        for (number, daemon) in self.daemons.iter().enumerate() {
            let addresses = daemon.addresses();
            println!(
                "daemon {number}: callers http://{} operators {} metrics http://{}/metrics",
                addresses.callers, addresses.peers, addresses.status
            );
        }
        println!(
            "\ncurl -N http://{}/v1/chat/completions -H 'authorization: Bearer {KEY}' \
             -d '{{\"model\":\"proctor\",\"stream\":true,\"max_tokens\":20,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"dense enough?\"}}]}}'",
            self.callers(0)
        );
        println!(
            "WRENRAMP_TOKEN={TOKEN} cargo run --release -q --bin wrenramp -- --daemon {} status\n",
            self.daemons[1].addresses().peers
        );
    }

    async fn commit_settings(&self) -> Result<(), Box<dyn Error>> {
        let mut client =
            OperatorClient::connect(format!("http://{}", self.daemons[0].addresses().peers))
                .await?;
        let request = CommitRequest {
            token: TOKEN.to_owned(),
            base: 0,
            edits: self.edits(),
            dry_run: false,
            operator: "demo".to_owned(),
        };
        loop {
            match client.commit(request.clone()).await {
                Ok(reply) if reply.get_ref().version > 0 => break,
                Ok(reply) => return Err(reply.into_inner().problems.join("; ").into()),
                // the daemons are not ready yet
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        // by then a heartbeat has brought the settings to all three daemons and the first load
        // reports have arrived
        tokio::time::sleep(Duration::from_millis(800)).await;
        Ok(())
    }

    fn edits(&self) -> Vec<Edit> {
        let digest = resolve::secret_digest(KEY);
        let mut edits = vec![
            edit("service/soil", "kind", "engines"),
            edit("service/readings", "kind", "plain"),
            edit("service/readings", "repeat", "never"),
            edit("model/proctor", "service", "soil"),
            edit("model/proctor", "version", "1"),
            edit("fleet/roles", "roles", "fixed"),
            edit("group/technicians", "keys", &digest),
        ];
        for (number, engine) in self.engines.iter().enumerate() {
            let path = format!("endpoint/{DATA_CENTRE}/{}", number + 1);
            edits.push(edit(&path, "service", "soil"));
            edits.push(edit(&path, "fences", "true"));
            edits.push(edit(&path, "address", &engine.address().to_string()));
        }
        let path = format!("endpoint/{DATA_CENTRE}/100");
        edits.push(edit(&path, "service", "readings"));
        edits.push(edit(&path, "address", &self.service.address().to_string()));
        edits
    }
}

/// Returns an edit that sets a value.
pub fn edit(path: &str, key: &str, value: &str) -> Edit {
    Edit {
        path: path.to_owned(),
        key: key.to_owned(),
        value: Some(value.to_owned()),
        remove_node: false,
    }
}

fn settings(
    number: usize,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> Result<Settings, settings::daemon::Error> {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        r#"
[daemon]
name = "entry-{number}"
data_centre = "{DATA_CENTRE}"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
status = "127.0.0.1:0"
seeds = [{}]
operator_token_sha256 = "{}"
[platform]
table = "{platform}"
vms = "{platform}"
[control]
heartbeat = "100ms"
stop_lag = "500ms"
lease_term = "2s"
close_wait = "10s"
"#,
        seeds.join(", "),
        resolve::secret_digest(TOKEN)
    );
    Settings::parse(&text, "demo settings")
}
