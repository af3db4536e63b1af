#include "path_fixture.h"
#include "quetzalloft/clock.h"

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000},"
	"\"open\":{\"path\":\"/open/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"anonymous\":true}}";
const char *TEAMS = "{\"red\":{\"keys\":[\"k1\"],\"class\":\"high\"},"
		    "\"blue\":{\"keys\":[\"k2\"]}}";

class Caller : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES, TEAMS);
		register_endpoint();
	}

	static std::string request(const std::string &path,
				   const std::string &id,
				   const std::string &headers)
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
		       "\r\n" + headers + "\r\n";
	}
};

struct CallerCase {
	const char *name;
	const char *path;
	const char *headers;
	/* Header line that the endpoint gets, or "" for none of this name. */
	const char *team;
	const char *status;
};

const CallerCase CASES[] = {
	{"known key", "/get/", "Key: k1\r\n", "Team: red\r\n", "200"},
	{"key in another case of the header", "/get/", "KEY: k2\r\n",
	 "Team: blue\r\n", "200"},
	{"team that the client claims", "/get/",
	 "Team: red\r\nKey: k2\r\nteam: red\r\n", "Team: blue\r\n", "200"},
	{"no key on an anonymous route", "/open/", "", "", "200"},
	{"any key on an anonymous route", "/open/", "Key: x\r\nTeam: red\r\n",
	 "", "200"},
	{"unknown key", "/get/", "Key: k3\r\n", "", "401"},
	{"key with other letters", "/get/", "Key: K1\r\n", "", "401"},
	{"empty key", "/get/", "Key: \r\n", "", "401"},
	{"no key", "/get/", "", "", "401"},
	{"team without a key", "/get/", "Team: red\r\n", "", "401"},
	{"two keys", "/get/", "Key: k1\r\nKey: k1\r\n", "", "400"},
	{"two keys in one header", "/get/", "Key: k1, k2\r\n", "", "401"},
};

/* An endpoint learns the team from this node alone, and never the key. */
TEST_F(Caller, IsIdentifiedByItsKeyOnly)
{
	for (const CallerCase &c : CASES) {
		SCOPED_TRACE(c.name);
		RawSocket client = connect_client();

		client.send(request(c.path, "x", c.headers));
		if (strcmp(c.status, "200") != 0) {
			ASSERT_TRUE(event_loop.run_until(
				[&] { return client.has("\r\n\r\n"); }));
			EXPECT_EQ(0u,
				  client.received.find(
					  std::string("HTTP/1.1 ") + c.status));
			continue;
		}
		auto server = accept_connection();
		ASSERT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		EXPECT_EQ(std::string::npos, server->received.find("k1"));
		EXPECT_EQ(std::string::npos, server->received.find("k2"));
		if (c.team[0])
			EXPECT_NE(std::string::npos,
				  server->received.find(c.team));
		else
			EXPECT_EQ(std::string::npos,
				  server->received.find("Team"));
		server->send("HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			     "Connection: close\r\n"
			     "Content-Length: 2\r\n\r\nok");
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\nok"); }));
	}
}

TEST_F(Caller, AKeyOfManyBytesIsUnknown)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "x",
			    "Key: " + std::string(8000, 'k') + "\r\n"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 401"));
}

/* The calls of a request have no key and keep its class, that of its team and
 * route. */
TEST_F(Caller, CallsOfARunningRequestNeedNoKey)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "x", "Key: k1\r\n"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	RawSocket endpoint = connect_client();
	endpoint.send(request("/get/", "x.1", "Team: blue\r\n"));
	auto called = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return called->has("\r\n\r\n"); }));
	EXPECT_EQ(std::string::npos, called->received.find("Team"));
	ASSERT_NE(nullptr, ql_local_gate_find_call(&gate, "x.1"));
	EXPECT_STREQ("high.low",
		     ql_local_gate_find_call(&gate, "x.1")->class_name);
	/* Of a request that is not known here nothing is said but not run. */
	RawSocket other = connect_client();
	other.send(request("/get/", "y.1", ""));
	ASSERT_TRUE(
		event_loop.run_until([&] { return other.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, other.received.find("HTTP/1.1 503"));
	EXPECT_NE(std::string::npos, other.received.find("unknown-caller"));
}

/* A node that accepts API keys only with a proof that they are current. */
class ProvenCaller : public Caller
{
      protected:
	static constexpr uint64_t LEASE_MS = 600000;

	ProvenCaller()
	{
		key_lease_ms = LEASE_MS;
	}

	void prove(uint64_t version, uint64_t age_ms)
	{
		const ql_key_proof_t proof = {version, ql_clock_boot_ms(),
					      age_ms};

		ql_front_prove_keys(&front, &proof);
	}
};

struct ProofCase {
	const char *name;
	const char *path;
	const char *headers;
	const char *status;
	/* Part of the response, or "". */
	const char *reason;
};

const ProofCase WITHOUT_PROOF[] = {
	{"known key", "/get/", "Key: k1\r\n", "503", "not-current"},
	{"unknown key", "/get/", "Key: k3\r\n", "503", "not-current"},
	{"two keys", "/get/", "Key: k1\r\nKey: k1\r\n", "400", ""},
	{"no key", "/get/", "", "401", ""},
	{"no route", "/none/", "Key: k1\r\n", "404", ""},
};

/* A proof of a later version, or one that is too old, is as good as none. */
TEST_F(ProvenCaller, IsNotJudgedByKeysThatMayBeOld)
{
	const struct {
		const char *name;
		uint64_t version, age_ms;
	} proofs[] = {
		{"none", 0, 0},
		{"too old", 1, LEASE_MS - QL_KEY_LEASE_MARGIN_MS},
		{"before the start of the machine", 1, UINT64_MAX},
		{"of a version that is not in force", 2, 0},
	};
	uint64_t n_refused = 0;

	for (const auto &proof : proofs) {
		SCOPED_TRACE(proof.name);
		ql_key_lease_init(&front.key_lease, LEASE_MS);
		if (proof.version)
			prove(proof.version, proof.age_ms);
		for (const ProofCase &test : WITHOUT_PROOF) {
			SCOPED_TRACE(test.name);
			RawSocket client = connect_client();

			client.send(request(test.path, "x", test.headers));
			ASSERT_TRUE(event_loop.run_until(
				[&] { return client.has("\r\n\r\n"); }));
			EXPECT_EQ(0u, client.received.find(
					      std::string("HTTP/1.1 ") +
					      test.status));
			EXPECT_NE(std::string::npos,
				  client.received.find(test.reason));
			if (test.reason[0]) {
				n_refused++;
				EXPECT_NE(std::string::npos,
					  client.received.find("Retry-After"));
			}
		}
	}
	EXPECT_EQ(n_refused, counter_value(QL_COUNT_KEYS_NOT_CURRENT));
}

/* Neither the calls of running requests nor anonymous routes need a proof. */
TEST_F(ProvenCaller, NeedsAProofOnlyToUseAKey)
{
	RawSocket client = connect_client(), open = connect_client();

	prove(1, 0);
	client.send(request("/get/", "x", "Key: k1\r\n"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_NE(std::string::npos, server->received.find("Team: red"));
	ql_key_lease_init(&front.key_lease, LEASE_MS);
	RawSocket endpoint = connect_client();
	endpoint.send(request("/get/", "x.1", ""));
	auto called = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return called->has("\r\n\r\n"); }));
	called->send("HTTP/1.1 200 OK\r\nId: x.1\r\nSeal: s\r\n"
		     "Connection: close\r\nContent-Length: 2\r\n\r\nok");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return endpoint.has("\r\n\r\nok"); }));
	open.send(request("/open/", "y", "Key: k1\r\n"));
	auto opened = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return opened->has("\r\n\r\n"); }));
}

/* A proof that comes back lets the next request pass, on the same connection.
 */
TEST_F(ProvenCaller, IsAcceptedAtOnceWithAProof)
{
	RawSocket client = connect_client();

	client.send(request("/get/", "x", "Key: k1\r\n"));
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.has("not-current"); }));
	prove(1, 1000);
	client.send(request("/get/", "y", "Key: k1\r\n"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_NE(std::string::npos, server->received.find("Team: red"));
}

/* Without teams the headers belong to the callers and their endpoints. */
TEST_F(Caller, HeadersPassWhereTheDocumentHasNoTeams)
{
	RawSocket client = connect_client();

	set_document(ROUTES);
	client.send(request("/get/", "x", "Key: k9\r\nTeam: red\r\n"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_NE(std::string::npos, server->received.find("Key: k9"));
	EXPECT_NE(std::string::npos, server->received.find("Team: red"));
}

/*
 * Each class of a route has an admission control of its own. Its state is kept
 * across documents that have the class, and while requests are in flight.
 */
TEST_F(Caller, ClassesOfARouteAreAdmittedSeparately)
{
	RawSocket client = connect_client(), other = connect_client();
	const GPtrArray *classes = front.routes[0]->classes;
	auto state = [&](guint index) {
		return static_cast<const ql_front_route_class_t *>(
			g_ptr_array_index(classes, index));
	};

	client.send(request("/get/", "x", "Key: k2\r\n"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	ASSERT_EQ(1u, classes->len);
	other.send(request("/get/", "y", "Key: k1\r\n"));
	auto second = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return second->has("\r\n\r\n"); }));
	ASSERT_EQ(2u, classes->len);
	EXPECT_STREQ("", state(0)->name);
	EXPECT_STREQ("high.low", state(1)->name);
	EXPECT_EQ(1u, state(0)->admission.best_effort.in_progress);
	EXPECT_EQ(1u, state(1)->admission.best_effort.in_progress);
	EXPECT_EQ(2u, g_hash_table_size(front.team_shares));
	set_document(ROUTES, TEAMS);
	classes = front.routes[0]->classes;
	ASSERT_EQ(2u, classes->len);
	EXPECT_EQ(1u, state(1)->admission.best_effort.in_progress);
	second->send("HTTP/1.1 200 OK\r\nId: y\r\nSeal: s\r\n"
		     "Connection: close\r\nContent-Length: 2\r\n\r\nok");
	ASSERT_TRUE(
		event_loop.run_until([&] { return other.has("\r\n\r\nok"); }));
	EXPECT_EQ(0u, state(1)->admission.best_effort.in_progress);
	/* Without teams nothing is kept of them. */
	set_document(ROUTES);
	EXPECT_EQ(0u, g_hash_table_size(front.team_shares));
}

} // namespace
