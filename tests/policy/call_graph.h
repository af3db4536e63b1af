#ifndef QL_TESTS_POLICY_CALL_GRAPH_H
#define QL_TESTS_POLICY_CALL_GRAPH_H

/*
 * Simulates client requests on random call graphs, in which attempts and
 * answers are lost and callees report false numbers of unused attempts.
 */

#include "quetzalloft/allowance.h"

#include <memory>
#include <vector>

namespace call_graph
{

constexpr uint32_t kAttemptsPerCallMax = 3;
/* Number of unused attempts in a false report; larger than any allowance. */
constexpr uint32_t kFalseUnused = 1000000;

/*
 * loss: probability that scales all losses and refusals; false_reports:
 * probability of a false report; parallel: a service makes all calls at once;
 * keep_reserve: keep the attempts that pending calls need; extra_attempts:
 * allowance above the attempts that a request without failures needs.
 */
struct Options {
	uint32_t seed = 0;
	uint32_t fan_out = 4;
	uint32_t depth = QL_CALL_DEPTH_MAX;
	double loss = 0.2;
	double false_reports = 0;
	bool parallel = true;
	bool keep_reserve = true;
	uint32_t extra_attempts = 0;
};

class Request
{
      public:
	explicit Request(const Options &options)
	    : options_(options), random_(g_rand_new_with_seed(options.seed))
	{
		BuildGraph();
		allowance_size = doc_.services[0].subtree_attempts +
				 options.extra_attempts;
	}

	~Request()
	{
		g_rand_free(random_);
	}

	/*
	 * The node that receives the client request calls the first service.
	 * Returns whether the request succeeds.
	 */
	bool Run()
	{
		ql_allowance_t client;

		ql_allowance_init(&client, allowance_size);
		return Call(&client, 0, 0, 0);
	}

	uint32_t allowance_size;
	uint32_t attempts = 0;
	bool allowance_exhausted = false;

      private:
	double RandomUnit()
	{
		return g_rand_double(random_);
	}

	/* Builds layers of services; each calls some of the next layer. */
	void BuildGraph()
	{
		constexpr uint32_t kWidth = 4;
		uint32_t depth = g_rand_int_range(random_, 2,
						  (gint32)options_.depth + 1);

		services_.resize((depth - 1) * kWidth + 1);
		doc_.services = services_.data();
		doc_.n_services = services_.size();
		for (uint32_t layer = depth; layer-- > 0;)
			for (uint32_t i = 0; i < (layer ? kWidth : 1); i++)
				BuildService(layer, i, depth, kWidth);
	}

	void BuildService(uint32_t layer, uint32_t i, uint32_t depth,
			  uint32_t width)
	{
		uint32_t index = layer ? (layer - 1) * width + 1 + i : 0;
		ql_service_t &service = services_[index];
		uint32_t first = layer * width + 1;
		uint32_t n_calls =
			layer + 1 < depth
				? g_rand_int_range(random_, 1,
						   (gint32)options_.fan_out + 1)
				: 0;

		service.subtree_attempts = 1;
		for (uint32_t c = 0; c < n_calls; c++) {
			service.calls[service.n_calls++] =
				(uint16_t)(first + (i + c) % width);
			service.subtree_attempts +=
				services_[first + (i + c) % width]
					.subtree_attempts;
		}
	}

	uint32_t Lend(ql_allowance_t *holder, uint16_t service,
		      uint64_t started, uint16_t callee, bool is_client)
	{
		uint32_t reserve =
			is_client || !options_.keep_reserve
				? 0
				: ql_allowance_compute_reserve(&doc_, service,
							       started, callee);
		uint32_t lent =
			ql_allowance_lend(holder,
					  services_[callee].subtree_attempts,
					  reserve);

		if (!lent)
			allowance_exhausted = true;
		return lent;
	}

	/* Calls a service, with retries while the allowance lasts. */
	bool Call(ql_allowance_t *holder, uint16_t service, uint64_t started,
		  uint16_t callee)
	{
		bool is_client = callee == 0;

		for (uint32_t i = 0; i < kAttemptsPerCallMax; i++) {
			uint32_t lent = Lend(holder, service, started, callee,
					     is_client);

			if (!lent)
				return false;
			if (Attempt(holder, callee, lent))
				return true;
		}
		return false;
	}

	/*
	 * Makes one attempt: it may be cancelled before it is sent, get a false
	 * report, be refused, or lose its answer.
	 */
	bool Attempt(ql_allowance_t *holder, uint16_t callee, uint32_t lent)
	{
		uint32_t unused = lent - 1;
		bool ok;

		if (RandomUnit() < options_.loss / 4) {
			ql_allowance_cancel(holder, lent);
			return false;
		}
		attempts++;
		if (RandomUnit() < options_.false_reports) {
			ql_allowance_return(holder, lent,
					    RandomUnit() < 0.5 ? kFalseUnused
							       : 0);
			return true;
		}
		if (RandomUnit() < options_.loss / 4) {
			ql_allowance_return(holder, lent, unused);
			return false;
		}
		ok = Serve(callee, &unused);
		/* A lost or late answer returns no unused attempts. */
		if (RandomUnit() < options_.loss / 2)
			return false;
		ql_allowance_return(holder, lent, unused);
		return ok;
	}

	/*
	 * Makes the calls of the callee from the attempts lent to it; sets
	 * *remaining to the attempts that it did not use.
	 */
	bool Serve(uint16_t index, uint32_t *remaining)
	{
		const ql_service_t &service = services_[index];
		ql_allowance_t allowance;
		bool ok;

		ql_allowance_init(&allowance, *remaining);
		ok = options_.parallel ? CallInParallel(&allowance, index)
				       : CallInSequence(&allowance, index);
		*remaining = allowance.remaining;
		return ok && service.subtree_attempts > 0;
	}

	bool CallInSequence(ql_allowance_t *allowance, uint16_t index)
	{
		const ql_service_t &service = services_[index];

		for (uint16_t i = 0; i < service.n_calls; i++)
			if (!Call(allowance, index, (1ull << i) - 1,
				  service.calls[i]))
				return false;
		return true;
	}

	/* Lends the attempts for all calls before the first one ends. */
	bool CallInParallel(ql_allowance_t *allowance, uint16_t index)
	{
		const ql_service_t &service = services_[index];
		std::vector<uint32_t> lent(service.n_calls);
		uint64_t all = (1ull << service.n_calls) - 1;
		bool ok = true;

		for (uint16_t i = 0; i < service.n_calls; i++)
			lent[i] = Lend(allowance, index, (1ull << i) - 1,
				       service.calls[i], false);
		for (uint16_t i = service.n_calls; i-- > 0;)
			if (!lent[i] ||
			    (!Attempt(allowance, service.calls[i], lent[i]) &&
			     !Call(allowance, index, all, service.calls[i])))
				ok = false;
		return ok;
	}

	Options options_;
	GRand *random_;
	std::vector<ql_service_t> services_;
	ql_document_t doc_ = {};
};

} // namespace call_graph

#endif
