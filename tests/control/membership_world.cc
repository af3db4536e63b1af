#include "membership_world.h"

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

constexpr uint64_t TIMEOUT_MS = 1000;
constexpr uint64_t LATE_MS = 3000;

template <typename T> std::shared_ptr<T> message(xdrproc_t free_it)
{
	return std::shared_ptr<T>(new T(), [free_it](T *value) {
		xdr_free(free_it, value);
		delete value;
	});
}

void endpoint_up(void *data, const char *service,
		 const ql_endpoint_info_t *info)
{
	Node *node = (Node *)data;

	node->view[std::string(service) + " " + info->gate] = info->incarnation;
}

void endpoint_gone(void *data, const char *service, const char *gate)
{
	Node *node = (Node *)data;
	std::string key = std::string(service) + " " + gate;

	if (node->world->serving_at(*node).count(key))
		node->world->wrongly_gone++;
	node->view.erase(key);
}

void config_changed(void *data, ql_document_t *doc)
{
	Node *node = (Node *)data;

	if (doc->version < node->version)
		node->fallen++;
	node->version = doc->version;
}

const ql_member_ops_t OPS = {endpoint_up, endpoint_gone, config_changed,
			     nullptr};

std::string domain_name(int domain)
{
	return "d" + std::to_string(domain);
}

} // namespace

World::World(uint32_t seed, int n_domains, int per_domain, int n_nodes,
	     const ql_membership_rules_t *rules_)
    : n_registrars(per_domain), rules(rules_), rand(g_rand_new_with_seed(seed))
{
	int i;

	ql_config_state_init(&source);
	patch();
	for (i = 0; i < n_domains * per_domain; i++) {
		registrars.emplace_back(new Registrar());
		registrars[i]->world = this;
		registrars[i]->index = i;
		registrars[i]->domain = i / per_domain;
	}
	for (i = 0; i < n_nodes; i++) {
		nodes.emplace_back(new Node());
		nodes[i]->world = this;
		nodes[i]->index = i;
		nodes[i]->domain = i % n_domains;
		nodes[i]->gate = "127.0.0.1:" + std::to_string(1000 + i);
		nodes[i]->service = "s" + std::to_string(i % SERVICES);
	}
}

World::~World()
{
	for (auto &node : nodes)
		stop_node(*node);
	for (auto &registrar : registrars)
		stop_registrar(*registrar);
	ql_config_state_finish(&source);
	g_rand_free(rand);
}

int World::random(int below)
{
	return g_rand_int_range(rand, 0, below);
}

void World::patch()
{
	ql_patch_t patch = {};
	ql_patch_answer_t answer;
	std::string text =
		source.doc->version
			? "{\"attempts\":" + std::to_string(6 + patches % 90) +
				  "}"
			: DOCUMENT;

	g_snprintf(patch.id, sizeof(patch.id), "p%d", (int)patches++);
	patch.base_version = source.doc->version;
	patch.text = text.c_str();
	patch.length = text.size();
	ql_config_state_apply(&source, &patch, &answer);
	ASSERT_EQ(0, answer.status) << answer.detail;
}

void World::at(uint64_t when, std::function<void()> act)
{
	events.push({when, order++, std::move(act)});
}

void World::run(uint64_t duration_ms)
{
	uint64_t end = now + duration_ms;

	while (!events.empty() && events.top().at <= end) {
		Event event = events.top();

		events.pop();
		now = event.at;
		event.act();
	}
	now = end;
}

/* One message: lost, or delivered once or twice, soon or late. */
void World::deliver(std::function<void()> act)
{
	int copies = random(100) < faults.repeated_percent ? 2 : 1;

	if (random(100) < faults.lost_percent)
		return;
	while (copies--)
		at(now + 1 +
			   (uint64_t)random(random(100) < faults.late_percent
						    ? (int)LATE_MS
						    : 20),
		   act);
}

bool World::reachable(int domain, int other) const
{
	return domain == other ||
	       (!cut_domains.count(domain) && !cut_domains.count(other));
}

std::set<std::string> World::serving_at(const Node &node) const
{
	std::set<std::string> out;

	for (auto &other : nodes)
		if (other->alive && !other->leaving && !other->cut &&
		    !node.cut && reachable(node.domain, other->domain))
			out.insert(other->service + " " + other->gate);
	return out;
}

std::set<std::string> World::seen_by(const Node &node) const
{
	std::set<std::string> out;

	for (auto &entry : node.view)
		out.insert(entry.first);
	return out;
}

int World::place_of(const Node &node, int slot) const
{
	return node.domain * n_registrars + slot;
}

void World::stop_node(Node &node)
{
	if (!node.alive)
		return;
	node.alive = false;
	node.life++;
	node.left_ms = now;
	node.view.clear();
	ql_member_finish(&node.member);
}

void World::kill_node(int index)
{
	stop_node(*nodes[index]);
}

void World::leave_node(int index)
{
	Node &node = *nodes[index];
	uint64_t life = node.life;
	int slot;

	if (!node.alive || node.leaving)
		return;
	node.leaving = true;
	node.left_ms = now;
	for (slot = 0; slot < n_registrars; slot++)
		send_lease(node, slot);
	at(now + 1500, [this, index, life] {
		if (nodes[index]->life == life)
			stop_node(*nodes[index]);
	});
}

void World::start_node(int index)
{
	Node &node = *nodes[index];
	ql_member_opts_t opts = {};
	int slot;

	if (node.alive)
		return;
	strcpy(opts.cluster, "c");
	g_snprintf(opts.node, sizeof(opts.node), "n%d", index);
	g_strlcpy(opts.failure_domain, domain_name(node.domain).c_str(),
		  sizeof(opts.failure_domain));
	opts.incarnation = ++node.incarnation;
	opts.started_ms = now;
	opts.n_registrars = (size_t)n_registrars;
	for (slot = 0; slot < n_registrars; slot++)
		g_snprintf(opts.registrars[slot], QL_ADDRESS_MAX,
			   "127.0.0.1:%d", slot + 1);
	opts.renew_ms = RENEW_MS;
	opts.rules = rules;
	ql_member_init(&node.member, &opts, &OPS, &node, rand);
	node.alive = true;
	node.leaving = false;
	node.version = 0;
	node.life++;
	renew(index, node.life);
}

void World::renew(int index, uint64_t life)
{
	Node &node = *nodes[index];
	int slot;

	if (node.life != life || !node.alive)
		return;
	slot = ql_member_next_registrar(&node.member, now);
	if (slot >= 0)
		send_lease(node, slot);
	else
		at(now + ql_member_renewal_delay_ms(&node.member, now),
		   [this, index, life] { renew(index, life); });
}

void World::send_lease(Node &node, int slot)
{
	auto args =
		message<ql_rpc_lease_args>((xdrproc_t)xdr_ql_rpc_lease_args);
	auto done = std::make_shared<bool>(false);
	int index = node.index, place = place_of(node, slot);
	uint64_t life = node.life;
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
	endpoint->state = node.leaving ? QL_RPC_ENDPOINT_LEAVING
				       : QL_RPC_ENDPOINT_SERVING;
	args->endpoints.endpoints_len = 1;
	args->endpoints.endpoints_val = endpoint;
	args->leaving = node.leaving;
	ql_member_fill_lease(&node.member, slot, args.get());
	renewals++;
	renewals_at[now / 100]++;
	at(now + TIMEOUT_MS, [this, index, life, slot, done] {
		Node &late = *nodes[index];

		if (*done || late.life != life)
			return;
		*done = true;
		ql_member_lease_failed(&late.member, slot, now);
		at(now + ql_member_renewal_delay_ms(&late.member, now),
		   [this, index, life] { renew(index, life); });
	});
	if (node.cut)
		return;
	deliver([this, index, life, slot, place, args, done] {
		Registrar &registrar = *registrars[place];
		auto res = message<ql_rpc_lease_res>(
			(xdrproc_t)xdr_ql_rpc_lease_res);

		if (!registrar.alive)
			return;
		ql_registrar_handle_lease(&registrar.registrar, args.get(),
					  res.get(), now);
		deliver([this, index, life, slot, res, done] {
			Node &asking = *nodes[index];

			if (*done || asking.life != life || asking.cut)
				return;
			*done = true;
			ql_member_handle_lease_reply(&asking.member, slot,
						     res.get(), now, nullptr);
			send_offer(asking);
			at(now + ql_member_renewal_delay_ms(&asking.member,
							    now),
			   [this, index, life] { renew(index, life); });
		});
	});
}

/* Gives the document to a registrar that asked for it. */
void World::send_offer(Node &node)
{
	auto args =
		message<ql_rpc_offer_args>((xdrproc_t)xdr_ql_rpc_offer_args);
	int slot = ql_member_fill_offer(&node.member, args.get());
	int place = place_of(node, slot);

	if (slot < 0)
		return;
	deliver([this, place, args] {
		Registrar &registrar = *registrars[(size_t)place];

		if (registrar.alive)
			ql_registrar_handle_offer(&registrar.registrar,
						  args.get(), now, nullptr);
	});
}

void World::stop_registrar(Registrar &registrar)
{
	if (!registrar.alive)
		return;
	registrar.alive = false;
	registrar.life++;
	ql_registrar_finish(&registrar.registrar);
	ql_config_state_finish(&registrar.config);
}

void World::kill_registrar(int index)
{
	stop_registrar(*registrars[index]);
}

void World::start_registrar(int index)
{
	Registrar &registrar = *registrars[index];
	ql_registrar_opts_t opts = {};
	size_t i;

	if (registrar.alive)
		return;
	strcpy(opts.cluster, "c");
	g_strlcpy(opts.failure_domain, domain_name(registrar.domain).c_str(),
		  sizeof(opts.failure_domain));
	opts.incarnation = now * 100 + (uint64_t)index;
	opts.started_ms = now;
	opts.lease_ms = LEASE_MS;
	opts.rules = rules;
	ql_config_state_init(&registrar.config);
	ql_registrar_init(&registrar.registrar, &opts, &registrar.config);
	registrar.peers.clear();
	for (i = 0; i < registrars.size(); i++)
		if ((int)i != index)
			registrar.peers.push_back((int)i);
	ql_exchange_init(&registrar.exchange, &registrar.registrar, "r",
			 registrar.peers.size(), rand);
	registrar.alive = true;
	registrar.life++;
	tick(index, registrar.life);
	exchange(index, registrar.life);
}

/* Ticks, and follows the source of the configuration in domain 0. */
void World::tick(int index, uint64_t life)
{
	Registrar &registrar = *registrars[index];
	GList *link;

	if (registrar.life != life || !registrar.alive)
		return;
	ql_registrar_tick(&registrar.registrar, now);
	if (now % 500 < 100 && reachable(registrar.domain, 0)) {
		ql_registrar_record_replica_answer(&registrar.registrar, now);
		link = ql_config_state_changes_since(
			&source, registrar.config.doc->version);
		for (; link; link = link->next)
			ql_config_state_apply_change(
				&registrar.config,
				(ql_config_change_t *)link->data, nullptr);
	}
	at(now + 100, [this, index, life] { tick(index, life); });
}

void World::exchange(int index, uint64_t life)
{
	Registrar &registrar = *registrars[index];
	auto args = message<ql_rpc_exchange_args>(
		(xdrproc_t)xdr_ql_rpc_exchange_args);
	auto done = std::make_shared<bool>(false);
	uint64_t delay_ms;
	int peer, other;

	if (registrar.life != life || !registrar.alive)
		return;
	peer = ql_exchange_next_peer(&registrar.exchange, now, &delay_ms);
	if (peer < 0) {
		at(now + MIN(delay_ms, 100),
		   [this, index, life] { exchange(index, life); });
		return;
	}
	other = registrar.peers[(size_t)peer];
	ql_exchange_fill_request(&registrar.exchange, (size_t)peer, args.get());
	at(now + TIMEOUT_MS / 2, [this, index, life, peer, done] {
		Registrar &late = *registrars[index];

		if (*done || late.life != life)
			return;
		*done = true;
		ql_exchange_failed(&late.exchange, (size_t)peer, now);
		exchange(index, life);
	});
	if (!reachable(registrar.domain, registrars[(size_t)other]->domain))
		return;
	deliver([this, index, life, peer, other, args, done] {
		Registrar &answering = *registrars[(size_t)other];
		auto res = message<ql_rpc_exchange_res>(
			(xdrproc_t)xdr_ql_rpc_exchange_res);

		if (!answering.alive)
			return;
		ql_exchange_handle_request(&answering.registrar, args.get(),
					   res.get(), now);
		deliver([this, index, life, peer, res, done] {
			Registrar &asking = *registrars[index];

			if (*done || asking.life != life)
				return;
			*done = true;
			ql_exchange_handle_reply(&asking.exchange, (size_t)peer,
						 res.get(), now, nullptr);
			exchange(index, life);
		});
	});
}
