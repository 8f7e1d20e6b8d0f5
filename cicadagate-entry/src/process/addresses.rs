/*!
The list of entry addresses that callers may use.

There is no load balancer: a caller keeps the list for a limited time and
connects to an entry directly. The list holds a few addresses, those of this
entry's data centre first, otherwise in an order that differs between
responses, so that callers spread over the entries.
*/

use {
    super::Entry,
    cicadagate_policy::{ids::hash64, process::membership::Role},
    serde_json::{Value, json},
};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 8;

impl Entry {
    /// Returns the addresses and how long a caller may keep them.
    pub fn addresses(&self) -> Value {
        let mut entries = self.node.live_members(Role::Entry);
        let here = &self.node.settings.data_centre;
        let salt = cicadagate_node::clock::unix_time_ms().to_le_bytes();
        entries.sort_by_key(|info| {
            let shuffled = hash64(&[&salt, &info.id.raw().to_le_bytes()]);
            (info.data_centre != *here, shuffled)
        });
        entries.truncate(MAX_ADDRESSES);
        let addresses: Vec<Value> = entries
            .iter()
            .map(|info| {
                json!({"base_url": format!("http://{}/v1", info.tcp), "data_centre": info.data_centre})
            })
            .collect();
        // A stopping entry keeps listening for twice this time.
        let keep_ms = self.node.settings.keep_address_ms / 2;
        json!({"object": "list", "data": addresses, "keep_ms": keep_ms})
    }
}
