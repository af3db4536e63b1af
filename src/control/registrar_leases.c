#include "control/registrar_leases.h"
#include "quetzalloft/error.h"

#include <string.h>

/*
 * How long a lease that was created for a record of another registrar lasts,
 * in lease durations: the time that the node has to renew it here.
 */
#define PEER_LEASE_FACTOR 2u
/* Other registrars whose last contact is recorded. */
#define REGISTRAR_CONTACTS_MAX 64u

static void free_lease(void *data)
{
	ql_node_lease_t *lease = data;

	g_array_free(lease->records, TRUE);
	if (lease->interest)
		g_hash_table_destroy(lease->interest);
	g_free(lease);
}

void ql_registrar__leases_init(ql_registrar_t *registrar)
{
	registrar->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_lease);
	registrar->gates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	registrar->registrar_contacts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
}

void ql_registrar__leases_finish(ql_registrar_t *registrar)
{
	g_hash_table_destroy(registrar->nodes);
	g_hash_table_destroy(registrar->gates);
	g_hash_table_destroy(registrar->registrar_contacts);
}

static ql_node_lease_t *find_lease(const ql_registrar_t *registrar,
				   const char *name)
{
	return g_hash_table_lookup(registrar->nodes, name);
}

static ql_node_lease_t *add_lease(ql_registrar_t *registrar, const char *name)
{
	ql_node_lease_t *lease = find_lease(registrar, name);

	if (lease)
		return lease;
	lease = g_new0(ql_node_lease_t, 1);
	g_strlcpy(lease->name, name, sizeof(lease->name));
	lease->records = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
	lease->from_peer = true;
	g_hash_table_insert(registrar->nodes, lease->name, lease);
	return lease;
}

static bool is_live(const ql_node_lease_t *lease, uint64_t now_ms)
{
	return lease && !lease->from_peer && now_ms < lease->expires_ms;
}

/* Returns false when the gate belongs to another node with a live lease. */
static bool may_use_gate(const ql_registrar_t *registrar, const char *gate,
			 const char *node, uint64_t now_ms)
{
	const char *owner = g_hash_table_lookup(registrar->gates, gate);

	return !owner || !strcmp(owner, node) ||
	       !is_live(find_lease(registrar, owner), now_ms);
}

/*
 * Validates a renewal and whether the sender may renew the lease of the node
 * and of the endpoints in the request.
 */
static int check_request(const ql_registrar_t *registrar,
			 const ql_rpc_lease_args *args, uint64_t now_ms)
{
	const ql_rpc_greeting *greeting = &args->greeting;
	const ql_node_lease_t *lease = find_lease(registrar, greeting->node);
	const ql_rpc_endpoint *endpoint;
	u_int i;

	if (!ql_name_is_valid(greeting->node))
		return QL_E_INVALID;
	if (strcmp(greeting->failure_domain, registrar->opts.failure_domain) !=
	    0)
		return QL_E_DENIED;
	if (is_live(lease, now_ms) &&
	    greeting->incarnation < lease->incarnation)
		return QL_E_DENIED;
	if (lease && !lease->from_peer &&
	    greeting->incarnation == lease->incarnation &&
	    args->sequence <= lease->sequence)
		return QL_E_STALE;
	for (i = 0; i < args->endpoints.endpoints_len; i++) {
		endpoint = &args->endpoints.endpoints_val[i];
		if (ql_record_check(endpoint))
			return QL_E_INVALID;
		if (strcmp(endpoint->node, greeting->node) != 0 ||
		    strcmp(endpoint->failure_domain,
			   greeting->failure_domain) != 0 ||
		    !may_use_gate(registrar, endpoint->gate, greeting->node,
				  now_ms))
			return QL_E_DENIED;
	}
	return 0;
}

static bool has_new_description(const ql_record_t *record,
				const ql_rpc_endpoint *endpoint)
{
	return record->version.incarnation < endpoint->incarnation ||
	       record->slots != endpoint->slots ||
	       record->connections != endpoint->connections ||
	       record->holder != endpoint->holder ||
	       strcmp(record->node, endpoint->node) != 0;
}

/*
 * Returns whether a renewal contradicts a newer state or incarnation in the
 * record. Only a higher epoch may replace these.
 */
static bool is_conflict(const ql_record_t *record,
			const ql_rpc_endpoint *endpoint, uint64_t node_epoch)
{
	if (node_epoch > record->version.epoch ||
	    record->version.incarnation < endpoint->incarnation)
		return false;
	return record->version.state > endpoint->state ||
	       record->version.incarnation > endpoint->incarnation;
}

/* Returns the epoch that an endpoint is stored with. */
static uint64_t next_epoch(const ql_record_t *record,
			   const ql_rpc_endpoint *endpoint, uint64_t node_epoch)
{
	uint64_t epoch;

	if (!record)
		return MAX(node_epoch, 1);
	epoch = record->version.epoch;
	if (record->version.incarnation < endpoint->incarnation)
		return MAX(node_epoch, epoch + 1);
	if (record->version.state > endpoint->state ||
	    record->version.incarnation > endpoint->incarnation)
		return node_epoch;
	return has_new_description(record, endpoint)
		       ? MAX(node_epoch, epoch + 1)
		       : epoch;
}

/* Stores an endpoint of a renewal, or reports a conflict to the node. */
static void renew_record(ql_registrar_t *registrar,
			 const ql_rpc_endpoint *endpoint, uint64_t node_epoch,
			 ql_rpc_lease_res *res, uint64_t now_ms)
{
	const ql_record_t *record =
		ql_registrar__find_record(registrar, endpoint->service,
					  endpoint->gate);
	ql_rpc_endpoint next = *endpoint;

	if (record && is_conflict(record, endpoint, node_epoch)) {
		res->conflict = TRUE;
		res->epoch = MAX(res->epoch, record->version.epoch);
		return;
	}
	if (!next.holder)
		next.holder = registrar->opts.incarnation;
	next.epoch = next_epoch(record, &next, node_epoch);
	res->epoch = MAX(res->epoch, next.epoch);
	if (!record || has_new_description(record, &next) ||
	    record->version.state != endpoint->state ||
	    record->version.incarnation != endpoint->incarnation)
		ql_registrar__store_record(registrar, &next, now_ms);
}

static bool lists_record(const ql_rpc_lease_args *args,
			 const ql_record_t *record)
{
	const ql_rpc_endpoint *endpoint;
	u_int i;

	for (i = 0; i < args->endpoints.endpoints_len; i++) {
		endpoint = &args->endpoints.endpoints_val[i];
		if (!strcmp(endpoint->service, record->set->name) &&
		    !strcmp(endpoint->gate, record->gate))
			return true;
	}
	return false;
}

static void mark_gone(ql_registrar_t *registrar, ql_record_t *record,
		      uint64_t now_ms)
{
	ql_record_version_t gone = record->version;

	if (gone.state == QL_RPC_ENDPOINT_GONE)
		return;
	gone.state = QL_RPC_ENDPOINT_GONE;
	ql_registrar__set_version(registrar, record, &gone, now_ms);
}

/*
 * Marks the endpoints of a lease that the request does not list as gone, and
 * empties the list of its records.
 */
static void mark_unlisted_gone(ql_registrar_t *registrar,
			       ql_node_lease_t *lease,
			       const ql_rpc_lease_args *args, uint64_t now_ms)
{
	ql_record_t *record;
	guint i;

	for (i = 0; i < lease->records->len; i++) {
		record = ql_table_get(&registrar->records,
				      g_array_index(lease->records, ql_handle_t,
						    i));
		if (record && !strcmp(record->node, lease->name) &&
		    !lists_record(args, record))
			mark_gone(registrar, record, now_ms);
	}
	g_array_set_size(lease->records, 0);
}

/* Adds the record of an endpoint to a lease unless it is there already. */
static void attach_record(const ql_registrar_t *registrar,
			  ql_node_lease_t *lease, const char *service,
			  const char *gate)
{
	char key[QL_RECORD_KEY_MAX];
	ql_handle_t handle, attached;
	gpointer value;
	guint i;

	ql_record_key(key, service, gate);
	if (!g_hash_table_lookup_extended(registrar->by_key, key, NULL, &value))
		return;
	handle = GPOINTER_TO_UINT(value);
	for (i = 0; i < lease->records->len; i++) {
		attached = g_array_index(lease->records, ql_handle_t, i);
		if (attached == handle)
			return;
	}
	g_array_append_val(lease->records, handle);
}

static void assign_gate(ql_registrar_t *registrar, ql_node_lease_t *lease,
			const char *gate)
{
	if (!strcmp(lease->gate, gate))
		return;
	if (lease->gate[0])
		g_hash_table_remove(registrar->gates, lease->gate);
	g_strlcpy(lease->gate, gate, sizeof(lease->gate));
	g_hash_table_replace(registrar->gates, g_strdup(gate),
			     g_strdup(lease->name));
}

int ql_registrar__renew_lease(ql_registrar_t *registrar, ql_node_lease_t **out,
			      const ql_rpc_lease_args *args,
			      ql_rpc_lease_res *res, uint64_t now_ms)
{
	const ql_rpc_endpoint *endpoint;
	ql_node_lease_t *lease;
	u_int i;
	int ret;

	ret = check_request(registrar, args, now_ms);
	if (ret)
		return ret;
	lease = add_lease(registrar, args->greeting.node);
	lease->from_peer = false;
	lease->incarnation = args->greeting.incarnation;
	lease->renewed_ms = now_ms;
	lease->expires_ms = now_ms + registrar->opts.lease_ms;
	lease->config_version = args->config_version;
	lease->sequence = args->sequence;
	res->epoch = args->epoch;
	mark_unlisted_gone(registrar, lease, args, now_ms);
	for (i = 0; i < args->endpoints.endpoints_len; i++) {
		endpoint = &args->endpoints.endpoints_val[i];
		renew_record(registrar, endpoint, args->epoch, res, now_ms);
		attach_record(registrar, lease, endpoint->service,
			      endpoint->gate);
		assign_gate(registrar, lease, endpoint->gate);
	}
	*out = lease;
	return 0;
}

/*
 * Returns whether a record of another registrar reports an endpoint as gone
 * although its node has recently renewed its lease here. The other registrar
 * has lost contact with the node.
 */
static bool is_refuted(const ql_registrar_t *registrar,
		       const ql_record_t *record,
		       const ql_rpc_endpoint *endpoint, uint64_t now_ms)
{
	const ql_node_lease_t *lease = find_lease(registrar, endpoint->node);

	return record && record->version.state == QL_RPC_ENDPOINT_SERVING &&
	       endpoint->state == QL_RPC_ENDPOINT_GONE &&
	       is_live(lease, now_ms) &&
	       now_ms - lease->renewed_ms < registrar->opts.lease_ms / 2;
}

/*
 * Records a contact with a holder that had none with this registrar. It had one
 * with the registrar that sent the record.
 */
static void add_holder_contact(ql_registrar_t *registrar, uint64_t holder,
			       uint64_t now_ms)
{
	if (holder != registrar->opts.incarnation &&
	    !g_hash_table_lookup(registrar->registrar_contacts, &holder))
		ql_registrar__record_contact(registrar, holder, now_ms);
}

/* Gives the node of a record of another registrar time to renew here. */
static void add_peer_lease(ql_registrar_t *registrar,
			   const ql_rpc_endpoint *endpoint, uint64_t now_ms)
{
	ql_node_lease_t *lease;

	if (endpoint->state == QL_RPC_ENDPOINT_GONE ||
	    strcmp(endpoint->failure_domain, registrar->opts.failure_domain) !=
		    0)
		return;
	add_holder_contact(registrar, endpoint->holder, now_ms);
	lease = add_lease(registrar, endpoint->node);
	if (lease->from_peer)
		lease->expires_ms =
			now_ms +
			(uint64_t)registrar->opts.lease_ms * PEER_LEASE_FACTOR;
	attach_record(registrar, lease, endpoint->service, endpoint->gate);
}

/*
 * Chooses the same holder at all registrars when two of them have stored
 * the same version. Otherwise each would leave the expiry to the other.
 */
static void adopt_higher_holder(ql_registrar_t *registrar, ql_record_t *record,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms)
{
	if (endpoint->holder <= record->holder)
		return;
	record->holder = endpoint->holder;
	add_peer_lease(registrar, endpoint, now_ms);
}

void ql_registrar__merge_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms)
{
	ql_record_version_t version = ql_record_version_of(endpoint);
	ql_record_t *record;
	int order;

	if (ql_record_check(endpoint)) {
		registrar->counts.malformed++;
		return;
	}
	record = ql_registrar__find_record(registrar, endpoint->service,
					   endpoint->gate);
	order = record ? registrar->opts.rules->compare(&version,
							&record->version)
		       : 1;
	if (!order)
		adopt_higher_holder(registrar, record, endpoint, now_ms);
	if (order <= 0)
		return;
	if (is_refuted(registrar, record, endpoint, now_ms)) {
		version.epoch++;
		version.state = QL_RPC_ENDPOINT_SERVING;
		record->holder = registrar->opts.incarnation;
		ql_registrar__set_version(registrar, record, &version, now_ms);
		registrar->counts.refuted++;
		return;
	}
	if (ql_registrar__store_record(registrar, endpoint, now_ms))
		add_peer_lease(registrar, endpoint, now_ms);
}

void ql_registrar__record_contact(ql_registrar_t *registrar, uint64_t holder,
				  uint64_t now_ms)
{
	if (g_hash_table_size(registrar->registrar_contacts) >=
	    REGISTRAR_CONTACTS_MAX)
		g_hash_table_remove_all(registrar->registrar_contacts);
	g_hash_table_replace(registrar->registrar_contacts,
			     g_memdup2(&holder, sizeof(holder)),
			     g_memdup2(&now_ms, sizeof(now_ms)));
}

/*
 * Returns how long the holder of the endpoints of a node counts as alive after
 * its last contact. The time is shorter at a registrar at which the node has
 * renewed recently: the node itself reports a new holder there, before the
 * other registrars receive it.
 */
static uint64_t holder_timeout_ms(const ql_registrar_t *registrar,
				  const ql_node_lease_t *lease, uint64_t now_ms)
{
	uint64_t lease_ms = registrar->opts.lease_ms;
	bool renewed_here =
		!lease->from_peer &&
		now_ms - lease->renewed_ms < PEER_LEASE_FACTOR * lease_ms;

	return renewed_here ? lease_ms : PEER_LEASE_FACTOR * lease_ms;
}

static bool has_live_holder_elsewhere(const ql_registrar_t *registrar,
				      const ql_node_lease_t *lease,
				      const ql_record_t *record,
				      uint64_t now_ms)
{
	const uint64_t *contact_ms;

	if (record->holder == registrar->opts.incarnation)
		return false;
	contact_ms = g_hash_table_lookup(registrar->registrar_contacts,
					 &record->holder);
	return contact_ms &&
	       now_ms - *contact_ms <
		       holder_timeout_ms(registrar, lease, now_ms);
}

/*
 * Marks the endpoints of an expired lease as gone, except those whose holder is
 * alive; returns whether there were none of those.
 */
static bool expire_endpoints(ql_registrar_t *registrar,
			     const ql_node_lease_t *lease, uint64_t now_ms)
{
	bool all_gone = true;
	ql_record_t *record;
	guint i;

	for (i = 0; i < lease->records->len; i++) {
		record = ql_table_get(&registrar->records,
				      g_array_index(lease->records, ql_handle_t,
						    i));
		if (!record || strcmp(record->node, lease->name) != 0 ||
		    record->version.state == QL_RPC_ENDPOINT_GONE)
			continue;
		if (has_live_holder_elsewhere(registrar, lease, record, now_ms))
			all_gone = false;
		else
			mark_gone(registrar, record, now_ms);
	}
	return all_gone;
}

void ql_registrar__extend_leases(ql_registrar_t *registrar, uint64_t by_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrar->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((ql_node_lease_t *)value)->expires_ms += by_ms;
}

void ql_registrar__expire_leases(ql_registrar_t *registrar, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrar->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_node_lease_t *lease = value;

		if (now_ms < lease->expires_ms ||
		    !expire_endpoints(registrar, lease, now_ms))
			continue;
		registrar->counts.expired++;
		if (lease->gate[0])
			g_hash_table_remove(registrar->gates, lease->gate);
		g_hash_table_iter_remove(&iter);
	}
}
