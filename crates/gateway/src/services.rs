//! Maps servers and RPCs to services, where a deployment has several: a server names its service in
//! the first part of its name, an RPC by its class. `docs/membership-size-design.md` compares the
//! alternatives.

use serde_json::Value;
use std::collections::BTreeMap;

/// The services that RPCs at this gateway request; empty if the deployment does not name any.
#[derive(Clone, Debug, Default)]
pub struct Services {
    /// The character that ends the service's name within a server's name.
    separator: Option<char>,
    /// Service numbers from 1, by name; 0 is the only service of a deployment that names none.
    numbers: BTreeMap<Box<str>, u32>,
    /// The service of each class, in the order of the settings.
    class_services: Vec<u32>,
}

/// The service of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// RPCs here request this service, by number.
    Requested(u32),
    /// No class here requests it.
    NotRequested,
    /// The server's name contains no service.
    Unspecified,
}

/// The number of a service that this process holds no servers of.
const UNKNOWN: u32 = u32::MAX;

impl Services {
    /// Reads the configuration's key `services`, for the classes of the settings.
    pub fn read(value: &Value, classes: &[String]) -> Result<Services, String> {
        if value.is_null() {
            return Ok(Services::default());
        }
        let keys = value.as_object().ok_or("'services' is not an object")?;
        if let Some(unknown) = keys.keys().find(|key| !["separator", "classes"].contains(&key.as_str())) {
            return Err(format!("'services' has an unknown key '{unknown}'"));
        }
        let separator = value["separator"].as_str().unwrap_or("/");
        let mut characters = separator.chars();
        let (Some(separator), None) = (characters.next(), characters.next()) else {
            return Err(format!("'services.separator' is not one character: {separator:?}"));
        };
        let class_names = value["classes"].as_object().ok_or("'services.classes' is missing")?;
        if let Some(unknown) = class_names.keys().find(|class| !classes.contains(class)) {
            return Err(format!("'services.classes' names a class that is not in the settings: {unknown:?}"));
        }
        let service_of = |class: &String| {
            let service = class_names.get(class);
            let service = service.ok_or(format!("'services.classes' names no service for {class:?}"))?;
            let name = service.as_str().filter(|name| !name.is_empty() && !name.contains(separator));
            name.ok_or(format!("'services.classes.{class}' is not a service name: {service}"))
        };
        let names: Vec<&str> = classes.iter().map(service_of).collect::<Result<_, _>>()?;
        let mut numbers: BTreeMap<Box<str>, u32> = names.iter().map(|name| ((*name).into(), 0)).collect();
        numbers.values_mut().zip(1..).for_each(|(number, next)| *number = next);
        let class_services = names.iter().map(|name| numbers[*name]).collect();
        Ok(Services { separator: Some(separator), numbers, class_services })
    }

    /// The service of the server with this name.
    pub fn of_server(&self, name: &str) -> Service {
        let Some(separator) = self.separator else { return Service::Requested(0) };
        match name.split_once(separator) {
            None | Some(("", _)) => Service::Unspecified,
            Some((service, _)) => {
                self.numbers.get(service).map_or(Service::NotRequested, |number| Service::Requested(*number))
            }
        }
    }

    /// The service that RPCs of this class request.
    pub fn of_class(&self, class: u16) -> u32 {
        match self.separator {
            None => 0,
            Some(_) => self.class_services.get(usize::from(class)).copied().unwrap_or(UNKNOWN),
        }
    }

    /// Takes the classes of another version of the configuration, with the service numbers of this
    /// one. A service that no class requested before stays unknown: its servers are not held until
    /// the next start.
    pub fn with_classes_of(&self, other: &Services) -> Services {
        let names: BTreeMap<u32, &str> =
            other.numbers.iter().map(|(name, number)| (*number, &**name)).collect();
        let number_here =
            |number_there: &u32| names.get(number_there).and_then(|name| self.numbers.get(*name)).copied();
        let class_services = other
            .class_services
            .iter()
            .map(|number_there| number_here(number_there).unwrap_or(UNKNOWN))
            .collect();
        Services { class_services, ..self.clone() }
    }
}
