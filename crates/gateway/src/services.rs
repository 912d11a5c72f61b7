//! Which service a server belongs to, and which one an RPC asks for, where a deployment has more than one: a server tells
//! it by the first part of its name, an RPC by its class. `docs/membership-size-design.md` weighs what else there is.

use serde_json::Value;
use std::collections::BTreeMap;

/// The services that this gateway is asked for; none where the deployment tells none.
#[derive(Clone, Debug, Default)]
pub struct Services {
    /// What ends the service's part of a server's name.
    separator: Option<char>,
    /// Numbers from 1, by name; 0 is the one service of a deployment that tells none.
    numbers: BTreeMap<Box<str>, u32>,
    /// The service of each class, in the order of the settings.
    of_classes: Vec<u32>,
}

/// What is known of a server's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// RPCs here ask for it, by this number.
    Requested(u32),
    /// No class here asks for it.
    NotRequested,
    /// The server's name tells none.
    Unspecified,
}

/// A service that this process is not asked for.
const UNKNOWN: u32 = u32::MAX;

impl Services {
    /// Reads the configuration's key `services`, with the classes that the settings have.
    pub fn read(told: &Value, classes: &[String]) -> Result<Services, String> {
        if told.is_null() {
            return Ok(Services::default());
        }
        let keys = told.as_object().ok_or("'services' is no object")?;
        if let Some(unknown) = keys.keys().find(|key| !["separator", "classes"].contains(&key.as_str())) {
            return Err(format!("'services' knows no '{unknown}'"));
        }
        let separator = told["separator"].as_str().unwrap_or("/");
        let mut letters = separator.chars();
        let (Some(separator), None) = (letters.next(), letters.next()) else {
            return Err(format!("'services.separator' is not one character: {separator:?}"));
        };
        let named = told["classes"].as_object().ok_or("'services.classes' is missing")?;
        if let Some(unknown) = named.keys().find(|class| !classes.contains(class)) {
            return Err(format!("'services.classes' names a class that the settings lack: {unknown:?}"));
        }
        let service_of = |class: &String| {
            let service = named.get(class);
            let service = service.ok_or(format!("'services.classes' names no service for {class:?}"))?;
            let name = service.as_str().filter(|name| !name.is_empty() && !name.contains(separator));
            name.ok_or(format!("'services.classes.{class}' is no name of a service: {service}"))
        };
        let names: Vec<&str> = classes.iter().map(service_of).collect::<Result<_, _>>()?;
        let mut numbers: BTreeMap<Box<str>, u32> = names.iter().map(|name| ((*name).into(), 0)).collect();
        numbers.values_mut().zip(1..).for_each(|(number, next)| *number = next);
        let of_classes = names.iter().map(|name| numbers[*name]).collect();
        Ok(Services { separator: Some(separator), numbers, of_classes })
    }

    /// The service of a server with this name.
    pub fn of_server(&self, name: &str) -> Service {
        let Some(separator) = self.separator else { return Service::Requested(0) };
        match name.split_once(separator) {
            None | Some(("", _)) => Service::Unspecified,
            Some((service, _)) => {
                self.numbers.get(service).map_or(Service::NotRequested, |number| Service::Requested(*number))
            }
        }
    }

    /// The service that RPCs of this class ask for.
    pub fn of_class(&self, class: u16) -> u32 {
        match self.separator {
            None => 0,
            Some(_) => self.of_classes.get(usize::from(class)).copied().unwrap_or(UNKNOWN),
        }
    }

    /// The classes of another version of the configuration, under the numbers that services have in this one. A service
    /// that no class asked for before has none: its servers are not held before the next start.
    pub fn with_classes_of(&self, other: &Services) -> Services {
        let names: BTreeMap<u32, &str> =
            other.numbers.iter().map(|(name, number)| (*number, &**name)).collect();
        let number = |theirs: &u32| names.get(theirs).and_then(|name| self.numbers.get(*name)).copied();
        let of_classes = other.of_classes.iter().map(|theirs| number(theirs).unwrap_or(UNKNOWN)).collect();
        Services { of_classes, ..self.clone() }
    }
}
