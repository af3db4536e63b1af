#include "path_fixture.h"
#include "quetzalloft/clock.h"

#include <functional>

namespace
{

std::string routes_with_target(unsigned int target_ms)
{
	return "{\"get\":{\"path\":\"/get/\",\"service\":\"a\","
	       "\"class\":\"low\",\"idempotent\":true,"
	       "\"deadline_ms\":60000,\"target_ms\":" +
	       std::to_string(target_ms) +
	       "},\"none\":{\"path\":\"/none/\",\"service\":\"b\","
	       "\"class\":\"low\",\"idempotent\":true,"
	       "\"deadline_ms\":60000},"
	       "\"open\":{\"path\":\"/open/\",\"service\":\"a\","
	       "\"class\":\"low\",\"idempotent\":true,"
	       "\"deadline_ms\":60000,\"anonymous\":true}}";
}

const char *TEAMS = "{\"red\":{\"keys\":[\"k1\"],\"rate_per_s\":5,"
		    "\"burst\":5},\"blue\":{\"keys\":[\"k2\"]}}";
const unsigned int LONG_MS = 40000;
const unsigned int SHORT_MS = 400;

class Quota : public PathFixture
{
      protected:
	size_t n_asks = 0;
	ql_quota_team_ask_t asked = {};

	void SetUp() override
	{
		PathFixture::SetUp();
		set_target(LONG_MS);
		register_endpoint();
		front.opts.ask_quota = [](void *data,
					  const ql_quota_wallet_t *wallet) {
			auto *test = static_cast<Quota *>(
				static_cast<PathFixture *>(data));

			test->n_asks++;
			test->asked = wallet->asked[0];
		};
	}

	void set_target(unsigned int target_ms)
	{
		set_document(routes_with_target(target_ms).c_str(), TEAMS);
	}

	static std::string request(const char *path, const char *headers)
	{
		return std::string("GET ") + path +
		       " HTTP/1.1\r\nHost: h\r\nId: x\r\n" + headers + "\r\n";
	}

	void answer(uint32_t granted, uint64_t wait_us = 0,
		    bool unlimited = false)
	{
		const ql_quota_grant_t grant = {granted, wait_us, unlimited};

		ql_front_quota_answered(&front, &grant, 1,
					QL_QUOTA_VALIDITY_US);
	}

	void wait_for_ask(size_t n = 1)
	{
		ASSERT_TRUE(event_loop.run_until([&] { return n_asks == n; }));
	}

	std::unique_ptr<RawSocket> serve()
	{
		auto server = accept_connection();

		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		server->send("HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			     "Connection: close\r\n"
			     "Content-Length: 2\r\n\r\nok");
		return server;
	}

	void expect_status(RawSocket &client, const char *status)
	{
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		EXPECT_EQ(0u, client.received.find(std::string("HTTP/1.1 ") +
						   status))
			<< client.received;
	}

	bool endpoint_was_called()
	{
		event_loop.run_iterations(20);
		int fd = accept(endpoint_listener, nullptr, nullptr);

		if (fd >= 0)
			close(fd);
		return fd >= 0;
	}
};

struct GrantCase {
	const char *name;
	uint32_t granted;
	uint64_t wait_us;
	bool unlimited;
	const char *status;
	const char *reason;
};

const GrantCase GRANTS[] = {
	{"a token", 1, 0, false, "200", ""},
	{"no quota any more", 0, 0, true, "200", ""},
	{"no token", 0, 700000, false, "429", "quota"},
};

TEST_F(Quota, ARequestWaitsForTheAnswer)
{
	for (const GrantCase &c : GRANTS) {
		SCOPED_TRACE(c.name);
		size_t n_before = n_asks;
		RawSocket client = connect_client();

		client.send(request("/get/", "Key: k1\r\n"));
		wait_for_ask(n_before + 1);
		EXPECT_STREQ("red", asked.team);
		EXPECT_FALSE(endpoint_was_called());
		answer(c.granted, c.wait_us, c.unlimited);
		if (!c.reason[0]) {
			serve();
			expect_status(client, c.status);
			/* An unlimited team is asked about again later. */
			g_hash_table_remove_all(front.quota.accounts);
			continue;
		}
		expect_status(client, c.status);
		EXPECT_NE(std::string::npos, client.received.find(c.reason));
		EXPECT_NE(std::string::npos,
			  client.received.find("Retry-After"));
		EXPECT_FALSE(endpoint_was_called());
		EXPECT_EQ(1u, counter_value(QL_COUNT_QUOTA_REFUSED));
	}
}

struct FreeCase {
	const char *name;
	const char *path;
	const char *headers;
};

const FreeCase FREE[] = {
	{"a team without a quota", "/get/", "Key: k2\r\n"},
	{"an anonymous route", "/open/", ""},
	{"a key on an anonymous route", "/open/", "Key: k1\r\n"},
};

TEST_F(Quota, RequestsWithoutAQuotaAskForNothing)
{
	for (const FreeCase &c : FREE) {
		SCOPED_TRACE(c.name);
		RawSocket client = connect_client();

		client.send(request(c.path, c.headers));
		serve();
		expect_status(client, "200");
		EXPECT_EQ(0u, n_asks);
	}
}

/* The calls of a request that runs belong to that request. */
TEST_F(Quota, CallsOfAnEndpointUseNone)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "Key: k1\r\n"));
	wait_for_ask();
	answer(1);
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	RawSocket endpoint = connect_client();
	endpoint.send("GET /get/ HTTP/1.1\r\nHost: h\r\nId: x.1\r\n\r\n");
	auto called = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return called->has("\r\n\r\n"); }));
	EXPECT_EQ(1u, n_asks);
}

struct ChangeCase {
	const char *name;
	/* The teams that come into force while the request waits. */
	const char *teams;
	/* Lease of the keys, which has no proof; 0 if none is needed. */
	uint64_t key_lease_ms;
	const char *status;
	const char *reason;
};

const ChangeCase CHANGES[] = {
	{"key stays", "{\"red\":{\"keys\":[\"k1\"],\"rate_per_s\":9}}", 0,
	 "200", ""},
	{"no more keys", "{}", 5000, "200", ""},
	{"key withdrawn",
	 "{\"red\":{\"keys\":[\"k3\"],\"rate_per_s\":5,\"burst\":5}}", 0, "401",
	 "unknown-key"},
	{"team removed", "{\"blue\":{\"keys\":[\"k2\"]}}", 0, "401",
	 "unknown-key"},
	{"proof lost", TEAMS, 5000, "503", "not-current"},
};

TEST_F(Quota, ItsKeyIsLookedAtAgainAfterAWait)
{
	for (const ChangeCase &c : CHANGES) {
		SCOPED_TRACE(c.name);
		size_t n_before = n_asks;
		RawSocket client = connect_client();

		ql_key_lease_init(&front.key_lease, 0);
		set_target(LONG_MS);
		client.send(request("/get/", "Key: k1\r\n"));
		wait_for_ask(n_before + 1);
		set_document(routes_with_target(LONG_MS).c_str(), c.teams);
		ql_key_lease_init(&front.key_lease, c.key_lease_ms);
		answer(1);
		if (!c.reason[0])
			serve();
		expect_status(client, c.status);
		EXPECT_NE(std::string::npos, client.received.find(c.reason));
		EXPECT_FALSE(endpoint_was_called());
		/* The token of a refused request is there for another one. */
		ql_quota_waiter_t waiter = {};
		EXPECT_EQ(c.reason[0] ? QL_QUOTA_TAKEN : QL_QUOTA_WAIT,
			  ql_quota_wallet_take(&front.quota, "red", &waiter,
					       ql_clock_boot_us())
				  .verdict);
		ql_quota_wallet_leave(&waiter);
		g_hash_table_remove_all(front.quota.accounts);
	}
}

TEST_F(Quota, WithoutAnAnswerTheRequestIsRefused)
{
	RawSocket client = connect_client();

	set_target(SHORT_MS);
	client.send(request("/get/", "Key: k1\r\n"));
	wait_for_ask();
	expect_status(client, "503");
	EXPECT_NE(std::string::npos, client.received.find("quota-unknown"));
	EXPECT_EQ(1u, counter_value(QL_COUNT_QUOTA_UNKNOWN));
	/* A token that comes afterwards finds nobody. */
	answer(1);
	EXPECT_FALSE(endpoint_was_called());
}

TEST_F(Quota, AFailedCallIsRepeated)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "Key: k1\r\n"));
	wait_for_ask();
	ql_front_quota_failed(&front, 1000);
	wait_for_ask(2);
	answer(1);
	serve();
	expect_status(client, "200");
}

TEST_F(Quota, ARequestWhoseClientLeavesWaitsNoLonger)
{
	{
		RawSocket client = connect_client();

		client.send(request("/get/", "Key: k1\r\n"));
		wait_for_ask();
	}
	ASSERT_TRUE(event_loop.run_until(
		[&] { return counter_value(QL_COUNT_CLIENT_CANCELLED) == 1; }));
	answer(1);
	EXPECT_FALSE(endpoint_was_called());
}

TEST_F(Quota, TheEndOfTheDrainFailsThoseThatWait)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "Key: k1\r\n"));
	wait_for_ask();
	ql_front_fail_all(&front);
	expect_status(client, "503");
	EXPECT_NE(std::string::npos, client.received.find("draining"));
	answer(1);
	EXPECT_FALSE(endpoint_was_called());
}

/* A request that reached no endpoint has not used quota. */
TEST_F(Quota, ARequestThatIsNotSentReturnsItsToken)
{
	RawSocket client = connect_client();

	client.send(request("/none/", "Key: k1\r\n"));
	wait_for_ask();
	answer(1);
	expect_status(client, "503");
	EXPECT_NE(std::string::npos, client.received.find("no-endpoint"));
	RawSocket next = connect_client();
	next.send(request("/get/", "Key: k1\r\n"));
	serve();
	expect_status(next, "200");
	EXPECT_EQ(1u, n_asks);
}

} // namespace
