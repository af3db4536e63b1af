#ifndef QL_TESTS_MEMBERSHIP_WORLD_H
#define QL_TESTS_MEMBERSHIP_WORLD_H

/*
 * Members and registrars of some failure domains over a virtual clock. Every
 * message may be lost, repeated, late, and so reordered.
 */

#include "control/exchange.h"
#include "quetzalloft/member.h"
#include "quetzalloft/registrar.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

constexpr uint64_t LEASE_MS = 3000;
constexpr uint64_t RENEW_MS = 500;
constexpr int SERVICES = 3;

struct Faults {
	int lost_percent = 0;
	int repeated_percent = 0;
	int late_percent = 0;
};

class World;

struct Node {
	World *world;
	int index;
	int domain;
	bool alive = false;
	bool leaving = false;
	bool cut = false;
	uint64_t incarnation = 0;
	uint64_t life = 0;
	uint64_t left_ms = 0;
	std::string gate, service;
	ql_member_t member;
	std::map<std::string, uint64_t> view;
	uint64_t version = 0;
	int fallen = 0;
};

struct Registrar {
	World *world;
	int index;
	int domain;
	bool alive = false;
	uint64_t life = 0;
	ql_config_state_t config;
	ql_registrar_t registrar;
	ql_exchange_t exchange;
	std::vector<int> peers;
};

class World
{
      public:
	World(uint32_t seed, int n_domains, int n_registrars, int n_nodes,
	      const ql_membership_rules_t *rules = nullptr);
	~World();

	void run(uint64_t duration_ms);
	void start_node(int index);
	void kill_node(int index);
	void leave_node(int index);
	void start_registrar(int index);
	void kill_registrar(int index);
	void patch();
	bool reachable(int domain, int other) const;
	/* Endpoints that serve and ought to be known at a node. */
	std::set<std::string> serving_at(const Node &node) const;
	std::set<std::string> seen_by(const Node &node) const;
	int random(int below);

	uint64_t now = 1000000;
	Faults faults;
	std::set<int> cut_domains;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Registrar>> registrars;
	ql_config_state_t source;
	/* Endpoints taken from a node although they serve and are reached. */
	int wrongly_gone = 0;
	uint64_t renewals = 0;
	std::map<uint64_t, int> renewals_at;

      private:
	struct Event {
		uint64_t at;
		uint64_t order;
		std::function<void()> act;
		bool operator<(const Event &other) const
		{
			return at != other.at ? at > other.at
					      : order > other.order;
		}
	};

	void at(uint64_t when, std::function<void()> act);
	void deliver(std::function<void()> act);
	void renew(int index, uint64_t life);
	void send_lease(Node &node, int registrar);
	void send_offer(Node &node);
	void tick(int index, uint64_t life);
	void exchange(int index, uint64_t life);
	void stop_node(Node &node);
	void stop_registrar(Registrar &registrar);
	int place_of(const Node &node, int slot) const;

	int n_registrars;
	const ql_membership_rules_t *rules;
	GRand *rand;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	uint64_t patches = 0;
};

#endif
