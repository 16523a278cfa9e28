//! Runs one stand-in as a separate process.

use std::net::SocketAddr;

use bpaf::Bpaf;
use protocol::order::{Role, Wanted};
use standin::{batch::Speed, engine, platform, service};

/// Small stand-ins for the systems around wrenramp, for trying it out.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A language-model engine.
    #[bpaf(command)]
    Engine {
        /// Where to listen.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Role at start: prefill, decode or mixed.
        #[bpaf(argument("ROLE"), fallback(Role::Mixed))]
        role: Role,
        /// Refuse orders with a stale fencing number.
        fences: bool,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Where to listen.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// The platform: table service and VM list.
    #[bpaf(command)]
    Platform {
        /// Where to listen.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
}

/// Serves until the process is killed.
#[tokio::main]
async fn main() -> std::io::Result<()> {
    match command().run() {
        Command::Engine {
            listen,
            role,
            fences,
        } => {
            let holds = Wanted {
                role,
                ..Wanted::default()
            };
            let setup = engine::Setup {
                speed: Speed::default(),
                fences,
                holds,
            };
            let running = engine::Engine::start(listen, setup).await?;
            serve_forever(running.address()).await
        }
        Command::Service { listen } => {
            let running = service::Service::start(listen).await?;
            serve_forever(running.address()).await
        }
        Command::Platform { listen } => {
            let running = platform::Platform::start(listen).await?;
            serve_forever(running.address()).await
        }
    }
}

async fn serve_forever(address: SocketAddr) -> std::io::Result<()> {
    println!("listening on {address}");
    std::future::pending().await
}
