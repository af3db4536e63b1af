#include "quetzalloft/error.h"
#include "quetzalloft/member.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

/* What the callbacks of the member have reported. */
struct Callbacks {
	std::map<std::string, bool> serving;
	std::map<std::string, bool> stale;
	uint64_t version = 0;
	bool config_confirmed = false;
	std::string withdrawn;
	int agreements = 0;
	int proofs = 0;
	ql_key_proof_t proof = {};
};

void endpoint_up(void *data, const char *, const ql_endpoint_info_t *info)
{
	Callbacks *callbacks = (Callbacks *)data;

	callbacks->serving[info->gate] = true;
	callbacks->stale[info->gate] = info->stale;
}

void endpoint_gone(void *data, const char *, const char *gate)
{
	((Callbacks *)data)->serving[gate] = false;
}

void config_changed(void *data, ql_document_t *doc)
{
	((Callbacks *)data)->version = doc->version;
}

void config_confirmed(void *data)
{
	((Callbacks *)data)->config_confirmed = true;
}

void withdrawal_received(void *data, const ql_withdrawal_t *withdrawal)
{
	((Callbacks *)data)->withdrawn = withdrawal->instance;
}

void withdrawal_agreed(void *data)
{
	((Callbacks *)data)->agreements++;
}

void config_proven(void *data, const ql_key_proof_t *proof)
{
	((Callbacks *)data)->proofs++;
	((Callbacks *)data)->proof = *proof;
}

const ql_member_ops_t OPS = {endpoint_up,	  endpoint_gone,
			     config_changed,	  config_confirmed,
			     withdrawal_received, withdrawal_agreed,
			     config_proven};

const char DOCUMENT[] = "{\"site\":\"s\",\"attempts\":5,\"classes\":{},"
			"\"services\":{\"a\":{}},\"routes\":{}}";

ql_rpc_endpoint make_endpoint(const char *gate, ql_rpc_endpoint_state state)
{
	ql_rpc_endpoint out = {};

	out.service = (char *)"a";
	out.gate = (char *)gate;
	out.node = (char *)"n";
	out.failure_domain = (char *)"d";
	out.incarnation = 1;
	out.epoch = 1;
	out.state = state;
	return out;
}

class Member : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_member_opts_t opts = {};

		strcpy(opts.cluster, "c");
		strcpy(opts.node, "n0");
		strcpy(opts.failure_domain, "d");
		opts.incarnation = 1;
		opts.n_registrars = 2;
		opts.renew_ms = 500;
		random = g_rand_new_with_seed(1);
		ql_member_init(&member, &opts, &OPS, &callbacks, random);
		apply_document();
	}

	void TearDown() override
	{
		ql_member_finish(&member);
		g_rand_free(random);
	}

	/* Applies the document and sends the interest once. */
	void apply_document()
	{
		ql_rpc_lease_args args = {};
		ql_rpc_lease_res res = make_reply(1);

		res.config_version = 1;
		res.whole_document = TRUE;
		res.document.document_val = (char *)DOCUMENT;
		res.document.document_len = sizeof(DOCUMENT) - 1;
		ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 0, &res, 0,
							  nullptr));
		ql_member_fill_lease(&member, 0, &args);
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	}

	static ql_rpc_lease_res make_reply(uint64_t incarnation)
	{
		ql_rpc_lease_res res = {};

		res.detail = (char *)"";
		res.registrar_incarnation = incarnation;
		res.members_number = 5;
		res.withdrawals_saved = TRUE;
		return res;
	}

	/* Handles a reply with endpoints of service "a", failure domain "d". */
	void apply_endpoints(int registrar, bool whole, bool ready,
			     uint64_t now_ms,
			     std::vector<ql_rpc_endpoint> endpoints,
			     bool stale = false)
	{
		ql_rpc_lease_res res = make_reply((uint64_t)registrar + 1);
		ql_rpc_service service = {};
		ql_rpc_domain domain = {};

		service.service = (char *)"a";
		service.whole = whole;
		service.endpoints.endpoints_val = endpoints.data();
		service.endpoints.endpoints_len = (u_int)endpoints.size();
		domain.name = (char *)"d";
		domain.covered = TRUE;
		domain.stale = stale;
		res.ready = ready;
		res.services.services_val = &service;
		res.services.services_len = 1;
		res.domains.domains_val = &domain;
		res.domains.domains_len = 1;
		ASSERT_EQ(0,
			  ql_member_handle_lease_reply(&member, registrar, &res,
						       now_ms, nullptr));
	}

	/* Sends a renewal that is not answered yet. */
	void begin(int registrar, uint64_t now_ms)
	{
		ql_rpc_lease_args args = {};

		ql_member_begin_renewal(&member, registrar, now_ms);
		ql_member_fill_lease(&member, registrar, &args);
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	}

	Callbacks callbacks;
	GRand *random;
	ql_member_t member;
};

const char GATE[] = "127.0.0.1:1";

/* The version in force is 1. */
TEST_F(Member, TakesOnlyAProofOfTheVersionInForce)
{
	const struct {
		const char *description;
		int status;
		bool has_proof;
		uint64_t version;
		bool taken;
	} cases[] = {
		{"proof", 0, true, 1, true},
		{"none", 0, false, 1, false},
		{"refusal", QL_E_DENIED, true, 1, false},
		{"of a version that did not arrive", 0, true, 2, false},
		{"of a version that this one may not succeed", 0, true, 0,
		 false},
	};

	for (const auto &test : cases) {
		SCOPED_TRACE(test.description);
		ql_rpc_lease_res res = make_reply(1);

		res.status = test.status;
		res.has_proof = test.has_proof;
		res.proof_age_ms = 300;
		res.config_version = test.version;
		callbacks.proofs = 0;
		ql_member_take_proof(&member, &res, 7000);
		EXPECT_EQ(test.taken ? 1 : 0, callbacks.proofs);
		EXPECT_EQ(test.taken ? 7000u : 0u, callbacks.proof.sent_ms);
		EXPECT_EQ(test.taken ? 300u : 0u, callbacks.proof.age_ms);
		EXPECT_EQ(test.taken ? 1u : 0u, callbacks.proof.version);
		callbacks.proof = {};
	}
}

TEST_F(Member, BacksOffNoLongerThanItsOptionsAllow)
{
	const struct {
		uint32_t backoff_max_ms;
		uint64_t least_ms, most_ms;
	} cases[] = {{0, 1000, 2000}, {500, 250, 500}, {3000, 1500, 3000}};
	const uint64_t now_ms = 10000;

	for (const auto &test : cases) {
		SCOPED_TRACE(test.backoff_max_ms);
		member.opts.backoff_max_ms = test.backoff_max_ms;
		for (int i = 0; i < 12; i++) {
			ql_member_begin_renewal(&member, 0, now_ms);
			ql_member_lease_failed(&member, 0, now_ms);
		}
		EXPECT_GE(member.links[0].retry_ms, now_ms + test.least_ms);
		EXPECT_LE(member.links[0].retry_ms, now_ms + test.most_ms);
	}
}

struct TurnCase {
	const char *description;
	uint32_t proof_max_ms;
	/* By registrar: age of the proof in its replies; NONE without one. */
	std::vector<uint64_t> ages_ms;
	/* Registrars at which the member renews, in order of preference. */
	std::vector<size_t> used;
};

/* A registrar that is cut off from the replicas still answers. */
TEST_F(Member, RenewsBesideARegistrarThatProvesNothing)
{
	const uint64_t NONE = UINT64_MAX;
	const TurnCase cases[] = {
		{"all prove", 1000, {400, 400, 400, 400}, {0, 1}},
		{"no proof is wanted", 0, {NONE, NONE, NONE, NONE}, {0, 1}},
		{"first proves nothing", 1000, {NONE, 0, 0, 0}, {0, 1, 2}},
		{"second is late", 1000, {0, 1001, 0, 0}, {0, 1, 2}},
		{"both", 1000, {NONE, 2000, 0, 1000}, {0, 1, 2, 3}},
		{"none proves", 1000, {NONE, NONE, NONE, NONE}, {0, 1, 2, 3}},
	};
	const size_t n = 4;

	member.opts.n_registrars = n;
	for (size_t i = 0; i < n; i++)
		g_snprintf(member.opts.registrars[i], QL_ADDRESS_MAX,
			   "127.0.0.1:%zu", i + 1);
	for (const TurnCase &test : cases) {
		SCOPED_TRACE(test.description);
		std::vector<int> order;
		std::set<int> used;

		member.opts.proof_max_ms = test.proof_max_ms;
		memset(member.links, 0, sizeof(member.links));
		member.last_registrar = -1;
		for (uint64_t now = 1000; now < 20000; now += 500) {
			int index = ql_member_next_registrar(&member, now);
			ql_rpc_lease_res res;

			ASSERT_GE(index, 0);
			/* In the order in which they are first asked. */
			if (std::find(order.begin(), order.end(), index) ==
			    order.end())
				order.push_back(index);
			res = make_reply((uint64_t)index + 1);
			res.config_version = 1;
			for (size_t i = 0; i < order.size(); i++) {
				if (order[i] != index)
					continue;
				res.has_proof = test.ages_ms[i] != NONE;
				res.proof_age_ms = test.ages_ms[i];
			}
			begin(index, now);
			ASSERT_EQ(0,
				  ql_member_handle_lease_reply(&member, index,
							       &res, now + 1,
							       nullptr));
			if (now > 10000)
				used.insert(index);
		}
		EXPECT_EQ(test.used.size(), used.size());
		EXPECT_EQ(test.used.size(), order.size());
		for (size_t i : test.used)
			EXPECT_EQ(1u, used.count(order[i]));
	}
}

/* While there is no leader, no registrar proves anything. */
TEST_F(Member, KeepsItsLeasesWhileNoRegistrarProvesAnything)
{
	const uint64_t lease_ms = 6 * (uint64_t)member.opts.renew_ms;
	const size_t n = QL_REGISTRARS_MAX;
	std::map<int, uint64_t> renewed_ms;

	member.opts.n_registrars = n;
	member.opts.proof_max_ms = 1000;
	for (size_t i = 0; i < n; i++)
		g_snprintf(member.opts.registrars[i], QL_ADDRESS_MAX,
			   "127.0.0.1:%zu", i + 1);
	for (uint64_t now = 1000; now < 60000; now++) {
		if (ql_member_renewal_delay_ms(&member, now))
			continue;
		int index = ql_member_next_registrar(&member, now);
		ql_rpc_lease_res res = make_reply((uint64_t)index + 1);

		ASSERT_GE(index, 0);
		res.config_version = 1;
		begin(index, now);
		ASSERT_EQ(0, ql_member_handle_lease_reply(&member, index, &res,
							  now, nullptr));
		renewed_ms[index] = now;
		for (const auto &entry : renewed_ms)
			ASSERT_LT(now - entry.second, lease_ms)
				<< "registrar " << entry.first;
	}
	EXPECT_GT(renewed_ms.size(), (size_t)QL_REGISTRARS_ACTIVE);
}

/* What a neighbour sends may be as old as what this node had. */
TEST_F(Member, TakesNoProofFromANeighbour)
{
	ql_rpc_document_res res = {};

	res.config_version = 2;
	res.whole_document = TRUE;
	res.document.document_val = (char *)DOCUMENT;
	res.document.document_len = sizeof(DOCUMENT) - 1;
	ASSERT_EQ(0, ql_member_handle_document_reply(&member, &res, 1000,
						     nullptr));
	EXPECT_EQ(2u, callbacks.version);
	EXPECT_EQ(0, callbacks.proofs);
}

/* A document may grow beyond the services that are followed in advance. */
TEST_F(Member, FollowsCalledServicesOfALargeDocument)
{
	std::string services = "\"a\":{}", document = DOCUMENT;
	ql_rpc_lease_args args = {};
	ql_rpc_lease_res res = make_reply(1);
	std::set<std::string> followed;

	for (int i = 0; i < QL_PREFETCH_SERVICES_MAX; i++)
		services += ",\"s" + std::to_string(i) + "\":{}";
	document.replace(document.find("\"a\":{}"), 6, services);
	res.config_version = 2;
	res.whole_document = TRUE;
	res.document.document_val = document.data();
	res.document.document_len = (u_int)document.size();
	EXPECT_FALSE(ql_member_follow_service(&member, "a"));
	ASSERT_EQ(0,
		  ql_member_handle_lease_reply(&member, 0, &res, 0, nullptr));
	EXPECT_TRUE(ql_member_follow_service(&member, "s7"));
	EXPECT_FALSE(ql_member_follow_service(&member, "s7"));
	ql_member_fill_lease(&member, 0, &args);
	for (u_int i = 0; i < args.interest.interest_len; i++)
		followed.insert(args.interest.interest_val[i].service);
	EXPECT_EQ((std::set<std::string>{"a", "s7"}), followed);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
}

struct OddRecord {
	const char *description;
	const char *service;
	const char *gate;
	const char *node;
	const char *failure_domain;
	uint32_t slots;
	int state;
};

/* One odd record in a list: the others hold, also those after it. */
TEST_F(Member, IgnoresOddRecordsAmongOthers)
{
	const std::string long_name(1 << 20, 'x');
	const OddRecord odd[] = {
		{"port 0", "a", "127.0.0.1:0", "n", "d", 1, 0},
		{"port above the range", "a", "127.0.0.1:65536", "n", "d", 1,
		 0},
		{"port far above the range", "a", "127.0.0.1:99999999", "n",
		 "d", 1, 0},
		{"negative port", "a", "127.0.0.1:-1", "n", "d", 1, 0},
		{"port with an exponent", "a", "127.0.0.1:1e3", "n", "d", 1, 0},
		{"no port", "a", "127.0.0.1", "n", "d", 1, 0},
		{"address of another family", "a", "[::1]:80", "n", "d", 1, 0},
		{"host name", "a", "host:80", "n", "d", 1, 0},
		{"no address", "a", "", "n", "d", 1, 0},
		{"address of 1 MB", "a", long_name.c_str(), "n", "d", 1, 0},
		{"node of 1 MB", "a", "127.0.0.1:9", long_name.c_str(), "d", 1,
		 0},
		{"failure domain of 1 MB", "a", "127.0.0.1:9", "n",
		 long_name.c_str(), 1, 0},
		{"no node", "a", "127.0.0.1:9", "", "d", 1, 0},
		{"line break in the node", "a", "127.0.0.1:9", "n\nx", "d", 1,
		 0},
		{"largest slots", "a", "127.0.0.1:9", "n", "d", UINT32_MAX, 0},
		{"slots above the range", "a", "127.0.0.1:9", "n", "d",
		 QL_SLOTS_MAX + 1, 0},
		{"unknown state", "a", "127.0.0.1:9", "n", "d", 1, 99},
		{"negative state", "a", "127.0.0.1:9", "n", "d", 1, -1},
	};
	const char *before = "127.0.0.1:1", *after = "127.0.0.1:2";
	uint64_t now_ms = 1000;

	for (const OddRecord &record : odd) {
		SCOPED_TRACE(record.description);
		ql_rpc_endpoint entry =
			make_endpoint(record.gate, QL_RPC_ENDPOINT_SERVING);

		/* C++ code must not load a state that is none of the enum. */
		static_assert(sizeof(entry.state) == sizeof(record.state), "");
		memcpy(&entry.state, &record.state, sizeof(entry.state));
		entry.service = (char *)record.service;
		entry.node = (char *)record.node;
		entry.failure_domain = (char *)record.failure_domain;
		entry.slots = record.slots;
		callbacks.serving.clear();
		now_ms += 10000;
		testing::internal::CaptureStderr();
		apply_endpoints(
			0, true, true, now_ms,
			{make_endpoint(before, QL_RPC_ENDPOINT_SERVING), entry,
			 make_endpoint(after, QL_RPC_ENDPOINT_SERVING)});
		std::string log = testing::internal::GetCapturedStderr();

		EXPECT_EQ(2u, callbacks.serving.size());
		EXPECT_TRUE(callbacks.serving[before]);
		EXPECT_TRUE(callbacks.serving[after]);
		EXPECT_LT(log.size(), 4096u);
		if (&record == odd) {
			EXPECT_NE(std::string::npos,
				  log.find("event=record_refused"))
				<< log;
		}
	}
}

/* A list of odd records makes a bounded number of lines. */
TEST_F(Member, LogsOddRecordsAtABoundedRate)
{
	std::vector<ql_rpc_endpoint> records(
		4096, make_endpoint("127.0.0.1:0", QL_RPC_ENDPOINT_SERVING));

	testing::internal::CaptureStderr();
	apply_endpoints(0, true, true, 1000, records);
	std::string log = testing::internal::GetCapturedStderr();

	EXPECT_LT(std::count(log.begin(), log.end(), '\n'), 200);
	EXPECT_TRUE(callbacks.serving.empty());
}

/* Both registrars send the same change number, which is not comparable. */
TEST_F(Member, RemovesEndpointThatOtherRegistrarDoesNotList)
{
	apply_endpoints(0, true, true, 1000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	EXPECT_TRUE(callbacks.serving[GATE]);
	apply_endpoints(1, true, true, 9000, {});
	EXPECT_FALSE(callbacks.serving[GATE]);
}

TEST_F(Member, KeepsEndpointUnlistedByColdRegistrar)
{
	apply_endpoints(0, true, true, 1000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	apply_endpoints(1, true, false, 9000, {});
	EXPECT_TRUE(callbacks.serving[GATE]);
}

TEST_F(Member, KeepsRecentlyConfirmedEndpoint)
{
	apply_endpoints(0, true, true, 1000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	apply_endpoints(1, true, true, 1500, {});
	EXPECT_TRUE(callbacks.serving[GATE]);
}

TEST_F(Member, IgnoresOlderRecordOfLaggingRegistrar)
{
	apply_endpoints(0, true, true, 1000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	apply_endpoints(0, false, true, 2000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_LEAVING)});
	EXPECT_FALSE(callbacks.serving[GATE]);
	apply_endpoints(1, true, true, 2500,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	EXPECT_FALSE(callbacks.serving[GATE]);
}

TEST_F(Member, MarksEndpointsOfStaleDomain)
{
	apply_endpoints(0, true, true, 1000,
			{make_endpoint(GATE, QL_RPC_ENDPOINT_SERVING)});
	EXPECT_FALSE(callbacks.stale[GATE]);
	apply_endpoints(0, false, true, 9000, {}, true);
	EXPECT_TRUE(callbacks.serving[GATE]);
	EXPECT_TRUE(callbacks.stale[GATE]);
	apply_endpoints(0, false, true, 9500, {}, false);
	EXPECT_FALSE(callbacks.stale[GATE]);
}

TEST_F(Member, ConfirmsConfigOnlyByReadyRegistrar)
{
	EXPECT_EQ(1u, callbacks.version);
	EXPECT_FALSE(callbacks.config_confirmed);
	apply_endpoints(0, true, false, 1000, {});
	EXPECT_FALSE(callbacks.config_confirmed);
	apply_endpoints(0, true, true, 2000, {});
	EXPECT_TRUE(callbacks.config_confirmed);
}

TEST_F(Member, NeedsNeighbourWhenNoRegistrarReplies)
{
	ql_rpc_document_res res = {};

	EXPECT_FALSE(ql_member_needs_neighbour(&member, 1000));
	EXPECT_TRUE(ql_member_needs_neighbour(&member, 10000));
	res.detail = (char *)"";
	res.config_version = 7;
	res.whole_document = TRUE;
	res.document.document_val = (char *)DOCUMENT;
	res.document.document_len = sizeof(DOCUMENT) - 1;
	EXPECT_EQ(0, ql_member_handle_document_reply(&member, &res, 10000,
						     nullptr));
	EXPECT_EQ(7u, callbacks.version);
	EXPECT_TRUE(callbacks.config_confirmed);
	EXPECT_FALSE(ql_member_needs_neighbour(&member, 11000));
}

TEST_F(Member, NeverAppliesLowerVersion)
{
	ql_rpc_document_res res = {};

	res.detail = (char *)"";
	res.whole_document = TRUE;
	res.document.document_val = (char *)DOCUMENT;
	res.document.document_len = sizeof(DOCUMENT) - 1;
	res.config_version = 7;
	EXPECT_EQ(0,
		  ql_member_handle_document_reply(&member, &res, 0, nullptr));
	res.config_version = 6;
	EXPECT_EQ(0,
		  ql_member_handle_document_reply(&member, &res, 0, nullptr));
	EXPECT_EQ(7u, member.config.doc->version);
}

TEST_F(Member, BoundsRenewalsForHigherVersions)
{
	uint64_t now_ms;
	int renewals = 0;

	EXPECT_FALSE(ql_member_observe_version(&member, 1, 1000));
	for (now_ms = 1000; now_ms < 2000; now_ms++)
		renewals +=
			ql_member_observe_version(&member, UINT64_MAX, now_ms);
	EXPECT_GE(renewals, 1);
	EXPECT_LE(renewals, 5);
}

TEST_F(Member, BacksOffFromFailedRegistrars)
{
	int first = ql_member_next_registrar(&member, 1000);
	int second = ql_member_next_registrar(&member, 1000);

	EXPECT_NE(first, second);
	ql_member_lease_failed(&member, first, 1000);
	EXPECT_EQ(second, ql_member_next_registrar(&member, 1001));
	EXPECT_EQ(second, ql_member_next_registrar(&member, 1002));
	ql_member_lease_failed(&member, second, 1002);
	EXPECT_EQ(-1, ql_member_next_registrar(&member, 1003));
	EXPECT_LE(ql_member_renewal_delay_ms(&member, 1003), 500u);
	EXPECT_GE(ql_member_next_registrar(&member, 1600), 0);
}

TEST_F(Member, RequestsWholeDocumentAfterFailedChange)
{
	ql_rpc_lease_res res = make_reply(1);
	ql_rpc_lease_args args = {};
	ql_rpc_change change = {};

	change.base_version = 1;
	change.config_version = 2;
	change.digest = 1;
	change.patch.patch_val = (char *)"{\"attempts\":6}";
	change.patch.patch_len = strlen(change.patch.patch_val);
	res.config_version = 2;
	res.changes.changes_val = &change;
	res.changes.changes_len = 1;
	EXPECT_EQ(QL_E_CORRUPT, ql_member_handle_lease_reply(&member, 0, &res,
							     1000, nullptr));
	EXPECT_EQ(1u, member.config.doc->version);
	ql_member_fill_lease(&member, 0, &args);
	EXPECT_TRUE(args.want_whole_document);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
}

/* A new registrar replaces one that has failed when the list is full. */
TEST_F(Member, AddsRegistrarsFromChangedSettings)
{
	size_t before = member.opts.n_registrars;

	ql_member_add_registrar(&member, "10.0.0.1:7620");
	ql_member_add_registrar(&member, "10.0.0.1:7620");
	EXPECT_EQ(before + 1, member.opts.n_registrars);
	for (int i = 0; i < 2 * QL_REGISTRARS_MAX; i++)
		ql_member_add_registrar(
			&member,
			("10.0.1." + std::to_string(i) + ":7620").c_str());
	EXPECT_EQ((size_t)QL_REGISTRARS_MAX, member.opts.n_registrars);
	EXPECT_STREQ("10.0.0.1:7620", member.opts.registrars[before]);
	for (int i = 0; i < 100; i++)
		ql_member_lease_failed(&member, (int)before, 1000);
	ql_member_add_registrar(&member, "10.0.0.2:7620");
	EXPECT_STREQ("10.0.0.2:7620", member.opts.registrars[before]);
	EXPECT_EQ(0u, member.links[before].failures);
}

/*
 * Guards against a node that waits, behind a network partition, for the backoff
 * of the time when it was cut off.
 */
TEST_F(Member, NewerVersionEndsTheBackoffs)
{
	uint64_t now_ms = 1000;

	for (int i = 0; i < 6; i++) {
		ql_member_lease_failed(&member, 0, now_ms);
		ql_member_lease_failed(&member, 1, now_ms);
	}
	EXPECT_EQ(-1, ql_member_next_registrar(&member, now_ms));
	EXPECT_TRUE(ql_member_observe_version(&member, 2, now_ms));
	EXPECT_NE(-1, ql_member_next_registrar(&member, now_ms));
}

/* A silent registrar must not hold up the renewal at another one. */
TEST_F(Member, RenewsElsewhereWhenAnAnswerIsOverdue)
{
	int silent = ql_member_next_registrar(&member, 1000);
	int other = 1 - silent;
	uint64_t now_ms = 1000;
	uint32_t delay_ms;

	begin(silent, now_ms);
	for (int i = 0; i < 3; i++) {
		ql_rpc_lease_res res = make_reply((uint64_t)other + 1);

		delay_ms = ql_member_renewal_delay_ms(&member, now_ms);
		EXPECT_GT(delay_ms, 0u);
		EXPECT_LE(delay_ms, i ? 600u : 125u);
		now_ms += delay_ms;
		EXPECT_EQ(0u, ql_member_renewal_delay_ms(&member, now_ms));
		ASSERT_EQ(other, ql_member_next_registrar(&member, now_ms));
		begin(other, now_ms);
		EXPECT_EQ(-1, ql_member_next_registrar(&member, now_ms));
		EXPECT_NE(0u, ql_member_renewal_delay_ms(&member, now_ms));
		ASSERT_EQ(0, ql_member_handle_lease_reply(&member, other, &res,
							  now_ms, nullptr));
	}
	ql_member_lease_failed(&member, silent, now_ms);
	EXPECT_FALSE(member.links[silent].in_flight);
}

/*
 * Guards against nodes that take a view of the endpoints from spare registrars,
 * which may know less, as long as the active ones answer in time.
 */
TEST_F(Member, CallsNoSpareWhileTheActiveRegistrarsMayAnswer)
{
	const uint64_t now_ms = 1000;
	uint32_t delay_ms;

	ql_member_add_registrar(&member, "127.0.0.1:8");
	ql_member_add_registrar(&member, "127.0.0.1:9");
	ql_member_track_withdrawals(&member, "a", GATE);
	begin(ql_member_next_registrar(&member, now_ms), now_ms);
	begin(ql_member_next_registrar(&member, now_ms), now_ms);
	EXPECT_EQ(-1, ql_member_next_registrar(&member, now_ms));
	delay_ms = ql_member_renewal_delay_ms(&member, now_ms);
	EXPECT_LT(0u, delay_ms);
	EXPECT_GE(125u, delay_ms);
	EXPECT_LE(0, ql_member_next_registrar(&member, now_ms + delay_ms));
}

/* The reply of a slow registrar may be older than what another one has sent. */
TEST_F(Member, KeepsItsVersionWhenAnOlderReplyArrivesLate)
{
	const std::string patch = "{\"attempts\":6}";
	ql_rpc_lease_res late = make_reply(1), newer = make_reply(2);
	ql_rpc_change change = {};

	begin(0, 1000);
	begin(1, 1001);
	newer.config_version = 7;
	newer.whole_document = TRUE;
	newer.document.document_val = (char *)DOCUMENT;
	newer.document.document_len = sizeof(DOCUMENT) - 1;
	ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 1, &newer, 1002,
						  nullptr));
	change.base_version = 1;
	change.config_version = 2;
	change.patch.patch_val = (char *)patch.c_str();
	change.patch.patch_len = (u_int)patch.size();
	late.config_version = 2;
	late.changes.changes_val = &change;
	late.changes.changes_len = 1;
	ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 0, &late, 1900,
						  nullptr));
	EXPECT_EQ(7u, member.config.doc->version);
	EXPECT_EQ(7u, callbacks.version);
	EXPECT_FALSE(member.want_whole_document);
}

/* The other registrar's reply must not cover up the conflict. */
TEST_F(Member, RenewsAtOnceWhereAConflictIs)
{
	ql_rpc_lease_res conflict = make_reply(1), fine = make_reply(2);
	ql_rpc_lease_args args = {};

	begin(0, 1000);
	begin(1, 1000);
	conflict.conflict = TRUE;
	conflict.epoch = 5;
	ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 0, &conflict, 1001,
						  nullptr));
	ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 1, &fine, 1002,
						  nullptr));
	EXPECT_EQ(0u, ql_member_renewal_delay_ms(&member, 1002));
	EXPECT_EQ(0, ql_member_next_registrar(&member, 1002));
	ql_member_fill_lease(&member, 0, &args);
	EXPECT_EQ(6u, args.epoch);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
}

/* The reports of a stop must not wait for one another. */
TEST_F(Member, TellsEveryRegistrarAtOnceThatItLeaves)
{
	std::vector<int> told;

	ql_member_add_registrar(&member, "10.0.0.1:7620");
	ql_member_add_registrar(&member, "10.0.0.2:7620");
	ql_member_lease_failed(&member, 2, 1000);
	begin(0, 1000);
	ql_member_leave(&member);
	while (!ql_member_renewal_delay_ms(&member, 1000)) {
		told.push_back(ql_member_next_registrar(&member, 1000));
		ASSERT_GE(told.back(), 0);
		begin(told.back(), 1000);
	}
	EXPECT_EQ((std::vector<int>{1, 2, 3}), told);
	ql_member_lease_failed(&member, 0, 1001);
	EXPECT_EQ(0u, ql_member_renewal_delay_ms(&member, 1001));
	EXPECT_EQ(0, ql_member_next_registrar(&member, 1001));
}

/* What a call to the earlier registrar ends with says nothing about the new. */
TEST_F(Member, IgnoresTheReplyOfAReplacedRegistrar)
{
	ql_rpc_lease_res res = make_reply(9);

	for (int i = 0; i < QL_REGISTRARS_MAX; i++)
		ql_member_add_registrar(
			&member,
			("10.0.1." + std::to_string(i) + ":7620").c_str());
	for (int i = 0; i < 10; i++)
		ql_member_lease_failed(&member, 3, 1000);
	begin(3, 1000);
	ql_member_add_registrar(&member, "10.0.2.1:7620");
	ASSERT_STREQ("10.0.2.1:7620", member.opts.registrars[3]);
	EXPECT_TRUE(member.links[3].in_flight);
	EXPECT_EQ(0, ql_member_handle_lease_reply(&member, 3, &res, 1100,
						  nullptr));
	EXPECT_EQ(0u, member.links[3].incarnation);
	EXPECT_FALSE(member.links[3].in_flight);
	begin(3, 1200);
	EXPECT_EQ(0, ql_member_handle_lease_reply(&member, 3, &res, 1201,
						  nullptr));
	EXPECT_EQ(9u, member.links[3].incarnation);
}

class MemberWithdrawal : public Member
{
      protected:
	void SetUp() override
	{
		Member::SetUp();
		ql_member_track_withdrawals(&member, "a", "127.0.0.1:9");
	}

	/* Renews at a registrar that has no later withdrawal than the node. */
	void renew(int registrar)
	{
		renew(registrar, true, NOW_MS);
	}

	/* Renews at a registrar that has saved what it knows, or has not. */
	void renew(int registrar, bool saved, uint64_t now_ms)
	{
		ql_rpc_lease_args args = {};
		ql_rpc_lease_res res = make_reply((uint64_t)registrar + 1);

		res.withdrawals_saved = saved;
		ql_member_fill_lease(&member, registrar, &args);
		sent = args.withdrawals.withdrawals_val[0].instance;
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
		ASSERT_EQ(0,
			  ql_member_handle_lease_reply(&member, registrar, &res,
						       now_ms, nullptr));
	}

	void withdraw(const char *instance, uint64_t started_ms)
	{
		ql_withdrawal_t withdrawal;

		ql_withdrawal_init(&withdrawal, instance, started_ms,
				   QL_WITHDRAWAL_FINAL);
		ql_member_withdraw(&member, &withdrawal);
	}

	static constexpr uint64_t NOW_MS = 1000;
	std::string sent;
};

/* A confirmation that only one registrar holds would be lost with it. */
TEST_F(MemberWithdrawal, IsAgreedOnceTwoRegistrarsHaveIt)
{
	renew(0);
	EXPECT_EQ(0, callbacks.agreements);
	EXPECT_EQ(0u, ql_member_renewal_delay_ms(&member, NOW_MS));
	renew(1);
	EXPECT_EQ(1, callbacks.agreements);
	EXPECT_NE(0u, ql_member_renewal_delay_ms(&member, NOW_MS));
	withdraw("i-1", 100);
	EXPECT_FALSE(ql_member_is_withdrawal_agreed(&member));
	renew(1);
	EXPECT_EQ("i-1", sent);
	EXPECT_FALSE(ql_member_is_withdrawal_agreed(&member));
	renew(0);
	EXPECT_TRUE(ql_member_is_withdrawal_agreed(&member));
	EXPECT_EQ(2, callbacks.agreements);
	withdraw("i-0", 99);
	EXPECT_TRUE(ql_member_is_withdrawal_agreed(&member));
}

/* A confirmation that no disk holds would be lost when all are killed. */
TEST_F(MemberWithdrawal, IsSavedOnceTwoRegistrarsHaveSavedIt)
{
	renew(0);
	renew(1);
	withdraw("i-1", 100);
	renew(0, false, NOW_MS);
	renew(1, false, NOW_MS);
	EXPECT_TRUE(ql_member_is_withdrawal_agreed(&member));
	EXPECT_FALSE(ql_member_is_withdrawal_saved(&member));
	renew(0, true, NOW_MS + 20);
	EXPECT_FALSE(ql_member_is_withdrawal_saved(&member));
	renew(1, true, NOW_MS + 20);
	EXPECT_TRUE(ql_member_is_withdrawal_saved(&member));
	EXPECT_EQ(2, callbacks.agreements);
}

/* The endpoint waits for its confirmation, and a disk may be full for long. */
TEST_F(MemberWithdrawal, AsksSoonAndThenMoreRarelyWhetherItIsSaved)
{
	constexpr uint64_t END_MS = NOW_MS + 10000;
	uint64_t now_ms = NOW_MS;
	uint32_t delay_ms;
	int n_questions = 0;

	renew(0);
	renew(1);
	withdraw("i-1", 100);
	renew(0, false, NOW_MS);
	renew(1, false, NOW_MS);
	EXPECT_GE(20u, ql_member_renewal_delay_ms(&member, NOW_MS));
	while (now_ms < END_MS) {
		delay_ms = ql_member_renewal_delay_ms(&member, now_ms);
		now_ms += delay_ms;
		if (delay_ms)
			continue;
		renew(ql_member_next_registrar(&member, now_ms), false, now_ms);
		n_questions++;
	}
	EXPECT_GE(100, n_questions);
	EXPECT_FALSE(ql_member_is_withdrawal_saved(&member));
}

/* A disk that stalls must not delay the endpoints that leave. */
TEST_F(MemberWithdrawal, IsSavedAtASpareWhileADiskStalls)
{
	uint64_t now_ms = NOW_MS;
	uint32_t delay_ms;
	int index;

	ql_member_add_registrar(&member, "127.0.0.1:3");
	renew(0);
	renew(1);
	withdraw("i-1", 100);
	while (!ql_member_is_withdrawal_saved(&member)) {
		delay_ms = ql_member_renewal_delay_ms(&member, now_ms);
		now_ms += delay_ms;
		ASSERT_LE(now_ms, NOW_MS + 800);
		if (delay_ms)
			continue;
		index = ql_member_next_registrar(&member, now_ms);
		renew(index, index != 0, now_ms);
	}
}

TEST_F(MemberWithdrawal, IsAgreedWithTheOnlyRegistrarThatAnswers)
{
	renew(0);
	ql_member_lease_failed(&member, 1, NOW_MS);
	EXPECT_EQ(1, callbacks.agreements);
}

/* An endpoint that drains is told within 0.8 s that its withdrawal is kept. */
TEST_F(MemberWithdrawal, IsAgreedWhileOneRegistrarIsSilent)
{
	constexpr uint64_t WITHDRAWN_MS = NOW_MS + 100;
	uint64_t now_ms = WITHDRAWN_MS;
	uint32_t delay_ms;
	int index;

	renew(0);
	renew(1);
	begin(0, WITHDRAWN_MS);
	withdraw("i-1", 100);
	while (!ql_member_is_withdrawal_agreed(&member)) {
		ql_rpc_lease_res res = make_reply(2);

		delay_ms = ql_member_renewal_delay_ms(&member, now_ms);
		now_ms += delay_ms;
		ASSERT_LE(now_ms, WITHDRAWN_MS + 800);
		if (delay_ms)
			continue;
		index = ql_member_next_registrar(&member, now_ms);
		ASSERT_EQ(1, index);
		begin(index, now_ms);
		ASSERT_EQ(0, ql_member_handle_lease_reply(&member, index, &res,
							  now_ms, nullptr));
	}
}

/*
 * A registrar that has not answered since the start may know a withdrawal of an
 * earlier run.
 */
TEST_F(MemberWithdrawal, WaitsForARegistrarThatHasNotAnsweredYet)
{
	begin(1, NOW_MS);
	renew(0);
	begin(0, NOW_MS + 900);
	EXPECT_FALSE(ql_member_is_withdrawal_agreed(&member));
	ql_member_lease_failed(&member, 1, NOW_MS + 1000);
	EXPECT_TRUE(ql_member_is_withdrawal_agreed(&member));
}

TEST_F(MemberWithdrawal, IsNotAgreedWithoutRegistrars)
{
	ql_member_lease_failed(&member, 0, NOW_MS);
	ql_member_lease_failed(&member, 1, NOW_MS);
	EXPECT_EQ(0, callbacks.agreements);
	EXPECT_NE(0u, ql_member_renewal_delay_ms(&member, NOW_MS));
}

/* The first registrar has lost its memory, the second one has not. */
TEST_F(MemberWithdrawal, PassesALaterOneOnToTheOtherRegistrar)
{
	ql_rpc_lease_args args = {};
	ql_rpc_lease_res res = make_reply(2);
	ql_rpc_withdrawal later = {};

	later.service = (char *)"a";
	later.gate = (char *)"127.0.0.1:9";
	later.instance = (char *)"i-1";
	later.started_ms = 100;
	later.sequence = 5;
	res.withdrawals.withdrawals_val = &later;
	res.withdrawals.withdrawals_len = 1;
	renew(0);
	ql_member_fill_lease(&member, 1, &args);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	ASSERT_EQ(0, ql_member_handle_lease_reply(&member, 1, &res, NOW_MS,
						  nullptr));
	EXPECT_EQ("i-1", callbacks.withdrawn);
	EXPECT_EQ(0, callbacks.agreements);
	renew(0);
	EXPECT_EQ("i-1", sent);
	EXPECT_EQ(1, callbacks.agreements);
}

} // namespace
