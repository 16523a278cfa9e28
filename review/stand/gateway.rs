//! Gateways: the project's daemon as a process, started with the command of the deploy file.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use super::base::{Connection, Record, sleep_ms};

/// The processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and this process after a time.
pub fn end_all_after(time: Duration, record: &Record) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(time);
        record.line("could not run: it took too long");
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-9").arg(pid.to_string()).status();
        }
        record.write();
        std::process::exit(2);
    });
}

pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    file: PathBuf,
    child: Child,
}

/// Returns an address of this machine's loopback network with a free port.
fn free(ip: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind(format!("{ip}:0"))?.local_addr()
}

impl Gateway {
    /// Starts a gateway of a small deployment. `ip` is a loopback address.
    pub fn start(name: &str, ip: &str, store: SocketAddr) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let (callers, ready) = (free(ip).map_err(fail)?, free(ip).map_err(fail)?);
        let (metrics, peers) = (free(ip).map_err(fail)?, free(ip).map_err(fail)?);
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(fail)?;
        let file = folder.join("boot.toml");
        // the template of the deploy file with the figures of the site `atsca-campo`
        let text = format!(
            "[gateway]\nname = \"{name}\"\ndata_centre = \"sala-a\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             metrics = \"{metrics}\"\npeers = \"{peers}\"\nrestarted = false\nseeds = []\n\
             [store]\naddress = \"{store}\"\nwrites_per_second = 400\nreads_per_second = 2000\n\
             [bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfiguration_ms = 2000\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 56\nlease_ms = 3000\ntransit_ms = 120\n\
             [resources]\nthreads = 1\nmemory_mb = 260\ndescriptors = 4100\n"
        );
        std::fs::write(&file, text).map_err(fail)?;
        let child = spawn(&folder, &file)?;
        let gateway = Self {
            callers,
            ready,
            folder,
            file,
            child,
        };
        gateway.wait_until_ready()?;
        Ok(gateway)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory that the process uses now, in bytes.
    pub fn memory(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let pid = self.pid();
        RUNNING.lock().unwrap().retain(|other| *other != pid);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again, as the platform does with a process that has ended: `bootstrap` is false from then on.
    pub fn start_again(&mut self) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.file).map_err(|error| error.to_string())?;
        let text = text.replace("restarted = false", "restarted = true");
        std::fs::write(&self.file, text).map_err(|error| error.to_string())?;
        self.child = spawn(&self.folder, &self.file)?;
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.ready) {
                let mut connection = Connection::new(stream);
                connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                let answer = connection.read_response();
                if answer.is_some_and(|(answer, _)| answer.word(1) == "200") {
                    return Ok(());
                }
            }
            sleep_ms(50);
        }
        Err("the gateway did not become ready".to_owned())
    }
}

/// Starts the process with the command of the deploy file.
fn spawn(folder: &Path, file: &Path) -> Result<Child, String> {
    let fail = |error: std::io::Error| error.to_string();
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log"))
        .map_err(fail)?;
    let child = Command::new("target/release/wrenrampd")
        .arg("--gateway")
        .arg(file)
        .env("WRENRAMP_BOOT", file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().map_err(fail)?)
        .stderr(log)
        .spawn()
        .map_err(|error| format!("target/release/wrenrampd: {error}"))?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(child)
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
