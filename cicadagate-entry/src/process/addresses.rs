/*!
Telling callers which entries to use.

There is no balancer: a caller keeps the answer for a while and connects
itself. It gets a few addresses, those of this entry's data centre first, in
an order that differs from answer to answer, so that callers spread.
*/

use {
    super::Entry,
    cicadagate_policy::{ids::hash64, process::membership::Role},
    serde_json::{Value, json},
};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 8;

impl Entry {
    /// Returns the addresses to use and how long to keep them.
    pub fn addresses(&self) -> Value {
        let mut entries = self.node.live(Role::Entry);
        let here = &self.node.settings.data_centre;
        let salt = cicadagate_node::clock::epoch_ms().to_le_bytes();
        entries.sort_by_key(|info| {
            let order = hash64(&[&salt, &info.id.raw().to_le_bytes()]);
            (info.data_centre != *here, order)
        });
        entries.truncate(MAX_ADDRESSES);
        let addresses: Vec<Value> = entries
            .iter()
            .map(|info| {
                json!({"base_url": format!("http://{}/v1", info.tcp), "data_centre": info.data_centre})
            })
            .collect();
        // An entry that stops listens for twice this time.
        let keep_ms = self.node.settings.keep_address_ms / 2;
        json!({"object": "list", "data": addresses, "keep_ms": keep_ms})
    }
}
