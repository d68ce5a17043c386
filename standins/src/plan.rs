//! What a cluster consists of, and its declaration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A hall with its instances.
#[derive(Clone, Debug)]
pub struct HallPlan {
    /// Hall name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Number of entry instances.
    pub instances: usize,
}

/// A service with the same targets in every hall.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Service name; its path is `/NAME`.
    pub name: String,
    /// Targets in each hall.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Mean time for one request.
    pub time: Duration,
    /// TOML lines of the service besides name and path.
    pub lines: String,
}

/// A whole cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Halls.
    pub halls: Vec<HallPlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// One-way delay between regions.
    pub far: Duration,
    /// One-way delay between halls of a region.
    pub near: Duration,
    /// Policies and anything else, in TOML.
    pub extra: String,
    /// Lines for the end of every settings file.
    pub settings: String,
    /// Whether daemons write decision lines.
    pub decisions: bool,
    /// Calls to the key-value service a second of each instance; the daemon's own choice
    /// where absent.
    pub rate: Option<f64>,
    /// Whether settings name all peers, for starts without the platform.
    pub seeds: bool,
    /// Whether connections between instances and to the platform go over
    /// wires that can be cut.
    pub wires: bool,
}

/// TOML lines of a service that may be repeated and is ranked by latency.
pub const SAFE: &str = "repeat = \"safe\"\nobjective = \"latency\"\ntimeout = \"2s\"\n";
/// TOML lines of a service that may not be repeated and is ranked by headroom.
pub const NEVER: &str = "repeat = \"never\"\nobjective = \"headroom\"\ntimeout = \"3s\"\n";

impl Plan {
    /// Two regions of two halls each, with one instance in each hall.
    pub fn small() -> Self {
        Self::halls(2, 2, 1)
    }

    /// `regions` regions of `halls` halls of `instances` instances.
    pub fn halls(regions: usize, halls: usize, instances: usize) -> Self {
        let mut plan = Self {
            halls: Vec::new(),
            services: Vec::new(),
            far: Duration::from_millis(12),
            near: Duration::from_millis(1),
            extra: String::new(),
            settings: "[lookup]\nttl = \"1s\"\nkey_ttl = \"5s\"\n[stop]\nlinger = \"2s\"\n".into(),
            decisions: false,
            rate: None,
            seeds: false,
            wires: false,
        };
        for r in 0..regions {
            for h in 0..halls {
                let (name, region) = (format!("r{r}-h{h}"), format!("r{r}"));
                plan.halls.push(HallPlan { name, region, instances });
            }
        }
        plan
    }

    /// Adds a service.
    pub fn service(mut self, name: &str, targets: usize, slots: u32, time: Duration, lines: &str) -> Self {
        self.services.push(ServicePlan { name: name.into(), targets, slots, time, lines: lines.into() });
        self
    }

    /// Adds TOML to the declaration.
    pub fn extra(mut self, text: &str) -> Self {
        self.extra.push_str(text);
        self
    }

    /// Sends connections over wires that can be cut.
    pub fn wired(mut self) -> Self {
        self.wires = true;
        self
    }

    /// Has daemons write decision lines.
    pub fn logged(mut self) -> Self {
        self.decisions = true;
        self
    }

    /// The IP of an instance, in a cluster numbered `net`.
    pub fn instance_ip(net: u8, hall: usize, instance: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, net, hall as u8 + 1, instance as u8 + 10))
    }

    /// The IP of a hall's targets.
    pub fn target_ip(net: u8, hall: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, net, hall as u8 + 1, 200))
    }

    /// The IP of the platform.
    pub fn platform_ip(net: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, net, 0, 1))
    }

    /// The name of a target.
    pub fn target_name(service: &str, hall: &str, number: usize) -> String {
        format!("{service}-{hall}-{number}")
    }

    /// The declaration, with the address of each target by its name.
    pub fn declaration(&self, address: impl Fn(&str) -> SocketAddr) -> String {
        let mut text = String::new();
        let mut regions: Vec<&str> = self.halls.iter().map(|h| h.region.as_str()).collect();
        regions.dedup();
        for region in &regions {
            text.push_str(&format!("[[region]]\nname = \"{region}\"\n"));
            text.push_str(&self.links(region, &regions));
        }
        for hall in &self.halls {
            text.push_str(&format!("[[hall]]\nname = \"{}\"\nregion = \"{}\"\n", hall.name, hall.region));
        }
        for (i, region) in regions.iter().enumerate() {
            let block = format!("127.{}.0.0/16", 240 + i);
            text.push_str(&format!(
                "[[caller]]\nname = \"callers-{region}\"\nregion = \"{region}\"\ndelay = \"3ms\"\nblocks = [\"{block}\"]\n"
            ));
        }
        for service in &self.services {
            text.push_str(&self.service_text(service, &address));
        }
        text.push_str(&self.extra);
        text
    }

    fn links(&self, region: &str, regions: &[&str]) -> String {
        let mut text = format!(
            "[[link]]\nname = \"within-{region}\"\nfrom = \"{region}\"\nto = \"{region}\"\ndelay = \"{:?}\"\n",
            self.near
        );
        for other in regions.iter().filter(|o| **o > region) {
            text.push_str(&format!(
                "[[link]]\nname = \"{region}-{other}\"\nfrom = \"{region}\"\nto = \"{other}\"\ndelay = \"{:?}\"\n",
                self.far
            ));
        }
        text
    }

    fn service_text(&self, service: &ServicePlan, address: &impl Fn(&str) -> SocketAddr) -> String {
        let name = &service.name;
        let mut text = format!("[[service]]\nname = \"{name}\"\npaths = [\"/{name}\"]\n{}", service.lines);
        for hall in &self.halls {
            for number in 0..service.targets {
                let target = Self::target_name(name, &hall.name, number);
                text.push_str(&format!(
                    "[[target]]\nname = \"{target}\"\nservice = \"{name}\"\nhall = \"{}\"\naddress = \"{}\"\nslots = {}\nconnections = 130\n",
                    hall.name,
                    address(&target),
                    service.slots
                ));
            }
        }
        text
    }
}
