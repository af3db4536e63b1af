#include "membership_simulation.h"

#include "control/greeting.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

const char *const DOCUMENT =
	"{\"site\":\"s\",\"attempts\":5,\"classes\":{},\"services\":"
	"{\"s0\":{\"calls\":[\"s1\",\"s2\"]},\"s1\":{\"calls\":[\"s2\"]},"
	"\"s2\":{}},\"routes\":{}}";

constexpr uint64_t CALL_TIMEOUT_MS = 1000;
constexpr uint64_t DELAY_MAX_MS = 3000;
constexpr int SYNC_MAX_MS = 50;

template <typename T> std::shared_ptr<T> make_message(xdrproc_t xdr_routine)
{
	return std::shared_ptr<T>(new T(), [xdr_routine](T *value) {
		xdr_free(xdr_routine, value);
		delete value;
	});
}

void endpoint_up(void *data, const char *service,
		 const ql_endpoint_info_t *info)
{
	SimulatedNode *node = (SimulatedNode *)data;

	node->endpoints[std::string(service) + " " + info->gate] =
		info->incarnation;
}

void endpoint_gone(void *data, const char *service, const char *gate)
{
	SimulatedNode *node = (SimulatedNode *)data;
	std::string key = std::string(service) + " " + gate;

	if (node->simulation->expected_endpoints(*node).count(key))
		node->simulation->wrongly_removed++;
	node->endpoints.erase(key);
}

void config_changed(void *data, ql_document_t *doc)
{
	SimulatedNode *node = (SimulatedNode *)data;

	if (doc->version < node->version)
		node->version_decreases++;
	node->version = doc->version;
}

void withdrawal_received(void *data, const ql_withdrawal_t *withdrawal)
{
	ql_withdrawal_merge(&((SimulatedNode *)data)->withdrawal, withdrawal);
}

void withdrawal_agreed(void *data)
{
	((SimulatedNode *)data)->agreements++;
}

const ql_member_ops_t OPS = {
	endpoint_up,	     endpoint_gone,	config_changed, nullptr,
	withdrawal_received, withdrawal_agreed, nullptr};

std::string domain_name(int domain)
{
	return "d" + std::to_string(domain);
}

} // namespace

MembershipSimulation::MembershipSimulation(uint32_t seed, int n_domains,
					   int per_domain, int n_nodes,
					   const ql_membership_rules_t *rules_)
    : n_registrars(per_domain), rules(rules_), rand(g_rand_new_with_seed(seed))
{
	int i;

	ql_config_state_init(&leader_config);
	submit_patch();
	for (i = 0; i < n_domains * per_domain; i++) {
		registrars.emplace_back(new SimulatedRegistrar());
		registrars[i]->simulation = this;
		registrars[i]->index = i;
		registrars[i]->domain = i / per_domain;
	}
	for (i = 0; i < n_nodes; i++) {
		nodes.emplace_back(new SimulatedNode());
		nodes[i]->simulation = this;
		nodes[i]->index = i;
		nodes[i]->domain = i % n_domains;
		nodes[i]->gate = "127.0.0.1:" + std::to_string(1000 + i);
		nodes[i]->service = "s" + std::to_string(i % SERVICES);
	}
}

MembershipSimulation::~MembershipSimulation()
{
	for (auto &node : nodes)
		stop_node(*node);
	for (auto &registrar : registrars)
		stop_registrar(*registrar);
	ql_config_state_finish(&leader_config);
	g_rand_free(rand);
}

int MembershipSimulation::random(int below)
{
	return g_rand_int_range(rand, 0, below);
}

void MembershipSimulation::submit_patch()
{
	ql_patch_t next = {};
	ql_patch_answer_t answer;
	std::string text =
		leader_config.doc->version
			? "{\"attempts\":" + std::to_string(6 + patches % 90) +
				  "}"
			: DOCUMENT;

	g_snprintf(next.id, sizeof(next.id), "p%d", (int)patches++);
	next.base_version = leader_config.doc->version;
	next.text = text.c_str();
	next.length = text.size();
	ql_config_state_apply(&leader_config, &next, &answer);
	ASSERT_EQ(0, answer.status) << answer.detail;
}

void MembershipSimulation::schedule(uint64_t time_ms,
				    std::function<void()> action)
{
	events.push({time_ms, order++, std::move(action)});
}

void MembershipSimulation::run(uint64_t duration_ms)
{
	uint64_t end_ms = now_ms + duration_ms;

	while (!events.empty() && events.top().time_ms <= end_ms) {
		Event event = events.top();

		events.pop();
		now_ms = event.time_ms;
		event.action();
	}
	now_ms = end_ms;
}

/* Loses the message, or delivers it once or twice after a random delay. */
void MembershipSimulation::send(std::function<void()> action)
{
	int copies = random(100) < faults.duplicate_percent ? 2 : 1;

	if (random(100) < faults.loss_percent)
		return;
	while (copies--)
		schedule(now_ms + 1 +
				 (uint64_t)random(
					 random(100) < faults.delay_percent
						 ? (int)DELAY_MAX_MS
						 : 20),
			 action);
}

bool MembershipSimulation::is_reachable(int domain, int other) const
{
	return domain == other ||
	       (!cut_domains.count(domain) && !cut_domains.count(other));
}

std::set<std::string>
MembershipSimulation::expected_endpoints(const SimulatedNode &node) const
{
	std::set<std::string> out;

	for (auto &other : nodes)
		if (other->is_running && !other->is_leaving && !other->is_cut &&
		    !node.is_cut && is_reachable(node.domain, other->domain))
			out.insert(other->service + " " + other->gate);
	return out;
}

std::set<std::string>
MembershipSimulation::known_endpoints(const SimulatedNode &node) const
{
	std::set<std::string> out;

	for (auto &entry : node.endpoints)
		out.insert(entry.first);
	return out;
}

int MembershipSimulation::registrar_index(const SimulatedNode &node,
					  int slot) const
{
	return node.domain * n_registrars + slot;
}

void MembershipSimulation::stop_node(SimulatedNode &node)
{
	if (!node.is_running)
		return;
	node.is_running = false;
	node.generation++;
	node.stopped_ms = now_ms;
	node.endpoints.clear();
	ql_member_finish(&node.member);
}

void MembershipSimulation::kill_node(int index)
{
	stop_node(*nodes[index]);
}

void MembershipSimulation::drain_node(int index)
{
	SimulatedNode &node = *nodes[index];
	uint64_t generation = node.generation;

	if (!node.is_running || node.is_leaving)
		return;
	node.is_leaving = true;
	node.stopped_ms = now_ms;
	ql_member_leave(&node.member);
	renew(index, generation);
	schedule(now_ms + 1500, [this, index, generation] {
		if (nodes[index]->generation == generation)
			stop_node(*nodes[index]);
	});
}

void MembershipSimulation::start_node(int index)
{
	SimulatedNode &node = *nodes[index];
	ql_member_opts_t opts = {};
	int slot;

	if (node.is_running)
		return;
	strcpy(opts.cluster, "c");
	g_snprintf(opts.node, sizeof(opts.node), "n%d", index);
	g_strlcpy(opts.failure_domain, domain_name(node.domain).c_str(),
		  sizeof(opts.failure_domain));
	opts.incarnation = ++node.incarnation;
	opts.started_ms = now_ms;
	opts.n_registrars = (size_t)n_registrars;
	for (slot = 0; slot < n_registrars; slot++)
		g_snprintf(opts.registrars[slot], QL_ADDRESS_MAX,
			   "127.0.0.1:%d", slot + 1);
	opts.renew_ms = RENEW_MS;
	opts.rules = rules;
	ql_member_init(&node.member, &opts, &OPS, &node, rand);
	ql_member_track_withdrawals(&node.member, node.service.c_str(),
				    node.gate.c_str());
	node.withdrawal = {};
	node.agreements = 0;
	node.is_running = true;
	node.is_leaving = false;
	node.version = 0;
	node.generation++;
	renew(index, node.generation);
}

/* Sends the renewals that are due and wakes up for the next one. */
void MembershipSimulation::renew(int index, uint64_t generation)
{
	SimulatedNode &node = *nodes[index];
	uint32_t delay_ms;
	uint64_t turn;

	if (node.generation != generation || !node.is_running)
		return;
	turn = ++node.turn;
	while (!(delay_ms = ql_member_renewal_delay_ms(&node.member, now_ms)))
		send_lease(node,
			   ql_member_next_registrar(&node.member, now_ms));
	schedule(now_ms + delay_ms, [this, index, generation, turn] {
		if (nodes[index]->turn == turn)
			renew(index, generation);
	});
}

void MembershipSimulation::fail_lease(int index, uint64_t generation, int slot)
{
	SimulatedNode &caller = *nodes[index];

	if (caller.generation != generation)
		return;
	ql_member_lease_failed(&caller.member, slot, now_ms);
	renew(index, generation);
}

void MembershipSimulation::send_lease(SimulatedNode &node, int slot)
{
	auto args = make_message<ql_rpc_lease_args>(
		(xdrproc_t)xdr_ql_rpc_lease_args);
	auto is_done = std::make_shared<bool>(false);
	int index = node.index, target = registrar_index(node, slot);
	uint64_t generation = node.generation;
	ql_rpc_endpoint *endpoint =
		(ql_rpc_endpoint *)calloc(1, sizeof(ql_rpc_endpoint));

	endpoint->service = strdup(node.service.c_str());
	endpoint->gate = strdup(node.gate.c_str());
	endpoint->node = strdup(node.member.opts.node);
	endpoint->failure_domain = strdup(node.member.opts.failure_domain);
	endpoint->placement = strdup("");
	endpoint->incarnation = node.incarnation;
	endpoint->slots = 10;
	endpoint->connections = 10;
	endpoint->state = node.is_leaving ? QL_RPC_ENDPOINT_LEAVING
					  : QL_RPC_ENDPOINT_SERVING;
	args->endpoints.endpoints_len = 1;
	args->endpoints.endpoints_val = endpoint;
	args->leaving = node.is_leaving;
	ql_member_begin_renewal(&node.member, slot, now_ms);
	ql_member_fill_lease(&node.member, slot, args.get());
	renewals++;
	renewals_per_100_ms[now_ms / 100]++;
	schedule(now_ms + CALL_TIMEOUT_MS,
		 [this, index, generation, slot, is_done] {
			 if (!*is_done)
				 fail_lease(index, generation, slot);
			 *is_done = true;
		 });
	if (node.is_cut)
		return;
	send([this, index, generation, slot, target, args, is_done] {
		SimulatedRegistrar &registrar = *registrars[target];
		auto res = make_message<ql_rpc_lease_res>(
			(xdrproc_t)xdr_ql_rpc_lease_res);

		if (!registrar.is_running || frozen_registrars.count(target))
			return;
		ql_registrar_handle_lease(&registrar.registrar, args.get(),
					  res.get(), now_ms);
		save_withdrawals(registrar);
		send([this, index, generation, slot, res, is_done] {
			SimulatedNode &caller = *nodes[index];

			if (*is_done || caller.generation != generation ||
			    caller.is_cut)
				return;
			*is_done = true;
			ql_member_handle_lease_reply(&caller.member, slot,
						     res.get(), now_ms,
						     nullptr);
			send_offer(caller);
			renew(index, generation);
		});
	});
}

/* Sends the document to a registrar that has requested it. */
void MembershipSimulation::send_offer(SimulatedNode &node)
{
	auto args = make_message<ql_rpc_offer_args>(
		(xdrproc_t)xdr_ql_rpc_offer_args);
	int slot = ql_member_fill_offer(&node.member, args.get());
	int target = registrar_index(node, slot);

	if (slot < 0)
		return;
	send([this, target, args] {
		SimulatedRegistrar &registrar = *registrars[(size_t)target];

		if (registrar.is_running)
			ql_registrar_handle_offer(&registrar.registrar,
						  args.get(), now_ms, nullptr);
	});
}

/* Writes all withdrawals; what is written late is lost if it is killed. */
void MembershipSimulation::save_withdrawals(SimulatedRegistrar &registrar)
{
	uint64_t number = registrar.registrar.withdrawals_change_number;
	uint64_t generation = registrar.generation;
	std::vector<std::shared_ptr<GBytes>> written;
	GPtrArray *encoded;

	if (registrar.is_saving ||
	    !ql_registrar_has_unsaved_withdrawals(&registrar.registrar))
		return;
	encoded = ql_registrar_encode_withdrawals(&registrar.registrar, 0);
	for (guint i = 0; i < encoded->len; i++)
		written.emplace_back(g_bytes_ref((GBytes *)encoded->pdata[i]),
				     g_bytes_unref);
	g_ptr_array_unref(encoded);
	registrar.is_saving = true;
	schedule(now_ms + 1 + (uint64_t)random(SYNC_MAX_MS), [this, &registrar,
							      generation,
							      number, written] {
		if (registrar.generation != generation)
			return;
		registrar.is_saving = false;
		registrar.saved = written;
		ql_registrar_set_withdrawals_saved(&registrar.registrar,
						   number);
		save_withdrawals(registrar);
	});
}

void MembershipSimulation::restore_withdrawals(SimulatedRegistrar &registrar)
{
	registrar.is_saving = false;
	for (const auto &saved : registrar.saved)
		ql_registrar_restore_withdrawal(&registrar.registrar,
						saved.get(), now_ms);
}

void MembershipSimulation::stop_registrar(SimulatedRegistrar &registrar)
{
	if (!registrar.is_running)
		return;
	registrar.is_running = false;
	registrar.generation++;
	ql_registrar_finish(&registrar.registrar);
	ql_config_state_finish(&registrar.config);
}

void MembershipSimulation::kill_registrar(int index)
{
	stop_registrar(*registrars[index]);
}

void MembershipSimulation::start_registrar(int index)
{
	SimulatedRegistrar &registrar = *registrars[index];
	ql_registrar_opts_t opts = {};
	size_t i;

	if (registrar.is_running)
		return;
	strcpy(opts.cluster, "c");
	g_strlcpy(opts.failure_domain, domain_name(registrar.domain).c_str(),
		  sizeof(opts.failure_domain));
	opts.incarnation = now_ms * 100 + (uint64_t)index;
	opts.started_ms = now_ms;
	opts.lease_ms = LEASE_MS;
	opts.rules = rules;
	opts.saves_withdrawals = true;
	ql_config_state_init(&registrar.config);
	ql_registrar_init(&registrar.registrar, &opts, &registrar.config);
	restore_withdrawals(registrar);
	registrar.peer_indexes.clear();
	for (i = 0; i < registrars.size(); i++)
		if ((int)i != index)
			registrar.peer_indexes.push_back((int)i);
	ql_exchange_init(&registrar.exchange, &registrar.registrar, "r",
			 registrar.peer_indexes.size(), rand);
	registrar.is_running = true;
	registrar.generation++;
	tick(index, registrar.generation);
	exchange(index, registrar.generation);
}

/* Runs a tick and fetches the committed changes from domain 0. */
void MembershipSimulation::tick(int index, uint64_t generation)
{
	SimulatedRegistrar &registrar = *registrars[index];
	GList *link;

	if (registrar.generation != generation || !registrar.is_running)
		return;
	if (frozen_registrars.count(index)) {
		schedule(now_ms + 100, [this, index, generation] {
			tick(index, generation);
		});
		return;
	}
	ql_registrar_tick(&registrar.registrar, now_ms);
	save_withdrawals(registrar);
	if (now_ms % 500 < 100 && is_reachable(registrar.domain, 0)) {
		ql_registrar_record_replica_answer(&registrar.registrar,
						   now_ms);
		link = ql_config_state_changes_since(
			&leader_config, registrar.config.doc->version);
		for (; link; link = link->next)
			ql_config_state_apply_changes(
				&registrar.config,
				(ql_config_change_t *)link->data, 1, nullptr);
	}
	schedule(now_ms + 100,
		 [this, index, generation] { tick(index, generation); });
}

void MembershipSimulation::exchange(int index, uint64_t generation)
{
	SimulatedRegistrar &registrar = *registrars[index];
	auto args = make_message<ql_rpc_exchange_args>(
		(xdrproc_t)xdr_ql_rpc_exchange_args);
	auto is_done = std::make_shared<bool>(false);
	uint64_t delay_ms;
	int peer, other;

	if (registrar.generation != generation || !registrar.is_running)
		return;
	peer = ql_exchange_next_peer(&registrar.exchange, now_ms, &delay_ms);
	if (peer < 0) {
		schedule(now_ms + MIN(delay_ms, 100),
			 [this, index, generation] {
				 exchange(index, generation);
			 });
		return;
	}
	other = registrar.peer_indexes[(size_t)peer];
	ql_exchange_fill_request(&registrar.exchange, (size_t)peer, args.get());
	schedule(now_ms + CALL_TIMEOUT_MS / 2, [this, index, generation, peer,
						is_done] {
		SimulatedRegistrar &caller = *registrars[index];

		if (*is_done || caller.generation != generation)
			return;
		*is_done = true;
		ql_exchange_failed(&caller.exchange, (size_t)peer, now_ms);
		exchange(index, generation);
	});
	if (!is_reachable(registrar.domain, registrars[(size_t)other]->domain))
		return;
	send([this, index, generation, peer, other, args, is_done] {
		SimulatedRegistrar &callee = *registrars[(size_t)other];
		auto res = make_message<ql_rpc_exchange_res>(
			(xdrproc_t)xdr_ql_rpc_exchange_res);

		if (!callee.is_running)
			return;
		ql_exchange_handle_request(&callee.registrar, args.get(),
					   res.get(), now_ms);
		send([this, index, generation, peer, res, is_done] {
			SimulatedRegistrar &caller = *registrars[index];

			if (*is_done || caller.generation != generation)
				return;
			*is_done = true;
			ql_exchange_handle_reply(&caller.exchange, (size_t)peer,
						 res.get(), now_ms, nullptr);
			exchange(index, generation);
		});
	});
}
