/*!
A fleet of real processes on loopback.

The kernel chooses the ports: each process prints its bound addresses on
standard output. Dropping the fleet kills all of its processes, by their ids.
*/

mod process;
mod spec;

pub use spec::{EngineSpec, FleetSpec, ServiceSpec};

use {
    crate::load::http,
    process::Process,
    serde_json::{Value, json},
    snafu::{OptionExt, ResultExt, Snafu, ensure},
    std::{
        collections::BTreeMap,
        fs, io,
        net::SocketAddr,
        path::PathBuf,
        process::Command,
        time::{Duration, Instant},
    },
};

/// A result of this module.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// An error of a fleet.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A process could not be started or printed no addresses.
    #[snafu(display("{name}: {source}"))]
    Start {
        /// Name of the process.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// There is no process or address of this name.
    #[snafu(display("no such process or address: {name}"))]
    Unknown {
        /// Name of the process, or of the process and the kind of address.
        name: String,
    },
    /// A call of a stand-in, process or tool failed.
    #[snafu(display("{what}: {reason}"))]
    Call {
        /// What was called.
        what: String,
        /// What happened.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("condition not met in time: {what}"))]
    Timeout {
        /// The condition.
        what: String,
    },
}

/// The fleet key in all runs of the lab.
const FLEET_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Roles of an instance, in start order.
const ROLES: [&str; 4] = ["dispatch", "batch", "operator", "entry"];
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running fleet.
pub struct Fleet {
    spec: FleetSpec,
    dir: PathBuf,
    platform: SocketAddr,
    processes: BTreeMap<String, Process>,
    /// Where processes reach the log, if not at the platform itself.
    logs: BTreeMap<String, SocketAddr>,
    spawn_count: u32,
}

impl Fleet {
    /// Starts the stand-ins and all instances, and waits until the fleet is
    /// settled.
    ///
    /// # Errors
    ///
    /// Returns an error if a process could not be started or the fleet does not
    /// settle in time.
    pub async fn start(spec: FleetSpec) -> Result<Self> {
        let dir = spec.run_dir();
        fs::create_dir_all(&dir).context(StartSnafu {
            name: "run directory",
        })?;
        let mut fleet = Self {
            platform: SocketAddr::from(([127, 0, 0, 1], 0)),
            processes: BTreeMap::new(),
            logs: BTreeMap::new(),
            spawn_count: 0,
            dir,
            spec,
        };
        fleet.start_platform()?;
        for engine in fleet.spec.engines.clone() {
            fleet.start_engine(&engine).await?;
        }
        for service in fleet.spec.services.clone() {
            fleet.start_service(&service).await?;
        }
        for index in 0..fleet.spec.instances {
            fleet.start_instance(&format!("i{}", index + 1)).await?;
        }
        fleet.wait_settled().await?;
        Ok(fleet)
    }

    fn start_platform(&mut self) -> Result<()> {
        let args = vec![
            "platform".to_owned(),
            "--appends-per-sec".to_owned(),
            "500".to_owned(),
        ];
        self.spawn("platform", "cicadagate-standin", &args)?;
        self.platform = self.address("platform", "listen")?;
        Ok(())
    }

    /// Starts an engine and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if it could not be started.
    pub async fn start_engine(&mut self, engine: &EngineSpec) -> Result<()> {
        let mut args = vec!["engine".to_owned(), "--max-streams".to_owned()];
        args.push(engine.max_streams.to_string());
        args.extend(engine.args.iter().cloned());
        self.spawn(&engine.name, "cicadagate-standin", &args)?;
        let instance = json!({
            "id": engine.name,
            "kind": "engine",
            "data_centre": engine.data_centre,
            "state": "live",
            "address": self.address(&engine.name, "listen")?,
            "deployment": engine.deployment,
            "max_streams": engine.max_streams,
            "software_version": engine.software_version,
        });
        self.put_instance(&instance).await
    }

    async fn start_service(&mut self, service: &ServiceSpec) -> Result<()> {
        self.spawn(&service.name, "cicadagate-standin", &["service".to_owned()])?;
        let instance = json!({
            "id": service.name,
            "kind": "service",
            "data_centre": service.data_centre,
            "state": "live",
            "address": self.address(&service.name, "listen")?,
            "deployment": service.deployment,
        });
        self.put_instance(&instance).await
    }

    /// Starts all processes of an instance and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if a process could not be started.
    pub async fn start_instance(&mut self, instance: &str) -> Result<()> {
        for role in ROLES {
            self.start_role(instance, role)?;
        }
        self.put_node_instance(instance).await
    }

    /// Sets the address at which a process reaches the log from its next start on.
    pub fn set_log(&mut self, name: &str, addr: SocketAddr) {
        self.logs.insert(name.to_owned(), addr);
    }

    /// Starts one process of an instance again.
    ///
    /// # Errors
    ///
    /// Returns an error if it could not be started.
    pub async fn restart(&mut self, instance: &str, role: &str) -> Result<()> {
        self.start_role(instance, role)?;
        self.put_node_instance(instance).await
    }

    fn start_role(&mut self, instance: &str, role: &str) -> Result<()> {
        let name = format!("{instance}-{role}");
        let mut settings = json!({"node": {
            "instance": instance,
            "data_centre": self.spec.data_centre_of(instance),
            "listen": "127.0.0.1:0",
            "gossip": "127.0.0.1:0",
            "operations": "127.0.0.1:0",
            "log": self.logs.get(&name).unwrap_or(&self.platform),
            "instances": self.platform,
            "fleet_key": FLEET_KEY,
            "keep_address_ms": self.spec.keep_address_ms,
        }});
        let role_settings = match role {
            "entry" => &self.spec.entry,
            "dispatch" => &self.spec.dispatch,
            "batch" => &self.spec.batch,
            _ => &Value::Null,
        };
        if !role_settings.is_null() {
            settings[role] = role_settings.clone();
        }
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).context(StartSnafu { name: &name })?;
        let args = [path.display().to_string()];
        self.spawn(&name, &format!("cicadagate-{role}"), &args)
    }

    async fn put_node_instance(&self, instance: &str) -> Result<()> {
        let gossip: Vec<&Value> = ROLES
            .iter()
            .filter_map(|role| self.processes.get(&format!("{instance}-{role}")))
            .map(|process| &process.bound["gossip"])
            .collect();
        let entry = json!({
            "id": instance,
            "kind": "node",
            "data_centre": self.spec.data_centre_of(instance),
            "state": "live",
            "gossip": gossip,
        });
        self.put_instance(&entry).await
    }

    /// Adds an entry to the platform's instance list, or replaces it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond with status 200.
    pub async fn put_instance(&self, instance: &Value) -> Result<()> {
        http::post(self.platform, "/v1/instances", instance)
            .await
            .map(drop)
    }

    fn spawn(&mut self, name: &str, binary: &str, args: &[String]) -> Result<()> {
        self.spawn_count += 1;
        let log = self.dir.join(format!("{name}-{}.log", self.spawn_count));
        let process = Process::start(&self.spec.bin_dir.join(binary), args, &log);
        let process = process.context(StartSnafu { name })?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.processes.get_mut(name).context(UnknownSnafu { name })
    }

    /// Returns a bound address of a process: `listen`, `gossip` or
    /// `operations`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or address.
    pub fn address(&self, name: &str, which: &str) -> Result<SocketAddr> {
        let process = self.processes.get(name).context(UnknownSnafu { name })?;
        let addr = process.bound[which]
            .as_str()
            .and_then(|addr| addr.parse().ok());
        addr.context(UnknownSnafu {
            name: format!("{name} {which}"),
        })
    }

    /// Returns the id of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn pid(&self, name: &str) -> Result<u32> {
        self.processes
            .get(name)
            .map(Process::id)
            .context(UnknownSnafu { name })
    }

    /// Returns the address of the platform's stand-in.
    #[must_use]
    pub const fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Returns the names of the instances.
    #[must_use]
    pub fn instances(&self) -> Vec<String> {
        (1..=self.spec.instances)
            .map(|index| format!("i{index}"))
            .collect()
    }

    /// Returns the listen addresses of all running entries.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let names = self
            .instances()
            .into_iter()
            .map(|instance| format!("{instance}-entry"));
        names
            .filter_map(|name| self.address(&name, "listen").ok())
            .collect()
    }

    /// Kills a process with `SIGKILL`, without a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name)?.kill();
        self.processes.remove(name);
        Ok(())
    }

    /// Kills all processes of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them is not running.
    pub fn kill_instance(&mut self, instance: &str) -> Result<()> {
        for role in ROLES {
            self.kill(&format!("{instance}-{role}"))?;
        }
        Ok(())
    }

    /// Suspends a process with `SIGSTOP` until [`Fleet::thaw`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.process(name)?.freeze();
        Ok(())
    }

    /// Continues a suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn thaw(&mut self, name: &str) -> Result<()> {
        self.process(name)?.thaw();
        Ok(())
    }

    /// Sends `SIGTERM` to a process, which starts its graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.process(name)?.terminate();
        Ok(())
    }

    /// Waits until a process has ended and returns its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end in time.
    pub async fn wait_for_exit(&mut self, name: &str, limit: Duration) -> Result<Option<i32>> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process(name)?.exit_status() {
                self.processes.remove(name);
                return Ok(status.code());
            }
            ensure!(
                start.elapsed() < limit,
                TimeoutSnafu {
                    what: format!("{name} ends")
                }
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Shuts down every process of the instances gracefully and returns the
    /// exit codes; stand-ins keep running.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not end in time.
    pub async fn stop(&mut self) -> Result<Vec<Option<i32>>> {
        let names: Vec<String> = self
            .processes
            .keys()
            .filter(|name| ROLES.iter().any(|role| name.ends_with(&format!("-{role}"))))
            .cloned()
            .collect();
        for name in &names {
            self.terminate(name)?;
        }
        let mut codes = Vec::new();
        for name in names {
            codes.push(self.wait_for_exit(&name, Duration::from_mins(1)).await?);
        }
        Ok(codes)
    }

    /// Injects faults into the platform's stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond with status 200.
    pub async fn inject_platform_faults(&self, faults: &Value) -> Result<()> {
        http::post(self.platform, "/control/faults", faults)
            .await
            .map(drop)
    }

    /// Injects faults into an engine or service.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond with status 200.
    pub async fn inject_endpoint_faults(&self, name: &str, faults: &Value) -> Result<()> {
        let addr = self.address(name, "listen")?;
        http::post(addr, "/control/faults", faults).await.map(drop)
    }

    /// Returns the response of a stand-in or a process to a GET request.
    ///
    /// `which` names the bound address, such as `listen` or `operations`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn fetch(&self, name: &str, which: &str, path: &str) -> Result<Value> {
        http::get(self.address(name, which)?, path).await
    }

    /// Runs `cicadactl` against an instance's operator process and returns its
    /// output.
    ///
    /// # Errors
    ///
    /// Returns an error with its message if the exit code is not 0.
    pub fn ctl(&self, instance: &str, args: &[&str]) -> Result<Value> {
        let (code, out, err) = self.ctl_output(instance, args)?;
        let what = format!("cicadactl {}", args.join(" "));
        ensure!(
            code == 0,
            CallSnafu {
                what,
                reason: format!("exit code {code}: {err}")
            }
        );
        Ok(serde_json::from_str(&out).unwrap_or(Value::String(out)))
    }

    /// Runs `cicadactl` and returns exit code, standard output and standard
    /// error.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be run.
    pub fn ctl_output(&self, instance: &str, args: &[&str]) -> Result<(i32, String, String)> {
        let operator = self.address(&format!("{instance}-operator"), "listen")?;
        let output = Command::new(self.spec.bin_dir.join("cicadactl"))
            .args(["--json", "--operator", &operator.to_string()])
            .args(args)
            .output()
            .context(StartSnafu { name: "cicadactl" })?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().unwrap_or(-1);
        Ok((code, text(&output.stdout), text(&output.stderr)))
    }

    /// Creates a customer with an API key and returns the key.
    ///
    /// # Errors
    ///
    /// Returns an error if `cicadactl` fails.
    pub fn add_customer(&self, name: &str, rate: f64, burst: u32) -> Result<String> {
        let (rate, burst) = (rate.to_string(), burst.to_string());
        self.ctl(
            "i1",
            &["put-customer", name, "--rate", &rate, "--burst", &burst],
        )?;
        let key = self.ctl("i1", &["create-key", name, "--id", &format!("{name}-key")])?;
        Ok(key["secret"].as_str().unwrap_or_default().to_owned())
    }

    /// Publishes a model's route to one deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if `cicadactl` fails.
    pub fn add_model(&self, model: &str, deployment: &str) -> Result<()> {
        let backend = format!("{deployment}=1");
        let args = ["put-route", model, "--kind", "model", "--backend", &backend];
        self.ctl("i1", &args).map(drop)
    }

    /// Publishes a service's route to one deployment; its calls are not
    /// idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if `cicadactl` fails.
    pub fn add_service(&self, path: &str, deployment: &str) -> Result<()> {
        let backend = format!("{deployment}=1");
        let args = [
            "put-route",
            path,
            "--kind",
            "service",
            "--backend",
            &backend,
        ];
        self.ctl("i1", &[&args[..], &["--non-idempotent"]].concat())
            .map(drop)
    }

    /// Waits until the latest configuration version is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not in force everywhere in time.
    pub fn wait_in_force(&self) -> Result<()> {
        let list = self.ctl("i1", &["list"])?;
        let version = list["version"].as_u64().unwrap_or(0).to_string();
        self.ctl("i1", &["wait", &version, "--timeout-ms", "30000"])?;
        Ok(())
    }

    /// Waits until every process has a settled roster and contact, and every
    /// entry has all other processes as members.
    async fn wait_settled(&self) -> Result<()> {
        let instances = self.instances();
        let roles: Vec<(String, &str)> = instances
            .iter()
            .flat_map(|instance| ROLES.map(|role| (instance.clone(), role)))
            .collect();
        for (instance, role) in roles {
            let name = format!("{instance}-{role}");
            self.wait(
                &format!("{name} is settled"),
                Duration::from_mins(1),
                async || {
                    let page = self.fetch(&name, "operations", "/ready").await;
                    page.is_ok_and(|page| page["settled"] == true && page["contact"] == true)
                },
            )
            .await?;
        }
        let members = self.spec.instances * ROLES.len() - 1;
        for instance in &instances {
            let name = format!("{instance}-entry");
            self.wait(
                &format!("{name} has all members"),
                Duration::from_mins(1),
                async || {
                    let page = self.fetch(&name, "operations", "/ready").await;
                    page.is_ok_and(|page| page["members"].as_u64() == Some(members as u64))
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Waits until a condition is met.
    ///
    /// # Errors
    ///
    /// Returns an error that names the condition if it is not met in time.
    pub async fn wait(
        &self,
        what: &str,
        limit: Duration,
        mut is_met: impl AsyncFnMut() -> bool,
    ) -> Result<()> {
        let start = Instant::now();
        while !is_met().await {
            ensure!(start.elapsed() < limit, TimeoutSnafu { what });
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}
