//! Routes, keys, priorities and versions of a serving configuration.

use cicadagate_policy::{
    ids::CustomerId,
    version::serving::{
        CurrentConfig, Customer, Identity, RequestLimits, Route, RouteKind, ServingConfig, Target,
    },
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        is_open: false,
        is_resumable: false,
        due_ms: 0,
        give_up_ms: 0,
        max_waiting_tokens: 0,
    }
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        id: CustomerId::of(name),
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
    }
}

fn config(version: u64, routes: Vec<Route>, customers: Vec<Customer>) -> ServingConfig {
    ServingConfig::new(
        version,
        routes,
        Vec::new(),
        customers,
        RequestLimits::default(),
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("root", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("x", "a.example", "/x/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let config = config(1, routes, Vec::new());
    let cases = [
        ("a.example", "/x/y/z", Some("deep")),
        ("a.example", "/x/y", Some("x")),
        ("a.example:8405", "/x/1", Some("x")),
        ("a.example", "/", Some("root")),
        ("b.example", "/x/y/", None),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = config.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn a_split_follows_its_weights_and_keeps_a_request_at_its_target() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![
        Target {
            service: "nine".to_owned(),
            weight: 90,
        },
        Target {
            service: "one".to_owned(),
            weight: 10,
        },
    ];
    let to_one = (0..1_000)
        .filter(|n| {
            split
                .target(&format!("r{n}"))
                .is_some_and(|t| t.service == "one")
        })
        .count();
    assert!((60..140).contains(&to_one), "{to_one}");
    assert_eq!(split.target("r1"), split.target("r1"));
}

#[test]
fn a_key_identifies_its_customer_only_while_it_is_configured() {
    let config = config(1, Vec::new(), vec![customer("huka", &["k1", "k2"])]);
    assert!(matches!(config.identify(Some("k2")), Identity::Customer(c) if c.name == "huka"));
    assert!(matches!(config.identify(Some("k3")), Identity::Unknown));
    assert!(matches!(config.identify(None), Identity::Unknown));
    let without = self::config(2, Vec::new(), Vec::new());
    assert!(matches!(without.identify(None), Identity::NotNeeded));
}

#[test]
fn a_version_never_goes_back() {
    let mut current = CurrentConfig::default();
    assert_eq!(current.version(), None);
    assert!(current.replace_if_newer(config(7, Vec::new(), Vec::new())));
    assert!(!current.replace_if_newer(config(7, Vec::new(), Vec::new())));
    assert!(!current.replace_if_newer(config(3, Vec::new(), Vec::new())));
    assert_eq!(current.version(), Some(7));
    assert!(current.replace_if_newer(config(12, Vec::new(), Vec::new())));
    assert_eq!(current.version(), Some(12));
}

#[test]
fn only_what_may_run_twice_is_repeatable() {
    let cases = [
        (RouteKind::Idempotent, false, true),
        (RouteKind::NonIdempotent, true, false),
        (RouteKind::Streaming, false, false),
        (RouteKind::Streaming, true, true),
    ];
    for (kind, is_resumable, expected) in cases {
        let mut route = route("r", "h", "/");
        route.kind = kind;
        route.is_resumable = is_resumable;
        assert_eq!(route.is_repeatable(), expected, "{kind:?} {is_resumable}");
    }
}

#[test]
fn a_rank_compares_with_the_most_urgent_request_of_the_same_service() {
    let mut urgent = route("urgent", "h", "/u/");
    urgent.priority = 1;
    let mut less_urgent = route("patient", "h", "/p/");
    less_urgent.priority = 3;
    let mut alone = route("alone", "h", "/a/");
    alone.priority = 2;
    alone.targets[0].service = "other".to_owned();
    let routes = vec![urgent.clone(), less_urgent.clone(), alone.clone()];
    let config = self::config(1, routes.clone(), Vec::new());
    let ranks = [&urgent, &less_urgent, &alone].map(|route| config.relative_priority(route, None));
    assert_eq!(ranks, [0, 2, 0]);
    let (mut first, mut second) = (customer("a", &["k1"]), customer("b", &["k2"]));
    (first.priority, second.priority) = (Some(1), Some(2));
    let config = self::config(2, routes, vec![first.clone(), second.clone()]);
    assert_eq!(config.relative_priority(&less_urgent, Some(&first)), 0);
    assert_eq!(config.relative_priority(&urgent, Some(&second)), 1);
}

// Guards against a service of a split that is planned for though no request goes there, and
// one that is planned for twice.
#[test]
fn the_services_of_a_split_are_those_with_a_share() {
    let services = |shares: &[(&str, u32)]| {
        let mut split = route("split", "a.example", "/");
        split.targets = shares
            .iter()
            .map(|(service, weight)| Target {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect();
        let used: Vec<String> = split.services().map(str::to_owned).collect();
        for n in 0..100 {
            let service = split.service_of(&format!("r{n}"));
            assert!(
                service.is_none_or(|service| used.iter().any(|it| it == service)),
                "{shares:?}"
            );
        }
        used
    };
    assert_eq!(services(&[("a", 0), ("b", 1)]), ["b"]);
    assert_eq!(services(&[("a", 0), ("b", 0)]), ["a"]);
    assert_eq!(services(&[("a", 1), ("b", 2), ("a", 3)]), ["a", "b"]);
    assert!(services(&[]).is_empty());
}

// Guards against an item that waits for a service without replicas beside another one of its
// route, and one that leaves a service that has some.
#[test]
fn an_item_leaves_its_service_only_while_that_has_no_replica() {
    let mut split = route("split", "a.example", "/");
    split.targets = [("a", 1), ("b", 1), ("c", 1), ("gone", 0)]
        .map(|(service, weight)| Target {
            service: service.to_owned(),
            weight,
        })
        .to_vec();
    let (mut at_b, mut at_c) = (0, 0);
    for n in 0..300 {
        let item = format!("item-{n}");
        let own = split.service_of(&item);
        assert_eq!(split.service_with_replicas(&item, |_| true), own);
        assert_eq!(split.service_with_replicas(&item, |_| false), own);
        let only_gone = split.service_with_replicas(&item, |service| service == "gone");
        assert_eq!(only_gone, own, "a service without a share gets none");
        let without_a = split.service_with_replicas(&item, |service| service != "a");
        if own == Some("a") {
            at_b += u32::from(without_a == Some("b"));
            at_c += u32::from(without_a == Some("c"));
        } else {
            assert_eq!(without_a, own);
        }
    }
    assert!(at_b > 20 && at_c > 20, "{at_b}, {at_c}");
}
