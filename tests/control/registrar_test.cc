#include "quetzalloft/registrar.h"
#include "control/exchange.h"
#include "control/registrar_view.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <string>

namespace
{

constexpr uint64_t START_MS = 100000;
constexpr uint32_t LEASE_MS = 3000;

class Registrar : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_registrar_opts_t opts = {};

		strcpy(opts.cluster, "c");
		strcpy(opts.failure_domain, "d");
		opts.incarnation = 1;
		opts.started_ms = START_MS;
		opts.lease_ms = LEASE_MS;
		ql_config_state_init(&config);
		ql_registrar_init(&registrar, &opts, &config);
	}

	void TearDown() override
	{
		ql_registrar_finish(&registrar);
		ql_config_state_finish(&config);
	}

	struct LeaseRequest {
		const char *cluster = "c";
		const char *domain = "d";
		const char *node = "n";
		const char *endpoint_node = "n";
		const char *gate = "127.0.0.1:1";
		uint64_t incarnation = 5;
		uint64_t version = 0;
	};

	int request_lease(const LeaseRequest &request, uint64_t now_ms)
	{
		ql_rpc_lease_args args = {};
		ql_rpc_endpoint endpoint = {};
		ql_rpc_lease_res res = {};

		args.greeting.cluster = (char *)request.cluster;
		args.greeting.node = (char *)request.node;
		args.greeting.failure_domain = (char *)request.domain;
		args.greeting.incarnation = request.incarnation;
		args.greeting.protocol = QL_RPC_PROTOCOL_VERSION;
		args.config_version = request.version;
		args.sequence = ++sequence;
		endpoint.service = (char *)"a";
		endpoint.gate = (char *)request.gate;
		endpoint.node = (char *)request.endpoint_node;
		endpoint.failure_domain = (char *)request.domain;
		endpoint.incarnation = request.incarnation;
		args.endpoints.endpoints_len = 1;
		args.endpoints.endpoints_val = &endpoint;
		ql_registrar_handle_lease(&registrar, &args, &res, now_ms);
		want_document = res.want_document;
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
		return res.status;
	}

	int offer_document(uint64_t version, const std::string &text,
			   uint64_t digest, uint64_t now_ms)
	{
		ql_rpc_offer_args args = {};

		args.greeting.node = (char *)"n";
		args.greeting.incarnation = 5;
		args.config_version = version;
		args.digest = digest;
		args.document.document_val = (char *)text.c_str();
		args.document.document_len = (u_int)text.size();
		return ql_registrar_handle_offer(&registrar, &args, now_ms,
						 nullptr);
	}

	ql_config_state_t config;
	ql_registrar_t registrar;
	uint64_t sequence = 0;
	bool want_document = false;
};

/*
 * Guards against: a registrar that was suspended for 8 s marked every endpoint
 * as gone when it resumed.
 */
TEST_F(Registrar, ProcessPauseExpiresNoLease)
{
	uint64_t now = 1000;

	ql_registrar_tick(&registrar, now);
	EXPECT_EQ(0, request_lease({}, now));
	now += 8000;
	ql_registrar_tick(&registrar, now);
	EXPECT_EQ(1u, g_hash_table_size(registrar.nodes));
	EXPECT_FALSE(ql_registrar_is_ready(&registrar, now));
	for (uint32_t i = 0; i <= LEASE_MS; i += 100)
		ql_registrar_tick(&registrar, now += 100);
	EXPECT_EQ(0u, g_hash_table_size(registrar.nodes));
	EXPECT_TRUE(ql_registrar_is_ready(&registrar, now));
}

/* The configuration of the registrar has version 0. */
TEST_F(Registrar, ProvesOnlyWhatTheNodeHasAfterTheReply)
{
	const struct {
		const char *description;
		int status;
		uint64_t version;
		bool other_digest;
		bool proven;
	} cases[] = {
		{"same version", 0, 0, false, true},
		{"same version, other content", 0, 0, true, false},
		{"later version", 0, 1, false, false},
		{"refused renewal", QL_E_DENIED, 0, false, false},
	};

	for (const auto &test : cases) {
		SCOPED_TRACE(test.description);
		ql_rpc_lease_args args = {};
		ql_rpc_lease_res res = {};

		args.config_version = test.version;
		args.config_digest =
			config.doc->digest + (test.other_digest ? 1 : 0);
		res.status = test.status;
		ql_registrar_fill_proof(&registrar, &args, &res, 300);
		EXPECT_EQ(test.proven, (bool)res.has_proof);
		EXPECT_EQ(test.proven ? 300u : 0u, res.proof_age_ms);
	}
}

TEST_F(Registrar, RefusesWrongOrMalformedIdentity)
{
	struct Case {
		const char *description;
		LeaseRequest request;
		uint64_t now_ms;
		int status;
	};
	const Case cases[] = {
		{"the first renewal", {}, 10, 0},
		{"another cluster", {"x"}, 20, QL_E_DENIED},
		{"another domain", {"c", "e"}, 20, QL_E_DENIED},
		{"an older incarnation of a live node",
		 {"c", "d", "n", "n", "127.0.0.1:1", 4},
		 20,
		 QL_E_DENIED},
		{"the gate of a live node",
		 {"c", "d", "m", "m", "127.0.0.1:1", 9},
		 20,
		 QL_E_DENIED},
		{"an endpoint of another node",
		 {"c", "d", "m", "n", "127.0.0.1:2", 9},
		 20,
		 QL_E_DENIED},
		{"a malformed name",
		 {"c", "d", "a b", "a b", "127.0.0.1:2", 9},
		 20,
		 QL_E_INVALID},
		{"a malformed address",
		 {"c", "d", "m", "m", "nowhere", 9},
		 20,
		 QL_E_INVALID},
		{"a newer incarnation",
		 {"c", "d", "n", "n", "127.0.0.1:1", 6},
		 30,
		 0},
		{"the gate of a node whose lease has expired",
		 {"c", "d", "m", "m", "127.0.0.1:1", 9},
		 30 + LEASE_MS,
		 0},
	};
	uint64_t denied = 0;

	for (auto &test : cases) {
		SCOPED_TRACE(test.description);
		EXPECT_EQ(test.status,
			  request_lease(test.request, START_MS + test.now_ms));
		denied += test.status ? 1 : 0;
	}
	EXPECT_EQ(denied, registrar.counts.denied);
}

TEST_F(Registrar, RefusesReorderedRenewal)
{
	EXPECT_EQ(0, request_lease({}, START_MS));
	EXPECT_EQ(0, request_lease({}, START_MS + 1));
	sequence -= 2;
	EXPECT_EQ(QL_E_STALE, request_lease({}, START_MS + 2));
}

const char DOCUMENT[] = "{\"site\":\"s\",\"attempts\":5,\"classes\":{},"
			"\"services\":{},\"routes\":{}}";

TEST_F(Registrar, AcceptsNewerDocumentOfNode)
{
	json_t *json = nullptr;
	uint64_t digest;
	LeaseRequest ahead;

	ASSERT_EQ(0, ql_json_parse(&json, DOCUMENT, strlen(DOCUMENT), nullptr));
	digest = ql_document_digest(json);
	json_decref(json);
	ahead.version = 9;
	EXPECT_EQ(QL_E_DENIED, offer_document(9, DOCUMENT, digest, START_MS));
	EXPECT_EQ(0, request_lease(ahead, START_MS));
	EXPECT_TRUE(want_document);
	EXPECT_EQ(QL_E_CORRUPT,
		  offer_document(9, DOCUMENT, digest + 1, START_MS));
	EXPECT_EQ(QL_E_INVALID, offer_document(9, "{", digest, START_MS));
	EXPECT_EQ(0u, config.doc->version);
	EXPECT_EQ(0, offer_document(9, DOCUMENT, digest, START_MS));
	EXPECT_EQ(9u, config.doc->version);
	EXPECT_EQ(0, offer_document(8, DOCUMENT, digest, START_MS));
	EXPECT_EQ(9u, config.doc->version);
}

TEST_F(Registrar, PrefersReplicasOverNodes)
{
	LeaseRequest ahead;

	ahead.version = 9;
	ql_registrar_record_replica_answer(&registrar, START_MS);
	EXPECT_EQ(0, request_lease(ahead, START_MS));
	EXPECT_FALSE(want_document);
	EXPECT_EQ(QL_E_EXISTS, offer_document(9, DOCUMENT, 0, START_MS));
}

/*
 * Stores n endpoints of service "big" in n_domains failure domains: that of
 * their registrars, or those of their VMs if the registrars serve several.
 */
void add_endpoints(ql_registrar_t *registrar, int first, int n, int n_domains,
		   bool shared_registrars = false)
{
	ql_rpc_endpoint endpoint = {};
	int i;

	for (i = first; i < first + n; i++) {
		std::string gate = "127.0.0.1:" + std::to_string(1000 + i);
		std::string domain = "e" + std::to_string(i % n_domains);

		endpoint.service = (char *)"big";
		endpoint.gate = (char *)gate.c_str();
		endpoint.node = (char *)"m";
		endpoint.failure_domain = shared_registrars
						  ? (char *)"region"
						  : (char *)domain.c_str();
		endpoint.placement =
			shared_registrars ? (char *)domain.c_str() : (char *)"";
		endpoint.epoch = 1;
		endpoint.slots = 5;
		ql_registrar__merge_record(registrar, &endpoint, START_MS);
	}
}

std::set<std::string> subset_gates(const ql_registrar_t *registrar,
				   const char *node, const char *domain)
{
	GArray *handles = ql_registrar__choose_subset(
		registrar, ql_registrar__find_service(registrar, "big"), node,
		domain);
	std::set<std::string> gates;
	guint i;

	for (i = 0; i < handles->len; i++)
		gates.insert(((ql_record_t *)ql_table_get(
				      &registrar->records,
				      g_array_index(handles, ql_handle_t, i)))
				     ->gate);
	g_array_free(handles, TRUE);
	return gates;
}

TEST_F(Registrar, ChoosesStableSubsetOfLargeService)
{
	std::set<std::string> before, after, used;
	size_t kept = 0;
	int i;

	add_endpoints(&registrar, 0, 1000, 4);
	before = subset_gates(&registrar, "n", "d");
	EXPECT_EQ(before, subset_gates(&registrar, "n", "d"));
	EXPECT_EQ(QL_SUBSET_ENDPOINTS_MAX, before.size());
	add_endpoints(&registrar, 1000, 1, 4);
	after = subset_gates(&registrar, "n", "d");
	for (auto &gate : before)
		kept += after.count(gate);
	EXPECT_GE(kept, before.size() - 2);
	for (i = 0; i < 200; i++) {
		std::string node = "n" + std::to_string(i);

		for (auto &gate : subset_gates(&registrar, node.c_str(), "d"))
			used.insert(gate);
	}
	EXPECT_GE(used.size(), 990u)
		<< "some endpoints are in no node's subset";
}

/*
 * Guards against subsets that ignore where endpoints run: some nodes knew few
 * and some many of the endpoints in their own failure domain, so that these
 * were loaded unevenly and calls left the failure domain although there was
 * room in it.
 */
TEST_F(Registrar, SubsetHasAllEndpointsOfTheFailureDomainOfTheNode)
{
	constexpr int kDomains = 6, kEndpoints = 306;

	add_endpoints(&registrar, 0, kEndpoints, kDomains, true);
	for (int i = 0; i < 30; i++) {
		std::string node = "n" + std::to_string(i);
		std::string domain = "e" + std::to_string(i % kDomains);
		std::set<std::string> gates =
			subset_gates(&registrar, node.c_str(), domain.c_str());
		int own = 0, others[kDomains] = {};

		for (auto &gate : gates) {
			int index = std::stoi(gate.substr(10)) - 1000;

			if (index % kDomains == i % kDomains)
				own++;
			else
				others[index % kDomains]++;
		}
		EXPECT_EQ(kEndpoints / kDomains, own);
		others[i % kDomains] = own;
		EXPECT_GE(*std::min_element(others, others + kDomains), 3);
	}
}

/* The failure domain of a node is that of its endpoint. */
TEST_F(Registrar, SendsTheSubsetOfTheFailureDomainOfTheNode)
{
	ql_rpc_lease_args args = {};
	ql_rpc_endpoint endpoint = {};
	ql_rpc_interest interest = {};
	ql_rpc_lease_res res = {};
	int own = 0;

	add_endpoints(&registrar, 0, 306, 6, true);
	args.greeting.cluster = (char *)"c";
	args.greeting.node = (char *)"n";
	args.greeting.failure_domain = (char *)"d";
	args.greeting.incarnation = 5;
	args.greeting.protocol = QL_RPC_PROTOCOL_VERSION;
	args.sequence = 1;
	endpoint.service = (char *)"a";
	endpoint.gate = (char *)"127.0.0.1:1";
	endpoint.node = (char *)"n";
	endpoint.failure_domain = (char *)"d";
	endpoint.placement = (char *)"e3";
	args.endpoints.endpoints_len = 1;
	args.endpoints.endpoints_val = &endpoint;
	args.has_interest = TRUE;
	interest.service = (char *)"big";
	args.interest.interest_len = 1;
	args.interest.interest_val = &interest;
	ql_registrar_handle_lease(&registrar, &args, &res, START_MS);
	ASSERT_EQ(0, res.status);
	ASSERT_EQ(1u, res.services.services_len);
	for (u_int i = 0;
	     i < res.services.services_val[0].endpoints.endpoints_len; i++)
		own += !strcmp("e3", res.services.services_val[0]
					     .endpoints.endpoints_val[i]
					     .placement);
	EXPECT_EQ(51, own);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
}

TEST_F(Registrar, SplitsExchangeIntoBoundedReplies)
{
	ql_registrar_opts_t opts = registrar.opts;
	ql_config_state_t other_config;
	ql_registrar_t other;
	ql_exchange_t exchange;
	GRand *random = g_rand_new_with_seed(1);
	int calls = 0;
	bool more = true;

	add_endpoints(&registrar, 0, 1000, 4);
	strcpy(opts.failure_domain, "other");
	opts.incarnation = 2;
	ql_config_state_init(&other_config);
	ql_registrar_init(&other, &opts, &other_config);
	ql_exchange_init(&exchange, &other, "r", 1, random);
	for (; more; calls++) {
		ql_rpc_exchange_args args = {};
		ql_rpc_exchange_res res = {};

		ql_exchange_fill_request(&exchange, 0, &args);
		ql_exchange_handle_request(&registrar, &args, &res, START_MS);
		EXPECT_LE(res.endpoints.endpoints_len,
			  (u_int)QL_RPC_EXCHANGE_MAX);
		EXPECT_EQ(0, ql_exchange_handle_reply(&exchange, 0, &res,
						      START_MS, nullptr));
		more = res.more;
		xdr_free((xdrproc_t)xdr_ql_rpc_exchange_args, &args);
		xdr_free((xdrproc_t)xdr_ql_rpc_exchange_res, &res);
	}
	EXPECT_EQ(4, calls);
	EXPECT_EQ(1000u,
		  ql_registrar__find_service(&other, "big")->serving->len);
	ql_registrar_finish(&other);
	ql_config_state_finish(&other_config);
	g_rand_free(random);
}

} // namespace
