#include "quetzalloft/error.h"
#include "quetzalloft/member.h"

#include <gtest/gtest.h>

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

const ql_member_ops_t OPS = {endpoint_up,	  endpoint_gone,
			     config_changed,	  config_confirmed,
			     withdrawal_received, withdrawal_agreed};

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

	Callbacks callbacks;
	GRand *random;
	ql_member_t member;
};

const char GATE[] = "127.0.0.1:1";

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
		ql_rpc_lease_args args = {};
		ql_rpc_lease_res res = make_reply((uint64_t)registrar + 1);

		ql_member_fill_lease(&member, registrar, &args);
		sent = args.withdrawals.withdrawals_val[0].instance;
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
		ASSERT_EQ(0,
			  ql_member_handle_lease_reply(&member, registrar, &res,
						       NOW_MS, nullptr));
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

TEST_F(MemberWithdrawal, IsAgreedWithTheOnlyRegistrarThatAnswers)
{
	renew(0);
	ql_member_lease_failed(&member, 1, NOW_MS);
	EXPECT_EQ(1, callbacks.agreements);
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
