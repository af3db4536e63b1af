#ifndef QL_TESTS_POLICY_CALL_GRAPH_H
#define QL_TESTS_POLICY_CALL_GRAPH_H

/* Random call graphs and client requests that lose attempts and answers. */

#include "quetzalloft/allowance.h"

#include <memory>
#include <vector>

namespace call_graph
{

constexpr uint32_t kTriesMax = 3;
constexpr uint32_t kLie = 1000000;

struct Options {
	uint32_t seed = 0;
	uint32_t fan_out = 4;
	uint32_t depth = QL_CALL_DEPTH_MAX;
	double loss = 0.2;
	double lies = 0;
	bool parallel = true;
	bool reserve = true;
	uint32_t extra = 0;
};

class Request
{
      public:
	explicit Request(const Options &options)
	    : options_(options), random_(g_rand_new_with_seed(options.seed))
	{
		MakeGraph();
		bound = doc_.services[0].subtree_attempts + options.extra;
	}

	~Request()
	{
		g_rand_free(random_);
	}

	/* The first node calls the first service. */
	bool Run()
	{
		ql_allowance_t client;

		ql_allowance_init(&client, bound);
		return Call(&client, 0, 0, 0);
	}

	uint32_t bound;
	uint32_t attempts = 0;
	bool short_of_allowance = false;

      private:
	double Chance()
	{
		return g_rand_double(random_);
	}

	/* Services in layers; each calls some of the next layer. */
	void MakeGraph()
	{
		constexpr uint32_t kWidth = 4;
		uint32_t depth = g_rand_int_range(random_, 2,
						  (gint32)options_.depth + 1);

		services_.resize((depth - 1) * kWidth + 1);
		doc_.services = services_.data();
		doc_.n_services = services_.size();
		for (uint32_t layer = depth; layer-- > 0;)
			for (uint32_t i = 0; i < (layer ? kWidth : 1); i++)
				MakeService(layer, i, depth, kWidth);
	}

	void MakeService(uint32_t layer, uint32_t i, uint32_t depth,
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

	uint32_t Lend(ql_allowance_t *holder, uint16_t service, uint64_t begun,
		      uint16_t callee, bool is_client)
	{
		uint32_t reserve =
			is_client || !options_.reserve
				? 0
				: ql_allowance_compute_reserve(&doc_, service,
							       begun, callee);
		uint32_t lent =
			ql_allowance_lend(holder,
					  services_[callee].subtree_attempts,
					  reserve);

		if (!lent)
			short_of_allowance = true;
		return lent;
	}

	bool Call(ql_allowance_t *holder, uint16_t service, uint64_t begun,
		  uint16_t callee)
	{
		bool is_client = callee == 0;

		for (uint32_t i = 0; i < kTriesMax; i++) {
			uint32_t lent =
				Lend(holder, service, begun, callee, is_client);

			if (!lent)
				return false;
			if (Attempt(holder, callee, lent))
				return true;
		}
		return false;
	}

	/* One attempt with what may become of it. */
	bool Attempt(ql_allowance_t *holder, uint16_t callee, uint32_t lent)
	{
		uint32_t unused = lent - 1;
		bool ok;

		if (Chance() < options_.loss / 4) {
			ql_allowance_cancel(holder, lent);
			return false;
		}
		attempts++;
		if (Chance() < options_.lies) {
			ql_allowance_return(holder, lent,
					    Chance() < 0.5 ? kLie : 0);
			return true;
		}
		if (Chance() < options_.loss / 4) {
			ql_allowance_return(holder, lent, unused);
			return false;
		}
		ok = Serve(callee, &unused);
		/* A lost or late answer gives nothing back. */
		if (Chance() < options_.loss / 2)
			return false;
		ql_allowance_return(holder, lent, unused);
		return ok;
	}

	/* The callee makes its own calls from what it was lent. */
	bool Serve(uint16_t index, uint32_t *remaining)
	{
		const ql_service_t &service = services_[index];
		ql_allowance_t own;
		bool ok;

		ql_allowance_init(&own, *remaining);
		ok = options_.parallel ? Parallel(&own, index)
				       : Sequential(&own, index);
		*remaining = own.remaining;
		return ok && service.subtree_attempts > 0;
	}

	bool Sequential(ql_allowance_t *own, uint16_t index)
	{
		const ql_service_t &service = services_[index];

		for (uint16_t i = 0; i < service.n_calls; i++)
			if (!Call(own, index, (1ull << i) - 1,
				  service.calls[i]))
				return false;
		return true;
	}

	/* All first attempts are lent before any has ended. */
	bool Parallel(ql_allowance_t *own, uint16_t index)
	{
		const ql_service_t &service = services_[index];
		std::vector<uint32_t> lent(service.n_calls);
		uint64_t all = (1ull << service.n_calls) - 1;
		bool ok = true;

		for (uint16_t i = 0; i < service.n_calls; i++)
			lent[i] = Lend(own, index, (1ull << i) - 1,
				       service.calls[i], false);
		for (uint16_t i = service.n_calls; i-- > 0;)
			if (!lent[i] ||
			    (!Attempt(own, service.calls[i], lent[i]) &&
			     !Call(own, index, all, service.calls[i])))
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
