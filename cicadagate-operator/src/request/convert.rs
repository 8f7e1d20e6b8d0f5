/*!
Conversions between RPC messages and configuration types.
*/

use {
    super::Result,
    cicadagate_policy::version::config::{
        Backend, Change, Customer, Key, ModelVersion, Route, RouteKind,
    },
    cicadagate_wire::{
        key::encode_hex,
        rpc::{self, change::Change as RpcChange},
    },
    tonic::Status,
};

/// Converts requests per second to thousandths of a request per second.
///
/// # Errors
///
/// Returns an error if the rate is outside 0.001 to 1000000 requests per
/// second.
fn rate_milli(rate: f64) -> Result<u64> {
    let milli = (rate * 1000.0).round();
    if !(1.0..=1e9).contains(&milli) {
        return Err(Status::invalid_argument(
            "a rate is from 0.001 to 1000000 requests a second",
        ));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked above"
    )]
    let milli = milli as u64;
    Ok(milli)
}

/// Converts a change of an RPC to a change of the configuration.
///
/// # Errors
///
/// Returns an error if the change is invalid, or creates a key: that is done
/// by `OperatorApi::apply`, since the hash of a key needs the fleet key.
pub(super) fn change(change: RpcChange) -> Result<Change> {
    Ok(match change {
        RpcChange::PutCustomer(customer) => Change::PutCustomer(Customer {
            rate_milli: rate_milli(customer.rate)?,
            burst: customer.burst,
            name: customer.name,
        }),
        RpcChange::RemoveCustomer(name) => Change::RemoveCustomer(name),
        RpcChange::CreateKey(_) => {
            return Err(Status::internal("keys are made elsewhere"));
        }
        RpcChange::WithdrawKey(id) => Change::WithdrawKey(id),
        RpcChange::PutRoute(route) => Change::PutRoute(self::route(route)?),
        RpcChange::RemoveRoute(name) => Change::RemoveRoute(name),
        RpcChange::PutModelVersion(version) => Change::PutModelVersion(ModelVersion {
            deployment: version.deployment,
            version: version.version,
        }),
        RpcChange::Drain(drain) => Change::Drain(drain.endpoint),
        RpcChange::Undrain(endpoint) => Change::Undrain(endpoint),
    })
}

fn route(route: rpc::Route) -> Result<Route> {
    let kind = match route.kind() {
        rpc::RouteKind::Model => RouteKind::Model,
        rpc::RouteKind::Service => RouteKind::Service,
        rpc::RouteKind::Unspecified => {
            return Err(Status::invalid_argument(
                "a route needs a kind: model or service",
            ));
        }
    };
    let backends = route.backends.into_iter();
    let backends = backends
        .map(|backend| Backend {
            deployment: backend.deployment,
            weight: backend.weight,
        })
        .collect();
    Ok(Route {
        name: route.name,
        kind,
        backends,
        open: route.open,
        non_idempotent: route.non_idempotent,
    })
}

pub(super) fn rpc_customer(customer: &Customer) -> rpc::Customer {
    #[expect(clippy::cast_precision_loss, reason = "rates are below 2^52")]
    let rate = customer.rate_milli as f64 / 1000.0;
    rpc::Customer {
        name: customer.name.clone(),
        rate,
        burst: customer.burst,
    }
}

pub(super) fn rpc_key(key: &Key, withdrawn: bool) -> rpc::Key {
    rpc::Key {
        id: key.id.clone(),
        customer: key.customer.clone(),
        hash: encode_hex(&key.hash),
        withdrawn,
    }
}

pub(super) fn rpc_route(route: &Route) -> rpc::Route {
    let kind = match route.kind {
        RouteKind::Model => rpc::RouteKind::Model,
        RouteKind::Service => rpc::RouteKind::Service,
    };
    let backend = |backend: &Backend| rpc::Backend {
        deployment: backend.deployment.clone(),
        weight: backend.weight,
    };
    rpc::Route {
        name: route.name.clone(),
        kind: kind.into(),
        backends: route.backends.iter().map(backend).collect(),
        open: route.open,
        non_idempotent: route.non_idempotent,
    }
}
