#ifndef QL_TESTS_POLICY_CALL_TREE_SIMULATION_H
#define QL_TESTS_POLICY_CALL_TREE_SIMULATION_H

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
 * Simulation, in virtual time, of first nodes with route admission and of the
 * gates of one bottleneck service. Each request makes ten calls of the
 * bottleneck service, one after the other.
 */
class CallTreeSimulation
{
      public:
	static constexpr uint64_t kUsPerMs = QL_US_PER_MS;
	static constexpr int kFirstNodes = 13;
	static constexpr int kCallsPerRequest = 10;
	static constexpr uint32_t kSlotsPerGate = 41;
	static constexpr double kMeanServiceMs = 15;
	/* Time of a request before its first call, in other services. */
	static constexpr uint64_t kOtherWorkUs = 150 * kUsPerMs;
	/* Delay from the end of a call to the next call or to the response. */
	static constexpr uint64_t kHopDelayUs = 2 * kUsPerMs;
	static constexpr uint64_t kTargetLatencyUs = 1500 * kUsPerMs;
	static constexpr uint64_t kRequestTimeoutUs = 6000 * kUsPerMs;
	static constexpr uint64_t kCallTimeoutUs = 700 * kUsPerMs;

	struct Class {
		uint32_t shed_order;
		double rate_per_s;
		uint64_t offered = 0;
		uint64_t refused = 0;
		uint64_t failed = 0;
		uint64_t in_time = 0;
	};

	CallTreeSimulation(int gates, std::vector<Class> classes,
			   double guaranteed_share)
	    : guaranteed_share_(guaranteed_share), classes_(std::move(classes)),
	      admissions_(classes_.size())
	{
		const ql_gate_opts_t opts = {&ql_limiter_headroom,
					     kSlotsPerGate,
					     1024,
					     300 * kUsPerMs,
					     &ql_queue_fifo,
					     1,
					     8};

		for (int i = 0; i < gates; i++) {
			gates_.push_back(std::make_unique<Gate>());
			ql_gate_init(&gates_.back()->gate, &opts);
		}
		for (auto &admissions : admissions_)
			for (auto &admission : admissions)
				ql_route_admission_init(&admission);
		for (size_t i = 0; i < classes_.size(); i++)
			ScheduleArrival(i);
	}

	~CallTreeSimulation()
	{
		for (auto &gate : gates_)
			ql_gate_finish(&gate->gate);
		g_rand_free(random_);
	}

	void RunFor(double seconds)
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

	/* Resets the counts and stores the current usage of the gates. */
	void StartMeasurement()
	{
		for (auto &c : classes_)
			c = Class{c.shed_order, c.rate_per_s};
		for (auto &gate : gates_)
			ql_gate_read_usage(&gate->gate, &gate->usage_at_start,
					   now_us_);
	}

	double Utilization()
	{
		ql_gate_usage_t to;
		double sum = 0;

		for (auto &gate : gates_) {
			ql_gate_read_usage(&gate->gate, &to, now_us_);
			sum += ql_gate_usage_utilization(&gate->usage_at_start,
							 &to, kSlotsPerGate);
		}
		return sum / (double)gates_.size();
	}

	const Class &GetClass(size_t index) const
	{
		return classes_[index];
	}

	/* Fraction of the requests of a class that succeeded in time. */
	double ServedRatio(size_t index) const
	{
		return (double)classes_[index].in_time /
		       (double)classes_[index].offered;
	}

      private:
	struct Request {
		size_t index;
		int node;
		uint64_t received_us;
		bool guaranteed = false;
		int calls_remaining = kCallsPerRequest;
		ql_pressure_t pressure = {};
	};

	struct Gate {
		ql_gate_t gate;
		ql_gate_usage_t usage_at_start;
		std::map<ql_handle_t, std::shared_ptr<Request>> calls;
		uint64_t wakeup_us = UINT64_MAX;
	};

	void Schedule(uint64_t delay_us, std::function<void()> event)
	{
		events_.emplace(now_us_ + delay_us, std::move(event));
	}

	double DrawExponential(double mean)
	{
		return -mean * log(1 - g_rand_double(random_));
	}

	void ScheduleArrival(size_t index)
	{
		double interarrival_s =
			DrawExponential(1 / classes_[index].rate_per_s);

		Schedule((uint64_t)(interarrival_s * QL_US_PER_S),
			 [this, index] {
				 StartRequest(index);
				 ScheduleArrival(index);
			 });
	}

	ql_route_admission_t *AdmissionOf(const Request &request)
	{
		return &admissions_[request.index][request.node];
	}

	void StartRequest(size_t index)
	{
		auto request = std::make_shared<Request>();

		request->index = index;
		request->node = g_rand_int_range(random_, 0, kFirstNodes);
		request->received_us = now_us_;
		classes_[index].offered++;
		const ql_admission_offer_t offer = {guaranteed_share_,
						    kTargetLatencyUs / kUsPerMs,
						    random_, now_us_,
						    QL_THROTTLE_RANDOM};
		ql_admission_decision_t decision =
			ql_route_admission_offer(AdmissionOf(*request), &offer);

		request->guaranteed = decision.guaranteed;
		if (decision.refuse)
			classes_[index].refused++;
		else
			Schedule(kOtherWorkUs,
				 [this, request] { StartCall(request); });
	}

	Gate *ChooseGate()
	{
		size_t n = gates_.size();
		Gate *a = gates_[g_rand_int(random_) % n].get();
		Gate *b = gates_[g_rand_int(random_) % n].get();

		return LoadOf(*a) <= LoadOf(*b) ? a : b;
	}

	static uint32_t LoadOf(const Gate &gate)
	{
		return gate.gate.in_progress +
		       ql_gate_queue_length(&gate.gate.queue);
	}

	void StartCall(const std::shared_ptr<Request> &request)
	{
		Gate *gate = ChooseGate();
		const ql_gate_request_t gate_request = {
			classes_[request->guaranteed ? 0 : request->index]
				.shed_order,
			true,
			MIN(now_us_ + kCallTimeoutUs,
			    request->received_us + kRequestTimeoutUs)};
		ql_gate_decision_t decision =
			ql_gate_offer(&gate->gate, &gate_request, now_us_);

		if (decision.verdict == QL_GATE_REFUSE) {
			FailRequest(request);
			return;
		}
		gate->calls[decision.ticket] = request;
		if (decision.verdict == QL_GATE_ADMIT)
			StartService(gate, decision.ticket, 0);
		else
			queued_since_us_[gate][decision.ticket] = now_us_;
		ApplyDecisions(gate);
	}

	void StartService(Gate *gate, ql_handle_t ticket, uint64_t waited_us)
	{
		auto request = gate->calls[ticket];
		double pressure =
			ql_service_times_pressure(&gate->gate.times, waited_us);
		uint64_t service_us =
			(uint64_t)(DrawExponential(kMeanServiceMs) * kUsPerMs);

		Schedule(service_us, [this, gate, ticket, request, pressure] {
			ql_gate_finish_request(&gate->gate, ticket,
					       QL_GATE_SERVED, now_us_);
			gate->calls.erase(ticket);
			CompleteCall(request, pressure);
			ApplyDecisions(gate);
		});
	}

	void ApplyDecisions(Gate *gate)
	{
		ql_gate_decision_t decision;
		uint64_t queued_since_us;

		while (ql_gate_next_decision(&gate->gate, &decision, now_us_)) {
			queued_since_us =
				queued_since_us_[gate][decision.ticket];
			queued_since_us_[gate].erase(decision.ticket);
			if (decision.verdict == QL_GATE_ADMIT) {
				StartService(gate, decision.ticket,
					     now_us_ - queued_since_us);
				continue;
			}
			FailRequest(gate->calls[decision.ticket]);
			gate->calls.erase(decision.ticket);
		}
		ScheduleWakeup(gate);
	}

	void ScheduleWakeup(Gate *gate)
	{
		uint64_t next_us = ql_gate_next_wakeup_us(&gate->gate);

		if (next_us >= gate->wakeup_us || next_us == UINT64_MAX)
			return;
		gate->wakeup_us = next_us;
		Schedule(next_us > now_us_ ? next_us - now_us_ : 0,
			 [this, gate] {
				 gate->wakeup_us = UINT64_MAX;
				 ApplyDecisions(gate);
			 });
	}

	void CompleteCall(const std::shared_ptr<Request> &request,
			  double pressure)
	{
		ql_pressure_add_call(&request->pressure, pressure);
		if (--request->calls_remaining)
			Schedule(kHopDelayUs,
				 [this, request] { StartCall(request); });
		else
			Schedule(kHopDelayUs, [this, request] {
				CompleteRequest(request, true);
			});
	}

	/* A request that fails at a gate counts with the highest pressure. */
	void FailRequest(const std::shared_ptr<Request> &request)
	{
		ql_pressure_add_call(&request->pressure, QL_PRESSURE_MAX);
		Schedule(kHopDelayUs,
			 [this, request] { CompleteRequest(request, false); });
	}

	void CompleteRequest(const std::shared_ptr<Request> &request,
			     bool succeeded)
	{
		uint64_t latency_us = now_us_ - request->received_us;
		double pressure = ql_pressure_get(&request->pressure);

		if (latency_us > kTargetLatencyUs)
			pressure = MAX(pressure, 2.0);
		classes_[request->index].failed += !succeeded;
		classes_[request->index].in_time +=
			succeeded && latency_us <= kTargetLatencyUs;
		const ql_admission_answer_t answer = {request->guaranteed,
						      pressure, latency_us,
						      kRequestTimeoutUs /
							      kUsPerMs,
						      now_us_};

		ql_route_admission_record_answer(AdmissionOf(*request),
						 &answer);
		ql_route_admission_finish_request(
			AdmissionOf(*request), request->guaranteed,
			succeeded && latency_us <= kTargetLatencyUs);
	}

	const double guaranteed_share_;
	std::vector<Class> classes_;
	std::vector<std::array<ql_route_admission_t, kFirstNodes>> admissions_;
	std::vector<std::unique_ptr<Gate>> gates_;
	std::map<Gate *, std::map<ql_handle_t, uint64_t>> queued_since_us_;
	std::multimap<uint64_t, std::function<void()>> events_;
	GRand *random_ = g_rand_new_with_seed(1);
	uint64_t now_us_ = 60 * QL_US_PER_S;
};

#endif
