#ifndef QL_TESTS_MEMBERSHIP_SIMULATION_H
#define QL_TESTS_MEMBERSHIP_SIMULATION_H

/*
 * Simulates the members and registrars of some failure domains over a virtual
 * clock. Messages may be lost, duplicated, delayed and so reordered.
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

/* Probabilities of faults of a message, in percent. */
struct MessageFaults {
	int loss_percent = 0;
	int duplicate_percent = 0;
	int delay_percent = 0;
};

class MembershipSimulation;

/*
 * A node with one endpoint and its member. is_cut separates it from all
 * registrars. generation rises at each start and stop, so that events of an
 * earlier run are ignored; so are wake-ups of an earlier turn. endpoints has
 * the incarnation of each endpoint that the member has reported, by service and
 * gate. withdrawal is the latest one that the member has learnt in this run,
 * agreements how often it was agreed.
 */
struct SimulatedNode {
	MembershipSimulation *simulation;
	int index;
	int domain;
	bool is_running = false;
	bool is_leaving = false;
	bool is_cut = false;
	uint64_t incarnation = 0;
	uint64_t generation = 0;
	uint64_t turn = 0;
	uint64_t stopped_ms = 0;
	std::string gate, service;
	ql_member_t member;
	std::map<std::string, uint64_t> endpoints;
	uint64_t version = 0;
	int version_decreases = 0;
	ql_withdrawal_t withdrawal = {};
	int agreements = 0;
};

/*
 * A registrar and its exchange with all others. saved has the withdrawals on
 * its disk, which outlive it.
 */
struct SimulatedRegistrar {
	MembershipSimulation *simulation;
	int index;
	int domain;
	bool is_running = false;
	uint64_t generation = 0;
	ql_config_state_t config;
	ql_registrar_t registrar;
	ql_exchange_t exchange;
	std::vector<int> peer_indexes;
	bool is_saving = false;
	std::vector<std::shared_ptr<GBytes>> saved;
};

class MembershipSimulation
{
      public:
	MembershipSimulation(uint32_t seed, int n_domains, int n_registrars,
			     int n_nodes,
			     const ql_membership_rules_t *rules = nullptr);
	~MembershipSimulation();

	/* Runs the events of the next duration_ms. */
	void run(uint64_t duration_ms);
	void start_node(int index);
	void kill_node(int index);
	void drain_node(int index);
	void start_registrar(int index);
	void kill_registrar(int index);
	void submit_patch();
	bool is_reachable(int domain, int other) const;
	/* Endpoints that serve and are reachable from the node. */
	std::set<std::string>
	expected_endpoints(const SimulatedNode &node) const;
	/* Endpoints that the member of the node has reported. */
	std::set<std::string> known_endpoints(const SimulatedNode &node) const;
	int random(int below);

	uint64_t now_ms = 1000000;
	MessageFaults faults;
	std::set<int> cut_domains;
	/* Registrars that run, but neither answer nodes nor get anything. */
	std::set<int> frozen_registrars;
	std::vector<std::unique_ptr<SimulatedNode>> nodes;
	std::vector<std::unique_ptr<SimulatedRegistrar>> registrars;
	/* The committed configuration, in domain 0. */
	ql_config_state_t leader_config;
	/* Endpoints that a member removed although they were expected. */
	int wrongly_removed = 0;
	uint64_t renewals = 0;
	/* Renewals by the time in units of 100 ms. */
	std::map<uint64_t, int> renewals_per_100_ms;

      private:
	struct Event {
		uint64_t time_ms;
		uint64_t order;
		std::function<void()> action;
		bool operator<(const Event &other) const
		{
			return time_ms != other.time_ms
				       ? time_ms > other.time_ms
				       : order > other.order;
		}
	};

	void schedule(uint64_t time_ms, std::function<void()> action);
	/* Schedules an action as the delivery of a message. */
	void send(std::function<void()> action);
	void renew(int index, uint64_t generation);
	void send_lease(SimulatedNode &node, int registrar);
	void fail_lease(int index, uint64_t generation, int registrar);
	void send_offer(SimulatedNode &node);
	void tick(int index, uint64_t generation);
	void exchange(int index, uint64_t generation);
	void stop_node(SimulatedNode &node);
	void stop_registrar(SimulatedRegistrar &registrar);
	void save_withdrawals(SimulatedRegistrar &registrar);
	void restore_withdrawals(SimulatedRegistrar &registrar);
	int registrar_index(const SimulatedNode &node, int slot) const;

	int n_registrars;
	const ql_membership_rules_t *rules;
	GRand *rand;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	uint64_t patches = 0;
};

#endif
