#ifndef QL_TESTS_POLICY_TREE_WORLD_H
#define QL_TESTS_POLICY_TREE_WORLD_H

#include "quetzalloft/clock.h"
#include "quetzalloft/gate.h"
#include "quetzalloft/route_admission.h"

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

/*
 * First nodes that refuse early, and the gates of one narrow service that every
 * request calls ten times, one call behind the other. Virtual time.
 */
class TreeWorld
{
      public:
	static constexpr uint64_t kMs = QL_US_PER_MS;
	static constexpr int kNodes = 13;
	static constexpr int kCalls = 10;
	static constexpr uint32_t kSlots = 41;
	static constexpr double kServiceMs = 15;
	/* Work of the request outside the narrow service, and the ways. */
	static constexpr uint64_t kOtherUs = 150 * kMs;
	static constexpr uint64_t kHopUs = 2 * kMs;
	static constexpr uint64_t kTargetUs = 1500 * kMs;
	static constexpr uint64_t kTimeoutUs = 6000 * kMs;
	static constexpr uint64_t kCallTimeoutUs = 700 * kMs;

	struct Class {
		uint32_t shed_order;
		double per_s;
		uint64_t offered = 0;
		uint64_t refused = 0;
		uint64_t failed = 0;
		uint64_t in_time = 0;
	};

	TreeWorld(int gates, std::vector<Class> classes,
		  double guaranteed_share)
	    : guaranteed_share_(guaranteed_share), classes_(std::move(classes)),
	      nodes_(classes_.size())
	{
		const ql_gate_opts_t opts = {
			&ql_limiter_headroom, kSlots, 1024, 300 * kMs,
			&ql_queue_fifo,	      1,      8};

		for (int i = 0; i < gates; i++) {
			gates_.push_back(std::make_unique<Gate>());
			ql_gate_init(&gates_.back()->gate, &opts);
		}
		for (auto &admissions : nodes_)
			for (auto &admission : admissions)
				ql_route_admission_init(&admission);
		for (size_t i = 0; i < classes_.size(); i++)
			Arrive(i);
	}

	~TreeWorld()
	{
		for (auto &gate : gates_)
			ql_gate_finish(&gate->gate);
		g_rand_free(random_);
	}

	void Run(double seconds)
	{
		uint64_t end_us = now_us_ + (uint64_t)(seconds * QL_US_PER_S);

		while (!events_.empty() && events_.begin()->first <= end_us) {
			auto event = std::move(events_.begin()->second);

			now_us_ = events_.begin()->first;
			events_.erase(events_.begin());
			event();
		}
		now_us_ = end_us;
	}

	/* Forgets what was counted, and remembers the use of the slots. */
	void Count()
	{
		for (auto &c : classes_)
			c = Class{c.shed_order, c.per_s};
		for (auto &gate : gates_)
			ql_gate_read_usage(&gate->gate, &gate->from, now_us_);
	}

	double Busy()
	{
		ql_gate_usage_t to;
		double sum = 0;

		for (auto &gate : gates_) {
			ql_gate_read_usage(&gate->gate, &to, now_us_);
			sum += ql_gate_usage_utilization(&gate->from, &to,
							 kSlots);
		}
		return sum / (double)gates_.size();
	}

	const Class &Get(size_t index) const
	{
		return classes_[index];
	}

	/* Which part of its requests a class had answered in time. */
	double Served(size_t index) const
	{
		return (double)classes_[index].in_time /
		       (double)classes_[index].offered;
	}

      private:
	struct Tree {
		size_t index;
		int node;
		uint64_t begun_us;
		bool guaranteed = false;
		int calls_left = kCalls;
		ql_pressure_t pressure = {};
	};

	struct Gate {
		ql_gate_t gate;
		ql_gate_usage_t from;
		std::map<ql_handle_t, std::shared_ptr<Tree>> calls;
		uint64_t armed_us = UINT64_MAX;
	};

	void At(uint64_t delay_us, std::function<void()> event)
	{
		events_.emplace(now_us_ + delay_us, std::move(event));
	}

	double Exponential(double mean)
	{
		return -mean * log(1 - g_rand_double(random_));
	}

	void Arrive(size_t index)
	{
		double gap_s = Exponential(1 / classes_[index].per_s);

		At((uint64_t)(gap_s * QL_US_PER_S), [this, index] {
			Begin(index);
			Arrive(index);
		});
	}

	ql_route_admission_t *Admission(const Tree &tree)
	{
		return &nodes_[tree.index][tree.node];
	}

	void Begin(size_t index)
	{
		auto tree = std::make_shared<Tree>();

		tree->index = index;
		tree->node = g_rand_int_range(random_, 0, kNodes);
		tree->begun_us = now_us_;
		classes_[index].offered++;
		const ql_admission_offer_t offer = {guaranteed_share_,
						    kTargetUs / kMs, random_,
						    now_us_};
		ql_admission_decision_t decision =
			ql_route_admission_offer(Admission(*tree), &offer);

		tree->guaranteed = decision.guaranteed;
		if (decision.refuse)
			classes_[index].refused++;
		else
			At(kOtherUs, [this, tree] { Call(tree); });
	}

	Gate *Pick()
	{
		size_t n = gates_.size();
		Gate *a = gates_[g_rand_int(random_) % n].get();
		Gate *b = gates_[g_rand_int(random_) % n].get();

		return Load(*a) <= Load(*b) ? a : b;
	}

	static uint32_t Load(const Gate &gate)
	{
		return gate.gate.in_progress +
		       ql_gate_queue_length(&gate.gate.queue);
	}

	void Call(const std::shared_ptr<Tree> &tree)
	{
		Gate *gate = Pick();
		const ql_gate_request_t request = {
			classes_[tree->guaranteed ? 0 : tree->index].shed_order,
			true,
			MIN(now_us_ + kCallTimeoutUs,
			    tree->begun_us + kTimeoutUs)};
		ql_gate_decision_t decision =
			ql_gate_offer(&gate->gate, &request, now_us_);

		if (decision.verdict == QL_GATE_REFUSE) {
			Fail(tree);
			return;
		}
		gate->calls[decision.ticket] = tree;
		if (decision.verdict == QL_GATE_ADMIT)
			Serve(gate, decision.ticket, 0);
		else
			waits_[gate][decision.ticket] = now_us_;
		Pump(gate);
	}

	void Serve(Gate *gate, ql_handle_t ticket, uint64_t waited_us)
	{
		auto tree = gate->calls[ticket];
		double pressure =
			ql_service_times_pressure(&gate->gate.times, waited_us);
		uint64_t service_us = (uint64_t)(Exponential(kServiceMs) * kMs);

		At(service_us, [this, gate, ticket, tree, pressure] {
			ql_gate_finish_request(&gate->gate, ticket,
					       QL_GATE_SERVED, now_us_);
			gate->calls.erase(ticket);
			Answered(tree, pressure);
			Pump(gate);
		});
	}

	void Pump(Gate *gate)
	{
		ql_gate_decision_t decision;
		uint64_t since_us;

		while (ql_gate_next_decision(&gate->gate, &decision, now_us_)) {
			since_us = waits_[gate][decision.ticket];
			waits_[gate].erase(decision.ticket);
			if (decision.verdict == QL_GATE_ADMIT) {
				Serve(gate, decision.ticket,
				      now_us_ - since_us);
				continue;
			}
			Fail(gate->calls[decision.ticket]);
			gate->calls.erase(decision.ticket);
		}
		Arm(gate);
	}

	void Arm(Gate *gate)
	{
		uint64_t next_us = ql_gate_next_wakeup_us(&gate->gate);

		if (next_us >= gate->armed_us || next_us == UINT64_MAX)
			return;
		gate->armed_us = next_us;
		At(next_us > now_us_ ? next_us - now_us_ : 0, [this, gate] {
			gate->armed_us = UINT64_MAX;
			Pump(gate);
		});
	}

	void Answered(const std::shared_ptr<Tree> &tree, double pressure)
	{
		ql_pressure_add_call(&tree->pressure, pressure);
		if (--tree->calls_left)
			At(kHopUs, [this, tree] { Call(tree); });
		else
			At(kHopUs, [this, tree] { End(tree, true); });
	}

	/* The request has spent its work in vain. */
	void Fail(const std::shared_ptr<Tree> &tree)
	{
		ql_pressure_add_call(&tree->pressure, QL_PRESSURE_MAX);
		At(kHopUs, [this, tree] { End(tree, false); });
	}

	void End(const std::shared_ptr<Tree> &tree, bool whole)
	{
		uint64_t latency_us = now_us_ - tree->begun_us;
		double pressure = ql_pressure_get(&tree->pressure);

		if (latency_us > kTargetUs)
			pressure = MAX(pressure, 2.0);
		classes_[tree->index].failed += !whole;
		classes_[tree->index].in_time +=
			whole && latency_us <= kTargetUs;
		const ql_admission_answer_t answer = {tree->guaranteed,
						      pressure, latency_us,
						      kTimeoutUs / kMs,
						      now_us_};

		ql_route_admission_record_answer(Admission(*tree), &answer);
		ql_route_admission_end(Admission(*tree), tree->guaranteed,
				       whole && latency_us <= kTargetUs);
	}

	const double guaranteed_share_;
	std::vector<Class> classes_;
	std::vector<std::array<ql_route_admission_t, kNodes>> nodes_;
	std::vector<std::unique_ptr<Gate>> gates_;
	std::map<Gate *, std::map<ql_handle_t, uint64_t>> waits_;
	std::multimap<uint64_t, std::function<void()>> events_;
	GRand *random_ = g_rand_new_with_seed(1);
	uint64_t now_us_ = 60 * QL_US_PER_S;
};

#endif
